//! Connection pool for backend servers.
//!
//! Connections are reused, because a new one can cost a server milliseconds. A server may however
//! close an idle connection while a request is written to it, and then it is unknown whether the
//! server has read the request. Therefore a connection is reused only well within the server's idle
//! timeout, a non-repeatable request uses only a recently used or a new connection, and a request
//! is sent again only if the HTTP library has not begun to write it.

mod failure;

pub use self::failure::{PoolError, broken_attempt};

use {
    self::failure::ConnectError,
    super::{
        dial::{DrivenConnection, RequestSender, drive, open},
        server_link::ServerLinks,
        slot_lease::SlotLease,
    },
    crate::{
        backend::read_meter::ReadMeter,
        ids::ServerId,
        policy::reachability::{ConnectPurpose, ServerPath},
        transport::TunnelRefusal,
    },
    bytes::Bytes,
    http::{Request, Response, header},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::TrySendError},
    std::{
        collections::{BTreeMap, BTreeSet},
        io::ErrorKind,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep_until, timeout},
    },
};

/// A server in the region accepts within a few milliseconds, an overloaded one within some tens of
/// them. A longer wait only covers the retransmission of a lost SYN after a second, in which time
/// another server could have responded.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum idle time of connections to servers that do not report their idle timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Longest idle timeout of a server that is believed.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(3_600);
/// Time before the end of a server's idle timeout from which a connection is no longer used,
/// because the server may already be closing it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum idle time of a connection that is reused for a non-repeatable request.
const NON_REPEATABLE_IDLE_LIMIT: Duration = Duration::from_millis(400);
/// Maximum number of idle connections per server; more are closed.
const MAX_IDLE: usize = 48;
/// Maximum number of addresses with connections: several times the servers of a proxy process.
const MAX_ADDRESSES: usize = 4_096;
/// How long to wait until the HTTP library is ready to reuse an idle connection.
const READY_TIMEOUT: Duration = Duration::from_millis(2);
/// Time without a response after which a direct connection counts as silent. Other servers of a
/// reachable network respond in this time.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Which kept connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// All that the server probably has not closed.
    All,
    /// Those that were used recently, so that the server has certainly not closed them.
    Recent,
    /// None. The server has declined the request before, and a late duplicate of that response, which
    /// has the same request id, would be taken for the response to this attempt.
    Never,
}

/// A backend server to connect to.
#[derive(Clone, Copy, Debug)]
pub struct BackendTarget<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// Its address.
    pub address: SocketAddr,
}

/// Result of an attempt to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted.
    Accepted,
    /// The address is reachable, and nothing listens on it.
    Refused,
    /// Nothing was received.
    Unreachable,
}

/// A connection that is in use by one request; dropping it closes the connection.
pub struct LeasedConnection {
    sender: RequestSender,
    driver: JoinHandle<()>,
    /// Counts what is read from it.
    meter: ReadMeter,
    address: SocketAddr,
    /// Whether no request has been sent on it.
    is_new: bool,
    /// Whether it leads through another daemon. Such a connection is used for one request, so that
    /// the other daemon can tell whether it is needed.
    is_tunnelled: bool,
    pool: Option<ConnectionPool>,
    /// The lease of the server's slot for the request in flight.
    lease: Option<SlotLease>,
}

impl Drop for LeasedConnection {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.abandon();
        }
        // The connection is closed at once, so that the server stops working on an abandoned
        // request.
        self.driver.abort();
        if let Some(pool) = &self.pool {
            pool.release_slot(self.address);
        }
    }
}

impl LeasedConnection {
    /// The meter of what is read from it.
    pub fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    /// Whether the request in flight has the lease of a slot.
    pub fn has_lease(&self) -> bool {
        self.lease.is_some()
    }

    /// Tells the arbiter of the lease, if there is one, that the server had no room for the request.
    pub fn report_rejection(&self) {
        if let Some(lease) = &self.lease {
            lease.report_rejection();
        }
    }

    /// The lease of the request in flight.
    pub fn lease_mut(&mut self) -> Option<&mut SlotLease> {
        self.lease.as_mut()
    }

