//! Leases at engines that share their machines: a burst of long prompts, more than the memory of the
//! engines holds, while a third of them crash and return with empty caches, and short requests beside.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        ids::{LeaseId, ServerId, VmId},
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, LeaseRefusal, LeaseReport, LeasedLoad,
            MemoryDemand, REJECTION_PAUSE, ReadingDemand, SlotTable, choose_arbiter,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

const ENTRIES: usize = 59;
const ENGINES: usize = 90;
const SLOTS: usize = 48;
/// Requests that may wait inside an engine.
const QUEUE_LENGTH: usize = 144;
const MEMORY: u64 = 111_050;
/// Prompt tokens that engines of the three speeds read in a millisecond.
const READ_RATES: [f64; 3] = [34.0, 56.0, 90.0];
const PIECE_TOKENS: u32 = 2_048;
const STEP: Duration = Duration::from_millis(4);
/// How much longer a step takes for each running request.
const STEP_A_REQUEST: Duration = Duration::from_micros(90);
const STEPS_AN_EVENT: u32 = 6;
/// Long and short shared parts that an engine keeps.
const CACHED_PARTS: [usize; 2] = [60, 12];
const PARTS: usize = 400;
const ORGANISATIONS: usize = 60;
/// The organisation that asks for five times its usual.
const LOUD: usize = 7;
const TRIES: usize = 4;
const LENGTH: Duration = Duration::from_secs(26);
/// Seconds in which requests arrive.
const ARRIVALS: f64 = 16.0;
const BURST: std::ops::Range<f64> = 4.0..10.0;

/// A class of requests.
struct RequestKind {
    /// Tokens of the part that is shared, and of the rest.
    shared: u32,
    own: u32,
    events: u32,
    objective: Duration,
    /// Longest pause between two events.
    pause: Duration,
    deadline: Duration,
    urgency: u8,
}

const SHORT: RequestKind = RequestKind {
    shared: 198,
    own: 628,
    events: 48,
    objective: Duration::from_millis(400),
    pause: Duration::from_millis(400),
    deadline: Duration::from_secs(15),
    urgency: 0,
};
const LONG: RequestKind = RequestKind {
    shared: 6_300,
    own: 2_890,
    events: 9,
    objective: Duration::from_secs(1),
    pause: Duration::from_millis(400),
    deadline: Duration::from_secs(5),
    urgency: 4,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrive,
    GiveUp {
        request: LeaseId,
    },
    Step {
        engine: usize,
        starts: u32,
    },
    Crash,
    Return {
        engine: usize,
    },
    Resume {
        engine: usize,
    },
    /// Holders confirm their leases, and arbiters end those that are not confirmed.
    Confirm,
    /// A failure of entries begins, and ends.
    Fail,
    Recover,
    /// The list follows the entries.
    Reassign,
}

/// What fails beside the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryFailure {
    None,
    /// A tenth of the entries is killed; their arbiters forget their leases.
    Killed,
    /// A tenth of the entries stands still for a second.
    Frozen,
    /// A third of the entries reaches no other entry for three seconds.
    CutOff,
    /// All entries start in turn, one each 100 ms.
    Restarted,
    /// Entries learn that an engine has crashed or returned a second late.
    LaggingList,
}

#[derive(Clone, Debug)]
struct Call {
    entry: usize,
    organisation: usize,
    is_long: bool,
    part: u64,
    arrived: Instant,
    engine: usize,
    asked: Vec<usize>,
    is_sent: bool,
    unread: u32,
    /// Whether its engine has sent an event.
    is_read: bool,
    steps: u32,
    last_event: Instant,
    is_late: bool,
}

impl Call {
    fn kind(&self) -> &'static RequestKind {
        if self.is_long { &LONG } else { &SHORT }
    }

    fn memory(&self) -> MemoryDemand {
        let kind = self.kind();
        let own_tokens = kind.own + kind.events * STEPS_AN_EVENT;
        MemoryDemand { parts: vec![(self.part, kind.shared)], own_tokens }
    }
}

#[derive(Clone, Default)]
struct Engine {
    running: Vec<LeaseId>,
    /// Requests that wait inside the engine.
    queue: VecDeque<LeaseId>,
    cached: Vec<u64>,
    starts: u32,
    is_down: bool,
    is_stepping: bool,
}

