//! The daemon's end of all connections to its peers.

use {
    super::{
        attachment, codec,
        inbound::accept_peers,
        keys::{self, KeyError, KeyFiles},
        link::{LinkContext, PeerLink},
        message::{PeerMessage, PeerReply, PeerRequest},
        reset_key::{endpoint_settings, unauthenticated_endpoint_settings},
        tls::{TlsPair, build_pair},
        unauthenticated::{build_unauthenticated_pair, self_signed_identity},
    },
    crate::ids::VmId,
    arc_swap::ArcSwap,
    displaydoc::Display,
    futures::future::BoxFuture,
    quinn::{Connection, Endpoint, EndpointConfig, TransportConfig, VarInt},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// A connection that heard nothing for so long is closed. It is also how long a cut goes
/// unnoticed by a connection in use.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests that one peer may have open here at a time.
const OPEN_REQUESTS: u32 = 256;
/// Streams of messages from one peer: one of short messages, one more while a lost one is noticed,
/// and those of long messages.
const OPEN_STREAMS: u32 = 8;
/// Bytes of one stream that a peer may send ahead of the reader.
const STREAM_WINDOW: u32 = 1 << 20;
/// Bytes of all streams of a connection that a peer may send ahead of the reader.
const CONNECTION_WINDOW: u32 = 4 << 20;
/// First guess of the round trip: between regions, rather than QUIC's third of a second, so that
/// a lost first packet costs a tenth of a second instead of one.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(50);

/// Counts peers that were refused, by reason.
pub const REFUSED_COUNTER: &str = "oleandermount_peer_refused_total";
/// Counts messages that were dropped, by reason.
pub const DROPPED_COUNTER: &str = "oleandermount_peer_dropped_total";

/// What a daemon's network needs to start.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// This daemon's VM; its certificate must carry the name.
    pub vm: VmId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// The keys.
    pub keys: KeyFiles,
    /// Where peers are; this VM's own entry is ignored.
    pub peers: BTreeMap<VmId, SocketAddr>,
}

/// What a daemon's network needs to start where the network is trusted as a whole; see
/// [`super::unauthenticated`].
#[derive(Clone, Debug)]
pub struct UnauthenticatedSettings {
    /// This daemon's VM.
    pub vm: VmId,
    /// The UDP address to listen on.
    pub listen: SocketAddr,
    /// Where peers are; this VM's own entry is ignored.
    pub peers: BTreeMap<VmId, SocketAddr>,
}

/// Takes what peers send. Both are called on the network's tasks and must not block.
pub trait PeerHandler: Send + Sync {
    /// Takes a message that needs no reply.
    fn message(&self, from: VmId, message: PeerMessage);

    /// Answers a request.
    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply>;
}

/// Why the network did not do what it was asked.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TransportError {
    /// the keys can't be used: {0}
    Keys(KeyError),
    /// no peer can be heard on {address}: {reason}; give an address of this VM that is free
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        reason: String,
    },
    /// nothing was sent to {peer}: {reason}; another peer may be tried
    NotSent {
        /// The peer.
        peer: VmId,
        /// What prevented it.
        reason: String,
    },
    /// {peer} may have taken the request, but no reply came: {reason}; ask again only with the same operation id or key
    Unknown {
        /// The peer.
        peer: VmId,
        /// What is missing.
        reason: String,
    },
}

impl std::error::Error for TransportError {}

impl TransportError {
    /// Whether the peer surely has not seen the request.
    pub fn definitely_not_sent(&self) -> bool {
        match self {
            Self::NotSent { .. } => true,
            Self::Keys(_) | Self::Listen { .. } | Self::Unknown { .. } => false,
        }
    }
}

/// The network of one daemon; clones share it.
#[derive(Clone)]
pub struct PeerNetwork {
    inner: Arc<NetworkInner>,
}

struct NetworkInner {
    vm: VmId,
    endpoint: Endpoint,
    address: SocketAddr,
    /// `None` where the network is trusted as a whole.
    keys: Option<KeyFiles>,
    shared: Arc<LinkContext>,
    /// One entry for each peer of the last `set_peers`, at most; made when first used.
    links: Mutex<LinkTable>,
}

#[derive(Default)]
struct LinkTable {
    addresses: BTreeMap<VmId, SocketAddr>,
    open: BTreeMap<VmId, PeerLink>,
}

