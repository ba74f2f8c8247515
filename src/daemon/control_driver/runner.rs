//! The task around a replica.

use {
    super::{
        BATCH_BYTES, DriverInput, DriverSettings, ProposalReply, StatusFeeds, latest_changes,
        note_set_aside, open_replica,
        writer::{LifeBatch, ReplicaLife, WriteReport},
    },
    crate::{
        control::{
            DurableWrite, PersistBatch, ReplicaMessage, SavedState,
            replica::{
                LocalProposeError, ProposalId, Replica, ReplicaAction, ReplicaInput, ReplicaStatus,
            },
        },
        ids::{LogIndex, VmId},
        observe::events,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Instant,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc},
        time::sleep_until,
    },
};

/// The thread for the files takes no more batches.
struct FilesGone;

/// What is said when that thread left no reason.
const THREAD_ENDED: &str = "the thread for the files has ended; restart the daemon";

/// Why a life of the replica ended.
enum LifeEnd {
    /// Nobody can reach it any more.
    HandlesGone,
    /// The disk failed; the folder is being opened anew.
    DiskFailed(String),
    /// Nothing is written any more.
    ThreadGone,
}

/// The task around a replica.
pub(super) struct ReplicaRunner {
    settings: DriverSettings,
    replica: Replica,
    outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    batches: mpsc::Sender<LifeBatch>,
    /// What is left of [`BATCH_BYTES`].
    room: Arc<Semaphore>,
    life: ReplicaLife,
    /// Bounded by the replica's limit on proposals: it completes each one, at once when full.
    waiting: BTreeMap<ProposalId, ProposalReply>,
    next_proposal: ProposalId,
    feeds: StatusFeeds,
    /// VMs that the settings name; each life of the replica is told of them.
    introduced: BTreeSet<VmId>,
    /// The last entry that was applied when the life before ended. Until this life has caught up
    /// with it, what it holds is older than what was shown, and is not shown.
    shown_until: LogIndex,
}