/// How requests ended.
#[derive(Clone, Debug, Default)]
struct Outcomes {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    refused_beside_free: u32,
    rejected: u32,
    /// Waited inside an engine.
    queued: u32,
    expired: u32,
    crashed: u32,
}

struct SharedFleet {
    began: Instant,
    failure: EntryFailure,
    names: Vec<ServerId>,
    entry_names: Vec<VmId>,
    arbiters: Vec<usize>,
    tables: Vec<SlotTable>,
    /// Entries that are gone, or reach no other one.
    silent: BTreeSet<usize>,
    engines: Vec<Engine>,
    calls: BTreeMap<LeaseId, Call>,
    /// What each entry knows of the engines.
    loads: Vec<BTreeMap<usize, (LeasedLoad, Instant)>>,
    events: BinaryHeap<Reverse<(Instant, u64, FleetEvent)>>,
    random: Xoshiro256PlusPlus,
    next: u64,
    total: Outcomes,
    /// By half second of arrival, by class, and by organisation.
    spans: Vec<Outcomes>,
    kinds: [Outcomes; 2],
    organisations: Vec<Outcomes>,
    /// Whether entries ask arbiters at all.
    is_leased: bool,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl SharedFleet {
    fn new(seed: u64, failure: EntryFailure, is_leased: bool) -> Self {
        let began = Instant::now();
        let mut fleet = SharedFleet {
            began,
            failure,
            names: (0..ENGINES).map(|engine| format!("i-{engine:03}")).collect(),
            entry_names: (0..ENTRIES).map(|entry| format!("vm-{entry}")).collect(),
            arbiters: Vec::new(),
            tables: vec![SlotTable::default(); ENTRIES],
            silent: BTreeSet::new(),
            engines: vec![Engine::default(); ENGINES],
            calls: BTreeMap::new(),
            loads: vec![BTreeMap::new(); ENTRIES],
            events: BinaryHeap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            next: 0,
            total: Outcomes::default(),
            spans: vec![Outcomes::default(); (LENGTH.as_millis() / 500) as usize + 1],
            kinds: [Outcomes::default(), Outcomes::default()],
            organisations: vec![Outcomes::default(); ORGANISATIONS],
            is_leased,
        };
        fleet.assign(began);
        fleet
    }

    fn assign(&mut self, now: Instant) {
        let had_arbiter = !self.arbiters.is_empty();
        let gone: BTreeSet<usize> = match self.failure {
            EntryFailure::Killed => self.silent.clone(),
            _ => BTreeSet::new(),
        };
        let names = &self.entry_names;
        let arbiters = self.names.iter().map(|server| {
            let present = names.iter().enumerate().filter(|(entry, _)| !gone.contains(entry));
            let chosen = choose_arbiter(server, present.map(|(_, name)| name)).unwrap();
            names.iter().position(|name| name == chosen).unwrap()
        });
        self.arbiters = arbiters.collect();
        for (entry, table) in self.tables.iter_mut().enumerate() {
            let own = self.arbiters.iter().enumerate().filter(|(_, arbiter)| **arbiter == entry);
            let arbitrated =
                ArbitratedServer { slots: SLOTS as u32, memory: Some(MEMORY), had_arbiter };
            let own = own.map(|(server, _)| (self.names[server].clone(), arbitrated.clone()));
            table.configure(now, own.collect());
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

    fn run(&mut self) {
        let began = self.began;
        self.schedule(began, FleetEvent::Arrive);
        self.schedule(began, FleetEvent::Confirm);
        for at in [4.0, 7.5, 11.0] {
            self.schedule(began + seconds(at), FleetEvent::Crash);
        }
        if self.failure != EntryFailure::None {
            self.schedule(began + seconds(2.0), FleetEvent::Fail);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > began + LENGTH {
                break;
            }
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: Instant, event: FleetEvent) {
        match event {
            FleetEvent::Arrive => self.arrive(now),
            FleetEvent::GiveUp { request } => {
                if self.calls.get(&request).is_some_and(|call| !call.is_sent) {
                    self.end_lease(now, request);
                    self.ask_next(now, request);
                }
            }
            FleetEvent::Step { engine, starts } => self.step(now, engine, starts),
            FleetEvent::Crash => self.crash_third(now),
            FleetEvent::Return { engine } => self.engines[engine].is_down = false,
            FleetEvent::Resume { engine } => {
                let arbiter = self.arbiters[engine];
                let granted = self.tables[arbiter].resume(now, &self.names[engine]);
                self.send_granted(now, granted);
            }
            FleetEvent::Confirm => self.confirm(now),
            FleetEvent::Fail => self.fail(now),
            FleetEvent::Recover => {
                self.silent.clear();
            }
            FleetEvent::Reassign => self.assign(now),
        }
    }

    /// Begins the failure of entries.
    fn fail(&mut self, now: Instant) {
        match self.failure {
            EntryFailure::None | EntryFailure::LaggingList => {}
            EntryFailure::Killed => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 10 == 3).collect();
                self.schedule(now + seconds(3.0), FleetEvent::Reassign);
            }
            EntryFailure::Frozen => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 10 == 3).collect();
                self.schedule(now + seconds(1.0), FleetEvent::Recover);
            }
            EntryFailure::CutOff => {
                self.silent = (0..ENTRIES).filter(|entry| entry % 3 == 1).collect();
                self.schedule(now + seconds(3.0), FleetEvent::Recover);
            }
            EntryFailure::Restarted => {
                let started = ((now - self.began).as_millis() as usize - 2_000) / 100;
                if started < ENTRIES {
                    self.tables[started] = SlotTable::default();
                    self.assign(now);
                    self.schedule(now + seconds(0.1), FleetEvent::Fail);
                }
            }
        }
    }