impl PeerNetwork {
    /// Listens and starts to serve peers. Must be called within a tokio runtime.
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
        let place = UnauthenticatedSettings { vm, listen, peers };
        Self::start_with(place, Some(keys), endpoint_config, pair, handler)
    }

    /// Listens and serves peers whose names nobody vouches for. Must be called within a tokio
    /// runtime.
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
            "the network is trusted as a whole: peers are not asked to prove who they are");
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
            listen(std::io::Error::other("no tokio runtime runs where the network starts"))
        })?;
        let endpoint =
            Endpoint::new(endpoint_config, Some(pair.server), socket, runtime).map_err(listen)?;
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

    /// The address that peers reach this daemon at.
    pub fn local_address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Replaces the peers; connections to those that left or moved are closed.
    pub fn set_peers(&self, peers: BTreeMap<VmId, SocketAddr>) {
        let mut table = self.table();
        table.open.retain(|vm, link| peers.get(vm) == Some(&link.address()));
        table.addresses = peers;
        table.addresses.remove(&self.inner.vm);
    }

    /// This daemon's VM.
    pub fn vm(&self) -> &VmId {
        &self.inner.vm
    }

    /// The peers known now, without this daemon.
    pub fn peers(&self) -> Vec<VmId> {
        self.table().addresses.keys().cloned().collect()
    }

    /// Reads the key files again. New connections use the new keys; old ones end by themselves.
    ///
    /// # Errors
    /// [`TransportError::Keys`]; the former keys then stay in use.
    pub fn reload_keys(&self) -> Result<(), TransportError> {
        let Some(files) = &self.inner.keys else { return Ok(()) };
        let pair = load_pair(files)?;
        self.inner.endpoint.set_server_config(Some(pair.server));
        self.inner.shared.client.store(Arc::new(pair.client));
        Ok(())
    }

    /// Sends without waiting. The message is lost when the peer is unknown, unreachable or slow.
    pub fn send(&self, to: &VmId, message: PeerMessage) {
        match self.link(to) {
            Some(link) => link.send(&message),
            None => metrics::counter!(DROPPED_COUNTER, "reason" => "unknown_peer").increment(1),
        }
    }

    /// Asks and waits for the reply, `timeout` at most.
    ///
    /// # Errors
    /// [`TransportError::NotSent`] only when not a byte of the request can have left this daemon
    /// for a peer that accepted it; [`TransportError::Unknown`] otherwise.
    pub async fn call(
        &self,
        to: &VmId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, TransportError> {
        let deadline = Instant::now() + timeout;
        let not_sent = |reason: String| TransportError::NotSent { peer: to.clone(), reason };
        let frame = codec::encode(&request).map_err(|error| not_sent(error.to_string()))?;
        let link = self.link(to).ok_or_else(|| not_sent("the peer is not listed".to_owned()))?;
        let connection = timeout_at(deadline, link.connection())
            .await
            .map_err(|_elapsed| not_sent("no connection in time".to_owned()))?
            .map_err(not_sent)?;
        let (sender, receiver) = timeout_at(deadline, connection.open_bi())
            .await
            .map_err(|_elapsed| not_sent("too many requests are open".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        // From the first byte on the peer may act on the request, whatever happens here.
        let unknown = |reason: String| TransportError::Unknown { peer: to.clone(), reason };
        timeout_at(deadline, exchange(sender, receiver, &frame))
            .await
            .map_err(|_elapsed| unknown("the reply did not come in time".to_owned()))?
            .map_err(unknown)
    }

    /// Ends all connections and waits until the peers know.
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
) -> Result<PeerReply, String> {
    codec::write_frame(&mut sender, frame).await.map_err(|error| error.to_string())?;
    // A failed finish shows as a failed read.
    let _ = sender.finish();
    let mut reply = codec::read_frame(&mut receiver).await.map_err(|error| error.to_string())?;
    attachment::attach(&mut reply, &mut receiver).await.map_err(|error| error.to_string())?;
    Ok(reply)
}

fn load_pair(files: &KeyFiles) -> Result<TlsPair, TransportError> {
    keys::load_keys(files)
        .and_then(|loaded| build_pair(loaded, transport_settings()))
        .map_err(TransportError::Keys)
}

fn transport_settings() -> TransportConfig {
    let mut settings = TransportConfig::default();
    settings
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into().expect("five seconds fit a QUIC integer")))
        .initial_rtt(INITIAL_ROUND_TRIP)
        .max_concurrent_bidi_streams(VarInt::from_u32(OPEN_REQUESTS))
        .max_concurrent_uni_streams(VarInt::from_u32(OPEN_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(u64::from(CONNECTION_WINDOW))
        .datagram_receive_buffer_size(None);
    settings
}

/// Counts a connection that ended because one side did not accept the other's certificate or
/// protocol.
pub(super) fn count_refusal(error: &quinn::ConnectionError) {
    /// QUIC carries TLS alerts as 0x100 plus the alert.
    const TLS_ALERTS: std::ops::RangeInclusive<u64> = 0x100..=0x1ff;
    /// The alert that says that the ends share no protocol.
    const NO_PROTOCOL: u64 = 0x178;
    let code = match error {
        quinn::ConnectionError::TransportError(error) => u64::from(error.code),
        quinn::ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
        _ => return,
    };
    if code == NO_PROTOCOL {
        metrics::counter!(REFUSED_COUNTER, "reason" => "release").increment(1);
        log::warn!("a peer runs another release; run the same one on both VMs");
    } else if TLS_ALERTS.contains(&code) {
        metrics::counter!(REFUSED_COUNTER, "reason" => "authority").increment(1);
        log::warn!("a peer's certificate was refused: {error}; give it a key of this authority");
    }
}

/// Ends a connection whose other end gave a name that its certificate does not carry.
pub(super) fn reject_name(connection: &Connection, vm: &VmId) {
    metrics::counter!(REFUSED_COUNTER, "reason" => "name").increment(1);
    log::warn!("a peer calls itself {vm:?} against its certificate; give that VM its own key");
    connection.close(VarInt::from_u32(1), b"the certificate carries another name");
}
