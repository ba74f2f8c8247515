//! Backend servers as listed by the platform. The list lags behind, is limited in rate, and names
//! the incarnation and the weights of each server.
//!
//! One control VM reads the list and all daemons follow it, so the platform receives one request
//! for all of them. See [`watch`] for who reads while that VM is unavailable.

pub mod arbiters;
pub mod history;
pub mod watch;

use {
    crate::ids::{
        FailureDomainId, Incarnation, ModelId, ServerId, ServiceId, SoftwareVersion, VmId,
        WeightsNumber,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of servers accepted from one reading, several times the 870 of the design size.
pub const MAX_SERVERS: usize = 4_096;

/// Phase of a server, which determines the work that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerPhase {
    /// Receives new work.
    Ready,
    /// Receives no new work for a while: it is about to load weights or is loading them.
    Loading,
    /// Receives no new work: it is being removed.
    Draining,
}

/// Incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Unique name; a restarted server may keep it.
    pub id: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Address on which the server listens. After its end the address may be assigned to a server
    /// of another service.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: FailureDomainId,
    /// Version of the software that the server runs; empty if the list names none.
    pub software: SoftwareVersion,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// The entry that leases the server's slots while these must not be overrun; `None` if the VM that
    /// read the list knew no entry.
    pub arbiter: Option<VmId>,
    /// Determines whether the server receives new work.
    pub phase: ServerPhase,
    /// Incarnation of the server; a restart under the same name has a higher number.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Weights loaded when the list was created, by model; empty for services without models.
    pub weights: BTreeMap<ModelId, WeightsNumber>,
}

/// One reading of the list, with servers in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// At most [`MAX_SERVERS`], each name once.
    pub servers: Vec<ListedServer>,
}

impl FleetSnapshot {
    /// Creates a snapshot in canonical order. Beyond [`MAX_SERVERS`] the last names are dropped.
    pub fn new(mut servers: Vec<ListedServer>) -> Self {
        servers.sort_by(|one, other| one.id.cmp(&other.id));
        servers.dedup_by(|one, other| one.id == other.id);
        if servers.len() > MAX_SERVERS {
            log::error!(listed = servers.len(), kept = MAX_SERVERS;
                "the server list is too long and was truncated; split the deployment");
            servers.truncate(MAX_SERVERS);
        }
        FleetSnapshot { servers }
    }

    /// Keeps what is known from an earlier snapshot of the same incarnations: that a server was
    /// draining, and its arbiter if this snapshot names none.
    ///
    /// A follower that switches to another control VM may receive an older list, in which a server
    /// that is being removed is still ready. The server would then receive new work again shortly
    /// before it stops. A control VM that has just started knows no arbiters.
    pub fn keep_known(&mut self, previous: &FleetSnapshot) {
        for server in &mut self.servers {
            let known = previous.servers.binary_search_by(|known| known.id.cmp(&server.id));
            let known = known.ok().map(|index| &previous.servers[index]);
            let Some(known) = known.filter(|known| known.incarnation == server.incarnation) else {
                continue;
            };
            if known.phase == ServerPhase::Draining {
                server.phase = ServerPhase::Draining;
            }
            if server.arbiter.is_none() {
                server.arbiter.clone_from(&known.arbiter);
            }
        }
    }

    /// Digest that identifies the snapshot. It is the same on every daemon and never 0, which stands for
    /// no snapshot.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).expect("a snapshot always encodes");
        xxh3_64(&bytes).max(1)
    }
}
