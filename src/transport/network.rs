//! The network of a daemon: its connections to and from all peers.

use {
    super::{
        attachment::{self, DocumentStream},
        codec,
        inbound::accept_peers,
        keys::{self, KeyError, KeyFiles},
        link::{LinkContext, PeerLink},
        message::{PeerMessage, PeerReply, PeerRequest, TunnelRefusal},
        reset_key::{endpoint_settings, unauthenticated_endpoint_settings},
        tls::{TlsPair, build_pair},
        tunnel::{TunnelStream, TunnelTarget},
        unauthenticated::{build_unauthenticated_pair, self_signed_identity},
    },
    crate::ids::{ServerId, VmId},
    arc_swap::ArcSwap,
    displaydoc::Display,
    futures::future::{self, BoxFuture},
    quinn::{Connection, Endpoint, EndpointConfig, TransportConfig, VarInt},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// A connection that receives nothing for this time is closed. A network partition can remain
/// undetected by an active connection for the same time.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of concurrent requests from one peer.
const MAX_OPEN_REQUESTS: u32 = 256;
/// The maximum number of message streams from one peer: one of short messages, a second one while a
/// lost stream has not been detected yet, and those of long messages.
const MAX_MESSAGE_STREAMS: u32 = 8;
/// Flow-control window of one stream: bytes that a peer may send ahead of the reader.
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of a connection: bytes of all its streams that a peer may send ahead of the
/// readers.
const CONNECTION_WINDOW: u32 = 4 << 20;
/// Initial estimate of the round-trip time, that between regions. QUIC's default of a third of a
/// second would make a lost first packet cost a second instead of a tenth.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(50);

/// Metric that counts rejected peers by reason.
pub const REFUSED_COUNTER: &str = "oleandermount_peer_refused_total";
/// Metric that counts dropped messages by reason.
pub const DROPPED_COUNTER: &str = "oleandermount_peer_dropped_total";

/// Settings of a daemon's network with mutual authentication.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// The VM of this daemon; the certificate must contain this name.
    pub vm: VmId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// The key files of this daemon.
    pub keys: KeyFiles,
    /// Addresses of the peers; an entry for this VM is ignored.
    pub peers: BTreeMap<VmId, SocketAddr>,
}

/// Settings of a daemon's network without authentication; see [`super::unauthenticated`].
#[derive(Clone, Debug)]
pub struct UnauthenticatedSettings {
    /// The VM of this daemon.
    pub vm: VmId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// Addresses of the peers; an entry for this VM is ignored.
    pub peers: BTreeMap<VmId, SocketAddr>,
}

/// Handles messages and requests from peers. Both methods run on the tasks of the network and must not
/// block.
pub trait PeerHandler: Send + Sync {
    /// Handles a message that needs no reply.
    fn message(&self, from: VmId, message: PeerMessage);

    /// Handles a request; the future resolves to the reply.
    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply>;

    /// Connects to a server for a peer; the future resolves to the connection.
    fn open_tunnel(
        &self,
        _from: VmId,
        _server: ServerId,
    ) -> BoxFuture<'static, Result<TunnelTarget, TunnelRefusal>> {
        Box::pin(future::ready(Err(TunnelRefusal::Unavailable)))
    }
}

/// Why the network did not start, or a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TransportError {
    /// the keys cannot be used: {0}
    Keys(KeyError),
    /// cannot listen for peers on {address}: {reason}; set a free address of this VM
    Listen {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        reason: String,
    },
    /// nothing was sent to {peer}: {reason}; try another peer
    NotSent {
        /// The peer that was called.
        peer: VmId,
        /// Why the request was not sent.
        reason: String,
    },
    /// {peer} may have received the request but did not reply: {reason}; resend it only with the same operation id or key
    Unknown {
        /// The peer that was called.
        peer: VmId,
        /// Why there is no reply.
        reason: String,
    },
}

impl std::error::Error for TransportError {}

impl TransportError {
    /// Whether it is certain that the peer has not received the request.
    pub fn definitely_not_sent(&self) -> bool {
        match self {
            Self::NotSent { .. } => true,
            Self::Keys(_) | Self::Listen { .. } | Self::Unknown { .. } => false,
        }
    }
}

/// The network of one daemon; clones share the same connections.
#[derive(Clone)]
pub struct PeerNetwork {
    inner: Arc<NetworkInner>,
}

