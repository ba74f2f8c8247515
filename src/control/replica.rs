//! Replica of the Raft log: election, replication, membership changes and snapshots.
//!
//! [`Replica::handle`] takes one input and the current time, and returns the actions to carry out.
//! A message whose receiver relies on durable state is sent only after the driver has reported that
//! state as synced.

pub mod contacts;
pub mod election;
pub mod follower;
pub mod formation;
pub mod freshness;
pub mod leader;
pub mod log;
pub mod membership_change;
pub mod progress;
pub mod reads;
mod receive;
pub mod types;

pub use self::types::{
    LocalProposeError, ProposalId, ReadId, ReplicaAction, ReplicaInput, ReplicaLimits, ReplicaRole,
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

/// Maximum number of messages that wait for a sync. Beyond it the oldest is dropped, which the
/// protocol tolerates like any lost message.
const MAX_DEFERRED_MESSAGES: usize = 4096;

/// Snapshot bytes that one log entry may cost. Without this bound a full ledger of 40 MB would be
/// written again for every few thousand claims, which is ten times the volume of the log itself.
const SNAPSHOT_BYTES_PER_ENTRY: usize = 1024;

/// Role of a replica, with the state that the role needs.
#[derive(Clone, Debug)]
enum RoleState {
    Waiting,
    Follower,
    PreCandidate { granted: BTreeSet<VmId> },
    Candidate { granted: BTreeSet<VmId>, own_vote: u64 },
    Leader(Box<LeaderState>),
}

/// Message that is sent once a batch is synced.
#[derive(Clone, Debug)]
struct DeferredMessage {
    batch: u64,
    to: VmId,
    message: ReplicaMessage,
}

/// Replica of the log, without I/O; see the module documentation.
#[derive(Clone, Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    random: Xoshiro256PlusPlus,
    incarnation: Incarnation,
    /// Value that was last returned for persisting.
    hard_state: HardState,
    log: ReplicaLog,
    state: ControlState,
    /// Commit index. Never decreases; at most the last entry.
    commit: LogIndex,
    /// Index of the last applied entry; equal to `commit` between two inputs.
    applied: LogIndex,
    /// Last entry covered by the newest snapshot.
    snapshot_index: LogIndex,
    /// Size in bytes of the newest snapshot; 0 without one.
    snapshot_bytes: usize,
    /// Commit index that was last returned for persisting.
    saved_commit: LogIndex,
    /// Newest configuration that this replica recovers after a restart without a quorum.
    config: Arc<ActiveConfig>,
    /// Newest configuration, and the batch that has to be synced before it is published.
    staged_config: Option<(u64, Arc<ActiveConfig>)>,
    role: RoleState,
    leader: Option<VmId>,
    /// Time of the last message of a leader, or the start of this process; see
    /// [`Replica::withholds_vote`].
    last_leader_contact: Instant,
    /// Time of the next election or probe.
    timeout_at: Instant,
    /// Last batch returned for persisting.
    issued_batch: u64,
    /// Last batch known to be synced.
    synced_batch: u64,
    /// Last entry known to be synced, and the entries that will be, by batch.
    durable: LogIndex,
    pending_durable: VecDeque<(u64, LogIndex)>,
    deferred: VecDeque<DeferredMessage>,
    /// Peers that have sent a message since the process started; bounded by
    /// `formation::MAX_OBSERVED_PEERS`.
    observed_peers: BTreeMap<VmId, ObservedPeer>,
    /// VMs from the current settings that a replica without a group probes in addition to founders
    /// and members.
    configured_peers: BTreeSet<VmId>,
    /// VMs that other control VMs have named since the process started.
    contacts: ContactList,
    /// Last time at which a follower had applied the target index of its leader; `None` before the
    /// first time.
    fresh_at: Option<Instant>,
    incoming: Option<IncomingSnapshot>,
    /// Output that is collected while one input is handled.
    writes: Vec<DurableWrite>,
    replies: Vec<(VmId, ReplicaMessage)>,
    actions: Vec<ReplicaAction>,
}

