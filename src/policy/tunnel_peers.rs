//! Selects the daemon through which a partitioned daemon connects to backend servers.
//!
//! The pattern: a failure domain with a third of hundreds of daemons loses its links to all servers,
//! and all of these daemons look for others at the same moment. If all took the same ones, these would
//! carry many times their own load. The control VMs therefore name each a random sample, and each
//! connection goes to the one of two random daemons of the sample that has fewer connections from here.
//! A daemon that fails is left out for a while; it may be partitioned, stopped or frozen itself.

use {
    crate::ids::VmId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Maximum number of daemons that are used at a time.
pub const MAX_PEERS: usize = 8;

/// How long a daemon is not selected after a failure.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct PeerState {
    /// Open connections through it.
    open: u32,
    paused_until: Option<Instant>,
}

/// The daemons through which connections can be opened.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    /// At most [`MAX_PEERS`], and those with open connections.
    peers: BTreeMap<VmId, PeerState>,
}

impl TunnelPeers {
    /// Replaces the daemons without open connections by those of a new sample.
    pub fn replace(&mut self, now: Instant, sample: impl IntoIterator<Item = VmId>) {
        let is_kept =
            |peer: &PeerState| peer.open > 0 || peer.paused_until.is_some_and(|until| now < until);
        self.peers.retain(|_, peer| is_kept(peer));
        for vm in sample {
            if self.peers.len() >= MAX_PEERS {
                return;
            }
            self.peers.entry(vm).or_default();
        }
    }

    /// All daemons.
    pub fn names(&self) -> impl Iterator<Item = &VmId> {
        self.peers.keys()
    }

    /// The daemons with open connections.
    pub fn used(&self) -> impl Iterator<Item = &VmId> {
        self.peers.iter().filter(|(_, peer)| peer.open > 0).map(|(vm, _)| vm)
    }

    /// Whether no daemon can be selected.
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.selectable(now).next().is_none()
    }

    /// Selects the less used of two random daemons and counts a connection through it; `choices` are
    /// random.
    pub fn select(&mut self, now: Instant, choices: [u64; 2]) -> Option<VmId> {
        let candidates: Vec<(&VmId, u32)> = self.selectable(now).collect();
        let count = candidates.len().max(1) as u64;
        let picked = choices.map(|choice| candidates.get((choice % count) as usize));
        let (vm, _) = picked.into_iter().flatten().min_by_key(|(_, open)| *open)?;
        let vm = VmId::clone(vm);
        self.peers.entry(vm.clone()).or_default().open += 1;
        Some(vm)
    }

    /// Records that a connection through a daemon has ended, or was not opened.
    pub fn record_closed(&mut self, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.open = peer.open.saturating_sub(1);
        }
    }

    /// Records that a daemon did not open a connection, so that it is not selected for a while.
    pub fn record_failure(&mut self, now: Instant, vm: &VmId) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.paused_until = Some(now + FAILURE_PAUSE);
        }
    }

    fn selectable(&self, now: Instant) -> impl Iterator<Item = (&VmId, u32)> {
        let is_paused = move |peer: &PeerState| peer.paused_until.is_some_and(|until| now < until);
        self.peers
            .iter()
            .filter(move |(_, peer)| !is_paused(peer))
            .map(|(vm, peer)| (vm, peer.open))
    }
}
