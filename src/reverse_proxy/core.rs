//! State that is shared by all requests of a proxy process.

use {
    super::{
        dialect::{ResponseHead, ResponseVerdict, ResumedStream, WireDialect},
        pool::ConnectionPool,
        recheck::RecheckList,
        rejection_limits::{LimitChange, RejectionLimits},
        reported_weights::WeightsReports,
        server_demands::DemandTable,
        shared_machines::SharedMachines,
        slot_lease::{LeaseFailure, SlotDemand, SlotLease, SlotLeaser},
        stream_origin::{OriginFinder, ResumeTarget},
        usage_limit::{CapExceeded, UsageCharge, UsageLimiter},
        view::{ProxyView, qualified_model},
    },
    crate::{
        follow::stream_origins::StreamOrigin,
        ids::{
            Incarnation, ModelId, OrganisationId, RequestId, ServerId, ServiceId, VmId,
            WeightsNumber,
        },
        inventory::DecisionObjective,
        observe::{events, metrics::WORK_TIME},
        pipeline::{DispatcherHandle, DrainGate, caller_budget::CallerBudget},
        policy::{
            LoadReport, PolicyInput,
            pacing::ServerPace,
            slot_leases::{LeaseDemand, choose_servers},
            store_choice::choose_store,
            suspect::CrashReport,
        },
    },
    arc_swap::ArcSwap,
    http::StatusCode,
    metrics::histogram,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, OnceLock, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::sync::watch,
};

/// Fractional part of the golden ratio. The fractional parts of its successive multiples are evenly
/// distributed over 0 to 1, so that a traffic split is accurate after a few requests.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Objects that a [`ProxyCore`] depends on.
pub struct ProxyDependencies {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// What the placement of requests optimises.
    pub objective: DecisionObjective,
    /// The header format of the deployment.
    pub dialect: Arc<dyn WireDialect>,
    /// The dispatcher that places requests on backend servers.
    pub dispatcher: Arc<DispatcherHandle>,
    /// What the process holds for its callers.
    pub budget: CallerBudget,
}

/// State that is shared by all requests of a proxy process.
pub struct ProxyCore {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The header format of the deployment.
    pub dialect: Arc<dyn WireDialect>,
    /// The dispatcher that places requests on backend servers.
    pub dispatcher: Arc<DispatcherHandle>,
    /// Pooled connections to backend servers.
    pub pool: ConnectionPool,
    /// What the process holds for its callers.
    pub budget: CallerBudget,
    /// Admits requests until the process drains.
    pub gate: DrainGate,
    /// Servers that are being probed after a connection failure.
    pub recheck: RecheckList,
    /// The reachable ones of the engines' shared cache stores; the configuration bounds their number.
    reachable_stores: Mutex<BTreeSet<SocketAddr>>,
    objective: DecisionObjective,
    view: ArcSwap<ProxyView>,
    /// Held while the view is replaced, so that none is replaced by an older one.
    applying: Mutex<()>,
    /// What responses have reported, by server of the view.
    reported_weights: WeightsReports,
    /// The incarnation and the limit of servers of the view that have named one.
    limits: Mutex<BTreeMap<ServerId, (Incarnation, f64)>>,
    /// What servers of the view ask for.
    demands: DemandTable,
    /// The services whose servers end if they have to reject too many requests.
    rejection_limits: RejectionLimits,
    /// The services whose servers share their machines with others.
    shared_machines: SharedMachines,
    slot_leaser: OnceLock<Arc<dyn SlotLeaser>>,
    origin_finder: OnceLock<Arc<dyn OriginFinder>>,
    usage_limiter: OnceLock<Arc<dyn UsageLimiter>>,
    split_counter: AtomicU64,
    /// The dispatcher's reports on crashes, repeated while there are any.
    crash_reports: watch::Sender<Vec<CrashReport>>,
}

