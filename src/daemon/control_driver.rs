//! Runs one replica on its data folder: a task handles messages, a thread writes the files.
//!
//! When a write fails, the replica stops, since nothing that it acknowledged after that would be
//! durable. The thread reopens the folder until that succeeds, and the replica starts its next
//! generation from the contents of the disk, as after a restart of the process. Otherwise a disk
//! that is full for some seconds would remove its voter permanently, and the failure of another
//! voter would lose the quorum.

mod runner;
mod writer;

use {
    self::{runner::ReplicaRunner, writer::ReplicaFolder},
    crate::{
        clock,
        control::{
            Command, CommandOutcome, ProposeError, ReplicaMessage, SavedState,
            configuration::ConfigChange,
            document::{DocumentState, NumberedDocument},
            entry::OVERHEAD_BYTES,
            orders::{DesiredWeights, SuspectCrashes},
            replica::{Replica, ReplicaLimits, ReplicaSettings, ReplicaStatus, ReplicaTiming},
            state::ControlState,
        },
        daemon::{ConfigWatch, ControlPort},
        ids::VmId,
        inventory::ActiveConfig,
        observe::memory::{MemoryPart, set_amount},
        storage::{DiskFiles, FileSystem, OpenedStore, StorageError},
    },
    displaydoc::Display,
    futures::future::BoxFuture,
    std::{collections::BTreeSet, path::PathBuf, sync::Arc, thread, time::Duration},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

pub use self::writer::FolderOpener;
pub use crate::control::replica::LocalProposeError;

/// Inputs that wait for the replica. Beyond this messages are dropped and proposals are refused as
/// busy.
const INPUT_QUEUE_LENGTH: usize = 4096;
/// Bytes of the inputs that wait: enough for the longest command beside other inputs.
pub const INPUT_BYTES: usize = 32 << 20;
/// Batches that wait for the disk. The replica waits for space in the queue, so that a slow disk
/// causes backpressure instead of unbounded memory use.
const BATCH_QUEUE_LENGTH: usize = 1024;
/// Bytes of the batches that wait for the disk; a single longer batch is accepted.
pub const BATCH_BYTES: usize = 16 << 20;
/// The default interval between two attempts to reopen a folder whose disk has failed. A disk is
/// full or unresponsive for seconds, and each attempt rewrites the contents of the folder.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a proposal or read: two elections.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of accepted changes in the history for operators.
const MAX_HISTORY_CHANGES: usize = 200;

/// When a replica whose disk has no group may found one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundingRule {
    /// At every start.
    Always,
    /// At this start, which is the first one of the deployment. The disk remembers that.
    FirstStart,
    /// Only with a disk that remembers the first start: it has lost nothing since, so that it knows of every
    /// group that it has founded.
    LaterStart,
}

/// Settings of a control driver.
#[derive(Clone, Debug)]
pub struct DriverSettings {
    /// The VM of this replica.
    pub vm: VmId,
    /// The VMs of the initial group; each of them must have the same list.
    pub founders: Vec<VmId>,
    /// When this replica may found the group.
    pub founding: FoundingRule,
    /// The data folder; nothing else may use it.
    pub data_dir: PathBuf,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// The timing of elections and heartbeats.
    pub timing: ReplicaTiming,
    /// The limits on what the replica stores and queues.
    pub limits: ReplicaLimits,
    /// The interval between two attempts to reopen a folder whose disk has failed.
    pub reopen_after: Duration,
}

impl DriverSettings {
    /// Settings with the default timing and limits.
    pub fn new(vm: VmId, founders: Vec<VmId>, data_dir: impl Into<PathBuf>, seed: u64) -> Self {
        DriverSettings {
            vm,
            founders,
            founding: FoundingRule::Always,
            data_dir: data_dir.into(),
            seed,
            timing: ReplicaTiming::default(),
            limits: ReplicaLimits::default(),
            reopen_after: REOPEN_INTERVAL,
        }
    }
}

/// Why a driver failed to start.
#[derive(Debug, Display)]
pub enum DriverError {
    /// the data folder {folder} is unusable: {reason}
    Storage {
        /// The path of the folder.
        folder: String,
        /// The cause and the remedy.
        reason: String,
    },
}

