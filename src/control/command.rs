//! The commands of the replicated state machine and their results.

use {
    crate::ids::{
        AttemptId, DigestHex, DocumentNumber, FencingNumber, IdempotencyKey, Incarnation, ModelId,
        OperationId, OrganisationId, Revision, ServerId, VmId, WeightsNumber, WeightsVersion,
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// A change that the replicas agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Put a register in force if the revision is still the expected one.
    ApplyRegister {
        /// The operator's id of this change.
        operation: OperationId,
        /// The revision the operator saw.
        expected: Revision,
        /// The register as canonical JSON.
        body: String,
    },
    /// Put a rule set in force if the revision is still the expected one.
    ApplyRules {
        /// The operator's id of this change.
        operation: OperationId,
        /// The revision the operator saw.
        expected: Revision,
        /// The rule set as canonical JSON.
        body: String,
    },
    /// Claim the only run of a non-repeatable call.
    Reserve {
        /// Whose call it is.
        organisation: OrganisationId,
        /// The caller's key.
        key: IdempotencyKey,
        /// Digest of method, path and body; another one under the same key is a caller's error.
        fingerprint: DigestHex,
        /// The daemon that will send it.
        holder: VmId,
        /// The life of that daemon; a later life is not the holder.
        incarnation: Incarnation,
        /// The one try that the claim permits; a claim sent again carries the same number, a new
        /// try a new one.
        attempt: AttemptId,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
    /// Keep the answer of a call that ran.
    Finish {
        /// Whose call it was.
        organisation: OrganisationId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The daemon that sent it.
        holder: VmId,
        /// The life of that daemon.
        incarnation: Incarnation,
        /// The try that the claim permitted.
        attempt: AttemptId,
        /// The answer for resends.
        answer: KeptAnswer,
    },
    /// Give a claim back: nothing was sent. Only the holder may.
    Release {
        /// Whose call it is.
        organisation: OrganisationId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The daemon that holds the claim.
        holder: VmId,
        /// The life of that daemon.
        incarnation: Incarnation,
        /// The try that the claim permitted.
        attempt: AttemptId,
    },
    /// Say that the outcome of a sent call will never be known here.
    MarkUnknown {
        /// Whose call it is.
        organisation: OrganisationId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The daemon that holds the claim.
        holder: VmId,
        /// The life of that daemon.
        incarnation: Incarnation,
        /// The try that the claim permitted.
        attempt: AttemptId,
    },
    /// Say that a daemon has begun a new life, so that calls that its earlier lives held have an
    /// unknown outcome from now on, without waiting for its next claim.
    NoteLife {
        /// The VM of the daemon.
        vm: VmId,
        /// Its life; a later life has a higher number.
        incarnation: Incarnation,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
    /// The same as [`Command::DesireModel`]: logs of earlier releases hold one for each server.
    DesireWeights {
        /// The server.
        server: ServerId,
        /// The model.
        model: ModelId,
        /// The version.
        weights: WeightsVersion,
    },
    /// Note a fingerprint that crashes backend servers.
    NoteSuspect {
        /// The fingerprint.
        fingerprint: u64,
        /// Crashes counted so far.
        strikes: u32,
    },
    /// Take in the present disk of a VM as a replica, in place of any earlier disk of it. It
    /// counts in quorums once it has caught up.
    ReplaceReplica {
        /// The VM.
        vm: VmId,
        /// The incarnation of its disk; `None` means the one that the leader heard from last.
        incarnation: Option<Incarnation>,
    },
    /// Take a VM out of the replicas.
    RemoveReplica {
        /// The VM.
        vm: VmId,
    },
    /// Put an operator's document in force unless one with this number or a higher one is.
    PutDocument {
        /// The number that the operator chose.
        number: DocumentNumber,
        /// The document exactly as the operator wrote it.
        body: String,
    },
    /// Name the version that all servers of a model should come to, unless a later one is named.
    NameWeights {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightsNumber,
    },
    /// Note the weights that all servers of a model should load, under a new fencing number.
    DesireModel {
        /// The model.
        model: ModelId,
        /// The version.
        weights: WeightsVersion,
    },
    /// Say that a daemon's attempts at non-repeatable calls below a number are over: the end of
    /// each that was sent is committed, and no other will be sent.
    EndAttempts {
        /// The VM of the daemon.
        vm: VmId,
        /// Its life.
        incarnation: Incarnation,
        /// The oldest attempt that it may still send or end; only grows.
        floor: AttemptId,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
}

impl Command {
    /// Bytes of the text that it carries.
    pub fn body_bytes(&self) -> usize {
        match self {
            Command::ApplyRegister { body, .. }
            | Command::ApplyRules { body, .. }
            | Command::PutDocument { body, .. } => body.len(),
            Command::Finish { answer, .. } => answer.body.len(),
            _ => 0,
        }
    }
}

/// The answer of a non-repeatable call, kept for resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `Content-Type` of the body.
    pub content_type: String,
    /// The body, whole.
    pub body: Vec<u8>,
}

/// What a committed command came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The configuration is in force under this revision. A resend gets the first result again.
    Applied {
        /// The revision.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// Digest of the part that won.
        winner: DigestHex,
    },
    /// The claim is the proposer's: it sends once.
    Reserved,
    /// Another daemon, or another life of this one, holds the claim and has not finished.
    Running {
        /// The holder.
        holder: VmId,
        /// Its life.
        incarnation: Incarnation,
    },
    /// The call ran; this is its answer.
    Finished {
        /// The answer.
        answer: KeptAnswer,
    },
    /// The key was used for another request.
    KeyReused,
    /// The outcome of the call will not be known.
    Unknown,
    /// The claim is free again.
    Released,
    /// The proposer does not hold the claim.
    NotHolder,
    /// The ledger is full of entries that may not be dropped yet.
    LedgerFull,
    /// The desired weights are noted under this number.
    Desired {
        /// The fencing number.
        fencing: FencingNumber,
    },
    /// Noted.
    Noted,
    /// The change of the replicas is committed.
    MembershipChanged,
    /// The command changed nothing; the text names the remedy.
    Refused {
        /// Why, and what to do.
        reason: String,
    },
    /// The document that is in force now has this number; it is the proposed one or a later one.
    DocumentHeld {
        /// The number.
        number: DocumentNumber,
    },
    /// Attempts below this number may have been forgotten; claim under it or a higher one.
    Forgotten {
        /// The number.
        below: AttemptId,
    },
}

/// Why a proposal has no outcome.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
pub enum ProposeError {
    /// no quorum is reachable and the command did not enter the log; retry when the replicas of two failure domains see each other
    NoQuorum,
    /// the command may or may not have been committed; ask again with the same operation id or key
    OutcomeUnknown,
    /// too many proposals wait; retry after a second
    Busy,
}

impl std::error::Error for ProposeError {}
