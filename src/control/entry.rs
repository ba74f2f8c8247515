//! The replicated log's entries, the membership of the group, and what a replica keeps on disk.

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

/// The term of the founding entry; elections start above it.
pub const FOUNDING_TERM: Term = 1;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its position, without gaps from 1.
    pub index: LogIndex,
    /// What it carries.
    pub payload: EntryPayload,
}

/// What an entry or a message costs beside the bodies that it carries.
pub const OVERHEAD_BYTES: usize = 256;

impl LogEntry {
    /// About what it takes.
    pub fn bytes(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(command) => OVERHEAD_BYTES + command.body_bytes(),
            EntryPayload::Opening | EntryPayload::Membership(_) => OVERHEAD_BYTES,
        }
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Opens a leader's term, so that older entries can be committed.
    Opening,
    /// A command of the state machine.
    Command(Command),
    /// The membership from this entry on, in force as soon as it is written.
    Membership(Membership),
}

/// Which disks make up the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that count in quorums, each with the incarnation of its disk.
    pub voters: BTreeMap<VmId, Incarnation>,
    /// Replicas that are catching up; never also voters.
    pub learners: BTreeMap<VmId, Incarnation>,
}

impl Membership {
    /// How many voters make a quorum.
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

    /// The disk of `vm` that belongs to the group.
    pub fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        self.voters.get(vm).or_else(|| self.learners.get(vm)).copied()
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, Incarnation)> {
        self.voters.iter().chain(&self.learners).map(|(vm, incarnation)| (vm, *incarnation))
    }

    /// The identity of the group that this membership founds.
    pub fn group(&self) -> GroupId {
        let encoded = postcard::to_stdvec(self).expect("a membership always encodes");
        xxhash_rust::xxh3::xxh3_64(&encoded)
    }

    /// The first entry of the group that this membership founds.
    pub fn founding_entry(&self) -> LogEntry {
        LogEntry { term: FOUNDING_TERM, index: 1, payload: EntryPayload::Membership(self.clone()) }
    }
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedSnapshot {
    /// What it covers.
    pub head: SnapshotHead,
    /// The encoded state machine.
    pub data: Vec<u8>,
}

/// A change of what a replica keeps on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DurableWrite {
    /// Term, vote and group.
    HardState(HardState),
    /// Entries to put after those before the first of them; later ones fall away.
    Entries(Vec<LogEntry>),
    /// Entries up to here are known to be committed.
    Commit(LogIndex),
    /// A snapshot that covers the entries up to its head; those after it stay if they follow it.
    Snapshot(SavedSnapshot),
}

impl DurableWrite {
    /// About what it takes.
    pub fn bytes(&self) -> usize {
        match self {
            DurableWrite::Entries(entries) => entries.iter().map(LogEntry::bytes).sum(),
            DurableWrite::Snapshot(snapshot) => OVERHEAD_BYTES + snapshot.data.len(),
            DurableWrite::HardState(_) | DurableWrite::Commit(_) => OVERHEAD_BYTES,
        }
    }
}

/// What a replica must never forget between two messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen; never falls.
    pub term: Term,
    /// The vote given in that term; given once.
    pub vote: Option<(VmId, Incarnation)>,
    /// The group; set once.
    pub group: Option<GroupId>,
}

/// Changes that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistBatch {
    /// Numbers the batches from 1 without gaps.
    pub number: u64,
    /// The changes, in order.
    pub writes: Vec<DurableWrite>,
}

/// What a replica finds on its disk at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedState {
    /// The incarnation of the disk.
    pub incarnation: Incarnation,
    /// Term, vote and group.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Option<SavedSnapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
    /// Entries up to here are known to be committed.
    pub commit: LogIndex,
}

impl SavedState {
    /// An empty disk.
    pub fn empty(incarnation: Incarnation) -> Self {
        SavedState { incarnation, ..SavedState::default() }
    }

    /// Takes in one change; `false` means that it cannot follow the changes before it.
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
