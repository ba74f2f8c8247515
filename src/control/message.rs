//! Messages between replicas.

use {
    crate::{
        control::entry::{LogEntry, Membership, OVERHEAD_BYTES},
        ids::{Incarnation, LogIndex, Term, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Identifies one founding of a group of replicas, so that two foundings never mix.
pub type GroupId = u64;
/// Counts a leader's heartbeats and appends; a reply that repeats the number proves when the
/// follower was last at the leader's disposal.
pub type RoundNumber = u64;

/// What one replica tells another; the transport says which VM it is from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The group of the sender; `None` while it belongs to none.
    pub group: Option<GroupId>,
    /// The sender's disk; votes and replies count only from the disk named in the membership.
    pub from_incarnation: Incarnation,
    /// The disk that it is meant for; `None` means any. Another disk drops the message.
    pub to_incarnation: Option<Incarnation>,
    /// The sender's term.
    pub term: Term,
    /// The message itself.
    pub body: MessageBody,
}

impl ReplicaMessage {
    /// About what it takes.
    pub fn bytes(&self) -> usize {
        let bodies = match &self.body {
            MessageBody::Append { entries, .. } => entries.iter().map(LogEntry::bytes).sum(),
            MessageBody::SnapshotChunk { data, .. } => data.len(),
            _ => 0,
        };
        OVERHEAD_BYTES + bodies
    }
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is no voter and hears no leader. Without a group it looks for one.
    Probe {
        /// Digest of the list of founders in its settings.
        founders: u64,
    },
    /// The founding membership, for a founder that lacks it.
    Founding {
        /// The membership, the same at each founder.
        membership: Membership,
    },
    /// Asks whether a vote would be granted, without a change of term.
    PreVote {
        /// The term that the sender would stand in.
        next_term: Term,
        /// The last entry of the sender's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// Replies to a pre-vote.
    PreVoteReply {
        /// The term asked about.
        next_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last entry of the sender's log.
        last_index: LogIndex,
        /// The term of that entry.
        last_term: Term,
    },
    /// Replies to a request for a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader is alive.
    Heartbeat {
        /// Its round.
        round: RoundNumber,
        /// What the receiver may commit: never past what the leader knows it to hold.
        commit: LogIndex,
        /// What the receiver must have applied to be up to date.
        target: LogIndex,
    },
    /// Replies to a heartbeat.
    HeartbeatReply {
        /// The round of the heartbeat.
        round: RoundNumber,
    },
    /// Entries that follow `prev_index`.
    Append {
        /// The leader's round.
        round: RoundNumber,
        /// The entry before the first one sent.
        prev_index: LogIndex,
        /// The term of that entry.
        prev_term: Term,
        /// The entries, without gaps.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// What the receiver must have applied to be up to date.
        target: LogIndex,
    },
    /// The receiver holds the leader's log up to `matched`, synced.
    AppendReply {
        /// The round of the append.
        round: RoundNumber,
        /// The last entry known to be the leader's.
        matched: LogIndex,
    },
    /// The receiver lacks the entry before the first one sent.
    AppendRejected {
        /// The round of the append.
        round: RoundNumber,
        /// The `prev_index` that was refused.
        refused: LogIndex,
        /// Where the leader may try again.
        hint: LogIndex,
    },
    /// A piece of a snapshot.
    SnapshotChunk {
        /// The leader's round.
        round: RoundNumber,
        /// What the snapshot covers.
        head: SnapshotHead,
        /// Where the piece begins.
        offset: u64,
        /// Length of the whole.
        total: u64,
        /// The piece.
        data: Vec<u8>,
    },
    /// The receiver has the snapshot up to `received`.
    SnapshotReply {
        /// The round of the piece.
        round: RoundNumber,
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// Bytes received without a gap.
        received: u64,
    },
    /// Names control VMs to one that is no member, so that it can make itself known to the leader.
    Contacts {
        /// The members that the sender knows, and VMs that were named to itself.
        vms: BTreeSet<VmId>,
    },
}

/// What a snapshot covers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// The last entry applied in it.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
}
