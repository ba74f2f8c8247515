//! Runs one replica on its data folder: a task for the messages, a thread for the files.

use {
    crate::{
        control::{
            Command, CommandOutcome, PersistBatch, ProposeError, ReplicaMessage, SavedState,
            configuration::ConfigChange,
            document::DocumentState,
            orders::{DesiredWeights, SuspectStrikes},
            replica::{
                ProposalId, Replica, ReplicaAction, ReplicaInput, ReplicaLimits, ReplicaSettings,
                ReplicaStatus, ReplicaTiming,
            },
            state::ControlState,
        },
        daemon::{ConfigWatch, ControlPort},
        ids::{Incarnation, VmId},
        inventory::ActiveConfig,
        observe::events,
        storage::{DiskFiles, FileSystem, LogStore},
    },
    displaydoc::Display,
    futures::future::BoxFuture,
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{BuildHasher, RandomState},
        path::PathBuf,
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{sleep_until, timeout},
    },
};

pub use crate::control::replica::LocalProposeError;

/// Inputs that wait for the replica. Messages beyond it are lost and proposals refused as busy.
const INPUT_QUEUE: usize = 4096;
/// Batches that wait for the disk. The replica waits for room, so that a slow disk slows down
/// whoever sends instead of growing the memory.
const BATCH_QUEUE: usize = 1024;
/// Batches synced at once, so that the queue of reports to the replica stays short.
const BATCHES_AT_ONCE: usize = 256;
/// How long a proposal may wait: two elections.
const PROPOSAL_WAIT: Duration = Duration::from_secs(5);

/// Accepted changes that operators are shown.
const SHOWN_CHANGES: usize = 200;

/// What a driver needs to start.
#[derive(Clone, Debug)]
pub struct DriverSettings {
    /// The VM that this replica runs on.
    pub vm: VmId,
    /// The VMs that found the group together; the same list at each of them.
    pub founders: Vec<VmId>,
    /// The folder that the replica alone uses.
    pub data_dir: PathBuf,
    /// Seeds the election timeouts.
    pub seed: u64,
    /// When the replica acts on its own.
    pub timing: ReplicaTiming,
    /// How much the replica holds.
    pub limits: ReplicaLimits,
}

impl DriverSettings {
    /// Settings with the usual timing and bounds.
    pub fn new(vm: VmId, founders: Vec<VmId>, data_dir: impl Into<PathBuf>, seed: u64) -> Self {
        DriverSettings {
            vm,
            founders,
            data_dir: data_dir.into(),
            seed,
            timing: ReplicaTiming::default(),
            limits: ReplicaLimits::default(),
        }
    }
}

/// Why a driver did not start.
#[derive(Debug, Display)]
pub enum DriverError {
    /// the data folder {folder} cannot be used: {reason}
    Storage {
        /// The folder.
        folder: String,
        /// What is wrong and what to do.
        reason: String,
    },
}

impl std::error::Error for DriverError {}

/// Starts replicas.
pub struct ControlDriver;

impl ControlDriver {
    /// Opens the data folder and runs a replica on it until the last handle is dropped.
    /// Messages for other replicas go to `outbound`; those that find it full are lost, which the
    /// protocol allows for. Must be called inside a tokio runtime.
    ///
    /// # Errors
    /// When the data folder cannot be used; the text names the remedy.
    pub fn start(
        settings: DriverSettings,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    ) -> Result<ControlHandle, DriverError> {
        let files = DiskFiles::open(&settings.data_dir)
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        Self::start_on(settings, Box::new(files), outbound)
    }

