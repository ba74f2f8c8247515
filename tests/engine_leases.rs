//! Leases at engines whose memory long prompts fill before their slots.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        ids::{LeaseId, ServerId},
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, MemoryDemand, REJECTION_PAUSE, SlotTable,
            choose_servers,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

const RUN_TIME: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_secs(20);
const TRIES: usize = 3;
/// Rejections in a second after which an engine ends, and how long it stays away then.
const REJECTION_LIMIT: usize = 3;
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Requests that wait at an engine for memory or a slot.
const QUEUE_LENGTH: usize = 1;

/// The engines, their callers and prompts of a fleet.
#[derive(Clone, Copy)]
struct FleetShape {
    entries: usize,
    engines: usize,
    slots: usize,
    memory: u32,
    /// The part of long prompts, their tokens, and how many of these are shared by a tenth of them.
    long_part: f64,
    long_tokens: u32,
    shared_tokens: u32,
    short_tokens: u32,
    /// Tokens of an engine's memory that something else than leased requests takes.
    hidden_tokens: u32,
}

/// A tenth of the prompts takes three quarters of an engine's memory.
const RARE_LONG: FleetShape = FleetShape {
    entries: 20,
    engines: 40,
    slots: 6,
    memory: 16_000,
    long_part: 0.1,
    long_tokens: 12_000,
    shared_tokens: 0,
    short_tokens: 850,
    hidden_tokens: 0,
};
/// Most prompts are long, and all slots together need more than the memory, unless parts are shared.
const MANY_LONG: FleetShape = FleetShape {
    entries: 67,
    engines: 140,
    slots: 12,
    memory: 87_123,
    long_part: 0.54,
    long_tokens: 9_190,
    shared_tokens: 6_300,
    short_tokens: 826,
    hidden_tokens: 0,
};
/// The same at hundreds of entries and engines.
const MANY_ENTRIES: FleetShape = FleetShape { entries: 295, engines: 320, ..MANY_LONG };
/// Two fifths of the memory are taken by what no arbiter knows of.
const HIDDEN_USE: FleetShape = FleetShape { hidden_tokens: 35_000, ..MANY_LONG };
/// No prompt is long.
const ALL_SHORT: FleetShape = FleetShape { long_part: 0.0, ..RARE_LONG };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrive,
    GiveUp { request: LeaseId },
    End { request: LeaseId },
    Return { engine: usize },
    Resume { engine: usize },
}

#[derive(Clone, Copy)]
struct FleetRequest {
    entry: usize,
    engine: usize,
    tries: usize,
    /// The shared part, if there is one, and the tokens of the whole prompt.
    part: Option<u64>,
    tokens: u32,
    is_leased: bool,
}

#[derive(Clone, Default)]
struct Engine {
    running: Vec<LeaseId>,
    queue: VecDeque<LeaseId>,
    rejections: VecDeque<Instant>,
    is_down: bool,
}

/// Entries that lease from one table, and engines, in virtual time. Messages take no time.
struct EngineFleet {
    shape: FleetShape,
    names: Vec<ServerId>,
    chosen: Vec<Vec<usize>>,
    table: SlotTable,
    engines: Vec<Engine>,
    requests: BTreeMap<LeaseId, FleetRequest>,
    events: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    random: Xoshiro256PlusPlus,
    next: u64,
    asked: u32,
    served: u32,
    rejected: u32,
    ended: u32,
}

impl EngineFleet {
    fn new(now: Instant, shape: FleetShape, seed: u64) -> Self {
        let names: Vec<ServerId> =
            (0..shape.engines).map(|engine| format!("i-{engine:03}")).collect();
        let position = |id: &ServerId| names.binary_search(id).unwrap();
        let chosen = (0..shape.entries).map(|entry| {
            let chosen = choose_servers(&format!("vm-{entry}"), &names);
            chosen.iter().map(position).collect()
        });
        let chosen = chosen.collect();
        let mut table = SlotTable::default();
        let assigned = names.iter().map(|name| (name.clone(), arbitrated(shape)));
        table.configure(now, assigned.collect());
        EngineFleet {
            shape,
            chosen,
            table,
            engines: vec![Engine::default(); shape.engines],
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            next: 0,
            asked: 0,
            served: 0,
            rejected: 0,
            ended: 0,
            names,
        }
    }

    fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.random.next_u64() % count as u64) as usize
    }

    fn schedule(&mut self, at: Instant, event: FleetEvent) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    /// Runs the fleet at a load, as a part of what its slots can run; returns the part of the requests that
    /// were served.
    fn run(&mut self, began: Instant, load: f64) -> f64 {
        let slots = (self.shape.engines * self.shape.slots) as f64;
        let rate = slots / RUN_TIME.as_secs_f64() * load;
        self.schedule(began, FleetEvent::Arrive);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > began + LENGTH {
                break;
            }
            match event {
                FleetEvent::Arrive => {
                    let gap = -(1.0 - self.unit()).ln() / rate;
                    self.schedule(now + Duration::from_secs_f64(gap), event);
                    self.arrive(now);
                }
                FleetEvent::GiveUp { request } => {
                    if self.requests.get(&request).is_some_and(|known| !known.is_leased) {
                        self.end_lease(now, request);
                        self.retry(now, request);
                    }
                }
                FleetEvent::End { request } => self.finish(now, request),
                FleetEvent::Return { engine } => self.engines[engine].is_down = false,
                FleetEvent::Resume { engine } => self.resume(now, engine),
            }
        }
        f64::from(self.served) / f64::from(self.asked)
    }

    fn arrive(&mut self, now: Instant) {
        self.asked += 1;
        let is_long = self.unit() < self.shape.long_part;
        let is_shared = is_long && self.shape.shared_tokens > 0;
        let part = is_shared.then(|| self.below(10) as u64);
        let mean = if is_long { self.shape.long_tokens } else { self.shape.short_tokens };
        // Three to five quarters of the mean beside the shared part.
        let shared = part.map_or(0, |_| self.shape.shared_tokens);
        let own = (f64::from(mean - shared) * (0.75 + self.unit() / 2.0)) as u32;
        let entry = self.below(self.shape.entries);
        let tokens = shared + own;
        let request = FleetRequest { entry, engine: 0, tries: 0, part, tokens, is_leased: false };
        self.ask(now, request);
    }

    /// Asks for a lease at an engine of the entry that is listed.
    fn ask(&mut self, now: Instant, request: FleetRequest) {
        let chosen = &self.chosen[request.entry];
        let listed: Vec<usize> =
            chosen.iter().copied().filter(|engine| !self.engines[*engine].is_down).collect();
        if listed.is_empty() {
            return;
        }
        let engine = listed[self.below(listed.len())];
        let id = self.random.next_u64();
        let mut request = FleetRequest { engine, tries: request.tries + 1, ..request };
        let decision = self.request_lease(now, id, &request);
        request.is_leased = decision == LeaseDecision::Granted;
        self.requests.insert(id, request);
        match decision {
            LeaseDecision::Granted => self.send(now, id),
            LeaseDecision::Waiting => {
                self.schedule(now + PATIENCE, FleetEvent::GiveUp { request: id });
            }
            LeaseDecision::Refused(_) => self.retry(now, id),
        }
    }

    fn request_lease(
        &mut self,
        now: Instant,
        id: LeaseId,
        request: &FleetRequest,
    ) -> LeaseDecision {
        let holder = format!("vm-{}", request.entry);
        let shared = request.part.map_or(0, |_| self.shape.shared_tokens);
        let parts = request.part.map(|part| (part, shared)).into_iter().collect();
        let memory = MemoryDemand { parts, own_tokens: request.tokens - shared };
        let demand = LeaseDemand { patience: PATIENCE, memory, reading: None };
        self.table.request(now, &self.names[request.engine], id, &holder, demand)
    }

    fn retry(&mut self, now: Instant, id: LeaseId) {
        if let Some(request) = self.requests.remove(&id)
            && request.tries < TRIES
        {
            self.ask(now, request);
        }
    }

    /// Sends a leased request to its engine.
    fn send(&mut self, now: Instant, id: LeaseId) {
        let request = self.requests[&id];
        let engine = &mut self.engines[request.engine];
        if engine.is_down {
            self.end_lease(now, id);
            self.retry(now, id);
        } else if engine.queue.len() < QUEUE_LENGTH || self.has_room(request) {
            self.engines[request.engine].queue.push_back(id);
            self.start_waiting(now, request.engine);
        } else {
            self.reject(now, id);
        }
    }

    fn has_room(&self, request: FleetRequest) -> bool {
        let engine = &self.engines[request.engine];
        let mut parts: BTreeMap<u64, u32> = BTreeMap::new();
        let mut used = 0;
        let running = engine.running.iter().map(|id| self.requests[id]);
        for known in running.chain([request]) {
            let shared = known.part.map_or(0, |_| self.shape.shared_tokens);
            used += known.tokens - shared;
            known.part.map(|part| parts.insert(part, shared));
        }
        engine.running.len() < self.shape.slots
            && used + parts.values().sum::<u32>() + self.shape.hidden_tokens <= self.shape.memory
    }

    fn start_waiting(&mut self, now: Instant, engine: usize) {
        while let Some(next) = self.engines[engine].queue.front().copied()
            && self.has_room(self.requests[&next])
        {
            self.engines[engine].queue.pop_front();
            self.engines[engine].running.push(next);
            let length = RUN_TIME.mul_f64(0.5 + self.unit());
            self.schedule(now + length, FleetEvent::End { request: next });
        }
    }

    fn reject(&mut self, now: Instant, id: LeaseId) {
        let engine = self.requests[&id].engine;
        self.rejected += 1;
        let state = &mut self.engines[engine];
        state.rejections.push_back(now);
        state.rejections.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        if state.rejections.len() > REJECTION_LIMIT {
            self.ended += 1;
            let lost = std::mem::take(state);
            state.is_down = true;
            self.schedule(now + DOWN_TIME, FleetEvent::Return { engine });
            for request in lost.running.into_iter().chain(lost.queue) {
                self.end_lease(now, request);
                self.requests.remove(&request);
            }
        }
        self.report_rejection(now, id);
        self.retry(now, id);
    }

    fn report_rejection(&mut self, now: Instant, id: LeaseId) {
        let engine = self.requests[&id].engine;
        self.table.reject(now, &self.names[engine], id);
        self.schedule(now + REJECTION_PAUSE, FleetEvent::Resume { engine });
    }

    fn resume(&mut self, now: Instant, engine: usize) {
        let granted = self.table.resume(now, &self.names[engine]);
        self.send_granted(now, granted);
    }

    fn finish(&mut self, now: Instant, id: LeaseId) {
        // It may have been lost with its engine.
        let Some(request) = self.requests.remove(&id) else { return };
        self.served += 1;
        self.engines[request.engine].running.retain(|running| *running != id);
        self.start_waiting(now, request.engine);
        let granted = self.table.end(now, &self.names[request.engine], id);
        self.send_granted(now, granted);
    }

    fn end_lease(&mut self, now: Instant, id: LeaseId) {
        let engine = self.requests[&id].engine;
        let granted = self.table.end(now, &self.names[engine], id);
        self.send_granted(now, granted);
    }

    fn send_granted(&mut self, now: Instant, granted: Vec<LeaseId>) {
        for id in granted {
            if let Some(request) = self.requests.get_mut(&id) {
                request.is_leased = true;
                self.send(now, id);
            }
        }
    }
}

