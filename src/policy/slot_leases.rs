//! Leases of the slots of servers that must not be sent more requests than they have room for, and of the
//! memory of those that are engines: long prompts fill it before the slots.
//!
//! Some servers end if they have to reject too many requests in a second. Each daemon knows only its
//! own requests, so that with hundreds of daemons even one request too many from each of them ends a
//! server, and when it is back, all that waited for it arrives at once and ends it again. For each
//! such server, one daemon, its arbiter, therefore leases the slots: a request is sent only under a
//! lease.
//!
//! A request for a lease waits in the order of arrival for at most the time that its caller can
//! spare. If the wait would be longer, it is refused at once.
//!
//! Servers that share their machines with others are leased by urgency, and only while what they have
//! to read does not delay the most urgent requests.
//!
//! What a server keeps beside leased requests is not known here. If it rejects a leased request, its
//! arbiter therefore leases no more than the server held at that time. The limit rises by 1, 3, 7, ..
//! slots and their part of the memory after 1, 2, 3, .. seconds.

mod demand;
mod memory;
mod reading;
mod start_pace;
mod wait_queue;

pub use self::{
    demand::{LeaseDemand, LeaseGrant, LeaseReport, LeaseUrgency, LeasedLoad, ReadingDemand},
    memory::{MAX_PARTS, MemoryDemand, PartHash},
    start_pace::{PaceSummary, ServerStart, StartAnswer, StartOutcome, StartPace, answer_lateness},
};

use {
    self::{
        memory::LeasedMemory,
        reading::ReadingLoad,
        wait_queue::{WaitQueue, WaitingLease, urgency_of},
    },
    crate::{
        ids::{LeaseId, ServerId, VmId},
        observe::events,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// An arbiter grants no lease of a server for this time after the second rejection in this time: servers end
/// by the rejections of a second.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// Time between two steps in which the limit rises after a rejection.
const RECOVERY_STEP: Duration = Duration::from_secs(1);

/// An arbiter that has just become one leases nothing for this time, in which the holders of leases
/// of its predecessor confirm them or their requests end.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A lease that its holder has not confirmed for this time has ended; holders confirm once a second.
const CONFIRM_LIMIT: Duration = Duration::from_secs(4);

/// A lease that is not among those that its holder confirms has ended, unless it is younger than
/// this: the confirmation may have been sent before it was granted.
const CONFIRM_GRACE: Duration = Duration::from_secs(1);

/// Maximum leases that are taken over from a former arbiter, as a multiple of those of this one.
const MAX_TAKEN_OVER: usize = 4;

/// Assumed time for which a lease is held before any measurement.
const INITIAL_HOLD: Duration = Duration::from_millis(500);

/// Fraction of the time that a request can wait that its expected wait may take. It is less than 1
/// because the estimate has an error, and a request that waits in vain is refused late.
const MAX_WAIT_FRACTION: f64 = 0.7;

/// Smoothing factor of the time for which leases are held.
const HOLD_STEP: f64 = 0.1;

/// How long a report of how long work takes on a server's machine applies: that changes many times a
/// second.
const WORK_TIME_LIFETIME: Duration = Duration::from_millis(600);

/// Minimum delay before a refused request asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum servers with leases that one daemon uses at a time, which bounds the arbiters that it asks.
pub const MAX_SERVERS: usize = 16;

/// Why a lease was refused; the request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// No slot becomes free in time. A later request can succeed after this delay.
    Full(Duration),
    /// The daemon is not the arbiter of the server, according to its own server list.
    NotArbiter,
    /// As `Full`, of a server that shares its machine with others.
    Busy {
        /// When there may be room, spread over the time in which it comes.
        delay: Duration,
        /// The load of the server.
        load: LeasedLoad,
    },
}

/// What becomes of a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseDecision {
    /// It has the lease.
    Granted,
    /// It waits; the lease is among those that a later call returns.
    Waiting,
    /// It is refused.
    Refused(LeaseRefusal),
}

/// The lease of one slot.
#[derive(Clone, Debug)]
struct SlotLease {
    holder: VmId,
    memory: MemoryDemand,
    granted_at: Instant,
    confirmed_at: Instant,
}