    /// Like [`ControlDriver::start`], on files that are already open.
    ///
    /// # Errors
    /// When they cannot be used; the text names the remedy.
    pub fn start_on(
        settings: DriverSettings,
        files: Box<dyn FileSystem>,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    ) -> Result<ControlHandle, DriverError> {
        let opened = LogStore::open(files, fresh_incarnation())
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        if let Some(reason) = &opened.set_aside {
            log::error!(vm = settings.vm.as_str(), reason = reason.as_str();
                "the data folder was damaged and is set aside; this replica is empty now: \
                 take it in again with `oleandermountctl replica replace`");
        }
        let replica = open_replica(&settings, opened.state)?;
        let (inputs, queue) = mpsc::channel(INPUT_QUEUE);
        let (batches, batch_queue) = mpsc::channel(BATCH_QUEUE);
        let (reports, report_queue) = mpsc::channel(BATCH_QUEUE);
        let (feeds, watches) = status_feeds(&replica);
        let runner = ReplicaRunner {
            replica,
            outbound,
            batches,
            waiting: BTreeMap::new(),
            next_proposal: 0,
            feeds,
        };
        thread::Builder::new()
            .name("control-log".to_owned())
            .spawn(move || run_writer(opened.store, batch_queue, reports))
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        tokio::spawn(runner.run(queue, report_queue));
        Ok(ControlHandle { inputs, watches })
    }
}

fn open_replica(settings: &DriverSettings, saved: SavedState) -> Result<Replica, DriverError> {
    let place = ReplicaSettings {
        vm: settings.vm.clone(),
        founders: settings.founders.iter().cloned().collect(),
        seed: settings.seed,
        timing: settings.timing,
        limits: settings.limits,
    };
    Replica::new(place, saved, Instant::now())
        .map_err(|error| storage_error(settings, &error.to_string()))
}

fn storage_error(settings: &DriverSettings, reason: &str) -> DriverError {
    let folder = settings.data_dir.display().to_string();
    DriverError::Storage { folder, reason: reason.to_owned() }
}

/// A number that no other disk has: the time, and twenty bits of chance for two disks that are
/// emptied in the same millisecond or under a clock that was set back.
fn fresh_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    (millis << 20) | (RandomState::new().hash_one(std::process::id()) >> 44)
}

/// What the thread for the files tells the task.
enum WriteReport {
    /// All batches up to this number are synced.
    Synced(u64),
    /// Nothing is written any more.
    Failed(String),
}

/// Writes batches until the task is gone or a write fails; what waits is synced together.
fn run_writer(
    mut store: LogStore,
    mut queue: mpsc::Receiver<PersistBatch>,
    reports: mpsc::Sender<WriteReport>,
) {
    while let Some(batch) = queue.blocking_recv() {
        let PersistBatch { mut number, mut writes } = batch;
        for _ in 1..BATCHES_AT_ONCE {
            let Ok(next) = queue.try_recv() else { break };
            number = next.number;
            writes.extend(next.writes);
        }
        let report = match store.append(writes) {
            Ok(()) => WriteReport::Synced(number),
            Err(error) => WriteReport::Failed(error.to_string()),
        };
        let failed = matches!(report, WriteReport::Failed(_));
        if reports.blocking_send(report).is_err() || failed {
            return;
        }
    }
}

/// What reaches the task from its handles.
enum DriverInput {
    Message { from: VmId, message: Box<ReplicaMessage> },
    Propose { command: Box<Command>, reply: ProposalReply },
    Introduce { peers: BTreeSet<VmId> },
}

type ProposalReply = oneshot::Sender<Result<CommandOutcome, LocalProposeError>>;

/// Where the task shows the state.
struct StatusFeeds {
    config: watch::Sender<Arc<ActiveConfig>>,
    status: watch::Sender<Arc<ReplicaStatus>>,
    weights: watch::Sender<Arc<DesiredWeights>>,
    suspects: watch::Sender<Arc<SuspectStrikes>>,
    history: watch::Sender<Arc<Vec<ConfigChange>>>,
    documents: watch::Sender<Arc<DocumentState>>,
}

/// Where handles see it.
#[derive(Clone)]
struct StatusWatches {
    config: ConfigWatch,
    status: watch::Receiver<Arc<ReplicaStatus>>,
    weights: watch::Receiver<Arc<DesiredWeights>>,
    suspects: watch::Receiver<Arc<SuspectStrikes>>,
    history: watch::Receiver<Arc<Vec<ConfigChange>>>,
    documents: watch::Receiver<Arc<DocumentState>>,
}

