//! The sum of what an organisation uses over all entries, in virtual time, with and without contact.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        ids::VmId,
        policy::usage_limits::{
            ShareGrant, ShareReport, UsageArbiter, UsageDecision, UsageHolder, UsageLimit,
            UsageReply, UsageRequest, UsageUnit, choose_usage_arbiter,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

const WINDOW: f64 = 8.0;
/// Arbiters know after this time that none of their predecessors' shares is left.
const WARM_UP: f64 = 9.0;
const REPLY_LIMIT: f64 = 0.25;
/// The control VMs take an entry off their list after this silence.
const REMOVAL: f64 = 6.0;
const TICK: f64 = 0.025;
const FETCH: f64 = 0.5;

#[derive(Clone, Debug)]
enum Call {
    Acquire(UsageRequest),
    Renew(Vec<ShareReport>),
}

#[derive(Clone, Debug)]
enum Answer {
    Acquired(UsageReply),
    Renewed(Vec<ShareGrant>),
}

#[derive(Clone, Debug)]
enum FleetEvent {
    Arrive,
    Tick,
    Fetch,
    Call { from: usize, id: u64, call: Call },
    Answer { id: u64, answer: Answer },
    Timeout { id: u64 },
    Return { units: Vec<(String, f64)> },
}

/// What befalls the fleet, at a time in seconds.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize, f64),
    /// The first third of the entries, without the control VMs, and its end.
    Cut,
    Heal,
    /// One entry is cut off from all.
    Isolate(usize),
    /// The rate becomes this multiple of the first.
    Cap(f64),
}

struct PendingCall {
    to: usize,
    sent: Instant,
    call: Call,
    tries: usize,
}

struct Entry {
    holder: UsageHolder,
    arbiter: UsageArbiter,
    pending: BTreeMap<u64, PendingCall>,
    frozen: f64,
    generation: u64,
}

/// Entries, control VMs and callers of one organisation.
struct CapFleet {
    began: Instant,
    now: f64,
    organisation: String,
    names: Vec<VmId>,
    entries: Vec<Entry>,
    queue: BTreeMap<(u64, u64), (usize, u64, FleetEvent)>,
    next: u64,
    random: Xoshiro256PlusPlus,
    cap: UsageLimit,
    factor: f64,
    /// What is asked for, as a multiple of the first cap, and the part of it that comes to entry 0.
    load: f64,
    skew: f64,
    /// Callers send nothing after this time.
    closes: f64,
    is_cut: bool,
    isolated: Option<usize>,
    loss: f64,
    lag: f64,
    lists: VecDeque<(f64, BTreeSet<VmId>)>,
    fetched: Vec<f64>,
    /// Times and units of what ran, and the entry.
    used: Vec<(f64, f64, usize)>,
    refused: Vec<f64>,
    /// One bucket of the cap that all callers reach: its units and their time, what it has granted, and
    /// how many it has refused.
    ideal: (f64, f64),
    ideal_used: f64,
    ideal_refused: usize,
}

impl CapFleet {
    fn new(entries: usize, each: f64, unit: UsageUnit, load: f64, seed: u64) -> Self {
        let names: Vec<VmId> = (0..entries).map(|entry| format!("vm-{entry}")).collect();
        let size = if unit == UsageUnit::Tokens { 10_600.0 } else { 1.0 };
        let rate = each * entries as f64 * size;
        let made = |name: &VmId| Entry {
            holder: UsageHolder::default(),
            arbiter: UsageArbiter::new(name.clone()),
            pending: BTreeMap::new(),
            frozen: 0.0,
            generation: 0,
        };
        let mut fleet = CapFleet {
            began: Instant::now(),
            organisation: "florists".to_owned(),
            now: 0.0,
            entries: names.iter().map(made).collect(),
            queue: BTreeMap::new(),
            next: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            cap: UsageLimit { rate, burst: rate, unit, plain_tokens: 0 },
            factor: 1.0,
            load,
            skew: 0.0,
            closes: f64::INFINITY,
            is_cut: false,
            isolated: None,
            loss: 0.0,
            lag: 0.0,
            lists: [(0.0, names.iter().cloned().collect())].into(),
            fetched: vec![0.0; entries],
            used: Vec::new(),
            refused: Vec::new(),
            ideal: (rate, WARM_UP),
            ideal_used: 0.0,
            ideal_refused: 0,
            names,
        };
        for entry in 0..entries {
            fleet.start(entry);
            let at = WARM_UP + fleet.unit() * 0.1;
            fleet.schedule(at, entry, FleetEvent::Arrive);
        }
        fleet
    }

