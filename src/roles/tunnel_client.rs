//! Opens connections to backend servers through other entries.

use {
    super::control_directory::ControlDirectory,
    crate::{
        ids::{ServerId, VmId},
        policy::tunnel_peers::TunnelPeers,
        reverse_proxy::server_link::{ByteStream, TunnelOpener},
        transport::{
            PeerMessage, PeerNetwork, PeerReply, PeerRequest, TunnelRefusal, TunnelStream,
        },
    },
    futures::future::BoxFuture,
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::{Mutex as AsyncMutex, watch},
        time::sleep,
    },
};

/// Time limit for opening a tunnel through any entry. A request tells its server how much time is left
/// before the tunnel is open, so that this must stay short.
const OPEN_TIMEOUT: Duration = Duration::from_millis(450);
/// Time limit for one entry: a dial, and its connect to the server.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of a request for other entries, which is answered immediately.
const PEERS_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum interval between two requests for other entries: while a service has failed, none of them
/// opens tunnels to it.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum age of the known entries. A later sample spreads the load of many partitioned entries.
const PEERS_AGE: Duration = Duration::from_secs(2);
/// Number of entries that are tried for a connection.
const MAX_TRIES: usize = 2;
/// Interval of messages that keep a connection with tunnels open: within its idle timeout, also if
/// one of them is lost.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Opens tunnels through entries that the followed control VM names.
pub struct TunnelClient {
    network: PeerNetwork,
    directory: Arc<ControlDirectory>,
    /// The control VM that this entry follows.
    followed: watch::Receiver<Option<VmId>>,
    state: Mutex<ClientState>,
    /// Held while other entries are requested, so that this happens once at a time.
    refresh: AsyncMutex<()>,
}

struct ClientState {
    peers: TunnelPeers,
    refreshed_at: Option<Instant>,
    random: Xoshiro256PlusPlus,
}

impl TunnelClient {
    /// Creates a client that knows no other entry yet.
    pub fn new(
        network: PeerNetwork,
        directory: Arc<ControlDirectory>,
        followed: watch::Receiver<Option<VmId>>,
    ) -> Self {
        let random = Xoshiro256PlusPlus::from_os_rng();
        let state = ClientState { peers: TunnelPeers::default(), refreshed_at: None, random };
        let refresh = AsyncMutex::default();
        TunnelClient { network, directory, followed, state: Mutex::new(state), refresh }
    }

    /// Keeps the connections to entries with tunnels open; never returns.
    pub async fn keep_alive(self: Arc<Self>) {
        loop {
            sleep(KEEP_ALIVE_INTERVAL).await;
            let used: Vec<VmId> = self.lock().peers.used().cloned().collect();
            used.iter().for_each(|peer| self.network.send(peer, PeerMessage::KeepAlive));
        }
    }

    async fn open_through_any(
        self: Arc<Self>,
        server: ServerId,
        is_partitioned: bool,
    ) -> Result<Box<dyn ByteStream>, TunnelRefusal> {
        let deadline = Instant::now() + OPEN_TIMEOUT;
        for _ in 0..MAX_TRIES {
            self.refresh_peers(is_partitioned).await;
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(peer) = self.lock().select() else { break };
            let lease = PeerLease { client: Arc::clone(&self), peer };
            match self
                .network
                .open_tunnel(&lease.peer, server.clone(), left.min(PEER_TIMEOUT))
                .await
            {
                Ok(stream) => return Ok(Box::new(LeasedTunnel { stream, _lease: lease })),
                Err(TunnelRefusal::Unavailable) => {
                    log::debug!(peer = lease.peer.as_str(); "another entry opened no tunnel");
                    self.lock().peers.record_failure(Instant::now(), &lease.peer);
                }
                Err(refusal) => return Err(refusal),
            }
        }
        Err(TunnelRefusal::Unavailable)
    }

    /// Requests other entries if none can be used, and in the background if they are known for long.
    async fn refresh_peers(self: &Arc<Self>, is_partitioned: bool) {
        let (is_exhausted, is_old) = {
            let state = self.lock();
            let now = Instant::now();
            (state.peers.is_exhausted(now), state.is_old(now))
        };
        if is_exhausted {
            self.request_peers(is_partitioned).await;
        } else if is_old {
            let client = Arc::clone(self);
            tokio::spawn(async move { client.request_peers(is_partitioned).await });
        }
    }

    async fn request_peers(&self, is_partitioned: bool) {
        let _single = self.refresh.lock().await;
        // Another request may have been answered in the meantime.
        let is_recent = |refreshed: Instant| refreshed.elapsed() < REQUEST_INTERVAL;
        if self.lock().refreshed_at.is_some_and(is_recent) {
            return;
        }
        let Some(control) = self.followed.borrow().clone() else { return };
        let request = PeerRequest::TunnelPeers { is_partitioned };
        match self.network.call(&control, request, PEERS_TIMEOUT).await {
            Ok(PeerReply::TunnelPeers(sample)) => {
                let mut state = self.lock();
                let now = Instant::now();
                let own = self.network.vm();
                state.peers.replace(now, sample.into_iter().filter(|peer| peer != own));
                state.refreshed_at = Some(now);
                self.directory.set_tunnel_peers(state.peers.names());
            }
            Ok(_) => {}
            Err(error) => {
                log::debug!(peer = control.as_str(); "requesting other entries failed: {error}");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClientState {
    fn select(&mut self) -> Option<VmId> {
        let choices = [self.random.next_u64(), self.random.next_u64()];
        self.peers.select(Instant::now(), choices)
    }

    fn is_old(&self, now: Instant) -> bool {
        let age = self.refreshed_at.map(|refreshed| now.saturating_duration_since(refreshed));
        age.is_none_or(|age| age >= PEERS_AGE)
    }
}

impl TunnelOpener for TunnelClient {
    fn open(
        self: Arc<Self>,
        server: ServerId,
        is_partitioned: bool,
    ) -> BoxFuture<'static, Result<Box<dyn ByteStream>, TunnelRefusal>> {
        Box::pin(self.open_through_any(server, is_partitioned))
    }
}

/// Counts a connection through an entry until it is dropped.
struct PeerLease {
    client: Arc<TunnelClient>,
    peer: VmId,
}

impl Drop for PeerLease {
    fn drop(&mut self) {
        self.client.lock().peers.record_closed(&self.peer);
    }
}

struct LeasedTunnel {
    stream: TunnelStream,
    _lease: PeerLease,
}

impl AsyncRead for LeasedTunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LeasedTunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
