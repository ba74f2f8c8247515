//! Servers, and entries that send them requests under the limits of arbiters, in virtual time. Some of the
//! servers return after a while, with cold caches, well or broken.

use {
    oleandermount::policy::slot_leases::{ServerStart, StartAnswer, StartOutcome, StartPace},
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Usual time of a request, which is also the predicted one.
pub const USUAL: f64 = 0.3;
/// What callers wait for an answer at most, and for a slot.
const OBJECTIVE: f64 = 4.0 * USUAL;
const PATIENCE: f64 = 2.0 * USUAL;
/// When the servers return, and when the run ends.
const RETURN: f64 = 3.0;
const END: f64 = RETURN + 6.0;
/// How long a cold server is slow, and how slow it is.
const COLD: f64 = 2.0;
const COLD_FACTOR: f64 = 1.6;
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceMode {
    /// The limit of the product.
    Paced(ServerStart),
    /// All slots at once.
    Flooded,
    /// One request at a time, until as many were answered on time as there are slots.
    Single,
    /// The servers don't return.
    Away,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCondition {
    /// It is slow for a while, and bears fewer requests than it has slots until its caches are filled.
    Cold,
    /// It is slow for a while however many requests it runs.
    Slow,
    Well,
    /// Each request fails after twice the usual time.
    Broken,
}

#[derive(Clone, Copy, Debug)]
pub struct StartCase {
    /// Entries and servers.
    pub size: (usize, usize),
    pub slots: usize,
    /// The first servers return.
    pub returning: usize,
    /// Requests as a part of those that all servers can run.
    pub load: f64,
    pub condition: ServerCondition,
    pub mode: PaceMode,
}

struct ModelServer {
    pace: StartPace,
    held: usize,
    /// Entry and arrival of each request that waits.
    waiting: VecDeque<(usize, f64)>,
    /// Good answers on time since the return.
    answered: usize,
    /// Mean time of its requests.
    hold: f64,
    full_at: Option<f64>,
    most_held: usize,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    server: usize,
    entry: usize,
    arrival: f64,
    sent: f64,
    is_ok: bool,
}

/// Requests, and those of them that took longer than the objective, failed or were refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCount {
    pub runs: usize,
    pub late: usize,
}

impl RunCount {
    fn add(&mut self, is_late: bool) {
        self.runs += 1;
        self.late += usize::from(is_late);
    }

    pub fn late_part(&self) -> f64 {
        self.late as f64 / self.runs.max(1) as f64
    }

    fn sum(self, other: RunCount) -> RunCount {
        RunCount { runs: self.runs + other.runs, late: self.late + other.late }
    }

    /// Whether no more are late than in `other`, but for three times the standard error of the counts.
    pub fn is_as_good_as(&self, other: &RunCount) -> bool {
        let part = other.late_part().max(1.0 / other.runs as f64);
        let variance = part * (1.0 - part) * (1.0 / self.runs as f64 + 1.0 / other.runs as f64);
        self.late_part() <= part + 3.0 * variance.sqrt()
    }
}

#[derive(Clone, Debug, Default)]
pub struct StartResult {
    /// Runs in the window at the servers that returned and at the others; the wait isn't counted.
    pub started: RunCount,
    pub in_use: RunCount,
    /// Requests that the other servers answered, with their wait.
    pub elsewhere: RunCount,
    /// All requests that arrived in the window, with their wait, and those of each entry.
    pub callers: RunCount,
    pub entries: Vec<RunCount>,
    /// Seconds from the return until the last server was in full use.
    pub full_use: Option<f64>,
    pub most_held: usize,
}

impl StartResult {
    /// The sum of two results; the later full use of both.
    pub fn merge(self, other: StartResult) -> StartResult {
        let entries = self.entries.into_iter().zip(other.entries);
        StartResult {
            started: self.started.sum(other.started),
            in_use: self.in_use.sum(other.in_use),
            elsewhere: self.elsewhere.sum(other.elsewhere),
            callers: self.callers.sum(other.callers),
            entries: entries.map(|(one, other)| one.sum(other)).collect(),
            full_use: self.full_use.zip(other.full_use).map(|(one, other)| one.max(other)),
            most_held: self.most_held.max(other.most_held),
        }
    }
}

pub struct StartModel {
    case: StartCase,
    epoch: Instant,
    servers: Vec<ModelServer>,
    /// Requests in flight by entry and server; an entry knows no more.
    own: Vec<Vec<u32>>,
    /// Ends of requests; `None` is the arrival of another one.
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    details: Vec<Option<SentRequest>>,
    random: Xoshiro256PlusPlus,
    result: StartResult,
}

impl StartModel {
    /// Plays a case.
    pub fn run(case: StartCase, seed: u64) -> StartResult {
        let (entries, servers) = case.size;
        let server = || ModelServer {
            pace: StartPace::ended(),
            held: 0,
            waiting: VecDeque::new(),
            answered: 0,
            hold: USUAL,
            full_at: None,
            most_held: 0,
        };
        let counts = vec![RunCount::default(); entries];
        let mut model = StartModel {
            case,
            epoch: Instant::now(),
            servers: (0..servers).map(|_| server()).collect(),
            own: vec![vec![0; servers]; entries],
            events: BinaryHeap::new(),
            details: Vec::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            result: StartResult { entries: counts, ..StartResult::default() },
        };
        model.push(0.0, None);
        model.advance(RETURN);
        if let PaceMode::Paced(start) = case.mode {
            let began = model.instant(RETURN);
            let returned = &mut model.servers[..case.returning];
            returned.iter_mut().for_each(|one| one.pace = StartPace::new(began, start, case.slots));
        }
        model.advance(END);
        let returned = &model.servers[..case.returning];
        let full = returned.iter().map(|server| server.full_at).collect::<Option<Vec<f64>>>();
        model.result.full_use = full.map(|full| full.into_iter().fold(0.0, f64::max) - RETURN);
        model.result.most_held = returned.iter().map(|server| server.most_held).max().unwrap_or(0);
        model.result
    }

    fn advance(&mut self, until: f64) {
        let until = Duration::from_secs_f64(until);
        while self.events.peek().is_some_and(|Reverse((at, _))| *at < until)
            && let Some(Reverse((at, event))) = self.events.pop()
        {
            match self.details[event] {
                None => self.arrive(at.as_secs_f64()),
                Some(request) => self.end(at.as_secs_f64(), request),
            }
        }
    }

    fn push(&mut self, at: f64, event: Option<SentRequest>) {
        self.details.push(event);
        self.events.push(Reverse((Duration::from_secs_f64(at), self.details.len() - 1)));
    }

    fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn pick(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    fn instant(&self, at: f64) -> Instant {
        self.epoch + Duration::from_secs_f64(at)
    }

    fn is_started(&self, server: usize, now: f64) -> bool {
        server < self.case.returning && now >= RETURN
    }

    fn limit(&self, server: usize) -> usize {
        let is_single = self.case.mode == PaceMode::Single && server < self.case.returning;
        let ModelServer { pace, answered, .. } = &self.servers[server];
        if is_single && *answered < self.case.slots { 1 } else { pace.limit(self.case.slots) }
    }

    fn arrive(&mut self, now: f64) {
        let (entries, servers) = self.case.size;
        let rate = self.case.load * (servers * self.case.slots) as f64 / USUAL;
        let gap = -(1.0 - self.unit()).ln() / rate;
        self.push(now + gap, None);
        let entry = self.pick(entries);
        let is_back = now >= RETURN && self.case.mode != PaceMode::Away;
        let first = if is_back { 0 } else { self.case.returning };
        let one = first + self.pick(servers - first);
        let other = first + self.pick(servers - first);
        let own = &self.own[entry];
        let (one, other) = if own[other] < own[one] { (other, one) } else { (one, other) };
        for server in [one, other] {
            if self.servers[server].held < self.limit(server) {
                return self.send(now, server, (entry, now));
            }
            let model = &self.servers[server];
            let ahead = (model.waiting.len() + 1) as f64;
            if ahead * model.hold / self.limit(server) as f64 <= PATIENCE {
                return self.servers[server].waiting.push_back((entry, now));
            }
        }
        self.count_caller(now, entry, true);
    }

    fn count_caller(&mut self, arrival: f64, entry: usize, is_late: bool) {
        if (RETURN..END - OBJECTIVE).contains(&arrival) {
            self.result.callers.add(is_late);
            self.result.entries[entry].add(is_late);
        }
    }

    fn send(&mut self, now: f64, server: usize, (entry, arrival): (usize, f64)) {
        let is_started = self.is_started(server, now);
        let noise = if self.unit() < 0.02 { 6.0 } else { 0.8 + 0.4 * self.unit() };
        self.own[entry][server] += 1;
        let slots = self.case.slots;
        let model = &mut self.servers[server];
        model.held += 1;
        if is_started {
            model.most_held = model.most_held.max(model.held);
            if model.held * 10 >= slots * 9 {
                model.full_at.get_or_insert(now);
            }
        }
        let slow = if now < RETURN + COLD { COLD_FACTOR } else { 1.0 };
        // The caches of a cold server fill with its answers.
        let (time, is_ok) = match self.case.condition {
            ServerCondition::Broken if is_started => (2.0 * USUAL, false),
            ServerCondition::Cold if is_started => {
                let bears = slots.min(slots / 4 + model.answered / 2);
                let crowd = (model.held as f64 / bears as f64).max(1.0);
                (USUAL * slow * crowd * noise, true)
            }
            ServerCondition::Slow if is_started => (USUAL * slow * noise, true),
            ServerCondition::Cold
            | ServerCondition::Slow
            | ServerCondition::Well
            | ServerCondition::Broken => (USUAL * noise, true),
        };
        self.push(now + time, Some(SentRequest { server, entry, arrival, sent: now, is_ok }));
    }

    fn end(&mut self, now: f64, request: SentRequest) {
        let SentRequest { server, entry, arrival, sent, is_ok } = request;
        let is_started = self.is_started(server, sent);
        let run = now - sent;
        let count = if is_started { &mut self.result.started } else { &mut self.result.in_use };
        if sent >= RETURN {
            count.add(!is_ok || run > OBJECTIVE);
        }
        let is_late = !is_ok || now - arrival > OBJECTIVE;
        if !is_started && arrival >= RETURN {
            self.result.elsewhere.add(is_late);
        }
        self.count_caller(arrival, entry, is_late);
        let (sent, at) = (self.instant(sent), self.instant(now));
        self.own[entry][server] -= 1;
        let slots = self.case.slots;
        let model = &mut self.servers[server];
        let outcome = StartOutcome::of_lateness((run / USUAL) as f32);
        if is_ok {
            model.pace.record(at, StartAnswer { sent, held: model.held, outcome }, slots);
        }
        model.held -= 1;
        model.hold += (run - model.hold) * 0.1;
        model.answered += usize::from(is_started && is_ok && outcome == StartOutcome::OnTime);
        while self.servers[server].held < self.limit(server)
            && let Some(next) = self.servers[server].waiting.pop_front()
        {
            self.send(now, server, next);
        }
    }
}
