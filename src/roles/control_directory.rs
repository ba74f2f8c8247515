//! The addresses of the control VMs that a node knows.

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

/// The maximum number of control VMs in the directory: room for seven VMs that were replaced
/// several times. Beyond it the first names in sort order are dropped; those in the settings return
/// when the settings are reloaded.
const MAX_CONTROL_VMS: usize = 32;

/// The control VMs of one node. Unreachable VMs stay in the directory: they cost an occasional
/// request, and a VM that returns after a long outage has to be found again.
pub struct ControlDirectory {
    network: PeerNetwork,
    /// All VMs listen on the same port.
    port: u16,
    known: Mutex<BTreeMap<VmId, SocketAddr>>,
    candidates: watch::Sender<Vec<VmId>>,
}

impl ControlDirectory {
    /// Creates a directory with the VMs `known`.
    pub fn new(
        network: PeerNetwork,
        known: BTreeMap<VmId, SocketAddr>,
        candidates: watch::Sender<Vec<VmId>>,
    ) -> Self {
        let port = network.local_address().port();
        ControlDirectory { network, port, known: Mutex::new(known), candidates }
    }

    /// The peer address of a VM; `None` if its name does not contain an address.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        Some(SocketAddr::new(address_from_vm(vm)?, self.port))
    }

    /// Adds VMs, and updates the network's peers if the number of known VMs has changed.
    pub fn add(&self, more: BTreeMap<VmId, SocketAddr>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.len();
        known.extend(more);
        while known.len() > MAX_CONTROL_VMS {
            known.pop_first();
        }
        if known.len() != before {
            self.network.set_peers(known.clone());
            self.candidates.send_replace(known.keys().cloned().collect());
        }
    }
}
