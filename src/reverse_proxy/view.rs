//! View of the shared state for requests and the dispatcher, rebuilt on each change.

use {
    crate::{
        control::document::NamedWeights,
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        follow::VersionTimes,
        ids::{ModelId, ServerId, ServiceId, SoftwareVersion, VmId, WeightsNumber, WeightsVersion},
        inventory::{DecisionObjective, ServerKind},
        policy::{LoadReport, PolicyInput, PolicyView, ServerHealth, ServerView},
        routing::RouteIndex,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        ops::Bound::{Excluded, Unbounded},
        sync::Arc,
        time::Instant,
    },
};

/// Share of a service's connection limit that all daemons use together. The rest is left for probes
/// and for closed connections that a server has not detected yet.
const CONNECTION_SHARE: f64 = 0.9;
/// Factor by which an import from another failure domain takes longer.
const REMOTE_FETCH_FACTOR: f64 = 2.0;
/// Number of connections that a daemon may always open to a server.
const MIN_CONNECTIONS: u32 = 2;

/// The shared state as used by a proxy process.
#[derive(Clone, Debug, Default)]
pub struct ProxyView {
    /// The routes; `None` until a routing table has been received.
    pub index: Option<Arc<RouteIndex>>,
    /// The backend servers of all routed services.
    pub servers: BTreeMap<ServerId, ListedServer>,
    /// The newest weights that operators have announced, by model.
    pub named: NamedWeights,
    /// Until when requests may begin on older weights than each announced version, by model.
    pub begin_limits: BTreeMap<ModelId, VersionTimes>,
    /// Models of which a server's weights are too old for new requests while other servers have newer ones.
    pub outdated: BTreeSet<(ServerId, ModelId)>,
    /// Servers that get requests only while no other server can take them, since their slots are leased
    /// to other daemons.
    pub set_aside: BTreeSet<ServerId>,
    /// Number of proxy processes that share the servers; at least 1.
    pub proxy_count: u32,
}

/// Qualifies a model name with its service, because servers of one service never run requests of
/// another one, not even for a model of the same name.
pub fn qualified_model(service: &ServiceId, model: &ModelId) -> ModelId {
    format!("{service}/{model}")
}

impl ProxyView {
    /// Builds a view from the routes, the server list, the announced weights, and the `required`
    /// weights, which were announced so long ago that new requests must not run on older ones.
    pub fn new(
        index: Option<Arc<RouteIndex>>,
        fleet: &FleetSnapshot,
        named: &NamedWeights,
        required: &NamedWeights,
        proxy_count: u32,
    ) -> Self {
        let Some(index) = index else { return ProxyView { proxy_count, ..ProxyView::default() } };
        let routed: BTreeSet<&ServiceId> = index
            .table
            .routes
            .iter()
            .flat_map(|route| route.services.iter().map(|(service, _)| service))
            .collect();
        let servers: BTreeMap<ServerId, ListedServer> = fleet
            .servers
            .iter()
            .filter(|server| routed.contains(&server.service))
            .map(|server| (server.id.clone(), server.clone()))
            .collect();
        let outdated = outdated(&servers, required);
        ProxyView {
            index: Some(index),
            servers,
            named: named.clone(),
            begin_limits: BTreeMap::new(),
            outdated,
            set_aside: BTreeSet::new(),
            proxy_count: proxy_count.max(1),
        }
    }

    /// The same view with limits for requests to begin on older weights.
    pub fn with_begin_limits(self, begin_limits: BTreeMap<ModelId, VersionTimes>) -> Self {
        ProxyView { begin_limits, ..self }
    }

    /// Until when requests may begin on weights of a model; `None` if no newer ones are announced.
    fn begin_limit(&self, model: &ModelId, version: WeightsNumber) -> Option<Instant> {
        let mut later = self.begin_limits.get(model)?.range((Excluded(version), Unbounded));
        later.next().map(|(_, limit)| *limit)
    }

    /// The oldest weights on which a request may begin at `now`; `None` if all are allowed.
    pub fn oldest_weights(&self, now: Instant, model: &ModelId) -> Option<WeightsNumber> {
        let mut limits = self.begin_limits.get(model)?.iter().rev();
        limits.find(|(_, limit)| **limit <= now).map(|(version, _)| *version)
    }

    /// The limits of all weights that servers have or may have reported, by qualified model.
    fn policy_limits(&self) -> BTreeMap<ModelId, BTreeMap<WeightsVersion, Instant>> {
        let listed = self.servers.values().flat_map(|server| {
            server.weights.iter().map(|(model, version)| (&server.service, model, *version))
        });
        let announced = self.models().into_iter().flat_map(|(service, model)| {
            let versions = self.begin_limits.get(model).into_iter().flat_map(BTreeMap::keys);
            versions.map(move |version| (service, model, *version))
        });
        let mut limits: BTreeMap<ModelId, BTreeMap<WeightsVersion, Instant>> = BTreeMap::new();
        for (service, model, version) in listed.chain(announced) {
            if let Some(limit) = self.begin_limit(model, version) {
                let known = limits.entry(qualified_model(service, model)).or_default();
                known.insert(version.to_string(), limit);
            }
        }
        limits
    }

