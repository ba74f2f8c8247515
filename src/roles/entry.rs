//! An entry: serves callers by route, with routes and servers learned from the control VMs.

mod state_applier;

use {
    self::state_applier::StateApplier,
    super::{
        NodeError, control_directory::ControlDirectory, entry_service::EntryService,
        health::serve_health_page, origin_client::OriginClient, random_seed,
        slot_arbiter::SlotArbiter, slot_client::SlotClient, tunnel_client::TunnelClient,
        usage_arbiter::UsageGranter, usage_client::UsageClient,
    },
    crate::{
        fleet::watch::ListMonitor,
        follow::{
            FollowReply, FollowerKind, SharedState,
            evidence::{evidence_digest, send_own_reports},
            task::{FollowTask, FollowerPort},
        },
        ids::{FailureDomainId, ServiceId, VmId},
        inventory::DecisionObjective,
        observe::pauses::log_pauses,
        pipeline::{
            DispatcherHandle, TraceLog, caller_budget::CallerBudget, dispatch::DispatchTask,
        },
        policy::{Dispatcher, DispatcherSettings, PolicyInput, PolicySafeguard, SafeguardSet},
        reverse_proxy::{
            CallerListener, ProxyCore, WireDialect, core::ProxyDependencies,
            server_link::check_server_links, store_monitor::monitor_cache_stores,
        },
        routing::{ParsedTable, RouteFault, RouteTable},
        transport::{PeerNetwork, UnauthenticatedSettings},
    },
    http::{Method, StatusCode},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, sleep, sleep_until, timeout_at},
    },
};

/// The length of the queue of dispatch tasks. A dropped task does no harm: it is optional or is
/// issued again.
const TASK_QUEUE_LENGTH: usize = 256;
/// How long a stopping entry still accepts new connections. The load balancer checks readiness once
/// a second and acts on the second failed check.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(2_500);
/// When a stopping entry begins to refuse new requests. A load balancer with too few other entries
/// keeps sending requests here, and an answer that starts later could not end before the process is
/// killed.
const REFUSE_AFTER: Duration = Duration::from_millis(2_900);
/// Time for the messages that release shares of usage limits, also to an arbiter that has to be dialled.
const RELEASE_TIME: Duration = Duration::from_millis(100);
/// The time at the end of the grace period that is reserved for sending the last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(400);

/// Parses the operators' configuration document.
pub trait RouteParser: Send + Sync {
    /// Parses the route table of a document and validates it.
    ///
    /// # Errors
    /// [`RouteFault::Unreadable`] if there is no table to use.
    fn parse(&self, document: &str) -> Result<ParsedTable, RouteFault>;

    /// Parses the route table of a document that an operator sends.
    ///
    /// # Errors
    /// The first fault of the document, with its remedy.
    fn parse_valid(&self, document: &str) -> Result<RouteTable, RouteFault> {
        let ParsedTable { table, fault } = self.parse(document)?;
        fault.map_or(Ok(table), Err)
    }
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of this VM.
    pub vm: VmId,
    /// The failure domain of this VM.
    pub failure_domain: FailureDomainId,
    /// The TCP address for callers.
    pub caller_listen: SocketAddr,
    /// The TCP address for readiness checks.
    pub readiness_listen: SocketAddr,
    /// The path of readiness checks.
    pub readiness_path: String,
    /// The UDP address for other daemons.
    pub peer_listen: SocketAddr,
    /// What the process holds for its callers, over all of its ports.
    pub budget: CallerBudget,
    /// Burst of retries that all entries together may make in excess of the retry ratio.
    pub retry_reserve: f64,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// What the placement of requests optimises.
    pub objective: DecisionObjective,
    /// Disabled mechanisms of the policy; empty except while an operator diagnoses a problem.
    pub disabled: SafeguardSet,
}

impl EntrySettings {
    fn core_settings(&self) -> CoreSettings {
        CoreSettings {
            vm: self.vm.clone(),
            failure_domain: self.failure_domain.clone(),
            objective: self.objective,
            disabled: self.disabled.clone(),
            budget: self.budget.clone(),
        }
    }
}

/// Settings of the core of an entry, which serves requests.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// See [`EntrySettings::vm`].
    pub vm: VmId,
    /// See [`EntrySettings::failure_domain`].
    pub failure_domain: FailureDomainId,
    /// See [`EntrySettings::objective`].
    pub objective: DecisionObjective,
    /// See [`EntrySettings::disabled`].
    pub disabled: SafeguardSet,
    /// See [`EntrySettings::budget`].
    pub budget: CallerBudget,
}

