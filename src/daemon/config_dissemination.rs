//! Brings each committed configuration to every daemon, and never a lower one in place of a
//! higher.
//!
//! A replica's daemon learns of commits and tells a few daemons of its domain, which fetch what
//! they lack and tell a few more. Rounds with one random peer find whom this missed.

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

/// Inputs that wait for the task; beyond it notices are lost, and the next round replaces them.
const QUEUE_LENGTH: usize = 256;
/// A fetch that takes longer is tried elsewhere: a whole configuration over a slow line.
const FETCH_LIMIT: Duration = Duration::from_secs(5);

/// What a spread needs to start.
#[derive(Clone, Debug)]
pub struct DisseminationSettings {
    /// The data folder, on a VM that has a disk.
    pub data_dir: Option<PathBuf>,
    /// The peers that the settings name.
    pub view: PeerView,
    /// Seeds the jitter; different at each daemon.
    pub seed: u64,
}

/// A handle on the spread of one daemon; clones share it.
#[derive(Clone)]
pub struct ConfigDissemination {
    published: Arc<Mutex<ConfigHistory>>,
    inputs: mpsc::Sender<DisseminationInput>,
    config: ConfigWatch,
}

/// The other half of a [`ConfigDissemination`], to be run once the network is up.
pub struct DisseminationTask {
    core: DisseminationCore,
    /// What peers are answered from; follows the core once the disk, if any, has it.
    published: Arc<Mutex<ConfigHistory>>,
    inputs: mpsc::Receiver<DisseminationInput>,
    results: mpsc::WeakSender<DisseminationInput>,
    cache: Option<CacheFile>,
    in_force: watch::Sender<Arc<ActiveConfig>>,
}

impl ConfigDissemination {
    /// Takes up what the cache file kept. The handle answers peers from now on; the task does the
    /// rest once it is run.
    pub fn new(settings: DisseminationSettings) -> (Self, DisseminationTask) {
        let cache = settings.data_dir.map(CacheFile::new);
        let kind = if cache.is_some() { StorageKind::Durable } else { StorageKind::Diskless };
        let now = Instant::now().into_std();
        let mut core = DisseminationCore::new(now, kind, settings.view, settings.seed);
        let (in_force, config) = watch::channel(Arc::default());
        if let Some(kept) = cache.as_ref().and_then(CacheFile::load) {
            let kept = Arc::new(kept);
            // The peers hear of it in the first round; nobody is told before the network is up.
            let _ = core.handle(now, DisseminationInput::Committed(kept.clone()));
            in_force.send_replace(kept);
        }
        let published = Arc::new(Mutex::new(core.history().clone()));
        let (inputs, queue) = mpsc::channel(QUEUE_LENGTH);
        let results = inputs.downgrade();
        let spread = Self { published: published.clone(), inputs, config };
        (spread, DisseminationTask { core, published, inputs: queue, results, cache, in_force })
    }

    /// The configuration in force here; its revision never falls.
    pub fn watch(&self) -> ConfigWatch {
        self.config.clone()
    }

    /// The revision in force here.
    pub fn revision(&self) -> Revision {
        self.config.borrow().revision
    }

    /// Takes a peer's [`PeerMessage::ConfigNotice`]; lost when too many wait.
    pub fn notice(&self, from: VmId, revision: Revision) {
        let _ = self.inputs.try_send(DisseminationInput::Notice { from, revision });
    }

    /// Answers a peer's [`PeerRequest::FetchConfig`].
    pub fn answer(&self, have: Revision) -> PeerReply {
        let history = lock(&self.published).clone();
        history.answer(have)
    }

    /// Replaces the peers, as the register in force names them.
    pub async fn set_view(&self, view: PeerView) {
        // Without a task there is nobody to tell either.
        let _ = self.inputs.send(DisseminationInput::Peers(view)).await;
    }
}

impl DisseminationTask {
    /// Runs until the last handle is dropped. `committed` follows the replica on this VM, if any.
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
            DisseminationAction::Adopt(config) => self.put_in_force(config).await,
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

    /// On a VM with a disk the file comes first: the daemons of the domain count on finding here
    /// what they had in force before they restarted.
    async fn put_in_force(&self, config: Arc<ActiveConfig>) {
        if let Some(cache) = self.cache.clone() {
            let kept = config.clone();
            let stored = task::spawn_blocking(move || cache.store(&kept)).await;
            if let Ok(Err(error)) = stored {
                log::error!(
                    "the configuration can't be kept: {error}; free the data folder's disk"
                );
            }
        }
        log::info!(revision = config.revision; "a configuration is in force");
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
    let reply = network.call(&from, request, FETCH_LIMIT).await;
    let config = reply.ok().and_then(|reply| history.read(reply)).map(Arc::new);
    // The task may have ended meanwhile.
    let _ = results.send(DisseminationInput::Fetched { from, config }).await;
}

/// The next configuration of the replica; never returns without one.
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
