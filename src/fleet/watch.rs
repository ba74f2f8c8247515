//! Reading and publishing the platform's server list.
//!
//! The leader of the control replicas reads the list and the others follow it. A control VM without
//! contact to the leader reads the list itself, so that a failure domain that is cut off still
//! learns which servers are being removed. With one reading a second, all daemons know of such a
//! server little more than a second after the list shows it, within the 3 s after which it must
//! receive no new work. Each reading has a cost, and twice the rate would save only half a second.

use {
    super::{
        FleetSnapshot, ServerPhase,
        arbiters::ArbiterAssignment,
        history::{FleetChange, FleetHistory},
    },
    crate::{
        ids::{Incarnation, ModelId, ServerId, VmId, WeightsNumber},
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

/// Interval between two readings of the list by the VM that is responsible for reading it.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);
/// A follower reads the list itself if the leader's list was not confirmed for this long: two
/// reading intervals plus the time for which a follower waits for a change.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A server that was held back for loading weights receives work again after this time. It is
/// longer than any load of weights, and short enough to lose little capacity if the leader that
/// held the server back fails.
const HOLD_LIMIT: Duration = Duration::from_secs(5);

/// Source of the platform's server list.
pub trait FleetSource: Send + Sync {
    /// Reads the full list. `None` if the platform could not be read; the reason is logged.
    fn read(&self) -> BoxFuture<'_, Option<FleetSnapshot>>;
}

/// Time per listed server between two publications. While weights are loaded the list changes with
/// each server, and a follower processes the full list at each publication.
const PUBLISH_INTERVAL_PER_SERVER: Duration = Duration::from_micros(300);
/// Maximum time between two publications.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Current list on a control VM, including the servers that the leader holds back.
pub struct FleetView {
    /// `None` until a list was read or received; an empty list is one.
    merged: watch::Sender<Option<Arc<FleetSnapshot>>>,
    /// Merged list as published to followers, with a short delay.
    published: watch::Sender<Option<Arc<FleetSnapshot>>>,
    state: Mutex<ViewState>,
    history: Mutex<FleetHistory>,
}

#[derive(Default)]
struct ViewState {
    /// `None` until a list was read or received.
    listed: Option<Arc<FleetSnapshot>>,
    confirmed: Option<Instant>,
    /// Servers that are held back, with the start times; only servers of the list.
    held: BTreeMap<ServerId, Instant>,
    /// Weights reported by the servers themselves, with the incarnation that reported them; only
    /// servers of the list.
    reported: BTreeMap<ServerId, (Incarnation, BTreeMap<ModelId, WeightsNumber>)>,
    arbiters: ArbiterAssignment,
}

impl Default for FleetView {
    fn default() -> Self {
        FleetView {
            merged: watch::channel(None).0,
            published: watch::channel(None).0,
            state: Mutex::default(),
            history: Mutex::default(),
        }
    }
}

impl FleetView {
    /// Subscribes to the current list, which is `None` until one was read or received.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<FleetSnapshot>>> {
        self.merged.subscribe()
    }

    /// Subscribes to the list that is published to followers, which is `None` before the first one.
    pub fn subscribe_published(&self) -> watch::Receiver<Option<Arc<FleetSnapshot>>> {
        self.published.subscribe()
    }

    /// Returns the update from the list with digest `held`, 0 for none, to the published list; `None`
    /// if the lists are equal or none is published.
    pub fn change_since(&self, held: u64) -> Option<FleetChange> {
        let current = self.published.borrow().clone()?;
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.change_since(held, &current)
    }

    /// Records the entries that poll control VMs, as far as this VM knows.
    pub fn record_entries(&self, entries: impl IntoIterator<Item = VmId>) {
        self.lock().arbiters.record_entries(Instant::now(), entries);
    }

    /// Applies a reading made by this VM, and assigns the arbiters.
    pub fn apply_reading(&self, mut snapshot: FleetSnapshot) {
        let mut state = self.lock();
        state.arbiters.assign(Instant::now(), &mut snapshot);
        state.listed = Some(Arc::new(snapshot));
        state.confirmed = Some(Instant::now());
        self.update_merged(&mut state);
    }

    /// Applies the leader's list, in which the servers held back by the leader are already marked.
    /// `None` confirms the known list.
    pub fn apply_leader_list(&self, snapshot: Option<Arc<FleetSnapshot>>) {
        let mut state = self.lock();
        state.confirmed = Some(Instant::now());
        if let Some(snapshot) = snapshot
            && !state.listed.as_ref().is_some_and(|listed| Arc::ptr_eq(&snapshot, listed))
        {
            state.held.clear();
            state.listed = Some(snapshot);
            self.update_merged(&mut state);
        }
    }

    /// Holds a server back from new work.
    pub fn hold(&self, server: &ServerId) {
        let mut state = self.lock();
        state.held.insert(server.clone(), Instant::now());
        self.update_merged(&mut state);
    }

    /// Ends the hold on a server.
    pub fn release(&self, server: &ServerId) {
        let mut state = self.lock();
        if state.held.remove(server).is_some() {
            self.update_merged(&mut state);
        }
    }

    /// Records the weights reported by a server, since the list lags behind the server.
    pub fn report_weights(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        weights: BTreeMap<ModelId, WeightsNumber>,
    ) {
        let mut state = self.lock();
        let report = (incarnation, weights);
        if state.reported.get(server) != Some(&report) {
            state.reported.insert(server.clone(), report);
            self.update_merged(&mut state);
        }
    }

    /// Whether the list was confirmed within the last `age`.
    pub fn is_fresh(&self, age: Duration) -> bool {
        self.lock().confirmed.is_some_and(|at| at.elapsed() < age)
    }

    fn update_merged(&self, state: &mut ViewState) {
        state.held.retain(|_, since| since.elapsed() < HOLD_LIMIT);
        let Some(listed) = &state.listed else { return };
        let mut merged = FleetSnapshot::clone(listed);
        let listed: BTreeSet<&ServerId> = merged.servers.iter().map(|server| &server.id).collect();
        state.reported.retain(|server, _| listed.contains(server));
        for server in &mut merged.servers {
            if let Some((incarnation, reported)) = state.reported.get(&server.id)
                && *incarnation == server.incarnation
            {
                for (model, version) in &mut server.weights {
                    *version = reported.get(model).copied().unwrap_or_default().max(*version);
                }
            }
            if server.phase == ServerPhase::Ready && state.held.contains_key(&server.id) {
                server.phase = ServerPhase::Loading;
            }
        }
        self.merged.send_if_modified(|current| {
            let changed = current.as_deref() != Some(&merged);
            if changed {
                *current = Some(Arc::new(merged));
            }
            changed
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Publishes the list whenever it changes, less often the longer it is. Never returns.
pub async fn publish_list(view: Arc<FleetView>) {
    let mut merged = view.subscribe();
    merged.mark_changed();
    while merged.changed().await.is_ok() {
        let Some(list) = merged.borrow_and_update().clone() else { continue };
        let count = u32::try_from(list.servers.len()).unwrap_or(u32::MAX);
        view.published.send_replace(Some(list));
        sleep(PUBLISH_INTERVAL_PER_SERVER.saturating_mul(count).min(PUBLISH_INTERVAL)).await;
    }
}

/// Logs when the list stops being confirmed and when it is confirmed again.
#[derive(Debug, Default)]
pub struct ListMonitor {
    /// Time since which the list is not confirmed; `None` while it is.
    unconfirmed_since: Option<Instant>,
}

impl ListMonitor {
    /// Records whether the list of `servers` servers was just confirmed. Returns true if a change
    /// was logged.
    pub fn record_confirmation(&mut self, confirmed: bool, servers: usize) -> bool {
        match (confirmed, self.unconfirmed_since) {
            (false, None) => {
                self.unconfirmed_since = Some(Instant::now());
                log::warn!(servers = servers; "{}", events::LIST_UNCONFIRMED);
                true
            }
            (true, Some(since)) => {
                self.unconfirmed_since = None;
                log::info!(servers = servers, away_ms = since.elapsed().as_millis() as u64;
                    "{}", events::LIST_CONFIRMED);
                true
            }
            (false, Some(_)) | (true, None) => false,
        }
    }
}

/// Reads the list whenever this VM is responsible for it. Never returns. `leads` returns whether
/// this VM currently leads the control replicas, and `entries` the entries that poll.
pub async fn read_list(
    view: Arc<FleetView>,
    source: Arc<dyn FleetSource>,
    leads: impl Fn() -> bool,
    entries: impl Fn() -> Vec<VmId>,
) {
    let mut monitor = ListMonitor::default();
    loop {
        view.record_entries(entries());
        if leads() || !view.is_fresh(LEADER_TIMEOUT) {
            let reading = source.read().await;
            let known = view.subscribe().borrow().as_ref().map_or(0, |list| list.servers.len());
            let servers = reading.as_ref().map_or(known, |snapshot| snapshot.servers.len());
            monitor.record_confirmation(reading.is_some(), servers);
            reading.into_iter().for_each(|snapshot| view.apply_reading(snapshot));
        }
        sleep(READ_INTERVAL).await;
    }
}
