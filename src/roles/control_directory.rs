//! The control VMs that a node knows, and where they are.

use {
    super::address_from_vm,
    crate::{ids::VmId, transport::PeerNetwork},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
    tokio::sync::watch,
};

/// Control VMs remembered: the seven that may be set aside, several times replaced. Beyond it the
/// first names are dropped; those of the settings come again with them.
const MAX_KNOWN: usize = 32;

/// The control VMs of one node. VMs that are gone stay in it: they cost a question now and then, and
/// a VM that is only away for long must be found when it returns.
pub struct ControlDirectory {
    network: PeerNetwork,
    /// All VMs listen on the same port.
    port: u16,
    known: Mutex<BTreeMap<VmId, SocketAddr>>,
    candidates: watch::Sender<Vec<VmId>>,
}

impl ControlDirectory {
    /// A book that begins with `known`.
    pub fn new(
        network: PeerNetwork,
        known: BTreeMap<VmId, SocketAddr>,
        candidates: watch::Sender<Vec<VmId>>,
    ) -> Self {
        let port = network.local_address().port();
        ControlDirectory { network, port, known: Mutex::new(known), candidates }
    }

    /// Where a VM listens for other daemons.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        Some(SocketAddr::new(address_from_vm(vm)?, self.port))
    }

    /// Takes more VMs in.
    pub fn add(&self, more: BTreeMap<VmId, SocketAddr>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.len();
        known.extend(more);
        while known.len() > MAX_KNOWN {
            known.pop_first();
        }
        if known.len() != before {
            self.network.set_peers(known.clone());
            self.candidates.send_replace(known.keys().cloned().collect());
        }
    }
}
