//! Validates registers and rule sets. One pass reports all faults, each with line, key and remedy.
//!
//! A file contains a register, a rule set, or both under the keys `register` and `rules`. It is
//! parsed as JSON if it starts with a brace, and as TOML otherwise.

pub mod document;
pub mod fault;
pub mod records;
pub mod register_checks;
pub mod rule_checks;

pub use self::fault::{FaultKind, InventoryFault};

use {
    super::{AssetRegister, RuleSet},
    crate::ids::DigestHex,
    document::{FilePart, SourceDocument},
    fault::FaultList,
    rule_checks::KnownIds,
    serde::Serialize,
    sha2::{Digest, Sha256},
};

/// Parses and validates a register.
///
/// # Errors
/// All faults, ordered by line.
pub fn check_register(text: &str) -> Result<AssetRegister, Vec<InventoryFault>> {
    let document = SourceDocument::parse(text)?;
    let mut faults = FaultList::default();
    let part = document.part(FilePart::Register);
    let register = records::read_register(&part, &mut faults);
    register_checks::check(&register, &mut faults);
    document.resolve_faults(part, faults).map(|()| register.into_register())
}

/// Parses a rule set and validates it against `register`.
///
/// # Errors
/// All faults, ordered by line.
pub fn check_rules(text: &str, register: &AssetRegister) -> Result<RuleSet, Vec<InventoryFault>> {
    check_rules_with(text, &KnownIds::from_register(register))
}

/// Parses a rule set without validating it against a register.
///
/// # Errors
/// Faults of syntax and of value types.
pub fn read_rules_unchecked(text: &str) -> Result<RuleSet, Vec<InventoryFault>> {
    let document = SourceDocument::parse(text)?;
    let mut faults = FaultList::default();
    let part = document.part(FilePart::Rules);
    let rules = records::read_rules(&part, &mut faults);
    document.resolve_faults(part, faults).map(|()| rules.into_rules())
}

/// Faults of a register and of its rule set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileFaults {
    /// Faults of the register; empty if it is valid.
    pub register: Vec<InventoryFault>,
    /// Faults of the rules; empty if they are valid or absent.
    pub rules: Vec<InventoryFault>,
}

/// Validates a register and the rules, if any, of the same text or of a separate one. Rules are
/// validated against an invalid register as well, so that one run reports all faults.
///
/// # Errors
/// All faults of the register and the rules.
pub fn check_files(
    text: &str,
    rules_text: Option<&str>,
) -> Result<(AssetRegister, Option<RuleSet>), FileFaults> {
    let register_only = |register| FileFaults { register, rules: Vec::new() };
    let document = SourceDocument::parse(text).map_err(register_only)?;
    let mut faults = FaultList::default();
    let part = document.part(FilePart::Register);
    let records = records::read_register(&part, &mut faults);
    register_checks::check(&records, &mut faults);
    let register_faults = document.resolve_faults(part, faults).err().unwrap_or_default();

    let known = KnownIds::from_records(&records);
    let rules = match rules_text {
        Some(rules_text) => Some(check_rules_with(rules_text, &known)),
        None if document.is_combined() => Some(check_rules_with(text, &known)),
        None => None,
    };
    match rules.transpose() {
        Ok(rules) if register_faults.is_empty() => Ok((records.into_register(), rules)),
        Ok(_) => Err(register_only(register_faults)),
        Err(rules) => Err(FileFaults { register: register_faults, rules }),
    }
}

fn check_rules_with(text: &str, known: &KnownIds) -> Result<RuleSet, Vec<InventoryFault>> {
    let document = SourceDocument::parse(text)?;
    let mut faults = FaultList::default();
    let part = document.part(FilePart::Rules);
    let rules = records::read_rules(&part, &mut faults);
    rule_checks::check(&rules, known, &mut faults);
    document.resolve_faults(part, faults).map(|()| rules.into_rules())
}

/// Canonical JSON of a valid register or rule set: equal values have equal text.
pub fn canonical_json(part: &impl Serialize) -> String {
    serde_json::to_string(part).expect("registers and rules have string keys only")
}

/// SHA-256 of `text`; identifies configurations in conflicts and API keys in the register.
pub fn digest(text: &str) -> DigestHex {
    hex::encode(Sha256::digest(text.as_bytes()))
}
