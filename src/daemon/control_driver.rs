//! Runs one replica on its data folder: a task for the messages, a thread for the files.
//!
//! A disk that refuses a write ends the replica's life, since nothing that it would promise after that
//! would last. The thread then opens the folder anew until that succeeds, and the replica begins its
//! next life with what the disk holds, as after a restart of the process. Without it a disk that was
//! full for some seconds took its voter away for good, and the next loss ended the quorum.

mod runner;
mod writer;

use {
    self::{runner::ReplicaRunner, writer::WatchedFolder},
    crate::{
        control::{
            Command, CommandOutcome, ProposeError, ReplicaMessage, SavedState,
            configuration::ConfigChange,
            document::DocumentState,
            entry::OVERHEAD_BYTES,
            orders::{DesiredWeights, SuspectCrashes},
            replica::{Replica, ReplicaLimits, ReplicaSettings, ReplicaStatus, ReplicaTiming},
            state::ControlState,
        },
        daemon::{ConfigWatch, ControlPort},
        ids::VmId,
        inventory::ActiveConfig,
        storage::{DiskFiles, FileSystem},
    },
    displaydoc::Display,
    futures::future::BoxFuture,
    std::{
        collections::BTreeSet,
        path::PathBuf,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

pub use self::writer::FolderOpener;
pub use crate::control::replica::LocalProposeError;

/// Inputs that wait for the replica. Messages beyond it are lost and proposals refused as busy.
const INPUT_QUEUE: usize = 4096;
/// Bytes of the inputs that wait, beside which the longest command still fits.
pub const INPUT_BYTES: usize = 32 << 20;
/// Batches that wait for the disk. The replica waits for room, so that a slow disk slows down
/// whoever sends instead of growing the memory.
const BATCH_QUEUE: usize = 1024;
/// Bytes of the batches that wait for the disk; one waits even if it is longer.
pub const BATCH_BYTES: usize = 16 << 20;
/// Between two tries to open a folder whose disk has failed: disks that are full or hang are so for
/// seconds, and a try writes what the folder holds once more.
const REOPEN_AFTER: Duration = Duration::from_secs(1);
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
    /// Between two tries to open a folder whose disk has failed.
    pub reopen_after: Duration,
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
            reopen_after: REOPEN_AFTER,
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
        let folder = settings.data_dir.clone();
        let opener: FolderOpener =
            Box::new(move || Ok(Box::new(DiskFiles::open(&folder)?) as Box<dyn FileSystem>));
        Self::start_on(settings, opener, outbound)
    }

    /// Like [`ControlDriver::start`], on a folder that `opener` opens, at first and after each
    /// failure of its disk.
    ///
    /// # Errors
    /// When it cannot be used; the text names the remedy.
    pub fn start_on(
        settings: DriverSettings,
        opener: FolderOpener,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    ) -> Result<ControlHandle, DriverError> {
        let mut folder = WatchedFolder::new(opener, settings.reopen_after);
        let opened = folder.open().map_err(|reason: String| storage_error(&settings, &reason))?;
        note_set_aside(&settings.vm, opened.quarantined.as_deref());
        let replica = open_replica(&settings, opened.state)?;
        let (inputs, queue) = mpsc::channel(INPUT_QUEUE);
        let (batches, batch_queue) = mpsc::channel(BATCH_QUEUE);
        let (reports, report_queue) = mpsc::channel(BATCH_QUEUE);
        let (feeds, watches) = status_feeds(&replica);
        thread::Builder::new()
            .name("control-log".to_owned())
            .spawn(move || folder.run(opened.store, batch_queue, reports))
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        let runner = ReplicaRunner::new(settings, replica, outbound, batches, feeds);
        tokio::spawn(runner.run(queue, report_queue));
        Ok(ControlHandle { inputs, room: Arc::new(Semaphore::new(INPUT_BYTES)), watches })
    }
}

fn note_set_aside(vm: &VmId, reason: Option<&str>) {
    if let Some(reason) = reason {
        log::error!(vm = vm.as_str(), reason = reason;
            "the data folder was damaged and is set aside; this replica is empty now: \
             take it in again with `oleandermountctl replica replace`");
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

/// What reaches the task from its handles.
enum DriverInput {
    Message {
        from: VmId,
        message: Box<ReplicaMessage>,
        /// Its bytes of [`INPUT_BYTES`], which are free again when the replica takes it.
        room: OwnedSemaphorePermit,
    },
    Propose {
        command: Box<Command>,
        reply: ProposalReply,
        /// As above.
        room: OwnedSemaphorePermit,
    },
    Introduce {
        peers: BTreeSet<VmId>,
    },
}

type ProposalReply = oneshot::Sender<Result<CommandOutcome, LocalProposeError>>;

/// Where the task shows the state.
struct StatusFeeds {
    config: watch::Sender<Arc<ActiveConfig>>,
    status: watch::Sender<Arc<ReplicaStatus>>,
    weights: watch::Sender<Arc<DesiredWeights>>,
    suspects: watch::Sender<Arc<SuspectCrashes>>,
    history: watch::Sender<Arc<Vec<ConfigChange>>>,
    documents: watch::Sender<Arc<DocumentState>>,
}

/// Where handles see it.
#[derive(Clone)]
struct StatusWatches {
    config: ConfigWatch,
    status: watch::Receiver<Arc<ReplicaStatus>>,
    weights: watch::Receiver<Arc<DesiredWeights>>,
    suspects: watch::Receiver<Arc<SuspectCrashes>>,
    history: watch::Receiver<Arc<Vec<ConfigChange>>>,
    documents: watch::Receiver<Arc<DocumentState>>,
}

fn status_feeds(replica: &Replica) -> (StatusFeeds, StatusWatches) {
    let state = replica.state();
    let (config_feed, config) = watch::channel(replica.config().clone());
    let (status_feed, status) = watch::channel(Arc::new(replica.status(Instant::now())));
    let (weights_feed, weights) = watch::channel(Arc::new(state.orders().desired().clone()));
    let (suspects_feed, suspects) = watch::channel(Arc::new(state.suspects().crashes()));
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

/// Reaches a running replica.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: mpsc::Sender<DriverInput>,
    /// What is left of [`INPUT_BYTES`].
    room: Arc<Semaphore>,
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
        let length = OVERHEAD_BYTES + command.body_bytes();
        let Some(room) = self.take_room(length) else { return Err(LocalProposeError::Busy) };
        let input = DriverInput::Propose { command: Box::new(command), reply, room };
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
        let room = self.take_room(message.bytes());
        let message = Box::new(message);
        let queued = room.map(|room| DriverInput::Message { from, message, room });
        if queued.is_none_or(|input| self.inputs.try_send(input).is_err()) {
            metrics::counter!("oleandermount_control_messages_lost_total").increment(1);
        }
    }

    fn take_room(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        Arc::clone(&self.room).try_acquire_many_owned(bytes).ok()
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
    pub fn suspects(&self) -> watch::Receiver<Arc<SuspectCrashes>> {
        self.watches.suspects.clone()
    }
}

impl ControlPort for ControlHandle {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async move { self.propose_local(command).await.map_err(ProposeError::from) })
    }
}
