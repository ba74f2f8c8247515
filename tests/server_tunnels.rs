//! Connections to backend servers through another daemon keep what a direct connection tells: its end, its
//! break, and the loss of the path.

#![allow(clippy::unwrap_used)]

#[path = "fakes/cut_server.rs"]
mod cut_server;

use {
    cut_server::{CutEnd, cuts, marked_forms, start_cut_server},
    futures::future::BoxFuture,
    oleandermount::transport::{
        PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, TunnelRefusal, TunnelStream,
        TunnelTarget, UnauthenticatedSettings,
    },
    socket2::SockRef,
    std::{
        io::ErrorKind,
        net::SocketAddr,
        sync::{Arc, Mutex, mpsc},
        thread,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::{Builder, Runtime},
        sync::oneshot,
        time::timeout,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than a loopback connection takes to fill its buffers.
const BLOCKED_TIME: Duration = Duration::from_millis(500);
/// Time in which an upload fills most buffers of a tunnel.
const FILL_TIME: Duration = Duration::from_millis(60);
/// Uploads that are answered early, since it varies what meets a reset first.
const UPLOADS: usize = 24;
/// Tunnels that are open when their daemon stops.
const TUNNELS: usize = 32;

/// Opens tunnels to one server, and signals when a tunnel has ended.
struct TunnelPeer {
    server: SocketAddr,
    ended: Mutex<Option<oneshot::Sender<()>>>,
}

impl PeerHandler for TunnelPeer {
    fn message(&self, _from: String, _message: PeerMessage) {}

    fn request(&self, _from: String, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(async { PeerReply::Refused("it only opens tunnels".to_owned()) })
    }

    fn open_tunnel(
        &self,
        _from: String,
        server: String,
    ) -> BoxFuture<'static, Result<TunnelTarget, TunnelRefusal>> {
        let (address, ended) = (self.server, self.ended.lock().unwrap().take());
        Box::pin(async move {
            if server != "listed" {
                return Err(TunnelRefusal::Unavailable);
            }
            let stream =
                TcpStream::connect(address).await.map_err(|_| TunnelRefusal::ServerRefused)?;
            Ok(TunnelTarget { stream, guard: Box::new(ended) })
        })
    }
}

struct TunnelTest {
    listener: TcpListener,
    caller: PeerNetwork,
    peer: PeerNetwork,
    ended: oneshot::Receiver<()>,
}

fn start_network(
    name: &str,
    peers: &[(&str, SocketAddr)],
    handler: Arc<dyn PeerHandler>,
) -> PeerNetwork {
    let settings = UnauthenticatedSettings {
        vm: name.to_owned(),
        listen: "127.0.0.1:0".parse().unwrap(),
        peers: peers.iter().map(|(vm, address)| ((*vm).to_owned(), *address)).collect(),
    };
    PeerNetwork::start_unauthenticated(settings, handler).unwrap()
}

impl TunnelTest {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let (sender, ended) = oneshot::channel();
        let handler = Arc::new(TunnelPeer { server, ended: Mutex::new(Some(sender)) });
        let peer = start_network("peer", &[], handler.clone());
        let caller = start_network("caller", &[("peer", peer.local_address())], handler);
        TunnelTest { listener, caller, peer, ended }
    }

    async fn open(&self) -> (TunnelStream, TcpStream) {
        let tunnel =
            self.caller.open_tunnel(&"peer".to_owned(), "listed".to_owned(), TEST_TIMEOUT).await;
        let (server, _) = self.listener.accept().await.unwrap();
        (tunnel.ok().unwrap(), server)
    }
}

/// Bytes arrive unchanged in both directions, and the server's end is an end and no error.
#[tokio::test]
async fn bytes_pass_until_end() {
    let test = TunnelTest::start().await;
    let (mut tunnel, mut server) = test.open().await;
    let sent: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    let serve = async {
        let mut received = vec![0; sent.len()];
        server.read_exact(&mut received).await.unwrap();
        server.write_all(&received).await.unwrap();
        drop(server);
    };
    let call = async {
        tunnel.write_all(&sent).await.unwrap();
        let mut returned = Vec::new();
        tunnel.read_to_end(&mut returned).await.unwrap();
        assert!(returned == sent);
    };
    timeout(TEST_TIMEOUT, async { tokio::join!(serve, call) }).await.unwrap();
    timeout(TEST_TIMEOUT, test.ended).await.unwrap().unwrap_err();
}