    fn unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn at(&self, time: f64) -> Instant {
        self.began + Duration::from_secs_f64(time)
    }

    fn schedule(&mut self, at: f64, entry: usize, event: FleetEvent) {
        self.next += 1;
        let generation = self.entries[entry].generation;
        self.queue.insert(((at * 1e9) as u64, self.next), (entry, generation, event));
    }

    fn start(&mut self, entry: usize) {
        let phase = self.unit() * TICK;
        self.fetch(entry);
        self.schedule(self.now + phase, entry, FleetEvent::Tick);
        self.schedule(self.now + phase * 20.0, entry, FleetEvent::Fetch);
    }

    fn arbiter(&self) -> usize {
        let chosen = choose_usage_arbiter(&self.organisation, &self.names).unwrap();
        self.names.iter().position(|name| name == chosen).unwrap()
    }

    /// Names the organisation so that its arbiter is in the first third of the entries, or is not.
    fn place_arbiter(&mut self, in_first: bool) {
        let third = self.names.len() / 3;
        let mut next = 0;
        while (self.arbiter() < third) != in_first {
            next += 1;
            self.organisation = format!("florists-{next}");
        }
    }

    fn in_touch(&self, from: usize, to: usize) -> bool {
        let third = self.names.len() / 3;
        from == to
            || !(self.is_cut && (from < third) != (to < third)
                || self.isolated.is_some_and(|entry| entry == from || entry == to))
    }

    /// The entry gets a list and the caps of the control VMs, which are not in the first third.
    fn fetch(&mut self, entry: usize) {
        let is_away = self.is_cut && entry < self.names.len() / 3;
        if is_away || self.isolated == Some(entry) {
            return;
        }
        self.fetched[entry] = self.now;
        let present = |entry: &usize| self.now < self.fetched[*entry] + REMOVAL;
        let list = (0..self.names.len()).filter(present).map(|entry| self.names[entry].clone());
        let list: BTreeSet<VmId> = list.collect();
        if self.lists.back().unwrap().1 != list {
            self.lists.push_back((self.now, list));
        }
        let known_at = self.now - self.lag * (entry % 4) as f64 / 3.0;
        let known = self.lists.iter().rev().find(|(since, _)| *since <= known_at);
        let list = known.unwrap_or(&self.lists[0]).1.clone();
        let cap = UsageLimit {
            rate: self.cap.rate * self.factor,
            burst: self.cap.burst * self.factor,
            ..self.cap
        };
        let caps = BTreeMap::from([(self.organisation.clone(), cap)]);
        let (now, entries) = (self.at(self.now), self.names.len());
        let Entry { holder, arbiter, .. } = &mut self.entries[entry];
        if list.contains(&self.names[entry]) {
            arbiter.confirm(now);
        }
        arbiter.configure(now, caps.clone(), list.clone());
        holder.configure(now, caps, list, entries);
    }

    fn send(&mut self, from: usize, to: usize, event: FleetEvent) {
        if !self.in_touch(from, to) || self.unit() < self.loss {
            return;
        }
        let delay = if from == to { 0.0 } else { 0.001 + self.unit() * 0.007 };
        self.schedule(self.now + delay, to, event);
    }

    fn call(&mut self, from: usize, to: &VmId, call: Call, tries: usize) {
        let to = self.names.iter().position(|name| name == to).unwrap();
        self.next += 1;
        let id = self.next;
        let sent = self.at(self.now);
        let pending = PendingCall { to, sent, call: call.clone(), tries };
        self.entries[from].pending.insert(id, pending);
        self.send(from, to, FleetEvent::Call { from, id, call });
        self.schedule(self.now + REPLY_LIMIT, from, FleetEvent::Timeout { id });
    }