/// The rejection of a leased request, and what the server held beside it.
#[derive(Clone, Copy, Debug)]
struct LeaseRejection {
    at: Instant,
    leases: usize,
    tokens: u64,
}

impl LeaseRejection {
    /// Leases that are granted beyond those that the server held: 0, 1, 3, 7, .. after each step.
    fn additional(&self, now: Instant) -> usize {
        let steps = now.saturating_duration_since(self.at).as_secs() / RECOVERY_STEP.as_secs();
        (1_usize << steps.min(16)) - 1
    }
}

/// The slots of one server.
#[derive(Clone, Debug)]
struct ServerSlots {
    server: ServerId,
    /// Maximum number of leases; at least 1.
    usable: usize,
    /// Nothing is leased before.
    leases_from: Instant,
    /// Nothing is leased before, because the server has rejected several leased requests.
    paused_until: Instant,
    /// The last rejection of a leased request.
    rejection: Option<LeaseRejection>,
    pace: StartPace,
    /// Whether the server may have started together with this arbiter. Its pace then begins with the first
    /// request that calls for one before leases are granted.
    may_have_started: bool,
    memory: LeasedMemory,
    reading: ReadingLoad,
    /// How long work takes on the server's machine, and when its holder told that.
    work_time: Option<(f32, Instant)>,
    /// At most `usable`, or [`MAX_TAKEN_OVER`] times as many with those that a former arbiter has granted.
    leases: BTreeMap<LeaseId, SlotLease>,
    waiting: WaitQueue,
    /// Mean time for which a lease is held, in seconds.
    hold: f64,
    /// The same, weighted by the tokens of memory that the leases take.
    memory_hold: f64,
}