/// Settings that a running entry applies when they are reloaded.
#[derive(Clone, Debug)]
pub struct ReloadedSettings {
    /// The addresses of control VMs; those known before stay in use.
    pub control: BTreeMap<VmId, SocketAddr>,
    /// See [`EntrySettings::retry_reserve`].
    pub retry_reserve: f64,
    /// See [`EntrySettings::grace`].
    pub grace: Duration,
}

/// A running entry.
pub struct EntryNode {
    settings: EntrySettings,
    retry_reserve: watch::Sender<f64>,
    core: Arc<ProxyCore>,
    usage: Arc<UsageClient>,
    listener: CallerListener,
    stopping: Arc<AtomicBool>,
    directory: Arc<ControlDirectory>,
    _tasks: JoinSet<()>,
}

impl EntryNode {
    /// Starts an entry without waiting for other VMs. It is ready once it knows routes and servers.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        settings: EntrySettings,
        control: BTreeMap<VmId, SocketAddr>,
        dialect: Arc<dyn WireDialect>,
        parser: Arc<dyn RouteParser>,
    ) -> Result<Self, NodeError> {
        let mut tasks = JoinSet::new();
        let (candidates, candidate_watch) = watch::channel(control.keys().cloned().collect());
        let service = Arc::new(EntryService::new(settings.vm.clone()));
        let network = start_network(&settings, &control, &service)?;
        settings.disabled.warn_if_any();
        let core = start_core(settings.core_settings(), dialect, &mut tasks);
        service.tunnels.open(Arc::clone(&core));
        start_leases(&core, &network, &service.arbiter, &mut tasks);
        let usage = start_usage(&core, &network, &service.usage, &mut tasks);
        let (state, states) = watch::channel(SharedState::default());
        let domain = settings.failure_domain.clone();
        let follower = EntryFollower::start(&core, &network, &usage, &mut tasks);
        let followed = follower.followed.subscribe();
        let origins = start_origins(&core, &network, followed.clone(), &mut tasks);
        let task = FollowTask::new(network.clone(), domain, candidate_watch, state, follower);
        tasks.spawn(task.run());
        let directory = Arc::new(ControlDirectory::new(network.clone(), control, candidates));
        start_tunnels(&core, TunnelClient::new(network, directory.clone(), followed), &mut tasks);
        tasks.spawn(update_directory(Arc::clone(&directory), states.clone()));
        let (retry_reserve, reserve_watch) = watch::channel(settings.retry_reserve);
        let applier = StateApplier {
            core: Arc::clone(&core),
            directory: Arc::clone(&directory),
            arbiter: Arc::clone(&service.arbiter),
            usage: Arc::clone(&usage),
            origins,
            parser,
            is_paced: !settings.disabled.contains(PolicySafeguard::StartPace),
        };
        tasks.spawn(applier.run(states, reserve_watch));
        let stopping = Arc::new(AtomicBool::new(false));
        tasks.spawn(serve_readiness(&settings, Arc::clone(&core), Arc::clone(&stopping)).await?);
        let listener = CallerListener::start(settings.caller_listen, Arc::clone(&core))
            .await
            .map_err(|reason| NodeError::Listen {
                purpose: "callers",
                address: settings.caller_listen,
                reason,
            })?;
        log::info!(vm = settings.vm.as_str(), callers:% = settings.caller_listen; "entry started");
        Ok(EntryNode {
            settings,
            retry_reserve,
            core,
            usage,
            listener,
            stopping,
            directory,
            _tasks: tasks,
        })
    }

    /// Applies reloaded settings. Requests in flight are not affected.
    pub fn reload(&mut self, reloaded: ReloadedSettings) {
        let ReloadedSettings { control, retry_reserve, grace } = reloaded;
        self.settings.grace = grace;
        self.retry_reserve.send_replace(retry_reserve);
        self.directory.add(control);
    }

    /// Stops gracefully: readiness checks fail first, then connections close after their answers, then
    /// idle connections close, and new requests are refused. Returns when no request is in flight or
    /// the grace period is over.
    pub async fn stop(self) {
        let began = Instant::now();
        self.stopping.store(true, Ordering::SeqCst);
        self.listener.close_after_response();
        log::info!(in_flight = self.core.gate.in_flight(); "stopping: not ready any more");
        sleep(ACCEPT_WHILE_STOPPING).await;
        self.listener.close_idle();
        sleep(REFUSE_AFTER - ACCEPT_WHILE_STOPPING).await;
        let ends_at = began + self.settings.grace.saturating_sub(FLUSH_TIME);
        self.core.gate.begin_drain_until(ends_at.into_std());
        let has_shares = self.usage.release();
        if timeout_at(ends_at, self.core.gate.wait_empty()).await.is_err() {
            log::error!(cut = self.core.gate.in_flight(); "requests cut off: the grace period is over");
        }
        if has_shares {
            sleep_until(began + REFUSE_AFTER + RELEASE_TIME).await;
        }
        self.listener.stop();
        log::info!("stopped");
    }
}

