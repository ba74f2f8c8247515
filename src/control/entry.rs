//! Log entries, group membership and the durable state of a replica.

use {
    crate::{
        control::{
            command::Command,
            message::{GroupId, SnapshotHead},
        },
        ids::{Incarnation, LogIndex, Term, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Term of the entry that founds the group; elections use higher terms.
pub const FOUNDING_TERM: Term = 1;

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position in the log, without gaps from 1.
    pub index: LogIndex,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Estimated size in bytes of an entry or message without the bodies that it carries.
pub const OVERHEAD_BYTES: usize = 256;

impl LogEntry {
    /// Estimated size in bytes.
    pub fn bytes(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(command) => OVERHEAD_BYTES + command.body_bytes(),
            EntryPayload::Opening | EntryPayload::Membership(_) => OVERHEAD_BYTES,
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No-op entry at the start of a leader's term, which allows entries of earlier terms to be
    /// committed.
    Opening,
    /// Command for the state machine.
    Command(Command),
    /// Membership from this entry on. It takes effect when the entry is written, before it is
    /// committed.
    Membership(Membership),
}

/// Replicas of the group, each identified by its VM and the incarnation of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that count in quorums, with the incarnations of their disks.
    pub voters: BTreeMap<VmId, Incarnation>,
    /// Replicas that are catching up; disjoint from the voters.
    pub learners: BTreeMap<VmId, Incarnation>,
}

impl Membership {
    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether this disk of `vm` is a voter.
    pub fn is_voter(&self, vm: &str, incarnation: Incarnation) -> bool {
        self.voters.get(vm) == Some(&incarnation)
    }

    /// Whether this disk of `vm` is a voter or a learner.
    pub fn is_member(&self, vm: &str, incarnation: Incarnation) -> bool {
        self.incarnation(vm) == Some(incarnation)
    }

    /// Incarnation of the disk of `vm` that belongs to the group; `None` if `vm` is no member.
    pub fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        self.voters.get(vm).or_else(|| self.learners.get(vm)).copied()
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, Incarnation)> {
        self.voters.iter().chain(&self.learners).map(|(vm, incarnation)| (vm, *incarnation))
    }

    /// Identity of the group that is founded with this membership.
    pub fn group(&self) -> GroupId {
        let encoded = postcard::to_stdvec(self).expect("a membership always encodes");
        xxhash_rust::xxh3::xxh3_64(&encoded)
    }

    /// First log entry of the group that is founded with this membership.
    pub fn founding_entry(&self) -> LogEntry {
        LogEntry { term: FOUNDING_TERM, index: 1, payload: EntryPayload::Membership(self.clone()) }
    }
}

/// Snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedSnapshot {
    /// Last entry and membership that the snapshot covers.
    pub head: SnapshotHead,
    /// The encoded state machine.
    pub data: Vec<u8>,
}

/// Change of the durable state of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DurableWrite {
    /// Term, vote and group.
    HardState(HardState),
    /// Entries that follow those before the first of them and replace all later ones.
    Entries(Vec<LogEntry>),
    /// All entries up to this index are known to be committed.
    Commit(LogIndex),
    /// Snapshot that replaces the entries up to its head. Later entries are kept if they follow it.
    Snapshot(SavedSnapshot),
}

impl DurableWrite {
    /// Estimated size in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            DurableWrite::Entries(entries) => entries.iter().map(LogEntry::bytes).sum(),
            DurableWrite::Snapshot(snapshot) => OVERHEAD_BYTES + snapshot.data.len(),
            DurableWrite::HardState(_) | DurableWrite::Commit(_) => OVERHEAD_BYTES,
        }
    }
}

/// Raft state that must be durable before a message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen; never decreases.
    pub term: Term,
    /// Candidate that received the vote of this replica in that term; set at most once a term.
    pub vote: Option<(VmId, Incarnation)>,
    /// Group that the replica belongs to; set at most once.
    pub group: Option<GroupId>,
}

/// Durable writes that are synced together.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistBatch {
    /// Batch number, without gaps from 1.
    pub number: u64,
    /// Writes in the order in which they apply.
    pub writes: Vec<DurableWrite>,
}

/// Durable state that a replica reads at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedState {
    /// Incarnation of the disk.
    pub incarnation: Incarnation,
    /// Term, vote and group.
    pub hard_state: HardState,
    /// Most recent snapshot; `None` before the first one.
    pub snapshot: Option<SavedSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// All entries up to this index are known to be committed.
    pub commit: LogIndex,
}

impl SavedState {
    /// State of a disk that holds no data of a replica.
    pub fn empty(incarnation: Incarnation) -> Self {
        SavedState { incarnation, ..SavedState::default() }
    }

    /// Applies one write. Returns `false` if it cannot follow the writes before it.
    #[must_use]
    pub fn apply(&mut self, write: DurableWrite) -> bool {
        match write {
            DurableWrite::HardState(hard_state) => self.hard_state = hard_state,
            DurableWrite::Commit(commit) => self.commit = self.commit.max(commit),
            DurableWrite::Entries(entries) => return self.put_entries(entries),
            DurableWrite::Snapshot(snapshot) => self.put_snapshot(snapshot),
        }
        true
    }

    fn put_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let Some(first) = entries.first().map(|entry| entry.index) else { return true };
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        if first <= base || first > base + self.entries.len() as LogIndex + 1 {
            return false;
        }
        self.entries.truncate((first - base - 1) as usize);
        self.entries.extend(entries);
        true
    }

    fn put_snapshot(&mut self, snapshot: SavedSnapshot) {
        let head = &snapshot.head;
        let follows = self
            .entries
            .iter()
            .position(|entry| entry.index == head.index && entry.term == head.term);
        match follows {
            Some(position) => drop(self.entries.drain(..=position)),
            None => self.entries.clear(),
        }
        self.commit = self.commit.max(head.index);
        self.snapshot = Some(snapshot);
    }
}
