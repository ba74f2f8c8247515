//! Kept connections to backend servers.
//!
//! Where each new connection costs a server milliseconds, they are kept. That brings back the
//! problem that fresh ones avoid: a server may close a kept connection just as a request is written
//! to it, and nothing tells whether it read the request. So a connection is used again only well
//! within the time that its server promises to keep it, what must run once gets one that was used
//! just now or a new one, and only a request of which the library has not begun to write a byte is
//! sent again.

use {
    bytes::Bytes,
    displaydoc::Display,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// A server within the region accepts within a few milliseconds, a full one within some tens. A lost
/// first packet is sent again after a second, so waiting longer than this is waiting for that, while
/// another server could have answered.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Bytes that a server did not confirm for so long show that it, or the way to it, is gone: several
/// round trips and lost packets; a server that works but is silent confirms them.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(1_000);
/// A connection without traffic is probed after this, so that a server that fell silent while it
/// worked is found within about two seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Connections are kept no longer than this where the server does not say how long it keeps them.
const USUAL_IDLE: Duration = Duration::from_secs(2);
/// A connection is not used in the last part of the time that its server keeps it: the server's
/// close may be on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// What must run once goes out on a connection that was idle no longer than this, or a new one.
const ONCE_IDLE: Duration = Duration::from_millis(400);
/// Idle connections kept for one server; more are closed.
const MAX_IDLE: usize = 48;
/// Addresses with connections: several times the servers that one entry speaks to.
const MAX_ADDRESSES: usize = 4_096;
/// A kept connection that the library has not yet made ready for another request is given this.
const READY_WAIT: Duration = Duration::from_millis(2);
/// Heads of answers fit in; events are a few hundred bytes, and each open stream holds one.
const READ_BUFFER_BYTES: usize = 8 * 1024;

type RequestSender = SendRequest<Full<Bytes>>;

/// Why there is no answer's head.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PoolError {
    /// no connection was made, and not a byte was sent
    NotConnected,
    /// as many connections are open to the server as may be, and not a byte was sent
    Full,
    /// the connection broke after bytes were sent; the server may have run the request
    Broken,
}

impl std::error::Error for PoolError {}

/// A connection that carries one exchange; dropping it closes it.
pub struct LeasedConnection {
    sender: RequestSender,
    task: JoinHandle<()>,
    address: SocketAddr,
    pool: Option<ConnectionPool>,
}

impl Drop for LeasedConnection {
    fn drop(&mut self) {
        // A server must see at once that nobody waits, or it works for nobody.
        self.task.abort();
        if let Some(pool) = &self.pool {
            pool.note_closed(self.address);
        }
    }
}

impl LeasedConnection {
    /// Keeps the connection for another exchange; the answer's body must have been read whole.
    pub fn keep(mut self, idle_limit: Option<Duration>) {
        let limit = idle_limit.map_or(USUAL_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN));
        if self.sender.is_closed() || limit.is_zero() {
            return;
        }
        if let Some(pool) = self.pool.take() {
            let until = Instant::now() + limit;
            pool.store(IdleConnection { leased: self, since: Instant::now(), until });
        }
    }
}

struct IdleConnection {
    /// Without its pool, which would be a circle.
    leased: LeasedConnection,
    since: Instant,
    until: Instant,
}

#[derive(Default)]
struct AddressPool {
    /// The one used last comes last; at most [`MAX_IDLE`].
    idle: Vec<IdleConnection>,
    /// Open connections, idle ones included.
    open: u32,
}

