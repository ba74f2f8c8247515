//! State that is shared by all requests of a daemon.

use {
    super::{
        DispatcherHandle, DrainGate, TraceLog, UsageTracker, deduplicate::ActiveClaims,
        identify::KeyIndex,
    },
    crate::{
        daemon::ControlPort,
        ids::{Incarnation, OrganisationId, RequestId, ServerId, VmId},
        inventory::{ActiveConfig, OrganisationRule, ServerKind},
        policy::{PolicyInput, PolicyView, ServerView},
    },
    arc_swap::ArcSwap,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// A configuration with the lookup tables that each request needs, built once per revision.
#[derive(Debug, Default)]
pub struct ServingConfig {
    /// The configuration that the lookup tables are built from.
    pub config: Arc<ActiveConfig>,
    /// Organisations by the digest of their API keys.
    pub keys: KeyIndex,
    /// Access rules by organisation.
    pub rules: BTreeMap<OrganisationId, OrganisationRule>,
    /// Addresses of backend servers.
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    /// The part of the configuration that the dispatcher uses.
    pub view: Arc<PolicyView>,
}

impl ServingConfig {
    /// Builds the lookup tables of `config`.
    pub fn new(config: Arc<ActiveConfig>) -> Self {
        let register = &config.register;
        let rules =
            config.rules.organisations.iter().map(|rule| (rule.organisation.clone(), rule.clone()));
        ServingConfig {
            keys: KeyIndex::new(register),
            rules: rules.collect(),
            addresses: register
                .servers
                .iter()
                .map(|server| (server.id.clone(), server.address))
                .collect(),
            view: Arc::new(policy_view(&config)),
            config,
        }
    }
}

fn policy_view(config: &ActiveConfig) -> PolicyView {
    let register = &config.register;
    let servers =
        register.servers.iter().filter(|server| server.kind != ServerKind::CacheStore).map(
            |server| {
                let view = ServerView {
                    failure_domain: server.failure_domain.clone(),
                    kind: server.kind,
                    models: server.models.clone(),
                    service: server.service.clone(),
                    slots: server.slots,
                    software: server.software.clone(),
                };
                (server.id.clone(), view)
            },
        );
    let mut daemons: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
    register.vms.iter().for_each(|vm| {
        let domain = daemons.entry(vm.failure_domain.clone()).or_default();
        domain.insert(vm.id.clone(), vm.capacity);
    });
    PolicyView {
        revision: config.revision,
        objective: config.rules.objective,
        servers: servers.collect(),
        shares: config
            .rules
            .organisations
            .iter()
            .filter(|rule| rule.weight != 1.0)
            .map(|rule| (rule.organisation.clone(), rule.weight))
            .collect(),
        daemons,
        weights: register
            .models
            .iter()
            .map(|model| (model.id.clone(), model.weights.clone()))
            .collect(),
        begin_limits: BTreeMap::new(),
        model_services: BTreeMap::new(),
    }
}

/// Objects that a [`PipelineCore`] depends on.
pub struct CoreDependencies {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// The incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// The dispatcher that places requests on backend servers.
    pub dispatcher: Arc<DispatcherHandle>,
    /// Access to the replicated control state.
    pub control: Arc<dyn ControlPort>,
    /// Admits requests until the daemon drains.
    pub gate: DrainGate,
    /// The decisions made for recent requests.
    pub trace: Arc<TraceLog>,
}

/// State that is shared by all requests of a daemon.
pub struct PipelineCore {
    /// The VM that the daemon runs on.
    pub vm: VmId,
    /// The incarnation of the daemon process; each incarnation is a claim holder of its own.
    pub incarnation: Incarnation,
    /// The dispatcher that places requests on backend servers.
    pub dispatcher: Arc<DispatcherHandle>,
    /// Access to the replicated control state.
    pub control: Arc<dyn ControlPort>,
    /// Admits requests until the daemon drains.
    pub gate: DrainGate,
    /// The decisions made for recent requests.
    pub trace: Arc<TraceLog>,
    /// Usage counts by organisation and backend server.
    pub usage: Arc<UsageTracker>,
    /// The non-repeatable calls that this daemon has claimed and not settled yet.
    pub claims: ActiveClaims,
    serving: ArcSwap<ServingConfig>,
    request_counter: AtomicU64,
}

impl PipelineCore {
    /// Creates a core with an empty configuration of revision 0.
    pub fn new(dependencies: CoreDependencies) -> Arc<Self> {
        let CoreDependencies { vm, incarnation, dispatcher, control, gate, trace } = dependencies;
        Arc::new(PipelineCore {
            vm,
            incarnation,
            dispatcher,
            control,
            gate,
            trace,
            usage: Arc::default(),
            claims: ActiveClaims::new(incarnation),
            serving: ArcSwap::default(),
            request_counter: AtomicU64::new(0),
        })
    }

    /// Applies a configuration, unless its revision is lower than the current one.
    pub fn configure(&self, config: Arc<ActiveConfig>) {
        if config.revision < self.serving().config.revision {
            return;
        }
        let serving = ServingConfig::new(config);
        let view = Arc::clone(&serving.view);
        self.serving.store(Arc::new(serving));
        self.dispatcher.notify(PolicyInput::Configure(view));
    }

    /// The current configuration.
    pub fn serving(&self) -> Arc<ServingConfig> {
        self.serving.load_full()
    }

    /// The address of a backend server; `None` if the register no longer contains it.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.serving().addresses.get(server).copied()
    }

    /// Generates a request id from the VM name, the incarnation and a counter.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.request_counter.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{count}", self.vm, self.incarnation)
    }
}
