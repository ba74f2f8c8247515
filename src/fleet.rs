//! Backend servers as a platform lists them: a feed that lags, is limited in rate, and names each
//! server's life and weights.
//!
//! One control VM reads the feed and all daemons follow it, so the platform is asked once for all of
//! them; see [`watch`] for who reads when that VM is away.

pub mod history;
pub mod watch;

use {
    crate::ids::{FailureDomainId, Incarnation, ModelId, ServerId, ServiceId, WeightsNumber},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Servers taken from one reading: several times the 870 of the design size.
pub const MAX_SERVERS: usize = 4_096;

/// What a server may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerPhase {
    /// New work.
    Ready,
    /// Nothing new for a while: it is about to load weights or loads them.
    Loading,
    /// Nothing new: it is leaving.
    Draining,
}

/// One life of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens; after its end the address may go to a server of another service.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it may be given.
    pub phase: ServerPhase,
    /// Its life: a start under the same name has a later one.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Weights that it had loaded when the list was made, by model; empty for plain services.
    pub weights: BTreeMap<ModelId, WeightsNumber>,
}

/// One reading of the list; servers in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// At most [`MAX_SERVERS`], each name once.
    pub servers: Vec<ListedServer>,
}

impl FleetSnapshot {
    /// A snapshot in its canonical order; beyond [`MAX_SERVERS`] the last names are dropped.
    pub fn new(mut servers: Vec<ListedServer>) -> Self {
        servers.sort_by(|one, other| one.id.cmp(&other.id));
        servers.dedup_by(|one, other| one.id == other.id);
        if servers.len() > MAX_SERVERS {
            log::error!(listed = servers.len(), kept = MAX_SERVERS;
                "the server list is too long and was cut; split the installation");
            servers.truncate(MAX_SERVERS);
        }
        FleetSnapshot { servers }
    }

    /// Servers that were draining in an earlier snapshot of this life still are.
    ///
    /// A follower that turns to another control VM may be given an older list, in which a server that
    /// is leaving still is ready; it would get new work again after its last seconds had begun.
    pub fn keep_draining(&mut self, former: &FleetSnapshot) {
        for server in &mut self.servers {
            let known = former.servers.binary_search_by(|known| known.id.cmp(&server.id));
            let known = known.ok().map(|index| &former.servers[index]);
            let drains = known.is_some_and(|known| {
                known.incarnation == server.incarnation && known.phase == ServerPhase::Draining
            });
            if drains {
                server.phase = ServerPhase::Draining;
            }
        }
    }

    /// Tells snapshots apart; equal for equal snapshots on every daemon, 0 for the empty one.
    pub fn digest(&self) -> u64 {
        if self.servers.is_empty() {
            return 0;
        }
        let bytes = postcard::to_stdvec(self).expect("a snapshot always encodes");
        xxh3_64(&bytes).max(1)
    }
}