    fn confirm(&mut self, now: Instant) {
        self.schedule(now + seconds(1.0), FleetEvent::Confirm);
        let mut held = vec![BTreeSet::new(); ENTRIES];
        for (lease, call) in &self.calls {
            held[call.entry].insert((self.names[call.engine].clone(), *lease));
        }
        let present = (0..ENTRIES).filter(|entry| !self.silent.contains(entry));
        let present: Vec<usize> = present.collect();
        for arbiter in present.iter().copied() {
            for entry in present.iter().copied() {
                let name = &self.entry_names[entry];
                let granted = self.tables[arbiter].confirm(now, name, &held[entry]);
                self.send_granted(now, granted);
            }
            let granted = self.tables[arbiter].expire(now);
            self.send_granted(now, granted);
        }
    }

    fn arrive(&mut self, now: Instant) {
        let at = (now - self.began).as_secs_f64();
        if at > ARRIVALS {
            return;
        }
        let factor = if BURST.contains(&at) { 2.6 } else { 1.0 };
        let (short, long) = (250.0, 250.0 * factor);
        let gap = -(1.0 - self.unit()).ln() / (short + long);
        self.schedule(now + seconds(gap), FleetEvent::Arrive);
        let is_long = self.unit() < long / (short + long);
        let loud = if BURST.contains(&at) { 5 } else { 1 };
        let drawn = self.below(ORGANISATIONS - 1 + loud);
        let organisation = if drawn >= ORGANISATIONS { LOUD } else { drawn };
        let part = self.below(PARTS) as u64 * 2 + u64::from(is_long);
        let entry = loop {
            let entry = self.below(ENTRIES);
            if self.failure != EntryFailure::Killed || !self.silent.contains(&entry) {
                break entry;
            }
        };
        let call = Call {
            entry,
            organisation,
            is_long,
            part,
            arrived: now,
            engine: 0,
            asked: Vec::new(),
            is_sent: false,
            unread: 0,
            is_read: false,
            steps: 0,
            last_event: now,
            is_late: false,
        };
        self.count(&call, |outcomes| outcomes.asked += 1);
        let id = self.random.next_u64();
        self.calls.insert(id, call);
        self.ask_next(now, id);
    }

    fn count(&mut self, call: &Call, change: impl Fn(&mut Outcomes)) {
        let span = (call.arrived - self.began).as_millis() as usize / 500;
        change(&mut self.total);
        change(&mut self.spans[span]);
        change(&mut self.kinds[usize::from(call.is_long)]);
        change(&mut self.organisations[call.organisation]);
    }

