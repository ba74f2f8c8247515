//! The life of a daemon as types: what may not be done in a state has no method there.

use {
    super::{
        ConfigWatch,
        config_follower::ConfigFollower,
        config_spread::{ConfigSpread, SpreadSettings, SpreadTask, spread_core::PeerView},
        control_driver::{ControlDriver, ControlHandle, DriverError, DriverSettings},
        duties::{DUTY_BOUND, run_duties},
        membership_watch::MembershipWatch,
        peer_desk::{DeskParts, PeerDesk},
        remote_control::{RemoteControl, ReplicaPort},
        server_board::ServerBoard,
        server_news::{NEWS_BOUND, ServerNews},
        server_probe::{HttpOrders, HttpProbe},
        status_desk::StatusDesk,
        voter_follower::follow_voters,
        weight_orders::WeightOrders,
    },
    crate::{
        http_api::{
            HttpServer,
            caller::{CallerApi, caller_router, health_router},
            operator::{self, OperatorState},
        },
        ids::Incarnation,
        observe::metrics::{self as measures, MetricsError},
        options::{DaemonOptions, DaemonRole},
        pipeline::{
            CoreParts, DispatchPort, DrainGate, PipelineCore, TraceLog,
            deduplicate::{announce_life, tell_floor},
            dispatch::DispatchDuty,
        },
        policy::{Dispatcher, DispatcherSettings},
        transport::{NetworkSettings, PeerMessage, PeerNetwork, TransportError},
    },
    displaydoc::Display,
    metrics_exporter_prometheus::PrometheusHandle,
    rand_core::{OsRng, TryRngCore},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    viz::Router,
};

/// Messages of the replica that wait for the network; further ones are lost and sent again.
const OUTBOUND_BOUND: usize = 4096;

/// The replica's part of the data folder.
const REPLICA_FOLDER: &str = "replica";

/// Why a daemon did not start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// no keys: give --authority, --certificate and --key; `oleandermountctl keys create` makes them
    KeysMissing,
    /// {option} {address} cannot be listened on: {reason}; choose a free address of this VM
    Listen {
        /// The option.
        option: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        reason: io::Error,
    },
    /// the network between daemons did not start: {0}
    Network(TransportError),
    /// the replica did not start: {0}
    Replica(DriverError),
    /// {0}
    Metrics(MetricsError),
}

impl std::error::Error for DaemonError {}

/// State of a daemon that does nothing yet.
pub struct Starting;

/// State of a daemon that takes requests.
pub struct Serving(LiveParts);

/// State of a daemon that finishes what it has.
pub struct Draining(LiveParts);

struct LiveParts {
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    callers: HttpServer,
    operators: HttpServer,
    tasks: JoinSet<()>,
}

/// What a drain came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were cut off because the wait ended first.
    pub cut: usize,
}

/// One daemon; `S` is its state: [`Starting`], [`Serving`] or [`Draining`].
pub struct Daemon<S> {
    options: DaemonOptions,
    state: S,
}

impl Daemon<Starting> {
    /// A daemon that can be started.
    pub fn new(options: DaemonOptions) -> Self {
        Daemon { options, state: Starting }
    }

    /// Starts all parts. Needs no quorum and waits for nobody: it serves with the highest
    /// committed configuration that it finds, as soon as it finds one.
    ///
    /// # Errors
    /// When an address, the keys or the data folder cannot be used.
    pub async fn start(self) -> Result<Daemon<Serving>, DaemonError> {
        let options = self.options;
        let metrics = measures::install().map_err(DaemonError::Metrics)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(measures::upkeep(metrics.clone()));
        let wired = wire_parts(&options, &mut tasks)?;
        let WiredParts { parts, network, .. } = &wired;
        let gate = CallerApi { core: Arc::clone(&parts.core), limits: options.limits.clone() };
        let callers = match options.identity.role {
            DaemonRole::Entry => caller_router(gate),
            DaemonRole::Control => health_router(),
        };
        let operators = operator::router(operator_state(&options, &wired, metrics));
        let addresses = &options.network;
        let callers = listen("--listen", addresses.listen, callers, &options).await?;
        let operators =
            listen("--admin-listen", addresses.admin_listen, operators, &options).await?;
        log::info!(
            vm = options.identity.vm.as_str(),
            callers:% = callers.address(),
            operators:% = operators.address(),
            peers:% = network.local_address();
            "serving"
        );
        let (core, network) = (Arc::clone(&parts.core), network.clone());
        let live = LiveParts { core, network, callers, operators, tasks };
        Ok(Daemon { options, state: Serving(live) })
    }
}

/// The parts of a daemon, connected and running, before its HTTP ports open.
struct WiredParts {
    parts: DeskParts,
    network: PeerNetwork,
    board: Arc<ServerBoard>,
}

