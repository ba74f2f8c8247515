//! Decides who may hold memory and connections of a process for its clients, and whose connection is
//! closed when either runs short.
//!
//! The pattern: many clients send bodies up to the limit at once, stop just short of their end and stay
//! connected, or send a byte now and then. Each of them is within the limits of one request, and
//! together they take more than the process has. All that is held for clients counts against one budget
//! in bytes, as it arrives. When it is short, clients that have stalled make room, and the others wait
//! for those that end. If all wait for each other, the one with the least left to send goes on, and
//! another one makes room for it. A request that fits into the share of its connection never waits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of a connection of a client within a process.
pub type HolderId = u64;

/// The shortest time after which a refused client is to return.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The number of different times at which clients that are refused together return.
const RETRY_STEPS: u64 = 10;
/// Time between two of them.
const RETRY_STEP: Duration = Duration::from_millis(100);

/// When a refused client is to return. Clients of a crowd are refused together, and must not all return at
/// one moment.
pub fn retry_delay(holder: HolderId) -> Duration {
    MIN_RETRY_DELAY + RETRY_STEP * (holder % RETRY_STEPS) as u32
}

/// What each connection holds at least: its task, and buffers of the HTTP library for short heads and
/// bodies.
pub const CONNECTION_BYTES: usize = 16 << 10;

/// Time over which the progress of a client is measured, beside the present span of this length.
const PROGRESS_SPAN: Duration = Duration::from_secs(1);
/// Time after which a client that sends nothing counts as stalled.
pub const STALL_DETECTION_TIME: Duration = Duration::from_secs(2);
/// A client whose body takes longer to end at its present rate counts as stalled.
const END_TIME: Duration = Duration::from_secs(30);
/// The shortest time over which progress is measured, since the first bytes arrive at once.
const MIN_PROGRESS_TIME: Duration = Duration::from_millis(50);
/// How long a new connection or request is not closed for another connection.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between two searches for clients that make room. Thousands of them may wait for it.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes a second below which a client counts as stalled. The slowest links carry many times as much.
const STALLED_RATE: u64 = 1 << 10;

/// What a client's memory is held for. Later purposes may use more of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldPurpose {
    /// Part of a request that is being received; nothing was sent to a server.
    Request,
    /// A response that a server has sent, which would be lost.
    Response,
    /// The connection itself.
    Connection,
}

impl HoldPurpose {
    /// The part of a budget that may be in use after a grant, in eighths.
    fn eighths(self) -> usize {
        match self {
            HoldPurpose::Request => 5,
            HoldPurpose::Response => 6,
            HoldPurpose::Connection => 8,
        }
    }
}

/// The ports of a process, each of which has connections of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PortKind {
    /// Requests of callers.
    Callers,
    /// Requests of operators.
    Operators,
    /// Health checks and metrics.
    Pages,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldPhase {
    /// No request, or the rest of a response is being written.
    Idle,
    /// The head or the body of a request is being received.
    Receiving,
    /// A complete request is processed. Its connection is never closed to make room.
    Running,
}

/// What a process may hold for its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldLimits {
    /// Bytes over all ports.
    pub bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of operators.
    pub operators: usize,
    /// Connections of health checks and metrics.
    pub pages: usize,
}

impl HoldLimits {
    fn connections(&self, port: PortKind) -> usize {
        match port {
            PortKind::Callers => self.callers,
            PortKind::Operators => self.operators,
            PortKind::Pages => self.pages,
        }
    }
}

/// Whether a client may hold more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// It holds it.
    Granted,
    /// There is no room now. The connections of these clients are to be closed to make some.
    Short(Vec<HolderId>),
}

#[derive(Clone, Debug)]
struct HolderRecord {
    port: PortKind,
    phase: HoldPhase,
    /// When the phase began.
    since: Instant,
    /// Includes [`CONNECTION_BYTES`] while the connection is open.
    bytes: usize,
    is_open: bool,
    /// Whether the connection is to be closed.
    is_closing: bool,
    span_began: Instant,
    /// Bytes received or sent in the present span, and in the one before it.
    moved: (u64, u64),
    /// Bytes of the body that may still come.
    remaining: usize,
    /// The bytes that the client waits for, during which nothing is read from it.
    awaited: Option<usize>,
}

impl HolderRecord {
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.span_began);
        if elapsed < PROGRESS_SPAN {
            return;
        }
        let is_next = elapsed < 2 * PROGRESS_SPAN;
        self.moved = (0, if is_next { self.moved.0 } else { 0 });
        self.span_began = if is_next { self.span_began + PROGRESS_SPAN } else { now };
    }

    /// Bytes a second that were received or sent lately.
    fn rate(&self, now: Instant) -> u64 {
        let mut record = self.clone();
        record.advance(now);
        let span = now.saturating_duration_since(record.span_began) + PROGRESS_SPAN;
        let time = now.saturating_duration_since(self.since).clamp(MIN_PROGRESS_TIME, span);
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1);
        (record.moved.0 + record.moved.1).saturating_mul(1_000) / millis
    }

    /// Whether the client sends or reads so little that it keeps others waiting.
    fn is_stalled(&self, now: Instant) -> bool {
        let rate = self.rate(now);
        let is_slow = rate < STALLED_RATE || self.remaining as u64 / END_TIME.as_secs() > rate;
        let is_waiting = self.awaited.is_some();
        self.phase != HoldPhase::Running && !is_waiting && self.is_settled(now) && is_slow
    }

    /// Whether the connection may be closed to release what is held beyond its share.
    fn may_release(&self) -> bool {
        self.is_open && !self.is_closing && self.bytes > CONNECTION_BYTES
    }

    fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= SETTLE_TIME
    }
}

