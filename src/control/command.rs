//! Commands of the replicated state machine and their outcomes.

use {
    crate::{
        control::packed_document::PackedDocument,
        ids::{
            AttemptId, DigestHex, DocumentNumber, FencingNumber, IdempotencyKey, Incarnation,
            ModelId, OperationId, OrganisationId, Revision, ServerId, VmId, WeightsNumber,
            WeightsVersion,
        },
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// A change that is replicated and applied by every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the asset register if the current revision is still the expected one.
    ApplyRegister {
        /// Identifies the change; a resend carries the same id.
        operation: OperationId,
        /// Revision that the change is based on.
        expected: Revision,
        /// Asset register as canonical JSON.
        body: String,
    },
    /// Replaces the rule set if the current revision is still the expected one.
    ApplyRules {
        /// Identifies the change; a resend carries the same id.
        operation: OperationId,
        /// Revision that the change is based on.
        expected: Revision,
        /// Rule set as canonical JSON.
        body: String,
    },
    /// Claims the right to execute a non-repeatable call once.
    Reserve {
        /// Organisation that made the call.
        organisation: OrganisationId,
        /// Idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// Digest of method, path and body. A different digest under the same key is a client
        /// error.
        fingerprint: DigestHex,
        /// VM of the daemon that will send the call.
        holder: VmId,
        /// Incarnation of that daemon. A later incarnation does not hold the claim.
        incarnation: Incarnation,
        /// Attempt that the claim permits. A resent claim carries the same number, a new attempt a
        /// new one.
        attempt: AttemptId,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
    /// Stores the response of an executed call.
    Finish {
        /// Organisation that made the call.
        organisation: OrganisationId,
        /// Idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// VM of the daemon that sent the call.
        holder: VmId,
        /// Incarnation of that daemon.
        incarnation: Incarnation,
        /// Attempt that the claim permitted.
        attempt: AttemptId,
        /// Response returned to resends.
        answer: KeptAnswer,
    },
    /// Releases a claim because nothing was sent. Only the holder may release it.
    Release {
        /// Organisation that made the call.
        organisation: OrganisationId,
        /// Idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// VM of the daemon that holds the claim.
        holder: VmId,
        /// Incarnation of that daemon.
        incarnation: Incarnation,
        /// Attempt that the claim permitted.
        attempt: AttemptId,
    },
    /// Records that the outcome of a sent call cannot be determined.
    MarkUnknown {
        /// Organisation that made the call.
        organisation: OrganisationId,
        /// Idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// VM of the daemon that holds the claim.
        holder: VmId,
        /// Incarnation of that daemon.
        incarnation: Incarnation,
        /// Attempt that the claim permitted.
        attempt: AttemptId,
    },
    /// Announces a new incarnation of a daemon. Calls claimed by its earlier incarnations have an
    /// unknown outcome from then on, without waiting for the next claim of the daemon.
    NoteLife {
        /// VM of the daemon.
        vm: VmId,
        /// Incarnation that the daemon has started; later incarnations have higher numbers.
        incarnation: Incarnation,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
    /// Same as [`Command::DesireModel`]; logs of earlier releases contain one entry per server.
    DesireWeights {
        /// Server of the earlier format. Ignored, because the desired weights of a model apply to
        /// all its servers.
        server: ServerId,
        /// Model to load or serve.
        model: ModelId,
        /// Requested version.
        weights: WeightsVersion,
    },
    /// Shares the fingerprint of a request that crashes backend servers.
    NoteSuspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Crashes counted so far by the proposer.
        strikes: u32,
    },
    /// Adds the current disk of a VM as a learner and removes any earlier disk of that VM. The
    /// learner becomes a voter once it has caught up.
    ReplaceReplica {
        /// VM whose disk is added.
        vm: VmId,
        /// Incarnation of the disk; `None` selects the one that the leader received a message from
        /// last.
        incarnation: Option<Incarnation>,
    },
    /// Removes a VM from the group.
    RemoveReplica {
        /// VM to remove.
        vm: VmId,
    },
    /// Replaces the operators' document unless the current one has this number or a higher one.
    PutDocument {
        /// Number chosen by the operator; the highest one wins.
        number: DocumentNumber,
        /// Document exactly as submitted.
        body: String,
    },
    /// Names the weights version that all servers of a model should reach, unless a later one is
    /// already named.
    NameWeights {
        /// Model to load or serve.
        model: ModelId,
        /// Requested version.
        version: WeightsNumber,
    },
    /// Sets the weights that all servers of a model should load, under a new fencing number.
    DesireModel {
        /// Model to load or serve.
        model: ModelId,
        /// Requested version.
        weights: WeightsVersion,
    },
    /// Declares that attempts of a daemon at non-repeatable calls below a number have ended: the
    /// end of each sent attempt is committed, and no other attempt below the number will be sent.
    EndAttempts {
        /// VM of the daemon.
        vm: VmId,
        /// Incarnation of that daemon.
        incarnation: Incarnation,
        /// Oldest attempt that the daemon may still send or end; only grows.
        floor: AttemptId,
        /// Milliseconds since the Unix epoch at the proposer, for retention only.
        now_ms: u64,
    },
    /// As [`Command::PutDocument`], with a compressed body.
    PutPackedDocument {
        /// Number chosen by the operator; the highest one wins.
        number: DocumentNumber,
        /// Document as submitted, compressed.
        packed: PackedDocument,
    },
}

impl Command {
    /// Whether the command changes what entries serve by, so that its effect must not depend on the
    /// leader once it is confirmed.
    pub fn changes_followers(&self) -> bool {
        match self {
            Command::ApplyRegister { .. }
            | Command::ApplyRules { .. }
            | Command::PutDocument { .. }
            | Command::PutPackedDocument { .. }
            | Command::NameWeights { .. } => true,
            Command::Reserve { .. }
            | Command::Finish { .. }
            | Command::Release { .. }
            | Command::MarkUnknown { .. }
            | Command::NoteLife { .. }
            | Command::DesireWeights { .. }
            | Command::NoteSuspect { .. }
            | Command::ReplaceReplica { .. }
            | Command::RemoveReplica { .. }
            | Command::DesireModel { .. }
            | Command::EndAttempts { .. } => false,
        }
    }

    /// Size in bytes of the document, register, rules or response body that the command carries; 0
    /// if it carries none.
    pub fn body_bytes(&self) -> usize {
        match self {
            Command::ApplyRegister { body, .. }
            | Command::ApplyRules { body, .. }
            | Command::PutDocument { body, .. } => body.len(),
            Command::PutPackedDocument { packed, .. } => packed.len(),
            Command::Finish { answer, .. } => answer.body.len(),
            _ => 0,
        }
    }
}

/// Response of a non-repeatable call, stored for resends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; empty if there was none.
    pub content_type: String,
    /// Complete response body.
    pub body: Vec<u8>,
}

/// Outcome of a committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The configuration has been replaced. A resend gets the outcome of the first application.
    Applied {
        /// New revision.
        revision: Revision,
    },
    /// The expected revision is no longer the current one.
    Conflict {
        /// Current revision.
        revision: Revision,
        /// Digest of the change that was applied instead.
        winner: DigestHex,
    },
    /// The proposer holds the claim and may send the call once.
    Reserved,
    /// Another daemon or another attempt holds the claim and has not finished.
    Running {
        /// VM of the holder.
        holder: VmId,
        /// Incarnation of the holder.
        incarnation: Incarnation,
    },
    /// The call was executed.
    Finished {
        /// Its stored response.
        answer: KeptAnswer,
    },
    /// The key was used with a different request.
    KeyReused,
    /// The outcome of the call cannot be determined: it may have been executed.
    Unknown,
    /// The claim is released, or the attempt has ended and may not claim the call.
    Released,
    /// The proposer does not hold the claim.
    NotHolder,
    /// The ledger is full of entries that may not be dropped yet.
    LedgerFull,
    /// The desired weights are recorded.
    Desired {
        /// Fencing number of the first entry that set these weights.
        fencing: FencingNumber,
    },
    /// The command was applied.
    Noted,
    /// The membership change is committed.
    MembershipChanged,
    /// The command changed nothing.
    Refused {
        /// Reason and remedy.
        reason: String,
    },
    /// The current document has this number. It is the proposed document or a later one.
    DocumentHeld {
        /// Number of the current document.
        number: DocumentNumber,
    },
    /// The ledger may have dropped its record of attempts below this number.
    Forgotten {
        /// Lowest attempt that may claim a call.
        below: AttemptId,
    },
}

/// Why a proposal returned no outcome.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
pub enum ProposeError {
    /// no quorum is reachable and the command did not enter the log; retry when the replicas of two
    /// failure domains can reach each other
    NoQuorum,
    /// the command may or may not have been committed; retry with the same operation id or key
    OutcomeUnknown,
    /// too many proposals wait; retry after a second
    Busy,
}

impl std::error::Error for ProposeError {}
