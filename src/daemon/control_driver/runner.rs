//! The task that runs a replica.

use {
    super::{
        BATCH_BYTES, DriverInput, DriverSettings, ProposalReply, ReadReply, StatusSenders,
        latest_changes, log_quarantine, open_replica,
        writer::{GenerationBatch, ReplicaGeneration, WriteReport},
    },
    crate::{
        clock,
        control::{
            DurableWrite, PersistBatch, ReplicaMessage, SavedState,
            replica::{
                LocalProposeError, ProposalId, ReadId, Replica, ReplicaAction, ReplicaInput,
                ReplicaStatus,
            },
        },
        ids::{LogIndex, VmId},
        observe::{
            events,
            memory::{HeldAmount, MemoryPart, set_amount},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc},
        time::sleep,
    },
};

/// The writer thread has ended and accepts no more batches.
struct WriterClosed;

/// The reason in the log when the writer thread has ended without reporting one.
const WRITER_ENDED: &str = "the thread for the files has ended; restart the daemon";

/// Why a generation of the replica ended.
enum StopReason {
    /// All handles have been dropped.
    HandlesDropped,
    /// The disk failed; the writer thread reopens the folder.
    DiskFailed(String),
    /// The writer thread has ended.
    WriterClosed,
}

/// The state of the task that runs a replica.
pub(super) struct ReplicaRunner {
    settings: DriverSettings,
    replica: Replica,
    outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    batches: mpsc::Sender<GenerationBatch>,
    /// The unused part of [`BATCH_BYTES`].
    free_bytes: Arc<Semaphore>,
    generation: ReplicaGeneration,
    /// The replies to proposals in progress. Bounded by the replica's limit on proposals: it
    /// completes each proposal, immediately when the limit is reached.
    waiting: BTreeMap<ProposalId, ProposalReply>,
    next_proposal: ProposalId,
    /// The replies to reads in progress, bounded in the same way.
    waiting_reads: BTreeMap<ReadId, ReadReply>,
    next_read: ReadId,
    senders: StatusSenders,
    /// VMs that the settings name; they are passed to each generation of the replica.
    configured_peers: BTreeSet<VmId>,
    /// The last index that an earlier generation had applied. Until this generation has applied it,
    /// its state is older than the published one and is not published.
    published_index: LogIndex,
}