    /// Chooses an engine for a request: by what the entry knows of the homes of its shared part and of some
    /// others.
    fn choose(&mut self, now: Instant, call: &Call) -> Option<usize> {
        let home = call.part as usize * 37 % ENGINES;
        let mut candidates = vec![home, (home + 45) % ENGINES];
        candidates.extend((0..4).map(|_| self.random.next_u64() as usize % ENGINES));
        let lags = self.failure == EntryFailure::LaggingList;
        candidates.retain(|engine| {
            !call.asked.contains(engine) && (lags || !self.engines[*engine].is_down)
        });
        let cost = |engine: &usize| {
            let known = self.loads[call.entry].get(engine);
            let known = known.filter(|(_, at)| now - *at < Duration::from_millis(300));
            let ahead = known.map_or(0, |(load, _)| load.tokens_ahead);
            let is_home = *engine == home || *engine == (home + 45) % ENGINES;
            let read = if is_home { call.kind().own } else { call.kind().own + call.kind().shared };
            f64::from(ahead + read) / READ_RATES[*engine % 3]
        };
        candidates.into_iter().min_by(|one, other| cost(one).total_cmp(&cost(other)))
    }

    fn ask_next(&mut self, now: Instant, id: LeaseId) {
        let Some(mut call) = self.calls.remove(&id) else { return };
        let id = self.random.next_u64();
        if call.steps == 0 && now >= call.arrived + call.kind().deadline {
            self.count(&call, |outcomes| outcomes.expired += 1);
            return;
        }
        let chosen = (call.asked.len() < TRIES).then(|| self.choose(now, &call)).flatten();
        let Some(engine) = chosen else {
            let is_free = self.engines.iter().filter(|engine| self.is_free(engine)).count();
            let beside_free = u32::from(is_free * 10 > ENGINES);
            self.count(&call, |outcomes| {
                outcomes.refused += 1;
                outcomes.refused_beside_free += beside_free;
            });
            return;
        };
        call.engine = engine;
        call.asked.push(engine);
        call.is_sent = false;
        let (entry, arbiter) = (call.entry, self.arbiters[engine]);
        if !self.is_leased {
            self.calls.insert(id, call);
            self.send(now, id);
            return;
        }
        if entry != arbiter && (self.silent.contains(&entry) || self.silent.contains(&arbiter)) {
            // It is asked again at another server when no reply comes.
            self.calls.insert(id, call);
            self.schedule(now + Duration::from_millis(500), FleetEvent::GiveUp { request: id });
            return;
        }
        let began = if call.steps == 0 { call.arrived } else { call.last_event };
        let (kind, waited) = (call.kind(), now - began);
        let in_time = kind.objective.saturating_sub(waited);
        let left = kind.deadline.saturating_sub(waited);
        let is_last = call.asked.len() >= TRIES;
        let patience = if call.is_long && is_last {
            in_time.max(kind.objective.min(left / 2))
        } else {
            in_time
        };
        let is_home = engine % 45 == (call.part as usize * 37 % ENGINES) % 45;
        let computed = if is_home { kind.own } else { kind.own + kind.shared };
        let reading =
            ReadingDemand { urgency: kind.urgency, computed, objective: kind.objective, in_time };
        let demand = LeaseDemand { patience, memory: call.memory(), reading: Some(reading) };
        let holder = self.entry_names[entry].clone();
        self.calls.insert(id, call);
        let name = &self.names[engine];
        let decision = self.tables[arbiter].request(now, name, id, &holder, demand);
        let displaced = self.tables[arbiter].take_displaced();
        match decision {
            LeaseDecision::Granted => {
                let load = self.tables[arbiter].load(now, name).unwrap();
                self.loads[entry].insert(engine, (load, now));
                self.send(now, id);
            }
            LeaseDecision::Waiting => {
                self.schedule(now + patience, FleetEvent::GiveUp { request: id });
            }
            LeaseDecision::Refused(refusal) => {
                let load = match refusal {
                    LeaseRefusal::Busy { load, .. } => load,
                    _ => LeasedLoad { tokens_ahead: u32::MAX / 2, ..LeasedLoad::default() },
                };
                self.loads[entry].insert(engine, (load, now));
                self.ask_next(now, id);
            }
        }
        for (lease, _) in displaced {
            self.ask_next(now, lease);
        }
    }

