//! Memory and connections that a process holds for its clients, shared by all of its ports.

use {
    crate::{
        observe::{
            events,
            metrics::{CLOSED_CLIENTS, HELD_FOR_CLIENTS, MOST_HELD_FOR_CLIENTS},
        },
        policy::caller_memory::{
            BodyLength, CONNECTION_BYTES, CallerLedger, HoldLimits, HoldOutcome, HoldPhase,
            HoldPurpose, HolderId, PortKind, STALL_DETECTION_TIME, retry_delay,
        },
    },
    bytes::Bytes,
    displaydoc::Display,
    futures::task::AtomicWaker,
    memmap2::MmapMut,
    metrics::{counter, gauge},
    std::{
        collections::BTreeMap,
        future::poll_fn,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
};

/// Memory of a process whose settings do not name it: what a daemon takes at most.
pub const DEFAULT_MEMORY: usize = 64 << 20;
/// Memory that a process needs for itself. It may hold half of the rest for its clients; the allocator may
/// keep as much.
const OWN_MEMORY: usize = 24 << 20;
/// What a process may hold for its clients however little memory it has.
const MIN_HELD: usize = 8 << 20;
/// Connections of operators, who are few.
const OPERATOR_CONNECTIONS: usize = 64;
/// Connections of health checks and metrics.
const PAGE_CONNECTIONS: usize = 32;
/// How soon a client that waits for a connection is considered again, since others become idle with time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a client waits for room, in which those that have stalled are detected.
const MAX_WAIT: Duration = STALL_DETECTION_TIME.saturating_add(Duration::from_millis(500));
/// Time between two log records of connections that are closed to make room.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The first size of a buffer whose final size is unknown.
const MIN_BUFFER: usize = 4 << 10;
/// The longest buffer on the heap.
const MAX_SHORT_BUFFER: usize = 64 << 10;

/// Returns what a process with `memory` bytes may hold, with at most `callers` connections of callers.
pub fn hold_limits(memory: usize, callers: usize) -> HoldLimits {
    HoldLimits {
        bytes: (memory.saturating_sub(OWN_MEMORY) / 2).max(MIN_HELD),
        callers,
        operators: OPERATOR_CONNECTIONS,
        pages: PAGE_CONNECTIONS,
    }
}

/// The memory of the process is short; retry later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct BudgetShort;

impl std::error::Error for BudgetShort {}

/// There is no room yet; this many connections are being closed to make some.
struct ClosingOthers(usize);

/// Set once a connection is to be closed; wakes its task.
#[derive(Debug, Default)]
struct CloseSignal {
    is_set: AtomicBool,
    waker: AtomicWaker,
}

#[derive(Debug)]
struct BudgetState {
    ledger: CallerLedger,
    /// One for each holder of the ledger.
    signals: BTreeMap<HolderId, Arc<CloseSignal>>,
    most: usize,
    closed: u64,
    logged_at: Option<Instant>,
}

/// The budget of a process; clones share it.
#[derive(Clone, Debug)]
pub struct CallerBudget {
    state: Arc<Mutex<BudgetState>>,
    released: Arc<Notify>,
}

impl Default for CallerBudget {
    fn default() -> Self {
        CallerBudget::new(hold_limits(DEFAULT_MEMORY, usize::MAX))
    }
}

impl CallerBudget {
    /// Creates a budget of which nothing is in use.
    pub fn new(limits: HoldLimits) -> Self {
        let state = BudgetState {
            ledger: CallerLedger::new(limits),
            signals: BTreeMap::new(),
            most: 0,
            closed: 0,
            logged_at: None,
        };
        CallerBudget { state: Arc::new(Mutex::new(state)), released: Arc::new(Notify::new()) }
    }

    /// Waits until there is room for a connection. Connections that are not in use are closed for it.
    pub async fn admit(&self, port: PortKind) -> ClientConnection {
        loop {
            let released = self.released.notified();
            let admitted = self.lock().admit(port);
            match admitted {
                Ok((holder, signal)) => {
                    let budget = self.clone();
                    return ClientConnection(ClientHold(Arc::new(HoldState {
                        budget,
                        holder,
                        signal,
                    })));
                }
                // Time alone can make room as well.
                Err(()) => _ = timeout(RECHECK_INTERVAL, released).await,
            }
        }
    }

    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.lock().ledger.used()
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, change: impl FnOnce(&mut CallerLedger)) {
        let mut state = self.lock();
        change(&mut state.ledger);
        state.publish();
        drop(state);
        self.released.notify_one();
    }
}

impl BudgetState {
    fn admit(&mut self, port: PortKind) -> Result<(HolderId, Arc<CloseSignal>), ()> {
        let holder = match self.ledger.admit(port, Instant::now()) {
            Ok(holder) => holder,
            Err(closing) => {
                self.close(closing);
                return Err(());
            }
        };
        let signal = Arc::new(CloseSignal::default());
        self.signals.insert(holder, Arc::clone(&signal));
        self.publish();
        Ok((holder, signal))
    }