fn arbitrated(shape: FleetShape) -> ArbitratedServer {
    let memory = Some(u64::from(shape.memory));
    ArbitratedServer { slots: shape.slots as u32, memory, had_arbiter: false }
}

/// Guards against engines that end under requests which found a slot and no memory.
#[test]
fn long_prompts_overrun_no_engine() {
    for (shape, load) in [
        (RARE_LONG, 0.6),
        (RARE_LONG, 1.0),
        (MANY_LONG, 0.9),
        (MANY_LONG, 1.6),
        (MANY_ENTRIES, 1.2),
    ] {
        let now = Instant::now();
        let mut fleet = EngineFleet::new(now, shape, 11);
        let served = fleet.run(now, load);
        let EngineFleet { ended, rejected, .. } = fleet;
        println!(
            "{} entries at {load}: {ended} ended, {rejected} rejected, {served:.3} served",
            shape.entries
        );
        let allowed = 2 + shape.engines as u32 / 10;
        assert!(ended <= allowed, "{} entries at {load}: {ended} ended", shape.entries);
    }
}

/// Guards against requests that are refused beside free slots and memory.
#[test]
fn engine_slots_are_used() {
    for (shape, load, least) in [
        (ALL_SHORT, 0.8, 0.95),
        (ALL_SHORT, 1.6, 0.58),
        (RARE_LONG, 0.5, 0.9),
        (MANY_LONG, 0.8, 0.95),
        (MANY_ENTRIES, 0.8, 0.95),
    ] {
        let now = Instant::now();
        let mut fleet = EngineFleet::new(now, shape, 12);
        let served = fleet.run(now, load);
        let EngineFleet { ended, rejected, .. } = fleet;
        println!(
            "{} entries at {load}: {ended} ended, {rejected} rejected, {served:.3} served",
            shape.entries
        );
        assert!(served >= least, "{} entries at {load}: {served}", shape.entries);
    }
}

/// Guards against engines that end because their memory is not what the arbiters know.
#[test]
fn rejections_pause_leases() {
    let now = Instant::now();
    let mut fleet = EngineFleet::new(now, HIDDEN_USE, 13);
    let served = fleet.run(now, 1.2);
    let EngineFleet { ended, rejected, .. } = fleet;
    println!("{ended} ended, {rejected} rejected, {served:.3} served");
    assert!(rejected > 0, "the memory is short");
    assert!(ended <= 2 + HIDDEN_USE.engines as u32 / 10, "{ended} ended");
    assert!(served >= 0.4, "{served}");
}