    fn decide(&mut self, entry: usize, cost: f64, decision: UsageDecision, tries: usize) {
        match decision {
            UsageDecision::Granted => self.used.push((self.now, cost, entry)),
            UsageDecision::Ask { arbiter, request } if tries < 3 => {
                self.call(entry, &arbiter, Call::Acquire(request), tries + 1);
            }
            UsageDecision::Ask { .. } => self.refused.push(self.now),
            UsageDecision::Refused { retry_after } => {
                assert!(retry_after <= Duration::from_secs(30));
                self.refused.push(self.now);
            }
            UsageDecision::Unlimited => panic!("the organisation has a cap"),
        }
    }

    fn arrive(&mut self, entry: usize) {
        let is_tokens = self.cap.unit == UsageUnit::Tokens;
        let cost = if is_tokens { 800.0 + 39_200.0 * self.unit().powi(3) } else { 1.0 };
        let mean = if is_tokens { 10_600.0 } else { 1.0 };
        let (balance, since) = self.ideal;
        let balance = (balance + (self.now - since) * self.cap.rate).min(self.cap.burst);
        let is_refused = balance < cost;
        self.ideal_refused += usize::from(is_refused);
        self.ideal_used += if is_refused { 0.0 } else { cost };
        self.ideal = (if is_refused { balance } else { balance - cost }, self.now);
        let now = self.at(self.now);
        let decision = self.entries[entry].holder.decide(now, &self.organisation, cost);
        self.decide(entry, cost, decision, 0);
        let others = (self.names.len() - 1) as f64;
        let even = 1.0 / self.names.len() as f64;
        let part = match (self.skew > 0.0, entry) {
            (false, _) => even,
            (true, 0) => self.skew,
            (true, _) => (1.0 - self.skew) / others,
        };
        let gap = -(1.0 - self.unit()).ln() * mean / (self.load * self.cap.rate * part);
        if self.now + gap < self.closes {
            self.schedule(self.now + gap, entry, FleetEvent::Arrive);
        }
    }

    fn tick(&mut self, entry: usize) {
        let now = self.at(self.now);
        for (to, reports) in self.entries[entry].holder.due(now) {
            self.call(entry, &to, Call::Renew(reports), 0);
        }
        for (to, units) in self.entries[entry].holder.returns(now) {
            let to = self.names.iter().position(|name| *name == to).unwrap();
            self.send(entry, to, FleetEvent::Return { units });
        }
        self.schedule(self.now + TICK, entry, FleetEvent::Tick);
    }

    fn answer(&mut self, entry: usize, from: usize, id: u64, call: Call) {
        let (now, chance) = (self.at(self.now), self.unit());
        let (arbiter, holder) = (&mut self.entries[entry].arbiter, &self.names[from]);
        let answer = match call {
            Call::Acquire(request) => {
                Answer::Acquired(arbiter.acquire(now, holder, &request, chance))
            }
            Call::Renew(reports) => Answer::Renewed(arbiter.renew(now, holder, reports)),
        };
        self.send(entry, from, FleetEvent::Answer { id, answer });
    }

    fn answered(&mut self, entry: usize, id: u64, answer: Answer) {
        let now = self.at(self.now);
        let Some(pending) = self.entries[entry].pending.remove(&id) else { return };
        let (holder, arbiter) = (&mut self.entries[entry].holder, &self.names[pending.to]);
        match (pending.call, answer) {
            (Call::Acquire(request), Answer::Acquired(reply)) => {
                let decision = holder.record_reply(now, arbiter, &request, pending.sent, reply);
                self.decide(entry, request.cost, decision, pending.tries);
            }
            (_, Answer::Renewed(grants)) => {
                holder.record_renewal(now, arbiter, pending.sent, grants);
            }
            (Call::Renew(_), Answer::Acquired(_)) => panic!("mismatched answer"),
        }
    }

