//! One replica of the log: election, replication, membership change, snapshots.
//!
//! [`Replica::handle`] takes one input and the time and returns what is to be done. Nothing that
//! another replica will rely on is sent before the driver has reported it as synced.

pub mod contacts;
pub mod election;
pub mod follower;
pub mod formation;
pub mod freshness;
pub mod leader;
pub mod log;
pub mod membership_change;
pub mod progress;
mod receive;
pub mod types;

pub use self::types::{
    LocalProposeError, ProposalId, ReplicaAction, ReplicaInput, ReplicaLimits, ReplicaRole,
    ReplicaSettings, ReplicaStatus, ReplicaTiming,
};

use {
    self::{
        contacts::ContactList, follower::IncomingSnapshot, formation::ObservedPeer,
        log::ReplicaLog, progress::LeaderState,
    },
    crate::{
        control::{
            command::CommandOutcome,
            entry::{
                DurableWrite, EntryPayload, HardState, LogEntry, Membership, PersistBatch,
                SavedSnapshot, SavedState,
            },
            message::{MessageBody, ReplicaMessage, SnapshotHead},
            state::{ControlState, StateError},
        },
        ids::{FencingNumber, Incarnation, LogIndex, Term, VmId},
        inventory::ActiveConfig,
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Messages that wait for a sync; beyond it the oldest is lost, as any message may be.
const DEFERRED_MESSAGES: usize = 4096;

/// Bytes of a snapshot that one entry may cost: a full ledger of 40 MB would otherwise be written
/// again for each few thousand claims, which is ten times what the log itself writes.
const SNAPSHOT_BYTES_AN_ENTRY: usize = 1024;

/// What a replica does in its group, with what it needs for it.
#[derive(Clone, Debug)]
enum RoleState {
    Waiting,
    Follower,
    PreCandidate { granted: BTreeSet<VmId> },
    Candidate { granted: BTreeSet<VmId>, own_vote: u64 },
    Leader(Box<LeaderState>),
}

/// A message that may go only when a batch is synced.
#[derive(Clone, Debug)]
struct DeferredMessage {
    batch: u64,
    to: VmId,
    message: ReplicaMessage,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    random: Xoshiro256PlusPlus,
    incarnation: Incarnation,
    /// As last handed out to be persisted.
    hard_state: HardState,
    log: ReplicaLog,
    state: ControlState,
    /// Never falls; at most the last entry.
    commit: LogIndex,
    /// Equal to `commit` between two inputs.
    applied: LogIndex,
    /// The last entry that the newest snapshot covers.
    snapshot_index: LogIndex,
    /// The length of the newest snapshot.
    snapshot_bytes: usize,
    /// The commit index that was last handed out to be persisted.
    saved_commit: LogIndex,
    /// The newest configuration that a restart of this replica finds again by itself.
    config: Arc<ActiveConfig>,
    /// The newest configuration, and the batch that must be synced before it is shown.
    config_later: Option<(u64, Arc<ActiveConfig>)>,
    role: RoleState,
    leader: Option<VmId>,
    /// When a leader was last heard, or this process began: see [`Replica::is_bound`].
    heard_at: Instant,
    /// The next election or probe.
    timeout_at: Instant,
    /// The last batch handed out.
    issued: u64,
    /// The last batch known to be synced.
    synced: u64,
    /// The last entry known to be synced, and those that will be, by batch.
    durable: LogIndex,
    durable_later: VecDeque<(u64, LogIndex)>,
    deferred: VecDeque<DeferredMessage>,
    /// Other replicas heard in this life; bounded by `formation::SIGHTINGS`.
    sightings: BTreeMap<VmId, ObservedPeer>,
    /// VMs beside founders and members that a replica without a group makes itself known to; as
    /// many as the settings name.
    introduced: BTreeSet<VmId>,
    /// VMs that other control VMs have named in this life.
    contacts: ContactList,
    /// When a follower last had applied what its leader told it to; `None` before the first time.
    fresh_at: Option<Instant>,
    incoming: Option<IncomingSnapshot>,
    /// Collected while one input is handled.
    writes: Vec<DurableWrite>,
    replies: Vec<(VmId, ReplicaMessage)>,
    actions: Vec<ReplicaAction>,
}

impl Replica {
    /// A replica with what its disk holds.
    ///
    /// # Errors
    /// When the snapshot cannot be read.
    pub fn new(
        settings: ReplicaSettings,
        saved: SavedState,
        now: Instant,
    ) -> Result<Self, StateError> {
        let snapshot_bytes = saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len());
        let (mut log, state, base) = match saved.snapshot {
            Some(snapshot) => {
                let state = ControlState::decode(&snapshot.data)?;
                (ReplicaLog::after(&snapshot.head), state, snapshot.head.index)
            }
            None => (ReplicaLog::default(), ControlState::default(), 0),
        };
        saved.entries.into_iter().for_each(|entry| log.push(entry));
        let seed = settings.seed ^ xxhash_rust::xxh3::xxh3_64(settings.vm.as_bytes());
        let random = Xoshiro256PlusPlus::seed_from_u64(seed ^ saved.incarnation);
        let role =
            if saved.hard_state.group.is_some() { RoleState::Follower } else { RoleState::Waiting };
        let mut replica = Replica {
            settings,
            random,
            incarnation: saved.incarnation,
            hard_state: saved.hard_state,
            commit: saved.commit.max(base).min(log.last_index()),
            applied: base,
            snapshot_index: base,
            snapshot_bytes,
            saved_commit: saved.commit,
            config: Arc::default(),
            config_later: None,
            durable: log.last_index(),
            log,
            state,
            role,
            leader: None,
            heard_at: now,
            timeout_at: now,
            issued: 0,
            synced: 0,
            durable_later: VecDeque::new(),
            deferred: VecDeque::new(),
            sightings: BTreeMap::new(),
            introduced: BTreeSet::new(),
            contacts: ContactList::default(),
            fresh_at: None,
            incoming: None,
            writes: Vec::new(),
            replies: Vec::new(),
            actions: Vec::new(),
        };
        replica.apply_committed();
        replica.config = replica.state.configuration().active().clone();
        replica.config_later = None;
        if !matches!(replica.role, RoleState::Waiting) {
            replica.reset_timeout(now);
        }
        Ok(replica)
    }

    /// Takes in one input and returns what is to be done, in order.
    pub fn handle(&mut self, now: Instant, input: ReplicaInput) -> Vec<ReplicaAction> {
        // A process that was stopped for a while wakes up with messages in its queue. What it
        // believed to lead is checked against the clock before any of them is taken in.
        self.check_quorum(now);
        match input {
            ReplicaInput::Tick => {}
            ReplicaInput::Received { from, message } => self.receive(now, from, message),
            ReplicaInput::Persisted { number } => self.persisted(now, number),
            ReplicaInput::Propose { proposal, command } => self.propose(now, proposal, command),
            ReplicaInput::ConfiguredPeers { peers } => self.introduced = peers,
        }
        self.run_timers(now);
        self.hand_out()
    }

    /// When [`ReplicaInput::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        match &self.role {
            RoleState::Leader(lead) => Some(lead.heartbeat_at),
            _ if self.leader.is_some() => Some(self.timeout_at.min(self.silent_at())),
            _ => Some(self.timeout_at),
        }
    }

    /// Whether this replica leads and no other can at `now`. Ask right before each act.
    pub fn lease_valid(&self, now: Instant) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// The configuration in force: committed, applied, and synced here.
    ///
    /// One that is shown earlier would be gone after a crash in that moment, and a restart without
    /// a quorum would serve with an older one than callers had seen.
    pub fn config(&self) -> &Arc<ActiveConfig> {
        &self.config
    }

    /// The state machine.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The entry at `index`, if it is held.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// The entry before the first one held.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// What the replica is at `now`.
    pub fn status(&self, now: Instant) -> ReplicaStatus {
        ReplicaStatus {
            role: self.role(),
            incarnation: self.incarnation,
            term: self.hard_state.term,
            leader: self.leader.clone(),
            is_fresh: self.is_fresh(now),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last_index(),
            members: self.log.membership().clone(),
            non_members: self.non_members(now),
            contacts: self.contacts.vms(),
            lease_until: self.lease_until(now),
            last_replies: self.lead().map(LeaderState::last_replies).unwrap_or_default(),
            leader_since: self.lead().map(|lead| lead.since),
            failure: None,
        }
    }

    /// What the replica does.
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            RoleState::Waiting => ReplicaRole::Waiting,
            RoleState::Follower if !self.is_voter() => ReplicaRole::Learner,
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    fn lead(&self) -> Option<&LeaderState> {
        match &self.role {
            RoleState::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    fn lead_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    fn is_voter(&self) -> bool {
        self.log.membership().is_voter(&self.settings.vm, self.incarnation)
    }

    fn run_timers(&mut self, now: Instant) {
        match &self.role {
            RoleState::Waiting => self.run_formation(now),
            RoleState::Leader(_) => self.run_leader(now),
            RoleState::Follower | RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => {
                self.forget_silent_leader(now);
                self.run_election(now)
            }
        }
    }

    fn persisted(&mut self, now: Instant, number: u64) {
        self.synced = self.synced.max(number);
        while self.durable_later.front().is_some_and(|(batch, _)| *batch <= self.synced) {
            self.durable = self.durable_later.pop_front().map_or(self.durable, |(_, last)| last);
        }
        if let Some((_, config)) = self.config_later.take_if(|(batch, _)| *batch <= number) {
            self.config = config;
        }
        while self.deferred.front().is_some_and(|waiting| waiting.batch <= self.synced) {
            if let Some(waiting) = self.deferred.pop_front() {
                let (to, message) = (waiting.to, waiting.message);
                self.actions.push(ReplicaAction::Send { to, message });
            }
        }
        self.count_votes(now);
        self.advance_commit(now);
    }

    /// Applies what is committed, completes its proposals, and compacts the log when it is long.
    fn apply_committed(&mut self) {
        let revision = self.state.configuration().active().revision;
        let document = self.state.documents().document().number;
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log.entry(self.applied).expect("committed entries are held");
            let number = FencingNumber { term: entry.term, index: entry.index };
            let outcome = match &entry.payload {
                EntryPayload::Command(command) => self.state.apply(number, command),
                EntryPayload::Opening => continue,
                EntryPayload::Membership(_) => CommandOutcome::MembershipChanged,
            };
            let applied = self.applied;
            let proposal = self.lead_mut().and_then(|lead| lead.proposals.remove(&applied));
            if let Some(proposal) = proposal {
                self.actions.push(ReplicaAction::Completed { proposal, outcome: Ok(outcome) });
            }
        }
        if self.state.configuration().active().revision > revision {
            self.save_commit();
            self.show_later();
        }
        if self.state.documents().document().number > document {
            self.save_commit();
        }
        self.compact();
    }

    fn show_later(&mut self) {
        let config = self.state.configuration().active().clone();
        self.config_later = Some((self.issued + 1, config));
    }

    /// Persists the commit index, so that a restart without a quorum serves at once with every
    /// configuration that was in force here.
    fn save_commit(&mut self) {
        if self.commit > self.saved_commit {
            self.saved_commit = self.commit;
            self.writes.push(DurableWrite::Commit(self.commit));
        }
    }

    fn compact(&mut self) {
        let limits = self.settings.limits;
        let entries = self.applied - self.snapshot_index;
        let paying = (self.snapshot_bytes / SNAPSHOT_BYTES_AN_ENTRY) as u64;
        let long = entries >= limits.compact_entries.max(paying);
        let large = self.log.bytes() > limits.compact_bytes && self.applied > self.snapshot_index;
        if !long && !large {
            return;
        }
        let snapshot = self.take_snapshot();
        self.snapshot_index = snapshot.head.index;
        self.snapshot_bytes = snapshot.data.len();
        self.saved_commit = self.saved_commit.max(snapshot.head.index);
        let kept_from = self.applied.saturating_sub(limits.kept_entries);
        self.log.compact(kept_from, self.applied, limits.compact_bytes / 2);
        self.writes.push(DurableWrite::Snapshot(snapshot));
    }

    fn take_snapshot(&self) -> SavedSnapshot {
        let index = self.applied;
        let head = SnapshotHead {
            index,
            term: self.log.term(index).expect("the applied entry is held"),
            membership: self.log.membership_at(index).cloned().unwrap_or_default(),
        };
        SavedSnapshot { head, data: self.state.encode() }
    }

    /// Adds entries to the log, first removing what they replace.
    fn write_entries(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        debug_assert!(first > self.commit, "committed entries are never replaced");
        self.log.truncate(first);
        entries.iter().cloned().for_each(|entry| self.log.push(entry));
        self.durable = self.durable.min(first - 1);
        self.durable_later.iter_mut().for_each(|(_, last)| *last = (*last).min(first - 1));
        self.writes.push(DurableWrite::Entries(entries));
    }

    fn write_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.writes.push(DurableWrite::HardState(self.hard_state.clone()));
    }

    fn message(&self, to_incarnation: Option<Incarnation>, body: MessageBody) -> ReplicaMessage {
        ReplicaMessage {
            group: self.hard_state.group,
            from_incarnation: self.incarnation,
            to_incarnation,
            term: self.hard_state.term,
            body,
        }
    }

    /// Sends something that promises nothing about this replica's disk.
    fn send(&mut self, to: &VmId, incarnation: Option<Incarnation>, body: MessageBody) {
        let message = self.message(incarnation, body);
        self.actions.push(ReplicaAction::Send { to: to.clone(), message });
    }

    /// Sends something only once all that was written so far is synced.
    ///
    /// A vote or an acknowledgement that is sent earlier is forgotten by a crash, and a second
    /// leader of the same term, or a lost acknowledged entry, follows.
    fn send_synced(&mut self, to: &VmId, incarnation: Option<Incarnation>, body: MessageBody) {
        let message = self.message(incarnation, body);
        self.replies.push((to.clone(), message));
    }

    fn hand_out(&mut self) -> Vec<ReplicaAction> {
        if !self.writes.is_empty() {
            self.save_commit();
            self.issued += 1;
            let writes = std::mem::take(&mut self.writes);
            if writes.iter().any(|write| matches!(write, DurableWrite::Entries(_))) {
                self.durable_later.push_back((self.issued, self.log.last_index()));
            }
            let batch = PersistBatch { number: self.issued, writes };
            self.actions.insert(0, ReplicaAction::Persist(batch));
        }
        for (to, message) in std::mem::take(&mut self.replies) {
            if self.issued <= self.synced {
                self.actions.push(ReplicaAction::Send { to, message });
                continue;
            }
            self.deferred.push_back(DeferredMessage { batch: self.issued, to, message });
            if self.deferred.len() > DEFERRED_MESSAGES {
                self.deferred.pop_front();
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn random_timeout(&mut self) -> Duration {
        let election = self.settings.timing.election;
        let spread = u64::try_from(election.as_micros()).unwrap_or(u64::MAX).max(1);
        election + Duration::from_micros(self.random.next_u64() % spread)
    }

    fn reset_timeout(&mut self, now: Instant) {
        self.timeout_at = now + self.random_timeout();
    }

    fn membership(&self) -> &Membership {
        self.log.membership()
    }

    fn term(&self) -> Term {
        self.hard_state.term
    }
}
