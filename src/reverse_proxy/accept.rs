//! Takes connections from a listener, past moments without free file descriptors.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Pause after an accept that failed: descriptors come free as requests end, within some tens of
/// milliseconds, and trying at once would keep the processor from ending them.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The next connection.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => return stream,
            Err(error) => {
                log::warn!(error:% = error; "a connection was not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
