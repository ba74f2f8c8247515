//! Messages exchanged by replicas.

use {
    crate::{
        control::entry::{LogEntry, Membership, OVERHEAD_BYTES},
        ids::{Incarnation, LogIndex, Term, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Identifies a group by its founding membership, so that two foundings never mix.
pub type GroupId = u64;
/// Number of a leader's heartbeat round. A reply repeats the number and proves that the follower
/// accepted the leader at the start of that round or later.
pub type RoundNumber = u64;

/// Message between two replicas. The transport names the VM of the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// Group of the sender; `None` while it belongs to none.
    pub group: Option<GroupId>,
    /// Incarnation of the sender's disk. Votes and replies count only from the disk named in the
    /// membership.
    pub from_incarnation: Incarnation,
    /// Incarnation of the disk that the message is meant for; `None` means any. A replica on
    /// another disk drops the message.
    pub to_incarnation: Option<Incarnation>,
    /// Current term of the sender.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

impl ReplicaMessage {
    /// Estimated size in bytes.
    pub fn bytes(&self) -> usize {
        let bodies = match &self.body {
            MessageBody::Append { entries, .. } => entries.iter().map(LogEntry::bytes).sum(),
            MessageBody::SnapshotChunk { data, .. } => data.len(),
            _ => 0,
        };
        OVERHEAD_BYTES + bodies
    }
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is not a voter and knows no leader. If it belongs to no group, it searches for
    /// one.
    Probe {
        /// Digest of the founders in the sender's settings.
        founders: u64,
    },
    /// Sends the founding membership to a founder that lacks it.
    Founding {
        /// Founding membership, identical at each founder.
        membership: Membership,
    },
    /// Requests a pre-vote: whether a vote would be granted. The term does not change.
    PreVote {
        /// Term in which the sender would be a candidate.
        next_term: Term,
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a pre-vote request.
    PreVoteReply {
        /// Term of the request.
        next_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Periodic message of the leader.
    Heartbeat {
        /// Heartbeat round of the leader.
        round: RoundNumber,
        /// Index up to which the receiver may commit; at most the last entry that the leader knows
        /// it to hold.
        commit: LogIndex,
        /// Index that the receiver must have applied to be up to date.
        target: LogIndex,
    },
    /// Reply to a heartbeat.
    HeartbeatReply {
        /// Round of the heartbeat.
        round: RoundNumber,
    },
    /// Log entries after `prev_index`.
    Append {
        /// Heartbeat round of the leader.
        round: RoundNumber,
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries without gaps; may be empty.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Index that the receiver must have applied to be up to date.
        target: LogIndex,
    },
    /// The receiver has synced the leader's log up to `matched`.
    AppendReply {
        /// Round of the append.
        round: RoundNumber,
        /// Index of the last entry known to match the leader's log.
        matched: LogIndex,
    },
    /// The receiver lacks the entry at `prev_index`.
    AppendRejected {
        /// Round of the append.
        round: RoundNumber,
        /// Value of `prev_index` that was rejected.
        refused: LogIndex,
        /// Index of the entry after which the leader should continue.
        hint: LogIndex,
    },
    /// Chunk of a snapshot.
    SnapshotChunk {
        /// Heartbeat round of the leader.
        round: RoundNumber,
        /// Last entry and membership that the snapshot covers.
        head: SnapshotHead,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Length of the snapshot in bytes.
        total: u64,
        /// Content of the chunk.
        data: Vec<u8>,
    },
    /// The receiver holds the first `received` bytes of the snapshot.
    SnapshotReply {
        /// Round of the chunk.
        round: RoundNumber,
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Bytes received without gaps from the start.
        received: u64,
    },
    /// Names control VMs to a VM that is no member, so that it can probe the leader.
    Contacts {
        /// Members known to the sender, and VMs that other control VMs have named to it.
        vms: BTreeSet<VmId>,
    },
}

/// Last entry and membership that a snapshot covers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotHead {
    /// Index of the last entry applied in the snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
}