fn wire_parts(options: &DaemonOptions, tasks: &mut JoinSet<()>) -> Result<WiredParts, DaemonError> {
    let desk = Arc::new(PeerDesk::default());
    let network = start_network(options, Arc::clone(&desk))?;
    let replica = start_replica(options, &network, tasks)?;
    let control = Arc::new(remote_control(options, &network, replica.as_ref()));
    let (duties, duty_queue) = mpsc::channel(DUTY_BOUND);
    let core = start_core(options, Arc::clone(&control), duties);
    let (spread, spread_task) = start_spread(options);
    let board = Arc::new(ServerBoard::default());
    let news = Arc::new(ServerNews::new(Arc::clone(&core), Arc::clone(&board)));
    let (findings, finding_queue) = mpsc::channel(NEWS_BOUND);
    let watch = MembershipWatch::start(Arc::new(HttpProbe), findings);
    let parts = DeskParts { core, replica, control, spread, watch, news };
    desk.open(parts.clone());
    let wired = WiredParts { parts, network, board };
    wired.spawn_tasks(options, tasks);
    let WiredParts { parts, network, .. } = &wired;
    tasks.spawn(run_spread(spread_task, network.clone(), parts.replica.clone()));
    let (core, watch) = (Arc::clone(&parts.core), parts.watch.clone());
    tasks.spawn(run_duties(core, network.clone(), watch, duty_queue));
    let news = Arc::clone(&parts.news);
    tasks.spawn(async move { news.run(finding_queue).await });
    Ok(wired)
}

impl WiredParts {
    /// Starts the tasks that take nothing but shared parts.
    fn spawn_tasks(&self, options: &DaemonOptions, tasks: &mut JoinSet<()>) {
        let WiredParts { parts, network, board } = self;
        let follower = ConfigFollower {
            core: Arc::clone(&parts.core),
            network: network.clone(),
            spread: parts.spread.clone(),
            watch: parts.watch.clone(),
            board: Arc::clone(board),
            options: options.clone(),
        };
        tasks.spawn(follower.run());
        if let Some(replica) = &parts.replica {
            let orders = HttpOrders {
                core: Arc::clone(&parts.core),
                network: network.clone(),
                news: Arc::clone(&parts.news),
            };
            tasks.spawn(run_orders(replica.clone(), orders, parts.spread.watch()));
        }
        if parts.replica.is_none() {
            let (core, control) = (Arc::clone(&parts.core), Arc::clone(&parts.control));
            tasks.spawn(follow_voters(core, network.clone(), control));
        }
        tasks.spawn(announce_life(Arc::clone(&parts.core)));
        tasks.spawn(tell_floor(Arc::clone(&parts.core)));
        let port = Arc::clone(&parts.core.port);
        tasks.spawn(async move { port.run_wakeups().await });
    }
}

fn operator_state(
    options: &DaemonOptions,
    wired: &WiredParts,
    metrics: PrometheusHandle,
) -> OperatorState {
    let WiredParts { parts, network, board } = wired;
    let source = StatusDesk {
        identity: options.identity.clone(),
        started: Instant::now(),
        parts: parts.clone(),
        board: Arc::clone(board),
        network: network.clone(),
    };
    let control = Arc::clone(&parts.control);
    OperatorState { control, config: parts.spread.watch(), source: Arc::new(source), metrics }
}

impl Daemon<Serving> {
    /// Where callers reach it.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.0.callers.address()
    }

    /// Where operators reach it.
    pub fn admin_address(&self) -> SocketAddr {
        self.state.0.operators.address()
    }

    /// Takes up renewed key files; the former keys stay in use if they cannot be read.
    pub fn reload_keys(&self) {
        match self.state.0.network.reload_keys() {
            Ok(()) => log::info!("keys renewed"),
            Err(error) => log::error!(error:% = error; "keys not renewed"),
        }
    }

    /// Takes no new work from now on; `/readyz` answers 503.
    pub fn drain(self) -> Daemon<Draining> {
        self.state.0.core.gate.begin();
        metrics::gauge!(measures::DRAINING).set(1.0);
        log::info!(in_flight = self.state.0.core.gate.in_flight(); "draining");
        Daemon { options: self.options, state: Draining(self.state.0) }
    }
}

