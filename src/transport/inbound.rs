//! Accepts connections from peers and serves their messages and requests.

use {
    super::{
        attachment::BodyPacker,
        codec,
        message::{PeerMessage, PeerReply, PeerRequest},
        network::{PeerHandler, REFUSED_COUNTER, count_refusal, reject_name},
        tls::certificate_names_peer,
        tunnel::serve_tunnel,
    },
    crate::{
        ids::VmId,
        observe::memory::{HeldAmount, MemoryPart},
    },
    futures::FutureExt,
    quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// The maximum number of open connections: one from each of 380 daemons, with room for lost
/// connections that have not timed out yet. Further connections are refused and counted.
const MAX_CONNECTIONS: usize = 1_024;
/// How long a peer may take to send its name before its connection is closed.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take to acknowledge a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The latest connection of each peer; at most one entry for each open connection.
#[derive(Default)]
struct PeerConnections {
    latest: Mutex<BTreeMap<VmId, Connection>>,
}

impl PeerConnections {
    /// Records the connection of a peer, and closes its former one if that is silent. A peer dials
    /// again when its former connection is lost, for example because it was killed. The connection
    /// would occupy memory, with the replies that wait on it, until the idle timeout. It is not
    /// silent if another process runs under the same name.
    fn replace(&self, peer: &VmId, connection: &Connection) {
        let former = self.lock().insert(peer.clone(), connection.clone());
        if let Some(former) = former {
            tokio::spawn(close_silent(former));
        }
    }

    /// Removes the connection of a peer unless it was replaced.
    fn remove(&self, peer: &VmId, connection: &Connection) {
        let mut latest = self.lock();
        if latest.get(peer).is_some_and(|known| known.stable_id() == connection.stable_id()) {
            latest.remove(peer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmId, Connection>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes a connection whose peer does not acknowledge a probe. A running process acknowledges it, and
/// one that was restarted on the same address ends the connection with a stateless reset.
async fn close_silent(connection: Connection) {
    let received = |connection: &Connection| connection.stats().udp_rx.datagrams;
    let before = received(&connection);
    // Without a free stream there is no probe, but also a peer that has not read the earlier ones.
    if let Some(Ok(mut probe)) = connection.open_uni().now_or_never() {
        let _ = probe.reset(0u32.into());
    }
    sleep(PROBE_TIMEOUT).await;
    if received(&connection) == before {
        connection.close(0u32.into(), b"replaced by a later connection");
    }
}

/// What all connections of a daemon share.
#[derive(Clone)]
struct InboundContext {
    handler: Arc<dyn PeerHandler>,
    packer: Arc<BodyPacker>,
    connections: Arc<PeerConnections>,
}

/// Serves peers until the endpoint is closed.
pub async fn accept_peers(endpoint: Endpoint, handler: Arc<dyn PeerHandler>) {
    let context = InboundContext { handler, packer: Arc::default(), connections: Arc::default() };
    while let Some(incoming) = endpoint.accept().await {
        if endpoint.open_connections() > MAX_CONNECTIONS {
            metrics::counter!(REFUSED_COUNTER, "reason" => "full").increment(1);
            incoming.refuse();
            continue;
        }
        tokio::spawn(serve_peer(incoming, context.clone()));
    }
}

async fn serve_peer(incoming: Incoming, context: InboundContext) {
    let _connection = HeldAmount::new(MemoryPart::Connections, 1);
    let handshake = HeldAmount::new(MemoryPart::Handshakes, 1);
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => return count_refusal(&error),
    };
    let Ok(Some(peer)) = timeout(GREETING_TIMEOUT, greet(&connection)).await else {
        return connection.close(1u32.into(), b"no greeting");
    };
    drop(handshake);
    context.connections.replace(&peer, &connection);
    serve_streams(&connection, &peer, &context).await;
    context.connections.remove(&peer, &connection);
}

/// Serves the streams of a peer until its connection is closed.
async fn serve_streams(connection: &Connection, peer: &VmId, context: &InboundContext) {
    loop {
        tokio::select! {
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    tokio::spawn(read_messages(stream, peer.clone(), context.handler.clone()));
                }
                Err(_closed) => return,
            },
            streams = connection.accept_bi() => match streams {
                Ok((sender, receiver)) => {
                    tokio::spawn(answer(sender, receiver, peer.clone(), context.clone()));
                }
                Err(_closed) => return,
            },
        }
    }
}

/// Reads the peer's name and checks it against the peer's certificate. Without the check, a VM with a
/// valid key could vote or complete calls in the name of another VM.
async fn greet(connection: &Connection) -> Option<VmId> {
    let (mut sender, mut receiver) = connection.accept_bi().await.ok()?;
    let peer: VmId = codec::read_frame(&mut receiver).await.ok()?;
    if !certificate_names_peer(connection, &peer) {
        reject_name(connection, &peer);
        return None;
    }
    let reply = codec::encode(&()).ok()?;
    codec::write_frame(&mut sender, &reply).await.ok()?;
    Some(peer)
}

async fn read_messages(mut stream: RecvStream, peer: VmId, handler: Arc<dyn PeerHandler>) {
    loop {
        match codec::read_frame::<PeerMessage>(&mut stream).await {
            Ok(message) => handler.message(peer.clone(), message),
            Err(codec::CodecError::Truncated) => return,
            Err(error) => {
                log::warn!(peer = peer.as_str(); "peer message rejected: {error}");
                // The peer closes the connection when its next write fails.
                let _ = stream.stop(1u32.into());
                return;
            }
        }
    }
}

async fn answer(
    mut sender: SendStream,
    mut receiver: RecvStream,
    peer: VmId,
    context: InboundContext,
) {
    let request: PeerRequest = match codec::read_frame(&mut receiver).await {
        Ok(request) => request,
        Err(error) => {
            log::warn!(peer = peer.as_str(); "peer request rejected: {error}");
            return;
        }
    };
    if let PeerRequest::OpenTunnel { server } = request {
        let target = context.handler.open_tunnel(peer, server).await;
        // Boxed, so that requests of followers, of which hundreds wait at a time, take no room for it.
        return Box::pin(serve_tunnel(sender, receiver, target)).await;
    }
    let mut reply = context.handler.request(peer, request).await;
    let packed = context.packer.detach(&mut reply);
    let encoded = packed.and_then(|parts| Ok((codec::encode(&reply)?, Some(parts))));
    let (frame, parts) = match encoded {
        Ok(encoded) => encoded,
        Err(error) => {
            let refused = codec::encode(&PeerReply::Refused(error.to_string()));
            (refused.expect("a short text always encodes"), None)
        }
    };
    // The reply must not occupy memory until the peer has read all of it.
    drop(reply);
    // A failed write means that the peer no longer waits for the reply.
    let written = codec::write_frame(&mut sender, &frame).await;
    drop(frame);
    if let (Ok(()), Some(parts)) = (written, parts) {
        let _ = parts.write(&mut sender).await;
    }
}