/// The length of a body that is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyLength {
    /// Its length in bytes at most.
    pub longest: usize,
    /// How much of that may still come.
    pub remaining: usize,
}

/// What a process holds for its clients.
#[derive(Clone, Debug)]
pub struct CallerLedger {
    limits: HoldLimits,
    /// The sum of all holders' bytes.
    used: usize,
    /// Bytes of holders whose connections are to be closed.
    closing: usize,
    /// Open connections by port.
    open: BTreeMap<PortKind, usize>,
    /// The client that is granted room before all others that send requests, since all wait for each other.
    first: Option<HolderId>,
    /// When clients that make room are searched for again.
    searched_from: Option<Instant>,
    next: HolderId,
    /// One for each open connection, and for those whose bodies are still in use.
    holders: BTreeMap<HolderId, HolderRecord>,
}

impl CallerLedger {
    /// Creates a ledger without holders.
    pub fn new(limits: HoldLimits) -> Self {
        CallerLedger {
            limits,
            used: 0,
            closing: 0,
            open: BTreeMap::new(),
            first: None,
            searched_from: None,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The limits.
    pub fn limits(&self) -> HoldLimits {
        self.limits
    }

    /// Adds a connection; returns its number if there is room.
    ///
    /// # Errors
    /// The connections that are to be closed first; none if there is nothing to do but wait.
    pub fn admit(&mut self, port: PortKind, now: Instant) -> Result<HolderId, Vec<HolderId>> {
        let open = self.open.get(&port).copied().unwrap_or_default();
        let slots = self.limits.connections(port);
        let room = self.limits.bytes;
        if open < slots && self.used + CONNECTION_BYTES <= room {
            return Ok(self.insert(port, now));
        }
        let mut ended = Vec::new();
        let closing = self.holders.values();
        let closing = closing.filter(|record| record.is_open && record.is_closing);
        if open - closing.filter(|record| record.port == port).count() >= slots {
            ended.extend(self.close_unused(port, now));
        }
        let missing = (self.used - self.closing + CONNECTION_BYTES).saturating_sub(room);
        ended.extend(self.close_for(
            missing,
            |_, record| record.phase == HoldPhase::Receiving,
            now,
        ));
        Err(ended)
    }

    fn insert(&mut self, port: PortKind, now: Instant) -> HolderId {
        self.next += 1;
        self.used += CONNECTION_BYTES;
        *self.open.entry(port).or_default() += 1;
        let record = HolderRecord {
            port,
            phase: HoldPhase::Idle,
            since: now,
            bytes: CONNECTION_BYTES,
            is_open: true,
            is_closing: false,
            span_began: now,
            moved: (0, 0),
            remaining: 0,
            awaited: None,
        };
        self.holders.insert(self.next, record);
        self.next
    }

    /// Lets a client hold more bytes. Whatever the limit is, one request of the longest length has room.
    pub fn grow(
        &mut self,
        holder: HolderId,
        purpose: HoldPurpose,
        bytes: usize,
        body: BodyLength,
        now: Instant,
    ) -> HoldOutcome {
        let room = self.limits.bytes / 8 * purpose.eighths();
        let room = room.max(body.longest + CONNECTION_BYTES);
        let is_first = self.first.is_none_or(|first| first == holder);
        let has_room = self.used + bytes <= room && (is_first || purpose > HoldPurpose::Request);
        let Some(record) = self.holders.get_mut(&holder).filter(|record| !record.is_closing) else {
            return HoldOutcome::Short(Vec::new());
        };
        record.remaining = body.remaining;
        record.awaited = (!has_room).then_some(bytes);
        if has_room {
            self.first = self.first.filter(|first| *first != holder);
            self.add(holder, bytes);
            return HoldOutcome::Granted;
        }
        let missing = (self.used - self.closing + bytes).saturating_sub(room);
        if purpose > HoldPurpose::Request {
            let is_request = |other: HolderId, record: &HolderRecord| {
                other != holder && record.phase == HoldPhase::Receiving
            };
            return HoldOutcome::Short(self.close_for(missing, is_request, now));
        }
        if self.searched_from.is_some_and(|from| now < from) {
            return HoldOutcome::Short(Vec::new());
        }
        self.searched_from = Some(now + SEARCH_INTERVAL);
        let mut ended = self.close_for(missing, |_, _| false, now);
        if let Some((first, bytes)) = self.first_waiting() {
            self.first = Some(first);
            let missing = (self.used - self.closing + bytes).saturating_sub(room);
            let is_other = |other: HolderId, record: &HolderRecord| {
                other != first && record.phase == HoldPhase::Receiving
            };
            ended.extend(self.close_for(missing, is_other, now));
        }
        HoldOutcome::Short(ended)
    }

    /// If all whose requests take memory beyond their connections' share wait for more, the one with the
    /// least left to send, and what it waits for.
    fn first_waiting(&self) -> Option<(HolderId, usize)> {
        let holders = self.holders.iter().filter(|(_, record)| {
            record.phase != HoldPhase::Idle && record.bytes > CONNECTION_BYTES && !record.is_closing
        });
        let waiting: Option<Vec<_>> = holders
            .map(|(holder, record)| Some((record.remaining, *holder, record.awaited?)))
            .collect();
        waiting?.into_iter().min().map(|(_, holder, awaited)| (holder, awaited))
    }

    /// Counts bytes that a client holds whether there is room or not.
    pub fn add(&mut self, holder: HolderId, bytes: usize) {
        if let Some(record) = self.holders.get_mut(&holder) {
            record.bytes += bytes;
            self.used += bytes;
            self.closing += if record.is_closing { bytes } else { 0 };
        }
    }

    /// Releases bytes.
    pub fn release(&mut self, holder: HolderId, bytes: usize) {
        if let Some(record) = self.holders.get_mut(&holder) {
            let bytes = bytes.min(record.bytes);
            record.bytes -= bytes;
            self.used -= bytes;
            self.closing -= if record.is_closing { bytes } else { 0 };
        }
    }

    /// Records that a connection has ended. Its bodies may still be in use.
    pub fn end_connection(&mut self, holder: HolderId) {
        if let Some(record) = self.holders.get_mut(&holder).filter(|record| record.is_open) {
            record.is_open = false;
            *self.open.entry(record.port).or_default() -= 1;
            self.release(holder, CONNECTION_BYTES);
        }
    }

    /// Removes a holder with all that it holds.
    pub fn remove(&mut self, holder: HolderId) {
        self.end_connection(holder);
        self.release(holder, usize::MAX);
        self.holders.remove(&holder);
        self.first = self.first.filter(|first| *first != holder);
    }

    /// Records what a connection is doing. One whose request is complete is not closed, even if it was chosen
    /// before.
    pub fn set_phase(&mut self, holder: HolderId, phase: HoldPhase, now: Instant) {
        if let Some(record) = self.holders.get_mut(&holder).filter(|record| record.phase != phase) {
            record.phase = phase;
            record.since = now;
            record.span_began = now;
            record.moved = (0, 0);
            record.remaining = 0;
            record.awaited = None;
            if phase == HoldPhase::Running && std::mem::take(&mut record.is_closing) {
                self.closing -= record.bytes;
            }
        }
    }

    /// Records bytes that a client has sent or read.
    pub fn record_progress(&mut self, holder: HolderId, bytes: usize, now: Instant) {
        if let Some(record) = self.holders.get_mut(&holder) {
            record.advance(now);
            record.moved.0 += bytes as u64;
            record.remaining = record.remaining.saturating_sub(bytes);
        }
    }

    /// Chooses a connection of a full port to close: one whose request has stalled, or else one that
    /// has been without a request for the longest time.
    fn close_unused(&mut self, port: PortKind, now: Instant) -> Option<HolderId> {
        let candidates = self.holders.iter().filter(|(_, record)| {
            record.is_open && !record.is_closing && record.port == port && record.is_stalled(now)
        });
        let unused = candidates
            .min_by_key(|(_, record)| (record.phase != HoldPhase::Receiving, record.since))
            .map(|(holder, _)| *holder);
        unused.inspect(|holder| self.begin_closing(*holder))
    }

    /// Chooses clients that release `missing` bytes together: those that have stalled, and then others that
    /// `may_close`, with the largest first. If they do not hold as much, only stalled ones are chosen.
    fn close_for(
        &mut self,
        missing: usize,
        may_close: impl Fn(HolderId, &HolderRecord) -> bool,
        now: Instant,
    ) -> Vec<HolderId> {
        let mut chosen: Vec<_> = self
            .holders
            .iter()
            .filter(|(_, record)| record.may_release())
            .map(|(holder, record)| (!record.is_stalled(now), record, *holder))
            .filter(|(is_moving, record, holder)| !is_moving || may_close(*holder, record))
            .map(|(is_moving, record, holder)| (is_moving, usize::MAX - record.bytes, holder))
            .collect();
        chosen.sort_unstable();
        let sum: usize = chosen.iter().map(|(_, rest, _)| usize::MAX - rest).sum();
        let mut released = 0;
        let mut ended = Vec::new();
        for (is_moving, rest, holder) in chosen {
            if released >= missing || (is_moving && sum < missing) {
                break;
            }
            released += usize::MAX - rest;
            self.begin_closing(holder);
            ended.push(holder);
        }
        ended
    }

    fn begin_closing(&mut self, holder: HolderId) {
        if let Some(record) = self.holders.get_mut(&holder) {
            record.is_closing = true;
            self.closing += record.bytes;
            self.first = self.first.filter(|first| *first != holder);
        }
    }
}
