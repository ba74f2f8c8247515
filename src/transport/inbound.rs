//! Connections that peers make to this daemon.

use {
    super::{
        attachment, codec,
        message::{PeerMessage, PeerRequest},
        network::{PeerHandler, REFUSED_COUNTER, count_refusal, reject_name},
        tls::certificate_names_peer,
    },
    crate::ids::VmId,
    quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Connections held at a time: one from each of 380 daemons, with room for those whose loss has
/// not been noticed yet. Beyond it new ones are refused and counted.
const MOST_CONNECTIONS: usize = 1_024;
/// A peer says who it is within this, or is cut off.
const GREETING_LIMIT: Duration = Duration::from_secs(2);

/// Serves peers until the endpoint is closed.
pub async fn accept_peers(endpoint: Endpoint, handler: Arc<dyn PeerHandler>) {
    while let Some(incoming) = endpoint.accept().await {
        if endpoint.open_connections() > MOST_CONNECTIONS {
            metrics::counter!(REFUSED_COUNTER, "reason" => "full").increment(1);
            incoming.refuse();
            continue;
        }
        tokio::spawn(serve_peer(incoming, handler.clone()));
    }
}

async fn serve_peer(incoming: Incoming, handler: Arc<dyn PeerHandler>) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => return count_refusal(&error),
    };
    let Ok(Some(peer)) = timeout(GREETING_LIMIT, greet(&connection)).await else {
        return connection.close(1u32.into(), b"no greeting");
    };
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

/// Reads the peer's name and holds it against its certificate: a VM with a valid key could
/// otherwise vote or finish calls in the name of another.
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
                log::warn!(peer = peer.as_str(); "a message was refused: {error}");
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
            log::warn!(peer = peer.as_str(); "a request was refused: {error}");
            return;
        }
    };
    let mut reply = handler.request(peer, request).await;
    let body = attachment::detach(&mut reply);
    let frame = codec::encode(&reply)
        .or_else(|error| codec::encode(&super::message::PeerReply::Refused(error.to_string())));
    if let Ok(frame) = frame {
        // A peer that no longer waits has given up on the reply.
        let written = codec::write_frame(&mut sender, &frame).await;
        if let (Ok(()), Some(body)) = (written, body) {
            let _ = attachment::write(&mut sender, body).await;
        }
    }
}