impl std::error::Error for DriverError {}

/// Starts replicas.
pub struct ControlDriver;

impl ControlDriver {
    /// Opens the data folder and runs a replica on it until the last handle is dropped.
    /// Messages for other replicas are sent to `outbound` and dropped when it is full, which the
    /// protocol tolerates. Must be called inside a tokio runtime.
    ///
    /// # Errors
    /// When the data folder is unusable; the text names the remedy.
    pub fn start(
        settings: DriverSettings,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    ) -> Result<ControlHandle, DriverError> {
        let folder = settings.data_dir.clone();
        let opener: FolderOpener =
            Box::new(move || Ok(Box::new(DiskFiles::open(&folder)?) as Box<dyn FileSystem>));
        Self::start_on(settings, opener, outbound)
    }

    /// Like [`ControlDriver::start`], on a folder that `opener` opens at the start and after each
    /// failure of its disk.
    ///
    /// # Errors
    /// When the folder is unusable; the text names the remedy.
    pub fn start_on(
        settings: DriverSettings,
        opener: FolderOpener,
        outbound: mpsc::Sender<(VmId, ReplicaMessage)>,
    ) -> Result<ControlHandle, DriverError> {
        let mut folder = ReplicaFolder::new(opener, settings.reopen_after);
        let mut settings = settings;
        let mut opened =
            folder.open().map_err(|reason: String| storage_error(&settings, &reason))?;
        log_quarantine(&settings.vm, opened.quarantined.as_deref());
        settings.founders = present_founders(&settings, &mut opened)
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        let replica = open_replica(&settings, opened.state)?;
        let (inputs, queue) = mpsc::channel(INPUT_QUEUE_LENGTH);
        let (batches, batch_queue) = mpsc::channel(BATCH_QUEUE_LENGTH);
        let (reports, report_queue) = mpsc::channel(BATCH_QUEUE_LENGTH);
        let (senders, receivers) = status_channels(&replica);
        thread::Builder::new()
            .name("control-log".to_owned())
            .spawn(move || folder.run(opened.store, batch_queue, reports))
            .map_err(|error| storage_error(&settings, &error.to_string()))?;
        let runner = ReplicaRunner::new(settings, replica, outbound, batches, senders);
        tokio::spawn(runner.run(queue, report_queue));
        Ok(ControlHandle { inputs, free_bytes: Arc::new(Semaphore::new(INPUT_BYTES)), receivers })
    }
}

fn log_quarantine(vm: &VmId, reason: Option<&str>) {
    if let Some(reason) = reason {
        log::error!(vm = vm.as_str(), reason = reason;
            "the data folder was damaged and has been moved aside; this replica is empty now: \
             add it to the group again with `oleandermountctl replica replace`");
    }
}

/// The founders that the replica uses. One that must not found a group is left out of its own list.
fn present_founders(
    settings: &DriverSettings,
    opened: &mut OpenedStore,
) -> Result<Vec<VmId>, StorageError> {
    let DriverSettings { vm, founders, founding, .. } = settings;
    let store = &mut opened.store;
    let has_group = opened.state.hard_state.group.is_some();
    match founding {
        FoundingRule::Always => Ok(founders.clone()),
        FoundingRule::FirstStart if has_group => Ok(founders.clone()),
        FoundingRule::FirstStart => match store.founders()? {
            Some(recorded) => Ok(recorded),
            None => {
                store.record_founders(founders.clone())?;
                Ok(founders.clone())
            }
        },
        // Other founders than those of the first start could found a second group.
        FoundingRule::LaterStart => match store.founders()?.filter(|_| !has_group) {
            Some(recorded) => {
                log::info!(vm = vm.as_str(), founders = recorded.len();
                    "the disk remembers the first start; the group may still be founded");
                Ok(recorded)
            }
            None => Ok(founders.iter().filter(|founder| *founder != vm).cloned().collect()),
        },
    }
}

