//! The paths from this process to the backend servers: direct connections, and tunnels through other
//! daemons while it reaches no server itself.

use {
    super::{core::ProxyCore, pool::BackendTarget},
    crate::{
        ids::ServerId,
        observe::{events, metrics::TUNNELS},
        policy::reachability::{
            ConnectPurpose, LinkFailure, ReachChange, ReachMonitor, ServerPath,
        },
        transport::TunnelRefusal,
    },
    futures::future::BoxFuture,
    metrics::counter,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        time::sleep,
    },
};

/// How often a partitioned process checks whether it reaches a server again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The bytes of a connection to a server.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> ByteStream for S {}

/// Opens connections to servers through other daemons.
pub trait TunnelOpener: Send + Sync {
    /// Connects to a server. Dropping the stream closes the connection. `is_partitioned` tells
    /// whether it is certain that this process reaches no server itself.
    ///
    /// # Errors
    /// The refusal of the daemon that was asked, or [`TunnelRefusal::Unavailable`] if there is none.
    fn open(
        self: Arc<Self>,
        server: ServerId,
        is_partitioned: bool,
    ) -> BoxFuture<'static, Result<Box<dyn ByteStream>, TunnelRefusal>>;
}

/// The state of this process's links to all servers.
#[derive(Default)]
pub struct ServerLinks {
    monitor: Mutex<ReachMonitor>,
    /// Number of listed servers.
    listed: AtomicUsize,
    tunnels: OnceLock<Arc<dyn TunnelOpener>>,
    failure_handler: OnceLock<Box<dyn Fn(LinkFailure) + Send + Sync>>,
}

impl ServerLinks {
    /// Sets how tunnels are opened; without it there are none. A second call has no effect.
    pub fn set_tunnels(&self, tunnels: Arc<dyn TunnelOpener>) {
        if self.tunnels.set(tunnels).is_err() {
            log::error!("the tunnels were set twice");
        }
    }

    /// Sets what is called at failures that may be those of this process's links; a second call has no
    /// effect.
    pub fn set_failure_handler(&self, handler: impl Fn(LinkFailure) + Send + Sync + 'static) {
        if self.failure_handler.set(Box::new(handler)).is_err() {
            log::error!("the failure handler was set twice");
        }
    }

    /// Sets the number of listed servers.
    pub fn set_listed(&self, listed: usize) {
        self.listed.store(listed, Ordering::Relaxed);
    }

    /// Whether servers are reached only through other daemons.
    pub fn is_partitioned(&self) -> bool {
        self.lock().is_partitioned()
    }

    /// Whether a failure at one server may be that of this process's links.
    pub fn is_suspicious(&self) -> bool {
        self.lock().is_suspicious(Instant::now(), self.listed())
    }

    /// Whether other servers have to be checked now; see [`ReachMonitor::start_check`].
    pub fn start_check(&self) -> bool {
        self.lock().start_check(Instant::now())
    }

    /// Whether the next request has to use a new connection; see [`ReachMonitor::is_trial_due`].
    pub fn is_trial_due(&self) -> bool {
        self.tunnels.get().is_some() && self.lock().is_trial_due(Instant::now(), self.listed())
    }

    /// Decides how to open a connection.
    pub fn choose_path(&self, purpose: ConnectPurpose) -> ServerPath {
        match self.tunnels.get() {
            Some(_) => self.lock().choose_path(Instant::now(), self.listed(), purpose),
            None => ServerPath::Direct,
        }
    }

    /// Opens a connection to a server through another daemon.
    ///
    /// # Errors
    /// As [`TunnelOpener::open`].
    pub async fn open_tunnel(
        &self,
        server: &ServerId,
    ) -> Result<Box<dyn ByteStream>, TunnelRefusal> {
        let tunnels = self.tunnels.get().ok_or(TunnelRefusal::Unavailable)?;
        let opened = Arc::clone(tunnels).open(server.clone(), self.is_partitioned()).await;
        let result = match &opened {
            Ok(_) => "opened",
            Err(TunnelRefusal::ServerRefused) => "server_refused",
            Err(TunnelRefusal::ServerUnreachable) => "server_unreachable",
            Err(TunnelRefusal::Unavailable) => "unavailable",
        };
        counter!(TUNNELS, "result" => result).increment(1);
        opened
    }

    /// Records that a direct connection was accepted.
    pub fn record_connected(&self) {
        self.lock().record_connected();
    }

    /// Records that a direct connection was not accepted.
    pub fn record_connect_failure(&self, server: &ServerId) {
        self.lock().record_connect_failure(Instant::now(), server);
        self.report_suspicion();
    }

    /// Records a response on a direct connection, and whether it is the first one there.
    pub fn record_response(&self, is_first: bool) {
        let change = self.lock().record_response(is_first);
        log_change(change);
    }

    /// Records that a direct connection is silent, or broke before its first response; see
    /// [`ReachMonitor::record_no_response`].
    pub fn record_no_response(&self, server: &ServerId, is_first: bool) {
        self.lock().record_no_response(Instant::now(), server, is_first);
        self.report_suspicion();
    }

    /// Records that a tunnel to a server was opened, or that the server `responded` in it without
    /// delay. Returns whether the process counts as partitioned from now on.
    pub fn record_tunnelled(&self, responded: bool) -> bool {
        let change = self.lock().record_tunnelled(Instant::now(), self.listed(), responded);
        log_change(change);
        let is_partitioned = change == Some(ReachChange::Partitioned);
        if is_partitioned {
            self.report_failure(LinkFailure::Certain);
        }
        is_partitioned
    }

    fn report_suspicion(&self) {
        if self.is_suspicious() {
            self.report_failure(LinkFailure::Suspected);
        }
    }

    fn report_failure(&self, failure: LinkFailure) {
        if let Some(handler) = self.failure_handler.get() {
            handler(failure);
        }
    }

    fn record_check(&self) {
        let change = self.lock().record_check();
        log_change(change);
    }

    fn listed(&self) -> usize {
        self.listed.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, ReachMonitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(change: Option<ReachChange>) {
    match change {
        Some(ReachChange::Partitioned) => log::warn!("{}", events::SERVERS_UNREACHABLE),
        Some(ReachChange::Reached) => log::info!("{}", events::SERVERS_REACHED),
        None => {}
    }
}

/// Checks at intervals whether a partitioned process reaches a server again; never returns.
pub async fn check_server_links(core: Arc<ProxyCore>) {
    let mut number = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        let view = core.view();
        if !core.pool.links().is_partitioned() || view.servers.is_empty() {
            continue;
        }
        number += 1;
        let servers = view.servers.iter();
        let Some((server, listed)) = servers.cycle().nth(number % view.servers.len()) else {
            continue;
        };
        if !core.accepts_calls(server) {
            continue;
        }
        let target = BackendTarget { server, address: listed.address };
        if core.pool.check_direct(target, view.health_path(&listed.service)).await {
            core.pool.links().record_check();
        }
    }
}
