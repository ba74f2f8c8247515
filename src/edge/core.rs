//! What all requests of one entry share.

use {
    super::{
        dialect::{AnswerHead, WireDialect},
        pool::ConnectionPool,
        recheck::RecheckList,
        view::{EdgeView, pool_model},
    },
    crate::{
        ids::{ModelId, ServerId, ServiceId, VmId, WeightsNumber},
        inventory::DecisionObjective,
        pipeline::{DispatchPort, DrainGate},
        policy::{LoadReport, PolicyInput},
    },
    arc_swap::ArcSwap,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// The part of the golden ratio: successive multiples spread evenly over 0 to 1, so that weights
/// hold exactly over a few requests already.
const GOLDEN_PART: f64 = 0.618_033_988_749_894_9;

/// What a core is made of.
pub struct EdgeParts {
    /// The VM.
    pub vm: VmId,
    /// What placement optimises.
    pub objective: DecisionObjective,
    /// The installation's wire.
    pub dialect: Arc<dyn WireDialect>,
    /// The dispatcher.
    pub port: Arc<DispatchPort>,
}

/// What all requests of one entry share.
pub struct EdgeCore {
    /// The VM.
    pub vm: VmId,
    /// The installation's wire.
    pub dialect: Arc<dyn WireDialect>,
    /// The dispatcher.
    pub port: Arc<DispatchPort>,
    /// Connections to backend servers.
    pub pool: ConnectionPool,
    /// Requests in flight.
    pub gate: DrainGate,
    /// Servers whose connection broke.
    pub recheck: RecheckList,
    /// Whether the engines' common store can be reached.
    keep_up: AtomicBool,
    objective: DecisionObjective,
    view: ArcSwap<EdgeView>,
    /// Weights that answers showed, by server and life; only of servers in the view.
    seen_weights: Mutex<BTreeMap<ServerId, (u64, WeightsNumber)>>,
    turns: AtomicU64,
}

impl EdgeCore {
    /// A core that knows no routes and no servers.
    pub fn new(parts: EdgeParts) -> Arc<Self> {
        let EdgeParts { vm, objective, dialect, port } = parts;
        Arc::new(EdgeCore {
            vm,
            dialect,
            port,
            pool: ConnectionPool::default(),
            gate: DrainGate::default(),
            recheck: RecheckList::default(),
            keep_up: AtomicBool::new(false),
            objective,
            view: ArcSwap::default(),
            seen_weights: Mutex::default(),
            turns: AtomicU64::new(0),
        })
    }

    /// The view in force.
    pub fn view(&self) -> Arc<EdgeView> {
        self.view.load_full()
    }

    /// Puts a view in force.
    pub fn apply(&self, view: EdgeView) {
        let former = self.view();
        let inputs = view.inputs(&self.vm, self.objective, &former);
        let used: BTreeSet<_> = view.servers.values().map(|server| server.address).collect();
        self.lock_weights().retain(|server, _| view.servers.contains_key(server));
        self.view.store(Arc::new(view));
        self.port.tell_all(inputs);
        self.tell_keep();
        self.pool.sweep(&used);
    }

    /// Notes whether the engines' common store can be reached.
    pub fn note_keep(&self, reachable: bool) {
        self.keep_up.store(reachable, Ordering::Relaxed);
        self.tell_keep();
    }

    /// Where the engines' common store is, while it can be reached.
    pub fn keep_address(&self) -> Option<SocketAddr> {
        let keep = self.view().keep().filter(|_| self.keep_up.load(Ordering::Relaxed))?;
        Some(keep.0)
    }

    fn tell_keep(&self) {
        let keep = self.view().keep().filter(|_| self.keep_up.load(Ordering::Relaxed));
        self.port.tell(PolicyInput::KeepLink { rate: keep.map(|(_, rate)| rate) });
    }

    /// Where a server listens.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.view().servers.get(server).map(|listed| listed.address)
    }

    /// A number in 0 to 1 that spreads requests evenly.
    pub fn turn(&self) -> f64 {
        let turn = self.turns.fetch_add(1, Ordering::Relaxed);
        (turn as f64 * GOLDEN_PART).fract()
    }

    /// Takes in what the head of an answer tells of its server.
    pub fn note_answer(&self, server: &ServerId, model: Option<&ModelId>, head: &AnswerHead) {
        let view = self.view();
        let Some(listed) = view.servers.get(server) else { return };
        if let Some(version) = head.weights {
            self.lock_weights().insert(server.clone(), (listed.incarnation, version));
        }
        let Some((running, waiting)) = head.load else { return };
        let version = self.weights_of(server, &listed.service, model);
        let weights = listed.weights.iter().map(|(listed_model, told)| {
            let seen = version.filter(|_| model == Some(listed_model));
            (pool_model(&listed.service, listed_model), seen.unwrap_or(*told).to_string())
        });
        self.port.tell(PolicyInput::Load(LoadReport {
            server: server.clone(),
            incarnation: listed.incarnation,
            weights: weights.collect(),
            running,
            waiting,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        }));
    }

    /// The weights that a server has, as far as the list and its answers tell: the later of both,
    /// since a server goes back to older ones in no life.
    pub fn weights_of(
        &self,
        server: &ServerId,
        service: &ServiceId,
        model: Option<&ModelId>,
    ) -> Option<WeightsNumber> {
        let view = self.view();
        let listed = view.servers.get(server).filter(|listed| listed.service == *service)?;
        let told = listed.weights.get(model?).copied();
        let seen = self.lock_weights().get(server).copied();
        let seen = seen.filter(|(life, _)| *life == listed.incarnation).map(|(_, version)| version);
        told.max(seen)
    }

    fn lock_weights(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServerId, (u64, WeightsNumber)>> {
        self.seen_weights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
