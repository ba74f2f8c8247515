//! The outbound connection to one peer: a task that dials when there is something to send, fed by a
//! bounded queue of messages.
//!
//! Short messages are sent in order on one stream. Each long message has its own stream with a lower
//! priority, so that heartbeats do not wait for a document.

use {
    super::{
        codec::{self, MAX_FRAME},
        message::PeerMessage,
        network::{DROPPED_COUNTER, count_refusal},
    },
    crate::{
        ids::VmId,
        observe::memory::{HeldAmount, MemoryPart},
    },
    arc_swap::ArcSwap,
    quinn::{ClientConfig, Connection, Endpoint, SendStream},
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
        time::{Instant, timeout},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The maximum number of messages and dials that wait for one peer. Further ones are dropped: a
/// message behind a longer queue would be superseded by the next heartbeat or digest before it is
/// sent.
const QUEUE_LENGTH: usize = 256;
/// The maximum number of bytes of messages that wait for one peer or are in flight to it: the
/// largest frame plus the short messages.
pub const MAX_LINK_BYTES: usize = MAX_FRAME + (1 << 20);
/// Timeout of a dial: twenty round trips between regions.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for writing a short message; a peer that takes longer no longer reads.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames of at least this many bytes are sent on their own stream. The threshold is just above the
/// 256 KiB of an append of several entries or of a snapshot chunk, since those must arrive in order.
const BULK_BYTES: usize = 288 << 10;
/// Timeout for delivering a long message; the largest takes less at 7.5 Mbit/s.
const BULK_TIMEOUT: Duration = Duration::from_secs(12);
/// Priority of the streams of long messages, below that of the stream of short messages.
const BULK_PRIORITY: i32 = -1;
/// The first backoff after a failed dial.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff after failed dials. The end of a network partition is noticed within this time
/// plus one dial.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// State shared by all links of a daemon.
pub struct LinkContext {
    /// The VM of this daemon.
    pub vm: VmId,
    /// The QUIC endpoint that all links dial from.
    pub endpoint: Endpoint,
    /// TLS settings for the next dial; replaced when keys are reloaded.
    pub client: ArcSwap<ClientConfig>,
}

/// A handle to the task of a link. The task ends when the last handle is dropped.
#[derive(Clone)]
pub struct PeerLink {
    address: SocketAddr,
    queue: mpsc::Sender<LinkCommand>,
    /// The remaining part of [`MAX_LINK_BYTES`].
    budget: Arc<Semaphore>,
    /// The current connection, if one is open; only the task replaces it.
    current: Arc<Mutex<Option<Connection>>>,
}

/// An encoded message, which occupies its share of the byte budget until it is delivered or lost.
struct QueuedFrame {
    bytes: Vec<u8>,
    budget: OwnedSemaphorePermit,
    held: HeldAmount,
}

enum LinkCommand {
    Send(QueuedFrame),
    Connect(oneshot::Sender<Result<Connection, String>>),
}

impl PeerLink {
    /// Starts the task. It dials when the first message or request needs a connection.
    pub fn start(shared: Arc<LinkContext>, peer: VmId, address: SocketAddr) -> Self {
        let (queue, commands) = mpsc::channel(QUEUE_LENGTH);
        let current = Arc::new(Mutex::new(None));
        let seed = xxh3_64_with_seed(shared.vm.as_bytes(), xxh3_64_with_seed(peer.as_bytes(), 0));
        let task = LinkTask {
            shared,
            peer,
            address,
            current: current.clone(),
            stream: None,
            backoff: LinkBackoff::new(seed),
        };
        tokio::spawn(task.run(commands));
        Self { address, queue, budget: Arc::new(Semaphore::new(MAX_LINK_BYTES)), current }
    }

    /// The address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message; drops and counts it if too many messages or bytes are queued.
    pub fn send(&self, message: &PeerMessage) {
        let Ok(bytes) = codec::encode(message) else { return count_drop("oversize") };
        let length = u32::try_from(bytes.len()).expect("a frame is below 4 GiB");
        let Ok(budget) = Arc::clone(&self.budget).try_acquire_many_owned(length) else {
            return count_drop("queue_full");
        };
        let held = HeldAmount::new(MemoryPart::Messages, bytes.len());
        let frame = QueuedFrame { bytes, budget, held };
        if self.queue.try_send(LinkCommand::Send(frame)).is_err() {
            count_drop("queue_full");
        }
    }

    /// Returns the open connection, or dials a new one.
    ///
    /// # Errors
    /// The reason why there is no connection; nothing was sent then.
    pub async fn connection(&self) -> Result<Connection, String> {
        if let Some(connection) = open_connection(&self.current) {
            return Ok(connection);
        }
        let (reply, answer) = oneshot::channel();
        self.queue
            .try_send(LinkCommand::Connect(reply))
            .map_err(|_full| "the queue for this peer is full".to_owned())?;
        answer.await.unwrap_or_else(|_closed| Err("the peer was removed".to_owned()))
    }
}

fn open_connection(current: &Mutex<Option<Connection>>) -> Option<Connection> {
    current
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
        .filter(|connection| connection.close_reason().is_none())
}

fn count_drop(reason: &'static str) {
    metrics::counter!(DROPPED_COUNTER, "reason" => reason).increment(1);
}

struct LinkTask {
    shared: Arc<LinkContext>,
    peer: VmId,
    address: SocketAddr,
    current: Arc<Mutex<Option<Connection>>>,
    /// The stream of short messages on the current connection; opened with the first message.
    stream: Option<SendStream>,
    backoff: LinkBackoff,
}

impl LinkTask {
    async fn run(mut self, mut commands: mpsc::Receiver<LinkCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                LinkCommand::Connect(reply) => {
                    let result = self.connect().await;
                    // The receiver is dropped when the call has timed out.
                    let _ = reply.send(result);
                }
                LinkCommand::Send(frame) => self.write(frame).await,
            }
        }
        if let Some(connection) = open_connection(&self.current) {
            connection.close(0u32.into(), b"the peer left the register");
        }
    }

    async fn connect(&mut self) -> Result<Connection, String> {
        if let Some(connection) = open_connection(&self.current) {
            return Ok(connection);
        }
        self.backoff.check()?;
        self.stream = None;
        let result = timeout(DIAL_TIMEOUT, self.dial())
            .await
            .unwrap_or_else(|_elapsed| Err("the peer does not answer".to_owned()));
        match &result {
            Ok(connection) => {
                self.backoff.succeeded();
                *self.current.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(connection.clone());
            }
            Err(reason) => {
                self.backoff.failed();
                log::debug!(peer = self.peer.as_str(); "connecting to a peer failed: {reason}");
            }
        }
        result
    }

    /// Dials the peer and sends the name of this VM. The connection is usable only after the peer's
    /// reply: with TLS 1.3 the client completes the handshake before the server has checked the
    /// client's certificate. Without the reply, a request could be written to a peer that then rejects
    /// the connection, and its outcome would be reported as unknown although it never ran.
    async fn dial(&self) -> Result<Connection, String> {
        let client = ClientConfig::clone(&self.shared.client.load());
        let connection = self
            .shared
            .endpoint
            .connect_with(client, self.address, &self.peer)
            .map_err(|error| error.to_string())?
            .await
            .map_err(connection_error)?;
        let (mut sender, mut receiver) = connection.open_bi().await.map_err(connection_error)?;
        let hello = codec::encode(&self.shared.vm).map_err(|error| error.to_string())?;
        let greeting: Result<(), _> = async {
            codec::write_frame(&mut sender, &hello).await.map_err(|_lost| ())?;
            codec::read_frame(&mut receiver).await.map_err(|_lost| ())
        }
        .await;
        match (greeting, connection.close_reason()) {
            (Ok(()), _) => Ok(connection),
            (Err(()), Some(error)) => Err(connection_error(error)),
            (Err(()), None) => Err("the peer did not reply to the greeting".to_owned()),
        }
    }

    async fn write(&mut self, frame: QueuedFrame) {
        let Ok(connection) = self.connect().await else { return count_drop("unreachable") };
        if frame.bytes.len() >= BULK_BYTES {
            tokio::spawn(write_bulk(connection, frame));
            return;
        }
        let stream = self.stream.take();
        match timeout(WRITE_TIMEOUT, write_to(&connection, stream, &frame.bytes)).await {
            Ok(Some(stream)) => self.stream = Some(stream),
            Ok(None) => {
                connection.close(1u32.into(), b"messages can't be written");
                count_drop("lost");
            }
            Err(_elapsed) => {
                connection.close(1u32.into(), b"the peer does not read");
                count_drop("slow");
            }
        }
    }
}

