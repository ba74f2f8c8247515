//! Clients that open many connections to one port and do not keep to what servers expect of them.

#![allow(clippy::unwrap_used, dead_code)]

use {
    std::{
        fs,
        future::pending,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Mutex, MutexGuard},
        task::{JoinHandle, JoinSet},
        time::{Instant, interval, sleep},
    },
};

/// How often the memory and the descriptors of the process are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// After this time without a byte that is sent or read a crowd has had its effect.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Longest time that a crowd sends before its effect is measured.
const CROWD_TIME: Duration = Duration::from_secs(20);

/// Held by each test that measures a process, so that one runs at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of this file runs.
pub async fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}

/// What each client of a crowd sends. It keeps its connection open after that.
#[derive(Clone, Debug)]
pub struct ClientForm {
    /// Sent first.
    pub head: String,
    /// Sent again and again after the head.
    pub piece: Vec<u8>,
    /// How often the piece is sent; a client without end sends it until its connection is closed.
    pub pieces: Option<usize>,
    /// Sent last.
    pub end: Vec<u8>,
    /// Time between two pieces.
    pub pause: Duration,
    /// Whether the client reads what it gets.
    pub reads: bool,
}

impl ClientForm {
    /// Sends a head and nothing more.
    pub fn head(head: String) -> Self {
        let (piece, end) = (Vec::new(), Vec::new());
        ClientForm { head, piece, pieces: Some(0), end, pause: Duration::ZERO, reads: true }
    }

    /// Sends a head and then `pieces` times the piece.
    pub fn body(head: String, piece: Vec<u8>, pieces: usize) -> Self {
        ClientForm { piece, pieces: Some(pieces), ..ClientForm::head(head) }
    }

    /// Sends a head and then the piece without end.
    pub fn endless(head: String, piece: Vec<u8>) -> Self {
        ClientForm { piece, pieces: None, ..ClientForm::head(head) }
    }

    /// Sends `end` after the pieces.
    pub fn ending(self, end: Vec<u8>) -> Self {
        ClientForm { end, ..self }
    }

    /// Does not read what it gets.
    pub fn unread(self) -> Self {
        ClientForm { reads: false, ..self }
    }

    /// Waits between two pieces.
    pub fn pausing(self, pause: Duration) -> Self {
        ClientForm { pause, ..self }
    }
}

/// Encodes `count` chunks of `size` bytes.
pub fn chunks(size: usize, count: usize) -> Vec<u8> {
    let mut one = format!("{size:x}\r\n").into_bytes();
    one.extend(vec![b'x'; size]);
    one.extend(b"\r\n");
    one.repeat(count)
}

/// A crowd of clients. Dropping it closes their connections.
pub struct ClientCrowd {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    _clients: JoinSet<()>,
}

impl ClientCrowd {
    /// Connects `size` clients to `address`.
    pub fn start(address: SocketAddr, size: usize, form: &ClientForm) -> Self {
        let sent = Arc::new(AtomicU64::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            let (form, sent) = (form.clone(), Arc::clone(&sent));
            clients.spawn(async move {
                match send(address, &form, &sent).await {
                    Some(stream) if form.reads => keep_open(stream).await,
                    Some(_stream) => pending::<()>().await,
                    None => {}
                }
            });
        }
        ClientCrowd { address, sent, _clients: clients }
    }

    /// Waits until nothing is sent to the process and read by it any more, or for [`CROWD_TIME`].
    pub async fn wait_settled(&self) {
        let began = Instant::now();
        let mut progress = (0, 0, Instant::now());
        while began.elapsed() < CROWD_TIME && progress.2.elapsed() < QUIET_TIME {
            sleep(SAMPLE_INTERVAL).await;
            let (sent, unread) = (self.sent.load(Ordering::SeqCst), unread_bytes(self.address));
            if (sent, unread) != (progress.0, progress.1) {
                progress = (sent, unread, Instant::now());
            }
        }
    }

    /// Returns the bytes that the clients have sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }
}

/// Sends what a client sends. Returns the connection unless the other side has closed it.
async fn send(address: SocketAddr, form: &ClientForm, sent: &AtomicU64) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    write(&mut stream, form.head.as_bytes(), sent).await?;
    let mut pieces = 0;
    while form.pieces.is_none_or(|most| pieces < most) {
        write(&mut stream, &form.piece, sent).await?;
        pieces += 1;
        if !form.pause.is_zero() {
            sleep(form.pause).await;
        }
    }
    write(&mut stream, &form.end, sent).await?;
    Some(stream)
}

async fn write(stream: &mut TcpStream, bytes: &[u8], sent: &AtomicU64) -> Option<()> {
    stream.write_all(bytes).await.ok()?;
    sent.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    Some(())
}

/// Keeps a connection until the other side closes it.
async fn keep_open(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

/// The most that a process has held at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldResources {
    /// Resident memory, and bytes that have arrived at its sockets and are not read, in bytes.
    pub memory: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Counts what a process holds until it is dropped.
pub struct ProcessMeter {
    id: u32,
    most: Arc<std::sync::Mutex<HeldResources>>,
    task: JoinHandle<()>,
}

impl ProcessMeter {
    /// Begins to measure the process `id`, which listens on `address` of the loopback network.
    pub fn start(id: u32, address: SocketAddr) -> Self {
        let most = Arc::new(std::sync::Mutex::new(HeldResources::default()));
        let task_most = Arc::clone(&most);
        let task = tokio::spawn(async move {
            let mut samples = interval(SAMPLE_INTERVAL);
            loop {
                samples.tick().await;
                let Some(memory) = status_bytes(id, "VmRSS:") else { return };
                let memory = memory + unread_bytes(address);
                let descriptors = open_descriptors(id);
                let mut most = task_most.lock().unwrap();
                most.memory = most.memory.max(memory);
                most.descriptors = most.descriptors.max(descriptors);
            }
        });
        ProcessMeter { id, most, task }
    }

    /// Returns the most that the process has held.
    pub fn most(&self) -> HeldResources {
        let mut most = *self.most.lock().unwrap();
        most.memory = most.memory.max(status_bytes(self.id, "VmHWM:").unwrap_or_default());
        most
    }
}

impl Drop for ProcessMeter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns a field of the status of a process in bytes; `None` if the process has ended.
fn status_bytes(id: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? << 10)
}

fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes in the receive queues of the connections of a local address. Connections that wait
/// to be accepted are not in a process yet and have no inode.
fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { return 0 };
    let number = u32::from_le_bytes(address.ip().octets());
    let local = format!("{number:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    connections
        .filter(|fields| fields.get(1) == Some(&local.as_str()))
        .filter(|fields| fields.get(3) != Some(&"0A") && fields.get(9) != Some(&"0"))
        .filter_map(|fields| u64::from_str_radix(fields.get(4)?.split(':').nth(1)?, 16).ok())
        .sum()
}
