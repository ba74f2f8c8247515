//! What all requests of one daemon share.

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

/// A configuration with the look-ups that each request needs, made once a revision.
#[derive(Debug, Default)]
pub struct ServingConfig {
    /// The configuration.
    pub config: Arc<ActiveConfig>,
    /// Organisations by key.
    pub keys: KeyIndex,
    /// Rules by organisation.
    pub rules: BTreeMap<OrganisationId, OrganisationRule>,
    /// Addresses of backend servers.
    pub addresses: BTreeMap<ServerId, SocketAddr>,
    /// What the dispatcher needs.
    pub view: Arc<PolicyView>,
}

impl ServingConfig {
    /// The look-ups of `config`.
    pub fn new(config: Arc<ActiveConfig>) -> Self {
        let register = &config.register;
        let rules =
            config.rules.organisations.iter().map(|rule| (rule.organisation.clone(), rule.clone()));
        ServingConfig {
            keys: KeyIndex::new(register),
            rules: rules.collect(),
            addresses: register.servers.iter().map(|one| (one.id.clone(), one.address)).collect(),
            view: Arc::new(policy_view(&config)),
            config,
        }
    }
}

fn policy_view(config: &ActiveConfig) -> PolicyView {
    let register = &config.register;
    let servers =
        register.servers.iter().filter(|one| one.kind != ServerKind::PromptKeep).map(|one| {
            let view = ServerView {
                failure_domain: one.failure_domain.clone(),
                kind: one.kind,
                models: one.models.clone(),
                service: one.service.clone(),
                slots: one.slots,
            };
            (one.id.clone(), view)
        });
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
        weights: register.models.iter().map(|one| (one.id.clone(), one.weights.clone())).collect(),
    }
}

/// What a core is made of.
pub struct CoreParts {
    /// The VM.
    pub vm: VmId,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// The dispatcher.
    pub dispatcher: Arc<DispatcherHandle>,
    /// The replicated state.
    pub control: Arc<dyn ControlPort>,
    /// Requests in flight.
    pub gate: DrainGate,
    /// Recent requests.
    pub trace: Arc<TraceLog>,
}

/// What all requests of one daemon share.
pub struct PipelineCore {
    /// The VM.
    pub vm: VmId,
    /// This life of the daemon; a restart is another holder of claims.
    pub incarnation: Incarnation,
    /// The dispatcher.
    pub dispatcher: Arc<DispatcherHandle>,
    /// The replicated state.
    pub control: Arc<dyn ControlPort>,
    /// Requests in flight.
    pub gate: DrainGate,
    /// Recent requests.
    pub trace: Arc<TraceLog>,
    /// Who uses this daemon.
    pub usage: Arc<UsageTracker>,
    /// Non-repeatable calls that this daemon runs now.
    pub claims: ActiveClaims,
    serving: ArcSwap<ServingConfig>,
    requests: AtomicU64,
}

impl PipelineCore {
    /// A core without a configuration.
    pub fn new(parts: CoreParts) -> Arc<Self> {
        let CoreParts { vm, incarnation, dispatcher, control, gate, trace } = parts;
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
            requests: AtomicU64::new(0),
        })
    }

    /// Puts a configuration in force; an older one than the present is ignored.
    pub fn configure(&self, config: Arc<ActiveConfig>) {
        if config.revision < self.serving().config.revision {
            return;
        }
        let serving = ServingConfig::new(config);
        let view = Arc::clone(&serving.view);
        self.serving.store(Arc::new(serving));
        self.dispatcher.notify(PolicyInput::Configure(view));
    }

    /// The configuration in force.
    pub fn serving(&self) -> Arc<ServingConfig> {
        self.serving.load_full()
    }

    /// The address of a backend server; `None` if the register lost it since the decision.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.serving().addresses.get(server).copied()
    }

    /// An id for a new request: the VM's name, then its life, then a count.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{count}", self.vm, self.incarnation)
    }
}
