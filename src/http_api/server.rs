//! HTTP server that limits connections and the size of request headers.

use {
    super::held_connection::{ClientService, hold_stream},
    crate::{
        observe::metrics::{CONNECTIONS, REFUSALS, refusal},
        options::RequestLimits,
        pipeline::caller_budget::{CallerBudget, ClientConnection, hold_limits},
        policy::caller_memory::PortKind,
        reverse_proxy::accept::ClientPort,
    },
    hyper::server::conn::http1::Builder,
    hyper_util::{rt::TokioTimer, server::graceful::GracefulShutdown},
    metrics::{counter, gauge},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::watch, task::JoinHandle, time::timeout},
    viz::{Responder, Router, Tree},
};

/// The parser accepts this many times the header limits, so that the pipeline can refuse a request
/// with a message that names the remedy; beyond it the library answers 431 without a message.
const PARSER_LIMIT_FACTOR: usize = 2;
/// How long a graceful shutdown waits at least for open connections to send their last bytes.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(5);

/// An HTTP server on one port.
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<ServerPhase>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    Accepting,
    /// Open connections end in this time.
    Stopping(Duration),
}

impl HttpServer {
    /// Binds `address` and serves `router`, as the only port of the process.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        limits: RequestLimits,
    ) -> io::Result<Self> {
        let budget = CallerBudget::new(hold_limits(limits.max_memory_bytes, usize::MAX));
        let port = ClientPort::bind(address, budget, PortKind::Callers).await?;
        Self::start_at(port, router, limits)
    }

    /// Serves `router` at a port.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn start_at(port: ClientPort, router: Router, limits: RequestLimits) -> io::Result<Self> {
        let address = port.local_address()?;
        let (stop, phase) = watch::channel(ServerPhase::Accepting);
        let acceptor = Acceptor {
            tree: Arc::new(router.into()),
            builder: connection_builder(&limits),
            max_head_bytes: limits.max_head_bytes.saturating_mul(PARSER_LIMIT_FACTOR),
            graceful: GracefulShutdown::new(),
        };
        let task = tokio::spawn(acceptor.run(port, phase));
        Ok(HttpServer { address, stop, task })
    }

    /// The bound address; a requested port of 0 is replaced by the port that the kernel chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and idle connections, and waits until the clients have received the responses to
    /// open requests, for `time` or a few seconds at most, whichever is longer.
    pub async fn stop(self, time: Duration) {
        self.stop.send_replace(ServerPhase::Stopping(time.max(MIN_SHUTDOWN_TIME)));
        if self.task.await.is_err() {
            log::error!("the HTTP server task panicked");
        }
    }
}

fn connection_builder(limits: &RequestLimits) -> Builder {
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers.saturating_mul(PARSER_LIMIT_FACTOR))
        .max_buf_size(limits.max_head_bytes.saturating_mul(PARSER_LIMIT_FACTOR).max(8192));
    builder
}

/// Waits until the server stops; returns how long its connections may take.
async fn shutdown_time(phase: &mut watch::Receiver<ServerPhase>) -> Duration {
    let stopped = phase.wait_for(|phase| *phase != ServerPhase::Accepting).await;
    match stopped.as_deref() {
        Ok(ServerPhase::Stopping(time)) => *time,
        // The server was dropped.
        _ => MIN_SHUTDOWN_TIME,
    }
}

struct Acceptor {
    tree: Arc<Tree>,
    builder: Builder,
    /// The longest head that the parser accepts.
    max_head_bytes: usize,
    graceful: GracefulShutdown,
}

impl Acceptor {
    async fn run(self, port: ClientPort, mut phase: watch::Receiver<ServerPhase>) {
        let time = loop {
            let (stream, client) = tokio::select! {
                accepted = port.accept() => accepted,
                time = shutdown_time(&mut phase) => break time,
            };
            self.serve(stream, client);
        };
        drop(port);
        if timeout(time, self.graceful.shutdown()).await.is_err() {
            log::warn!(
                "connections closed at shutdown: their peers did not read the last bytes in time"
            );
        }
    }

    fn serve(&self, stream: TcpStream, client: ClientConnection) {
        // The peer of a connection that is closed already is unknown; nothing is sent to it either.
        let Ok(peer) = stream.peer_addr() else { return };
        // Tokens are small writes, which Nagle's algorithm would delay. A failure only costs latency.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(Arc::clone(&self.tree), Some(Arc::new(peer)));
        let (stream, held) = hold_stream(stream, &client, self.max_head_bytes);
        let service = ClientService::new(responder, held);
        let connection = self.builder.serve_connection(stream, service);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            gauge!(CONNECTIONS).increment(1.0);
            if let Err(error) = connection.await {
                if error.is_timeout() {
                    counter!(REFUSALS, "reason" => refusal::HEAD_TIMEOUT).increment(1);
                }
                log::debug!(error:% = error; "connection failed");
            }
            gauge!(CONNECTIONS).decrement(1.0);
            drop(client);
        });
    }
}
