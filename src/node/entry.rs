//! An entry: serves callers by route with what it learns from the control VMs.

use {
    super::{
        NodeError, control_book::ControlBook, health::serve_page, named_clock::NamedClock,
        random_seed,
    },
    crate::{
        fleet::watch::ListMonitor,
        follow::{
            FollowReply, FollowerKind, SharedState,
            service::EntryHandler,
            task::{FollowTask, FollowerPort},
        },
        ids::{DocumentNumber, FailureDomainId, VmId},
        inventory::DecisionObjective,
        observe::events,
        pipeline::{DispatcherHandle, TraceLog, dispatch::DispatchTask},
        policy::{Dispatcher, DispatcherSettings, PolicyInput, SafeguardSet},
        reverse_proxy::{
            CallerListener, ProxyCore, WireDialect, core::ProxyParts,
            store_monitor::monitor_cache_store, view::ProxyView,
        },
        routing::{RouteFault, RouteIndex, RouteTable},
        transport::{OpenNetworkSettings, PeerNetwork},
    },
    http::{Method, StatusCode},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Duties of the dispatcher that wait; each is a hint or is given again.
const DUTY_BOUND: usize = 256;
/// While it stops, an entry still takes new connections for so long: the balancer asks once a
/// second and believes the second answer.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);
/// From then on it refuses what comes: a balancer that has too few other entries goes on sending
/// callers here, and an answer that begins later than this could not end before the kill.
const REFUSING_AFTER: Duration = Duration::from_millis(2_900);
/// Without a change the state is applied again so often, which also closes connections that were
/// idle for too long.
const IDLE_LOOK: Duration = Duration::from_secs(5);
/// The end of the grace that is kept for the last bytes to leave.
const LAST_BYTES: Duration = Duration::from_millis(400);

/// Reads the operators' document.
pub trait TableReader: Send + Sync {
    /// The route table of a document.
    ///
    /// # Errors
    /// What is wrong with it, and what to do.
    fn read(&self, document: &str) -> Result<RouteTable, RouteFault>;
}

/// What an entry needs to start.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready.
    pub readiness: SocketAddr,
    /// The path that it tells it on.
    pub readiness_path: String,
    /// Where it listens for other daemons.
    pub peer_listen: SocketAddr,
    /// Callers' connections at a time.
    pub connections: usize,
    /// Retries in a row that all entries together may make beyond their part of the traffic.
    pub retry_reserve: f64,
    /// From the order to stop until the process is killed.
    pub grace: Duration,
    /// What placement optimises.
    pub objective: DecisionObjective,
    /// Mechanisms of the policy that are off; empty but while an operator looks for a cause.
    pub disabled: SafeguardSet,
}

/// What the part of an entry that serves requests needs to start.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// As in [`EntrySettings`].
    pub vm: VmId,
    /// As in [`EntrySettings`].
    pub failure_domain: FailureDomainId,
    /// As in [`EntrySettings`].
    pub objective: DecisionObjective,
    /// As in [`EntrySettings`].
    pub disabled: SafeguardSet,
}

/// What a running entry takes over when its settings change.
#[derive(Clone, Debug)]
pub struct RenewedSettings {
    /// Where control VMs are now; those known so far stay in use.
    pub control: BTreeMap<VmId, SocketAddr>,
    /// As in [`EntrySettings`].
    pub retry_reserve: f64,
    /// As in [`EntrySettings`].
    pub grace: Duration,
}

/// A running entry.
pub struct EntryNode {
    settings: EntrySettings,
    retry_reserve: watch::Sender<f64>,
    core: Arc<ProxyCore>,
    port: CallerListener,
    leaving: Arc<AtomicBool>,
    candidates: Arc<ControlBook>,
    _tasks: JoinSet<()>,
}

