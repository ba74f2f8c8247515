//! Handles messages and requests of other daemons at an entry.

use {
    super::{
        slot_arbiter::SlotArbiter, tunnel_service::TunnelService, usage_arbiter::UsageGranter,
    },
    crate::{
        ids::{ServerId, VmId},
        transport::{
            PeerHandler, PeerMessage, PeerReply, PeerRequest, TunnelRefusal, TunnelTarget,
        },
    },
    futures::future::BoxFuture,
    std::sync::Arc,
};

/// Opens tunnels, leases slots and grants units of usage limits for other entries.
pub struct EntryService {
    /// Opens tunnels to servers.
    pub tunnels: TunnelService,
    /// Leases the slots of the servers of which this entry is the arbiter.
    pub arbiter: Arc<SlotArbiter>,
    /// Grants units of the usage limits of which this entry is the arbiter.
    pub usage: Arc<UsageGranter>,
}

impl EntryService {
    /// Creates the service of the entry on `vm`.
    pub fn new(vm: VmId) -> Self {
        EntryService {
            tunnels: TunnelService::default(),
            arbiter: Arc::default(),
            usage: Arc::new(UsageGranter::new(vm)),
        }
    }
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
            PeerMessage::ReturnUsage(units) => self.usage.give_back(units),
            PeerMessage::ReleaseUsage => self.usage.release(&from),
            other => self.tunnels.message(from, other),
        }
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        match request {
            PeerRequest::LeaseSlot { server, lease, demand } => {
                let leased = Arc::clone(&self.arbiter).lease(server, lease, from, demand);
                Box::pin(async move { PeerReply::SlotLeased(leased.await) })
            }
            PeerRequest::AcquireUsage(request) => {
                let reply = PeerReply::UsageAcquired(self.usage.acquire(&from, &request));
                Box::pin(async move { reply })
            }
            PeerRequest::RenewUsage(reports) => {
                let reply = PeerReply::UsageRenewed(self.usage.renew(&from, reports));
                Box::pin(async move { reply })
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