/// Guards against a response that was reset on its way and looks complete because the tunnel ended normally.
#[tokio::test]
async fn reset_stays_reset() {
    let test = TunnelTest::start().await;
    let (mut tunnel, mut server) = test.open().await;
    server.write_all(b"a part").await.unwrap();
    let mut part = [0; 6];
    tunnel.read_exact(&mut part).await.unwrap();
    SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    let error = timeout(TEST_TIMEOUT, tunnel.read(&mut part)).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// Guards against a response that was reset while its request was still sent, and looks complete because the
/// write that met the reset took the error away.
#[tokio::test]
async fn reset_during_upload_stays_reset() {
    for _ in 0..UPLOADS {
        let test = TunnelTest::start().await;
        let (mut tunnel, mut server) = test.open().await;
        // More than all buffers hold, so that the peer is writing when the reset arrives.
        let sent = vec![0; 16 << 20];
        timeout(FILL_TIME, tunnel.write_all(&sent)).await.unwrap_err();
        server.write_all(b"a part").await.unwrap();
        let mut part = [0; 6];
        tunnel.read_exact(&mut part).await.unwrap();
        SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
        drop(server);
        let ended = timeout(TEST_TIMEOUT, tunnel.read(&mut part)).await.unwrap();
        assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
    }
}

/// Guards against a server's own end that looks like a break because the server reads no more of its request.
#[tokio::test]
async fn end_during_upload_stays_end() {
    for _ in 0..UPLOADS {
        let test = TunnelTest::start().await;
        let (mut tunnel, mut server) = test.open().await;
        let sent = vec![0; 16 << 20];
        timeout(FILL_TIME, tunnel.write_all(&sent)).await.unwrap_err();
        server.write_all(b"a whole").await.unwrap();
        server.shutdown().await.unwrap();
        let mut received = Vec::new();
        timeout(TEST_TIMEOUT, tunnel.read_to_end(&mut received)).await.unwrap().unwrap();
        assert_eq!(received, b"a whole");
        drop(server);
    }
}

/// Guards against a part of a response that looks complete because its tunnel ended before the server's
/// connection did.
#[tokio::test]
async fn early_end_is_no_server_end() {
    let test = TunnelTest::start().await;
    let (mut tunnel, mut server) = test.open().await;
    server.write_all(b"a part").await.unwrap();
    let mut part = [0; 6];
    tunnel.read_exact(&mut part).await.unwrap();
    // The serving daemon gives the tunnel up while the server's connection is open.
    tunnel.shutdown().await.unwrap();
    let ended = timeout(TEST_TIMEOUT, tunnel.read(&mut part)).await.unwrap();
    assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::TimedOut));
    drop(server);
}

/// Runs a peer that opens tunnels to `server` until it is told to stop; all of its tasks are dropped then.
fn run_peer(
    runtime: Runtime,
    server: SocketAddr,
    started: mpsc::Sender<SocketAddr>,
    stop: oneshot::Receiver<()>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        runtime.block_on(async {
            let handler = Arc::new(TunnelPeer { server, ended: Mutex::new(None) });
            let peer = start_network("peer", &[], handler);
            started.send(peer.local_address()).unwrap();
            stop.await.unwrap();
        });
    })
}

/// Guards against responses that look complete because the daemon that serves their tunnels was stopped.
#[tokio::test]
async fn stopped_peer_is_no_server_end() {
    for mut builder in [Builder::new_current_thread(), Builder::new_multi_thread()] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let (started, address) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let peer = run_peer(builder.enable_all().build().unwrap(), server, started, stopped);
        let address = tokio::task::spawn_blocking(move || address.recv().unwrap()).await.unwrap();
        let handler = Arc::new(TunnelPeer { server, ended: Mutex::new(None) });
        let caller = start_network("caller", &[("peer", address)], handler);
        let mut open = Vec::new();
        for _ in 0..TUNNELS {
            let tunnel =
                caller.open_tunnel(&"peer".to_owned(), "listed".to_owned(), TEST_TIMEOUT).await;
            let (mut connection, _) = listener.accept().await.unwrap();
            connection.write_all(b"a part").await.unwrap();
            open.push((tunnel.ok().unwrap(), connection));
        }
        stop.send(()).unwrap();
        tokio::task::spawn_blocking(|| peer.join().unwrap()).await.unwrap();
        for (mut tunnel, _connection) in open {
            let mut received = Vec::new();
            let ended = timeout(TEST_TIMEOUT, tunnel.read_to_end(&mut received)).await.unwrap();
            assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::TimedOut));
        }
    }
}