fn open_replica(settings: &DriverSettings, saved: SavedState) -> Result<Replica, DriverError> {
    let replica_settings = ReplicaSettings {
        vm: settings.vm.clone(),
        founders: settings.founders.iter().cloned().collect(),
        seed: settings.seed,
        timing: settings.timing,
        limits: settings.limits,
    };
    Replica::new(replica_settings, saved, clock::now())
        .map_err(|error| storage_error(settings, &error.to_string()))
}

fn storage_error(settings: &DriverSettings, reason: &str) -> DriverError {
    let folder = settings.data_dir.display().to_string();
    DriverError::Storage { folder, reason: reason.to_owned() }
}

/// Inputs of the task from its handles.
enum DriverInput {
    Message {
        from: VmId,
        message: Box<ReplicaMessage>,
        /// The share of [`INPUT_BYTES`], released when the replica handles the message.
        permit: OwnedSemaphorePermit,
    },
    Propose {
        command: Box<Command>,
        reply: ProposalReply,
        /// The share of [`INPUT_BYTES`], released when the replica handles the command.
        permit: OwnedSemaphorePermit,
    },
    Read {
        reply: ReadReply,
    },
    ConfiguredPeers {
        peers: BTreeSet<VmId>,
    },
}

type ReadReply = oneshot::Sender<Result<NumberedDocument, LocalProposeError>>;
type ProposalReply = oneshot::Sender<Result<CommandOutcome, LocalProposeError>>;

/// The channels on which the task publishes its state.
struct StatusSenders {
    config: watch::Sender<Arc<ActiveConfig>>,
    status: watch::Sender<Arc<ReplicaStatus>>,
    weights: watch::Sender<Arc<DesiredWeights>>,
    suspects: watch::Sender<Arc<SuspectCrashes>>,
    history: watch::Sender<Arc<Vec<ConfigChange>>>,
    documents: watch::Sender<Arc<DocumentState>>,
}

/// The receiving ends of [`StatusSenders`], for the handles.
#[derive(Clone)]
struct StatusReceivers {
    config: ConfigWatch,
    status: watch::Receiver<Arc<ReplicaStatus>>,
    weights: watch::Receiver<Arc<DesiredWeights>>,
    suspects: watch::Receiver<Arc<SuspectCrashes>>,
    history: watch::Receiver<Arc<Vec<ConfigChange>>>,
    documents: watch::Receiver<Arc<DocumentState>>,
}

fn status_channels(replica: &Replica) -> (StatusSenders, StatusReceivers) {
    let state = replica.state();
    let (config_sender, config) = watch::channel(replica.config().clone());
    let (status_sender, status) = watch::channel(Arc::new(replica.status(clock::now())));
    let (weights_sender, weights) = watch::channel(Arc::new(state.orders().desired().clone()));
    let (suspects_sender, suspects) = watch::channel(Arc::new(state.suspects().crashes()));
    let (history_sender, history) = watch::channel(Arc::new(latest_changes(state)));
    let (documents_sender, documents) = watch::channel(Arc::new(state.documents().clone()));
    let senders = StatusSenders {
        config: config_sender,
        status: status_sender,
        weights: weights_sender,
        suspects: suspects_sender,
        history: history_sender,
        documents: documents_sender,
    };
    (senders, StatusReceivers { config, status, weights, suspects, history, documents })
}

/// The latest accepted changes, the newest first.
fn latest_changes(state: &ControlState) -> Vec<ConfigChange> {
    let mut changes: Vec<ConfigChange> = state.configuration().changes().cloned().collect();
    changes.reverse();
    changes.truncate(MAX_HISTORY_CHANGES);
    changes
}

/// A handle to a running replica; the replica ends when the last one is dropped.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: mpsc::Sender<DriverInput>,
    /// The unused part of [`INPUT_BYTES`].
    free_bytes: Arc<Semaphore>,
    receivers: StatusReceivers,
}

impl ControlHandle {
    /// Proposes a command at this replica, including changes of the membership, and waits for its
    /// outcome.
    ///
    /// # Errors
    /// All errors but `OutcomeUnknown` guarantee that the command did not enter the log.
    pub async fn propose_local(
        &self,
        command: Command,
    ) -> Result<CommandOutcome, LocalProposeError> {
        let (reply, outcome) = oneshot::channel();
        let length = OVERHEAD_BYTES + command.body_bytes();
        let Some(permit) = self.reserve_bytes(length) else { return Err(LocalProposeError::Busy) };
        let input = DriverInput::Propose { command: Box::new(command), reply, permit };
        self.queue(input)?;
        match timeout(PROPOSAL_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            // The replica has stopped or takes too long; the command may still be committed.
            Ok(Err(_)) | Err(_) => Err(LocalProposeError::OutcomeUnknown),
        }
    }