    fn time_out(&mut self, entry: usize, id: u64) {
        let Some(pending) = self.entries[entry].pending.remove(&id) else { return };
        let (now, arbiter) = (self.at(self.now), &self.names[pending.to]);
        let Call::Acquire(request) = pending.call else {
            return self.entries[entry].holder.record_silence(now, arbiter);
        };
        let decision = self.entries[entry].holder.record_failure(now, arbiter, &request);
        self.decide(entry, request.cost, decision, pending.tries);
    }

    fn befall(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(entry) => {
                let generation = self.entries[entry].generation + 1;
                let (holder, arbiter) =
                    (UsageHolder::default(), UsageArbiter::new(self.names[entry].clone()));
                let pending = BTreeMap::new();
                let frozen = self.entries[entry].frozen;
                self.entries[entry] = Entry { holder, arbiter, pending, frozen, generation };
                self.start(entry);
                self.schedule(self.now, entry, FleetEvent::Arrive);
            }
            Fault::Freeze(entry, length) => self.entries[entry].frozen = self.now + length,
            Fault::Cut => self.is_cut = true,
            Fault::Heal => (self.is_cut, self.isolated) = (false, None),
            Fault::Isolate(entry) => self.isolated = Some(entry),
            Fault::Cap(factor) => self.factor = factor,
        }
    }

    fn run(&mut self, until: f64, faults: impl IntoIterator<Item = (f64, Fault)>) {
        let mut faults: VecDeque<(f64, Fault)> = faults.into_iter().collect();
        while let Some((key, (entry, generation, event))) = self.queue.pop_first() {
            let at = key.0 as f64 / 1e9;
            while let Some((due, fault)) = faults.front().copied().filter(|(due, _)| *due <= at) {
                faults.pop_front();
                self.now = due;
                self.befall(fault);
            }
            if at >= until {
                break;
            }
            self.now = at;
            let known = &self.entries[entry];
            if known.generation != generation && !matches!(event, FleetEvent::Call { .. }) {
                continue;
            }
            if at < known.frozen {
                // A frozen entry finds everything when it wakes.
                let frozen = known.frozen;
                self.schedule(frozen, entry, event);
                continue;
            }
            match event {
                FleetEvent::Arrive => self.arrive(entry),
                FleetEvent::Tick => self.tick(entry),
                FleetEvent::Fetch => {
                    self.fetch(entry);
                    self.schedule(self.now + FETCH, entry, FleetEvent::Fetch);
                }
                FleetEvent::Call { from, id, call } => self.answer(entry, from, id, call),
                FleetEvent::Answer { id, answer } => self.answered(entry, id, answer),
                FleetEvent::Timeout { id } => self.time_out(entry, id),
                FleetEvent::Return { units } => {
                    let now = self.at(self.now);
                    self.entries[entry].arbiter.give_back(now, units);
                }
            }
        }
        self.now = until;
    }

    /// The largest request.
    fn largest(&self) -> f64 {
        if self.cap.unit == UsageUnit::Tokens { 40_000.0 } else { 1.0 }
    }

    /// The highest part of what a window may hold that any window holds.
    fn highest(&self, from: f64, to: f64, factor: f64) -> f64 {
        let (rate, burst) = (self.cap.rate * factor, self.cap.burst * factor);
        // The slack is the rate of a second. One request may be more than that.
        let allowed = (rate * WINDOW + burst) * 1.1 + rate.max(self.largest());
        let (mut sum, mut first, mut highest) = (0.0, 0, 0.0_f64);
        let used: Vec<_> = self.used.iter().filter(|used| used.0 >= from && used.0 < to).collect();
        for (at, units, _) in &used {
            sum += units;
            while used[first].0 <= at - WINDOW {
                sum -= used[first].1;
                first += 1;
            }
            highest = highest.max(sum / allowed);
        }
        highest
    }

    /// What some entries used, as a part of the first cap.
    fn use_of(&self, from: f64, to: f64, entries: std::ops::Range<usize>) -> f64 {
        let used = self.used.iter().filter(|used| used.0 >= from && used.0 < to);
        let used = used.filter(|used| entries.contains(&used.2)).map(|used| used.1);
        used.sum::<f64>() / (self.cap.rate * (to - from))
    }
}

const SIZES: [usize; 3] = [6, 67, 295];
const KINDS: [UsageUnit; 2] = [UsageUnit::Requests, UsageUnit::Tokens];

