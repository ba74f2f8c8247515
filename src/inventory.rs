//! Configuration that operators load: the asset register and the rules.

pub mod register;
pub mod rules;
pub mod validate;

pub use self::{
    register::{
        AssetRegister, DomainRecord, ModelRecord, OrganisationRecord, ServerKind, ServerRecord,
        ServiceRecord, VmRecord,
    },
    rules::{CallRule, DecisionObjective, OrganisationRule, RequestClass, RuleSet},
};

use {
    crate::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// The active configuration: one register and one rule set under one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ActiveConfig {
    /// Incremented by each accepted change of either part; 0 until the first one.
    pub revision: Revision,
    /// Asset register; empty until one is loaded.
    pub register: AssetRegister,
    /// Rule set; has its default values until one is loaded.
    pub rules: RuleSet,
}
