//! Accepts connections of clients, with retries while no file descriptors are free.

use {
    crate::{
        pipeline::caller_budget::{CallerBudget, ClientConnection},
        policy::caller_memory::PortKind,
    },
    socket2::SockRef,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Delay after a failed accept. Descriptors become free within some tens of milliseconds as
/// requests end; an immediate retry would take CPU time from those requests.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Size of a connection's receive buffer, which the kernel doubles. Unread bytes count as memory of the
/// process.
const RECEIVE_BUFFER: usize = 64 << 10;

/// A port for clients, whose connections count against the budget of the process.
pub struct ClientPort {
    listener: TcpListener,
    budget: CallerBudget,
    kind: PortKind,
}

impl ClientPort {
    /// Listens on `address`.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn bind(
        address: SocketAddr,
        budget: CallerBudget,
        kind: PortKind,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        // Accepted connections inherit the size. A failure leaves the size to the kernel.
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(ClientPort { listener, budget, kind })
    }

    /// The local address, including a port that the kernel has chosen.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Waits for the next connection, and for room for it.
    pub async fn accept(&self) -> (TcpStream, ClientConnection) {
        let stream = accept_connection(&self.listener).await;
        (stream, self.budget.admit(self.kind).await)
    }
}

/// Waits for the next connection; retries failed accepts.
async fn accept_connection(listener: &TcpListener) -> TcpStream {
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