    /// Whether the service's servers run models.
    pub fn is_engine(&self, service: &ServiceId) -> bool {
        let rule = self.index.as_ref().and_then(|index| index.table.services.get(service));
        rule.is_some_and(|rule| rule.engine.is_some())
    }

    /// Whether the configuration limits what organisations may use.
    pub fn limits_use(&self) -> bool {
        self.index.as_ref().is_some_and(|index| index.limits_use)
    }

    /// Tokens that fit into the memory of a server of the service; `None` if it runs no models, or if
    /// that is not configured.
    pub fn engine_memory(&self, service: &ServiceId) -> Option<u64> {
        let rule = self.index.as_ref()?.table.services.get(service)?;
        rule.engine.as_ref().map(|engine| engine.cache_tokens).filter(|tokens| *tokens > 0)
    }

    /// Whether the configuration lists the service.
    pub fn is_routed(&self, service: &ServiceId) -> bool {
        self.index.as_ref().is_some_and(|index| index.table.services.contains_key(service))
    }

    /// The path of the health check of a service's servers, `/` if none is configured.
    pub fn health_path(&self, service: &ServiceId) -> &str {
        let rule = self.index.as_ref().and_then(|index| index.table.services.get(service));
        rule.and_then(|rule| rule.health_path.as_deref()).unwrap_or("/")
    }

    fn newest_weights(&self) -> BTreeMap<ModelId, WeightsVersion> {
        let models = self.models().into_iter();
        models
            .filter_map(|(id, model)| {
                Some((qualified_model(id, model), self.named.get(model)?.to_string()))
            })
            .collect()
    }

    /// The configured models, each with its service.
    fn models(&self) -> Vec<(&ServiceId, &ModelId)> {
        let Some(index) = &self.index else { return Vec::new() };
        let services = index.table.services.iter();
        let engines = services.filter_map(|(id, rule)| Some((id, rule.engine.as_ref()?)));
        engines
            .flat_map(|(id, engine)| engine.models.iter().map(move |model| (id, model)))
            .collect()
    }

    /// Rate in tokens per second at which engines import from engines of other failure domains.
    fn fetch_rate(&self) -> Option<f64> {
        let services = self.index.as_ref()?.table.services.values();
        let rates = services.filter_map(|rule| rule.engine.as_ref()?.fetch_rate);
        rates.min_by(f64::total_cmp).map(|rate| rate / REMOTE_FETCH_FACTOR)
    }

    /// The addresses of the engines' shared cache stores, each with this process's share of its link rate in
    /// tokens per second.
    pub fn cache_stores(&self) -> BTreeMap<SocketAddr, f64> {
        let services = || self.index.iter().flat_map(|index| index.table.services.values());
        let token = services().find_map(|rule| rule.engine.as_ref()?.token_bytes);
        let Some(token) = token else { return BTreeMap::new() };
        let share = |link: f64| link / token / f64::from(self.proxy_count.max(1));
        let stores = services().filter_map(|rule| rule.cache_store.as_ref());
        stores.filter_map(|store| Some((store.address, share(store.link_bytes?)))).collect()
    }

    /// The store of [`Self::cache_stores`] whose service has the first name.
    pub fn first_cache_store(&self) -> Option<SocketAddr> {
        let services = self.index.iter().flat_map(|index| index.table.services.values());
        let store = services.into_iter().find_map(|rule| rule.cache_store.as_ref())?;
        store.link_bytes.map(|_| store.address)
    }

    /// Requests that this process may have in flight at the servers of a service without leases of
    /// their slots: half of its even part of them, and at least one.
    pub fn slot_share(&self, service: &ServiceId) -> u32 {
        let servers = self.servers.values().filter(|server| server.service == *service);
        let slots = servers.fold(0_u32, |sum, server| sum.saturating_add(server.slots));
        (slots / (2 * self.proxy_count.max(1))).max(1)
    }

    /// Maximum number of connections of this process to a server of the service.
    pub fn connections(&self, service: &ServiceId) -> u32 {
        let rule = self.index.as_ref().and_then(|index| index.table.services.get(service));
        let Some(all) = rule.and_then(|rule| rule.connections) else { return u32::MAX };
        let part = f64::from(all) * CONNECTION_SHARE / f64::from(self.proxy_count.max(1));
        (part as u32).max(MIN_CONNECTIONS)
    }

    /// The dispatcher inputs for the change from the `previous` view to this one.
    pub fn inputs(
        &self,
        vm: &VmId,
        objective: DecisionObjective,
        previous: &ProxyView,
    ) -> Vec<PolicyInput> {
        let view = Arc::new(self.policy_view(vm, objective));
        let rate = self.fetch_rate();
        let newest = self.newest_weights();
        let mut inputs =
            vec![PolicyInput::Configure(view), PolicyInput::PeerFetch { rate, newest }];
        for server in self.servers.values() {
            let known = previous.servers.get(&server.id);
            let is_set_aside = |view: &ProxyView| view.set_aside.contains(&server.id);
            let has_same_use = previous.is_outdated(server) == self.is_outdated(server)
                && is_set_aside(previous) == is_set_aside(self);
            if known == Some(server) && has_same_use {
                continue;
            }
            let restarted = known.is_none_or(|known| known.incarnation != server.incarnation);
            inputs.push(self.health_input(server));
            if restarted || known.is_none_or(|known| known.weights != server.weights) {
                inputs.push(self.initial_load(server));
            }
        }
        inputs
    }

