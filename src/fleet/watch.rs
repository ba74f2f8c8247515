//! Who reads the platform's list, and how often.
//!
//! The leader of the control replicas reads; the others follow it. A control VM that hears nothing
//! of the leader reads by itself, so that a failure domain that is cut off still learns which
//! servers leave. At one reading a second a leaving server is known everywhere little more than a
//! second after the list shows it (derived), within the 3 s after which it must get nothing new; each reading is priced, and twice
//! the rate would gain half a second.

use {
    super::{
        FleetSnapshot, ServerPhase,
        history::{FleetChange, FleetHistory},
    },
    crate::{
        ids::{Incarnation, ModelId, ServerId, WeightsNumber},
        observe::events,
    },
    futures::future::BoxFuture,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Between two readings of the list by the VM whose turn it is.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);
/// A follower reads by itself when the leader's list was not confirmed for so long: two readings
/// and the time that a follower waits for a change.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A server that was held back for loading is given work again after this, whatever became of it:
/// longer than any load, short enough to lose little when the leader that held it is gone.
const HOLD_LIMIT: Duration = Duration::from_secs(5);

/// Reads the platform's list.
pub trait FleetSource: Send + Sync {
    /// One whole reading; `None` if the platform could not be read, with the reason in the log.
    fn read(&self) -> BoxFuture<'_, Option<FleetSnapshot>>;
}

/// Between two lists that followers are shown, for each listed server: while new weights are loaded the
/// list changes with each server, and a follower goes over all of it at each showing.
const PUBLISH_INTERVAL_PER_SERVER: Duration = Duration::from_micros(300);
/// Between two lists that followers are shown, at most.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// The list in force on a control VM, with the servers that the leader holds back.
pub struct FleetView {
    merged: watch::Sender<Arc<FleetSnapshot>>,
    /// The merged list as followers are shown it, a moment later.
    shown: watch::Sender<Arc<FleetSnapshot>>,
    state: Mutex<ViewState>,
    history: Mutex<FleetHistory>,
}

#[derive(Default)]
struct ViewState {
    listed: Arc<FleetSnapshot>,
    confirmed: Option<Instant>,
    /// Servers held back and since when; only of the list.
    held: BTreeMap<ServerId, Instant>,
    /// Weights that servers told themselves, with the life that told them; only of the list.
    told: BTreeMap<ServerId, (Incarnation, BTreeMap<ModelId, WeightsNumber>)>,
}

impl Default for FleetView {
    fn default() -> Self {
        FleetView {
            merged: watch::channel(Arc::default()).0,
            shown: watch::channel(Arc::default()).0,
            state: Mutex::default(),
            history: Mutex::default(),
        }
    }
}

