//! Accepts connections, with retries while no file descriptors are free.

use {
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept. Descriptors become free within some tens of milliseconds as
/// requests end; an immediate retry would take CPU time from those requests.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection; retries failed accepts.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => return stream,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
