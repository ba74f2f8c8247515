//! The asset register: VMs, backend servers, models, failure domains and organisations.

use {
    crate::ids::{
        AdapterId, DigestHex, FailureDomainId, ModelId, OrganisationId, ServerId, ServiceId, VmId,
        WeightsVersion,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The whole register, as an operator loads it from TOML or JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssetRegister {
    /// Failure domains; ids are unique.
    #[serde(default)]
    pub failure_domains: Vec<DomainRecord>,
    /// VMs of the system itself; ids are unique.
    #[serde(default)]
    pub vms: Vec<VmRecord>,
    /// Models; ids are unique.
    #[serde(default)]
    pub models: Vec<ModelRecord>,
    /// Plain services; ids are unique.
    #[serde(default)]
    pub services: Vec<ServiceRecord>,
    /// Backend servers; ids are unique.
    #[serde(default)]
    pub servers: Vec<ServerRecord>,
    /// Organisations; ids and key digests are unique.
    #[serde(default)]
    pub organisations: Vec<OrganisationRecord>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRecord {
    /// Its name.
    pub id: FailureDomainId,
    /// The region it stands in; empty means the only one.
    #[serde(default)]
    pub region: String,
}

/// A VM that runs a daemon of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// Its name.
    pub id: VmId,
    /// The failure domain it stands in; must be listed in `failure_domains`.
    pub failure_domain: FailureDomainId,
    /// Where other daemons reach it over QUIC.
    pub peer_address: SocketAddr,
    /// Its size relative to the others; 1.0 is usual. Positive.
    #[serde(default = "default_capacity")]
    pub capacity: f64,
}

fn default_capacity() -> f64 {
    1.0
}

/// A model and the weights it should run with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRecord {
    /// The name that callers use.
    pub id: ModelId,
    /// The desired version of the weights.
    pub weights: WeightsVersion,
    /// Adapters that callers may name as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// The name that stands in callers' paths.
    pub id: ServiceId,
}

/// What a backend server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// Runs models.
    Engine,
    /// Runs a plain service.
    Service,
    /// Keeps KV cache for engines.
    PromptKeep,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Its name.
    pub id: ServerId,
    /// The failure domain it stands in; must be listed in `failure_domains`.
    pub failure_domain: FailureDomainId,
    /// Where it answers HTTP.
    pub address: SocketAddr,
    /// What it does.
    pub kind: ServerKind,
    /// Models it may run; empty unless it is an engine.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// The service it offers; present exactly when it is a service.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Requests it runs at once without queueing inside; at least 1.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders with a lower fencing number than it has seen.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_slots() -> u32 {
    8
}

/// An organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRecord {
    /// Its name.
    pub id: OrganisationId,
    /// SHA-256 of each valid key, in lower-case hexadecimal.
    #[serde(default)]
    pub key_digests: Vec<DigestHex>,
}