/// Guards against a server that goes on working for a caller that has left.
#[tokio::test]
async fn dropped_tunnel_closes_connection() {
    let test = TunnelTest::start().await;
    let (mut tunnel, mut server) = test.open().await;
    tunnel.write_all(b"request").await.unwrap();
    server.read_exact(&mut [0; 7]).await.unwrap();
    drop(tunnel);
    let ended = timeout(TEST_TIMEOUT, server.read(&mut [0; 1])).await.unwrap();
    assert!(!matches!(ended, Ok(1)), "{ended:?}");
    timeout(TEST_TIMEOUT, test.ended).await.unwrap().unwrap_err();
}

/// Guards against a tunnel that stays open after its caller has left, because the server reads nothing.
#[tokio::test]
async fn abandoned_tunnel_ends_unread() {
    let test = TunnelTest::start().await;
    let (mut tunnel, _server) = test.open().await;
    // More than all buffers hold, so that the peer waits for the server.
    let sent = vec![0; 16 << 20];
    timeout(BLOCKED_TIME, tunnel.write_all(&sent)).await.unwrap_err();
    drop(tunnel);
    timeout(TEST_TIMEOUT, test.ended).await.unwrap().unwrap_err();
}

/// Guards against a lost daemon on the path that counts as a crash of the server.
#[tokio::test]
async fn lost_peer_is_no_server_failure() {
    let test = TunnelTest::start().await;
    let (mut tunnel, _server) = test.open().await;
    test.peer.close().await;
    let error = timeout(TEST_TIMEOUT, tunnel.read(&mut [0; 1])).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

/// A peer connects only to servers that it lists, and refusals tell what is known of the server.
#[tokio::test]
async fn refusals_are_passed_on() {
    let TunnelTest { listener, caller, peer: _peer, ended: _ended } = TunnelTest::start().await;
    let peer = "peer".to_owned();
    let unlisted = caller.open_tunnel(&peer, "other".to_owned(), TEST_TIMEOUT).await;
    assert_eq!(unlisted.err(), Some(TunnelRefusal::Unavailable));
    drop(listener);
    let refused = caller.open_tunnel(&peer, "listed".to_owned(), TEST_TIMEOUT).await;
    assert_eq!(refused.err(), Some(TunnelRefusal::ServerRefused));
    let unknown = caller.open_tunnel(&"none".to_owned(), "listed".to_owned(), TEST_TIMEOUT).await;
    assert_eq!(unknown.err(), Some(TunnelRefusal::Unavailable));
}

/// Opens tunnels to the address that a peer names.
struct AddressPeer;

impl PeerHandler for AddressPeer {
    fn message(&self, _from: String, _message: PeerMessage) {}

    fn request(&self, _from: String, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(async { PeerReply::Refused("it only opens tunnels".to_owned()) })
    }

    fn open_tunnel(
        &self,
        _from: String,
        server: String,
    ) -> BoxFuture<'static, Result<TunnelTarget, TunnelRefusal>> {
        Box::pin(async move {
            let stream =
                TcpStream::connect(&server).await.map_err(|_| TunnelRefusal::ServerRefused)?;
            Ok(TunnelTarget { stream, guard: Box::new(()) })
        })
    }
}

/// Guards against a response that ends anywhere before its end and that a tunnel completes, or whose break it
/// passes on as an end.
#[tokio::test]
async fn cut_responses_stay_cut() {
    let peer = start_network("peer", &[], Arc::new(AddressPeer));
    let caller = start_network("caller", &[("peer", peer.local_address())], Arc::new(AddressPeer));
    for form in marked_forms("Content-Type: text/plain\r\n", "fine") {
        for (part, end) in
            cuts(&form).flat_map(|part| [(part.clone(), CutEnd::Close), (part, CutEnd::Reset)])
        {
            let server = start_cut_server(part.clone(), end).await;
            let address = server.address.to_string();
            let tunnel = caller.open_tunnel(&"peer".to_owned(), address, TEST_TIMEOUT).await;
            let mut tunnel = tunnel.ok().unwrap();
            tunnel.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
            let mut received = Vec::new();
            let ended = timeout(TEST_TIMEOUT, tunnel.read_to_end(&mut received)).await.unwrap();
            let received = String::from_utf8(received).unwrap();
            match end {
                CutEnd::Reset => {
                    assert!(part.starts_with(&received), "{part:?} {received:?}");
                    let error = ended.map_err(|error| error.kind());
                    assert_eq!(error, Err(ErrorKind::ConnectionReset), "{part:?}");
                }
                CutEnd::Close | CutEnd::Silence => {
                    assert_eq!((received, ended.is_ok()), (part, true));
                }
            }
        }
    }
}
