//! Asset register: VMs, backend servers, models, failure domains and organisations.

use {
    crate::ids::{
        AdapterId, DigestHex, FailureDomainId, ModelId, OrganisationId, ServerId, ServiceId,
        SoftwareVersion, VmId, WeightsVersion,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The complete register, as an operator loads it from TOML or JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssetRegister {
    /// Failure domains with unique ids; at least one.
    #[serde(default)]
    pub failure_domains: Vec<DomainRecord>,
    /// VMs of the system itself, with unique ids.
    #[serde(default)]
    pub vms: Vec<VmRecord>,
    /// Models with unique ids.
    #[serde(default)]
    pub models: Vec<ModelRecord>,
    /// Plain services with unique ids.
    #[serde(default)]
    pub services: Vec<ServiceRecord>,
    /// Backend servers with unique ids.
    #[serde(default)]
    pub servers: Vec<ServerRecord>,
    /// Organisations with unique ids and key digests.
    #[serde(default)]
    pub organisations: Vec<OrganisationRecord>,
}

/// Register entry of a failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRecord {
    /// Name of the failure domain.
    pub id: FailureDomainId,
    /// Region of the failure domain; empty in a system with a single region.
    #[serde(default)]
    pub region: String,
}

/// Register entry of a VM that runs a daemon of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// Name of the VM.
    pub id: VmId,
    /// Failure domain of the VM; must be listed in `failure_domains`.
    pub failure_domain: FailureDomainId,
    /// QUIC address of the daemon for other daemons.
    pub peer_address: SocketAddr,
    /// Size relative to other VMs, 1.0 by default; positive.
    #[serde(default = "default_capacity")]
    pub capacity: f64,
}

fn default_capacity() -> f64 {
    1.0
}

/// Register entry of a model with its desired weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRecord {
    /// Name of the model in callers' requests.
    pub id: ModelId,
    /// Desired version of the weights; must not be empty.
    pub weights: WeightsVersion,
    /// Adapters that callers may name as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
}

/// Register entry of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// Name of the service in the paths of callers' requests.
    pub id: ServiceId,
}

/// Type of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// Runs models.
    Engine,
    /// Runs a plain service.
    Service,
    /// Stores KV cache for engines.
    #[serde(rename = "prompt_keep")]
    CacheStore,
}

/// Register entry of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRecord {
    /// Name of the server.
    pub id: ServerId,
    /// Failure domain of the server; must be listed in `failure_domains`.
    pub failure_domain: FailureDomainId,
    /// HTTP address of the server.
    pub address: SocketAddr,
    /// Type of the server.
    pub kind: ServerKind,
    /// Models that the server may run; empty unless it is an engine.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Service that the server offers; present exactly when `kind` is `Service`.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Requests that the server runs concurrently without queueing them internally; at least 1.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Version of the software that the server runs, if servers of several versions serve side by side:
    /// a stream goes on only at the version that began it.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Whether the server rejects orders with a lower fencing number than the highest it received.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_slots() -> u32 {
    8
}

/// Register entry of an organisation whose callers send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRecord {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// SHA-256 digest of each valid API key, in lower-case hexadecimal digits.
    #[serde(default)]
    pub key_digests: Vec<DigestHex>,
}
