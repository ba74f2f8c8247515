//! What goes into a replica and what comes out.

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

/// Names a proposal between the replica and its driver.
pub type ProposalId = u64;

/// What a replica needs to know of its place.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The VMs that found the group together; the same set at each of them.
    pub founders: BTreeSet<VmId>,
    /// Seeds the election timeouts.
    pub seed: u64,
    /// Its timing.
    pub timing: ReplicaTiming,
    /// Its bounds.
    pub limits: ReplicaLimits,
}

/// When a replica acts on its own.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaTiming {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// How long a follower that heard from a leader refuses to vote; elections start after a
    /// random time from this to twice this. A leader steps down when no quorum answered for it.
    pub election: Duration,
    /// How long a leader relies on a quorum's reply; shorter than `election` by what clocks may
    /// drift apart meanwhile.
    pub lease: Duration,
    /// Between two probes of a replica without a group.
    pub probe: Duration,
}

impl Default for ReplicaTiming {
    /// Four heartbeats fit into an election timeout, so three lost ones in a row unseat nobody,
    /// and a failed leader is replaced within three seconds of the 13 s that a change may take.
    /// The lease leaves a quarter of the timeout for drift and for late scheduling.
    fn default() -> Self {
        ReplicaTiming {
            heartbeat: Duration::from_millis(250),
            election: Duration::from_millis(1_000),
            lease: Duration::from_millis(750),
            probe: Duration::from_millis(250),
        }
    }
}

/// How much a replica holds.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaLimits {
    /// Bytes of one command; a longer one is refused before it enters the log.
    pub command_bytes: usize,
    /// Bytes of entries in one append; one entry goes even if it is longer.
    pub append_bytes: usize,
    /// Appends on their way to one follower.
    pub appends_in_flight: usize,
    /// Bytes of one piece of a snapshot.
    pub chunk_bytes: usize,
    /// Entries applied since the last snapshot that call for a new one.
    pub compact_entries: u64,
    /// Bytes of entries kept that call for a new snapshot.
    pub compact_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that are a little late.
    pub kept_entries: u64,
    /// Proposals that wait for their commit; further ones are refused as busy.
    pub proposals: usize,
}

impl Default for ReplicaLimits {
    /// A command must fit into one message between daemons, which is 8 MiB at most: one that no
    /// follower can be sent would stop the log for good. An append of 256 KiB crosses a domain in well under a heartbeat; 4,096 entries of the
    /// usual size are about 2 MB of log and replay in a few milliseconds.
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

/// What can happen to a replica.
#[derive(Clone, Debug)]
pub enum ReplicaInput {
    /// Time has passed.
    Tick,
    /// A message came in.
    Received {
        /// The VM that the transport names as the sender.
        from: VmId,
        /// The message.
        message: ReplicaMessage,
    },
    /// All batches up to this number are synced.
    Persisted {
        /// The number.
        number: u64,
    },
    /// Someone here wants a command carried out.
    Propose {
        /// Comes back with the outcome.
        proposal: ProposalId,
        /// The command.
        command: Command,
    },
    /// The settings name these VMs now: without a group the replica makes itself known to them as
    /// well. They found nothing.
    ConfiguredPeers {
        /// The VMs.
        peers: BTreeSet<VmId>,
    },
}

/// What a replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Write and sync, in the order of the numbers, then report it as `Persisted`.
    Persist(PersistBatch),
    /// Send; the message may be lost, doubled or overtaken.
    Send {
        /// The VM.
        to: VmId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A proposal has its outcome.
    Completed {
        /// The proposal.
        proposal: ProposalId,
        /// Its outcome.
        outcome: Result<CommandOutcome, LocalProposeError>,
    },
    /// Something that an operator should read.
    Report(String),
}

/// Why a proposal at this replica has no outcome.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum LocalProposeError {
    /// this replica does not lead and the command did not enter its log; propose it at the leader
    NotLeader {
        /// The leader, as far as this replica knows.
        leader: Option<VmId>,
    },
    /// the leader reaches no quorum and the command did not enter the log; retry when it does
    NoQuorum,
    /// too many proposals wait; retry after a second
    Busy,
    /// the command may or may not be committed; ask again with the same operation id or key
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

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Belongs to no group: waits for the founding, or to be taken in by command.
    #[default]
    Waiting,
    /// Follows the leader without counting in quorums.
    Learner,
    /// Follows the leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

impl ReplicaRole {
    /// The name used by operators.
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

/// What a replica tells about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// What it does.
    pub role: ReplicaRole,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<VmId>,
    /// Whether all that was committed until a moment ago is applied here.
    pub is_fresh: bool,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry applied to the state machine.
    pub applied: LogIndex,
    /// The last entry of its log.
    pub last: LogIndex,
    /// The members, as far as it knows.
    pub members: Membership,
    /// Disks that it has heard from within the last probes and that are no members: they may be taken
    /// in.
    pub non_members: BTreeMap<VmId, Incarnation>,
    /// Control VMs that others have named in this life.
    pub contacts: BTreeSet<VmId>,
    /// Until when no other replica can lead; `None` unless this one leads.
    pub lease_until: Option<Instant>,
    /// When each other member last replied to this leader, or this leader began; empty unless it
    /// leads.
    pub last_replies: BTreeMap<VmId, Instant>,
    /// Since when it leads; `None` unless it does.
    pub leader_since: Option<Instant>,
    /// Why it stopped, once it has: the text names the remedy.
    pub failure: Option<String>,
}
