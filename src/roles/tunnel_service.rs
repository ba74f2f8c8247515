//! Connects to backend servers for entries that reach none themselves.

use {
    crate::{
        follow::service::EntryHandler,
        ids::{ServerId, VmId},
        reverse_proxy::{
            ProxyCore,
            dial::open_stream,
            pool::{BackendTarget, CONNECT_TIMEOUT},
        },
        transport::{
            PeerHandler, PeerMessage, PeerReply, PeerRequest, TunnelRefusal, TunnelTarget,
        },
    },
    futures::future::BoxFuture,
    std::{
        io::ErrorKind,
        sync::{Arc, OnceLock},
    },
    tokio::{sync::Semaphore, time::timeout},
};

/// Maximum number of tunnels through this entry, each with one connection and two buffers. Further ones
/// are refused at once, and another entry is asked.
const MAX_TUNNELS: usize = 256;

/// Handles requests of peers at an entry.
pub struct TunnelService {
    core: OnceLock<Arc<ProxyCore>>,
    permits: Arc<Semaphore>,
}

impl Default for TunnelService {
    fn default() -> Self {
        let permits = Arc::new(Semaphore::new(MAX_TUNNELS));
        TunnelService { core: OnceLock::new(), permits }
    }
}

impl TunnelService {
    /// Starts to open tunnels; a second call has no effect.
    pub fn open(&self, core: Arc<ProxyCore>) {
        if self.core.set(core).is_err() {
            log::error!("the tunnel service was opened twice");
        }
    }
}

impl PeerHandler for TunnelService {
    fn message(&self, from: VmId, message: PeerMessage) {
        EntryHandler.message(from, message);
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        EntryHandler.request(from, request)
    }

    fn open_tunnel(
        &self,
        _from: VmId,
        server: ServerId,
    ) -> BoxFuture<'static, Result<TunnelTarget, TunnelRefusal>> {
        let core = self.core.get().cloned();
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        Box::pin(async move {
            let (Some(core), Ok(permit)) = (core, permit) else {
                return Err(TunnelRefusal::Unavailable);
            };
            // A tunnel counts as a request in flight, so that a shutdown waits for it.
            let open = core.gate.enter().map_err(|_closed| TunnelRefusal::Unavailable)?;
            // A tunnel never leads through a second entry.
            if core.pool.links().is_partitioned() {
                return Err(TunnelRefusal::Unavailable);
            }
            let address = core.address(&server).ok_or(TunnelRefusal::Unavailable)?;
            if !core.accepts_calls(&server) {
                return Err(TunnelRefusal::ServerUnreachable);
            }
            let target = BackendTarget { server: &server, address };
            let stream = connect(&core, target).await?;
            Ok(TunnelTarget { stream, guard: Box::new((open, permit)) })
        })
    }
}

async fn connect(
    core: &ProxyCore,
    target: BackendTarget<'_>,
) -> Result<tokio::net::TcpStream, TunnelRefusal> {
    match timeout(CONNECT_TIMEOUT, open_stream(target.address)).await {
        Ok(Ok(stream)) => {
            core.pool.links().record_connected();
            Ok(stream)
        }
        failed => {
            core.pool.links().record_connect_failure(target.server);
            let is_refused = matches!(
                failed,
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused
            );
            Err(match is_refused {
                _ if core.pool.links().is_suspicious() => TunnelRefusal::Unavailable,
                true => TunnelRefusal::ServerRefused,
                false => TunnelRefusal::ServerUnreachable,
            })
        }
    }
}