/// Writes a long message and waits until the peer has received it. A message that takes too long is
/// dropped without closing the connection, since the peer may be reading at the full speed of its
/// network.
async fn write_bulk(connection: Connection, frame: QueuedFrame) {
    let QueuedFrame { bytes, budget, held } = frame;
    let written = timeout(BULK_TIMEOUT, async {
        let mut stream = connection.open_uni().await.ok()?;
        stream.set_priority(BULK_PRIORITY).ok()?;
        codec::write_frame(&mut stream, &bytes).await.ok()?;
        stream.finish().ok()?;
        stream.stopped().await.ok()
    });
    match written.await {
        Ok(Some(_)) => {}
        Ok(None) => count_drop("lost"),
        Err(_elapsed) => count_drop("slow"),
    }
    drop((budget, held));
}

async fn write_to(
    connection: &Connection,
    stream: Option<SendStream>,
    frame: &[u8],
) -> Option<SendStream> {
    let mut stream = match stream {
        Some(stream) => stream,
        None => connection.open_uni().await.ok()?,
    };
    codec::write_frame(&mut stream, frame).await.ok()?;
    Some(stream)
}

fn connection_error(error: quinn::ConnectionError) -> String {
    count_refusal(&error);
    error.to_string()
}

/// Exponential backoff with jitter between failed dials, so that the peers of a VM that returns do
/// not all dial at the same time.
struct LinkBackoff {
    random: Xoshiro256PlusPlus,
    delay: Duration,
    until: Option<Instant>,
}

impl LinkBackoff {
    fn new(seed: u64) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { random, delay: MIN_BACKOFF, until: None }
    }

    /// Fails at once during a backoff, so that callers can try another peer.
    fn check(&self) -> Result<(), String> {
        match self.until {
            Some(until) if Instant::now() < until => {
                Err("the peer was unreachable and the backoff has not ended".into())
            }
            Some(_) | None => Ok(()),
        }
    }

    fn succeeded(&mut self) {
        self.delay = MIN_BACKOFF;
        self.until = None;
    }

    fn failed(&mut self) {
        let half = self.delay / 2;
        let random = self.random.next_u32();
        let jitter = half.mul_f64(f64::from(random) / f64::from(u32::MAX));
        self.until = Some(Instant::now() + half + jitter);
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}