impl ServerSlots {
    fn new(server: ServerId, usable: usize, leases_from: Instant) -> Self {
        ServerSlots {
            server,
            usable,
            leases_from,
            paused_until: leases_from,
            rejection: None,
            pace: StartPace::ended(),
            may_have_started: false,
            memory: LeasedMemory::default(),
            reading: ReadingLoad::default(),
            work_time: None,
            leases: BTreeMap::new(),
            waiting: WaitQueue::default(),
            hold: INITIAL_HOLD.as_secs_f64(),
            memory_hold: INITIAL_HOLD.as_secs_f64(),
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        lease: LeaseId,
        holder: VmId,
        memory: MemoryDemand,
        reading: Option<ReadingDemand>,
    ) {
        self.memory.take(&memory);
        if let Some(reading) = reading {
            self.reading.begin(now, lease, reading);
        }
        self.leases.insert(lease, SlotLease { holder, memory, granted_at: now, confirmed_at: now });
    }

    fn remove(&mut self, lease: LeaseId) -> Option<SlotLease> {
        let removed = self.leases.remove(&lease)?;
        self.reading.forget(lease);
        self.memory.free(&removed.memory);
        Some(removed)
    }

    /// Leases that may be granted at this time; from 1 to `usable`.
    fn allowed_leases(&self, now: Instant) -> usize {
        let pace = self.pace.limit(self.usable);
        let Some(rejection) = self.rejection else { return pace };
        (rejection.leases + rejection.additional(now)).clamp(1, pace)
    }

    /// Tokens that may be leased at this time; `None` if they are not bounded.
    fn allowed_tokens(&self, now: Instant) -> Option<u64> {
        let capacity = self.memory.capacity?;
        let Some(rejection) = self.rejection else { return Some(capacity) };
        let step = capacity / self.usable as u64;
        Some((rejection.tokens + step * rejection.additional(now) as u64).min(capacity))
    }

    fn has_room(&self, now: Instant, memory: &MemoryDemand) -> bool {
        now >= self.paused_until
            && self.leases.len() < self.allowed_leases(now)
            && self.memory.fits(memory, self.allowed_tokens(now))
    }

    /// Whether the prompt of a request may be read beside the others.
    fn reads_in_time(&self, now: Instant, demand: Option<&ReadingDemand>) -> bool {
        demand.is_none_or(|demand| self.reading.excess(now, demand, 0).is_zero())
    }

    /// The expected wait of a request behind those that wait before it.
    fn expected_wait(&self, now: Instant, demand: &LeaseDemand) -> Duration {
        let before = self.waiting.load_before(urgency_of(demand.reading.as_ref()));
        // Fewer than all slots are in use if the memory is full or the limit is lowered.
        let allowed = self.allowed_leases(now);
        let parallel = match self.leases.len() {
            0 => allowed,
            running => running.min(allowed),
        };
        let pause = self.paused_until.saturating_duration_since(now);
        let Some(reading) = &demand.reading else {
            let ahead = (before.requests + 1) as f64;
            return pause + Duration::from_secs_f64(ahead * self.hold / parallel as f64);
        };
        let missing = (self.leases.len() + before.requests + 1).saturating_sub(allowed);
        let slots = missing as f64 * self.hold / parallel as f64;
        let memory = self.allowed_tokens(now).map_or(0.0, |allowed| {
            let used = self.memory.used();
            let needed = used + before.memory + u64::from(demand.memory.own_tokens);
            let missing = needed.saturating_sub(allowed);
            missing as f64 * self.memory_hold / used.max(1) as f64
        });
        let read = self.reading.excess(now, reading, before.computed);
        pause + read.max(Duration::from_secs_f64(slots.max(memory)))
    }

    /// Whether a request should wait that long. One that nobody more urgent waits beside may become late,
    /// if its caller still wants the response.
    fn is_worth_waiting(&self, demand: &LeaseDemand, wait: Duration) -> bool {
        let limit = match &demand.reading {
            Some(reading) if self.waiting.has_more_urgent(reading.urgency) => {
                let read = self.reading.time_for(reading.computed.into());
                demand.patience.min(reading.in_time.saturating_sub(read))
            }
            _ => demand.patience,
        };
        wait <= limit.mul_f64(MAX_WAIT_FRACTION)
    }

    /// What its holders should know of the server.
    fn load(&self, now: Instant) -> LeasedLoad {
        let waiting = self.waiting.load_before(LeaseUrgency::MAX).computed;
        let is_current = |at: Instant| now.saturating_duration_since(at) < WORK_TIME_LIFETIME;
        LeasedLoad {
            running: self.leases.len() as u32,
            tokens_ahead: u32::try_from(self.reading.tokens(now) + waiting).unwrap_or(u32::MAX),
            work_time: self.work_time.filter(|(_, at)| is_current(*at)).map(|(factor, _)| factor),
            pace: self.pace_part(),
        }
    }

    /// The refusal of a request that would have to wait that long.
    fn refusal(
        &self,
        now: Instant,
        lease: LeaseId,
        is_shared: bool,
        wait: Duration,
    ) -> LeaseRefusal {
        let wait = wait.max(MIN_RETRY_AFTER);
        match is_shared {
            // Lease identifiers are random.
            true => LeaseRefusal::Busy {
                delay: wait.mul_f64(1.0 + lease as f64 / u64::MAX as f64),
                load: self.load(now),
            },
            false => LeaseRefusal::Full(wait),
        }
    }

    /// Decides on a request; also returns one that it has displaced from those that wait.
    fn request(
        &mut self,
        now: Instant,
        lease: LeaseId,
        holder: &VmId,
        demand: LeaseDemand,
    ) -> (LeaseDecision, Option<(LeaseId, LeaseRefusal)>) {
        let (urgency, is_shared) = (urgency_of(demand.reading.as_ref()), demand.reading.is_some());
        let settles_in = self.leases_from.saturating_duration_since(now);
        if !settles_in.is_zero() {
            if is_shared && std::mem::take(&mut self.may_have_started) {
                self.begin_pace(now, ServerStart::Unknown);
            }
            return (LeaseDecision::Refused(LeaseRefusal::Full(settles_in)), None);
        }
        if let Some(reading) = &demand.reading {
            self.reading.record_objective(now, reading.objective);
        }
        if self.waiting.is_passed_by(urgency)
            && self.has_room(now, &demand.memory)
            && self.reads_in_time(now, demand.reading.as_ref())
        {
            self.waiting.record_grant(urgency);
            self.grant(now, lease, holder.clone(), demand.memory, demand.reading);
            return (LeaseDecision::Granted, None);
        }
        let wait = self.expected_wait(now, &demand);
        if !self.is_worth_waiting(&demand, wait) {
            return (LeaseDecision::Refused(self.refusal(now, lease, is_shared, wait)), None);
        }
        let mut displaced = None;
        if self.waiting.is_full() {
            let Some(last) = self.waiting.displace(urgency) else {
                return (LeaseDecision::Refused(self.refusal(now, lease, is_shared, wait)), None);
            };
            displaced = Some((last.lease, self.refusal(now, last.lease, is_shared, wait)));
        }
        let LeaseDemand { patience, memory, reading } = demand;
        let (holder, until) = (holder.clone(), now + patience);
        self.waiting.push(WaitingLease { lease, holder, memory, reading, until });
        (LeaseDecision::Waiting, displaced)
    }

    fn end(&mut self, now: Instant, lease: LeaseId) {
        self.waiting.remove(lease);
        self.reading.finish(now, lease);
        if let Some(ended) = self.remove(lease) {
            let held = now.saturating_duration_since(ended.granted_at).as_secs_f64();
            self.hold += (held - self.hold) * HOLD_STEP;
            let mean = self.memory.used() as f64 / self.leases.len().max(1) as f64;
            let weight = f64::from(ended.memory.own_tokens) / mean.max(1.0);
            self.memory_hold += (held - self.memory_hold) * (HOLD_STEP * weight).min(0.5);
        }
    }

    /// Records what the holder of a lease tells of its request.
    fn record(&mut self, now: Instant, lease: LeaseId, report: &LeaseReport) {
        if !self.leases.contains_key(&lease) {
            return;
        }
        if report.is_read {
            self.reading.finish(now, lease);
        }
        if let Some(factor) = report.work_time {
            self.work_time = Some((factor, now));
        }
        if let Some(lateness) = report.lateness {
            self.record_answer(now, lease, StartOutcome::of_lateness(lateness));
        }
    }

    /// The part of the slots that the pace allows; `None` once it has ended.
    fn pace_part(&self) -> Option<f32> {
        let part = self.pace.limit(self.usable) as f32 / self.usable as f32;
        (!self.pace.is_ended()).then_some(part)
    }

    /// Moves the pace of the server by an answer to a leased request.
    fn record_answer(&mut self, now: Instant, lease: LeaseId, outcome: StartOutcome) {
        let Some(sent) = self.leases.get(&lease).map(|lease| lease.granted_at) else { return };
        let answer = StartAnswer { sent, held: self.leases.len(), outcome };
        if let Some(summary) = self.pace.record(now, answer, self.usable) {
            self.log_pace_end(summary);
        }
    }

    fn begin_pace(&mut self, now: Instant, start: ServerStart) {
        self.pace = StartPace::new(now, start, self.usable);
        if !self.pace.is_ended() {
            let limit = self.pace.limit(self.usable);
            log::info!(server = self.server.as_str(), slots = self.usable, limit = limit;
                "{}", events::PACE_BEGUN);
        }
    }

    /// Records that leases of a former arbiter are held.
    fn confirm_use(&mut self, now: Instant) {
        self.may_have_started = false;
        if let Some(summary) = self.pace.confirm_use(now) {
            self.log_pace_end(summary);
        }
    }

    fn log_pace_end(&self, summary: PaceSummary) {
        log::info!(server = self.server.as_str(), slots = self.usable, answers = summary.answers,
            duration_ms = summary.duration.as_millis() as u64; "{}", events::PACE_ENDED);
    }

    /// Lowers the limit after the server had no room for a leased request.
    fn reject(&mut self, now: Instant, lease: LeaseId) {
        self.record_answer(now, lease, StartOutcome::Rejected);
        if self.remove(lease).is_none() {
            return;
        }
        let last = self.rejection.map(|rejection| rejection.at);
        if last.is_some_and(|at| now.saturating_duration_since(at) < REJECTION_PAUSE) {
            self.paused_until = now + REJECTION_PAUSE;
        }
        let (leases, tokens) = (self.leases.len(), self.memory.used());
        self.rejection = Some(LeaseRejection { at: now, leases, tokens });
    }

    /// The position of the request that gets a lease next. Nobody takes the slot or the memory that another
    /// one waits for before it.
    fn next_waiting(&self, now: Instant) -> Option<usize> {
        for (position, next) in self.waiting.heads() {
            if !self.has_room(now, &next.memory) {
                return None;
            }
            if self.reads_in_time(now, next.reading.as_ref()) {
                return Some(position);
            }
        }
        None
    }

    /// Grants free slots to those that wait.
    fn grant_waiting(&mut self, now: Instant) -> Vec<LeaseId> {
        self.waiting.expire(now);
        let mut granted = Vec::new();
        while let Some(position) = self.next_waiting(now)
            && let Some(next) = self.waiting.take(position)
        {
            granted.push(next.lease);
            self.grant(now, next.lease, next.holder, next.memory, next.reading);
        }
        granted
    }
}

/// A server whose slots this daemon leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArbitratedServer {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that fit into its memory; `None` if it runs no models.
    pub memory: Option<u64>,
    /// Whether another daemon may have leased its slots until now.
    pub had_arbiter: bool,
}

