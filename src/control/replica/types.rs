//! Settings, inputs, outputs and status of a replica.

use {
    crate::{
        control::{
            command::{Command, CommandOutcome, ProposeError},
            entry::{Membership, PersistBatch},
            message::ReplicaMessage,
        },
        ids::{Incarnation, LogIndex, Term, VmId},
    },
    displaydoc::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Identifies a proposal between the replica and its driver.
pub type ProposalId = u64;

/// Identifies a read between the replica and its driver.
pub type ReadId = u64;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// VM that the replica runs on.
    pub vm: VmId,
    /// VMs that found the group together; identical on each of them.
    pub founders: BTreeSet<VmId>,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Timer intervals.
    pub timing: ReplicaTiming,
    /// Limits on sizes and counts.
    pub limits: ReplicaLimits,
}

/// Timer intervals of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Interval between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// How long a follower withholds its vote after a message of a leader. Elections start after a
    /// random time between one and two times this value, and a leader without replies of a quorum
    /// for this long steps down.
    pub election: Duration,
    /// How long a leader relies on the replies of a quorum. It is shorter than `election` by the
    /// margin for clock drift.
    pub lease: Duration,
    /// Interval between two probes of a replica without a group.
    pub probe: Duration,
}

impl Default for ReplicaTiming {
    /// Four heartbeats fit into an election timeout, so three consecutive lost heartbeats do not
    /// depose a leader, and a failed leader is replaced within three seconds of the 13 s that a
    /// change may take. The lease leaves a quarter of the timeout for clock drift and scheduling
    /// delays.
    fn default() -> Self {
        ReplicaTiming {
            heartbeat: Duration::from_millis(250),
            election: Duration::from_millis(1_000),
            lease: Duration::from_millis(750),
            probe: Duration::from_millis(250),
        }
    }
}

/// Limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaLimits {
    /// Maximum size in bytes of a command; a larger one is refused before it enters the log.
    pub command_bytes: usize,
    /// Maximum size in bytes of the entries of an append; a single larger entry is sent alone.
    pub append_bytes: usize,
    /// Maximum number of appends in flight to one follower.
    pub appends_in_flight: usize,
    /// Size in bytes of a snapshot chunk.
    pub chunk_bytes: usize,
    /// Number of entries applied since the last snapshot that triggers a new one.
    pub compact_entries: u64,
    /// Size in bytes of the held entries that triggers a new snapshot.
    pub compact_bytes: usize,
    /// Number of entries kept in memory after a snapshot, for followers that are slightly behind.
    pub kept_entries: u64,
    /// Maximum number of uncommitted proposals and unconfirmed reads; further ones are refused as busy.
    pub proposals: usize,
}

impl Default for ReplicaLimits {
    /// A command must fit into one message between daemons, which is 8 MiB at most; a command that
    /// cannot be sent to followers would block the log permanently. An append of 256 KiB crosses a
    /// failure domain in well under a heartbeat interval. 4,096 entries of the usual size are about
    /// 2 MB of log and are replayed in a few milliseconds.
    fn default() -> Self {
        ReplicaLimits {
            command_bytes: 7 << 20,
            append_bytes: 256 << 10,
            appends_in_flight: 4,
            chunk_bytes: 256 << 10,
            compact_entries: 4096,
            compact_bytes: 8 << 20,
            kept_entries: 512,
            proposals: 4096,
        }
    }
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum ReplicaInput {
    /// A timer is due.
    Tick,
    /// A message was received.
    Received {
        /// VM that the transport has authenticated as the sender.
        from: VmId,
        /// Received message.
        message: ReplicaMessage,
    },
    /// All batches up to a number are synced.
    Persisted {
        /// Number of the last synced batch.
        number: u64,
    },
    /// A local client proposes a command.
    Propose {
        /// Identifies the proposal; returned with its outcome.
        proposal: ProposalId,
        /// Proposed command.
        command: Command,
    },
    /// A local client reads the state, which must contain all that was committed before.
    Read {
        /// Identifies the read; returned with its outcome.
        read: ReadId,
    },
    /// The VMs named in the settings have changed. A replica without a group probes them, but they
    /// do not participate in founding a group.
    ConfiguredPeers {
        /// VMs named in the settings.
        peers: BTreeSet<VmId>,
    },
}

/// Action requested by a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Write and sync the batch, in the order of the numbers, then report it with
    /// [`ReplicaInput::Persisted`].
    Persist(PersistBatch),
    /// Send a message. It may be lost, duplicated or reordered.
    Send {
        /// VM of the receiver.
        to: VmId,
        /// Message to send.
        message: ReplicaMessage,
    },
    /// A proposal is completed.
    Completed {
        /// Identifies the proposal.
        proposal: ProposalId,
        /// Outcome of the proposal.
        outcome: Result<CommandOutcome, LocalProposeError>,
    },
    /// The state of this replica contains all that was committed before the read, or cannot be read.
    ReadConfirmed {
        /// Identifies the read.
        read: ReadId,
        /// Why the state cannot be read; never [`LocalProposeError::OutcomeUnknown`].
        outcome: Result<(), LocalProposeError>,
    },
    /// Event to log for the operator.
    Report(String),
}