/// Runs fleets of all sizes, by requests and by tokens, at a rate of `each` requests a second an entry.
fn all_fleets(each: f64, load: f64, check: impl Fn(CapFleet)) {
    for entries in SIZES {
        for unit in KINDS {
            check(CapFleet::new(entries, each, unit, load, 7 + entries as u64));
        }
    }
}

fn check_overload(mut fleet: CapFleet, length: f64) {
    let until = WARM_UP + length;
    fleet.run(until, []);
    let entries = fleet.names.len();
    let (highest, used) =
        (fleet.highest(0.0, until, 1.0), fleet.use_of(WARM_UP + 1.0, until, 0..entries));
    println!("{entries} {:?}: highest {highest:.3}, used {used:.3}", fleet.cap.unit);
    assert!(highest <= 1.0, "{entries} entries used {highest}");
    assert!(used >= 0.95, "{entries} entries used only {used}");
}

#[test]
fn rare_overload() {
    all_fleets(0.5, 3.0, |fleet| check_overload(fleet, 16.0));
}

#[test]
fn frequent_overload() {
    all_fleets(100.0, 3.0, |fleet| {
        let length = if fleet.names.len() > 100 { 3.0 } else { 9.0 };
        check_overload(fleet, length);
    });
}

fn check_within(mut fleet: CapFleet, length: f64) {
    let until = WARM_UP + length;
    // The last requests have their replies before the end.
    fleet.closes = until - 2.0 * REPLY_LIMIT;
    fleet.run(until, []);
    let (entries, refused) = (fleet.names.len(), fleet.refused.len());
    let highest = fleet.highest(0.0, until, 1.0);
    println!(
        "{entries} {:?}: highest {highest:.3}, refused {refused}, by one bucket {}, of {}",
        fleet.cap.unit,
        fleet.ideal_refused,
        fleet.used.len()
    );
    assert!(highest <= 1.0);
    let (used, ideal) =
        (fleet.use_of(0.0, until, 0..entries), fleet.ideal_used / (fleet.cap.rate * until));
    // Where nothing is refused, all is used that was asked for.
    let is_needless = refused > 0 && (fleet.ideal_refused == 0 || used < ideal);
    assert!(!is_needless, "{entries} entries refused {refused}, used {used}, one bucket {ideal}");
}

#[test]
fn rare_within() {
    all_fleets(0.5, 0.9, |fleet| check_within(fleet, 30.0));
}

#[test]
fn frequent_within() {
    all_fleets(100.0, 0.9, |fleet| {
        let length = if fleet.names.len() > 100 { 3.0 } else { 9.0 };
        check_within(fleet, length);
    });
}

/// Runs a fleet through faults that begin at 20 s and checks the bound of all windows.
fn check_faults(fleet: &mut CapFleet, until: f64, faults: impl IntoIterator<Item = (f64, Fault)>) {
    fleet.run(until, faults);
    let highest = fleet.highest(0.0, until, 1.0);
    let entries = fleet.names.len();
    let by_time: Vec<String> = (WARM_UP as usize + 1..until as usize)
        .map(|at| format!("{:.2}", fleet.use_of(at as f64, at as f64 + 1.0, 0..entries)))
        .collect();
    println!("{entries} {:?}: highest {highest:.3}, {}", fleet.cap.unit, by_time.join(" "));
    assert!(highest <= 1.0, "{entries} entries used {highest}");
}

/// Fleets with an arbiter in the first third of the entries or outside, by requests and by tokens.
fn fault_fleets(check: impl Fn(CapFleet)) {
    use UsageUnit::{Requests, Tokens};
    for (entries, each, unit, in_first) in [
        (6, 5.0, Tokens, false),
        (6, 0.5, Requests, true),
        (67, 0.5, Tokens, true),
        (67, 3.0, Requests, false),
        (295, 0.3, Tokens, true),
    ] {
        let mut fleet = CapFleet::new(entries, each, unit, 2.0, 11 + entries as u64);
        fleet.place_arbiter(in_first);
        check(fleet);
    }
}