impl ReplicaRunner {
    pub(super) fn new(
        settings: DriverSettings,
        replica: Replica,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
        batches: mpsc::Sender<LifeBatch>,
        feeds: StatusFeeds,
    ) -> Self {
        ReplicaRunner {
            settings,
            replica,
            outbound,
            batches,
            room: Arc::new(Semaphore::new(BATCH_BYTES)),
            life: 0,
            waiting: BTreeMap::new(),
            next_proposal: 0,
            feeds,
            introduced: BTreeSet::new(),
            shown_until: 0,
        }
    }

    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<DriverInput>,
        mut reports: mpsc::Receiver<WriteReport>,
    ) {
        loop {
            let reason = match self.live(&mut inputs, &mut reports).await {
                LifeEnd::HandlesGone => return,
                LifeEnd::ThreadGone => return self.stop(THREAD_ENDED),
                LifeEnd::DiskFailed(reason) => reason,
            };
            self.stop(&reason);
            let opened = self.wait_opened(&mut inputs, &mut reports).await;
            let Some((life, state)) = opened else { return };
            if !self.begin(life, state) || self.introduce().await.is_err() {
                return;
            }
        }
    }

    async fn live(
        &mut self,
        inputs: &mut mpsc::Receiver<DriverInput>,
        reports: &mut mpsc::Receiver<WriteReport>,
    ) -> LifeEnd {
        loop {
            let wakeup = self.replica.next_wakeup().unwrap_or_else(Instant::now);
            let input = tokio::select! {
                biased;
                report = reports.recv() => match report {
                    Some(WriteReport::Synced(number)) => ReplicaInput::Persisted { number },
                    Some(WriteReport::Failed(reason)) => return LifeEnd::DiskFailed(reason),
                    Some(WriteReport::Opened { .. }) => continue,
                    None => return LifeEnd::ThreadGone,
                },
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return LifeEnd::HandlesGone,
                },
                () = sleep_until(wakeup.into()) => ReplicaInput::Tick,
            };
            if self.carry_out_all(input).await.is_err() {
                return LifeEnd::ThreadGone;
            }
            self.show();
        }
    }

    /// Tells a new life of the replica whom the settings name.
    async fn introduce(&mut self) -> Result<(), FilesGone> {
        let input = ReplicaInput::ConfiguredPeers { peers: self.introduced.clone() };
        self.carry_out_all(input).await
    }

    async fn carry_out_all(&mut self, input: ReplicaInput) -> Result<(), FilesGone> {
        for action in self.replica.handle(Instant::now(), input) {
            self.carry_out(action).await?;
        }
        Ok(())
    }

    fn take_in(&mut self, input: DriverInput) -> ReplicaInput {
        match input {
            DriverInput::Message { from, message, room } => {
                drop(room);
                ReplicaInput::Received { from, message: *message }
            }
            DriverInput::Propose { command, reply, room } => {
                drop(room);
                self.next_proposal += 1;
                let proposal = self.next_proposal;
                self.waiting.insert(proposal, reply);
                ReplicaInput::Propose { proposal, command: *command }
            }
            DriverInput::Introduce { peers } => {
                self.introduced.clone_from(&peers);
                ReplicaInput::ConfiguredPeers { peers }
            }
        }
    }

    async fn carry_out(&mut self, action: ReplicaAction) -> Result<(), FilesGone> {
        match action {
            ReplicaAction::Persist(batch) => {
                let room = self.batch_room(&batch).await;
                let batch = LifeBatch { life: self.life, batch, room };
                self.batches.send(batch).await.map_err(|_| FilesGone)?;
            }
            ReplicaAction::Send { to, message } => {
                if self.outbound.try_send((to, message)).is_err() {
                    metrics::counter!("oleandermount_control_messages_lost_total").increment(1);
                }
            }
            ReplicaAction::Completed { proposal, outcome } => {
                // Whoever waited may be gone; the outcome stands in the log all the same.
                let _ = self.waiting.remove(&proposal).map(|reply| reply.send(outcome));
            }
            ReplicaAction::Report(text) => log::warn!("{text}"),
        }
        Ok(())
    }

    /// Waits until the disk has room for a batch.
    async fn batch_room(&self, batch: &PersistBatch) -> OwnedSemaphorePermit {
        let bytes: usize = batch.writes.iter().map(DurableWrite::bytes).sum();
        let bytes = u32::try_from(bytes.min(BATCH_BYTES)).expect("the bound is below 4 GiB");
        let room = Arc::clone(&self.room).acquire_many_owned(bytes).await;
        room.expect("the semaphore is never closed")
    }

    fn show(&self) {
        let state = self.replica.state();
        let feeds = &self.feeds;
        let status = self.replica.status(Instant::now());
        let caught_up = status.applied >= self.shown_until;
        let config = self.replica.config();
        if caught_up && !Arc::ptr_eq(config, &feeds.config.borrow()) {
            feeds.config.send_replace(config.clone());
            feeds.history.send_replace(Arc::new(latest_changes(state)));
        }
        // Before the status: who sees there that a command is applied must find what it changed.
        if caught_up && **feeds.documents.borrow() != *state.documents() {
            feeds.documents.send_replace(Arc::new(state.documents().clone()));
        }
        if **feeds.status.borrow() == status {
            return;
        }
        let applied = feeds.status.borrow().applied != status.applied;
        feeds.status.send_replace(Arc::new(status));
        if !applied || !caught_up {
            return;
        }
        if **feeds.weights.borrow() != *state.orders().desired() {
            feeds.weights.send_replace(Arc::new(state.orders().desired().clone()));
        }
        let strikes = state.suspects().crashes();
        if **feeds.suspects.borrow() != strikes {
            feeds.suspects.send_replace(Arc::new(strikes));
        }
    }

    /// Ends a life of the replica: it votes, acknowledges and leads no more, since nothing that it
    /// would promise would last. The daemon goes on serving with the configuration that it has.
    fn stop(&mut self, reason: &str) {
        log::error!(reason = reason; "{}", events::DISK_LOST);
        metrics::counter!("oleandermount_control_replica_stopped_total").increment(1);
        // Whoever waits is told that the outcome is not known.
        self.waiting.clear();
        let mut status = ReplicaStatus::clone(&self.feeds.status.borrow());
        self.shown_until = self.shown_until.max(status.applied);
        status.lease_until = None;
        status.leader_since = None;
        status.leader = None;
        status.is_fresh = false;
        status.role = Default::default();
        status.failure = Some(reason.to_owned());
        self.feeds.status.send_replace(Arc::new(status));
    }

    /// Refuses what comes until the folder is open again; `None` once nobody is left.
    async fn wait_opened(
        &mut self,
        inputs: &mut mpsc::Receiver<DriverInput>,
        reports: &mut mpsc::Receiver<WriteReport>,
    ) -> Option<(ReplicaLife, SavedState)> {
        loop {
            tokio::select! {
                report = reports.recv() => match report? {
                    WriteReport::Opened { life, state, set_aside } => {
                        note_set_aside(&self.settings.vm, set_aside.as_deref());
                        return Some((life, state));
                    }
                    WriteReport::Failed(reason) => {
                        log::debug!(reason = reason.as_str(); "the folder cannot be opened yet");
                    }
                    WriteReport::Synced(_) => {}
                },
                input = inputs.recv() => match input? {
                    DriverInput::Propose { reply, .. } => {
                        // Whoever asked may be gone.
                        let _ = reply.send(Err(LocalProposeError::NotLeader { leader: None }));
                    }
                    DriverInput::Introduce { peers } => self.introduced = peers,
                    DriverInput::Message { .. } => {}
                },
            }
        }
    }

    /// Begins the next life with what the disk holds; false if that cannot be used.
    fn begin(&mut self, life: ReplicaLife, state: SavedState) -> bool {
        match open_replica(&self.settings, state) {
            Ok(replica) => {
                self.life = life;
                self.replica = replica;
                log::warn!(life = life; "{}", events::DISK_BACK);
                self.show();
                true
            }
            Err(error) => {
                log::error!(error:% = error; "the folder's state cannot be used");
                false
            }
        }
    }
}
