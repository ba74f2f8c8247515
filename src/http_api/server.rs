//! HTTP server that limits connections and the size of request headers.

use {
    crate::{
        observe::metrics::{CONNECTIONS, REFUSALS, refusal},
        options::RequestLimits,
    },
    hyper::server::conn::http1::Builder,
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    metrics::{counter, gauge},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        task::JoinHandle,
        time::{sleep, timeout},
    },
    viz::{Responder, Router, Tree},
};

/// The maximum number of open connections of one port; further connections wait in the kernel's
/// accept queue.
const MAX_CONNECTIONS: usize = 40_000;
/// The parser accepts this many times the header limits, so that the pipeline can refuse a request
/// with a message that names the remedy; beyond it the library answers 431 without a message.
const PARSER_LIMIT_FACTOR: usize = 2;
/// How long a graceful shutdown waits for open connections to send their last bytes.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example when the process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP server on one port.
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<ServerPhase>,
    task: JoinHandle<()>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    Accepting,
    Stopping,
}

impl HttpServer {
    /// Binds `address` and serves `router`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        limits: RequestLimits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, phase) = watch::channel(ServerPhase::Accepting);
        let acceptor = Acceptor {
            tree: Arc::new(router.into()),
            builder: connection_builder(&limits),
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            graceful: GracefulShutdown::new(),
        };
        let task = tokio::spawn(acceptor.run(listener, phase));
        Ok(HttpServer { address, stop, task })
    }

    /// The bound address; a requested port of 0 is replaced by the port that the kernel chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and idle connections, and waits a few seconds at most until open requests have
    /// been answered.
    pub async fn stop(self) {
        self.stop.send_replace(ServerPhase::Stopping);
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

struct Acceptor {
    tree: Arc<Tree>,
    builder: Builder,
    permits: Arc<Semaphore>,
    graceful: GracefulShutdown,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, mut phase: watch::Receiver<ServerPhase>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept(&listener) => accepted,
                _ = phase.wait_for(|phase| *phase == ServerPhase::Stopping) => break,
            };
            match accepted {
                Ok((stream, peer, permit)) => self.serve(stream, peer, permit),
                Err(error) => {
                    log::warn!(error:% = error; "accepting a connection failed; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        if timeout(SHUTDOWN_TIMEOUT, self.graceful.shutdown()).await.is_err() {
            log::warn!(
                "connections closed at shutdown: their peers did not read the last bytes in time"
            );
        }
    }

    async fn accept(
        &self,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| io::Error::other("the connection semaphore is closed"))?;
        let (stream, peer) = listener.accept().await?;
        Ok((stream, peer, permit))
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        // Tokens are small writes, which Nagle's algorithm would delay. A failure only costs latency.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(Arc::clone(&self.tree), Some(Arc::new(peer)));
        let connection = self.builder.serve_connection(TokioIo::new(stream), responder);
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
            drop(permit);
        });
    }
}