    fn used(&self, engine: &Engine, more: Option<&Call>) -> u64 {
        let calls = engine.running.iter().map(|id| &self.calls[id]).chain(more);
        let (mut own, mut parts) = (0, BTreeMap::new());
        for call in calls {
            let memory = call.memory();
            own += u64::from(memory.own_tokens);
            parts.extend(memory.parts);
        }
        own + parts.values().map(|tokens| u64::from(*tokens)).sum::<u64>()
    }

    /// Whether an engine reads nothing and more than half of it is not in use.
    fn is_free(&self, engine: &Engine) -> bool {
        !engine.is_down
            && engine.running.len() < SLOTS / 2
            && engine.running.iter().all(|id| self.calls[id].unread == 0)
            && self.used(engine, None) < MEMORY / 2
    }

    fn send(&mut self, now: Instant, id: LeaseId) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let engine = &self.engines[call.engine];
        if engine.is_down {
            self.end_lease(now, id);
            self.ask_next(now, id);
            return;
        }
        if !self.has_room(engine, &call) && engine.queue.len() < QUEUE_LENGTH {
            self.count(&call, |outcomes| outcomes.queued += 1);
            self.engines[call.engine].queue.push_back(id);
            self.calls.get_mut(&id).unwrap().is_sent = true;
            return;
        }
        if !self.has_room(engine, &call) {
            self.count(&call, |outcomes| outcomes.rejected += 1);
            let arbiter = self.arbiters[call.engine];
            self.tables[arbiter].reject(now, &self.names[call.engine], id);
            self.schedule(now + REJECTION_PAUSE, FleetEvent::Resume { engine: call.engine });
            self.ask_next(now, id);
            return;
        }
        self.start(now, id);
    }

    fn has_room(&self, engine: &Engine, call: &Call) -> bool {
        engine.running.len() < SLOTS && self.used(engine, Some(call)) <= MEMORY
    }

    /// Starts a request at its engine.
    fn start(&mut self, now: Instant, id: LeaseId) {
        let call = self.calls[&id].clone();
        let engine = &self.engines[call.engine];
        let is_cached = engine.cached.contains(&call.part);
        let kind = call.kind();
        let known = self.calls.get_mut(&id).unwrap();
        known.is_sent = true;
        known.is_read = false;
        known.unread = if is_cached { kind.own } else { kind.own + kind.shared };
        let engine = &mut self.engines[call.engine];
        engine.running.push(id);
        if !engine.is_stepping {
            engine.is_stepping = true;
            let event = FleetEvent::Step { engine: call.engine, starts: engine.starts };
            self.schedule(now, event);
        }
    }

    /// One step of an engine: it reads a piece of the most urgent prompt, and each request that is read gets
    /// a token at the end.
    fn step(&mut self, now: Instant, number: usize, starts: u32) {
        let engine = &mut self.engines[number];
        if engine.starts != starts {
            return;
        }
        if engine.running.is_empty() {
            engine.is_stepping = false;
            return;
        }
        let running = engine.running.clone();
        let unread = running.iter().filter(|id| self.calls[id].unread > 0);
        let first = unread.min_by_key(|id| self.calls[id].kind().urgency).copied();
        let mut length = STEP + STEP_A_REQUEST * running.len() as u32;
        if let Some(id) = first {
            let call = self.calls.get_mut(&id).unwrap();
            let piece = call.unread.min(PIECE_TOKENS);
            call.unread -= piece;
            length += seconds(f64::from(piece) / READ_RATES[number % 3] / 1_000.0);
            if call.unread == 0 {
                let cached = &mut self.engines[number].cached;
                cached.retain(|part| *part != call.part);
                cached.push(call.part);
                let is_same = |part: &&u64| *part % 2 == call.part % 2;
                if cached.iter().filter(is_same).count() > CACHED_PARTS[usize::from(call.is_long)] {
                    let oldest = cached.iter().position(|part| *part % 2 == call.part % 2);
                    cached.remove(oldest.unwrap());
                }
            }
        }
        let end = now + length;
        for id in running {
            if self.calls[&id].unread == 0 {
                self.generate(end, id);
            }
        }
        self.schedule(end, FleetEvent::Step { engine: number, starts });
    }

    fn generate(&mut self, now: Instant, id: LeaseId) {
        let call = self.calls.get_mut(&id).unwrap();
        call.steps += 1;
        if !call.steps.is_multiple_of(STEPS_AN_EVENT) {
            return;
        }
        let kind = call.kind();
        if call.steps == STEPS_AN_EVENT || !call.is_read {
            call.is_read = true;
            let began = if call.steps == STEPS_AN_EVENT { call.arrived } else { call.last_event };
            call.is_late |= now - began > kind.objective;
            let expired = call.steps == STEPS_AN_EVENT && now >= call.arrived + kind.deadline;
            let (engine, call) = (call.engine, call.clone());
            if expired {
                self.count(&call, |outcomes| outcomes.expired += 1);
                self.finish(now, id);
                return;
            }
            let report = LeaseReport { is_read: true, ..LeaseReport::default() };
            let arbiter = self.arbiters[engine];
            if self.is_leased && self.reaches(call.entry, arbiter) {
                let granted = self.tables[arbiter].record(now, &self.names[engine], id, &report);
                self.send_granted(now, granted);
            }
        } else {
            call.is_late |= now - call.last_event > kind.pause;
        }
        let call = self.calls.get_mut(&id).unwrap();
        call.last_event = now;
        if call.steps >= kind.events * STEPS_AN_EVENT {
            let call = call.clone();
            self.count(&call, |outcomes| match call.is_late {
                true => outcomes.late += 1,
                false => outcomes.in_time += 1,
            });
            self.finish(now, id);
        }
    }

    fn finish(&mut self, now: Instant, id: LeaseId) {
        let engine = self.calls[&id].engine;
        self.engines[engine].running.retain(|running| *running != id);
        self.end_lease(now, id);
        self.calls.remove(&id);
        while let Some(next) = self.engines[engine].queue.front().copied() {
            let call = self.calls[&next].clone();
            if now >= call.arrived + call.kind().deadline {
                self.engines[engine].queue.pop_front();
                self.count(&call, |outcomes| outcomes.expired += 1);
                self.end_lease(now, next);
                self.calls.remove(&next);
            } else if self.has_room(&self.engines[engine], &call) {
                self.engines[engine].queue.pop_front();
                self.start(now, next);
            } else {
                break;
            }
        }
    }

    fn reaches(&self, entry: usize, arbiter: usize) -> bool {
        entry == arbiter || !(self.silent.contains(&entry) || self.silent.contains(&arbiter))
    }

    fn end_lease(&mut self, now: Instant, id: LeaseId) {
        let (engine, entry) = (self.calls[&id].engine, self.calls[&id].entry);
        let arbiter = self.arbiters[engine];
        if self.is_leased && self.reaches(entry, arbiter) {
            let granted = self.tables[arbiter].end(now, &self.names[engine], id);
            self.send_granted(now, granted);
        }
    }

    fn send_granted(&mut self, now: Instant, granted: Vec<LeaseId>) {
        for id in granted {
            if self.calls.get(&id).is_some_and(|call| !call.is_sent) {
                self.send(now, id);
            }
        }
    }

    /// A third of the engines crash, lose their caches and requests, of which short ones are resumed, and return
    /// after a second.
    fn crash_third(&mut self, now: Instant) {
        let third = self.below(3);
        for number in (0..ENGINES).filter(|number| number / 3 % 3 == third) {
            let engine = &mut self.engines[number];
            let mut lost = std::mem::take(&mut engine.running);
            lost.extend(std::mem::take(&mut engine.queue));
            engine.cached.clear();
            engine.is_down = true;
            engine.is_stepping = false;
            engine.starts += 1;
            self.schedule(now + seconds(1.0), FleetEvent::Return { engine: number });
            for id in lost {
                self.end_lease(now, id);
                let Some(call) = self.calls.get_mut(&id) else { continue };
                call.asked.clear();
                if call.is_long {
                    let call = self.calls.remove(&id).unwrap();
                    self.count(&call, |outcomes| outcomes.crashed += 1);
                } else {
                    self.ask_next(now, id);
                }
            }
        }
    }

    fn print(&self, name: &str) {
        println!("{name}: {:?}", self.total);
        println!("  short {:?}", self.kinds[0]);
        println!("  long {:?}", self.kinds[1]);
        let parts = self
            .spans
            .iter()
            .map(|span| format!("{:.2}", f64::from(span.in_time) / f64::from(span.asked.max(1))));
        println!("  in time by half second: {}", parts.collect::<Vec<_>>().join(" "));
    }
}

