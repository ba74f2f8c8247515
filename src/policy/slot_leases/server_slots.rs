//! The slots of one server, and the requests that wait for them.

use {
    super::{
        LeaseDecision, LeaseDemand, LeaseRefusal, LeaseReport, LeaseUrgency, LeasedLoad,
        MemoryDemand, PaceSummary, REJECTION_PAUSE, ReadingDemand, SETTLE_TIME, ServerStart,
        StartAnswer, StartOutcome, StartPace,
        memory::LeasedMemory,
        reading::ReadingLoad,
        wait_queue::{WaitQueue, WaitingLease, urgency_of},
    },
    crate::{
        ids::{LeaseId, ServerId, VmId},
        observe::events,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time between two steps in which the limit rises after a rejection.
const RECOVERY_STEP: Duration = Duration::from_secs(1);

/// The same at servers that share their machines. These hold back what they have no room for, so that one
/// round of confirmations is enough.
const SHARED_SETTLE_TIME: Duration = Duration::from_millis(1_250);

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

/// The lease of one slot.
#[derive(Clone, Debug)]
pub(super) struct SlotLease {
    pub(super) holder: VmId,
    memory: MemoryDemand,
    pub(super) granted_at: Instant,
    pub(super) confirmed_at: Instant,
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
pub(super) struct ServerSlots {
    server: ServerId,
    /// Maximum number of leases; at least 1.
    pub(super) usable: usize,
    /// Nothing is leased before.
    pub(super) leases_from: Instant,
    /// Nothing is leased before, because the server has rejected several leased requests.
    paused_until: Instant,
    /// The last rejection of a leased request.
    rejection: Option<LeaseRejection>,
    pace: StartPace,
    /// Whether the server may have started together with this arbiter. Its pace then begins with the first
    /// request that calls for one before leases of a former arbiter are all known.
    pub(super) may_have_started: bool,
    pub(super) memory: LeasedMemory,
    reading: ReadingLoad,
    /// How long work takes on the server's machine, and when its holder told that.
    work_time: Option<(f32, Instant)>,
    /// At most `usable`, or [`super::MAX_TAKEN_OVER`] times as many with those that a former arbiter has granted.
    pub(super) leases: BTreeMap<LeaseId, SlotLease>,
    waiting: WaitQueue,
    /// Mean time for which a lease is held, in seconds.
    hold: f64,
    /// The same, weighted by the tokens of memory that the leases take.
    memory_hold: f64,
}

impl ServerSlots {
    pub(super) fn new(server: ServerId, now: Instant, usable: usize, leases_from: Instant) -> Self {
        ServerSlots {
            server,
            usable,
            leases_from,
            paused_until: now,
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

    pub(super) fn grant(
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

    pub(super) fn remove(&mut self, lease: LeaseId) -> Option<SlotLease> {
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

    /// Whether a request should wait that long. One that bears to become late may do so if nobody more urgent
    /// waits.
    fn is_worth_waiting(&self, demand: &LeaseDemand, wait: Duration) -> bool {
        let limit = match &demand.reading {
            None => demand.patience,
            Some(reading) if self.bears_lateness(demand.patience, reading) => demand.patience,
            Some(reading) => {
                let read = self.reading.time_for(reading.computed.into());
                demand.patience.min(reading.in_time.saturating_sub(read))
            }
        };
        wait <= limit.mul_f64(MAX_WAIT_FRACTION)
    }

    fn bears_lateness(&self, patience: Duration, reading: &ReadingDemand) -> bool {
        patience > reading.in_time && !self.waiting.has_more_urgent(reading.urgency)
    }

    /// What its holders should know of the server.
    pub(super) fn load(&self, now: Instant) -> LeasedLoad {
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
    pub(super) fn request(
        &mut self,
        now: Instant,
        lease: LeaseId,
        holder: &VmId,
        demand: LeaseDemand,
    ) -> (LeaseDecision, Option<(LeaseId, LeaseRefusal)>) {
        let (urgency, is_shared) = (urgency_of(demand.reading.as_ref()), demand.reading.is_some());
        if is_shared && now < self.leases_from && std::mem::take(&mut self.may_have_started) {
            self.begin_pace(now, ServerStart::Unknown);
        }
        let early = if is_shared { SETTLE_TIME - SHARED_SETTLE_TIME } else { Duration::ZERO };
        let settles_in = self.leases_from.saturating_duration_since(now + early);
        if !settles_in.is_zero() {
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

    pub(super) fn end(&mut self, now: Instant, lease: LeaseId) {
        self.waiting.remove(lease);
        if let Some(ended) = self.remove(lease) {
            let held = now.saturating_duration_since(ended.granted_at).as_secs_f64();
            self.hold += (held - self.hold) * HOLD_STEP;
            let mean = self.memory.used() as f64 / self.leases.len().max(1) as f64;
            let weight = f64::from(ended.memory.own_tokens) / mean.max(1.0);
            self.memory_hold += (held - self.memory_hold) * (HOLD_STEP * weight).min(0.5);
        }
    }

    /// Records what the holder of a lease tells of its request.
    pub(super) fn record(&mut self, now: Instant, lease: LeaseId, report: &LeaseReport) {
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

    pub(super) fn is_paced(&self) -> bool {
        !self.pace.is_ended()
    }

    /// The part of the slots that the pace allows; `None` once it has ended.
    fn pace_part(&self) -> Option<f32> {
        let part = self.pace.limit(self.usable) as f32 / self.usable as f32;
        self.is_paced().then_some(part)
    }

    pub(super) fn begin_pace(&mut self, now: Instant, start: ServerStart) {
        self.pace = StartPace::new(now, start, self.usable);
        if self.is_paced() {
            let limit = self.pace.limit(self.usable);
            log::info!(server = self.server.as_str(), slots = self.usable, limit = limit;
                "{}", events::PACE_BEGUN);
        }
    }

    /// Records that leases of a former arbiter are held.
    pub(super) fn confirm_use(&mut self, now: Instant) {
        self.may_have_started = false;
        if let Some(summary) = self.pace.confirm_use(now) {
            self.log_pace_end(summary);
        }
    }

    /// Moves the pace of the server by an answer to a leased request.
    fn record_answer(&mut self, now: Instant, lease: LeaseId, outcome: StartOutcome) {
        let Some(sent) = self.leases.get(&lease).map(|lease| lease.granted_at) else { return };
        let answer = StartAnswer { sent, held: self.leases.len(), outcome };
        if let Some(summary) = self.pace.record(now, answer, self.usable) {
            self.log_pace_end(summary);
        }
    }

    fn log_pace_end(&self, summary: PaceSummary) {
        log::info!(server = self.server.as_str(), slots = self.usable, answers = summary.answers,
            duration_ms = summary.duration.as_millis() as u64; "{}", events::PACE_ENDED);
    }

    /// Lowers the limit after the server had no room for a leased request.
    pub(super) fn reject(&mut self, now: Instant, lease: LeaseId) {
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
    pub(super) fn grant_waiting(&mut self, now: Instant) -> Vec<LeaseId> {
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
