//! The lifecycle of a daemon as a typestate: an operation that is not allowed in a state has no
//! method there.

use {
    super::{
        ConfigWatch,
        config_applier::ConfigApplier,
        config_dissemination::{
            ConfigDissemination, DisseminationSettings, DisseminationTask,
            dissemination_core::PeerView,
        },
        control_driver::{ControlDriver, ControlHandle, DriverError, DriverSettings},
        dispatch_tasks::{TASK_QUEUE_LENGTH, run_dispatch_tasks},
        peer_service::{DaemonComponents, PeerService},
        remote_proposer::{RemoteProposer, ReplicaPort},
        server_monitor::ServerMonitor,
        server_probe::{HttpOrders, HttpProbe},
        server_table::ServerTable,
        server_updates::{ServerUpdates, UPDATE_QUEUE_LENGTH},
        status_service::StatusService,
        voter_poller::poll_voters,
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
            CoreDependencies, DispatcherHandle, DrainGate, PipelineCore, TraceLog,
            caller_budget::{CallerBudget, hold_limits},
            deduplicate::{announce_incarnation, report_attempt_floor},
            dispatch::DispatchTask,
        },
        policy::{Dispatcher, DispatcherSettings, caller_memory::PortKind},
        reverse_proxy::accept::ClientPort,
        transport::{NetworkSettings, PeerMessage, PeerNetwork, TransportError},
    },
    displaydoc::Display,
    metrics_exporter_prometheus::PrometheusHandle,
    rand_core::{OsRng, TryRngCore},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    viz::Router,
};

/// Messages of the replica that wait for the network; further ones are dropped, and the replica
/// repeats them.
const OUTBOUND_QUEUE_LENGTH: usize = 4096;

/// The name of the replica's folder within the data folder.
const REPLICA_FOLDER: &str = "replica";

/// Why a daemon failed to start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// no keys: set --authority, --certificate and --key; `oleandermountctl keys create` creates
    /// them
    KeysMissing,
    /// cannot listen on {option} {address}: {reason}; choose a free address of this VM
    Listen {
        /// The command-line option.
        option: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        reason: io::Error,
    },
    /// cannot start the peer network: {0}
    Network(TransportError),
    /// cannot start the replica: {0}
    Replica(DriverError),
    /// {0}
    Metrics(MetricsError),
}

impl std::error::Error for DaemonError {}

/// State of a daemon that has not been started.
pub struct Starting;

/// State of a daemon that accepts requests.
pub struct Serving(RunningComponents);

/// State of a daemon that finishes its requests in flight and accepts no new ones.
pub struct Draining(RunningComponents);

struct RunningComponents {
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    callers: HttpServer,
    operators: HttpServer,
    tasks: JoinSet<()>,
}

/// The result of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were aborted because the grace period ended first.
    pub cut: usize,
}

/// One daemon; `S` is its state: [`Starting`], [`Serving`] or [`Draining`].
pub struct Daemon<S> {
    options: DaemonOptions,
    state: S,
}

impl Daemon<Starting> {
    /// A daemon with these options; nothing runs before [`Self::start`].
    pub fn new(options: DaemonOptions) -> Self {
        Daemon { options, state: Starting }
    }

    /// Starts all components. It needs no quorum and waits for no other daemon: it serves with the
    /// highest committed configuration that it finds, as soon as it finds one.
    ///
    /// # Errors
    /// When an address, the keys or the data folder are unusable.
    pub async fn start(self) -> Result<Daemon<Serving>, DaemonError> {
        let options = self.options;
        let metrics = measures::install().map_err(DaemonError::Metrics)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(measures::run_upkeep(metrics.clone()));
        let connected = connect_components(&options, &mut tasks)?;
        let ConnectedComponents { components, network, .. } = &connected;
        let api = CallerApi { core: Arc::clone(&components.core), limits: options.limits.clone() };
        let callers = match options.identity.role {
            DaemonRole::Entry => caller_router(api),
            DaemonRole::Control => health_router(),
        };
        let operators = operator::router(operator_state(&options, &connected, metrics));
        let addresses = &options.network;
        let budget = CallerBudget::new(hold_limits(options.limits.max_memory_bytes, usize::MAX));
        let port = ClientPort::bind(addresses.listen, budget.clone(), PortKind::Callers).await;
        let callers = listen("--listen", addresses.listen, port, callers, &options)?;
        let port = ClientPort::bind(addresses.admin_listen, budget, PortKind::Operators).await;
        let operators =
            listen("--admin-listen", addresses.admin_listen, port, operators, &options)?;
        log::info!(
            vm = options.identity.vm.as_str(),
            callers:% = callers.address(),
            operators:% = operators.address(),
            peers:% = network.local_address();
            "serving"
        );
        let (core, network) = (Arc::clone(&components.core), network.clone());
        let running = RunningComponents { core, network, callers, operators, tasks };
        Ok(Daemon { options, state: Serving(running) })
    }
}

