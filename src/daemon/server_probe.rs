//! Speaks to backend servers beside requests: signs of life and weight orders.

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

/// Asks one server for its load.
///
/// # Errors
/// As the load call; any error counts as no sign of life.
pub async fn probe_server(
    server: ServerId,
    address: SocketAddr,
) -> Result<LoadReport, BackendError> {
    engine::load(address, server).await
}

/// Probes over HTTP.
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

/// Orders weights over HTTP, and has servers drained by all daemons.
pub struct HttpOrders {
    /// The pipeline, which knows the daemons of the register.
    pub core: Arc<PipelineCore>,
    /// The way to the other daemons.
    pub network: PeerNetwork,
    /// The holds of this daemon.
    pub news: Arc<ServerUpdates>,
}

impl OrderPort for HttpOrders {
    fn order(&self, address: SocketAddr, order: WeightOrder) -> BoxFuture<'_, OrderResult> {
        Box::pin(async move {
            let WeightOrder { model, weights, fencing, send_before, .. } = order;
            match engine::order_weights(address, model, weights, fencing, send_before.into()).await
            {
                Ok(()) => OrderResult::Taken,
                // Fenced: the engine has seen a later order.
                Err(BackendError::Status { status: 409, .. }) => OrderResult::NotTaken,
                Err(error) if error.nothing_sent() => OrderResult::NotTaken,
                // It may have arrived: counted as one that loads, so that the limit holds.
                Err(_) => OrderResult::Taken,
            }
        })
    }

    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(async move { probe_server(server, address).await.ok() })
    }

    fn drain(&self, server: ServerId) {
        self.news.hold(&server);
        let serving = self.core.serving();
        let vms = serving.config.register.vms.iter().map(|vm| &vm.id);
        let others: Vec<&VmId> = vms.filter(|vm| **vm != self.core.vm).collect();
        others.into_iter().for_each(|vm| {
            self.network.send(vm, PeerMessage::DrainServer { server: server.clone() });
        });
    }
}