    /// Keeps the lease of a slot until the request in flight has ended.
    pub fn set_lease(&mut self, lease: Option<SlotLease>) {
        self.lease = lease;
    }

    /// Returns the connection to the pool for reuse; the response body must have been read to its
    /// end.
    pub fn return_to_pool(mut self, idle_limit: Option<Duration>) {
        self.lease = None;
        let stated = idle_limit.map(|limit| limit.min(MAX_IDLE_LIMIT).saturating_sub(IDLE_MARGIN));
        let limit = stated.unwrap_or(DEFAULT_IDLE_LIMIT);
        if self.sender.is_closed() || limit.is_zero() || self.is_tunnelled {
            return;
        }
        if let Some(pool) = self.pool.take() {
            let expires = Instant::now() + limit;
            pool.store_idle(IdleConnection {
                connection: self,
                idle_since: Instant::now(),
                expires,
            });
        }
    }
}

struct IdleConnection {
    /// Its `pool` is `None`, which avoids a reference cycle.
    connection: LeasedConnection,
    idle_since: Instant,
    expires: Instant,
}

#[derive(Default)]
struct AddressPool {
    /// Idle connections, with the most recently used one last; at most [`MAX_IDLE`].
    idle: Vec<IdleConnection>,
    /// Number of open connections, including idle ones.
    open: u32,
}

/// The connections of a process; clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    /// At most [`MAX_ADDRESSES`] entries.
    addresses: Arc<Mutex<BTreeMap<SocketAddr, AddressPool>>>,
    links: Arc<ServerLinks>,
}

