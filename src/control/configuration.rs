//! Configuration that is changed by compare-and-set on its revision. A resent change gets the
//! outcome of its first application.

use {
    crate::{
        control::command::CommandOutcome,
        ids::{DigestHex, OperationId, Revision},
        inventory::ActiveConfig,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Number of results retained for resends and of changes retained as history. At 2,100 changes a
/// day this covers half a day, and operators resend within minutes. An older resend expects an
/// outdated revision and gets a conflict, so dropping its result cannot apply a change twice.
pub const RETAINED_OPERATIONS: usize = 1024;
/// Maximum length of an operation id.
const OPERATION_ID_BYTES: usize = 256;
/// Maximum size of a body. It is twice the several megabytes of the design size and still fits into
/// one message between daemons.
const BODY_BYTES: usize = 6 << 20;

/// Part of the configuration that a change replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigPart {
    /// Asset register.
    Register,
    /// Rule set.
    Rules,
}

impl ConfigPart {
    /// Name of the part in operator output.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigPart::Register => "register",
            ConfigPart::Rules => "rules",
        }
    }
}

/// Request to replace one part of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRequest<'a> {
    /// Part to replace.
    pub part: ConfigPart,
    /// Identifies the change; a resend carries the same id.
    pub operation: &'a OperationId,
    /// Revision that the change is based on.
    pub expected: Revision,
    /// New content as canonical JSON.
    pub body: &'a str,
}

/// Accepted change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Revision created by the change.
    pub revision: Revision,
    /// Part that the change replaced.
    pub part: ConfigPart,
    /// SHA-256 digest of the new part, in hexadecimal.
    pub digest: DigestHex,
    /// Operation id given by the operator.
    pub operation: OperationId,
}

/// Result of an operation, returned again to its resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordedResult {
    part: ConfigPart,
    digest: DigestHex,
    expected: Revision,
    outcome: CommandOutcome,
}

/// Current configuration and its history of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Parts as they were accepted; empty until the first change.
    register_body: String,
    rules_body: String,
    revision: Revision,
    /// Oldest first. At most [`RETAINED_OPERATIONS`]; the oldest is dropped.
    changes: VecDeque<ConfigChange>,
    /// Results of exactly the operations in `order`.
    results: BTreeMap<OperationId, RecordedResult>,
    /// Oldest first. At most [`RETAINED_OPERATIONS`]; the oldest is dropped.
    order: VecDeque<OperationId>,
    /// Bodies in parsed form, under `revision`.
    #[serde(skip)]
    active: Arc<ActiveConfig>,
}

impl ConfigState {
    /// Current configuration.
    pub fn active(&self) -> &Arc<ActiveConfig> {
        &self.active
    }

    /// Most recent accepted changes, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &ConfigChange> {
        self.changes.iter()
    }

    /// Applies a change if the current revision is still the expected one.
    pub fn change(&mut self, request: ConfigRequest<'_>) -> CommandOutcome {
        if request.operation.len() > OPERATION_ID_BYTES || request.body.len() > BODY_BYTES {
            return refused("the operation id or the body is too long; shorten it");
        }
        let digest = digest_hex(request.body);
        if let Some(outcome) = self.recorded_result(&request, &digest) {
            return outcome;
        }
        let outcome = self.compare_and_set(&request, &digest);
        self.record_result(&request, digest, outcome.clone());
        outcome
    }

    /// Result of an earlier application of the same operation; `None` if there is none.
    ///
    /// An operator whose response was lost resends the change. If the resend were compared with the
    /// current revision, it would conflict with the revision that the operator created, so the
    /// first result is returned again. An applied operation id cannot be used for a different
    /// change.
    fn recorded_result(&self, request: &ConfigRequest<'_>, digest: &str) -> Option<CommandOutcome> {
        let known = self.results.get(request.operation)?;
        let same = known.digest == digest
            && known.expected == request.expected
            && known.part == request.part;
        match known.outcome {
            _ if same => Some(known.outcome.clone()),
            CommandOutcome::Applied { .. } => Some(CommandOutcome::Conflict {
                revision: self.revision,
                winner: known.digest.clone(),
            }),
            _ => None,
        }
    }

    fn compare_and_set(&mut self, request: &ConfigRequest<'_>, digest: &str) -> CommandOutcome {
        if request.expected != self.revision {
            return CommandOutcome::Conflict {
                revision: self.revision,
                winner: self.conflicting_digest(request.expected),
            };
        }
        let mut config = ActiveConfig::clone(&self.active);
        config.revision = self.revision + 1;
        let parsed = match request.part {
            ConfigPart::Register => parse_into(request.body, &mut config.register),
            ConfigPart::Rules => parse_into(request.body, &mut config.rules),
        };
        if let Err(reason) = parsed {
            return refused(&format!(
                "the body is no valid JSON of its part: {reason}; correct it"
            ));
        }
        match request.part {
            ConfigPart::Register => self.register_body = request.body.to_owned(),
            ConfigPart::Rules => self.rules_body = request.body.to_owned(),
        }
        self.revision = config.revision;
        self.active = Arc::new(config);
        push_bounded(
            &mut self.changes,
            ConfigChange {
                revision: self.revision,
                part: request.part,
                digest: digest.to_owned(),
                operation: request.operation.clone(),
            },
        );
        CommandOutcome::Applied { revision: self.revision }
    }

    /// Digest of the change that created the revision after `expected`, or of the last change if
    /// that one is no longer retained.
    fn conflicting_digest(&self, expected: Revision) -> DigestHex {
        self.changes
            .iter()
            .find(|change| change.revision == expected + 1)
            .or(self.changes.back())
            .map(|change| change.digest.clone())
            .unwrap_or_default()
    }

    fn record_result(
        &mut self,
        request: &ConfigRequest<'_>,
        digest: DigestHex,
        result: CommandOutcome,
    ) {
        let recorded = RecordedResult {
            part: request.part,
            digest,
            expected: request.expected,
            outcome: result,
        };
        if self.results.insert(request.operation.clone(), recorded).is_some() {
            return;
        }
        if let Some(oldest) = push_bounded(&mut self.order, request.operation.clone()) {
            self.results.remove(&oldest);
        }
    }

    /// Restores the parsed configuration after decoding.
    ///
    /// # Errors
    /// Returns an error if a body does not parse, which means that the snapshot is damaged.
    pub fn restore(&mut self) -> Result<(), String> {
        let mut config = ActiveConfig { revision: self.revision, ..ActiveConfig::default() };
        if !self.register_body.is_empty() {
            parse_into(&self.register_body, &mut config.register)?;
        }
        if !self.rules_body.is_empty() {
            parse_into(&self.rules_body, &mut config.rules)?;
        }
        self.active = Arc::new(config);
        Ok(())
    }
}

/// SHA-256 digest of a part, in hexadecimal.
pub fn digest_hex(body: &str) -> DigestHex {
    hex::encode(Sha256::digest(body.as_bytes()))
}

fn parse_into<T: DeserializeOwned>(body: &str, part: &mut T) -> Result<(), String> {
    *part = serde_json::from_str(body).map_err(|error| error.to_string())?;
    Ok(())
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) -> Option<T> {
    queue.push_back(item);
    if queue.len() > RETAINED_OPERATIONS { queue.pop_front() } else { None }
}

fn refused(reason: &str) -> CommandOutcome {
    CommandOutcome::Refused { reason: reason.to_owned() }
}
