//! JSON types exchanged by the operators' API and its client.

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

/// The lifecycle state of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon accepts requests.
    Serving,
    /// The daemon completes requests in flight and accepts no new ones.
    Draining,
}

impl DaemonState {
    /// The name of the state in the API, in snake case.
    pub fn as_str(self) -> &'static str {
        match self {
            DaemonState::Starting => "starting",
            DaemonState::Serving => "serving",
            DaemonState::Draining => "draining",
        }
    }
}

/// The status of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// `entry` or `control`.
    pub role: String,
    /// The lifecycle state.
    pub state: DaemonState,
    /// The configuration revision in force at the daemon.
    pub revision: Revision,
    /// The state of the replica, such as `leader`; `none` without a data folder.
    pub replica: String,
    /// The control leader, if the daemon knows one.
    pub leader: Option<VmId>,
    /// The latest term that the daemon knows; 0 without a replica.
    pub term: Term,
    /// Requests in flight at the daemon.
    pub in_flight: u64,
    /// Seconds since the daemon started.
    pub uptime_seconds: u64,
    /// The version of the daemon program.
    pub version: String,
}

/// A backend server as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server's name in the register.
    pub id: ServerId,
    /// The server's failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether the server is an engine or a plain service.
    pub kind: ServerKind,
    /// `alive`, `leaving`, `dead` or `unknown`.
    pub health: String,
    /// The current incarnation, if known.
    pub incarnation: Option<Incarnation>,
    /// Loaded weights by model, from the server's latest report.
    pub weights: BTreeMap<String, WeightsVersion>,
    /// Requests in flight from this daemon to the server.
    pub in_flight: u64,
    /// The maximum number of requests that this daemon may have in flight to the server; `None`
    /// without a limit.
    pub window: Option<u64>,
    /// Running requests, from the server's latest report.
    pub running: Option<u64>,
    /// Queued requests, from the server's latest report.
    pub waiting: Option<u64>,
}

/// The usage of one organisation at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// The organisation's name in the register.
    pub id: OrganisationId,
    /// Requests received by the daemon.
    pub requests: u64,
    /// Requests that got a complete answer.
    pub answered: u64,
    /// Requests that ended without a complete answer.
    pub refused: u64,
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// Requests in flight now.
    pub in_flight: u64,
}

/// A control replica as the answering daemon knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// The VM of the replica.
    pub vm: VmId,
    /// The incarnation of the replica's disk.
    pub incarnation: Incarnation,
    /// Whether the replica counts in quorums; a replica that does not is catching up.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leader: bool,
    /// The index of the last applied log entry, if known.
    pub applied: Option<LogIndex>,
}

/// A committed change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The revision that the change created.
    pub revision: Revision,
    /// `register` or `rules`.
    pub part: String,
    /// The operation id that the operator chose.
    pub operation: OperationId,
    /// Digest of the part's canonical JSON.
    pub digest: DigestHex,
}

/// The configuration in force at the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The configuration's revision.
    pub revision: Revision,
    /// Digest of the register's canonical JSON.
    pub register_digest: DigestHex,
    /// Digest of the rules' canonical JSON.
    pub rules_digest: DigestHex,
    /// The asset register in force.
    pub register: AssetRegister,
    /// The rule set in force.
    pub rules: RuleSet,
}

/// The revision that one daemon has in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmRevision {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// The revision; `None` when the daemon did not answer.
    pub revision: Option<Revision>,
}

/// The daemons that have a revision in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionReport {
    /// The requested revision.
    pub revision: Revision,
    /// The revision in force at each daemon of the register.
    pub vms: Vec<VmRevision>,
}

impl RevisionReport {
    /// Daemons that have an older revision than the requested one, or did not answer.
    pub fn behind(&self) -> impl Iterator<Item = &VmRevision> {
        let requested = self.revision;
        self.vms.iter().filter(move |vm| vm.revision.is_none_or(|revision| revision < requested))
    }
}

/// The trace of a request: the servers that it was sent to, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The id of the traced request.
    pub request: RequestId,
    /// Trace lines by daemon, oldest first.
    pub traces: BTreeMap<VmId, Vec<String>>,
}

/// A request to put a register in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegisterChange {
    /// The operation id that the operator chose, the same in each resend.
    pub operation: OperationId,
    /// The revision that the change is based on.
    pub expected: Revision,
    /// The complete new register.
    pub register: AssetRegister,
}

/// A request to put a rule set in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesChange {
    /// The operation id that the operator chose, the same in each resend.
    pub operation: OperationId,
    /// The revision that the change is based on.
    pub expected: Revision,
    /// The complete new rule set.
    pub rules: RuleSet,
}

/// The body of a request that acts on one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmAction {
    /// The VM to act on.
    pub vm: VmId,
}

/// The response to a change that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// The revision that the change created.
    pub revision: Revision,
    /// The operation id that the operator chose.
    pub operation: OperationId,
    /// Digest of the part's canonical JSON.
    pub digest: DigestHex,
}

/// The response to an action that was carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// A description of the completed action, for operators.
    pub done: String,
}

/// Whether a change happened although the response is an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DidHappen {
    /// The change did not and will not happen.
    No,
    /// The change may have happened or may still happen; send it again with the same operation id.
    Unknown,
}

/// An error of the operators' API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorError {
    /// A fixed, machine-readable name of the error.
    pub code: String,
    /// A description of the error and its remedy.
    pub message: String,
    /// Whether the change happened.
    pub did_happen: DidHappen,
    /// The revision in force, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Digest of the part that was committed first, on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<DigestHex>,
    /// The faults found by validation of the register or the rules.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<InventoryFault>,
}

impl OperatorError {
    /// An error which guarantees that the change did not happen.
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

    /// An error after which the change may have happened.
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

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error; its key in the body is `error`.
    pub error: OperatorError,
}
