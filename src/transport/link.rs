//! One peer as seen from here: a task that dials when there is something to send, and a bounded
//! queue of messages before it.
//!
//! Short messages go in order on one stream. Each long one has a stream of its own behind it, so
//! that heartbeats do not wait for a document.

use {
    super::{
        codec::{self, MAX_FRAME},
        message::PeerMessage,
        network::{DROPPED_COUNTER, count_refusal},
    },
    crate::ids::VmId,
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

/// Messages and dials that wait for one peer. Beyond it the newest is dropped: what waits longer
/// than this has been overtaken by the next heartbeat or digest.
const QUEUE_LENGTH: usize = 256;
/// Bytes of messages that wait for one peer or are on their way to it: the largest frame beside the
/// short ones.
pub const MAX_LINK_BYTES: usize = MAX_FRAME + (1 << 20);
/// A dial that takes longer has failed: twenty round trips between regions.
const DIAL_LIMIT: Duration = Duration::from_secs(1);
/// A short message that can't be written for so long shows a peer that no longer reads.
const WRITE_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of a frame from which it has a stream of its own: more than an append or a piece of a
/// snapshot usually has, since those must arrive in order.
const BULK_BYTES: usize = 512 << 10;
/// A long message that has not arrived after so long is lost: the largest takes less on 7.5 Mbit/s.
const BULK_LIMIT: Duration = Duration::from_secs(12);
/// Streams of long messages are served after the one of short messages.
const BULK_PRIORITY: i32 = -1;
/// The first wait after a failed dial.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);
/// The longest wait after failed dials: a healed cut is found within this and one dial.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// What all links of a daemon share.
pub struct LinkContext {
    /// This daemon's VM.
    pub vm: VmId,
    /// The socket.
    pub endpoint: Endpoint,
    /// TLS settings for the next dial.
    pub client: ArcSwap<ClientConfig>,
}

/// A handle on the task; the task ends when the last handle is dropped.
#[derive(Clone)]
pub struct PeerLink {
    address: SocketAddr,
    queue: mpsc::Sender<LinkDemand>,
    /// What is left of [`MAX_LINK_BYTES`].
    room: Arc<Semaphore>,
    /// The connection in use, if one is up; the task alone replaces it.
    current: Arc<Mutex<Option<Connection>>>,
}

/// An encoded message, which holds its bytes of the link until it has arrived or is lost.
struct QueuedFrame {
    bytes: Vec<u8>,
    room: OwnedSemaphorePermit,
}

enum LinkDemand {
    Send(QueuedFrame),
    Connect(oneshot::Sender<Result<Connection, String>>),
}

impl PeerLink {
    /// Starts the task. Nothing is dialled before the first demand.
    pub fn start(shared: Arc<LinkContext>, peer: VmId, address: SocketAddr) -> Self {
        let (queue, demands) = mpsc::channel(QUEUE_LENGTH);
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
        tokio::spawn(task.run(demands));
        Self { address, queue, room: Arc::new(Semaphore::new(MAX_LINK_BYTES)), current }
    }

    /// Where the peer is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message, or drops it when too many messages or bytes wait.
    pub fn send(&self, message: &PeerMessage) {
        let Ok(bytes) = codec::encode(message) else { return count_drop("oversize") };
        let length = u32::try_from(bytes.len()).expect("a frame is below 4 GiB");
        let Ok(room) = Arc::clone(&self.room).try_acquire_many_owned(length) else {
            return count_drop("queue_full");
        };
        let frame = QueuedFrame { bytes, room };
        if self.queue.try_send(LinkDemand::Send(frame)).is_err() {
            count_drop("queue_full");
        }
    }

    /// The open connection, or a new one.
    ///
    /// # Errors
    /// Why there is none; then nothing was sent.
    pub async fn connection(&self) -> Result<Connection, String> {
        if let Some(connection) = open_connection(&self.current) {
            return Ok(connection);
        }
        let (reply, answer) = oneshot::channel();
        self.queue
            .try_send(LinkDemand::Connect(reply))
            .map_err(|_full| "too much waits for this peer".to_owned())?;
        answer.await.unwrap_or_else(|_gone| Err("the peer was removed".to_owned()))
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
    /// Carries messages in order on the current connection; opened with the first message.
    stream: Option<SendStream>,
    backoff: LinkBackoff,
}

impl LinkTask {
    async fn run(mut self, mut demands: mpsc::Receiver<LinkDemand>) {
        while let Some(demand) = demands.recv().await {
            match demand {
                LinkDemand::Connect(reply) => {
                    let result = self.connect().await;
                    // Whoever asked may have run out of time.
                    let _ = reply.send(result);
                }
                LinkDemand::Send(frame) => self.write(frame).await,
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
        let result = timeout(DIAL_LIMIT, self.dial())
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
                log::debug!(peer = self.peer.as_str(); "no connection: {reason}");
            }
        }
        result
    }

    /// Dials and says who this is. Only the peer's reply makes the connection usable: with TLS 1.3
    /// the dialling side is done before the other has checked its certificate, so that without the
    /// reply a request could be written to a peer that then refuses all of it, and the caller
    /// would be told that the request may have run.
    async fn dial(&self) -> Result<Connection, String> {
        let client = ClientConfig::clone(&self.shared.client.load());
        let connection = self
            .shared
            .endpoint
            .connect_with(client, self.address, &self.peer)
            .map_err(|error| error.to_string())?
            .await
            .map_err(refused)?;
        let (mut sender, mut receiver) = connection.open_bi().await.map_err(refused)?;
        let hello = codec::encode(&self.shared.vm).map_err(|error| error.to_string())?;
        let greeting: Result<(), _> = async {
            codec::write_frame(&mut sender, &hello).await.map_err(|_lost| ())?;
            codec::read_frame(&mut receiver).await.map_err(|_lost| ())
        }
        .await;
        match (greeting, connection.close_reason()) {
            (Ok(()), _) => Ok(connection),
            (Err(()), Some(error)) => Err(refused(error)),
            (Err(()), None) => Err("the peer did not greet".to_owned()),
        }
    }

    async fn write(&mut self, frame: QueuedFrame) {
        let Ok(connection) = self.connect().await else { return count_drop("unreachable") };
        if frame.bytes.len() >= BULK_BYTES {
            tokio::spawn(write_bulk(connection, frame));
            return;
        }
        let stream = self.stream.take();
        match timeout(WRITE_LIMIT, write_to(&connection, stream, &frame.bytes)).await {
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

/// Writes a long message and waits until the peer has it. One that takes too long is given up by
/// itself: the peer may be reading all that its link carries.
async fn write_bulk(connection: Connection, frame: QueuedFrame) {
    let QueuedFrame { bytes, room } = frame;
    let written = timeout(BULK_LIMIT, async {
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
    drop(room);
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

fn refused(error: quinn::ConnectionError) -> String {
    count_refusal(&error);
    error.to_string()
}

/// Waits between failed dials, doubled each time, each with its own chance, so that the peers of
/// a VM that returns do not all dial in the same instant.
struct LinkBackoff {
    random: Xoshiro256PlusPlus,
    wait: Duration,
    until: Option<Instant>,
}

impl LinkBackoff {
    fn new(seed: u64) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { random, wait: SHORTEST_WAIT, until: None }
    }

    /// Fails at once within a wait, so that callers can try another peer.
    fn check(&self) -> Result<(), String> {
        match self.until {
            Some(until) if Instant::now() < until => {
                Err("the peer was unreachable just now".into())
            }
            Some(_) | None => Ok(()),
        }
    }

    fn succeeded(&mut self) {
        self.wait = SHORTEST_WAIT;
        self.until = None;
    }

    fn failed(&mut self) {
        let half = self.wait / 2;
        let chance = self.random.next_u32();
        let jitter = half.mul_f64(f64::from(chance) / f64::from(u32::MAX));
        self.until = Some(Instant::now() + half + jitter);
        self.wait = (self.wait * 2).min(LONGEST_WAIT);
    }
}
