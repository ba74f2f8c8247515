//! Orders the listed engines to load the weights that operators name.

use {
    crate::{
        control::document::DocumentState,
        daemon::weight_orders::{
            OrderPort,
            order_core::{OrderReason, OrderResult, OrderTiming, WeightOrder},
        },
        fleet::{
            FleetSnapshot, ServerPhase,
            watch::{FleetView, PUBLISH_INTERVAL},
        },
        ids::{ModelId, ServerId, WeightsNumber},
        inventory::{ActiveConfig, AssetRegister, ModelRecord, RuleSet, ServerKind, ServerRecord},
        observe::events,
        policy::LoadReport,
    },
    futures::future::BoxFuture,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// The fraction of engines that drain or load at the same time. Each engine takes about a second,
/// so all of them are done within the 8 s that operators allow. Engines that have loaded refill
/// their empty caches in addition to their usual load; with a larger fraction out of service they
/// could not handle both, and concurrent loads slow each other down.
const LOADING_FRACTION: (usize, usize) = (1, 6);

/// What an engine does with answers in progress when it begins to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightWork {
    /// The load waits until the answers are complete.
    Finish,
    /// The answers continue, with the new weights once these are loaded.
    Continue,
}

/// Answers continue. The server was drained before, so few of them are left, and waiting for the
/// longest takes several times as long as the load.
const IN_FLIGHT_WORK: InFlightWork = InFlightWork::Continue;

/// Timing for engines that load within a second, versions that are named every few seconds, and
/// orders that may be lost. An unanswered order is repeated while it can still meet the deadline. A
/// draining server completes short answers at once. Longer answers continue during the load, so
/// waiting for them would keep the server out of service for longer than it helps. Entries learn of
/// the drain within [`PUBLISH_INTERVAL`].
pub const FLEET_TIMING: OrderTiming = OrderTiming {
    load_limit: Duration::from_millis(4_500),
    retry_wait: Duration::from_millis(300),
    drain_limit: Duration::from_millis(300).saturating_add(PUBLISH_INTERVAL),
    busy_probe_interval: Duration::from_millis(150),
    idle_probe_interval: Duration::from_secs(5),
};

/// Builds the configuration that the weight orders work from: the listed engines and the named
/// weights. `fenced` is described at [`update_plan`].
pub fn build_plan(
    revision: u64,
    fleet: &FleetSnapshot,
    documents: &DocumentState,
    fenced: bool,
) -> ActiveConfig {
    let named = documents.weights();
    let engines: Vec<ServerRecord> = fleet
        .servers
        .iter()
        .filter(|server| server.phase != ServerPhase::Draining && !server.weights.is_empty())
        .map(|server| ServerRecord {
            id: server.id.clone(),
            failure_domain: server.failure_domain.clone(),
            address: server.address,
            kind: ServerKind::Engine,
            models: server.weights.keys().cloned().collect(),
            service: None,
            slots: server.slots,
            software: server.software.clone(),
            checks_fencing: fenced,
        })
        .collect();
    let models = named.iter().map(|(model, version)| ModelRecord {
        id: model.clone(),
        weights: version.to_string(),
        adapters: Vec::new(),
    });
    let limit = (engines.len() * LOADING_FRACTION.0).div_ceil(LOADING_FRACTION.1).max(1);
    let rules = RuleSet { weight_loads: limit as u32, ..RuleSet::default() };
    let register =
        AssetRegister { servers: engines, models: models.collect(), ..AssetRegister::default() };
    ActiveConfig { revision, register, rules }
}

/// Updates the plan with each change of the server list or of the named weights. `fenced` is whether
/// engines refuse orders whose fencing number is lower than one that they have seen.
pub async fn update_plan(
    mut fleet: watch::Receiver<Option<Arc<FleetSnapshot>>>,
    mut documents: watch::Receiver<Arc<DocumentState>>,
    plan: watch::Sender<Arc<ActiveConfig>>,
    fenced: bool,
) {
    for revision in 1.. {
        let config = {
            let fleet = fleet.borrow_and_update().clone().unwrap_or_default();
            build_plan(revision, &fleet, &documents.borrow_and_update(), fenced)
        };
        plan.send_if_modified(|current| {
            let changed = current.register != config.register;
            if changed {
                *current = Arc::new(config);
            }
            changed
        });
        let ended = tokio::select! {
            changed = fleet.changed() => changed.is_err(),
            changed = documents.changed() => changed.is_err(),
        };
        if ended {
            return;
        }
    }
}

/// Sends requests to engines in the deployment's message format.
pub trait EngineClient: Send + Sync {
    /// Sends an order, unless its deadline has passed before the first byte can be sent.
    fn order(
        &self,
        address: SocketAddr,
        order: WeightOrder,
        in_flight: InFlightWork,
    ) -> BoxFuture<'_, OrderResult>;

    /// Requests an engine's load report; `None` if the engine does not answer.
    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;
}

/// Sends weight orders, and keeps new requests away from servers while they load.
pub struct FleetOrders {
    fleet_view: Arc<FleetView>,
    engines: Arc<dyn EngineClient>,
    /// The weights of each held server at the time when the hold began.
    held: Mutex<BTreeMap<ServerId, BTreeMap<ModelId, String>>>,
}

impl FleetOrders {
    /// Creates the orders for the servers of `fleet_view`.
    pub fn new(fleet_view: Arc<FleetView>, engines: Arc<dyn EngineClient>) -> Self {
        FleetOrders { fleet_view, engines, held: Mutex::default() }
    }

    fn hold(&self, server: &ServerId) {
        let listed = self.fleet_view.subscribe().borrow().clone().unwrap_or_default();
        let listed = listed.servers.iter().find(|listed| listed.id == *server);
        let weights = listed.map(|listed| {
            let weights = listed.weights.iter();
            weights.map(|(model, version)| (model.clone(), version.to_string())).collect()
        });
        self.lock().entry(server.clone()).or_insert(weights.unwrap_or_default());
        self.fleet_view.hold(server);
    }

    /// Updates the fleet view from a load report. A server whose weights have changed gets requests
    /// again.
    fn apply_report(&self, report: &LoadReport) {
        let weights: BTreeMap<ModelId, WeightsNumber> = report
            .weights
            .iter()
            .filter_map(|(model, version)| Some((model.clone(), version.parse().ok()?)))
            .collect();
        self.fleet_view.report_weights(&report.server, report.incarnation, weights);
        let mut held = self.lock();
        if held.get(&report.server).is_some_and(|before| *before != report.weights) {
            held.remove(&report.server);
            self.fleet_view.release(&report.server);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServerId, BTreeMap<ModelId, String>>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OrderPort for FleetOrders {
    fn order(&self, address: SocketAddr, order: WeightOrder) -> BoxFuture<'_, OrderResult> {
        self.hold(&order.server);
        Box::pin(async move {
            let result = self.engines.order(address, order.clone(), IN_FLIGHT_WORK).await;
            let OrderReason { observed, planned_for, earlier_orders } = order.reason;
            log::info!(server = order.server.as_str(), model = order.model.as_str(),
                weights = order.weights.as_str(), result:? = result, observed = observed.as_deref(),
                wanted_ms = planned_for.as_millis() as u64, given_before = earlier_orders;
                "{}", events::WEIGHTS_ORDERED);
            result
        })
    }

    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move {
            let report = self.engines.probe(server, address).await?;
            self.apply_report(&report);
            Some(report)
        })
    }

    fn drain(&self, server: ServerId) {
        self.hold(&server);
    }
}