fn start_network(
    settings: &EntrySettings,
    control: &BTreeMap<VmId, SocketAddr>,
    service: &Arc<EntryService>,
) -> Result<PeerNetwork, NodeError> {
    let network_settings = UnauthenticatedSettings {
        vm: settings.vm.clone(),
        listen: settings.peer_listen,
        peers: control.clone(),
    };
    PeerNetwork::start_unauthenticated(network_settings, service.clone())
        .map_err(NodeError::Network)
}

/// Lets the core connect to servers through other entries.
fn start_tunnels(core: &Arc<ProxyCore>, client: TunnelClient, tasks: &mut JoinSet<()>) {
    let client = Arc::new(client);
    core.pool.links().set_tunnels(client.clone());
    tasks.spawn(client.keep_alive());
    tasks.spawn(check_server_links(Arc::clone(core)));
}

/// Lets the core lease slots of servers, and answers others that lease them here.
fn start_leases(
    core: &Arc<ProxyCore>,
    network: &PeerNetwork,
    arbiter: &Arc<SlotArbiter>,
    tasks: &mut JoinSet<()>,
) {
    let client = Arc::new(SlotClient::new(network.clone(), Arc::clone(arbiter)));
    core.set_slot_leaser(client.clone());
    tasks.spawn(client.confirm_leases());
    tasks.spawn(Arc::clone(arbiter).run_expiry());
}

/// Lets the core keep usage limits, for which other entries grant units here.
fn start_usage(
    core: &Arc<ProxyCore>,
    network: &PeerNetwork,
    own: &Arc<UsageGranter>,
    tasks: &mut JoinSet<()>,
) -> Arc<UsageClient> {
    let client = Arc::new(UsageClient::new(network.clone(), Arc::clone(own)));
    core.set_usage_limiter(client.clone());
    tasks.spawn(Arc::clone(&client).run_reports());
    client
}

/// Lets the core find out where streams have begun.
fn start_origins(
    core: &Arc<ProxyCore>,
    network: &PeerNetwork,
    followed: watch::Receiver<Option<VmId>>,
    tasks: &mut JoinSet<()>,
) -> Arc<OriginClient> {
    let client = Arc::new(OriginClient::new(network.clone(), followed));
    core.set_origin_finder(client.clone());
    tasks.spawn(Arc::clone(&client).run_reports());
    client
}

async fn update_directory(
    directory: Arc<ControlDirectory>,
    mut states: watch::Receiver<SharedState>,
) {
    while states.changed().await.is_ok() {
        let control = states.borrow_and_update().control.clone();
        directory.add(
            control
                .into_iter()
                .filter_map(|vm| Some((vm.clone(), directory.peer_address(&vm)?)))
                .collect(),
        );
    }
}

/// Logs when the control VMs lose the server list, and passes on what other entries have reported.
struct EntryFollower {
    core: Arc<ProxyCore>,
    list_monitor: Mutex<ListMonitor>,
    /// The digest of the last crash reports.
    evidence: AtomicU64,
    followed: watch::Sender<Option<VmId>>,
    usage: Arc<UsageClient>,
    /// The next poll is sent after this time.
    polls_after: Mutex<StdInstant>,
}

impl EntryFollower {
    /// Starts to send the crash reports of the entry to the control VM that it follows.
    fn start(
        core: &Arc<ProxyCore>,
        network: &PeerNetwork,
        usage: &Arc<UsageClient>,
        tasks: &mut JoinSet<()>,
    ) -> Arc<Self> {
        let (followed, followed_watch) = watch::channel(None);
        tasks.spawn(send_own_reports(network.clone(), core.crash_reports(), followed_watch));
        Arc::new(EntryFollower {
            core: Arc::clone(core),
            list_monitor: Mutex::default(),
            evidence: AtomicU64::new(0),
            followed,
            usage: Arc::clone(usage),
            polls_after: Mutex::new(StdInstant::now()),
        })
    }
}