impl ProxyCore {
    /// Creates a core with an empty view.
    pub fn new(dependencies: ProxyDependencies) -> Arc<Self> {
        let ProxyDependencies { vm, objective, dialect, dispatcher, budget } = dependencies;
        Arc::new(ProxyCore {
            vm,
            dialect,
            dispatcher,
            pool: ConnectionPool::default(),
            budget,
            gate: DrainGate::default(),
            recheck: RecheckList::default(),
            reachable_stores: Mutex::default(),
            objective,
            view: ArcSwap::default(),
            applying: Mutex::default(),
            reported_weights: WeightsReports::default(),
            limits: Mutex::default(),
            demands: DemandTable::default(),
            rejection_limits: RejectionLimits::default(),
            shared_machines: SharedMachines::default(),
            slot_leaser: OnceLock::new(),
            origin_finder: OnceLock::new(),
            usage_limiter: OnceLock::new(),
            split_counter: AtomicU64::new(0),
            crash_reports: watch::channel(Vec::new()).0,
        })
    }

    /// The dispatcher's reports on crashes for other daemons.
    pub fn crash_reports(&self) -> watch::Receiver<Vec<CrashReport>> {
        self.crash_reports.subscribe()
    }

    /// Publishes the dispatcher's reports on crashes.
    pub fn publish_crash_reports(&self, reports: Vec<CrashReport>) {
        if !reports.is_empty() {
            self.crash_reports.send_replace(reports);
        }
    }

    /// The current view.
    pub fn view(&self) -> Arc<ProxyView> {
        self.view.load_full()
    }

    /// Replaces the view and passes the changes to the dispatcher.
    pub fn apply(&self, view: ProxyView) {
        let _applying = self.lock_view();
        self.replace_view(view);
    }

    /// Applies the present view again, since the use of its servers has changed.
    fn reapply(&self) {
        let _applying = self.lock_view();
        self.replace_view(ProxyView::clone(&self.view()));
    }

    fn replace_view(&self, mut view: ProxyView) {
        let former = self.view();
        view.set_aside = self.set_aside(&view);
        let inputs = view.inputs(&self.vm, self.objective, &former);
        let used: BTreeSet<_> = view.servers.values().map(|server| server.address).collect();
        self.reported_weights.retain(|server| view.servers.contains_key(server));
        self.recheck.retain(|server| view.servers.contains_key(server));
        self.lock_limits().retain(|server, _| view.servers.contains_key(server));
        self.demands.retain(Instant::now(), |server| view.servers.contains_key(server));
        self.rejection_limits.retain(|service| view.is_routed(service));
        self.shared_machines.retain(|service| view.is_routed(service));
        self.pool.links().set_listed(view.servers.len());
        self.view.store(Arc::new(view));
        self.dispatcher.notify_all(inputs);
        self.notify_store_link();
        self.pool.close_unused(&used);
    }

    /// Reports the health of a server as it is listed now. What was listed before a check of the server must
    /// not replace a later report.
    pub(super) fn report_health(&self, server: &ServerId) {
        let _applying = self.lock_view();
        let view = self.view();
        if let Some(listed) = view.servers.get(server) {
            self.dispatcher.notify(view.health_input(listed));
        }
    }

    fn lock_view(&self) -> std::sync::MutexGuard<'_, ()> {
        self.applying.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets whether one of the engines' shared cache stores is reachable.
    pub fn set_store_reachable(&self, store: SocketAddr, reachable: bool) {
        let mut stores = self.lock_stores();
        match reachable {
            true => stores.insert(store),
            false => stores.remove(&store),
        };
        drop(stores);
        self.notify_store_link();
    }

    /// The engines' shared cache stores that are used, each with this process's share of its link rate in
    /// tokens per second: all of them where servers share their machines or organisations' use is limited, and
    /// otherwise one.
    pub fn cache_stores(&self) -> BTreeMap<SocketAddr, f64> {
        let view = self.view();
        let mut stores = view.cache_stores();
        if !self.shared_machines.is_any() && !view.limits_use() {
            let first = view.first_cache_store();
            stores.retain(|store, _| Some(*store) == first);
        }
        stores
    }

    /// The cache store that holds the prompts with this prefix, by its hash: each daemon chooses the same
    /// one. `None` if no store is reachable.
    pub fn store_address(&self, prefix: u64) -> Option<SocketAddr> {
        let reachable = self.lock_stores().clone();
        let stores = self.cache_stores().into_keys().filter(|store| reachable.contains(store));
        choose_store(prefix, stores)
    }

    fn notify_store_link(&self) {
        let reachable = self.lock_stores().clone();
        let stores = self.cache_stores().into_iter();
        let rates = stores.filter(|(store, _)| reachable.contains(store)).map(|(_, rate)| rate);
        let rate = rates.reduce(|sum, rate| sum + rate);
        self.dispatcher.notify(PolicyInput::CacheStoreLink { rate });
    }