fn status_feeds(replica: &Replica) -> (StatusFeeds, StatusWatches) {
    let state = replica.state();
    let (config_feed, config) = watch::channel(replica.config().clone());
    let (status_feed, status) = watch::channel(Arc::new(replica.status(Instant::now())));
    let (weights_feed, weights) = watch::channel(Arc::new(state.orders().desired().clone()));
    let (suspects_feed, suspects) = watch::channel(Arc::new(state.suspects().strikes()));
    let (history_feed, history) = watch::channel(Arc::new(latest_changes(state)));
    let (documents_feed, documents) = watch::channel(Arc::new(state.documents().clone()));
    let feeds = StatusFeeds {
        config: config_feed,
        status: status_feed,
        weights: weights_feed,
        suspects: suspects_feed,
        history: history_feed,
        documents: documents_feed,
    };
    (feeds, StatusWatches { config, status, weights, suspects, history, documents })
}

/// The latest accepted changes, the newest first.
fn latest_changes(state: &ControlState) -> Vec<ConfigChange> {
    let mut changes: Vec<ConfigChange> = state.configuration().changes().cloned().collect();
    changes.reverse();
    changes.truncate(SHOWN_CHANGES);
    changes
}

/// The thread for the files takes no more batches.
struct FilesGone;

/// What is said when that thread left no reason.
const THREAD_ENDED: &str = "the thread for the files has ended; restart the daemon";

/// Why the thread for the files ended. Its last report may still wait to be read when the next batch
/// finds it gone, and operators need the disk's own reason.
async fn last_failure(reports: &mut mpsc::Receiver<WriteReport>) -> String {
    while let Some(report) = reports.recv().await {
        if let WriteReport::Failed(reason) = report {
            return reason;
        }
    }
    THREAD_ENDED.to_owned()
}

/// The task around a replica.
struct ReplicaRunner {
    replica: Replica,
    outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    batches: mpsc::Sender<PersistBatch>,
    /// Bounded by the replica's limit on proposals: it completes each one, at once when full.
    waiting: BTreeMap<ProposalId, ProposalReply>,
    next_proposal: ProposalId,
    feeds: StatusFeeds,
}