/// The components of a daemon, connected and running, before its HTTP ports are open.
struct ConnectedComponents {
    components: DaemonComponents,
    network: PeerNetwork,
    server_table: Arc<ServerTable>,
}

fn connect_components(
    options: &DaemonOptions,
    tasks: &mut JoinSet<()>,
) -> Result<ConnectedComponents, DaemonError> {
    let service = Arc::new(PeerService::default());
    let network = start_network(options, Arc::clone(&service))?;
    let replica = start_replica(options, &network, tasks)?;
    let control = Arc::new(create_proposer(options, &network, replica.as_ref()));
    let (dispatch_tasks, task_queue) = mpsc::channel(TASK_QUEUE_LENGTH);
    let core = start_core(options, Arc::clone(&control), dispatch_tasks);
    let (dissemination, dissemination_task) = start_dissemination(options);
    let server_table = Arc::new(ServerTable::default());
    let updates = Arc::new(ServerUpdates::new(Arc::clone(&core), Arc::clone(&server_table)));
    let (findings, finding_queue) = mpsc::channel(UPDATE_QUEUE_LENGTH);
    let monitor = ServerMonitor::start(Arc::new(HttpProbe), findings);
    let components = DaemonComponents { core, replica, control, dissemination, monitor, updates };
    service.open(components.clone());
    let connected = ConnectedComponents { components, network, server_table };
    connected.spawn_tasks(options, tasks);
    let ConnectedComponents { components, network, .. } = &connected;
    tasks.spawn(run_dissemination(dissemination_task, network.clone(), components.replica.clone()));
    let (core, monitor) = (Arc::clone(&components.core), components.monitor.clone());
    tasks.spawn(run_dispatch_tasks(core, network.clone(), monitor, task_queue));
    let updates = Arc::clone(&components.updates);
    tasks.spawn(async move { updates.run(finding_queue).await });
    Ok(connected)
}

impl ConnectedComponents {
    /// Starts the tasks that need only shared components.
    fn spawn_tasks(&self, options: &DaemonOptions, tasks: &mut JoinSet<()>) {
        let ConnectedComponents { components, network, server_table } = self;
        let applier = ConfigApplier {
            core: Arc::clone(&components.core),
            network: network.clone(),
            dissemination: components.dissemination.clone(),
            monitor: components.monitor.clone(),
            server_table: Arc::clone(server_table),
            options: options.clone(),
        };
        tasks.spawn(applier.run());
        if let Some(replica) = &components.replica {
            let orders = HttpOrders {
                core: Arc::clone(&components.core),
                network: network.clone(),
                updates: Arc::clone(&components.updates),
            };
            tasks.spawn(run_orders(replica.clone(), orders, components.dissemination.watch()));
        }
        if components.replica.is_none() {
            let (core, control) = (Arc::clone(&components.core), Arc::clone(&components.control));
            tasks.spawn(poll_voters(core, network.clone(), control));
        }
        tasks.spawn(announce_incarnation(Arc::clone(&components.core)));
        tasks.spawn(report_attempt_floor(Arc::clone(&components.core)));
        let dispatcher = Arc::clone(&components.core.dispatcher);
        tasks.spawn(async move { dispatcher.run_wakeups().await });
    }
}

fn operator_state(
    options: &DaemonOptions,
    connected: &ConnectedComponents,
    metrics: PrometheusHandle,
) -> OperatorState {
    let ConnectedComponents { components, network, server_table } = connected;
    let source = StatusService {
        identity: options.identity.clone(),
        started: Instant::now(),
        components: components.clone(),
        server_table: Arc::clone(server_table),
        network: network.clone(),
    };
    let control = Arc::clone(&components.control);
    OperatorState {
        control,
        config: components.dissemination.watch(),
        source: Arc::new(source),
        metrics,
    }
}

impl Daemon<Serving> {
    /// The address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.state.0.callers.address()
    }

    /// The address of the operators' API.
    pub fn admin_address(&self) -> SocketAddr {
        self.state.0.operators.address()
    }

    /// Reloads the key files; the previous keys stay in use if they cannot be read.
    pub fn reload_keys(&self) {
        match self.state.0.network.reload_keys() {
            Ok(()) => log::info!("keys reloaded"),
            Err(error) => {
                log::error!(error:% = error; "cannot reload the keys; the previous keys stay in use")
            }
        }
    }

    /// Stops accepting requests; `/readyz` answers 503 from now on.
    pub fn drain(self) -> Daemon<Draining> {
        self.state.0.core.gate.begin_drain();
        metrics::gauge!(measures::DRAINING).set(1.0);
        log::info!(in_flight = self.state.0.core.gate.in_flight(); "draining");
        Daemon { options: self.options, state: Draining(self.state.0) }
    }
}