    /// Tells connections that they are to be closed.
    fn close(&mut self, holders: Vec<HolderId>) {
        for holder in holders {
            if let Some(signal) = self.signals.get(&holder) {
                signal.is_set.store(true, Ordering::SeqCst);
                signal.waker.wake();
            }
            counter!(CLOSED_CLIENTS).increment(1);
            self.closed += 1;
        }
        let now = Instant::now();
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if self.closed > 0 && is_due {
            log::warn!(held_bytes = self.ledger.used(), limit_bytes = self.ledger.limits().bytes,
                closed = self.closed; "{}", events::CLIENTS_CLOSED);
            (self.closed, self.logged_at) = (0, Some(now));
        }
    }

    fn publish(&mut self) {
        let used = self.ledger.used();
        gauge!(HELD_FOR_CLIENTS).set(used as f64);
        if used > self.most {
            self.most = used;
            gauge!(MOST_HELD_FOR_CLIENTS).set(used as f64);
        }
    }
}

/// An open connection of a client; dropping it makes room for another one.
#[derive(Debug)]
pub struct ClientConnection(ClientHold);

impl ClientConnection {
    /// What the process holds for the client.
    pub fn hold(&self) -> &ClientHold {
        &self.0
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let HoldState { budget, holder, .. } = &*self.0.0;
        budget.release(|ledger| ledger.end_connection(*holder));
    }
}

#[derive(Debug)]
struct HoldState {
    budget: CallerBudget,
    holder: HolderId,
    signal: Arc<CloseSignal>,
}

impl Drop for HoldState {
    fn drop(&mut self) {
        self.budget.lock().signals.remove(&self.holder);
        self.budget.release(|ledger| ledger.remove(self.holder));
    }
}

/// What a process holds for one client. The connection and its bodies share it.
#[derive(Clone, Debug)]
pub struct ClientHold(Arc<HoldState>);

impl ClientHold {
    /// Records what the connection is doing. One whose request is complete is not closed, even if it was
    /// chosen before.
    pub fn set_phase(&self, phase: HoldPhase) {
        let mut state = self.0.budget.lock();
        state.ledger.set_phase(self.0.holder, phase, Instant::now());
        if phase == HoldPhase::Running {
            self.0.signal.is_set.store(false, Ordering::SeqCst);
        }
    }

    /// Records bytes that the client has sent or read.
    pub fn record_progress(&self, bytes: usize) {
        self.0.budget.lock().ledger.record_progress(self.0.holder, bytes, Instant::now());
    }

    /// The `Retry-After` of a refusal for want of memory.
    pub fn retry_after(&self) -> Duration {
        retry_delay(self.0.holder)
    }

