//! The JSON that the operators' interface and its client exchange.

use {
    crate::{
        control::ProposeError,
        ids::{
            DigestHex, FailureDomainId, Incarnation, LogIndex, OperationId, OrganisationId,
            RequestId, Revision, ServerId, Term, VmId, WeightsVersion,
        },
        inventory::{AssetRegister, RuleSet, ServerKind, validate::InventoryFault},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Where a daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}

impl DaemonState {
    /// The name that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            DaemonState::Starting => "starting",
            DaemonState::Serving => "serving",
            DaemonState::Draining => "draining",
        }
    }
}

/// A daemon's account of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// `entry` or `control`.
    pub role: String,
    /// Where it is in its life.
    pub state: DaemonState,
    /// The configuration revision in force at it.
    pub revision: Revision,
    /// What its replica does, such as `leader`; `none` without a data folder.
    pub replica: String,
    /// The leader it knows.
    pub leader: Option<VmId>,
    /// The term it knows; 0 without a replica.
    pub term: Term,
    /// Requests in flight from it.
    pub in_flight: u64,
    /// Seconds since it started.
    pub uptime_seconds: u64,
    /// The version of the program.
    pub version: String,
}

/// A backend server as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub id: ServerId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// What it does.
    pub kind: ServerKind,
    /// `alive`, `leaving`, `dead` or `unknown`.
    pub health: String,
    /// Its present life, if known.
    pub incarnation: Option<Incarnation>,
    /// Loaded weights by model, as it last reported them.
    pub weights: BTreeMap<String, WeightsVersion>,
    /// Requests in flight from this daemon.
    pub in_flight: u64,
    /// Requests that this daemon would have in flight at most, where it limits them.
    pub window: Option<u64>,
    /// Requests that run there, as it last reported.
    pub running: Option<u64>,
    /// Requests that wait there, as it last reported.
    pub waiting: Option<u64>,
}

/// What one organisation did at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Its name.
    pub id: OrganisationId,
    /// Requests taken in.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// A control replica as the answering daemon knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// Its VM.
    pub vm: VmId,
    /// The life of its disk.
    pub incarnation: Incarnation,
    /// Whether it counts in quorums; otherwise it is catching up.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Its last applied entry, where known.
    pub applied: Option<LogIndex>,
}

/// A change of the configuration that was committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The revision it made.
    pub revision: Revision,
    /// `register` or `rules`.
    pub part: String,
    /// The operator's id of the change.
    pub operation: OperationId,
    /// Digest of the part's canonical JSON.
    pub digest: DigestHex,
}

/// The configuration in force at the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Its revision.
    pub revision: Revision,
    /// Digest of the register's canonical JSON.
    pub register_digest: DigestHex,
    /// Digest of the rules' canonical JSON.
    pub rules_digest: DigestHex,
    /// The register.
    pub register: AssetRegister,
    /// The rules.
    pub rules: RuleSet,
}

/// The revision that one daemon has in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmRevision {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The revision; `None` when the daemon could not be asked.
    pub revision: Option<Revision>,
}

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionReport {
    /// The revision that was asked for.
    pub revision: Revision,
    /// Every daemon of the register.
    pub vms: Vec<VmRevision>,
}

impl RevisionReport {
    /// Daemons that do not have the revision, or could not be asked.
    pub fn behind(&self) -> impl Iterator<Item = &VmRevision> {
        let wanted = self.revision;
        self.vms.iter().filter(move |vm| vm.revision.is_none_or(|revision| revision < wanted))
    }
}

/// Where a request went and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The request.
    pub request: RequestId,
    /// Trace lines by daemon, oldest first.
    pub traces: BTreeMap<VmId, Vec<String>>,
}

/// Asks to put a register in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegisterChange {
    /// The operator's id of the change, the same in each resend.
    pub operation: OperationId,
    /// The revision the operator saw.
    pub expected: Revision,
    /// The register.
    pub register: AssetRegister,
}

/// Asks to put a rule set in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesChange {
    /// The operator's id of the change, the same in each resend.
    pub operation: OperationId,
    /// The revision the operator saw.
    pub expected: Revision,
    /// The rules.
    pub rules: RuleSet,
}

/// Names the VM that an order is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmAction {
    /// The VM.
    pub vm: VmId,
}

/// A change that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// The revision it made.
    pub revision: Revision,
    /// The operator's id of the change.
    pub operation: OperationId,
    /// Digest of the part's canonical JSON.
    pub digest: DigestHex,
}

/// An order that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// What was done.
    pub done: String,
}

/// Whether a refused change happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DidHappen {
    /// It did not and will not.
    No,
    /// It may have happened or may still happen; ask again with the same operation id.
    Unknown,
}

/// Why the operators' interface refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorError {
    /// A fixed name of the kind.
    pub code: String,
    /// What is wrong and what to do.
    pub message: String,
    /// Whether the change happened.
    pub did_happen: DidHappen,
    /// The revision in force, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Digest of the part that won, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<DigestHex>,
    /// Faults of the register or the rules.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<InventoryFault>,
}

impl OperatorError {
    /// A refusal that promises that nothing happened.
    pub fn did_not_happen(code: &str, message: impl ToString) -> Self {
        OperatorError {
            code: code.to_owned(),
            message: message.to_string(),
            did_happen: DidHappen::No,
            revision: None,
            winner: None,
            faults: Vec::new(),
        }
    }

    /// A refusal that cannot promise that.
    pub fn unknown(code: &str, message: impl ToString) -> Self {
        OperatorError {
            did_happen: DidHappen::Unknown,
            ..OperatorError::did_not_happen(code, message)
        }
    }
}

impl From<ProposeError> for OperatorError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NoQuorum => OperatorError::did_not_happen("no_quorum", error),
            ProposeError::Busy => OperatorError::did_not_happen("busy", error),
            ProposeError::OutcomeUnknown => OperatorError::unknown("outcome_unknown", error),
        }
    }
}

/// The body of every refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: OperatorError,
}