impl EntryNode {
    /// Starts an entry; it waits for nobody, and is ready once it knows routes and servers.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub async fn start(
        settings: EntrySettings,
        control: BTreeMap<VmId, SocketAddr>,
        dialect: Arc<dyn WireDialect>,
        reader: Arc<dyn TableReader>,
    ) -> Result<Self, NodeError> {
        let mut tasks = JoinSet::new();
        let (candidates, candidate_watch) = watch::channel(control.keys().cloned().collect());
        let place = OpenNetworkSettings {
            vm: settings.vm.clone(),
            listen: settings.peer_listen,
            peers: control.clone(),
        };
        let network =
            PeerNetwork::start_open(place, Arc::new(EntryHandler)).map_err(NodeError::Network)?;
        settings.disabled.warn_if_any();
        let core_settings = CoreSettings {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            objective: settings.objective,
            disabled: settings.disabled.clone(),
        };
        let core = start_core(core_settings, dialect, &mut tasks);
        let (state, states) = watch::channel(SharedState::default());
        let domain = settings.failure_domain.clone();
        let follower = Arc::new(EntryFollower { notice: Mutex::default() });
        let task = FollowTask::new(network.clone(), domain, candidate_watch, state, follower);
        tasks.spawn(task.run());
        let candidates = Arc::new(ControlBook::new(network.clone(), control, candidates));
        tasks.spawn(follow_control(Arc::clone(&candidates), states.clone()));
        let (retry_reserve, reserve_watch) = watch::channel(settings.retry_reserve);
        tasks.spawn(apply_states(Arc::clone(&core), states, reader, reserve_watch));
        let leaving = Arc::new(AtomicBool::new(false));
        tasks.spawn(serve_readiness(&settings, Arc::clone(&core), Arc::clone(&leaving)).await?);
        let port = CallerListener::start(settings.callers, Arc::clone(&core), settings.connections)
            .await
            .map_err(|reason| NodeError::Listen {
                purpose: "callers",
                address: settings.callers,
                reason,
            })?;
        log::info!(vm = settings.vm.as_str(), callers:% = settings.callers; "entry started");
        Ok(EntryNode { settings, retry_reserve, core, port, leaving, candidates, _tasks: tasks })
    }

    /// Takes over changed settings. Nothing that is in flight is touched.
    pub fn renew(&mut self, renewed: RenewedSettings) {
        let RenewedSettings { control, retry_reserve, grace } = renewed;
        self.settings.grace = grace;
        self.retry_reserve.send_replace(retry_reserve);
        self.candidates.add(control);
    }

    /// Stops without cutting anything off: first it is no longer ready, then connections end with
    /// their answers, then idle ones, and the process goes when nothing is in flight.
    pub async fn stop(self) {
        let began = Instant::now();
        self.leaving.store(true, Ordering::SeqCst);
        self.port.close_after_response();
        log::info!(in_flight = self.core.gate.in_flight(); "stopping: not ready any more");
        sleep(LEAVING_TIME).await;
        self.port.close_idle();
        sleep(REFUSING_AFTER - LEAVING_TIME).await;
        self.core.gate.begin_drain();
        let left = self.settings.grace.saturating_sub(began.elapsed() + LAST_BYTES);
        if timeout(left, self.core.gate.wait_empty()).await.is_err() {
            log::error!(cut = self.core.gate.in_flight(); "requests are cut off: the grace is over");
        }
        self.port.stop();
        log::info!("stopped");
    }
}

async fn follow_control(book: Arc<ControlBook>, mut states: watch::Receiver<SharedState>) {
    while states.changed().await.is_ok() {
        let control = states.borrow_and_update().control.clone();
        book.add(
            control.into_iter().filter_map(|vm| Some((vm.clone(), book.place(&vm)?))).collect(),
        );
    }
}

/// Tells in the log when the control VMs lose the server list.
struct EntryFollower {
    notice: Mutex<ListMonitor>,
}

impl FollowerPort for EntryFollower {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Entry
    }

    fn reply_received(&self, reply: &FollowReply, state: &SharedState) {
        let known = state.fleet.as_ref().map_or(0, |fleet| fleet.servers.len());
        let mut notice = self.notice.lock().unwrap_or_else(PoisonError::into_inner);
        notice.note(reply.list_fresh, known);
    }
}