    /// The document in force at a moment after the call, which a quorum confirms: a later leader has
    /// accepted none before the call.
    ///
    /// # Errors
    /// All but `OutcomeUnknown`.
    pub async fn read_document(&self) -> Result<NumberedDocument, LocalProposeError> {
        let (reply, outcome) = oneshot::channel();
        self.queue(DriverInput::Read { reply })?;
        match timeout(PROPOSAL_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => outcome,
            // The replica has stopped, or no quorum replies.
            Ok(Err(_)) | Err(_) => Err(LocalProposeError::NoQuorum),
        }
    }

    /// Queues a message from another replica; it is dropped when the queue is full.
    pub fn deliver(&self, from: VmId, message: ReplicaMessage) {
        let permit = self.reserve_bytes(message.bytes());
        let message = Box::new(message);
        let queued = permit.map(|permit| DriverInput::Message { from, message, permit });
        if queued.is_none_or(|input| self.inputs.try_send(input).is_err()) {
            metrics::counter!("oleandermount_control_messages_lost_total").increment(1);
        }
    }

    /// Queues an input whose sender waits for a reply.
    fn queue(&self, input: DriverInput) -> Result<(), LocalProposeError> {
        self.inputs.try_send(input).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LocalProposeError::Busy,
            mpsc::error::TrySendError::Closed(_) => LocalProposeError::NotLeader { leader: None },
        })
    }

    fn reserve_bytes(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.free_bytes).try_acquire_many_owned(bytes).ok();
        set_amount(MemoryPart::Inputs, INPUT_BYTES - self.free_bytes.available_permits());
        permit
    }

    /// Sets the VMs that a replica without a group contacts in addition to its founders. The call
    /// has no effect when the queue is full; the caller repeats it with the next change of the
    /// list.
    pub fn set_configured_peers(&self, peers: BTreeSet<VmId>) {
        if self.inputs.try_send(DriverInput::ConfiguredPeers { peers }).is_err() {
            log::warn!("VMs of the settings ignored: the replica is busy or has stopped");
        }
    }

    /// The committed configuration as far as this replica has applied it.
    pub fn config(&self) -> ConfigWatch {
        self.receivers.config.clone()
    }

    /// The latest status of the replica; its times are those of [`clock::now`].
    pub fn status(&self) -> Arc<ReplicaStatus> {
        self.receivers.status.borrow().clone()
    }

    /// A watch on the status.
    pub fn status_watch(&self) -> watch::Receiver<Arc<ReplicaStatus>> {
        self.receivers.status.clone()
    }

    /// Whether this replica leads under a lease that excludes any other leader at this moment, also after a
    /// suspension of the VM. Must be checked immediately before each action that relies on it.
    pub fn lease_valid(&self) -> bool {
        self.status().lease_until.is_some_and(|until| clock::now() < until)
    }

    /// The desired weights, as far as this replica has applied them.
    pub fn desired_weights(&self) -> watch::Receiver<Arc<DesiredWeights>> {
        self.receivers.weights.clone()
    }

    /// The latest accepted changes of the configuration, the newest first.
    pub fn history(&self) -> Arc<Vec<ConfigChange>> {
        self.receivers.history.borrow().clone()
    }

    /// The operators' document and named weights, as far as this replica has applied them.
    pub fn documents(&self) -> watch::Receiver<Arc<DocumentState>> {
        self.receivers.documents.clone()
    }

    /// The suspects, as far as this replica has applied them.
    pub fn suspects(&self) -> watch::Receiver<Arc<SuspectCrashes>> {
        self.receivers.suspects.clone()
    }
}

impl ControlPort for ControlHandle {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async move { self.propose_local(command).await.map_err(ProposeError::from) })
    }
}
