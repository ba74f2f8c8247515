//! Calls to backend servers outside requests: health checks and weight orders.

use {
    super::{
        server_monitor::{ServerProbe, monitor_core::ProbeResult},
        server_updates::ServerUpdates,
        weight_orders::{
            OrderPort,
            order_core::{OrderResult, WeightOrder},
        },
    },
    crate::{
        backend::{BackendError, engine},
        ids::{ServerId, VmId},
        inventory::ServerKind,
        pipeline::PipelineCore,
        policy::LoadReport,
        transport::{PeerMessage, PeerNetwork},
    },
    futures::future::BoxFuture,
    std::{net::SocketAddr, sync::Arc},
};

/// Health check of one server: requests its load report.
///
/// # Errors
/// Those of the load call; each counts as a failed health check.
pub async fn probe_server(
    server: ServerId,
    address: SocketAddr,
) -> Result<LoadReport, BackendError> {
    engine::load_report(address, server).await
}

/// Probes servers over HTTP.
pub struct HttpProbe;

impl ServerProbe for HttpProbe {
    fn probe(
        &self,
        server: ServerId,
        address: SocketAddr,
        _kind: ServerKind,
    ) -> BoxFuture<'_, ProbeResult> {
        Box::pin(async move {
            match probe_server(server, address).await {
                Ok(report) => ProbeResult::Alive {
                    incarnation: report.incarnation,
                    leaving: report.leaving,
                    report: Some(report),
                },
                Err(_) => ProbeResult::NoAnswer,
            }
        })
    }
}

/// Sends weight orders over HTTP, and requests all daemons to drain a server.
pub struct HttpOrders {
    /// The pipeline, whose configuration lists the daemons.
    pub core: Arc<PipelineCore>,
    /// The network to the other daemons.
    pub network: PeerNetwork,
    /// The drained servers of this daemon.
    pub updates: Arc<ServerUpdates>,
}

impl OrderPort for HttpOrders {
    fn order(&self, address: SocketAddr, order: WeightOrder) -> BoxFuture<'_, OrderResult> {
        Box::pin(async move {
            let WeightOrder { model, weights, fencing, send_before, .. } = order;
            match engine::order_weights(address, model, weights, fencing, send_before.into()).await
            {
                Ok(()) => OrderResult::Taken,
                // Status 409 is the fencing refusal: the engine has seen a later order.
                Err(BackendError::Status { status: 409, .. }) => OrderResult::NotTaken,
                Err(error) if error.nothing_sent() => OrderResult::NotTaken,
                // The order may have arrived. It counts as accepted, so that the limit on
                // concurrent loads holds.
                Err(_) => OrderResult::Taken,
            }
        })
    }

    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move { probe_server(server, address).await.ok() })
    }

    fn drain(&self, server: ServerId) {
        self.updates.hold(&server);
        let serving = self.core.serving();
        let vms = serving.config.register.vms.iter().map(|vm| &vm.id);
        let others: Vec<&VmId> = vms.filter(|vm| **vm != self.core.vm).collect();
        others.into_iter().for_each(|vm| {
            self.network.send(vm, PeerMessage::DrainServer { server: server.clone() });
        });
    }
}