/// Starts the part of an entry that serves requests, without its ports and without what it learns
/// from others; its tasks run until `tasks` is dropped.
pub fn start_core(
    settings: CoreSettings,
    dialect: Arc<dyn WireDialect>,
    tasks: &mut JoinSet<()>,
) -> Arc<ProxyCore> {
    let CoreSettings { vm, failure_domain, objective, disabled } = settings;
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: vm.clone(),
        failure_domain,
        seed: random_seed(),
        disabled,
    });
    let (duties, duty_queue) = mpsc::channel(DUTY_BOUND);
    let port = DispatcherHandle::new(dispatcher, duties, Arc::new(TraceLog::default()));
    let core = ProxyCore::new(ProxyParts { vm, objective, dialect, dispatcher: Arc::clone(&port) });
    tasks.spawn(async move { port.run_wakeups().await });
    tasks.spawn(run_duties(Arc::clone(&core), duty_queue));
    tasks.spawn(monitor_cache_store(Arc::clone(&core)));
    core
}

/// Carries out what the dispatcher asks for beside requests. A cancelled attempt's connection is
/// closed already, which its server takes as the cancel.
async fn run_duties(core: Arc<ProxyCore>, mut duties: mpsc::Receiver<DispatchTask>) {
    while let Some(duty) = duties.recv().await {
        if let DispatchTask::Probe { server } = duty {
            let core = Arc::clone(&core);
            tokio::spawn(async move { core.probe(server).await });
        }
    }
}

/// Puts what was learned in force.
async fn apply_states(
    core: Arc<ProxyCore>,
    mut states: watch::Receiver<SharedState>,
    reader: Arc<dyn TableReader>,
    mut retry_reserve: watch::Receiver<f64>,
) {
    let mut routes = RouteKeeper::default();
    let mut clock = NamedClock::default();
    loop {
        let due = clock.next_change().unwrap_or_else(|| StdInstant::now() + IDLE_LOOK);
        tokio::select! {
            changed = states.changed() => if changed.is_err() { return },
            changed = retry_reserve.changed() => if changed.is_err() { return },
            () = sleep_until(due.into()) => {}
        }
        let state = states.borrow_and_update().clone();
        let required = clock.note(StdInstant::now(), &state.weights, state.term);
        let index = routes.index_for(state.document.number, &state.document.body, &*reader);
        let fleet = state.fleet.unwrap_or_default();
        let entries = state.entries.max(1);
        let retries = (*retry_reserve.borrow_and_update() / f64::from(entries)).max(1.0);
        core.dispatcher.notify(PolicyInput::RetryReserve { retries });
        core.apply(ProxyView::new(index, &fleet, &state.weights, &required, entries));
    }
}

/// The routes in force; a document is read once.
#[derive(Default)]
struct RouteKeeper {
    number: DocumentNumber,
    index: Option<Arc<RouteIndex>>,
}

impl RouteKeeper {
    fn index_for(
        &mut self,
        number: DocumentNumber,
        body: &str,
        reader: &dyn TableReader,
    ) -> Option<Arc<RouteIndex>> {
        if number > self.number {
            match reader.read(body) {
                Ok(table) => {
                    log::info!(document = number, routes = table.routes.len();
                        "{}", events::ROUTES_ACTIVATED);
                    self.index = Some(Arc::new(RouteIndex::new(Arc::new(table))));
                }
                // It was checked before it was accepted: another release accepted it.
                Err(fault) => log::error!(document = number, fault:% = fault;
                    "an accepted document cannot be read here; the former routes stay"),
            }
            self.number = number;
        }
        self.index.clone()
    }
}

async fn serve_readiness(
    settings: &EntrySettings,
    core: Arc<ProxyCore>,
    leaving: Arc<AtomicBool>,
) -> Result<impl Future<Output = ()> + use<>, NodeError> {
    let path = settings.readiness_path.clone();
    let server = serve_page(settings.readiness, move |request| {
        if request.uri().path() != path || request.method() != Method::GET {
            return (StatusCode::NOT_FOUND, "ask for the readiness path\n".to_owned());
        }
        let view = core.view();
        let knows = view.index.is_some() && !view.servers.is_empty();
        match knows && !leaving.load(Ordering::SeqCst) {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    });
    let task = server.await.map_err(|reason| NodeError::Listen {
        purpose: "readiness",
        address: settings.readiness,
        reason,
    })?;
    Ok(async move {
        // It ends with the process.
        let _ = task.await;
    })
}