    fn lock_stores(&self) -> std::sync::MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.reachable_stores.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of a server; `None` if the server is not listed.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.view().servers.get(server).map(|listed| listed.address)
    }

    /// The next number of an evenly distributed sequence in 0 to 1, for splitting traffic by
    /// weight.
    pub fn next_split_value(&self) -> f64 {
        let count = self.split_counter.fetch_add(1, Ordering::Relaxed);
        (count as f64 * GOLDEN_RATIO_FRACTION).fract()
    }

    /// Records the weights and the load that the head of a response reports for its server.
    pub fn record_response(&self, server: &ServerId, model: Option<&ModelId>, head: &ResponseHead) {
        let view = self.view();
        let Some(listed) = view.servers.get(server) else { return };
        if let (Some(model), Some(version)) = (model, head.weights) {
            self.reported_weights.set(listed, model, version);
        }
        if let Some(ratio) = head.work_time {
            histogram!(WORK_TIME, "service" => listed.service.clone()).record(ratio);
            self.dispatcher.notify(PolicyInput::WorkTime { server: server.clone(), ratio });
        }
        let Some((running, waiting)) = head.load else { return };
        let weights = listed.weights.iter().map(|(model, listed_version)| {
            let version = self.server_weights(server, &listed.service, Some(model));
            let version = version.unwrap_or(*listed_version);
            (qualified_model(&listed.service, model), version.to_string())
        });
        self.dispatcher.notify(PolicyInput::Load(LoadReport {
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

    /// Reports that a server responded to a request that was sent at `sent`, if a connection to it
    /// has broken before.
    pub fn record_identity(&self, server: &ServerId, sent: Instant) {
        if !self.recheck.identify(server, sent) {
            return;
        }
        let view = self.view();
        let Some(listed) = view.servers.get(server) else { return };
        self.dispatcher.notify(PolicyInput::ServerIdentified {
            server: server.clone(),
            incarnation: listed.incarnation,
            sent,
        });
    }

    /// Reports a change of the limit that a server names. Only the response to a request that was
    /// executed shows that it has none; a refusal may omit it.
    pub fn record_limit(&self, server: &ServerId, head: &ResponseHead) {
        let view = self.view();
        let Some(incarnation) = view.servers.get(server).map(|listed| listed.incarnation) else {
            return;
        };
        let mut limits = self.lock_limits();
        let known = limits.get(server).copied();
        let is_executed = head.verdict == ResponseVerdict::Executed;
        match head.limit {
            Some(limit) if ServerPace::is_valid(limit) && known != Some((incarnation, limit)) => {
                limits.insert(server.clone(), (incarnation, limit));
            }
            None if is_executed && known.is_some() => {
                limits.remove(server);
            }
            _ => return,
        }
        drop(limits);
        self.dispatcher
            .notify(PolicyInput::ServerLimit { server: server.clone(), limit: head.limit });
    }

    /// Records what a server asks for in its response to a request that was sent at `sent`: not to be used
    /// for a while, if it rejects requests, or not any more, since it leaves.
    pub fn record_demand(
        &self,
        server: &ServerId,
        sent: Instant,
        status: StatusCode,
        head: &ResponseHead,
    ) {
        let view = self.view();
        let Some(listed) = view.servers.get(server) else { return };
        let (now, incarnation) = (Instant::now(), listed.incarnation);
        let rejects = status == StatusCode::SERVICE_UNAVAILABLE
            && head.verdict == ResponseVerdict::NotExecuted;
        let rest = head.retry_after.filter(|_| rejects);
        if let Some(delay) = rest.filter(|delay| !delay.is_zero()) {
            self.demands.record_rest(now, server, incarnation, delay);
            self.dispatcher.notify(PolicyInput::ServerRest { server: server.clone(), delay });
        }
        let change = self.demands.record_leaving(now, server, incarnation, sent, head.leaving);
        if let Some(leaving) = change {
            let event = if leaving { events::SERVER_LEAVES } else { events::SERVER_STAYS };
            log::info!(server = server.as_str(); "{event}");
            self.dispatcher.notify(PolicyInput::ServerLeaving { server: server.clone(), leaving });
        }
    }

    /// Whether a server may be used now, by requests, health checks or tunnels: it has neither asked not to
    /// be used nor said that it leaves.
    pub fn accepts_calls(&self, server: &ServerId) -> bool {
        self.view().servers.get(server).is_none_or(|listed| {
            self.demands.accepts_calls(Instant::now(), server, listed.incarnation)
        })
    }

    /// Records whether a server of the service, in its response to a request that was sent at `sent`,
    /// names the rejections after which it ends.
    pub fn record_rejection_limit(&self, service: &ServiceId, sent: Instant, head: &ResponseHead) {
        let executed = head.verdict == ResponseVerdict::Executed;
        let (now, limit) = (Instant::now(), head.rejection_limit);
        let change = self.rejection_limits.record(now, service, sent, limit, executed);
        self.apply_limit_change(service, change);
    }

    /// Records whether a server of the service, in its response to a request that was sent at `sent`, says
    /// that it shares its machine with others.
    pub fn record_sharing(&self, service: &ServiceId, sent: Instant, head: &ResponseHead) {
        let executed = head.verdict == ResponseVerdict::Executed;
        let (now, is_shared) = (Instant::now(), head.work_time.is_some());
        match self.shared_machines.record(now, service, sent, is_shared, executed) {
            Some(true) => log::info!(service = service.as_str(); "{}", events::MACHINES_SHARED),
            Some(false) => log::info!(service = service.as_str(); "{}", events::MACHINES_UNSHARED),
            None => {}
        }
    }

    /// Records the services whose servers have named such a limit to other daemons.
    pub fn record_limit_reports(&self, services: &BTreeSet<ServiceId>) {
        let view = self.view();
        for service in services.iter().filter(|service| view.is_routed(service)) {
            let change = self.rejection_limits.record_report(Instant::now(), service);
            self.apply_limit_change(service, change);
        }
    }

    /// The services whose servers have just named such a limit to this daemon.
    pub fn limit_reports(&self) -> BTreeSet<ServiceId> {
        self.rejection_limits.reports(Instant::now())
    }

    fn apply_limit_change(&self, service: &ServiceId, change: Option<LimitChange>) {
        match change {
            Some(LimitChange::Named(limit)) => {
                log::info!(service = service.as_str(), limit = limit;
                    "{}", events::REJECTIONS_LIMITED);
            }
            Some(LimitChange::Reported) => {
                log::info!(service = service.as_str(); "{}", events::REJECTIONS_LIMITED);
            }
            Some(LimitChange::Ended) => {
                log::info!(service = service.as_str(); "{}", events::REJECTIONS_UNLIMITED);
            }
            None => return,
        }
        self.reapply();
    }

    /// The servers that this daemon sets aside while the slots of their service are leased.
    fn set_aside(&self, view: &ProxyView) -> BTreeSet<ServerId> {
        let mut services: BTreeMap<&ServiceId, Vec<&ServerId>> = BTreeMap::new();
        for server in view.servers.values() {
            services.entry(&server.service).or_default().push(&server.id);
        }
        let now = Instant::now();
        services.retain(|service, _| self.rejection_limits.is_limited(now, service));
        let unused = services.into_values().flat_map(|servers| {
            let used = choose_servers(&self.vm, servers.iter().copied());
            servers.into_iter().filter(move |server| !used.contains(*server))
        });
        unused.cloned().collect()
    }

    /// Whether the servers of a service end if they have to reject too many requests.
    pub fn limits_rejections(&self, service: &ServiceId) -> bool {
        self.rejection_limits.is_limited(Instant::now(), service)
    }

    /// Whether requests to the servers of a service need leases of their slots.
    pub fn leases_slots(&self, service: &ServiceId) -> bool {
        self.is_contended(service) || self.limits_rejections(service)
    }

    /// Whether the servers of a service share their machines with others, so that no entry knows by itself
    /// what fits into them.
    pub fn is_contended(&self, service: &ServiceId) -> bool {
        self.shared_machines.contains(service)
    }

    /// Sets how the origins of streams are known; without it a resumed stream goes on at any server. A
    /// second call has no effect.
    pub fn set_origin_finder(&self, finder: Arc<dyn OriginFinder>) {
        if self.origin_finder.set(finder).is_err() {
            log::error!("the origin finder was set twice");
        }
    }

    /// Records that the stream which `request` has begun goes on at this origin.
    pub fn record_origin(&self, request: &RequestId, origin: StreamOrigin) {
        if let Some(finder) = self.origin_finder.get() {
            finder.record(request, origin);
        }
    }

    /// Finds out where a stream can go on that is resumed by a request to `service`.
    pub async fn find_origin(&self, service: &ServiceId, resumed: &ResumedStream) -> ResumeTarget {
        match self.origin_finder.get() {
            Some(finder) => Arc::clone(finder).find(service.clone(), resumed.clone()).await,
            None => ResumeTarget::AnyServer,
        }
    }

    /// Sets how slots are leased; without it none are. A second call has no effect.
    pub fn set_slot_leaser(&self, leaser: Arc<dyn SlotLeaser>) {
        if self.slot_leaser.set(leaser).is_err() {
            log::error!("the slot leaser was set twice");
        }
    }

    /// Leases a slot of a server for a request; `None` if the server's service needs no leases.
    ///
    /// # Errors
    /// As [`SlotLeaser::lease`].
    pub async fn lease_slot(
        &self,
        server: &ServerId,
        demand: LeaseDemand,
    ) -> Result<Option<SlotLease>, LeaseFailure> {
        let view = self.view();
        let Some(listed) = view.servers.get(server) else { return Ok(None) };
        let is_leased = self.leases_slots(&listed.service);
        let Some(leaser) = self.slot_leaser.get().filter(|_| is_leased) else { return Ok(None) };
        let demand = SlotDemand {
            server: server.clone(),
            arbiter: listed.arbiter.clone(),
            demand,
            share: view.slot_share(&listed.service),
        };
        match Arc::clone(leaser).lease(demand).await {
            // A server that ends by rejections must not be sent to. Others are used as if none were leased.
            Err(LeaseFailure::Unavailable) if !self.limits_rejections(&listed.service) => Ok(None),
            leased => leased.map(Some),
        }
    }

    /// Sets how usage limits are kept; without it they are not. A second call has no effect.
    pub fn set_usage_limiter(&self, limiter: Arc<dyn UsageLimiter>) {
        if self.usage_limiter.set(limiter).is_err() {
            log::error!("the usage limiter was set twice");
        }
    }

    /// Pays for a request of an organisation with a cap. `None` if nothing limits it any more.
    ///
    /// # Errors
    /// As [`UsageLimiter::acquire`].
    pub async fn acquire_usage(
        &self,
        organisation: &OrganisationId,
        cost: f64,
    ) -> Result<Option<UsageCharge>, CapExceeded> {
        match self.usage_limiter.get() {
            Some(limiter) => Arc::clone(limiter).acquire(organisation.clone(), cost).await,
            None => Ok(None),
        }
    }

    fn lock_limits(&self) -> std::sync::MutexGuard<'_, BTreeMap<ServerId, (Incarnation, f64)>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The weights of a server according to the server list and to its responses. The newer of both
    /// applies, because a server never returns to older weights within an incarnation.
    pub fn server_weights(
        &self,
        server: &ServerId,
        service: &ServiceId,
        model: Option<&ModelId>,
    ) -> Option<WeightsNumber> {
        let view = self.view();
        let listed = view.servers.get(server).filter(|listed| listed.service == *service)?;
        let model = model?;
        listed.weights.get(model).copied().max(self.reported_weights.get(listed, model))
    }

    /// Records that a server has stated that it runs other weights of `model` than `expected`. Returns whether
    /// requests may be sent to it nevertheless: it has probably loaded the newest announced weights, which
    /// the server list does not name yet, and refuses a request again if it has not.
    pub fn record_other_weights(
        &self,
        server: &ServerId,
        model: Option<&ModelId>,
        expected: Option<WeightsNumber>,
    ) -> bool {
        let view = self.view();
        let (Some(listed), Some(model)) = (view.servers.get(server), model) else { return false };
        let newest = view.named.get(model).copied();
        match newest.filter(|newest| expected.is_some_and(|expected| expected < *newest)) {
            Some(newest) => {
                self.reported_weights.set(listed, model, newest);
                true
            }
            None => {
                self.reported_weights.remove(server, model);
                false
            }
        }
    }
}
