//! Reports what the parts of a control VM hold in memory, beside the resident memory of its process.
//!
//! The resident memory alone does not tell apart what the log, the queues and the connections hold
//! and what the allocator keeps. The bound of a daemon is 64 MiB.

use {
    super::events,
    metrics::gauge,
    std::{
        fs,
        sync::atomic::{AtomicI64, Ordering},
        time::Duration,
    },
    tokio::time::interval,
};

/// Bytes held, by `part`; see [`MemoryPart`].
pub const HELD_BYTES: &str = "oleandermount_held_bytes";
/// Connections from peers, by `kind`.
pub const PEER_LOAD: &str = "oleandermount_peer_load";
/// Resident memory of the process in bytes, without pages of files.
pub const RESIDENT_BYTES: &str = "oleandermount_resident_bytes";

/// Interval between two measurements. A process that runs out of memory takes some seconds to do so.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// The change of the resident memory that is logged: an eighth of a daemon's 64 MiB.
const LOGGED_CHANGE: i64 = 8 << 20;
/// Size of a page in `/proc/self/statm`, on all architectures that the daemons run on.
const PAGE_BYTES: i64 = 4096;

/// What holds memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPart {
    /// Entries of the replica's log.
    ReplicaLog,
    /// Inputs that wait for the replica.
    Inputs,
    /// Batches that wait for the disk.
    Batches,
    /// Messages that wait for peers or are in flight to them.
    Messages,
    /// Frames of peers that are being received.
    Received,
    /// The number of open connections with peers, including handshakes.
    Connections,
    /// The number of connections whose handshake or greeting is incomplete.
    Handshakes,
}

const PARTS: [(MemoryPart, &str); 5] = [
    (MemoryPart::ReplicaLog, "replica_log"),
    (MemoryPart::Inputs, "inputs"),
    (MemoryPart::Batches, "batches"),
    (MemoryPart::Messages, "messages"),
    (MemoryPart::Received, "received"),
];
const COUNTS: [(MemoryPart, &str); 2] =
    [(MemoryPart::Connections, "connections"), (MemoryPart::Handshakes, "handshakes")];

/// The present amounts in the order of [`MemoryPart`]; shared by all daemons of a process, like the
/// metrics.
static AMOUNTS: [AtomicI64; PARTS.len() + COUNTS.len()] =
    [const { AtomicI64::new(0) }; PARTS.len() + COUNTS.len()];

/// Sets the amount of a part that one owner knows as a whole.
pub fn set_amount(part: MemoryPart, amount: usize) {
    AMOUNTS[part as usize].store(as_signed(amount), Ordering::Relaxed);
}

fn amount(part: MemoryPart) -> i64 {
    AMOUNTS[part as usize].load(Ordering::Relaxed)
}

fn as_signed(amount: usize) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}

/// An amount that counts towards a part until it is dropped.
#[derive(Debug)]
pub struct HeldAmount {
    part: MemoryPart,
    amount: i64,
}

impl HeldAmount {
    /// Adds the amount.
    pub fn new(part: MemoryPart, amount: usize) -> Self {
        let amount = as_signed(amount);
        AMOUNTS[part as usize].fetch_add(amount, Ordering::Relaxed);
        HeldAmount { part, amount }
    }
}

impl Drop for HeldAmount {
    fn drop(&mut self) {
        AMOUNTS[self.part as usize].fetch_sub(self.amount, Ordering::Relaxed);
    }
}

/// Updates the metrics, and logs the parts whenever the resident memory has changed much; runs until
/// the task is aborted.
pub async fn report_memory() {
    let mut ticks = interval(MEASURE_INTERVAL);
    let mut logged = 0;
    loop {
        ticks.tick().await;
        // Without the file there is no figure to report; the metric then stays absent.
        let Some(resident) = resident_bytes() else { return };
        gauge!(RESIDENT_BYTES).set(resident as f64);
        for (part, name) in PARTS {
            gauge!(HELD_BYTES, "part" => name).set(amount(part) as f64);
        }
        for (part, name) in COUNTS {
            gauge!(PEER_LOAD, "kind" => name).set(amount(part) as f64);
        }
        if (resident - logged).abs() >= LOGGED_CHANGE {
            logged = resident;
            log_parts(resident);
        }
    }
}

fn log_parts(resident: i64) {
    log::info!(
        resident = resident,
        replica_log = amount(MemoryPart::ReplicaLog),
        inputs = amount(MemoryPart::Inputs),
        batches = amount(MemoryPart::Batches),
        messages = amount(MemoryPart::Messages),
        received = amount(MemoryPart::Received),
        connections = amount(MemoryPart::Connections),
        handshakes = amount(MemoryPart::Handshakes);
        "{}", events::MEMORY_CHANGED);
}

/// The resident memory of this process without pages of files; `None` if the system does not tell.
fn resident_bytes() -> Option<i64> {
    let pages = fs::read_to_string("/proc/self/statm").ok()?;
    let mut fields = pages.split_whitespace().skip(1).map(|field| field.parse::<i64>().ok());
    let (resident, shared) = (fields.next()??, fields.next()??);
    Some((resident - shared) * PAGE_BYTES)
}