/// Guards against a fleet that sends into full engines for seconds, and lets requests wait there until their
/// deadline.
#[test]
fn burst_of_long_prompts_is_bounded() {
    let mut blind = SharedFleet::new(21, EntryFailure::None, false);
    blind.run();
    blind.print("without leases");
    assert!(blind.total.queued * 50 > blind.total.asked, "the load is more than the engines hold");
    let mut fleet = SharedFleet::new(21, EntryFailure::None, true);
    fleet.run();
    fleet.print("leased");
    let total = &fleet.total;
    assert!(total.rejected * 50 < total.asked, "{total:?}");
    assert!(total.queued * 50 < total.asked, "{total:?}");
    assert!(total.expired * 100 < total.asked, "{total:?}");
    assert!(total.refused_beside_free * 100 < total.asked, "{total:?}");
    let short = &fleet.kinds[0];
    assert!(short.late * 20 < short.asked, "{short:?}");
    let after = &fleet.spans[24..26];
    let (in_time, asked) = after
        .iter()
        .fold((0, 0), |(in_time, asked), span| (in_time + span.in_time, asked + span.asked));
    assert!(in_time * 2 >= asked, "two seconds after the burst: {in_time} of {asked}");
    let parts = fleet.organisations.iter().map(|outcomes| {
        f64::from(outcomes.in_time + outcomes.late) / f64::from(outcomes.asked.max(1))
    });
    let mut parts: Vec<f64> = parts.collect();
    parts.sort_by(f64::total_cmp);
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    let worst = parts[..ORGANISATIONS / 10].iter().sum::<f64>() / (ORGANISATIONS / 10) as f64;
    assert!(worst >= mean / 2.0, "{worst:.3} of {mean:.3}");
}