impl ReplicaRunner {
    pub(super) fn new(
        settings: DriverSettings,
        replica: Replica,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
        batches: mpsc::Sender<GenerationBatch>,
        senders: StatusSenders,
    ) -> Self {
        ReplicaRunner {
            settings,
            replica,
            outbound,
            batches,
            free_bytes: Arc::new(Semaphore::new(BATCH_BYTES)),
            generation: 0,
            waiting: BTreeMap::new(),
            next_proposal: 0,
            waiting_reads: BTreeMap::new(),
            next_read: 0,
            senders,
            configured_peers: BTreeSet::new(),
            published_index: 0,
        }
    }

    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<DriverInput>,
        mut reports: mpsc::Receiver<WriteReport>,
    ) {
        loop {
            let reason = match self.run_generation(&mut inputs, &mut reports).await {
                StopReason::HandlesDropped => return,
                StopReason::WriterClosed => return self.stop(WRITER_ENDED),
                StopReason::DiskFailed(reason) => reason,
            };
            self.stop(&reason);
            let opened = self.wait_reopened(&mut inputs, &mut reports).await;
            let Some((generation, state)) = opened else { return };
            if !self.begin(generation, state) || self.send_configured_peers().await.is_err() {
                return;
            }
        }
    }

    async fn run_generation(
        &mut self,
        inputs: &mut mpsc::Receiver<DriverInput>,
        reports: &mut mpsc::Receiver<WriteReport>,
    ) -> StopReason {
        loop {
            let now = clock::now();
            // Timers do not count suspensions, so that they take a duration.
            let pause = self.replica.next_wakeup().unwrap_or(now).saturating_duration_since(now);
            let input = tokio::select! {
                biased;
                report = reports.recv() => match report {
                    Some(WriteReport::Synced(number)) => ReplicaInput::Persisted { number },
                    Some(WriteReport::Failed(reason)) => return StopReason::DiskFailed(reason),
                    Some(WriteReport::Opened { .. }) => continue,
                    None => return StopReason::WriterClosed,
                },
                input = inputs.recv() => match input {
                    Some(input) => self.accept(input),
                    None => return StopReason::HandlesDropped,
                },
                () = sleep(pause) => ReplicaInput::Tick,
            };
            if self.process(input).await.is_err() {
                return StopReason::WriterClosed;
            }
            self.publish();
        }
    }

    /// Passes the VMs that the settings name to a new generation of the replica.
    async fn send_configured_peers(&mut self) -> Result<(), WriterClosed> {
        let input = ReplicaInput::ConfiguredPeers { peers: self.configured_peers.clone() };
        self.process(input).await
    }

    async fn process(&mut self, input: ReplicaInput) -> Result<(), WriterClosed> {
        for action in self.replica.handle(clock::now(), input) {
            self.execute(action).await?;
        }
        Ok(())
    }

    fn accept(&mut self, input: DriverInput) -> ReplicaInput {
        match input {
            DriverInput::Message { from, message, permit } => {
                drop(permit);
                ReplicaInput::Received { from, message: *message }
            }
            DriverInput::Propose { command, reply, permit } => {
                drop(permit);
                self.next_proposal += 1;
                let proposal = self.next_proposal;
                self.waiting.insert(proposal, reply);
                ReplicaInput::Propose { proposal, command: *command }
            }
            DriverInput::Read { reply } => {
                self.next_read += 1;
                self.waiting_reads.insert(self.next_read, reply);
                ReplicaInput::Read { read: self.next_read }
            }
            DriverInput::ConfiguredPeers { peers } => {
                self.configured_peers.clone_from(&peers);
                ReplicaInput::ConfiguredPeers { peers }
            }
        }
    }

    async fn execute(&mut self, action: ReplicaAction) -> Result<(), WriterClosed> {
        match action {
            ReplicaAction::Persist(batch) => {
                let permit = self.reserve_batch_bytes(&batch).await;
                let held = HeldAmount::new(MemoryPart::Batches, permit.num_permits());
                let batch = GenerationBatch { generation: self.generation, batch, permit, held };
                self.batches.send(batch).await.map_err(|_| WriterClosed)?;
            }
            ReplicaAction::Send { to, message } => {
                if self.outbound.try_send((to, message)).is_err() {
                    metrics::counter!("oleandermount_control_messages_lost_total").increment(1);
                }
            }
            ReplicaAction::Completed { proposal, outcome } => {
                // Fails only when the proposer no longer waits; the outcome is in the log anyway.
                let _ = self.waiting.remove(&proposal).map(|reply| reply.send(outcome));
            }
            ReplicaAction::ReadConfirmed { read, outcome } => {
                let document = || self.replica.state().documents().document().clone();
                // Fails only when the reader no longer waits.
                let _ = self
                    .waiting_reads
                    .remove(&read)
                    .map(|reply| reply.send(outcome.map(|()| document())));
            }
            ReplicaAction::Report(text) => log::warn!("{text}"),
        }
        Ok(())
    }

    /// Waits until the batch fits into the queue for the disk.
    async fn reserve_batch_bytes(&self, batch: &PersistBatch) -> OwnedSemaphorePermit {
        let bytes: usize = batch.writes.iter().map(DurableWrite::bytes).sum();
        let bytes = u32::try_from(bytes.min(BATCH_BYTES)).expect("the bound is below 4 GiB");
        let permit = Arc::clone(&self.free_bytes).acquire_many_owned(bytes).await;
        permit.expect("the semaphore is never closed")
    }

    fn publish(&self) {
        set_amount(MemoryPart::ReplicaLog, self.replica.log_bytes());
        let state = self.replica.state();
        let senders = &self.senders;
        let status = self.replica.status(clock::now());
        let caught_up = status.applied >= self.published_index;
        let config = self.replica.config();
        if caught_up && !Arc::ptr_eq(config, &senders.config.borrow()) {
            senders.config.send_replace(config.clone());
            senders.history.send_replace(Arc::new(latest_changes(state)));
        }
        // Documents are published before the status: a reader that sees a command as applied in the
        // status must find its effect.
        if caught_up && **senders.documents.borrow() != *state.documents() {
            senders.documents.send_replace(Arc::new(state.documents().clone()));
        }
        if **senders.status.borrow() == status {
            return;
        }
        let applied = senders.status.borrow().applied != status.applied;
        senders.status.send_replace(Arc::new(status));
        if !applied || !caught_up {
            return;
        }
        if **senders.weights.borrow() != *state.orders().desired() {
            senders.weights.send_replace(Arc::new(state.orders().desired().clone()));
        }
        let crashes = state.suspects().crashes();
        if **senders.suspects.borrow() != crashes {
            senders.suspects.send_replace(Arc::new(crashes));
        }
    }

    /// Ends a generation of the replica: it no longer votes, acknowledges or leads, since nothing
    /// that it acknowledged would be durable. The daemon continues to serve with its present
    /// configuration.
    fn stop(&mut self, reason: &str) {
        log::error!(reason = reason; "{}", events::REPLICA_STOPPED);
        metrics::counter!("oleandermount_control_replica_stopped_total").increment(1);
        // Dropping the replies reports an unknown outcome to the proposers, and none to the readers.
        self.waiting.clear();
        self.waiting_reads.clear();
        let mut status = ReplicaStatus::clone(&self.senders.status.borrow());
        self.published_index = self.published_index.max(status.applied);
        status.lease_until = None;
        status.leader_since = None;
        status.leader = None;
        status.is_fresh = false;
        status.role = Default::default();
        status.failure = Some(reason.to_owned());
        self.senders.status.send_replace(Arc::new(status));
    }

    /// Refuses inputs until the folder is open again; `None` if the writer thread has ended or all
    /// handles have been dropped.
    async fn wait_reopened(
        &mut self,
        inputs: &mut mpsc::Receiver<DriverInput>,
        reports: &mut mpsc::Receiver<WriteReport>,
    ) -> Option<(ReplicaGeneration, SavedState)> {
        loop {
            tokio::select! {
                report = reports.recv() => match report? {
                    WriteReport::Opened { generation, state, quarantined } => {
                        log_quarantine(&self.settings.vm, quarantined.as_deref());
                        return Some((generation, state));
                    }
                    WriteReport::Failed(reason) => {
                        log::debug!(reason = reason.as_str(); "cannot reopen the data folder; retrying");
                    }
                    WriteReport::Synced(_) => {}
                },
                input = inputs.recv() => match input? {
                    DriverInput::Propose { reply, .. } => {
                        // Fails only when the proposer no longer waits.
                        let _ = reply.send(Err(LocalProposeError::NotLeader { leader: None }));
                    }
                    DriverInput::Read { reply } => {
                        // Fails only when the reader no longer waits.
                        let _ = reply.send(Err(LocalProposeError::NotLeader { leader: None }));
                    }
                    DriverInput::ConfiguredPeers { peers } => self.configured_peers = peers,
                    DriverInput::Message { .. } => {}
                },
            }
        }
    }

    /// Starts the next generation from the contents of the disk; false if these are unusable.
    fn begin(&mut self, generation: ReplicaGeneration, state: SavedState) -> bool {
        match open_replica(&self.settings, state) {
            Ok(replica) => {
                self.generation = generation;
                self.replica = replica;
                log::warn!(life = generation; "{}", events::REPLICA_RESUMED);
                self.publish();
                true
            }
            Err(error) => {
                log::error!(error:% = error; "the state in the data folder is unusable; the replica stays stopped");
                false
            }
        }
    }
}