/// The connections of one daemon; clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    /// At most [`MAX_ADDRESSES`].
    addresses: Arc<Mutex<BTreeMap<SocketAddr, AddressPool>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the answer's head. `once` says that it must not run twice, and
    /// `most` how many connections this daemon may hold open to the server.
    ///
    /// # Errors
    /// All but [`PoolError::Broken`] promise that not a byte was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        once: bool,
        most: u32,
    ) -> Result<(Response<Incoming>, LeasedConnection), PoolError> {
        while let Some(mut leased) = self.take_idle(address, once).await {
            match leased.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, leased)),
                Err(mut error) => match error.take_message() {
                    // The library gives back only what it has not begun to write.
                    Some(unsent) => request = unsent,
                    None => {
                        log::debug!(address:% = address, error:% = error.error();
                            "a kept connection broke");
                        return Err(PoolError::Broken);
                    }
                },
            }
        }
        let mut leased = self.connect(address, most).await?;
        match leased.sender.try_send_request(request).await {
            Ok(response) => Ok((response, leased)),
            Err(mut error) => {
                log::debug!(address:% = address, error:% = error.error(); "an exchange broke");
                let unsent = error.take_message().is_some();
                Err(if unsent { PoolError::NotConnected } else { PoolError::Broken })
            }
        }
    }

    /// Opens a connection and keeps it, to see whether a server is there.
    pub async fn probe(&self, address: SocketAddr) -> bool {
        match self.connect(address, u32::MAX).await {
            Ok(leased) => {
                leased.keep(None);
                true
            }
            Err(_) => false,
        }
    }

    /// Closes idle connections that are past their time or whose address is not in use.
    pub fn close_unused(&self, used: &BTreeSet<SocketAddr>) {
        let now = Instant::now();
        let mut dropped = Vec::new();
        let mut addresses = self.lock();
        for (address, entry) in addresses.iter_mut() {
            let known = used.contains(address);
            let (kept, gone): (Vec<_>, Vec<_>) =
                entry.idle.drain(..).partition(|idle| known && now < idle.until);
            entry.open = entry.open.saturating_sub(gone.len() as u32);
            entry.idle = kept;
            dropped.extend(gone);
        }
        addresses.retain(|_, entry| entry.open > 0);
    }

    async fn take_idle(&self, address: SocketAddr, once: bool) -> Option<LeasedConnection> {
        loop {
            let mut leased = self.pop_idle(address, once)?;
            leased.pool = Some(self.clone());
            if matches!(timeout(READY_WAIT, leased.sender.ready()).await, Ok(Ok(()))) {
                return Some(leased);
            }
        }
    }

    fn pop_idle(&self, address: SocketAddr, once: bool) -> Option<LeasedConnection> {
        let now = Instant::now();
        let mut addresses = self.lock();
        let entry = addresses.get_mut(&address)?;
        while let Some(idle) = entry.idle.pop() {
            let young = !once || now < idle.since + ONCE_IDLE;
            let usable = now < idle.until && !idle.leased.sender.is_closed();
            if usable && young {
                return Some(idle.leased);
            }
            if usable {
                // Too old for this request, and so are all below it.
                entry.idle.push(idle);
                return None;
            }
            entry.open = entry.open.saturating_sub(1);
        }
        None
    }

    async fn connect(&self, address: SocketAddr, most: u32) -> Result<LeasedConnection, PoolError> {
        self.note_opening(address, most)?;
        match timeout(CONNECT_LIMIT, open(address)).await {
            Ok(Ok((sender, task))) => {
                Ok(LeasedConnection { sender, task, address, pool: Some(self.clone()) })
            }
            failed => {
                self.note_closed(address);
                let reason = match failed {
                    Ok(Err(error)) => error.to_string(),
                    _ => "no answer".to_owned(),
                };
                log::debug!(address:% = address, reason = reason.as_str(); "not connected");
                Err(PoolError::NotConnected)
            }
        }
    }

    fn note_opening(&self, address: SocketAddr, most: u32) -> Result<(), PoolError> {
        let mut addresses = self.lock();
        if addresses.len() >= MAX_ADDRESSES && !addresses.contains_key(&address) {
            return Err(PoolError::Full);
        }
        let entry = addresses.entry(address).or_default();
        if entry.open >= most && entry.idle.pop().is_none() {
            return Err(PoolError::Full);
        }
        entry.open = entry.open.min(most.saturating_sub(1)) + 1;
        Ok(())
    }

    fn note_closed(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.open = entry.open.saturating_sub(1);
        }
    }

    fn store(&self, idle: IdleConnection) {
        let mut addresses = self.lock();
        let Some(entry) = addresses.get_mut(&idle.leased.address) else { return };
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

async fn open(address: SocketAddr) -> Result<(RequestSender, JoinHandle<()>), std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNCONFIRMED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes)?;
    let (sender, connection) = Builder::new()
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "a connection to a backend server ended");
        }
    });
    Ok((sender, task))
}
