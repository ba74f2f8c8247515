//! The entries that probably reach the backend servers, as far as a control VM knows.
//!
//! An entry that reaches no server itself asks the control VM that it follows for others. An entry
//! counts as one that reaches the servers as long as it polls and has not said otherwise. Each control VM sends
//! a random sample of its own entries to the leader with its polls and gets one of all entries back:
//! if a whole failure domain is concerned, its control VM follows no other entry. The samples change
//! with each poll, so that hundreds of daemons that ask at the same time are spread over many.

use {
    crate::{ids::VmId, policy::tunnel_peers::MAX_PEERS},
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// How long an entry counts after its last poll: three times the longest delay of an answer.
const ENTRY_RETENTION: Duration = Duration::from_secs(3);
/// How long an entry counts as one that reaches no server. It asks again sooner.
const PARTITIONED_RETENTION: Duration = Duration::from_secs(5);
/// How long the sample of another control VM counts.
const SAMPLE_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of entries, and of those that reach no server: several times the design size.
const MAX_ENTRIES: usize = 2_048;
/// Maximum number of control VMs whose samples are kept.
const MAX_SAMPLES: usize = 32;
/// Maximum number of entries in a sample that a control VM sends to the leader.
const OWN_SAMPLE: usize = 32;
/// Maximum number of entries in a sample that the leader sends to a control VM.
const FULL_SAMPLE: usize = 64;

/// The entries that a control VM knows.
pub struct EntryDirectory(Mutex<DirectoryState>);

struct DirectoryState {
    /// The last poll of each own entry; at most [`MAX_ENTRIES`].
    own: BTreeMap<VmId, Instant>,
    /// When each entry last said that it reaches no server; at most [`MAX_ENTRIES`].
    partitioned: BTreeMap<VmId, Instant>,
    /// The samples of other control VMs; at most [`MAX_SAMPLES`], each of at most [`FULL_SAMPLE`].
    samples: BTreeMap<VmId, (Instant, Vec<VmId>)>,
    random: Xoshiro256PlusPlus,
}

impl Default for EntryDirectory {
    fn default() -> Self {
        Self::new(Xoshiro256PlusPlus::from_os_rng())
    }
}

impl EntryDirectory {
    /// Creates an empty directory with the generator of its samples.
    pub fn new(random: Xoshiro256PlusPlus) -> Self {
        EntryDirectory(Mutex::new(DirectoryState {
            own: BTreeMap::new(),
            partitioned: BTreeMap::new(),
            samples: BTreeMap::new(),
            random,
        }))
    }

    /// Records a poll of an own entry.
    pub fn record_poll(&self, now: Instant, entry: &VmId) {
        let mut state = self.lock();
        if state.own.len() >= MAX_ENTRIES {
            state.expire(now);
        }
        insert_bounded(&mut state.own, entry, now, MAX_ENTRIES);
    }

    /// Records that an entry reaches no server.
    pub fn record_partitioned(&self, now: Instant, entry: &VmId) {
        insert_bounded(&mut self.lock().partitioned, entry, now, MAX_ENTRIES);
    }

    /// Records the sample of another control VM.
    pub fn record_sample(&self, now: Instant, control: &VmId, mut sample: Vec<VmId>) {
        sample.truncate(FULL_SAMPLE);
        insert_bounded(&mut self.lock().samples, control, (now, sample), MAX_SAMPLES);
    }

    /// A sample of the own entries, for the leader.
    pub fn own_sample(&self, now: Instant) -> Vec<VmId> {
        let mut state = self.lock();
        state.expire(now);
        let own = state.reaching_own();
        state.pick(own, OWN_SAMPLE)
    }

    /// A sample of all entries, for another control VM.
    pub fn full_sample(&self, now: Instant) -> Vec<VmId> {
        let mut state = self.lock();
        state.expire(now);
        let all = state.reaching();
        state.pick(all, FULL_SAMPLE)
    }

    /// All known entries that reach the backend servers.
    pub fn all(&self, now: Instant) -> Vec<VmId> {
        let mut state = self.lock();
        state.expire(now);
        state.reaching()
    }

    /// The entries through which another entry can connect to servers. Half of them are own
    /// ones, which are mostly in the same failure domain.
    pub fn peers_for(&self, now: Instant, asking: &VmId) -> Vec<VmId> {
        let mut state = self.lock();
        state.expire(now);
        let mut own = state.reaching_own();
        own.retain(|entry| entry != asking);
        let mut peers = state.pick(own, MAX_PEERS / 2);
        let mut others = state.reaching();
        others.retain(|entry| entry != asking && !peers.contains(entry));
        let left = MAX_PEERS - peers.len();
        peers.extend(state.pick(others, left));
        peers
    }

    fn lock(&self) -> MutexGuard<'_, DirectoryState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DirectoryState {
    fn expire(&mut self, now: Instant) {
        let age = |since: Instant| now.saturating_duration_since(since);
        self.own.retain(|_, polled| age(*polled) < ENTRY_RETENTION);
        self.partitioned.retain(|_, asked| age(*asked) < PARTITIONED_RETENTION);
        self.samples.retain(|_, (received, _)| age(*received) < SAMPLE_RETENTION);
    }

    fn reaching_own(&self) -> Vec<VmId> {
        let own = self.own.keys();
        own.filter(|entry| !self.partitioned.contains_key(*entry)).cloned().collect()
    }

    fn reaching(&self) -> Vec<VmId> {
        let sampled = self.samples.values().flat_map(|(_, sample)| sample);
        let all: BTreeSet<&VmId> = self.own.keys().chain(sampled).collect();
        all.into_iter().filter(|entry| !self.partitioned.contains_key(*entry)).cloned().collect()
    }

    /// Picks at most `count` of `entries` at random.
    fn pick(&mut self, mut entries: Vec<VmId>, count: usize) -> Vec<VmId> {
        let picked = count.min(entries.len());
        for at in 0..picked {
            let left = (entries.len() - at) as u64;
            let other = at + (self.random.next_u64() % left) as usize;
            entries.swap(at, other);
        }
        entries.truncate(picked);
        entries
    }
}

fn insert_bounded<V>(map: &mut BTreeMap<VmId, V>, key: &VmId, value: V, limit: usize) {
    if map.len() < limit || map.contains_key(key) {
        map.insert(key.clone(), value);
    }
}