/// Why a proposal or a read at this replica returned no outcome.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum LocalProposeError {
    /// this replica does not lead and the command did not enter its log; propose it at the leader
    NotLeader {
        /// Leader known to this replica; `None` if it knows none.
        leader: Option<VmId>,
    },
    /// the leader reaches no quorum and the command did not enter the log; retry when it does
    NoQuorum,
    /// too many proposals wait; retry after a second
    Busy,
    /// the command may or may not be committed; retry with the same operation id or key
    OutcomeUnknown,
}

impl std::error::Error for LocalProposeError {}

impl From<LocalProposeError> for ProposeError {
    fn from(error: LocalProposeError) -> Self {
        match error {
            LocalProposeError::NotLeader { .. } | LocalProposeError::NoQuorum => {
                ProposeError::NoQuorum
            }
            LocalProposeError::Busy => ProposeError::Busy,
            LocalProposeError::OutcomeUnknown => ProposeError::OutcomeUnknown,
        }
    }
}

/// Role of a replica in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Belongs to no group; waits for the founding or until it is added.
    #[default]
    Waiting,
    /// Follows the leader without counting in quorums.
    Learner,
    /// Voter that follows the leader or waits for one.
    Follower,
    /// Voter that requests votes.
    Candidate,
    /// Voter that leads the group.
    Leader,
}

impl ReplicaRole {
    /// Name of the role in operator output.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicaRole::Waiting => "waiting",
            ReplicaRole::Learner => "learner",
            ReplicaRole::Follower => "follower",
            ReplicaRole::Candidate => "candidate",
            ReplicaRole::Leader => "leader",
        }
    }
}

/// Status of a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// Role in the group.
    pub role: ReplicaRole,
    /// Incarnation of its disk.
    pub incarnation: Incarnation,
    /// Current term.
    pub term: Term,
    /// Known leader; `None` while there is none.
    pub leader: Option<VmId>,
    /// Whether everything committed until recently is applied on this replica.
    pub is_fresh: bool,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Index of the last entry applied to the state machine.
    pub applied: LogIndex,
    /// Index of the last entry of the log.
    pub last: LogIndex,
    /// Membership known to this replica.
    pub members: Membership,
    /// Disks that have sent a message within the last probe intervals and are no members. They can
    /// be added to the group.
    pub non_members: BTreeMap<VmId, Incarnation>,
    /// Control VMs named by others since the process started.
    pub contacts: BTreeSet<VmId>,
    /// End of the leader lease; `None` unless this replica leads.
    pub lease_until: Option<Instant>,
    /// Time at which each other member last replied to this leader, or was added; empty unless this
    /// replica leads.
    pub last_replies: BTreeMap<VmId, Instant>,
    /// Time of its election; `None` unless this replica leads.
    pub leader_since: Option<Instant>,
    /// Reason why the replica stopped, with the remedy; `None` while it runs.
    pub failure: Option<String>,
}