impl EntryFollower {
    /// Records that another poll follows; returns a time before the former one was sent.
    fn begin_poll(&self) -> StdInstant {
        let mut polls_after = self.polls_after.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut polls_after, StdInstant::now())
    }
}

impl FollowerPort for EntryFollower {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Entry
    }

    fn evidence_digest(&self) -> u64 {
        self.evidence.load(Ordering::Relaxed)
    }

    fn limited_services(&self) -> BTreeSet<ServiceId> {
        self.core.limit_reports()
    }

    fn followed(&self, peer: Option<&VmId>) {
        self.begin_poll();
        self.followed.send_replace(peer.cloned());
    }

    fn reply_received(&self, reply: &FollowReply, state: &SharedState) {
        let known = state.fleet.as_ref().map_or(0, |fleet| fleet.servers.len());
        let mut list_monitor = self.list_monitor.lock().unwrap_or_else(PoisonError::into_inner);
        list_monitor.record_confirmation(reply.list_fresh, known);
        if let Some(reports) = &reply.evidence {
            self.evidence.store(evidence_digest(reports), Ordering::Relaxed);
            self.core.dispatcher.notify(PolicyInput::CrashReports(reports.clone()));
        }
        self.core.record_limit_reports(&reply.limited_services);
        let polled = self.begin_poll();
        if reply.fresh {
            self.usage.confirm(polled);
        }
    }
}

/// Starts the core of an entry, which serves requests, without its ports and without a connection
/// to control VMs. Its tasks run until `tasks` is dropped.
pub fn start_core(
    settings: CoreSettings,
    dialect: Arc<dyn WireDialect>,
    tasks: &mut JoinSet<()>,
) -> Arc<ProxyCore> {
    let CoreSettings { vm, failure_domain, objective, disabled, budget } = settings;
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: vm.clone(),
        failure_domain,
        seed: random_seed(),
        disabled,
    });
    let (dispatch_tasks, task_queue) = mpsc::channel(TASK_QUEUE_LENGTH);
    let handle = DispatcherHandle::new(dispatcher, dispatch_tasks, Arc::new(TraceLog::default()));
    let core = ProxyCore::new(ProxyDependencies {
        vm,
        objective,
        dialect,
        dispatcher: Arc::clone(&handle),
        budget,
    });
    let links_handle = Arc::clone(&handle);
    core.pool.links().set_failure_handler(move |failure| {
        links_handle.notify(PolicyInput::LinksFailed(failure));
    });
    tasks.spawn(async move { handle.run_wakeups().await });
    tasks.spawn(log_pauses());
    tasks.spawn(run_dispatch_tasks(Arc::clone(&core), task_queue));
    tasks.spawn(monitor_cache_stores(Arc::clone(&core)));
    core
}

/// Carries out the dispatcher's probes and publishes its crash reports. A cancelled attempt needs no
/// action: its connection is already closed, which its server treats as the cancellation.
async fn run_dispatch_tasks(
    core: Arc<ProxyCore>,
    mut dispatch_tasks: mpsc::Receiver<DispatchTask>,
) {
    while let Some(task) = dispatch_tasks.recv().await {
        match task {
            DispatchTask::Probe { server } => {
                let core = Arc::clone(&core);
                tokio::spawn(async move { core.probe(server).await });
            }
            DispatchTask::Publish(digest) => core.publish_crash_reports(digest.suspects),
            DispatchTask::Cancel { .. } => {}
        }
    }
}

async fn serve_readiness(
    settings: &EntrySettings,
    core: Arc<ProxyCore>,
    stopping: Arc<AtomicBool>,
) -> Result<impl Future<Output = ()> + use<>, NodeError> {
    let path = settings.readiness_path.clone();
    let budget = settings.budget.clone();
    let server = serve_health_page(settings.readiness_listen, budget, move |request| {
        if request.uri().path() != path || request.method() != Method::GET {
            return (StatusCode::NOT_FOUND, "unknown path; use the readiness path\n".to_owned());
        }
        let view = core.view();
        let has_state = view.index.is_some() && !view.servers.is_empty();
        match has_state && !stopping.load(Ordering::SeqCst) {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    });
    let task = server.await.map_err(|reason| NodeError::Listen {
        purpose: "readiness",
        address: settings.readiness_listen,
        reason,
    })?;
    Ok(async move {
        // The task runs until the process ends.
        let _ = task.await;
    })
}
