//! The configuration: changed by compare-and-set on its revision, resends get the first result.

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

/// Results remembered for resends, and changes kept as history: half a day at 2,100 changes a
/// day, while operators resend within minutes. An older resend meets a higher revision and gets
/// a conflict, so forgetting cannot apply a change twice.
pub const RETAINED_OPERATIONS: usize = 1024;
/// The longest operation id.
const OPERATION_ID_BYTES: usize = 256;
/// The longest body: twice the several megabytes of the design size, and it still fits into one
/// message between daemons.
const BODY_BYTES: usize = 6 << 20;

/// The part of the configuration that a change replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigPart {
    /// The asset register.
    Register,
    /// The rules.
    Rules,
}

impl ConfigPart {
    /// The name that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigPart::Register => "register",
            ConfigPart::Rules => "rules",
        }
    }
}

/// A request to replace one part.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRequest<'a> {
    /// Which part.
    pub part: ConfigPart,
    /// The operator's id of the change.
    pub operation: &'a OperationId,
    /// The revision that the operator saw.
    pub expected: Revision,
    /// The part as canonical JSON.
    pub body: &'a str,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The revision that it made.
    pub revision: Revision,
    /// The part that it replaced.
    pub part: ConfigPart,
    /// The digest of the new part.
    pub digest: DigestHex,
    /// The operator's id of the change.
    pub operation: OperationId,
}

/// The result of an operation, for its resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RememberedResult {
    part: ConfigPart,
    digest: DigestHex,
    expected: Revision,
    outcome: CommandOutcome,
}

/// The configuration in force and how it came about.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The parts as they were accepted; empty until the first change.
    register_body: String,
    rules_body: String,
    revision: Revision,
    /// Oldest first; at most [`RETAINED_OPERATIONS`], the oldest falls out.
    changes: VecDeque<ConfigChange>,
    /// Holds exactly the operations in `order`.
    results: BTreeMap<OperationId, RememberedResult>,
    /// Oldest first; at most [`RETAINED_OPERATIONS`], the oldest falls out.
    order: VecDeque<OperationId>,
    /// The parsed form of the bodies under `revision`.
    #[serde(skip)]
    active: Arc<ActiveConfig>,
}

impl ConfigState {
    /// The configuration in force.
    pub fn active(&self) -> &Arc<ActiveConfig> {
        &self.active
    }

    /// The last accepted changes, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &ConfigChange> {
        self.changes.iter()
    }

    /// Puts a change in force if the revision is still the expected one.
    pub fn change(&mut self, request: ConfigRequest<'_>) -> CommandOutcome {
        if request.operation.len() > OPERATION_ID_BYTES || request.body.len() > BODY_BYTES {
            return refused("the operation id or the body is too long; shorten it");
        }
        let digest = digest_hex(request.body);
        if let Some(outcome) = self.first_result(&request, &digest) {
            return outcome;
        }
        let outcome = self.compare_and_set(&request, &digest);
        self.remember(&request, digest, outcome.clone());
        outcome
    }

    /// The result that an operation had before.
    ///
    /// A lost answer makes the operator send the change again. Judged anew it would meet its own
    /// revision and be told of a conflict with itself, so the first result is repeated. An
    /// operation id that was applied is used up: under it nothing else is put in force.
    fn first_result(&self, request: &ConfigRequest<'_>, digest: &str) -> Option<CommandOutcome> {
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
                winner: self.winner(request.expected),
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

    /// The digest of the change that took the revision after `expected`, or else of the last one.
    fn winner(&self, expected: Revision) -> DigestHex {
        self.changes
            .iter()
            .find(|change| change.revision == expected + 1)
            .or(self.changes.back())
            .map(|change| change.digest.clone())
            .unwrap_or_default()
    }

    fn remember(&mut self, request: &ConfigRequest<'_>, digest: DigestHex, result: CommandOutcome) {
        let remembered = RememberedResult {
            part: request.part,
            digest,
            expected: request.expected,
            outcome: result,
        };
        if self.results.insert(request.operation.clone(), remembered).is_some() {
            return;
        }
        if let Some(oldest) = push_bounded(&mut self.order, request.operation.clone()) {
            self.results.remove(&oldest);
        }
    }

    /// Parses the bodies again after decoding.
    ///
    /// # Errors
    /// When a body does not parse, which means that the snapshot is damaged.
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

/// The digest under which a part is known.
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