impl ReplicaRunner {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<DriverInput>,
        mut reports: mpsc::Receiver<WriteReport>,
    ) {
        loop {
            let wakeup = self.replica.next_wakeup().unwrap_or_else(Instant::now);
            let input = tokio::select! {
                biased;
                report = reports.recv() => match report {
                    Some(WriteReport::Synced(number)) => ReplicaInput::Persisted { number },
                    Some(WriteReport::Failed(reason)) => return self.stop(&reason),
                    None => return self.stop(THREAD_ENDED),
                },
                input = inputs.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return,
                },
                () = sleep_until(wakeup.into()) => ReplicaInput::Tick,
            };
            let actions = self.replica.handle(Instant::now(), input);
            for action in actions {
                if self.carry_out(action).await.is_err() {
                    return self.stop(&last_failure(&mut reports).await);
                }
            }
            self.show();
        }
    }

    fn take_in(&mut self, input: DriverInput) -> ReplicaInput {
        match input {
            DriverInput::Message { from, message } => {
                ReplicaInput::Received { from, message: *message }
            }
            DriverInput::Propose { command, reply } => {
                self.next_proposal += 1;
                let proposal = self.next_proposal;
                self.waiting.insert(proposal, reply);
                ReplicaInput::Propose { proposal, command: *command }
            }
            DriverInput::Introduce { peers } => ReplicaInput::Introduce { peers },
        }
    }

    async fn carry_out(&mut self, action: ReplicaAction) -> Result<(), FilesGone> {
        match action {
            ReplicaAction::Persist(batch) => {
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

    fn show(&self) {
        let state = self.replica.state();
        let feeds = &self.feeds;
        let config = self.replica.config();
        if !Arc::ptr_eq(config, &feeds.config.borrow()) {
            feeds.config.send_replace(config.clone());
            feeds.history.send_replace(Arc::new(latest_changes(state)));
        }
        // Before the status: who sees there that a command is applied must find what it changed.
        if **feeds.documents.borrow() != *state.documents() {
            feeds.documents.send_replace(Arc::new(state.documents().clone()));
        }
        let status = self.replica.status(Instant::now());
        if **feeds.status.borrow() == status {
            return;
        }
        let applied = feeds.status.borrow().applied != status.applied;
        feeds.status.send_replace(Arc::new(status));
        if !applied {
            return;
        }
        if **feeds.weights.borrow() != *state.orders().desired() {
            feeds.weights.send_replace(Arc::new(state.orders().desired().clone()));
        }
        let strikes = state.suspects().strikes();
        if **feeds.suspects.borrow() != strikes {
            feeds.suspects.send_replace(Arc::new(strikes));
        }
    }

    /// Ends the replica: it votes, acknowledges and leads no more, since nothing that it would
    /// promise would last. The daemon goes on serving with the configuration that it has.
    fn stop(self, reason: &str) {
        log::error!(reason = reason; "{}", events::DISK_LOST);
        metrics::counter!("oleandermount_control_replica_stopped_total").increment(1);
        let mut status = ReplicaStatus::clone(&self.feeds.status.borrow());
        status.lease_until = None;
        status.leader_since = None;
        status.leader = None;
        status.role = Default::default();
        status.failure = Some(reason.to_owned());
        self.feeds.status.send_replace(Arc::new(status));
    }
}

/// Reaches a running replica.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: mpsc::Sender<DriverInput>,
    watches: StatusWatches,
}

impl ControlHandle {
    /// Proposes a command at this replica, also a change of the replicas, and waits for its
    /// outcome.
    ///
    /// # Errors
    /// All but `OutcomeUnknown` promise that the command did not enter the log.
    pub async fn propose_local(
        &self,
        command: Command,
    ) -> Result<CommandOutcome, LocalProposeError> {
        let (reply, outcome) = oneshot::channel();
        let input = DriverInput::Propose { command: Box::new(command), reply };
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => return Err(LocalProposeError::Busy),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                return Err(LocalProposeError::NotLeader { leader: None });
            }
        }
        match timeout(PROPOSAL_WAIT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            // The replica stopped or takes too long; the command may yet be committed.
            Ok(Err(_)) | Err(_) => Err(LocalProposeError::OutcomeUnknown),
        }
    }

    /// Hands over a message from another replica; one that finds the queue full is lost.
    pub fn deliver(&self, from: VmId, message: ReplicaMessage) {
        let input = DriverInput::Message { from, message: Box::new(message) };
        if self.inputs.try_send(input).is_err() {
            metrics::counter!("oleandermount_control_messages_lost_total").increment(1);
        }
    }

    /// Names VMs that a replica without a group makes itself known to, beside its founders. With a
    /// full queue they are not noted; the caller names them again with the next change it sees.
    pub fn introduce(&self, peers: BTreeSet<VmId>) {
        if self.inputs.try_send(DriverInput::Introduce { peers }).is_err() {
            log::warn!("VMs of the settings are not noted: the replica is busy or has stopped");
        }
    }

    /// The committed configuration as far as this replica has applied it.
    pub fn config(&self) -> ConfigWatch {
        self.watches.config.clone()
    }

    /// What the replica was last seen to be.
    pub fn status(&self) -> Arc<ReplicaStatus> {
        self.watches.status.borrow().clone()
    }

    /// Follows the status.
    pub fn status_watch(&self) -> watch::Receiver<Arc<ReplicaStatus>> {
        self.watches.status.clone()
    }

    /// Whether this replica leads and no other can at this moment. Ask right before each act.
    pub fn lease_valid(&self) -> bool {
        self.status().lease_until.is_some_and(|until| Instant::now() < until)
    }

    /// The desired weights, as far as this replica has applied them.
    pub fn desired_weights(&self) -> watch::Receiver<Arc<DesiredWeights>> {
        self.watches.weights.clone()
    }

    /// The latest accepted changes of the configuration, the newest first.
    pub fn history(&self) -> Arc<Vec<ConfigChange>> {
        self.watches.history.borrow().clone()
    }

    /// The operators' document and named weights, as far as this replica has applied them.
    pub fn documents(&self) -> watch::Receiver<Arc<DocumentState>> {
        self.watches.documents.clone()
    }

    /// The suspects, as far as this replica has applied them.
    pub fn suspects(&self) -> watch::Receiver<Arc<SuspectStrikes>> {
        self.watches.suspects.clone()
    }
}

impl ControlPort for ControlHandle {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async move { self.propose_local(command).await.map_err(ProposeError::from) })
    }
}
