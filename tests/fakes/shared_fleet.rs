//! Entries that lease slots at engines which share their machines, in virtual time.

#![allow(clippy::unwrap_used)]

#[path = "shared_fleet/engines.rs"]
mod engines;
#[path = "shared_fleet/entry_failures.rs"]
mod entry_failures;

use {
    oleandermount::{
        ids::{LeaseId, ServerId, VmId},
        policy::slot_leases::{
            LeaseDecision, LeaseDemand, LeaseRefusal, LeasedLoad, MemoryDemand, ReadingDemand,
            SlotTable,
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
const MEMORY: u64 = 111_050;
/// Prompt tokens that engines of the three speeds read in a millisecond.
const READ_RATES: [f64; 3] = [34.0, 56.0, 90.0];
const STEPS_AN_EVENT: u32 = 6;
const PARTS: usize = 400;
pub const ORGANISATIONS: usize = 60;
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
pub enum EntryFailure {
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

    /// What it asks the arbiter of its engine for.
    fn demand(&self, now: Instant) -> LeaseDemand {
        let began = if self.steps == 0 { self.arrived } else { self.last_event };
        let (kind, waited) = (self.kind(), now - began);
        let in_time = kind.objective.saturating_sub(waited);
        let left = kind.deadline.saturating_sub(waited);
        let is_last = self.asked.len() >= TRIES;
        let patience = if self.is_long && is_last {
            in_time.max(kind.objective.min(left / 2))
        } else {
            in_time
        };
        let is_home = self.engine % 45 == (self.part as usize * 37 % ENGINES) % 45;
        let computed = if is_home { kind.own } else { kind.own + kind.shared };
        let reading =
            ReadingDemand { urgency: kind.urgency, computed, objective: kind.objective, in_time };
        LeaseDemand { patience, memory: self.memory(), reading: Some(reading) }
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
pub struct Outcomes {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    refused: u32,
    pub refused_beside_free: u32,
    pub rejected: u32,
    /// Waited inside an engine.
    pub queued: u32,
    pub expired: u32,
    crashed: u32,
}

pub struct SharedFleet {
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
    pub total: Outcomes,
    /// By half second of arrival, by class, and by organisation.
    pub spans: Vec<Outcomes>,
    pub kinds: [Outcomes; 2],
    pub organisations: Vec<Outcomes>,
    /// Whether entries ask arbiters at all.
    is_leased: bool,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl SharedFleet {
    pub fn new(seed: u64, failure: EntryFailure, is_leased: bool) -> Self {
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

    pub fn run(&mut self) {
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
        let demand = call.demand(now);
        let patience = demand.patience;
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

    pub fn print(&self, name: &str) {
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