impl Daemon<Draining> {
    /// Waits until all requests in flight have ended, the grace period of the options is over or
    /// `abort` completes, then stops.
    pub async fn finish(self, abort: impl Future<Output = ()>) -> DrainReport {
        let RunningComponents { core, network, callers, operators, mut tasks } = self.state.0;
        let (began, grace) = (Instant::now(), self.options.runtime.grace);
        tokio::pin!(abort);
        let (ended, is_aborted) = tokio::select! {
            () = core.gate.wait_empty() => (DrainReport { cut: 0 }, false),
            () = abort.as_mut() => (DrainReport { cut: core.gate.in_flight() }, true),
            () = sleep(grace) => (DrainReport { cut: core.gate.in_flight() }, false),
        };
        if ended.cut > 0 {
            metrics::counter!(measures::ABORTED_REQUESTS).increment(ended.cut as u64);
            log::error!(cut = ended.cut; "requests aborted during shutdown");
        }
        // The HTTP library may still hold responses to slow readers.
        tokio::select! {
            () = callers.stop(grace.saturating_sub(began.elapsed())) => {}
            () = abort, if !is_aborted => {}
        }
        operators.stop(Duration::ZERO).await;
        tasks.shutdown().await;
        network.close().await;
        log::info!(cut = ended.cut; "stopped");
        ended
    }
}

fn start_network(
    options: &DaemonOptions,
    service: Arc<PeerService>,
) -> Result<PeerNetwork, DaemonError> {
    let settings = NetworkSettings {
        vm: options.identity.vm.clone(),
        listen: options.network.peer_listen,
        keys: options.keys.clone().ok_or(DaemonError::KeysMissing)?,
        peers: options.group.peers.clone(),
    };
    PeerNetwork::start(settings, service).map_err(DaemonError::Network)
}

fn start_replica(
    options: &DaemonOptions,
    network: &PeerNetwork,
    tasks: &mut JoinSet<()>,
) -> Result<Option<ControlHandle>, DaemonError> {
    let Some(folder) = &options.group.data_dir else { return Ok(None) };
    let (outbound, mut messages) = mpsc::channel(OUTBOUND_QUEUE_LENGTH);
    let founders = options.group.founders.iter().cloned().collect();
    let vm = options.identity.vm.clone();
    // The replica needs a separate folder, since it removes files there that are not its own.
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

fn create_proposer(
    options: &DaemonOptions,
    network: &PeerNetwork,
    replica: Option<&ControlHandle>,
) -> RemoteProposer {
    let local = replica.map(|handle| Arc::new(handle.clone()) as Arc<dyn ReplicaPort>);
    let voters = options.group.founders.iter().cloned();
    RemoteProposer::new(options.identity.vm.clone(), Arc::new(network.clone()), local, voters)
}

fn start_core(
    options: &DaemonOptions,
    control: Arc<RemoteProposer>,
    dispatch_tasks: mpsc::Sender<DispatchTask>,
) -> Arc<PipelineCore> {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: options.identity.vm.clone(),
        failure_domain: options.identity.failure_domain.clone(),
        seed: random_seed(),
        disabled: options.runtime.disabled.clone(),
    });
    PipelineCore::new(CoreDependencies {
        vm: options.identity.vm.clone(),
        incarnation: fresh_incarnation(),
        dispatcher: DispatcherHandle::new(dispatcher, dispatch_tasks, Arc::clone(&trace)),
        control,
        gate: DrainGate::default(),
        trace,
    })
}

/// A new incarnation number from the clock. It is higher than that of earlier processes, provided
/// that the clock is not set back across the restart.
fn fresh_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_nanos()).unwrap_or(u64::MAX)
}

fn random_seed() -> u64 {
    OsRng
        .try_next_u64()
        .expect("the kernel's random number generator is available on supported systems")
}

fn start_dissemination(options: &DaemonOptions) -> (ConfigDissemination, DisseminationTask) {
    ConfigDissemination::new(DisseminationSettings {
        data_dir: options.group.data_dir.clone(),
        view: seed_view(options),
        seed: random_seed(),
    })
}

/// The peers that the settings name; the register replaces them once one is in force.
fn seed_view(options: &DaemonOptions) -> PeerView {
    let own = &options.identity.vm;
    let others = options.group.peers.keys().filter(|vm| *vm != own).cloned().collect();
    PeerView { domain: Vec::new(), durable_peers: Vec::new(), others }
}

async fn run_dissemination(
    task: DisseminationTask,
    network: PeerNetwork,
    replica: Option<ControlHandle>,
) {
    task.run(network, replica.map(|replica| replica.config())).await;
}

/// Sends weight orders while the replica on this VM leads.
async fn run_orders(replica: ControlHandle, orders: HttpOrders, config: ConfigWatch) {
    let desired = replica.desired_weights();
    WeightOrders::new(Arc::new(replica), Arc::new(orders), config, desired).run().await;
}

fn listen(
    option: &'static str,
    address: SocketAddr,
    port: io::Result<ClientPort>,
    router: Router,
    options: &DaemonOptions,
) -> Result<HttpServer, DaemonError> {
    port.and_then(|port| HttpServer::start_at(port, router, options.limits.clone()))
        .map_err(|reason| DaemonError::Listen { option, address, reason })
}
