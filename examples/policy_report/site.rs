//! Layouts of the simulated sites: failure domains, daemons, servers and organisations.

use {
    super::simulated_server::ServerProperties,
    oleandermount::{
        ids::{FailureDomainId, ServerId, VmId},
        inventory::{DecisionObjective, ServerKind},
        policy::{PolicyView, ServerView},
    },
    std::collections::BTreeMap,
};

/// Model that all engines serve.
pub const MODEL: &str = "basket-7b";
/// Version of the weights of [`MODEL`].
pub const WEIGHTS: &str = "w1";
/// Service that all service servers provide.
pub const SERVICE: &str = "app";
/// Traffic weight of each organisation of a site, in percent; a few organisations cause most of the
/// traffic.
pub const ORGANISATION_SHARES: [f64; 8] = [30.0, 22.0, 14.0, 10.0, 8.0, 7.0, 5.0, 4.0];
/// Slots of a service server, which serves more concurrent calls than an engine.
const SERVICE_SLOTS: usize = 32;

/// Name of a simulated site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteName {
    /// Tuul Basket Cooperative, whose traffic is mostly chat.
    Tuul,
    /// Abay Geodetic Networks, with more requests over long logs.
    Abay,
}

impl SiteName {
    /// Returns the name used on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            SiteName::Tuul => "tuul",
            SiteName::Abay => "abay",
        }
    }
}

/// Placement of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonPlacement {
    /// VM that runs the daemon.
    pub vm: VmId,
    /// Index of the VM's failure domain in [`SitePlan::domains`].
    pub domain: usize,
}

/// Placement and properties of a backend server.
#[derive(Clone, Debug)]
pub struct ServerPlacement {
    /// Identifier of the server.
    pub id: ServerId,
    /// Index of the server's failure domain in [`SitePlan::domains`].
    pub domain: usize,
    /// Engine or service.
    pub kind: ServerKind,
    /// Slots, speed and cache size of the server.
    pub properties: ServerProperties,
}

/// Layout of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Name of the site, which sets the policy's objective.
    pub name: SiteName,
    /// Identifiers of the failure domains.
    pub domains: Vec<FailureDomainId>,
    /// Daemons, distributed evenly over the failure domains.
    pub daemons: Vec<DaemonPlacement>,
    /// Servers, distributed evenly over the failure domains.
    pub servers: Vec<ServerPlacement>,
}

impl SitePlan {
    /// Returns the layout of the named site, with three service servers.
    pub fn new(name: SiteName) -> Self {
        let (domains, daemons, engines) = match name {
            SiteName::Tuul => (["ub-north", "ub-central", "ub-south"], 6, 9),
            SiteName::Abay => (["addis-a", "addis-b", "addis-c"], 9, 18),
        };
        let daemons = (0..daemons)
            .map(|index| DaemonPlacement { vm: format!("entry-{index}"), domain: index % 3 })
            .collect();
        let engine = ServerProperties {
            slots: 16,
            prefill_rate: 12_000.0,
            cache_tokens: 120_000,
            speed: 1.0,
        };
        let service = ServerProperties { slots: SERVICE_SLOTS, ..engine.clone() };
        let engines = (0..engines).map(|index| ServerPlacement {
            id: format!("engine-{index:02}"),
            domain: index % 3,
            kind: ServerKind::Engine,
            properties: engine.clone(),
        });
        let services = (0..3).map(|index| ServerPlacement {
            id: format!("service-{index}"),
            domain: index,
            kind: ServerKind::Service,
            properties: service.clone(),
        });
        let servers = engines.chain(services).collect();
        SitePlan { name, domains: domains.map(String::from).into(), daemons, servers }
    }

    /// Returns the number of servers that are engines.
    pub fn engine_count(&self) -> usize {
        self.servers.iter().filter(|placement| placement.kind == ServerKind::Engine).count()
    }

    /// Returns the configuration that every router receives.
    pub fn view(&self) -> PolicyView {
        let mut daemons: BTreeMap<FailureDomainId, BTreeMap<VmId, f64>> = BTreeMap::new();
        for placement in &self.daemons {
            let domain = self.domains[placement.domain].clone();
            daemons.entry(domain).or_default().insert(placement.vm.clone(), 1.0);
        }
        let servers = self
            .servers
            .iter()
            .map(|placement| (placement.id.clone(), self.server_view(placement)));
        PolicyView {
            revision: 1,
            objective: match self.name {
                SiteName::Tuul => DecisionObjective::FirstToken,
                SiteName::Abay => DecisionObjective::Reuse,
            },
            servers: servers.collect(),
            shares: BTreeMap::new(),
            daemons,
            weights: [(MODEL.into(), WEIGHTS.into())].into(),
            begin_limits: BTreeMap::new(),
            model_services: BTreeMap::new(),
        }
    }

    fn server_view(&self, placement: &ServerPlacement) -> ServerView {
        let engine = placement.kind == ServerKind::Engine;
        ServerView {
            software: String::new(),
            failure_domain: self.domains[placement.domain].clone(),
            kind: placement.kind,
            models: if engine { vec![MODEL.into()] } else { Vec::new() },
            service: (!engine).then(|| SERVICE.into()),
            slots: placement.properties.slots as u32,
        }
    }
}
