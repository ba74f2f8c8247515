//! Disseminates each committed configuration to every daemon; the revision in force at a daemon
//! never decreases.
//!
//! The daemon of a replica learns of commits and notifies a few daemons of its failure domain.
//! These fetch what they lack and notify a few more. Periodic rounds, each with one random peer,
//! reach the daemons that missed a notification.

pub mod cache_file;
pub mod dissemination_core;
pub mod history;

use {
    self::{
        cache_file::CacheFile,
        dissemination_core::{
            DisseminationAction, DisseminationCore, DisseminationInput, PeerView, StorageKind,
        },
        history::ConfigHistory,
    },
    crate::{
        daemon::ConfigWatch,
        ids::{Revision, VmId},
        inventory::ActiveConfig,
        transport::{PeerMessage, PeerNetwork, PeerReply, PeerRequest},
    },
    std::{
        path::PathBuf,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task,
        time::{Instant, sleep_until},
    },
};

/// The length of the input queue of the task. Notices that find it full are dropped; the next round
/// repeats them.
const QUEUE_LENGTH: usize = 256;
/// Time limit of a fetch, which may transfer a complete configuration over a slow link. A fetch
/// that exceeds it is repeated at another peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the dissemination at one daemon.
#[derive(Clone, Debug)]
pub struct DisseminationSettings {
    /// The data folder; `None` on a VM without a disk.
    pub data_dir: Option<PathBuf>,
    /// The peers that the daemon's settings name.
    pub view: PeerView,
    /// Seed of the jitter; must differ between daemons.
    pub seed: u64,
}

/// A handle to the dissemination task of one daemon; clones share the task.
#[derive(Clone)]
pub struct ConfigDissemination {
    published: Arc<Mutex<ConfigHistory>>,
    inputs: mpsc::Sender<DisseminationInput>,
    config: ConfigWatch,
}

/// The task behind a [`ConfigDissemination`], to be run once the network is up.
pub struct DisseminationTask {
    core: DisseminationCore,
    /// The history that peers are answered from. It is updated once the configuration is on the
    /// disk, if there is one.
    published: Arc<Mutex<ConfigHistory>>,
    inputs: mpsc::Receiver<DisseminationInput>,
    results: mpsc::WeakSender<DisseminationInput>,
    cache: Option<CacheFile>,
    in_force: watch::Sender<Arc<ActiveConfig>>,
}

impl ConfigDissemination {
    /// Loads the cached configuration, if any. The handle answers peers immediately; the task does
    /// the rest once it runs.
    pub fn new(settings: DisseminationSettings) -> (Self, DisseminationTask) {
        let cache = settings.data_dir.map(CacheFile::new);
        let kind = if cache.is_some() { StorageKind::Durable } else { StorageKind::Diskless };
        let now = Instant::now().into_std();
        let mut core = DisseminationCore::new(now, kind, settings.view, settings.seed);
        let (in_force, config) = watch::channel(Arc::default());
        if let Some(cached) = cache.as_ref().and_then(CacheFile::load) {
            let cached = Arc::new(cached);
            // The actions are dropped, since the network is not up; peers are notified in the first
            // round.
            let _ = core.handle(now, DisseminationInput::Committed(cached.clone()));
            in_force.send_replace(cached);
        }
        let published = Arc::new(Mutex::new(core.history().clone()));
        let (inputs, queue) = mpsc::channel(QUEUE_LENGTH);
        let results = inputs.downgrade();
        let dissemination = Self { published: published.clone(), inputs, config };
        (
            dissemination,
            DisseminationTask { core, published, inputs: queue, results, cache, in_force },
        )
    }

    /// The configuration in force at this daemon; its revision never decreases.
    pub fn watch(&self) -> ConfigWatch {
        self.config.clone()
    }

    /// The revision in force at this daemon.
    pub fn revision(&self) -> Revision {
        self.config.borrow().revision
    }

    /// Handles a peer's [`PeerMessage::ConfigNotice`]; dropped when the queue is full.
    pub fn handle_notice(&self, from: VmId, revision: Revision) {
        let _ = self.inputs.try_send(DisseminationInput::Notice { from, revision });
    }

    /// Answers a peer's [`PeerRequest::FetchConfig`].
    pub fn answer(&self, have: Revision) -> PeerReply {
        let history = lock(&self.published).clone();
        history.answer(have)
    }

    /// Replaces the known peers by those of the register in force.
    pub async fn set_view(&self, view: PeerView) {
        // Fails only when the task has ended, which makes the view irrelevant.
        let _ = self.inputs.send(DisseminationInput::Peers(view)).await;
    }
}

impl DisseminationTask {
    /// Runs until the last handle is dropped. `committed` is the watch of the replica on this VM,
    /// if any.
    pub async fn run(mut self, network: PeerNetwork, mut committed: Option<ConfigWatch>) {
        if let Some(watch) = &mut committed {
            watch.mark_changed();
        }
        loop {
            let wakeup = Instant::from_std(self.core.next_wakeup());
            let input = tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => input,
                    None => return,
                },
                config = next_commit(&mut committed) => DisseminationInput::Committed(config),
                () = sleep_until(wakeup) => DisseminationInput::Wake,
            };
            for action in self.core.handle(Instant::now().into_std(), input) {
                self.perform(&network, action).await;
            }
        }
    }

    async fn perform(&self, network: &PeerNetwork, action: DisseminationAction) {
        match action {
            DisseminationAction::Activate(config) => self.activate(config).await,
            DisseminationAction::Notify { to, revision } => {
                network.send(&to, PeerMessage::ConfigNotice { revision });
            }
            DisseminationAction::Fetch { from, have } => {
                let Some(results) = self.results.upgrade() else { return };
                let history = self.core.history().clone();
                tokio::spawn(fetch(network.clone(), history, results, from, have));
            }
        }
    }

    /// Stores the configuration before activating it, on a VM with a disk: daemons of the domain
    /// that restart rely on finding here what they had in force before.
    async fn activate(&self, config: Arc<ActiveConfig>) {
        if let Some(cache) = self.cache.clone() {
            let stored_config = config.clone();
            let stored = task::spawn_blocking(move || cache.store(&stored_config)).await;
            if let Ok(Err(error)) = stored {
                log::error!(
                    "cannot store the configuration: {error}; free space on the disk of the data folder"
                );
            }
        }
        log::info!(revision = config.revision; "configuration activated");
        *lock(&self.published) = self.core.history().clone();
        metrics::gauge!("oleandermount_config_revision").set(config.revision as f64);
        self.in_force.send_replace(config);
    }
}

async fn fetch(
    network: PeerNetwork,
    history: ConfigHistory,
    results: mpsc::Sender<DisseminationInput>,
    from: VmId,
    have: Revision,
) {
    let request = PeerRequest::FetchConfig { have };
    let reply = network.call(&from, request, FETCH_TIMEOUT).await;
    let config = reply.ok().and_then(|reply| history.config_from_reply(reply)).map(Arc::new);
    // Fails only when the task has ended.
    let _ = results.send(DisseminationInput::Fetched { from, config }).await;
}

/// The next configuration of the replica; pending forever if there is no replica.
async fn next_commit(committed: &mut Option<ConfigWatch>) -> Arc<ActiveConfig> {
    if let Some(watch) = committed
        && watch.changed().await.is_ok()
    {
        return watch.borrow_and_update().clone();
    }
    *committed = None;
    std::future::pending().await
}

fn lock(published: &Mutex<ConfigHistory>) -> MutexGuard<'_, ConfigHistory> {
    published.lock().unwrap_or_else(PoisonError::into_inner)
}
