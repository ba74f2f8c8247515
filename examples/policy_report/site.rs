//! The two users' sites: failure domains, daemons, servers and organisations.

use {
    super::simulated_server::ServerProperties,
    oleandermount::{
        ids::{FailureDomainId, ServerId, VmId},
        inventory::{DecisionObjective, ServerKind},
        policy::{PolicyView, ServerView},
    },
    std::collections::BTreeMap,
};

/// The one model that all engines run.
pub const MODEL: &str = "basket-7b";
/// The version of its weights.
pub const WEIGHTS: &str = "w1";
/// The one plain service.
pub const SERVICE: &str = "app";
/// Organisations at each site, and their shares of the traffic: a few are large.
pub const ORGANISATION_SHARES: [f64; 8] = [30.0, 22.0, 14.0, 10.0, 8.0, 7.0, 5.0, 4.0];
/// Plain services answer many calls at once.
const SERVICE_SLOTS: usize = 32;

/// Whose site it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteName {
    /// Tuul Basket Cooperative: chat above all.
    Tuul,
    /// Abay Geodetic Networks: long logs above all.
    Abay,
}

impl SiteName {
    /// The name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            SiteName::Tuul => "tuul",
            SiteName::Abay => "abay",
        }
    }
}

/// One daemon's place.
#[derive(Clone, Debug)]
pub struct DaemonPlacement {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain, as an index.
    pub domain: usize,
}

/// One backend server's place and properties.
#[derive(Clone, Debug)]
pub struct ServerPlacement {
    /// Its name.
    pub id: ServerId,
    /// Its failure domain, as an index.
    pub domain: usize,
    /// What it does.
    pub kind: ServerKind,
    /// How fast it is.
    pub properties: ServerProperties,
}

/// A whole site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Whose it is.
    pub name: SiteName,
    /// Names of the failure domains.
    pub domains: Vec<FailureDomainId>,
    /// Daemons, spread evenly over the domains.
    pub daemons: Vec<DaemonPlacement>,
    /// Servers, spread evenly over the domains.
    pub servers: Vec<ServerPlacement>,
}

impl SitePlan {
    /// The site as the brief gives it.
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

    /// Engines alone.
    pub fn engine_count(&self) -> usize {
        self.servers.iter().filter(|placement| placement.kind == ServerKind::Engine).count()
    }

    /// The configuration that every router gets.
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
        }
    }

    fn server_view(&self, placement: &ServerPlacement) -> ServerView {
        let engine = placement.kind == ServerKind::Engine;
        ServerView {
            failure_domain: self.domains[placement.domain].clone(),
            kind: placement.kind,
            models: if engine { vec![MODEL.into()] } else { Vec::new() },
            service: (!engine).then(|| SERVICE.into()),
            slots: placement.properties.slots as u32,
        }
    }
}