/// A connection that was opened.
struct OpenedConnection {
    connection: DrivenConnection,
    is_tunnelled: bool,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response. `reuse` tells which
    /// kept connections it may use. `connection_limit` is the maximum number of connections of
    /// this process to the server.
    ///
    /// # Errors
    /// [`PoolError::NotConnected`] and [`PoolError::Full`] guarantee that no byte was sent.
    pub async fn send(
        &self,
        target: BackendTarget<'_>,
        mut request: Request<Full<Bytes>>,
        reuse: ConnectionReuse,
        connection_limit: u32,
    ) -> Result<(Response<Incoming>, LeasedConnection), PoolError> {
        let address = target.address;
        while let Some(mut connection) = self.reuse(address, reuse).await {
            match self.exchange(target, &mut connection, request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The HTTP library returns only requests that it has not begun to write.
                    Some(unsent) => request = unsent,
                    None => {
                        log::debug!(address:% = address, error:% = error.error();
                            "a reused connection broke");
                        return Err(PoolError::after_sending(error.error()));
                    }
                },
            }
        }
        let mut connection =
            self.connect(target, connection_limit, ConnectPurpose::Request).await?;
        match self.exchange(target, &mut connection, request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => {
                log::debug!(address:% = address, error:% = error.error(); "a new connection broke");
                if !connection.is_tunnelled {
                    self.links.record_no_response(target.server, true);
                }
                let unsent = error.take_message().is_some();
                Err(if unsent {
                    PoolError::NotConnected
                } else {
                    PoolError::after_sending(error.error())
                })
            }
        }
    }

    /// Takes an idle connection, unless a new one is needed to find out whether servers are reached.
    async fn reuse(&self, address: SocketAddr, reuse: ConnectionReuse) -> Option<LeasedConnection> {
        match reuse == ConnectionReuse::Never || self.links.is_trial_due() {
            true => None,
            false => self.take_idle(address, reuse).await,
        }
    }

    /// The state of the links to all servers.
    pub fn links(&self) -> &ServerLinks {
        &self.links
    }

    /// Sends a request on a connection and records what that tells about the links.
    async fn exchange(
        &self,
        target: BackendTarget<'_>,
        connection: &mut LeasedConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let is_tunnelled = connection.is_tunnelled;
        let is_new = std::mem::replace(&mut connection.is_new, false);
        let sent_at = Instant::now();
        connection.meter.reset();
        let sent = connection.sender.try_send_request(request);
        tokio::pin!(sent);
        let result = tokio::select! {
            result = &mut sent => result,
            () = sleep_until(sent_at + SILENCE_LIMIT) => {
                if !is_tunnelled {
                    self.links.record_no_response(target.server, is_new);
                }
                sent.await
            }
        };
        match &result {
            Ok(_) if is_tunnelled => self.record_tunnelled(sent_at.elapsed() < SILENCE_LIMIT),
            Ok(_) => self.links.record_response(is_new),
            Err(_) => {}
        }
        result
    }

    /// Records a tunnel. Once the process counts as partitioned, idle connections are closed, since
    /// requests on them could be lost.
    fn record_tunnelled(&self, responded: bool) {
        if self.links.record_tunnelled(responded) {
            self.close_unused(&BTreeSet::new());
        }
    }

    /// Whether a server responds to a health check on a new direct connection, with any status. The
    /// result is recorded for the links.
    pub async fn check_direct(&self, target: BackendTarget<'_>, path: impl AsRef<str>) -> bool {
        let Ok(mut request) = Request::get(path.as_ref()).body(Full::default()) else {
            return false;
        };
        let host = target.address.to_string().parse();
        let host = host.expect("an address is a valid header value");
        request.headers_mut().insert(header::HOST, host);
        let Ok(opened) = self.open_direct(target).await else { return false };
        let DrivenConnection { mut sender, driver, .. } = opened.connection;
        let response = timeout(SILENCE_LIMIT, sender.send_request(request)).await;
        driver.abort();
        let responded = matches!(response, Ok(Ok(_)));
        match responded {
            true => self.links.record_response(true),
            false => self.links.record_no_response(target.server, true),
        }
        responded
    }

    /// Checks whether a server is reachable by opening a connection, which is added to the pool.
    pub async fn probe(&self, target: BackendTarget<'_>) -> ProbeResult {
        match self.connect(target, u32::MAX, ConnectPurpose::Probe).await {
            Ok(connection) => {
                connection.return_to_pool(None);
                ProbeResult::Accepted
            }
            Err(ConnectError::Refused) => ProbeResult::Refused,
            Err(ConnectError::Full | ConnectError::Failed) => ProbeResult::Unreachable,
        }
    }

    /// Closes idle connections that have expired or whose address is not in `used`.
    pub fn close_unused(&self, used: &BTreeSet<SocketAddr>) {
        let now = Instant::now();
        let mut closed_connections = Vec::new();
        let mut addresses = self.lock();
        for (address, entry) in addresses.iter_mut() {
            let known = used.contains(address);
            let (kept, closed): (Vec<_>, Vec<_>) =
                entry.idle.drain(..).partition(|idle| known && now < idle.expires);
            entry.open = entry.open.saturating_sub(closed.len() as u32);
            entry.idle = kept;
            closed_connections.extend(closed);
        }
        addresses.retain(|_, entry| entry.open > 0);
    }

    async fn take_idle(
        &self,
        address: SocketAddr,
        reuse: ConnectionReuse,
    ) -> Option<LeasedConnection> {
        loop {
            let mut connection = self.pop_idle(address, reuse)?;
            connection.pool = Some(self.clone());
            if matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    fn pop_idle(&self, address: SocketAddr, reuse: ConnectionReuse) -> Option<LeasedConnection> {
        let now = Instant::now();
        let mut addresses = self.lock();
        let entry = addresses.get_mut(&address)?;
        while let Some(idle) = entry.idle.pop() {
            let is_recent = now < idle.idle_since + NON_REPEATABLE_IDLE_LIMIT;
            let fresh = reuse == ConnectionReuse::All || is_recent;
            let usable = now < idle.expires && !idle.connection.sender.is_closed();
            if usable && fresh {
                return Some(idle.connection);
            }
            if usable {
                // The connection has been idle for too long for this request, and so have all
                // before it.
                entry.idle.push(idle);
                return None;
            }
            entry.open = entry.open.saturating_sub(1);
        }
        None
    }

    async fn connect(
        &self,
        target: BackendTarget<'_>,
        connection_limit: u32,
        purpose: ConnectPurpose,
    ) -> Result<LeasedConnection, ConnectError> {
        let address = target.address;
        self.reserve_slot(address, connection_limit)?;
        let opened = self.open_by_path(target, purpose).await;
        let opened = opened.inspect_err(|_| self.release_slot(address))?;
        let OpenedConnection { connection, is_tunnelled } = opened;
        let DrivenConnection { sender, driver, meter } = connection;
        let pool = Some(self.clone());
        let (is_new, lease) = (true, None);
        Ok(LeasedConnection { sender, driver, meter, address, is_new, is_tunnelled, pool, lease })
    }

    async fn open_by_path(
        &self,
        target: BackendTarget<'_>,
        purpose: ConnectPurpose,
    ) -> Result<OpenedConnection, ConnectError> {
        match self.links.choose_path(purpose) {
            ServerPath::Direct => self.open_direct(target).await,
            ServerPath::DirectThenTunnel => match self.open_direct(target).await {
                Ok(opened) => Ok(opened),
                Err(error) => self.open_tunnel(target).await.unwrap_or(Err(error)),
            },
            ServerPath::Tunnel => match self.open_tunnel(target).await {
                Some(opened) => opened,
                None => self.open_direct(target).await,
            },
        }
    }

    /// Opens a tunnel; `None` if no other daemon can tell whether the server is reachable.
    async fn open_tunnel(
        &self,
        target: BackendTarget<'_>,
    ) -> Option<Result<OpenedConnection, ConnectError>> {
        let stream = match self.links.open_tunnel(target.server).await {
            Ok(stream) => stream,
            Err(TunnelRefusal::Unavailable) => return None,
            Err(TunnelRefusal::ServerRefused) => return Some(Err(ConnectError::Refused)),
            Err(TunnelRefusal::ServerUnreachable) => return Some(Err(ConnectError::Failed)),
        };
        self.record_tunnelled(false);
        let opened = drive(stream).await;
        let opened = opened.map(|connection| OpenedConnection { connection, is_tunnelled: true });
        Some(opened.map_err(|_error| ConnectError::Failed))
    }

    async fn open_direct(
        &self,
        target: BackendTarget<'_>,
    ) -> Result<OpenedConnection, ConnectError> {
        let address = target.address;
        match timeout(CONNECT_TIMEOUT, open(address)).await {
            Ok(Ok(connection)) => {
                self.links.record_connected();
                Ok(OpenedConnection { connection, is_tunnelled: false })
            }
            failed => {
                self.links.record_connect_failure(target.server);
                let (error, reason) = match failed {
                    // The process's own links may refuse a connection to a server that runs.
                    Ok(Err(error)) if self.links.is_suspicious() => {
                        (ConnectError::Failed, error.to_string())
                    }
                    Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                        (ConnectError::Refused, error.to_string())
                    }
                    Ok(Err(error)) => (ConnectError::Failed, error.to_string()),
                    _ => (ConnectError::Failed, "timed out".to_owned()),
                };
                log::debug!(address:% = address, reason = reason.as_str(); "failed to connect");
                Err(error)
            }
        }
    }

    fn reserve_slot(&self, address: SocketAddr, connection_limit: u32) -> Result<(), ConnectError> {
        let mut addresses = self.lock();
        if addresses.len() >= MAX_ADDRESSES && !addresses.contains_key(&address) {
            return Err(ConnectError::Full);
        }
        let entry = addresses.entry(address).or_default();
        if entry.open >= connection_limit && entry.idle.pop().is_none() {
            return Err(ConnectError::Full);
        }
        entry.open = entry.open.min(connection_limit.saturating_sub(1)) + 1;
        Ok(())
    }

    fn release_slot(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.open = entry.open.saturating_sub(1);
        }
    }

    fn store_idle(&self, idle: IdleConnection) {
        let mut addresses = self.lock();
        let Some(entry) = addresses.get_mut(&idle.connection.address) else { return };
        if entry.idle.len() >= MAX_IDLE {
            entry.open = entry.open.saturating_sub(1);
            return;
        }
        entry.idle.push(idle);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, AddressPool>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
