//! Simulation of several replicas in virtual time. The network drops, duplicates and reorders
//! messages, disks lose what was not synced, processes crash and pause, and disks are lost. The
//! invariants are checked after each step.
#![allow(dead_code)] // Each test file uses only some of its items.

use {
    oleandermount::{
        control::{
            Command, CommandOutcome, DurableWrite, LogEntry, Membership, PersistBatch,
            ReplicaMessage, SavedState,
            entry::EntryPayload,
            healing::{next_repair, target_voters},
            replica::{
                LocalProposeError, Replica, ReplicaAction, ReplicaInput, ReplicaLimits,
                ReplicaRole, ReplicaSettings, ReplicaStatus, ReplicaTiming,
            },
        },
        ids::{DocumentNumber, Incarnation, LogIndex, Revision, Term, VmId},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

const DEFAULT_SYNC: Duration = Duration::from_millis(5);
/// Interval at which the leader checks whether a repair is needed, as on the control VMs.
pub const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
const BULK_BYTES: usize = 64 << 10;
const FIRST_INCARNATION: Incarnation = 100;

pub type ProposalOutcome = Result<CommandOutcome, LocalProposeError>;
pub type DocumentOutcome = Result<DocumentNumber, LocalProposeError>;

/// Fault rates of the network, in percent of the messages.
#[derive(Clone, Copy)]
pub struct NetworkFaults {
    pub drop: u64,
    pub duplicate: u64,
    /// Maximum delay of a message.
    pub delay: Duration,
}

pub const NO_FAULTS: NetworkFaults =
    NetworkFaults { drop: 0, duplicate: 0, delay: Duration::from_millis(2) };

pub struct GroupNode {
    pub replica: Option<Replica>,
    pub disk: SavedState,
    /// Batches that are issued but not yet synced.
    unsynced: VecDeque<(Instant, PersistBatch)>,
    /// Maximum duration of a sync of the disk.
    pub slowest_sync: Duration,
    paused_until: Instant,
    /// For how long the VM was suspended, which its clock does not count.
    clock_lag: Duration,
    checked: LogIndex,
    published: Revision,
}

/// Replicas, the network between them, and everything observed so far.
pub struct ReplicaGroup {
    pub now: Instant,
    pub random: Xoshiro256PlusPlus,
    pub nodes: BTreeMap<VmId, GroupNode>,
    pub faults: NetworkFaults,
    /// Additional delay of messages of more than [`BULK_BYTES`], as on a slow link.
    pub bulk_delay: Duration,
    /// Sender and receiver of blocked links.
    pub blocked_links: BTreeSet<(VmId, VmId)>,
    pub outcomes: BTreeMap<u64, ProposalOutcome>,
    /// Outcomes of reads: the number of the document.
    pub reads: BTreeMap<u64, DocumentOutcome>,
    /// Number of processed events.
    pub steps: u64,
    founders: BTreeSet<VmId>,
    seed: u64,
    limits: ReplicaLimits,
    pub timing: ReplicaTiming,
    network: BTreeMap<(Instant, u64), (VmId, VmId, ReplicaMessage)>,
    /// Number of messages sent so far.
    pub sent: u64,
    next_incarnation: Incarnation,
    next_proposal: u64,
    next_read: u64,
    leaders: BTreeMap<Term, (VmId, Incarnation)>,
    /// Committed entries, with the term in which each was first observed as committed.
    committed: BTreeMap<LogIndex, (LogEntry, Term)>,
    written: BTreeMap<(LogIndex, Term), (LogEntry, Option<Term>)>,
    states: BTreeMap<LogIndex, Vec<u8>>,
}

impl ReplicaGroup {
    pub fn new(names: &[&str], seed: u64) -> Self {
        Self::timed(names, seed, ReplicaTiming::default())
    }

    pub fn timed(names: &[&str], seed: u64, timing: ReplicaTiming) -> Self {
        let now = Instant::now();
        let founders: BTreeSet<VmId> = names.iter().map(ToString::to_string).collect();
        // Small limits, so that short runs include snapshots in several chunks and full windows.
        let limits = ReplicaLimits {
            append_bytes: 2000,
            appends_in_flight: 3,
            chunk_bytes: 300,
            compact_entries: 40,
            kept_entries: 10,
            ..ReplicaLimits::default()
        };
        let mut group = ReplicaGroup {
            now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            faults: NO_FAULTS,
            bulk_delay: Duration::ZERO,
            blocked_links: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            reads: BTreeMap::new(),
            steps: 0,
            founders: founders.clone(),
            seed,
            limits,
            timing,
            network: BTreeMap::new(),
            sent: 0,
            next_incarnation: FIRST_INCARNATION,
            next_proposal: 0,
            next_read: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            written: BTreeMap::new(),
            states: BTreeMap::new(),
        };
        for vm in founders {
            group.lose_disk(&vm);
            group.start(&vm);
        }
        group
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    pub fn start(&mut self, vm: &str) {
        self.start_with_founders(vm, self.founders.clone());
    }

    /// Starts a VM that must not found a group: it leaves itself out of its founders.
    pub fn start_without_founding(&mut self, vm: &str) {
        let mut founders = self.founders.clone();
        founders.remove(vm);
        self.start_with_founders(vm, founders);
    }

    fn start_with_founders(&mut self, vm: &str, founders: BTreeSet<VmId>) {
        let settings = ReplicaSettings {
            vm: vm.to_owned(),
            founders,
            seed: self.seed,
            timing: self.timing,
            limits: self.limits,
        };
        let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
        if node.replica.is_none() {
            let replica = Replica::new(settings, node.disk.clone(), self.now - node.clock_lag)
                .expect("a snapshot of its own decodes");
            let published = replica.config().revision;
            assert!(
                published >= node.published,
                "{vm} restarts with a configuration older than the published one"
            );
            node.checked = replica.base();
            node.replica = Some(replica);
            node.paused_until = self.now;
        }
    }

    /// Kills the process. Some of the batches that were not synced may have reached the disk, in
    /// order.
    pub fn crash(&mut self, vm: &str) {
        let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
        let kept = (self.random.next_u64() % (node.unsynced.len() as u64 + 1)) as usize;
        for (_, batch) in std::mem::take(&mut node.unsynced).into_iter().take(kept) {
            write_batch(&mut node.disk, batch);
        }
        node.replica = None;
    }

    /// Kills the process and empties the disk.
    pub fn lose_disk(&mut self, vm: &str) {
        self.next_incarnation += 1;
        let node = GroupNode {
            replica: None,
            disk: SavedState::empty(self.next_incarnation),
            unsynced: VecDeque::new(),
            slowest_sync: DEFAULT_SYNC,
            paused_until: self.now,
            clock_lag: Duration::ZERO,
            checked: 0,
            published: 0,
        };
        self.nodes.insert(vm.to_owned(), node);
    }

    /// Pauses the process, as SIGSTOP does.
    pub fn pause(&mut self, vm: &str, pause: Duration) {
        self.nodes.get_mut(vm).expect("the VM is one of the group").paused_until = self.now + pause;
    }

    /// Suspends the VM: its process is paused, and its clock does not count the pause.
    pub fn suspend(&mut self, vm: &str, pause: Duration) {
        let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
        node.paused_until = self.now + pause;
        node.clock_lag += pause;
    }

    /// Size in bytes of the messages in transit to a VM.
    pub fn waiting_bytes(&self, vm: &str) -> usize {
        let waiting = self.network.values().filter(|(_, to, _)| to == vm);
        waiting
            .map(|(_, _, message)| postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()))
            .sum()
    }

    /// Proposes a command at one replica; the returned number identifies the outcome.
    pub fn propose(&mut self, vm: &str, command: Command) -> u64 {
        self.next_proposal += 1;
        let proposal = self.next_proposal;
        self.input(vm, ReplicaInput::Propose { proposal, command });
        proposal
    }

    /// Reads the document at one replica; the returned number identifies the outcome.
    pub fn read(&mut self, vm: &str) -> u64 {
        self.next_read += 1;
        let read = self.next_read;
        self.input(vm, ReplicaInput::Read { read });
        read
    }

    pub fn leader(&self) -> Option<VmId> {
        let leads = |node: &GroupNode| {
            node.replica.as_ref().is_some_and(|replica| replica.lease_valid(self.now))
        };
        self.nodes.iter().find(|(_, node)| leads(node)).map(|(vm, _)| vm.clone())
    }

    /// Status of the leader.
    pub fn leader_status(&self) -> Option<ReplicaStatus> {
        let leader = self.leader()?;
        Some(self.nodes[&leader].replica.as_ref()?.status(self.now))
    }

    /// Advances the time; the leader repairs a group of `founders` as on the control VMs.
    pub fn run_with_repair(&mut self, time: Duration, founders: usize) {
        let end = self.now + time;
        while self.now < end {
            self.run_for(REPAIR_INTERVAL.min(end - self.now));
            let Some(status) = self.leader_status() else { continue };
            let voters = target_voters(&status, founders);
            if let Some(command) = next_repair(self.now, &status, voters) {
                let leader = self.leader().expect("a replica leads");
                self.propose(&leader, command);
            }
        }
    }

    /// Newest committed membership.
    pub fn membership(&self) -> Option<Membership> {
        self.committed.values().rev().find_map(|(entry, _)| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            _ => None,
        })
    }

    /// Whether each voter still has the disk named in the membership. Before the group is founded,
    /// at most one disk may be lost, because the founding membership may still name it.
    pub fn is_intact(&self) -> bool {
        let has_group = self
            .nodes
            .values()
            .any(|node| node.disk.hard_state.group.is_some() || !node.unsynced.is_empty())
            || self.next_incarnation > FIRST_INCARNATION + self.founders.len() as u64;
        let Some(membership) = self.membership() else { return !has_group };
        // No membership change may be in progress either.
        let intact = |(vm, incarnation): (&VmId, &Incarnation)| {
            self.nodes.get(vm).is_some_and(|node| {
                let replica = node.replica.as_ref().map(|replica| replica.status(self.now));
                node.disk.incarnation == *incarnation
                    && replica.is_some_and(|status| status.members == membership)
            })
        };
        let enough = membership.voters.len() >= 3 && membership.learners.is_empty();
        enough && membership.voters.iter().all(intact)
    }

    /// Runs until the condition holds; returns `false` if it does not hold within the virtual time.
    pub fn run_until(&mut self, within: Duration, done: impl Fn(&ReplicaGroup) -> bool) -> bool {
        let end = self.now + within;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.step(end);
        }
        true
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Advances to the next event before `end` and processes it.
    fn step(&mut self, end: Instant) {
        let message = self.network.first_key_value().map(|((at, _), _)| *at);
        let node = self.nodes.iter().filter_map(|(vm, node)| Some((node_due(node)?, vm.clone())));
        let node = node.min();
        let node_at = node.as_ref().map(|(at, _)| *at);
        let next = message.into_iter().chain(node_at).min().unwrap_or(end);
        if next >= end {
            self.now = end;
            return;
        }
        self.now = self.now.max(next);
        self.steps += 1;
        if message == Some(next) {
            let ((_, _), (from, to, message)) = self.network.pop_first().expect("a message is due");
            self.deliver(from, to, message);
        } else if let Some((_, vm)) = node {
            self.handle_due(&vm);
        }
    }

    fn deliver(&mut self, from: VmId, to: VmId, message: ReplicaMessage) {
        let paused_until = self.nodes.get(&to).map_or(self.now, |node| node.paused_until);
        if paused_until > self.now {
            self.sent += 1;
            self.network.insert((paused_until, self.sent), (from, to, message));
        } else if !self.blocked_links.contains(&(from.clone(), to.clone())) {
            self.input(&to, ReplicaInput::Received { from, message });
        }
    }

    fn handle_due(&mut self, vm: &str) {
        let now = self.now;
        let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
        let mut input = ReplicaInput::Tick;
        if node.unsynced.front().is_some_and(|(at, _)| *at <= now) {
            let (_, batch) = node.unsynced.pop_front().expect("a batch is due");
            input = ReplicaInput::Persisted { number: batch.number };
            write_batch(&mut node.disk, batch);
        }
        self.input(vm, input);
    }

    pub fn input(&mut self, vm: &str, input: ReplicaInput) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(vm) else { return };
        let Some(replica) = node.replica.as_mut().filter(|_| node.paused_until <= now) else {
            if let ReplicaInput::Propose { proposal, .. } = input {
                let no_leader = LocalProposeError::NotLeader { leader: None };
                self.outcomes.insert(proposal, Err(no_leader));
            }
            return;
        };
        for action in replica.handle(now - node.clock_lag, input) {
            self.perform(vm, action);
        }
        self.check(vm);
    }

    fn perform(&mut self, vm: &str, action: ReplicaAction) {
        match action {
            ReplicaAction::Persist(batch) => {
                let slowest = self.nodes[vm].slowest_sync.as_micros() as u64;
                let pause = Duration::from_micros(200 + self.random_below(slowest));
                let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
                let before = node.unsynced.back().map_or(self.now, |(at, _)| *at);
                node.unsynced.push_back((before.max(self.now) + pause, batch));
            }
            ReplicaAction::Send { to, message } => {
                let copies = 1 + u64::from(self.random_below(100) < self.faults.duplicate);
                for _ in 0..copies {
                    if self.random_below(100) >= self.faults.drop {
                        let delay = self.random_below(self.faults.delay.as_micros() as u64 + 1);
                        let is_bulk = message.bytes() > BULK_BYTES;
                        let more = if is_bulk { self.bulk_delay } else { Duration::ZERO };
                        let at = self.now + Duration::from_micros(100 + delay) + more;
                        self.sent += 1;
                        let envelope = (vm.to_owned(), to.clone(), message.clone());
                        self.network.insert((at, self.sent), envelope);
                    }
                }
            }
            ReplicaAction::Completed { proposal, outcome } => {
                let previous = self.outcomes.insert(proposal, outcome);
                assert!(previous.is_none(), "a proposal is completed once");
            }
            ReplicaAction::ReadConfirmed { read, outcome } => {
                let replica = self.nodes[vm].replica.as_ref().expect("the replica runs");
                let number = replica.state().documents().document().number;
                let previous = self.reads.insert(read, outcome.map(|()| number));
                assert!(previous.is_none(), "a read is completed once");
            }
            ReplicaAction::Report(text) => panic!("{vm} at seed {}: {text}", self.seed),
        }
    }

    /// Checks the invariants that concern the replica that has just changed.
    fn check(&mut self, vm: &str) {
        let (now, seed) = (self.now, self.seed);
        let leased = self
            .nodes
            .values()
            .filter(|node| node.replica.as_ref().is_some_and(|replica| replica.lease_valid(now)));
        assert!(leased.count() <= 1, "seed {seed}: two leases at once");
        let node = self.nodes.get_mut(vm).expect("the VM is one of the group");
        let Some(replica) = &node.replica else { return };
        let status = replica.status(now);
        let published = replica.config().revision;
        assert!(
            published >= node.published,
            "seed {seed}: {vm} reverted to an older configuration"
        );
        node.published = published;
        let first = node.checked.max(replica.base()) + 1;
        for index in first..=status.last {
            let entry = replica.entry(index).expect("entries after the base are stored");
            let before = replica.entry(index - 1).map(|entry| entry.term);
            let (known, known_before) =
                self.written.entry((index, entry.term)).or_insert_with(|| (entry.clone(), before));
            assert_eq!(known, entry, "seed {seed}: log matching at {index} of {vm}");
            if let (Some(known), Some(found)) = (*known_before, before) {
                assert_eq!(known, found, "seed {seed}: log matching before {index} of {vm}");
            }
            if index <= status.commit {
                let agreed = self.committed.entry(index);
                let (agreed, _) = agreed.or_insert_with(|| (entry.clone(), status.term));
                assert_eq!(agreed, entry, "seed {seed}: {vm} committed another entry at {index}");
            }
        }
        if status.commit > node.checked {
            node.checked = status.commit;
            let state = replica.state().encode();
            let agreed = self.states.entry(status.applied).or_insert_with(|| state.clone());
            assert!(*agreed == state, "seed {seed}: {vm} has another state at {}", status.applied);
        }
        if status.role == ReplicaRole::Leader {
            let replica_incarnation = (vm.to_owned(), status.incarnation);
            if !self.leaders.contains_key(&status.term) {
                // A leader of an earlier term may still be elected late; it commits nothing.
                let entry_at = |index| replica.entry(index);
                for (index, (entry, term)) in self.committed.range(replica.base() + 1..) {
                    let kept = *term >= status.term || entry_at(*index) == Some(entry);
                    assert!(kept, "seed {seed}: leader {vm} lacks entry {index}");
                }
            }
            let leader =
                self.leaders.entry(status.term).or_insert_with(|| replica_incarnation.clone());
            assert_eq!(
                *leader, replica_incarnation,
                "seed {seed}: two leaders in term {}",
                status.term
            );
        }
    }
}

fn node_due(node: &GroupNode) -> Option<Instant> {
    let wakeup = node.replica.as_ref()?.next_wakeup().map(|at| at + node.clock_lag);
    let synced = node.unsynced.front().map(|(at, _)| *at);
    let due = wakeup.into_iter().chain(synced).min()?;
    Some(due.max(node.paused_until))
}

fn write_batch(disk: &mut SavedState, batch: PersistBatch) {
    for write in batch.writes {
        let text = matches!(write, DurableWrite::Entries(_));
        assert!(disk.apply(write), "writes are consecutive (entries: {text})");
    }
}