/// The leases of all servers of which this daemon is the arbiter.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// The servers of the last [`Self::configure`].
    servers: BTreeMap<ServerId, ServerSlots>,
    /// Requests that waited and were displaced by more urgent ones since the last
    /// [`Self::take_displaced`].
    displaced: Vec<(LeaseId, LeaseRefusal)>,
}

impl SlotTable {
    /// Replaces the servers of which this daemon is the arbiter. The leases of those that stay are kept.
    pub fn configure(&mut self, now: Instant, assigned: BTreeMap<ServerId, ArbitratedServer>) {
        self.servers.retain(|server, _| assigned.contains_key(server));
        for (server, ArbitratedServer { slots, memory, had_arbiter }) in assigned {
            let usable = (slots as usize).max(1);
            let leases_from = if had_arbiter { now + SETTLE_TIME } else { now };
            let known = self.servers.entry(server.clone());
            let known = known.or_insert_with(|| ServerSlots::new(server, usable, leases_from));
            known.usable = usable;
            known.memory.capacity = memory;
        }
    }

    /// Records that a server of [`Self::configure`] may have started together with this arbiter.
    pub fn suspect_start(&mut self, server: &ServerId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.may_have_started = true;
        }
    }

    /// Begins the pace of a server of [`Self::configure`] that has just started, which ends the former one.
    pub fn begin_pace(&mut self, now: Instant, server: &ServerId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.begin_pace(now, ServerStart::Fresh);
        }
    }

    /// The servers whose pace has not ended.
    pub fn paced_servers(&self) -> usize {
        self.servers.values().filter(|slots| !slots.pace.is_ended()).count()
    }

    /// Requests a lease for a holder.
    pub fn request(
        &mut self,
        now: Instant,
        server: &ServerId,
        lease: LeaseId,
        holder: &VmId,
        demand: LeaseDemand,
    ) -> LeaseDecision {
        let Some(slots) = self.servers.get_mut(server) else {
            return LeaseDecision::Refused(LeaseRefusal::NotArbiter);
        };
        let (decision, displaced) = slots.request(now, lease, holder, demand);
        self.displaced.extend(displaced);
        decision
    }

    /// Returns the requests that waited and have been refused for more urgent ones.
    pub fn take_displaced(&mut self) -> Vec<(LeaseId, LeaseRefusal)> {
        std::mem::take(&mut self.displaced)
    }

    /// Records what a holder tells of the request of its lease. Returns the leases that others get by
    /// that.
    pub fn record(
        &mut self,
        now: Instant,
        server: &ServerId,
        lease: LeaseId,
        report: &LeaseReport,
    ) -> Vec<LeaseId> {
        let Some(slots) = self.servers.get_mut(server) else { return Vec::new() };
        slots.record(now, lease, report);
        slots.grant_waiting(now)
    }

    /// The load of a server, if this daemon is its arbiter.
    pub fn load(&self, now: Instant, server: &ServerId) -> Option<LeasedLoad> {
        self.servers.get(server).map(|slots| slots.load(now))
    }

    /// Ends a lease, or a request for one; returns the leases that others get instead.
    pub fn end(&mut self, now: Instant, server: &ServerId, lease: LeaseId) -> Vec<LeaseId> {
        let Some(slots) = self.servers.get_mut(server) else { return Vec::new() };
        slots.end(now, lease);
        slots.grant_waiting(now)
    }

    /// Ends a lease whose request the server has rejected for want of room.
    pub fn reject(&mut self, now: Instant, server: &ServerId, lease: LeaseId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.reject(now, lease);
        }
    }

    /// Grants to those that wait what may be leased by now.
    pub fn resume(&mut self, now: Instant, server: &ServerId) -> Vec<LeaseId> {
        self.servers.get_mut(server).map_or(Vec::new(), |slots| slots.grant_waiting(now))
    }

    /// Records all leases that a holder has here. Unknown ones were granted by a former arbiter or by
    /// this daemon before it restarted. Returns the leases that others get instead of ended ones.
    pub fn confirm(
        &mut self,
        now: Instant,
        holder: &VmId,
        held: &BTreeSet<(ServerId, LeaseId)>,
    ) -> Vec<LeaseId> {
        let mut granted = Vec::new();
        for (server, slots) in &mut self.servers {
            let is_held = |lease: &LeaseId| held.contains(&(server.clone(), *lease));
            let mut ended = Vec::new();
            for (lease, known) in &mut slots.leases {
                if known.holder != *holder {
                    continue;
                }
                if is_held(lease) {
                    known.confirmed_at = now;
                } else if now.saturating_duration_since(known.granted_at) >= CONFIRM_GRACE {
                    ended.push(*lease);
                }
            }
            ended.into_iter().for_each(|lease| slots.end(now, lease));
            granted.extend(slots.grant_waiting(now));
        }
        for (server, lease) in held {
            if let Some(slots) = self.servers.get_mut(server)
                && !slots.leases.contains_key(lease)
                && slots.leases.len() < slots.usable * MAX_TAKEN_OVER
                && now < slots.leases_from
            {
                slots.confirm_use(now);
                // Its memory demand is unknown and counts as an even part.
                let even = slots.memory.capacity.unwrap_or(0) / slots.usable as u64;
                let own_tokens = u32::try_from(even).unwrap_or(u32::MAX);
                let memory = MemoryDemand { parts: Vec::new(), own_tokens };
                slots.grant(now, *lease, holder.clone(), memory, None);
            }
        }
        granted
    }

    /// Ends the leases of holders that do not confirm them any more; returns the leases that others
    /// get instead.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        let mut granted = Vec::new();
        for slots in self.servers.values_mut() {
            let is_lost = |lease: &SlotLease| {
                now.saturating_duration_since(lease.confirmed_at) >= CONFIRM_LIMIT
            };
            let lost = slots.leases.iter().filter(|(_, lease)| is_lost(lease));
            let lost: Vec<LeaseId> = lost.map(|(lease, _)| *lease).collect();
            for lease in lost {
                slots.remove(lease);
            }
            granted.extend(slots.grant_waiting(now));
        }
        granted
    }

    /// The number of leases of a server.
    pub fn leases(&self, server: &ServerId) -> usize {
        self.servers.get(server).map_or(0, |slots| slots.leases.len())
    }
}

/// Chooses the arbiter of a server among the daemons that are there, by a hash, so that few servers get
/// another one when a daemon comes or goes.
pub fn choose_arbiter<'a>(
    server: &ServerId,
    daemons: impl IntoIterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    let seed = xxh3_64(server.as_bytes());
    daemons.into_iter().max_by_key(|vm| xxh3_64_with_seed(vm.as_bytes(), seed))
}

/// Chooses the servers that a daemon uses of a service whose slots are leased: all of a few servers, or
/// [`MAX_SERVERS`] of many, which differ for each daemon.
pub fn choose_servers<'a>(
    daemon: &VmId,
    servers: impl IntoIterator<Item = &'a ServerId>,
) -> BTreeSet<ServerId> {
    let seed = xxh3_64(daemon.as_bytes());
    let mut ranked: Vec<(u64, &ServerId)> = servers
        .into_iter()
        .map(|server| (xxh3_64_with_seed(server.as_bytes(), seed), server))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_SERVERS);
    ranked.into_iter().map(|(_, server)| server.clone()).collect()
}
