//! Log entries that a replica holds in memory, and the memberships in them.

use {
    crate::{
        control::{
            entry::{EntryPayload, LogEntry, Membership},
            message::SnapshotHead,
        },
        ids::{LogIndex, Term},
    },
    std::collections::VecDeque,
};

/// Tail of the log that starts at or before the last snapshot.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    /// Index of the entry before the first one held; zero if the log is complete.
    base: LogIndex,
    base_term: Term,
    /// Entries without gaps from `base + 1`.
    entries: VecDeque<LogEntry>,
    /// Memberships in ascending order of index. The first one is the membership at `base`. Empty
    /// while the log is empty.
    memberships: Vec<(LogIndex, Membership)>,
    /// Estimated size in bytes of the entries.
    bytes: usize,
}

impl ReplicaLog {
    /// Creates a log that begins after a snapshot.
    pub fn after(head: &SnapshotHead) -> Self {
        ReplicaLog {
            base: head.index,
            base_term: head.term,
            memberships: vec![(head.index, head.membership.clone())],
            ..ReplicaLog::default()
        }
    }

    /// Index of the entry before the first one held; zero if the log is complete.
    pub fn base(&self) -> LogIndex {
        self.base
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.base + self.entries.len() as LogIndex
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Estimated size in bytes of the entries held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of an entry; `None` if the entry is compacted or not yet written.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at `index`; `None` if it is compacted or not yet written.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base + 1)?;
        self.entries.get(position as usize)
    }

    /// Entries from `first` on, up to `bytes` but at least one if there is one.
    pub fn batch(&self, first: LogIndex, bytes: usize) -> Vec<LogEntry> {
        let mut left = bytes;
        let mut batch = Vec::new();
        while let Some(entry) = self.entry(first + batch.len() as LogIndex) {
            let size = entry.bytes();
            if size > left && !batch.is_empty() {
                break;
            }
            left = left.saturating_sub(size);
            batch.push(entry.clone());
        }
        batch
    }

    /// Current membership: the last one written, whether committed or not.
    pub fn membership(&self) -> &Membership {
        static EMPTY: Membership = Membership {
            voters: std::collections::BTreeMap::new(),
            learners: std::collections::BTreeMap::new(),
        };
        self.memberships.last().map_or(&EMPTY, |(_, membership)| membership)
    }

    /// Index of the entry that carries the current membership.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Membership at an entry; `None` if it is not known.
    pub fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        self.memberships.iter().rev().find(|(at, _)| *at <= index).map(|(_, membership)| membership)
    }

    /// Appends an entry; its index follows the last one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `first` on.
    pub fn truncate(&mut self, first: LogIndex) {
        while self.last_index() >= first {
            let Some(entry) = self.entries.pop_back() else { break };
            self.bytes -= entry.bytes();
        }
        self.memberships.retain(|(index, _)| *index < first);
    }

    /// Drops entries up to `last`, and further ones up to `limit` while more than `bytes` are held.
    pub fn compact(&mut self, last: LogIndex, limit: LogIndex, bytes: usize) {
        while self.base < last || (self.base < limit && self.bytes > bytes) {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= entry.bytes();
            (self.base, self.base_term) = (entry.index, entry.term);
        }
        let in_force = self.memberships.iter().rposition(|(index, _)| *index <= self.base);
        if let Some(position) = in_force {
            self.memberships.drain(..position);
        }
    }
}