/// The arbiter's process ends and another one starts on its VM at once, or much later.
#[test]
fn killed_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Kill(arbiter)), (24.0, Fault::Kill(arbiter))];
        check_faults(&mut fleet, 40.0, faults);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 40.0, 0..entries) > 0.7);
    });
}

/// The arbiter's VM freezes for longer than the control VMs wait, and wakes with all that waits for it.
#[test]
fn frozen_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        check_faults(&mut fleet, 48.0, [(20.0, Fault::Freeze(arbiter, 12.0))]);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 48.0, 0..entries) > 0.7);
    });
}

/// The arbiter alone reaches nobody, but has callers.
#[test]
fn isolated_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Isolate(arbiter)), (38.0, Fault::Heal)];
        check_faults(&mut fleet, 48.0, faults);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 48.0, 0..entries) > 0.7);
    });
}

/// A failure domain is cut off and comes back, with and without the arbiter in it; it goes on being served.
#[test]
fn cut_domain() {
    fault_fleets(|mut fleet| {
        check_faults(&mut fleet, 48.0, [(20.0, Fault::Cut), (36.0, Fault::Heal)]);
        let (third, entries) = (fleet.names.len() / 3, fleet.names.len());
        let inside = fleet.use_of(21.0, 28.0, 0..third);
        let outside = fleet.use_of(21.0, 36.0, third..entries);
        let after = fleet.use_of(38.0, 48.0, 0..entries);
        println!("  inside {inside:.3}, outside {outside:.3}, after {after:.3}");
        assert!(inside > 0.2 && outside > 0.5 && after > 0.9);
    });
}

/// All entries stop and start in turn, so that arbiters and shares move all the time.
#[test]
fn rolling_restart() {
    fault_fleets(|mut fleet| {
        let entries = fleet.names.len();
        let step = 20.0 / entries as f64;
        let faults = (0..entries).map(|entry| (18.0 + step * entry as f64, Fault::Kill(entry)));
        check_faults(&mut fleet, 44.0, faults.collect::<Vec<_>>());
        assert!(fleet.use_of(18.0, 44.0, 0..entries) > 0.6);
    });
}

/// Nine tenths of the connections are at one entry, which is cut off with its domain.
#[test]
fn skewed_callers() {
    fault_fleets(|mut fleet| {
        fleet.skew = 0.9;
        check_faults(&mut fleet, 40.0, [(24.0, Fault::Cut), (30.0, Fault::Heal)]);
        let entries = fleet.names.len();
        assert!(fleet.use_of(WARM_UP + 1.0, 24.0, 0..entries) > 0.95);
        assert!(fleet.use_of(25.0, 30.0, 0..entries) > 0.5);
    });
}

/// The cap falls to a tenth and rises again; the lower one binds a window after all entries have it.
#[test]
fn changed_cap() {
    fault_fleets(|mut fleet| {
        check_faults(&mut fleet, 50.0, [(16.0, Fault::Cap(0.1)), (36.0, Fault::Cap(1.0))]);
        let entries = fleet.names.len();
        let low = fleet.highest(16.0 + FETCH, 36.0, 0.1);
        let used =
            (fleet.use_of(18.0, 36.0, 0..entries) * 10.0, fleet.use_of(38.0, 50.0, 0..entries));
        println!("  low {low:.3}, used {:.3} {:.3}", used.0, used.1);
        assert!(low <= 1.0 && used.0 > 0.9 && used.1 > 0.9);
    });
}

/// The lists of some entries lag while the arbiter is lost and comes back, so that two act at once.
#[test]
fn lagging_lists() {
    fault_fleets(|mut fleet| {
        fleet.lag = 3.0;
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Isolate(arbiter)), (28.0, Fault::Heal)];
        check_faults(&mut fleet, 48.0, faults);
    });
}

/// One message in twenty is lost.
#[test]
fn lost_replies() {
    fault_fleets(|mut fleet| {
        fleet.loss = 0.05;
        check_faults(&mut fleet, 30.0, []);
        let entries = fleet.names.len();
        assert!(fleet.use_of(WARM_UP + 1.0, 30.0, 0..entries) > 0.8);
    });
}