struct NetworkInner {
    vm: VmId,
    endpoint: Endpoint,
    address: SocketAddr,
    /// `None` in an unauthenticated network.
    keys: Option<KeyFiles>,
    shared: Arc<LinkContext>,
    /// At most one link for each peer of the last `set_peers`, created at its first use.
    links: Mutex<LinkTable>,
}

#[derive(Default)]
struct LinkTable {
    addresses: BTreeMap<VmId, SocketAddr>,
    open: BTreeMap<VmId, PeerLink>,
}

impl PeerNetwork {
    /// Binds the address and starts to serve peers, with mutual authentication. Must be called within a
    /// tokio runtime.
    ///
    /// # Errors
    /// [`TransportError::Keys`] or [`TransportError::Listen`].
    pub fn start(
        settings: NetworkSettings,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, TransportError> {
        keys::check_vm_name(&settings.vm).map_err(TransportError::Keys)?;
        let loaded = keys::load_keys(&settings.keys).map_err(TransportError::Keys)?;
        let endpoint_config = endpoint_settings(&loaded);
        let pair = build_pair(loaded, transport_settings()).map_err(TransportError::Keys)?;
        let NetworkSettings { vm, listen, keys, peers } = settings;
        let base = UnauthenticatedSettings { vm, listen, peers };
        Self::start_with(base, Some(keys), endpoint_config, pair, handler)
    }

    /// Binds the address and starts to serve peers without authentication. Must be called within a
    /// tokio runtime.
    ///
    /// # Errors
    /// [`TransportError::Keys`] or [`TransportError::Listen`].
    pub fn start_unauthenticated(
        settings: UnauthenticatedSettings,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, TransportError> {
        let identity = self_signed_identity(&settings.vm).map_err(TransportError::Keys)?;
        let endpoint_config = unauthenticated_endpoint_settings(&settings.vm);
        let pair = build_unauthenticated_pair(identity, transport_settings())
            .map_err(TransportError::Keys)?;
        log::warn!(vm = settings.vm.as_str();
            "peers are not authenticated: every host that reaches the peer port is trusted");
        Self::start_with(settings, None, endpoint_config, pair, handler)
    }

    fn start_with(
        settings: UnauthenticatedSettings,
        keys: Option<KeyFiles>,
        endpoint_config: EndpointConfig,
        pair: TlsPair,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, TransportError> {
        let listen = |reason: std::io::Error| TransportError::Listen {
            address: settings.listen,
            reason: reason.to_string(),
        };
        let socket = UdpSocket::bind(settings.listen).map_err(listen)?;
        let runtime = quinn::default_runtime().ok_or_else(|| {
            listen(std::io::Error::other("the network must be started within a tokio runtime"))
        })?;
        let server = Some(pair.server);
        #[cfg(feature = "link-faults")]
        let endpoint = super::link_faults::wrap_socket(&*runtime, socket)
            .and_then(|socket| {
                Endpoint::new_with_abstract_socket(endpoint_config, server, socket, runtime)
            })
            .map_err(listen)?;
        #[cfg(not(feature = "link-faults"))]
        let endpoint = Endpoint::new(endpoint_config, server, socket, runtime).map_err(listen)?;
        let address = endpoint.local_addr().map_err(listen)?;
        for reason in ["authority", "name", "release", "full"] {
            metrics::counter!(REFUSED_COUNTER, "reason" => reason).increment(0);
        }
        tokio::spawn(accept_peers(endpoint.clone(), handler));
        let shared = Arc::new(LinkContext {
            vm: settings.vm.clone(),
            endpoint: endpoint.clone(),
            client: ArcSwap::from_pointee(pair.client),
        });
        let inner = NetworkInner {
            vm: settings.vm,
            endpoint,
            address,
            keys,
            shared,
            links: Mutex::default(),
        };
        let network = Self { inner: Arc::new(inner) };
        network.set_peers(settings.peers);
        Ok(network)
    }

    /// The bound address, with the port that the kernel chose if the settings have port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Replaces the peers. Connections to peers that were removed or have a new address are closed.
    pub fn set_peers(&self, peers: BTreeMap<VmId, SocketAddr>) {
        let mut table = self.table();
        table.open.retain(|vm, link| peers.get(vm) == Some(&link.address()));
        table.addresses = peers;
        table.addresses.remove(&self.inner.vm);
    }

    /// The VM of this daemon.
    pub fn vm(&self) -> &VmId {
        &self.inner.vm
    }

    /// The current peers, without this daemon.
    pub fn peers(&self) -> Vec<VmId> {
        self.table().addresses.keys().cloned().collect()
    }

    /// Reads the key files again. New connections use the new keys; open connections keep the old ones
    /// until they close. Does nothing in an unauthenticated network.
    ///
    /// # Errors
    /// [`TransportError::Keys`]; the previous keys then stay in use.
    pub fn reload_keys(&self) -> Result<(), TransportError> {
        let Some(files) = &self.inner.keys else { return Ok(()) };
        let pair = load_pair(files)?;
        self.inner.endpoint.set_server_config(Some(pair.server));
        self.inner.shared.client.store(Arc::new(pair.client));
        Ok(())
    }

    /// Sends a message without waiting. It is dropped if the peer is unknown, unreachable or slow.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        match self.link(to) {
            Some(link) => link.send(&message),
            None => metrics::counter!(DROPPED_COUNTER, "reason" => "unknown_peer").increment(1),
        }
    }

    /// Sends a request and waits for the complete reply, at most for `timeout`.
    ///
    /// # Errors
    /// [`TransportError::NotSent`] only if no byte of the request can have reached a peer that accepted
    /// the connection; [`TransportError::Unknown`] otherwise.
    pub async fn call(
        &self,
        to: &VmId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, TransportError> {
        let deadline = Instant::now() + timeout;
        let (mut reply, document) = self.call_until(to, request, deadline, || {}).await?;
        if let Some(document) = document {
            let unknown = |reason| TransportError::Unknown { peer: to.clone(), reason };
            let body = timeout_at(deadline, document.read(|| {}))
                .await
                .map_err(|_elapsed| unknown("the reply did not arrive in time".to_owned()))?
                .map_err(|error| unknown(error.to_string()))?;
            attachment::attach_body(&mut reply, body);
        }
        Ok(reply)
    }

    /// Sends a request and waits for the reply, at most for `timeout`, but not for the body of a
    /// document in it, which may take longer than any other reply. The body is empty in the reply;
    /// it is read from the stream. Calls `received` whenever a part of a server list has arrived.
    ///
    /// # Errors
    /// As [`Self::call`].
    pub async fn call_streamed(
        &self,
        to: &VmId,
        request: PeerRequest,
        timeout: Duration,
        received: impl FnMut(),
    ) -> Result<(PeerReply, Option<DocumentStream>), TransportError> {
        self.call_until(to, request, Instant::now() + timeout, received).await
    }

    /// Connects to a server through a peer.
    ///
    /// # Errors
    /// The peer's refusal; [`TunnelRefusal::Unavailable`] also if the peer does not reply in time. Nothing
    /// has been sent to the server.
    pub async fn open_tunnel(
        &self,
        to: &VmId,
        server: ServerId,
        timeout: Duration,
    ) -> Result<TunnelStream, TunnelRefusal> {
        let opened = async {
            let frame = codec::encode(&PeerRequest::OpenTunnel { server }).ok()?;
            let connection = self.link(to)?.connection().await.ok()?;
            let (mut sender, mut receiver) = connection.open_bi().await.ok()?;
            codec::write_frame(&mut sender, &frame).await.ok()?;
            let reply: PeerReply = codec::read_frame(&mut receiver).await.ok()?;
            let PeerReply::TunnelOpened(result) = reply else { return None };
            let peer = to.clone();
            Some(result.map(|()| TunnelStream { sender, receiver, _connection: connection, peer }))
        };
        let opened = timeout_at(Instant::now() + timeout, opened).await;
        opened.ok().flatten().unwrap_or(Err(TunnelRefusal::Unavailable))
    }

    async fn call_until(
        &self,
        to: &VmId,
        request: PeerRequest,
        deadline: Instant,
        received: impl FnMut(),
    ) -> Result<(PeerReply, Option<DocumentStream>), TransportError> {
        let not_sent = |reason: String| TransportError::NotSent { peer: to.clone(), reason };
        let frame = codec::encode(&request).map_err(|error| not_sent(error.to_string()))?;
        let link = self.link(to).ok_or_else(|| not_sent("the peer is unknown".to_owned()))?;
        let connection = timeout_at(deadline, link.connection())
            .await
            .map_err(|_elapsed| not_sent("connecting timed out".to_owned()))?
            .map_err(not_sent)?;
        let (sender, receiver) = timeout_at(deadline, connection.open_bi())
            .await
            .map_err(|_elapsed| not_sent("too many requests are open".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        // Once the first byte is written, the peer may act on the request even if the call fails.
        let unknown = |reason: String| TransportError::Unknown { peer: to.clone(), reason };
        let (reply, receiver) = timeout_at(deadline, exchange(sender, receiver, &frame, received))
            .await
            .map_err(|_elapsed| unknown("the reply did not arrive in time".to_owned()))?
            .map_err(unknown)?;
        let document = DocumentStream::after(&reply, receiver, connection);
        Ok((reply, document))
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"closing");
        self.inner.endpoint.wait_idle().await;
    }

    fn link(&self, to: &VmId) -> Option<PeerLink> {
        let mut table = self.table();
        if let Some(link) = table.open.get(to) {
            return Some(link.clone());
        }
        let address = *table.addresses.get(to)?;
        let link = PeerLink::start(self.inner.shared.clone(), to.clone(), address);
        table.open.insert(to.clone(), link.clone());
        Some(link)
    }

    fn table(&self) -> std::sync::MutexGuard<'_, LinkTable> {
        self.inner.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn exchange(
    mut sender: quinn::SendStream,
    mut receiver: quinn::RecvStream,
    frame: &[u8],
    received: impl FnMut(),
) -> Result<(PeerReply, quinn::RecvStream), String> {
    codec::write_frame(&mut sender, frame).await.map_err(|error| error.to_string())?;
    // If this fails, the read below fails too.
    let _ = sender.finish();
    let mut reply = codec::read_frame(&mut receiver).await.map_err(|error| error.to_string())?;
    attachment::attach_list(&mut reply, &mut receiver, received)
        .await
        .map_err(|error| error.to_string())?;
    Ok((reply, receiver))
}

fn load_pair(files: &KeyFiles) -> Result<TlsPair, TransportError> {
    keys::load_keys(files)
        .and_then(|loaded| build_pair(loaded, transport_settings()))
        .map_err(TransportError::Keys)
}

fn transport_settings() -> TransportConfig {
    let mut settings = TransportConfig::default();
    settings
        .max_idle_timeout(Some(
            IDLE_TIMEOUT.try_into().expect("five seconds fit into a QUIC integer"),
        ))
        .initial_rtt(INITIAL_ROUND_TRIP)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_OPEN_REQUESTS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_MESSAGE_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(u64::from(CONNECTION_WINDOW))
        .datagram_receive_buffer_size(None)
        .enable_segmentation_offload(false);
    settings
}

/// Counts a connection that failed because one side rejected the other's certificate or protocol.
pub(super) fn count_refusal(error: &quinn::ConnectionError) {
    /// QUIC encodes a TLS alert as 0x100 plus the alert's code.
    const TLS_ALERTS: std::ops::RangeInclusive<u64> = 0x100..=0x1ff;
    /// The alert `no_application_protocol`.
    const NO_PROTOCOL: u64 = 0x178;
    let code = match error {
        quinn::ConnectionError::TransportError(error) => u64::from(error.code),
        quinn::ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
        _ => return,
    };
    if code == NO_PROTOCOL {
        metrics::counter!(REFUSED_COUNTER, "reason" => "release").increment(1);
        log::warn!("a peer runs an incompatible release; run the same release on both VMs");
    } else if TLS_ALERTS.contains(&code) {
        metrics::counter!(REFUSED_COUNTER, "reason" => "authority").increment(1);
        log::warn!(
            "the certificate of a peer or of this VM was rejected: {error}; use keys of the same authority on both VMs"
        );
    }
}

/// Closes a connection whose peer sent a name that its certificate does not contain.
pub(super) fn reject_name(connection: &Connection, vm: &VmId) {
    metrics::counter!(REFUSED_COUNTER, "reason" => "name").increment(1);
    log::warn!(
        "a peer sent the name {vm:?}, which its certificate does not contain; give that VM its own key"
    );
    connection.close(VarInt::from_u32(1), b"the certificate carries another name");
}
