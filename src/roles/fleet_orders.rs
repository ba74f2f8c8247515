//! Brings the listed engines to the weights that operators name.

use {
    crate::{
        control::document::DocumentState,
        daemon::weight_orders::{
            OrderPort,
            order_core::{OrderGrounds, OrderResult, OrderTiming, WeightOrder},
        },
        fleet::{
            FleetSnapshot, ServerPhase,
            watch::{FleetBoard, SHOW_EVERY},
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

/// The part of the engines that loads, or finishes what it has before, at a time. A turn takes about
/// a second, so all of them end within the 8 s that operators allow. The others have emptied caches to
/// fill beside their usual load: with more of them away at once they cannot carry both, and loads slow
/// each other down.
const LOADING_PART: (usize, usize) = (1, 6);

/// What becomes of the answers that an engine is making when its load begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightWork {
    /// The load waits for their end.
    Finish,
    /// They go on, on the new weights from then on.
    Continue,
}

/// Answers go on: the server was held back before, so few are left, and waiting for the longest of
/// them takes several times as long as the load.
const RUNNING_WORK: InFlightWork = InFlightWork::Continue;

/// Orders to engines that load within a second, with versions named every few seconds and orders that
/// get lost: an order without an answer is repeated while it can still be in time. A server that is
/// held back finishes short answers at once; waiting for longer ones, which go on while it loads, would
/// keep it from its work for longer than they gain. Entries learn that it is held back a moment later.
pub const FLEET_TIMING: OrderTiming = OrderTiming {
    load_limit: Duration::from_millis(4_500),
    retry_wait: Duration::from_millis(300),
    drain_limit: Duration::from_millis(300).saturating_add(SHOW_EVERY),
    busy_look: Duration::from_millis(150),
    idle_look: Duration::from_secs(5),
};

/// The listed engines and the named weights in the form that the weight orders read.
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
            checks_fencing: fenced,
        })
        .collect();
    let models = named.iter().map(|(model, version)| ModelRecord {
        id: model.clone(),
        weights: version.to_string(),
        adapters: Vec::new(),
    });
    let limit = (engines.len() * LOADING_PART.0).div_ceil(LOADING_PART.1).max(1);
    let rules = RuleSet { weight_loads: limit as u32, ..RuleSet::default() };
    let register =
        AssetRegister { servers: engines, models: models.collect(), ..AssetRegister::default() };
    ActiveConfig { revision, register, rules }
}

/// Renews the plan with each change of the list or of the named weights; `fenced` says whether
/// engines refuse orders with a lower number than one that they have seen.
pub async fn update_plan(
    mut fleet: watch::Receiver<Arc<FleetSnapshot>>,
    mut documents: watch::Receiver<Arc<DocumentState>>,
    plan: watch::Sender<Arc<ActiveConfig>>,
    fenced: bool,
) {
    for revision in 1.. {
        let config = {
            let (fleet, documents) = (fleet.borrow_and_update(), documents.borrow_and_update());
            build_plan(revision, &fleet, &documents, fenced)
        };
        plan.send_if_modified(|shown| {
            let changed = shown.register != config.register;
            if changed {
                *shown = Arc::new(config);
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

/// Speaks to engines in the installation's form.
pub trait EngineClient: Send + Sync {
    /// Sends an order, unless its time is over when the first byte could leave.
    fn order(
        &self,
        address: SocketAddr,
        order: WeightOrder,
        running: InFlightWork,
    ) -> BoxFuture<'_, OrderResult>;

    /// Asks for the state.
    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;
}

/// Gives orders, and holds servers back from new work while they load.
pub struct FleetOrders {
    board: Arc<FleetBoard>,
    engines: Arc<dyn EngineClient>,
    /// The weights of each server when it was held back; only of servers that are held.
    held: Mutex<BTreeMap<ServerId, BTreeMap<ModelId, String>>>,
}

impl FleetOrders {
    /// Orders for the servers of `board`.
    pub fn new(board: Arc<FleetBoard>, engines: Arc<dyn EngineClient>) -> Self {
        FleetOrders { board, engines, held: Mutex::default() }
    }

    fn hold(&self, server: &ServerId) {
        let listed = self.board.subscribe().borrow().clone();
        let listed = listed.servers.iter().find(|listed| listed.id == *server);
        let weights = listed.map(|listed| {
            let weights = listed.weights.iter();
            weights.map(|(model, version)| (model.clone(), version.to_string())).collect()
        });
        self.lock().entry(server.clone()).or_insert(weights.unwrap_or_default());
        self.board.hold(server);
    }

    /// A server that has loaded gets work again.
    fn take_report(&self, report: &LoadReport) {
        let weights: BTreeMap<ModelId, WeightsNumber> = report
            .weights
            .iter()
            .filter_map(|(model, version)| Some((model.clone(), version.parse().ok()?)))
            .collect();
        self.board.note_weights(&report.server, report.incarnation, weights);
        let mut held = self.lock();
        if held.get(&report.server).is_some_and(|before| *before != report.weights) {
            held.remove(&report.server);
            self.board.release(&report.server);
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
            let result = self.engines.order(address, order.clone(), RUNNING_WORK).await;
            let OrderGrounds { observed, wanted_for, given_before } = order.grounds;
            log::info!(server = order.server.as_str(), model = order.model.as_str(),
                weights = order.weights.as_str(), result:? = result, observed = observed.as_deref(),
                wanted_ms = wanted_for.as_millis() as u64, given_before = given_before;
                "{}", events::WEIGHTS_ORDERED);
            result
        })
    }

    fn look(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move {
            let report = self.engines.probe(server, address).await?;
            self.take_report(&report);
            Some(report)
        })
    }

    fn drain(&self, server: ServerId) {
        self.hold(&server);
    }
}
