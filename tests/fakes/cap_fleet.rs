//! Entries that share the cap of one organisation, in virtual time, and the faults that befall them.

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
pub const WARM_UP: f64 = 9.0;
pub const REPLY_LIMIT: f64 = 0.25;
/// The control VMs take an entry off their list after this silence.
const REMOVAL: f64 = 6.0;
const TICK: f64 = 0.025;
pub const FETCH: f64 = 0.5;

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
pub enum Fault {
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
    pub arbiter: UsageArbiter,
    pending: BTreeMap<u64, PendingCall>,
    frozen: f64,
    generation: u64,
}

/// Entries, control VMs and callers of one organisation.
pub struct CapFleet {
    began: Instant,
    now: f64,
    organisation: String,
    pub names: Vec<VmId>,
    entries: Vec<Entry>,
    queue: BTreeMap<(u64, u64), (usize, u64, FleetEvent)>,
    next: u64,
    random: Xoshiro256PlusPlus,
    pub cap: UsageLimit,
    factor: f64,
    /// What is asked for, as a multiple of the first cap, and the part of it that comes to entry 0.
    load: f64,
    pub skew: f64,
    /// Callers send nothing after this time.
    pub closes: f64,
    is_cut: bool,
    isolated: Option<usize>,
    pub loss: f64,
    pub lag: f64,
    lists: VecDeque<(f64, BTreeSet<VmId>)>,
    fetched: Vec<f64>,
    /// Times and units of what ran, and the entry.
    pub used: Vec<(f64, f64, usize)>,
    pub refused: Vec<f64>,
    /// One bucket of the cap that all callers reach: its units and their time, what it has granted, and
    /// how many it has refused.
    ideal: (f64, f64),
    pub ideal_used: f64,
    pub ideal_refused: usize,
}

impl CapFleet {
    pub fn new(entries: usize, each: f64, unit: UsageUnit, load: f64, seed: u64) -> Self {
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

    pub fn arbiter(&self) -> usize {
        let chosen = choose_usage_arbiter(&self.organisation, &self.names).unwrap();
        self.names.iter().position(|name| name == chosen).unwrap()
    }

    /// Names the organisation so that its arbiter is in the first third of the entries, or is not.
    pub fn place_arbiter(&mut self, in_first: bool) {
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

    pub fn run(&mut self, until: f64, faults: impl IntoIterator<Item = (f64, Fault)>) {
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
    pub fn highest(&self, from: f64, to: f64, factor: f64) -> f64 {
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
    pub fn use_of(&self, from: f64, to: f64, entries: std::ops::Range<usize>) -> f64 {
        let used = self.used.iter().filter(|used| used.0 >= from && used.0 < to);
        let used = used.filter(|used| entries.contains(&used.2)).map(|used| used.1);
        used.sum::<f64>() / (self.cap.rate * (to - from))
    }
}
