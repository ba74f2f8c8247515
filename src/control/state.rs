//! Replicated state machine: configuration, documents, ledger, desired weights and suspects.

use {
    crate::{
        control::{
            command::{Command, CommandOutcome},
            configuration::{ConfigPart, ConfigRequest, ConfigState},
            document::DocumentState,
            ledger::{ClaimHolder, ClaimRequest, IdempotencyLedger, LegacyLedger},
            orders::{LegacyWeightOrders, SuspectTable, WeightOrders},
        },
        ids::FencingNumber,
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// Version of the snapshot encoding; snapshots of unknown versions are refused.
const STATE_VERSION: u32 = 4;
/// Version that stored released claims as calls. It is still read, so that an upgrade loses no
/// data.
const VERSION_WITHOUT_FLOORS: u32 = 3;
/// Version that stored desired weights per server; still read.
const VERSION_PER_SERVER: u32 = 2;
/// Version without documents; still read.
const VERSION_WITHOUT_DOCUMENTS: u32 = 1;
const HOUR_MS: u64 = 3_600_000;

/// State on which all replicas agree. Applying the same commands in the same order produces the
/// same state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: ConfigState,
    ledger: IdempotencyLedger,
    orders: WeightOrders,
    suspects: SuspectTable,
    /// The last field, so that snapshots of earlier versions, which lack it, are a prefix.
    documents: DocumentState,
}

/// Fields common to snapshots of earlier versions.
#[derive(Deserialize)]
struct LegacyState<O> {
    configuration: ConfigState,
    ledger: LegacyLedger,
    orders: O,
    suspects: SuspectTable,
}

impl<O: Into<WeightOrders>> LegacyState<O> {
    fn upgrade(self, documents: DocumentState) -> ControlState {
        let LegacyState { configuration, ledger, orders, suspects } = self;
        let (ledger, orders) = (ledger.into(), orders.into());
        ControlState { configuration, ledger, orders, suspects, documents }
    }
}

/// Snapshot with desired weights per server.
type PerServerState = LegacyState<LegacyWeightOrders>;

/// Error when a snapshot cannot be decoded.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum StateError {
    /// the snapshot has the unknown version {0}; run the release that wrote it, or a later one
    UnknownVersion(u32),
    /// the snapshot is damaged ({0}); let another replica send its own
    Damaged(String),
}

impl std::error::Error for StateError {}

impl ControlState {
    /// Configuration and the results of its changes.
    pub fn configuration(&self) -> &ConfigState {
        &self.configuration
    }

    /// Ledger of non-repeatable calls.
    pub fn ledger(&self) -> &IdempotencyLedger {
        &self.ledger
    }

    /// Desired weights of each model.
    pub fn orders(&self) -> &WeightOrders {
        &self.orders
    }

    /// Fingerprints of requests that crash backend servers.
    pub fn suspects(&self) -> &SuspectTable {
        &self.suspects
    }

    /// Operators' numbered document and the named weights versions.
    pub fn documents(&self) -> &DocumentState {
        &self.documents
    }

    /// Applies a committed command; `number` consists of the term and the index of its log entry.
    pub fn apply(&mut self, number: FencingNumber, command: &Command) -> CommandOutcome {
        match command {
            Command::ApplyRegister { operation, expected, body } => {
                let part = ConfigPart::Register;
                let request = ConfigRequest { part, operation, expected: *expected, body };
                self.configuration.change(request)
            }
            Command::ApplyRules { operation, expected, body } => {
                let part = ConfigPart::Rules;
                let request = ConfigRequest { part, operation, expected: *expected, body };
                self.configuration.change(request)
            }
            Command::Reserve { .. }
            | Command::Finish { .. }
            | Command::Release { .. }
            | Command::MarkUnknown { .. } => self.apply_claim(command),
            Command::NoteLife { vm, incarnation, now_ms } => {
                self.ledger.record_incarnation(vm, *incarnation, *now_ms)
            }
            Command::EndAttempts { vm, incarnation, floor, now_ms } => {
                self.ledger.end_attempts(vm, *incarnation, *floor, *now_ms)
            }
            Command::DesireWeights { model, weights, .. }
            | Command::DesireModel { model, weights } => self.orders.desire(model, weights, number),
            Command::NoteSuspect { fingerprint, strikes } => {
                self.suspects.record_crashes(*fingerprint, *strikes, number.index)
            }
            Command::PutDocument { number, body } => self.documents.put(*number, body),
            Command::PutPackedDocument { number, packed } => {
                self.documents.put_packed(*number, packed)
            }
            Command::NameWeights { model, version } => self.documents.name_weights(model, *version),
            Command::ReplaceReplica { .. } | Command::RemoveReplica { .. } => {
                let reason = "the leader writes the membership itself; propose it at the leader";
                CommandOutcome::Refused { reason: reason.to_owned() }
            }
        }
    }

    fn apply_claim(&mut self, command: &Command) -> CommandOutcome {
        let Some((key, holder)) = claim_of(command) else { return CommandOutcome::NotHolder };
        match command {
            Command::Reserve { fingerprint, now_ms, .. } => {
                let hours = self.configuration.active().rules.retention_hours;
                let retention_ms = u64::from(hours) * HOUR_MS;
                let now_ms = *now_ms;
                let request = ClaimRequest { key, fingerprint, holder, now_ms, retention_ms };
                self.ledger.reserve(request)
            }
            Command::Finish { answer, .. } => self.ledger.finish(key, &holder, answer),
            Command::Release { .. } => self.ledger.release(key, &holder),
            _ => self.ledger.mark_unknown(key, &holder),
        }
    }

    /// Encodes the state with its version.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(STATE_VERSION, self)).expect("the state always encodes")
    }

    /// Decodes a state of this or an earlier version.
    ///
    /// # Errors
    /// Returns an error if the version is unknown or the bytes are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let damaged = |error: postcard::Error| StateError::Damaged(error.to_string());
        let (version, rest) = postcard::take_from_bytes::<u32>(bytes).map_err(damaged)?;
        let mut state = match version {
            STATE_VERSION => postcard::from_bytes(rest).map_err(damaged)?,
            VERSION_WITHOUT_FLOORS => {
                let (legacy, documents) = postcard::from_bytes(rest).map_err(damaged)?;
                LegacyState::<WeightOrders>::upgrade(legacy, documents)
            }
            VERSION_PER_SERVER => {
                let (legacy, documents) = postcard::from_bytes(rest).map_err(damaged)?;
                PerServerState::upgrade(legacy, documents)
            }
            VERSION_WITHOUT_DOCUMENTS => {
                let legacy = postcard::from_bytes(rest).map_err(damaged)?;
                PerServerState::upgrade(legacy, DocumentState::default())
            }
            unknown => return Err(StateError::UnknownVersion(unknown)),
        };
        state.configuration.restore().map_err(StateError::Damaged)?;
        Ok(state)
    }
}

fn claim_of(command: &Command) -> Option<((String, String), ClaimHolder)> {
    match command {
        Command::Reserve { organisation, key, holder, incarnation, attempt, .. }
        | Command::Finish { organisation, key, holder, incarnation, attempt, .. }
        | Command::Release { organisation, key, holder, incarnation, attempt }
        | Command::MarkUnknown { organisation, key, holder, incarnation, attempt } => Some((
            (organisation.clone(), key.clone()),
            ClaimHolder { vm: holder.clone(), incarnation: *incarnation, attempt: *attempt },
        )),
        _ => None,
    }
}