impl Replica {
    /// Creates a replica from the state on its disk.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be decoded.
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
            staged_config: None,
            durable: log.last_index(),
            log,
            state,
            role,
            leader: None,
            last_leader_contact: now,
            timeout_at: now,
            issued_batch: 0,
            synced_batch: 0,
            pending_durable: VecDeque::new(),
            deferred: VecDeque::new(),
            observed_peers: BTreeMap::new(),
            configured_peers: BTreeSet::new(),
            contacts: ContactList::default(),
            fresh_at: None,
            incoming: None,
            writes: Vec::new(),
            replies: Vec::new(),
            actions: Vec::new(),
        };
        replica.apply_committed();
        replica.config = replica.state.configuration().active().clone();
        replica.staged_config = None;
        if !matches!(replica.role, RoleState::Waiting) {
            replica.reset_timeout(now);
        }
        Ok(replica)
    }

    /// Processes one input and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, input: ReplicaInput) -> Vec<ReplicaAction> {
        // A process that was paused resumes with messages in its queue. Its leadership is checked
        // against the clock before any of them is processed.
        self.check_quorum(now);
        match input {
            ReplicaInput::Tick => {}
            ReplicaInput::Received { from, message } => self.receive(now, from, message),
            ReplicaInput::Persisted { number } => self.persisted(now, number),
            ReplicaInput::Propose { proposal, command } => self.propose(now, proposal, command),
            ReplicaInput::Read { read } => self.read(now, read),
            ReplicaInput::ConfiguredPeers { peers } => self.configured_peers = peers,
        }
        self.complete_reads(now);
        self.run_timers(now);
        self.take_actions()
    }

    /// Time at which [`ReplicaInput::Tick`] is due. Every replica has a timer, so this is always
    /// set.
    pub fn next_wakeup(&self) -> Option<Instant> {
        match &self.role {
            RoleState::Leader(leader_state) => Some(leader_state.heartbeat_at),
            _ if self.leader.is_some() => Some(self.timeout_at.min(self.leader_expires_at())),
            _ => Some(self.timeout_at),
        }
    }

    /// Whether this replica holds the leader lease at `now`, so that no other replica can lead.
    /// Callers check it immediately before each action that depends on it.
    pub fn lease_valid(&self, now: Instant) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Current configuration: committed, applied, and synced on this disk.
    ///
    /// A configuration published before it is synced would be lost in a crash, and a restart
    /// without a quorum would serve an older one than callers had already seen.
    pub fn config(&self) -> &Arc<ActiveConfig> {
        &self.config
    }

    /// Replicated state machine.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Log entry at `index`; `None` if it is compacted or not yet written.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// Index of the entry before the first one held in memory.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// Estimated size in bytes of the log entries held in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Status of the replica at `now`.
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
            last_replies: self.leader_state().map(LeaderState::last_replies).unwrap_or_default(),
            leader_since: self.leader_state().map(|state| state.since),
            failure: None,
        }
    }

    /// Role of the replica.
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            RoleState::Waiting => ReplicaRole::Waiting,
            RoleState::Follower if !self.is_voter() => ReplicaRole::Learner,
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(leader_state) => Some(leader_state),
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
                self.expire_leader(now);
                self.run_election(now)
            }
        }
    }

    fn persisted(&mut self, now: Instant, number: u64) {
        self.synced_batch = self.synced_batch.max(number);
        while self.pending_durable.front().is_some_and(|(batch, _)| *batch <= self.synced_batch) {
            self.durable = self.pending_durable.pop_front().map_or(self.durable, |(_, last)| last);
        }
        if let Some((_, config)) = self.staged_config.take_if(|(batch, _)| *batch <= number) {
            self.config = config;
        }
        while self.deferred.front().is_some_and(|waiting| waiting.batch <= self.synced_batch) {
            if let Some(waiting) = self.deferred.pop_front() {
                let (to, message) = (waiting.to, waiting.message);
                self.actions.push(ReplicaAction::Send { to, message });
            }
        }
        self.count_votes(now);
        self.advance_commit(now);
    }

    /// Applies committed entries, completes their proposals or marks them as unconfirmed, and compacts
    /// a long log.
    fn apply_committed(&mut self) {
        let revision = self.state.configuration().active().revision;
        let document = self.state.documents().document().number;
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log.entry(self.applied).expect("committed entries are held");
            let number = FencingNumber { term: entry.term, index: entry.index };
            let (outcome, needs_quorum) = match &entry.payload {
                EntryPayload::Command(command) => {
                    (self.state.apply(number, command), command.changes_followers())
                }
                EntryPayload::Opening => continue,
                EntryPayload::Membership(_) => (CommandOutcome::MembershipChanged, false),
            };
            let applied = self.applied;
            let Some(leader_state) = self.leader_state_mut() else { continue };
            let Some(proposal) = leader_state.proposals.remove(&applied) else { continue };
            if needs_quorum {
                leader_state.unconfirmed.insert(applied, (proposal, outcome));
            } else {
                self.actions.push(ReplicaAction::Completed { proposal, outcome: Ok(outcome) });
            }
        }
        if self.state.configuration().active().revision > revision {
            self.save_commit();
            self.stage_config();
        }
        if self.state.documents().document().number > document {
            self.save_commit();
        }
        self.compact();
    }

    fn stage_config(&mut self) {
        let config = self.state.configuration().active().clone();
        self.staged_config = Some((self.issued_batch + 1, config));
    }

    /// Persists the commit index. A restart without a quorum then serves every configuration that
    /// this replica has published.
    fn save_commit(&mut self) {
        if self.commit > self.saved_commit {
            self.saved_commit = self.commit;
            self.writes.push(DurableWrite::Commit(self.commit));
        }
    }

    fn compact(&mut self) {
        let limits = self.settings.limits;
        let entries = self.applied - self.snapshot_index;
        let min_entries = (self.snapshot_bytes / SNAPSHOT_BYTES_PER_ENTRY) as u64;
        let long = entries >= limits.compact_entries.max(min_entries);
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

    /// Appends entries to the log after removing the entries that they replace.
    fn write_entries(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        debug_assert!(first > self.commit, "committed entries are never replaced");
        self.log.truncate(first);
        entries.iter().cloned().for_each(|entry| self.log.push(entry));
        self.durable = self.durable.min(first - 1);
        self.pending_durable.iter_mut().for_each(|(_, last)| *last = (*last).min(first - 1));
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

    /// Sends a message that does not depend on durable state.
    fn send(&mut self, to: &VmId, incarnation: Option<Incarnation>, body: MessageBody) {
        let message = self.message(incarnation, body);
        self.actions.push(ReplicaAction::Send { to: to.clone(), message });
    }

    /// Sends a message once all writes issued so far are synced.
    ///
    /// A vote or an acknowledgement that is sent earlier may be lost in a crash, which could result
    /// in a second leader in the same term or in the loss of an acknowledged entry.
    fn send_synced(&mut self, to: &VmId, incarnation: Option<Incarnation>, body: MessageBody) {
        let message = self.message(incarnation, body);
        self.replies.push((to.clone(), message));
    }

    fn take_actions(&mut self) -> Vec<ReplicaAction> {
        if !self.writes.is_empty() {
            self.save_commit();
            self.issued_batch += 1;
            let writes = std::mem::take(&mut self.writes);
            if writes.iter().any(|write| matches!(write, DurableWrite::Entries(_))) {
                self.pending_durable.push_back((self.issued_batch, self.log.last_index()));
            }
            let batch = PersistBatch { number: self.issued_batch, writes };
            self.actions.insert(0, ReplicaAction::Persist(batch));
        }
        for (to, message) in std::mem::take(&mut self.replies) {
            if self.issued_batch <= self.synced_batch {
                self.actions.push(ReplicaAction::Send { to, message });
                continue;
            }
            self.deferred.push_back(DeferredMessage { batch: self.issued_batch, to, message });
            if self.deferred.len() > MAX_DEFERRED_MESSAGES {
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
