//! Opens connections to backend servers and hands them to the HTTP library.

use {
    super::server_link::ByteStream,
    crate::backend::read_meter::{MeteredStream, ReadMeter},
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{Builder, SendRequest},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Time without an acknowledgement of sent bytes after which a connection counts as broken. It
/// covers several round trips and lost packets; a server that is busy still acknowledges bytes.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// TCP keepalive time and interval, so that a server that becomes unresponsive while it processes a
/// request is detected within about two seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size of a read buffer, of which each open stream has one. Response heads fit in; events are a
/// few hundred bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Sends requests on a connection.
pub(super) type RequestSender = SendRequest<Full<Bytes>>;

/// A connection that the HTTP library drives.
pub(super) struct DrivenConnection {
    pub sender: RequestSender,
    /// The task that drives it; aborting the task closes the connection.
    pub driver: JoinHandle<()>,
    /// Counts what is read from it.
    pub meter: ReadMeter,
}

/// Connects to a server directly.
///
/// # Errors
/// The error of the connect.
pub(super) async fn open(address: SocketAddr) -> Result<DrivenConnection, io::Error> {
    drive(open_stream(address).await?).await
}

/// Connects to a server and sets how soon the connection counts as broken.
///
/// # Errors
/// The error of the connect.
pub async fn open_stream(address: SocketAddr) -> Result<TcpStream, io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    Ok(stream)
}

/// Hands a connection to the HTTP library.
///
/// # Errors
/// When the HTTP library rejects the connection.
pub(super) async fn drive(
    stream: impl ByteStream + 'static,
) -> Result<DrivenConnection, io::Error> {
    let meter = ReadMeter::default();
    let stream = MeteredStream::new(stream, meter.clone());
    let (sender, connection) = Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "a connection to a backend server ended");
        }
    });
    Ok(DrivenConnection { sender, driver, meter })
}
