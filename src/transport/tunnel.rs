//! Connections to backend servers through another daemon.
//!
//! A daemon that does not reach the servers itself asks a peer to connect to one. After the peer's
//! reply the stream of the request carries the bytes of the connection in both directions. The peer
//! reads none of them, so that the request, its retries and what is known of its run remain with the
//! daemon that has the caller. A tunnel carries one request and ends with either side: the server
//! must stop working as soon as the caller has left.

use {
    super::{
        codec,
        message::{PeerReply, TunnelRefusal},
    },
    crate::ids::VmId,
    quinn::{Connection, ReadError, RecvStream, SendStream, VarInt},
    std::{
        any::Any,
        io,
        pin::Pin,
        sync::atomic::{AtomicBool, Ordering},
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
    },
};

/// Size of the buffer of each direction; an event of a stream is a few hundred bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Code of a stream that ends because the connection to the server broke.
const SERVER_BROKE: VarInt = VarInt::from_u32(1);
/// Code of a stream that ends while the connection to the server is open.
const TUNNEL_ENDED: VarInt = VarInt::from_u32(2);

/// A connection to a server that a daemon has opened for a peer.
pub struct TunnelTarget {
    /// The connection.
    pub stream: TcpStream,
    /// Dropped when the tunnel has ended.
    pub guard: Box<dyn Any + Send>,
}

/// Serves a tunnel until either side ends.
pub(super) async fn serve_tunnel(
    mut sender: SendStream,
    receiver: RecvStream,
    target: Result<TunnelTarget, TunnelRefusal>,
) {
    let (reply, target) = match target {
        Ok(target) => (PeerReply::TunnelOpened(Ok(())), Some(target)),
        Err(refusal) => (PeerReply::TunnelOpened(Err(refusal)), None),
    };
    let frame = codec::encode(&reply).expect("a short reply always encodes");
    // A failed write means that the peer no longer waits for the reply.
    if codec::write_frame(&mut sender, &frame).await.is_err() {
        return;
    }
    let Some(TunnelTarget { stream, guard }) = target else { return };
    let (from_server, to_server) = stream.into_split();
    let responses = ResponseStream { sender, is_ended: false };
    let has_broken = AtomicBool::new(false);
    // Noticed also while the server reads and sends nothing.
    let abandoned = responses.sender.stopped();
    tokio::select! {
        _ = abandoned => {}
        () = copy_requests(receiver, to_server, &has_broken) => {}
        () = copy_responses(from_server, responses, &has_broken) => {}
    }
    drop(guard);
}

/// The server's bytes for the peer. The transport ends a dropped stream normally, as if the server had
/// closed its connection, so that this one is reset if the server has not.
struct ResponseStream {
    sender: SendStream,
    is_ended: bool,
}

impl ResponseStream {
    async fn finish(&mut self) {
        self.is_ended = true;
        // Fails only on a stream that is closed already.
        let _ = self.sender.finish();
        let _ = self.sender.stopped().await;
    }

    fn reset(&mut self, code: VarInt) {
        self.is_ended = true;
        // Fails only on a stream that is closed already.
        let _ = self.sender.reset(code);
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        if !self.is_ended {
            self.reset(TUNNEL_ENDED);
        }
    }
}

/// Copies until the peer ends its side, which it does only when it needs the connection no longer. Sets
/// `has_broken` if the server's connection breaks.
async fn copy_requests(
    mut receiver: RecvStream,
    mut server: impl AsyncWrite + Unpin,
    has_broken: &AtomicBool,
) {
    while let Ok(Some(chunk)) = receiver.read_chunk(BUFFER_BYTES, true).await {
        if let Err(error) = server.write_all(&chunk.bytes).await {
            // The system reports a reset once, so that a read after this one sees an end. A broken pipe means
            // that the server had ended its side before.
            has_broken.store(error.kind() != io::ErrorKind::BrokenPipe, Ordering::Relaxed);
            // What the server has sent before is still read; its end ends the tunnel.
            return std::future::pending().await;
        }
    }
}

/// Copies until the server ends its side. An end and a break stay distinct for the peer.
async fn copy_responses(
    mut server: impl AsyncRead + Unpin,
    mut responses: ResponseStream,
    has_broken: &AtomicBool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match server.read(&mut buffer).await {
            Ok(0) if has_broken.load(Ordering::Relaxed) => {
                log::debug!("a server's connection in a tunnel broke while a request was sent");
                return responses.reset(SERVER_BROKE);
            }
            Ok(0) => return responses.finish().await,
            Ok(length) => {
                if responses.sender.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "a server's connection in a tunnel broke");
                return responses.reset(SERVER_BROKE);
            }
        }
    }
}

/// A connection to a server through a peer; dropping it ends the tunnel.
pub struct TunnelStream {
    pub(super) sender: SendStream,
    pub(super) receiver: RecvStream,
    /// Keeps the connection to the peer open.
    pub(super) _connection: Connection,
    /// The peer.
    pub peer: VmId,
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.get_mut().receiver), context, buffer)
            .map_err(tunnel_error)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.get_mut().sender), context, bytes)
            .map_err(tunnel_error)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.get_mut().sender), context).map_err(tunnel_error)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_shutdown(Pin::new(&mut self.get_mut().sender), context)
            .map_err(tunnel_error)
    }
}

/// Maps the loss of the peer or of the tunnel to a timeout, since it tells nothing about the server:
/// only a server's own end may count as its crash.
fn tunnel_error(error: io::Error) -> io::Error {
    let cause = error.get_ref().and_then(|cause| cause.downcast_ref::<ReadError>());
    match error.kind() {
        io::ErrorKind::ConnectionReset if cause == Some(&ReadError::Reset(SERVER_BROKE)) => error,
        _ => io::Error::new(io::ErrorKind::TimedOut, error),
    }
}