impl Daemon<Draining> {
    /// Waits for the requests in flight, for the grace in the options or until `cut` is ready,
    /// then stops.
    pub async fn finish(self, cut: impl Future<Output = ()>) -> DrainReport {
        let LiveParts { core, network, callers, operators, mut tasks } = self.state.0;
        let ended = tokio::select! {
            () = core.gate.wait_empty() => DrainReport { cut: 0 },
            () = cut => DrainReport { cut: core.gate.in_flight() },
            () = sleep(self.options.life.grace) => DrainReport { cut: core.gate.in_flight() },
        };
        if ended.cut > 0 {
            metrics::counter!(measures::CUT_REQUESTS).increment(ended.cut as u64);
            log::error!(cut = ended.cut; "requests were cut off");
        }
        callers.stop().await;
        operators.stop().await;
        tasks.shutdown().await;
        network.close().await;
        log::info!(cut = ended.cut; "stopped");
        ended
    }
}

fn start_network(options: &DaemonOptions, desk: Arc<PeerDesk>) -> Result<PeerNetwork, DaemonError> {
    let settings = NetworkSettings {
        vm: options.identity.vm.clone(),
        listen: options.network.peer_listen,
        keys: options.keys.clone().ok_or(DaemonError::KeysMissing)?,
        peers: options.group.peers.clone(),
    };
    PeerNetwork::start(settings, desk).map_err(DaemonError::Network)
}

fn start_replica(
    options: &DaemonOptions,
    network: &PeerNetwork,
    tasks: &mut JoinSet<()>,
) -> Result<Option<ControlHandle>, DaemonError> {
    let Some(folder) = &options.group.data_dir else { return Ok(None) };
    let (outbound, mut messages) = mpsc::channel(OUTBOUND_BOUND);
    let founders = options.group.founders.iter().cloned().collect();
    let vm = options.identity.vm.clone();
    // A folder of its own: the replica removes files there that are not its own.
    let folder = folder.join(REPLICA_FOLDER);
    let settings = DriverSettings::new(vm, founders, folder, random_seed());
    let handle = ControlDriver::start(settings, outbound).map_err(DaemonError::Replica)?;
    let network = network.clone();
    tasks.spawn(async move {
        while let Some((to, message)) = messages.recv().await {
            network.send(&to, PeerMessage::Replica(Box::new(message)));
        }
    });
    Ok(Some(handle))
}

fn remote_control(
    options: &DaemonOptions,
    network: &PeerNetwork,
    replica: Option<&ControlHandle>,
) -> RemoteControl {
    let local = replica.map(|handle| Arc::new(handle.clone()) as Arc<dyn ReplicaPort>);
    let voters = options.group.founders.iter().cloned();
    RemoteControl::new(options.identity.vm.clone(), Arc::new(network.clone()), local, voters)
}

fn start_core(
    options: &DaemonOptions,
    control: Arc<RemoteControl>,
    duties: mpsc::Sender<DispatchDuty>,
) -> Arc<PipelineCore> {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: options.identity.vm.clone(),
        failure_domain: options.identity.failure_domain.clone(),
        seed: random_seed(),
        disabled: options.life.disabled.clone(),
    });
    PipelineCore::new(CoreParts {
        vm: options.identity.vm.clone(),
        incarnation: fresh_incarnation(),
        port: DispatchPort::new(dispatcher, duties, Arc::clone(&trace)),
        control,
        gate: DrainGate::default(),
        trace,
    })
}

/// A later life has a higher number, as long as the clock does not run backwards over a restart.
fn fresh_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_nanos()).unwrap_or(u64::MAX)
}

fn random_seed() -> u64 {
    OsRng.try_next_u64().expect("the kernel's random numbers are always there on supported systems")
}

fn start_spread(options: &DaemonOptions) -> (ConfigSpread, SpreadTask) {
    ConfigSpread::new(SpreadSettings {
        data_dir: options.group.data_dir.clone(),
        view: seed_view(options),
        seed: random_seed(),
    })
}

/// The peers that the settings name; the register replaces them once there is one.
fn seed_view(options: &DaemonOptions) -> PeerView {
    let own = &options.identity.vm;
    let others = options.group.peers.keys().filter(|vm| *vm != own).cloned().collect();
    PeerView { domain: Vec::new(), anchors: Vec::new(), others }
}

async fn run_spread(task: SpreadTask, network: PeerNetwork, replica: Option<ControlHandle>) {
    task.run(network, replica.map(|replica| replica.config())).await;
}

/// Gives weight orders while the replica here leads.
async fn run_orders(replica: ControlHandle, orders: HttpOrders, config: ConfigWatch) {
    let desired = replica.desired_weights();
    WeightOrders::new(Arc::new(replica), Arc::new(orders), config, desired).run().await;
}

async fn listen(
    option: &'static str,
    address: SocketAddr,
    router: Router,
    options: &DaemonOptions,
) -> Result<HttpServer, DaemonError> {
    HttpServer::start(address, router, options.limits.clone())
        .await
        .map_err(|reason| DaemonError::Listen { option, address, reason })
}
