//! Accepts connections from peers and serves their messages and requests.

use {
    super::{
        attachment, codec,
        message::{PeerMessage, PeerRequest},
        network::{PeerHandler, REFUSED_COUNTER, count_refusal, reject_name},
        tls::certificate_names_peer,
    },
    crate::{
        ids::VmId,
        observe::memory::{HeldAmount, MemoryPart},
    },
    quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The maximum number of open connections: one from each of 380 daemons, with room for lost
/// connections that have not timed out yet. Further connections are refused and counted.
const MAX_CONNECTIONS: usize = 1_024;
/// How long a peer may take to send its name before its connection is closed.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves peers until the endpoint is closed.
pub async fn accept_peers(endpoint: Endpoint, handler: Arc<dyn PeerHandler>) {
    while let Some(incoming) = endpoint.accept().await {
        if endpoint.open_connections() > MAX_CONNECTIONS {
            metrics::counter!(REFUSED_COUNTER, "reason" => "full").increment(1);
            incoming.refuse();
            continue;
        }
        tokio::spawn(serve_peer(incoming, handler.clone()));
    }
}

async fn serve_peer(incoming: Incoming, handler: Arc<dyn PeerHandler>) {
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
    loop {
        tokio::select! {
            stream = connection.accept_uni() => match stream {
                Ok(stream) => {
                    tokio::spawn(read_messages(stream, peer.clone(), handler.clone()));
                }
                Err(_closed) => return,
            },
            streams = connection.accept_bi() => match streams {
                Ok((sender, receiver)) => {
                    tokio::spawn(answer(sender, receiver, peer.clone(), handler.clone()));
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
    handler: Arc<dyn PeerHandler>,
) {
    let request: PeerRequest = match codec::read_frame(&mut receiver).await {
        Ok(request) => request,
        Err(error) => {
            log::warn!(peer = peer.as_str(); "peer request rejected: {error}");
            return;
        }
    };
    let mut reply = handler.request(peer, request).await;
    let body = attachment::detach_body(&mut reply);
    let frame = codec::encode(&reply)
        .or_else(|error| codec::encode(&super::message::PeerReply::Refused(error.to_string())));
    if let Ok(frame) = frame {
        let _held = HeldAmount::new(MemoryPart::Replies, frame.len());
        let _unread = HeldAmount::new(MemoryPart::UnreadReplies, 1);
        // A failed write means that the peer no longer waits for the reply.
        let written = codec::write_frame(&mut sender, &frame).await;
        if let (Ok(()), Some(body)) = (written, body) {
            let _ = attachment::write_body(&mut sender, body).await;
        }
        // The connection holds the reply until the peer has received it or the connection is lost.
        if sender.finish().is_ok() {
            let _ = sender.stopped().await;
        }
    }
}