    /// Whether the connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.0.signal.is_set.load(Ordering::SeqCst)
    }

    /// Ready once the connection is to be closed.
    pub fn poll_closing(&self, context: &mut Context<'_>) -> Poll<()> {
        self.0.signal.waker.register(context.waker());
        if self.is_closing() { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Returns once the connection is to be closed.
    pub async fn wait_closing(&self) {
        poll_fn(|context| self.poll_closing(context)).await;
    }

    /// Takes `bytes` more if there is room now. Otherwise returns whether others make room soon.
    fn try_grow(
        &self,
        purpose: HoldPurpose,
        bytes: usize,
        body: BodyLength,
    ) -> Result<(), ClosingOthers> {
        let mut state = self.0.budget.lock();
        match state.ledger.grow(self.0.holder, purpose, bytes, body, Instant::now()) {
            HoldOutcome::Granted => {
                state.publish();
                Ok(())
            }
            HoldOutcome::Short(closing) => {
                let count = closing.len();
                state.close(closing);
                Err(ClosingOthers(count))
            }
        }
    }

    /// Takes `bytes` more, and waits until others have made room for it.
    async fn grow(
        &self,
        purpose: HoldPurpose,
        bytes: usize,
        body: BodyLength,
    ) -> Result<(), BudgetShort> {
        let waits_until = Instant::now() + MAX_WAIT;
        loop {
            let released = self.0.budget.released.notified();
            match self.try_grow(purpose, bytes, body) {
                Ok(()) => {
                    // There may be room for another one as well.
                    self.0.budget.released.notify_one();
                    return Ok(());
                }
                Err(_) if Instant::now() >= waits_until => return Err(BudgetShort),
                Err(_) => tokio::select! {
                    // Time alone can make room as well.
                    _ = timeout(RECHECK_INTERVAL, released) => {}
                    () = self.wait_closing() => return Err(BudgetShort),
                },
            }
        }
    }

    /// Takes `bytes` of a request head, which are held until the client is gone.
    ///
    /// # Errors
    /// If no other client makes room.
    pub fn add_head(&self, bytes: usize) -> Result<(), BudgetShort> {
        match self.try_grow(HoldPurpose::Connection, bytes, BodyLength::default()) {
            Ok(()) => Ok(()),
            Err(ClosingOthers(0)) => Err(BudgetShort),
            Err(_) => {
                // Heads are short, and the others make room at once.
                self.0.budget.lock().ledger.add(self.0.holder, bytes);
                Ok(())
            }
        }
    }

    /// Creates an empty buffer for a body of the client's requests.
    pub fn request_buffer(&self) -> HeldBuffer {
        HeldBuffer::new(self.clone(), HoldPurpose::Request, 0)
    }

    /// Creates an empty buffer for a response to the client, of which the first `free` bytes always
    /// have room.
    pub fn response_buffer(&self, free: usize) -> HeldBuffer {
        HeldBuffer::new(self.clone(), HoldPurpose::Response, free)
    }
}

/// Where the bytes of a buffer are.
#[derive(Debug)]
enum BufferStorage {
    /// On the heap.
    Short(Vec<u8>),
    /// In pages of their own, which take memory once they are written and none after they are dropped. The
    /// allocator would keep several times the size of buffers that grow beside each other.
    Long {
        pages: MmapMut,
        /// The written part.
        length: usize,
    },
}

/// Bytes that count against the budget until they are dropped.
#[derive(Debug)]
pub struct HeldBuffer {
    hold: ClientHold,
    purpose: HoldPurpose,
    free: usize,
    /// The length up to which memory is reserved, at least that of the bytes.
    capacity: usize,
    /// What is reserved for it beyond the connection's share.
    reserved: usize,
    bytes: BufferStorage,
}

impl HeldBuffer {
    fn new(hold: ClientHold, purpose: HoldPurpose, free: usize) -> Self {
        let bytes = BufferStorage::Short(Vec::new());
        HeldBuffer { hold, purpose, free, capacity: 0, reserved: 0, bytes }
    }

    /// Bytes in the buffer.
    pub fn len(&self) -> usize {
        self.as_ref().len()
    }

    /// Whether the buffer holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes. The final length is at most `longest`.
    ///
    /// # Errors
    /// If the budget is short and others go first.
    pub async fn push(&mut self, data: &[u8], longest: usize) -> Result<(), BudgetShort> {
        let length = self.len() + data.len();
        if length > self.capacity {
            let capacity = (self.capacity * 2).max(MIN_BUFFER).min(longest).max(length);
            self.reserve(capacity, longest).await?;
            self.capacity = capacity;
        }
        self.append(data, longest.max(length))
    }

    fn append(&mut self, data: &[u8], longest: usize) -> Result<(), BudgetShort> {
        let end = self.len() + data.len();
        if let BufferStorage::Short(bytes) = &mut self.bytes {
            if end <= MAX_SHORT_BUFFER {
                bytes.extend_from_slice(data);
                return Ok(());
            }
            let mut pages = MmapMut::map_anon(longest).map_err(|error| {
                log::warn!(bytes = longest, error:% = error; "no pages for a body");
                BudgetShort
            })?;
            let length = bytes.len();
            pages[..length].copy_from_slice(bytes);
            self.bytes = BufferStorage::Long { pages, length };
        }
        if let BufferStorage::Long { pages, length } = &mut self.bytes {
            let Some(rest) = pages.get_mut(*length..end) else { return Err(BudgetShort) };
            rest.copy_from_slice(data);
            *length = end;
        }
        Ok(())
    }

    async fn reserve(&mut self, capacity: usize, longest: usize) -> Result<(), BudgetShort> {
        // The share of a connection has room for a short body.
        let needed = capacity.saturating_sub(CONNECTION_BYTES / 2);
        let missing = needed.saturating_sub(self.reserved);
        if missing == 0 {
            return Ok(());
        }
        match capacity <= self.free {
            true => self.hold.0.budget.lock().ledger.add(self.hold.0.holder, missing),
            false => {
                let remaining = longest.saturating_sub(self.len());
                let body = BodyLength { longest, remaining };
                self.hold.grow(self.purpose, missing, body).await?;
            }
        }
        self.reserved += missing;
        Ok(())
    }

    /// The bytes; they count against the budget until the last clone is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.bytes {
            BufferStorage::Short(bytes) => bytes,
            BufferStorage::Long { pages, length } => &pages[..*length],
        }
    }
}

impl Drop for HeldBuffer {
    fn drop(&mut self) {
        // The memory is free before another client is told so.
        self.bytes = BufferStorage::Short(Vec::new());
        let HoldState { budget, holder, .. } = &*self.hold.0;
        budget.release(|ledger| ledger.release(*holder, self.reserved));
    }
}