impl FleetView {
    /// Follows the list.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetSnapshot>> {
        self.merged.subscribe()
    }

    /// Follows the list that followers are shown.
    pub fn subscribe_published(&self) -> watch::Receiver<Arc<FleetSnapshot>> {
        self.shown.subscribe()
    }

    /// What a follower that holds the list of digest `held` lacks of the one that is shown; `None` if
    /// nothing.
    pub fn change_since(&self, held: u64) -> Option<FleetChange> {
        let present = self.shown.borrow().clone();
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.change_since(held, &present)
    }

    /// Takes over a reading made here.
    pub fn apply_reading(&self, snapshot: FleetSnapshot) {
        let mut state = self.lock();
        state.listed = Arc::new(snapshot);
        state.confirmed = Some(Instant::now());
        self.show(&mut state);
    }

    /// Takes over the leader's list, which has its own servers held back already.
    pub fn apply_leader_list(&self, snapshot: Option<Arc<FleetSnapshot>>) {
        let mut state = self.lock();
        state.confirmed = Some(Instant::now());
        if let Some(snapshot) = snapshot
            && !Arc::ptr_eq(&snapshot, &state.listed)
        {
            state.held.clear();
            state.listed = snapshot;
            self.show(&mut state);
        }
    }

    /// Gives a server nothing new for now.
    pub fn hold(&self, server: &ServerId) {
        let mut state = self.lock();
        state.held.insert(server.clone(), Instant::now());
        self.show(&mut state);
    }

    /// Gives a server work again.
    pub fn release(&self, server: &ServerId) {
        let mut state = self.lock();
        if state.held.remove(server).is_some() {
            self.show(&mut state);
        }
    }

    /// Notes the weights that a server told itself: the list lags behind it.
    pub fn report_weights(
        &self,
        server: &ServerId,
        life: Incarnation,
        weights: BTreeMap<ModelId, WeightsNumber>,
    ) {
        let mut state = self.lock();
        let told = (life, weights);
        if state.told.get(server) != Some(&told) {
            state.told.insert(server.clone(), told);
            self.show(&mut state);
        }
    }

    /// Whether the list was confirmed within the last `age`.
    pub fn is_fresh(&self, age: Duration) -> bool {
        self.lock().confirmed.is_some_and(|at| at.elapsed() < age)
    }

    fn show(&self, state: &mut ViewState) {
        state.held.retain(|_, since| since.elapsed() < HOLD_LIMIT);
        let mut merged = FleetSnapshot::clone(&state.listed);
        let listed: BTreeSet<&ServerId> = merged.servers.iter().map(|server| &server.id).collect();
        state.told.retain(|server, _| listed.contains(server));
        for server in &mut merged.servers {
            if let Some((life, told)) = state.told.get(&server.id)
                && *life == server.incarnation
            {
                for (model, version) in &mut server.weights {
                    *version = told.get(model).copied().unwrap_or_default().max(*version);
                }
            }
            if server.phase == ServerPhase::Ready && state.held.contains_key(&server.id) {
                server.phase = ServerPhase::Loading;
            }
        }
        self.merged.send_if_modified(|shown| {
            let changed = **shown != merged;
            if changed {
                *shown = Arc::new(merged);
            }
            changed
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Shows followers the list whenever it changes, the more rarely the longer it is; for ever.
pub async fn publish_list(board: Arc<FleetView>) {
    let mut merged = board.subscribe();
    merged.mark_changed();
    while merged.changed().await.is_ok() {
        let list = merged.borrow_and_update().clone();
        let count = u32::try_from(list.servers.len()).unwrap_or(u32::MAX);
        board.shown.send_replace(list);
        sleep(PUBLISH_INTERVAL_PER_SERVER.saturating_mul(count).min(PUBLISH_INTERVAL)).await;
    }
}

/// Tells in the log when the list stops being confirmed, and when it is again.
#[derive(Debug, Default)]
pub struct ListMonitor {
    /// Since when it is not; `None` while it is.
    lost: Option<Instant>,
}

impl ListMonitor {
    /// Takes in whether the list, which names `servers`, was confirmed just now. True if the log
    /// was told of a change.
    pub fn note(&mut self, confirmed: bool, servers: usize) -> bool {
        match (confirmed, self.lost) {
            (false, None) => {
                self.lost = Some(Instant::now());
                log::warn!(servers = servers; "{}", events::LIST_LOST);
                true
            }
            (true, Some(since)) => {
                self.lost = None;
                log::info!(servers = servers, away_ms = since.elapsed().as_millis() as u64;
                    "{}", events::LIST_BACK);
                true
            }
            (false, Some(_)) | (true, None) => false,
        }
    }
}

/// Reads the list whenever it is this VM's turn, for ever. `leads` says whether this VM leads now.
pub async fn read_list(
    board: Arc<FleetView>,
    source: Arc<dyn FleetSource>,
    leads: impl Fn() -> bool,
) {
    let mut notice = ListMonitor::default();
    loop {
        if leads() || !board.is_fresh(LEADER_TIMEOUT) {
            let reading = source.read().await;
            let known = board.subscribe().borrow().servers.len();
            let servers = reading.as_ref().map_or(known, |snapshot| snapshot.servers.len());
            notice.note(reading.is_some(), servers);
            reading.into_iter().for_each(|snapshot| board.apply_reading(snapshot));
        }
        sleep(READ_INTERVAL).await;
    }
}
