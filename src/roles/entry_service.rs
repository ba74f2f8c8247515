//! Handles messages and requests of other daemons at an entry.

use {
    super::{slot_arbiter::SlotArbiter, tunnel_service::TunnelService},
    crate::{
        ids::{ServerId, VmId},
        transport::{
            PeerHandler, PeerMessage, PeerReply, PeerRequest, TunnelRefusal, TunnelTarget,
        },
    },
    futures::future::BoxFuture,
    std::sync::Arc,
};

/// Opens tunnels and leases slots for other entries.
#[derive(Default)]
pub struct EntryService {
    /// Opens tunnels to servers.
    pub tunnels: TunnelService,
    /// Leases the slots of the servers of which this entry is the arbiter.
    pub arbiter: Arc<SlotArbiter>,
}

impl PeerHandler for EntryService {
    fn message(&self, from: VmId, message: PeerMessage) {
        match message {
            PeerMessage::EndLease { server, lease, report } => {
                if let Some(report) = report {
                    self.arbiter.record(&server, lease, &report);
                }
                self.arbiter.end(&server, lease);
            }
            PeerMessage::LeaseProgress { server, lease, report } => {
                self.arbiter.record(&server, lease, &report);
            }
            PeerMessage::LeaseRejected { server, lease } => self.arbiter.reject(server, lease),
            PeerMessage::HeldLeases(held) => self.arbiter.confirm(&from, held),
            other => self.tunnels.message(from, other),
        }
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        match request {
            PeerRequest::LeaseSlot { server, lease, demand } => {
                let leased = Arc::clone(&self.arbiter).lease(server, lease, from, demand);
                Box::pin(async move { PeerReply::SlotLeased(leased.await) })
            }
            other => self.tunnels.request(from, other),
        }
    }

    fn open_tunnel(
        &self,
        from: VmId,
        server: ServerId,
    ) -> BoxFuture<'static, Result<TunnelTarget, TunnelRefusal>> {
        self.tunnels.open_tunnel(from, server)
    }
}
