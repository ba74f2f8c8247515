//! Tests that a server which stops sends the responses that its clients read slowly.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{http_api::HttpServer, options::RequestLimits},
    socket2::{Domain, Socket, Type},
    std::{net::SocketAddr, sync::mpsc, thread, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Builder,
        sync::oneshot,
        time::{Instant, sleep, timeout},
    },
    viz::{IntoResponse, Request, Response, Result, Router},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Many times what a socket to a slow reader holds.
const RESPONSE_BYTES: usize = 8 << 20;
/// The client reads its response in this time after the server is told to stop, longer than a server waits
/// at least.
const READ_TIME: Duration = Duration::from_secs(11);
/// How long the server may take to stop.
const GRACE: Duration = Duration::from_secs(20);
const PIECE_BYTES: usize = 32 << 10;
/// The segments and the receive buffer of a client behind a narrow link.
const SEGMENT_BYTES: u32 = 1_448;
const WINDOW_BYTES: usize = 16 << 10;

async fn long_response(_request: Request) -> Result<Response> {
    Ok("x".repeat(RESPONSE_BYTES).into_response())
}

fn connect_narrow(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

/// Runs a server until it is told to stop and has stopped; all of its tasks end then, as those of a process.
fn run_server(
    started: mpsc::Sender<SocketAddr>,
    stop: oneshot::Receiver<()>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let address = "127.0.0.1:0".parse().unwrap();
            let router = Router::new().get("/long", long_response);
            let limits = RequestLimits::default();
            let server = HttpServer::start(address, router, limits).await.unwrap();
            started.send(server.address()).unwrap();
            stop.await.unwrap();
            server.stop(GRACE).await;
        });
    })
}

/// Guards against responses that are cut some seconds after a server was told to stop, although it may take
/// longer.
#[tokio::test]
async fn stopping_server_sends_whole_response() {
    let (started, address) = mpsc::channel();
    let (stop, stopped) = oneshot::channel();
    let server = run_server(started, stopped);
    let mut stream = connect_narrow(address.recv().unwrap());
    stream.write_all(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
    assert_eq!(timeout(TEST_TIMEOUT, stream.peek(&mut [0; 1])).await.unwrap().unwrap(), 1);
    stop.send(()).unwrap();
    let (began, mut received) = (Instant::now(), 0);
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = timeout(TEST_TIMEOUT, stream.read(&mut piece)).await.unwrap() {
        received += length;
        let due = READ_TIME.mul_f64(received as f64 / RESPONSE_BYTES as f64);
        sleep(due.saturating_sub(began.elapsed())).await;
    }
    assert!(received > RESPONSE_BYTES, "{received} bytes");
    server.join().unwrap();
    assert!(began.elapsed() < GRACE, "it ends when the response is sent");
}
