//! What requests and the dispatcher need of the shared state, made once for each change of it.

use {
    crate::{
        control::document::NamedWeights,
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        ids::{ModelId, ServerId, ServiceId, VmId, WeightsVersion},
        inventory::{DecisionObjective, ServerKind},
        policy::{LoadReport, PolicyInput, PolicyView, ServerHealth, ServerView},
        routing::RouteIndex,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The part of a service's connections that all daemons together use; the rest is for probes, and
/// for connections that a server has not yet noticed to be closed.
const CONNECTION_PART: f64 = 0.9;
/// A fetch from another failure domain takes so many times as long.
const DISTANT_FETCH: f64 = 2.0;
/// A daemon may always open so many connections to a server.
const LEAST_CONNECTIONS: u32 = 2;

/// The shared state as one entry serves by it.
#[derive(Clone, Debug, Default)]
pub struct EdgeView {
    /// The routes; `None` until a table is known.
    pub index: Option<Arc<RouteIndex>>,
    /// The backend servers that routes lead to, by name.
    pub servers: BTreeMap<ServerId, ListedServer>,
    /// The newest weights that operators have named, by model.
    pub named: NamedWeights,
    /// Servers whose weights are too old to begin anything on, while others have newer ones.
    pub outdated: BTreeSet<ServerId>,
    /// Entries that share the servers; at least 1.
    pub entries: u32,
}

/// The name of a model's pool: a service's servers never serve another service's requests, not even
/// for a model of the same name.
pub fn pool_model(service: &ServiceId, model: &ModelId) -> ModelId {
    format!("{service}/{model}")
}

impl EdgeView {
    /// The view of a table, a list of servers, the named weights, and those of them that were named so
    /// long ago that nothing may begin on older ones any more.
    pub fn new(
        index: Option<Arc<RouteIndex>>,
        fleet: &FleetSnapshot,
        named: &NamedWeights,
        required: &NamedWeights,
        entries: u32,
    ) -> Self {
        let Some(index) = index else { return EdgeView { entries, ..EdgeView::default() } };
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
        EdgeView {
            index: Some(index),
            servers,
            named: named.clone(),
            outdated,
            entries: entries.max(1),
        }
    }

    /// Whether the service's servers run models.
    pub fn is_engine(&self, service: &ServiceId) -> bool {
        let rule = self.index.as_ref().and_then(|index| index.table.services.get(service));
        rule.is_some_and(|rule| rule.engine.is_some())
    }

    fn newest_weights(&self) -> BTreeMap<ModelId, WeightsVersion> {
        let Some(index) = &self.index else { return BTreeMap::new() };
        let services = index.table.services.iter();
        let engines = services.filter_map(|(id, rule)| Some((id, rule.engine.as_ref()?)));
        engines
            .flat_map(|(id, engine)| engine.models.iter().map(move |model| (id, model)))
            .filter_map(|(id, model)| {
                Some((pool_model(id, model), self.named.get(model)?.to_string()))
            })
            .collect()
    }

    /// Tokens a second that engines fetch from each other, between failure domains.
    fn fetch_rate(&self) -> Option<f64> {
        let services = self.index.as_ref()?.table.services.values();
        let rates = services.filter_map(|rule| rule.engine.as_ref()?.fetch_rate);
        rates.min_by(f64::total_cmp).map(|rate| rate / DISTANT_FETCH)
    }

    /// The engines' common store: where it is, and tokens a second of its link that are this daemon's
    /// part.
    pub fn keep(&self) -> Option<(SocketAddr, f64)> {
        let services = || self.index.iter().flat_map(|index| index.table.services.values());
        let store = services().find_map(|rule| rule.cache_store.as_ref())?;
        let token = services().find_map(|rule| rule.engine.as_ref()?.token_bytes)?;
        Some((store.address, store.link_bytes? / token / f64::from(self.entries.max(1))))
    }

    /// Connections that this daemon may hold open to one server of a service.
    pub fn connections(&self, service: &ServiceId) -> u32 {
        let rule = self.index.as_ref().and_then(|index| index.table.services.get(service));
        let Some(all) = rule.and_then(|rule| rule.connections) else { return u32::MAX };
        let part = f64::from(all) * CONNECTION_PART / f64::from(self.entries.max(1));
        (part as u32).max(LEAST_CONNECTIONS)
    }

    /// What the dispatcher is told when this view comes into force; `former` is the one before.
    pub fn inputs(
        &self,
        vm: &VmId,
        objective: DecisionObjective,
        former: &EdgeView,
    ) -> Vec<PolicyInput> {
        let view = Arc::new(self.policy_view(vm, objective));
        let rate = self.fetch_rate();
        let newest = self.newest_weights();
        let mut inputs =
            vec![PolicyInput::Configure(view), PolicyInput::PeerFetch { rate, newest }];
        for server in self.servers.values() {
            let known = former.servers.get(&server.id);
            let was_outdated = former.outdated.contains(&server.id);
            if known == Some(server) && was_outdated == self.outdated.contains(&server.id) {
                continue;
            }
            let reborn = known.is_none_or(|known| known.incarnation != server.incarnation);
            inputs.push(self.health_of(server));
            if reborn || known.is_none_or(|known| known.weights != server.weights) {
                inputs.push(self.first_report(server));
            }
        }
        inputs
    }

    /// What the list tells of a server's weights; of its load it tells nothing.
    fn first_report(&self, server: &ListedServer) -> PolicyInput {
        PolicyInput::Load(LoadReport {
            server: server.id.clone(),
            incarnation: server.incarnation,
            weights: server
                .weights
                .iter()
                .map(|(model, version)| (pool_model(&server.service, model), version.to_string()))
                .collect(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        })
    }

    /// What membership says of a listed server.
    pub fn health_of(&self, server: &ListedServer) -> PolicyInput {
        let health = match server.phase {
            _ if self.outdated.contains(&server.id) => ServerHealth::Leaving,
            ServerPhase::Ready => ServerHealth::Alive { incarnation: server.incarnation },
            ServerPhase::Loading => ServerHealth::Reserved { incarnation: server.incarnation },
            ServerPhase::Draining => ServerHealth::Leaving,
        };
        PolicyInput::Health { server: server.id.clone(), health }
    }

    fn policy_view(&self, vm: &VmId, objective: DecisionObjective) -> PolicyView {
        let servers = self.servers.values().map(|server| {
            let engine = self.is_engine(&server.service);
            let models = server.weights.keys().map(|model| pool_model(&server.service, model));
            let view = ServerView {
                failure_domain: server.failure_domain.clone(),
                kind: if engine { ServerKind::Engine } else { ServerKind::Service },
                models: if engine { models.collect() } else { Vec::new() },
                service: (!engine).then(|| server.service.clone()),
                slots: server.slots.max(1),
            };
            (server.id.clone(), view)
        });
        // Only their number counts: the share of each server that falls to this daemon.
        let others = (1..self.entries).map(|number| (format!("{vm}+{number}"), 1.0));
        let daemons = others.chain([(vm.clone(), 1.0)]).collect();
        PolicyView {
            revision: self.index.as_ref().map_or(0, |index| index.table.number),
            objective,
            servers: servers.collect(),
            shares: BTreeMap::new(),
            daemons: [(String::new(), daemons)].into(),
            // Each server's own weights count: a request is held to them when it is sent.
            weights: BTreeMap::new(),
        }
    }
}

/// Servers with older weights than the required ones. Where a service has no server with newer ones,
/// none of its servers counts as outdated: an answer on old weights is better than none.
fn outdated(
    servers: &BTreeMap<ServerId, ListedServer>,
    required: &NamedWeights,
) -> BTreeSet<ServerId> {
    let is_old = |server: &ListedServer| {
        let weights = server.weights.iter();
        weights
            .into_iter()
            .any(|(model, version)| required.get(model).is_some_and(|required| version < required))
    };
    let current: BTreeSet<&ServiceId> = servers
        .values()
        .filter(|server| server.phase == ServerPhase::Ready && !is_old(server))
        .map(|server| &server.service)
        .collect();
    let old = servers.values().filter(|server| is_old(server) && current.contains(&server.service));
    old.map(|server| server.id.clone()).collect()
}
