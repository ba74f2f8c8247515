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

/// The daemons that a node sends to.
struct KnownPeers {
    /// At most [`MAX_CONTROL_VMS`].
    control: BTreeMap<VmId, SocketAddr>,
    /// The entries of [`TunnelPeers`](crate::policy::tunnel_peers::TunnelPeers).
    tunnel: BTreeMap<VmId, SocketAddr>,
    /// The entries that are arbiters of servers; the server list bounds their number.
    arbiters: BTreeMap<VmId, SocketAddr>,
}

impl KnownPeers {
    fn all(&self) -> BTreeMap<VmId, SocketAddr> {
        let all = self.control.iter().chain(&self.tunnel).chain(&self.arbiters);
        all.map(|(vm, at)| (vm.clone(), *at)).collect()
    }
}

/// The control VMs of one node. Unreachable VMs stay in the directory: they cost an occasional
/// request, and a VM that returns after a long outage has to be found again.
pub struct ControlDirectory {
    network: PeerNetwork,
    /// All VMs listen on the same port.
    port: u16,
    known: Mutex<KnownPeers>,
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
        let known =
            KnownPeers { control: known, tunnel: BTreeMap::new(), arbiters: BTreeMap::new() };
        ControlDirectory { network, port, known: Mutex::new(known), candidates }
    }

    /// The peer address of a VM; `None` if its name does not contain an address.
    pub fn peer_address(&self, vm: &VmId) -> Option<SocketAddr> {
        Some(SocketAddr::new(address_from_vm(vm)?, self.port))
    }

    /// Adds VMs, and updates the network's peers if the number of known VMs has changed.
    pub fn add(&self, more: BTreeMap<VmId, SocketAddr>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.control.len();
        known.control.extend(more);
        while known.control.len() > MAX_CONTROL_VMS {
            known.control.pop_first();
        }
        if known.control.len() != before {
            self.network.set_peers(known.all());
            self.candidates.send_replace(known.control.keys().cloned().collect());
        }
    }

    /// Replaces the entries that are arbiters of servers.
    pub fn set_arbiters<'a>(&self, arbiters: impl Iterator<Item = &'a VmId>) {
        let arbiters: BTreeMap<VmId, SocketAddr> =
            arbiters.filter_map(|vm| Some((vm.clone(), self.peer_address(vm)?))).collect();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.arbiters != arbiters {
            known.arbiters = arbiters;
            self.network.set_peers(known.all());
        }
    }

    /// Replaces the entries through which backend servers are reached.
    pub fn set_tunnel_peers<'a>(&self, peers: impl Iterator<Item = &'a VmId>) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.tunnel = peers.filter_map(|vm| Some((vm.clone(), self.peer_address(vm)?))).collect();
        self.network.set_peers(known.all());
    }
}