/// Runs a fleet in which entries fail; returns the part of the requests that are answered, by those with all
/// entries.
fn compare(failure: EntryFailure) -> (f64, Outcomes) {
    let mut sound = SharedFleet::new(22, EntryFailure::None, true);
    sound.run();
    let mut fleet = SharedFleet::new(22, failure, true);
    fleet.run();
    fleet.print(&format!("{failure:?}"));
    let part = |outcomes: &Outcomes| f64::from(outcomes.in_time) / f64::from(outcomes.asked);
    (part(&fleet.total) / part(&sound.total), fleet.total)
}

/// Guards against engines that are overrun, or left, while their arbiters are gone and others take over.
#[test]
fn killed_arbiters_are_replaced() {
    let (part, total) = compare(EntryFailure::Killed);
    assert!(total.rejected * 50 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.8, "{part:.3}");
}

/// Guards against requests that wait for arbiters which stand still.
#[test]
fn frozen_arbiters_are_left_alone() {
    let (part, total) = compare(EntryFailure::Frozen);
    assert!(total.expired * 100 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.9, "{part:.3}");
}

/// Guards against engines that are overrun after a part of the entries was cut off from their arbiters.
#[test]
fn cut_off_entries_return() {
    let (part, total) = compare(EntryFailure::CutOff);
    assert!(total.expired * 100 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.6, "{part:.3}");
}

/// Guards against slots that are leased twice by entries that start in turn.
#[test]
fn restarted_arbiters_settle() {
    let (part, total) = compare(EntryFailure::Restarted);
    assert!(total.rejected * 50 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.8, "{part:.3}");
}

/// Guards against entries that use up their tries at engines which the list still has.
#[test]
fn lagging_lists_cost_little() {
    let (part, total) = compare(EntryFailure::LaggingList);
    assert!(total.expired * 100 < total.asked, "{total:?}");
    assert!(part >= 0.9, "{part:.3}");
}
