//! Accepts connections and bounds what a caller may send in its head.

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

/// Open connections of one port; further callers wait in the kernel's queue.
const OPEN_CONNECTIONS: usize = 40_000;
/// The parser takes this many times the limits, so that the pipeline can answer with the remedy;
/// beyond it the library answers 431 alone.
const PARSER_SLACK: usize = 2;
/// After the last request is answered, its bytes leave within this time.
const LAST_BYTES: Duration = Duration::from_secs(5);
/// Pause after an accept that failed for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// One listening port with its task.
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
    /// Listens on `address` and serves `router`.
    ///
    /// # Errors
    /// When the address cannot be listened on.
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
            permits: Arc::new(Semaphore::new(OPEN_CONNECTIONS)),
            graceful: GracefulShutdown::new(),
        };
        let task = tokio::spawn(acceptor.run(listener, phase));
        Ok(HttpServer { address, stop, task })
    }

    /// Where it listens, with the port that the kernel gave.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port, lets open exchanges end and closes idle connections.
    pub async fn stop(self) {
        self.stop.send_replace(ServerPhase::Stopping);
        if self.task.await.is_err() {
            log::error!("the task of an HTTP port ended badly");
        }
    }
}

fn connection_builder(limits: &RequestLimits) -> Builder {
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers.saturating_mul(PARSER_SLACK))
        .max_buf_size(limits.max_head_bytes.saturating_mul(PARSER_SLACK).max(8192));
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
                    log::warn!(error:% = error; "a connection was not accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        if timeout(LAST_BYTES, self.graceful.shutdown()).await.is_err() {
            log::warn!("connections that took no bytes were closed");
        }
    }

    async fn accept(
        &self,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| io::Error::other("the semaphore of connections is closed"))?;
        let (stream, peer) = listener.accept().await?;
        Ok((stream, peer, permit))
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        // Tokens are small writes; waiting to join them would delay each. Failure costs latency.
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
                log::debug!(error:% = error; "a connection ended with an error");
            }
            gauge!(CONNECTIONS).decrement(1.0);
            drop(permit);
        });
    }
}