    /// A load report with the weights from the server list. Its load is zero, because the list does
    /// not contain the load.
    fn initial_load(&self, server: &ListedServer) -> PolicyInput {
        PolicyInput::Load(LoadReport {
            server: server.id.clone(),
            incarnation: server.incarnation,
            weights: server
                .weights
                .iter()
                .map(|(model, version)| {
                    (qualified_model(&server.service, model), version.to_string())
                })
                .collect(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        })
    }

    /// Whether a server is listed with this software version and gets new requests, for `model` if that is given.
    pub fn takes_requests(
        &self,
        server: &ServerId,
        software: &SoftwareVersion,
        model: Option<&ModelId>,
    ) -> bool {
        let listed = self.servers.get(server).filter(|listed| listed.software == *software);
        listed.is_some_and(|listed| {
            let is_outdated = model.is_some_and(|model| self.is_model_outdated(listed, model));
            listed.phase != ServerPhase::Draining && !is_outdated
        })
    }

    /// Whether the weights of all models of a server are too old for new requests.
    fn is_outdated(&self, server: &ListedServer) -> bool {
        !server.weights.is_empty()
            && server.weights.keys().all(|model| self.is_model_outdated(server, model))
    }

    fn is_model_outdated(&self, server: &ListedServer, model: &ModelId) -> bool {
        !self.outdated.is_empty() && self.outdated.contains(&(server.id.clone(), model.clone()))
    }

    /// The models for which a server gets requests. One that is leaving keeps all of them.
    fn usable_models(&self, server: &ListedServer) -> Vec<ModelId> {
        let is_outdated = self.is_outdated(server);
        let models = server.weights.keys();
        let usable = models.filter(|model| is_outdated || !self.is_model_outdated(server, model));
        usable.map(|model| qualified_model(&server.service, model)).collect()
    }

    /// The health of a listed server as an input for the dispatcher.
    pub fn health_input(&self, server: &ListedServer) -> PolicyInput {
        let health = match server.phase {
            _ if self.is_outdated(server) => ServerHealth::Leaving,
            ServerPhase::Ready if !self.set_aside.contains(&server.id) => {
                ServerHealth::Alive { incarnation: server.incarnation }
            }
            ServerPhase::Ready | ServerPhase::Loading => {
                ServerHealth::Reserved { incarnation: server.incarnation }
            }
            ServerPhase::Draining => ServerHealth::Leaving,
        };
        PolicyInput::Health { server: server.id.clone(), health }
    }

    fn policy_view(&self, vm: &VmId, objective: DecisionObjective) -> PolicyView {
        let servers = self.servers.values().map(|server| {
            let engine = self.is_engine(&server.service);
            let view = ServerView {
                failure_domain: server.failure_domain.clone(),
                kind: if engine { ServerKind::Engine } else { ServerKind::Service },
                models: if engine { self.usable_models(server) } else { Vec::new() },
                service: (!engine).then(|| server.service.clone()),
                slots: server.slots.max(1),
                software: server.software.clone(),
            };
            (server.id.clone(), view)
        });
        // The dispatcher uses only the number of daemons, to compute its share of each server.
        let others = (1..self.proxy_count).map(|number| (format!("{vm}+{number}"), 1.0));
        let daemons = others.chain([(vm.clone(), 1.0)]).collect();
        PolicyView {
            revision: self.index.as_ref().map_or(0, |index| index.table.number),
            objective,
            servers: servers.collect(),
            shares: BTreeMap::new(),
            daemons: [(String::new(), daemons)].into(),
            // Empty, because each attempt requires the weights that its server reports.
            weights: BTreeMap::new(),
            begin_limits: self.policy_limits(),
            model_services: self
                .models()
                .into_iter()
                .map(|(service, model)| (qualified_model(service, model), service.clone()))
                .collect(),
        }
    }
}

/// Models of servers with older weights than the required ones. If no server of a service has newer weights
/// of a model, none counts as outdated, because a response from old weights is better than none.
fn outdated(
    servers: &BTreeMap<ServerId, ListedServer>,
    required: &NamedWeights,
) -> BTreeSet<(ServerId, ModelId)> {
    let mut current: BTreeSet<(&ServiceId, &ModelId)> = BTreeSet::new();
    let mut old: Vec<(&ListedServer, &ModelId)> = Vec::new();
    for server in servers.values() {
        for (model, version) in &server.weights {
            if required.get(model).is_some_and(|required| version < required) {
                old.push((server, model));
            } else if server.phase == ServerPhase::Ready {
                current.insert((&server.service, model));
            }
        }
    }
    let replaced =
        old.into_iter().filter(|(server, model)| current.contains(&(&server.service, *model)));
    replaced.map(|(server, model)| (server.id.clone(), model.clone())).collect()
}
