//! Whom to serve next: weighted token counters over organisations and classes.
//!
//! Load pattern: one organisation floods the system, or sends long jobs among others' short ones.
//! Without it the queue serves in order of arrival, so who sends most gets most and everyone else
//! waits behind.
//!
//! Each organisation has a counter of the tokens it was served, divided by its weight (virtual token
//! counters, Sheng et al., "Fairness in Serving Large Language Models", OSDI '24). The waiting
//! organisation with the lowest counter goes first. Who was idle starts at the lowest counter of
//! those that wait, so idling saves nothing up. Counters are by organisation, so splitting over keys
//! gains nothing. Long jobs pay for their tokens and so let short ones pass, yet their counter
//! stands still while they wait, so they get their turn.
//!
//! Urgent classes go first, but a class that waits earns a part of what is served before it and
//! goes when that covers its next request: no class starves.

use {
    crate::{ids::OrganisationId, inventory::RequestClass},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// What one generated token costs beside one prompt token. A generated token holds one of 16 slots
/// for some 25 ms, in which an engine computes about 20 prompt tokens; batching makes it cheaper
/// where slots are free. (The paper takes 2, a price, not a cost.)
pub const OUTPUT_COST: u64 = 8;

/// The least cost of a request, so that a flood of tiny ones is not free.
pub const LEAST_COST: u64 = 64;

/// What a waiting class earns of the cost served before it: enough not to starve, little enough that
/// under overload the urgent class keeps its answers.
const CLASS_CREDIT: [f64; 3] = [1.0, 0.1, 0.04];

/// Organisations remembered while idle. Beyond it the lowest counters are forgotten, which loses
/// nothing: an idle one comes back at the lowest waiting counter or above.
const MAX_IDLE: usize = 4_096;

/// The time over which use is measured to tell who is over its share.
const USE_SPAN: Duration = Duration::from_secs(5);

/// How far over its fair part an organisation's use must be to count as over its share. A few
/// organisations are large: with eight of them, one with 30 in 100 of a steady load has 2.4 parts.
const OVER_SHARE: f64 = 3.0;

/// The part of all use below which an organisation is not counted among those that share.
const LEAST_ACTIVE: f64 = 0.005;

/// The pause between two counts, which look at each remembered organisation: a part of [`USE_SPAN`].
const COUNT_PAUSE: Duration = Duration::from_millis(500);

/// Fixed-point scale of counters, so that they order exactly and weights divide finely.
const SCALE: f64 = 1_024.0;

/// One waiting request, by its number in the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedWork {
    /// The request's number.
    pub number: u64,
    /// Its estimated cost in tokens.
    pub cost: u64,
}

#[derive(Debug)]
struct OrganisationQueue {
    /// Scaled tokens served divided by weight; never falls while anyone waits, save by the
    /// correction of an estimate.
    counter: u64,
    weight: f64,
    /// Waiting requests by class, in order of arrival.
    lanes: [VecDeque<QueuedWork>; 3],
    /// Sum of the waiting costs by class.
    backlog: [u64; 3],
    /// Decayed cost served and when it was counted.
    used: (f64, Option<Instant>),
}

impl OrganisationQueue {
    fn is_idle(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }
}

/// The queue before one group of servers.
#[derive(Debug, Default)]
pub struct FairQueue {
    organisations: BTreeMap<OrganisationId, OrganisationQueue>,
    /// For each class the organisations that wait in it, lowest counter first.
    turns: [BTreeSet<(u64, OrganisationId)>; 3],
    /// Organisations with nothing waiting, lowest counter first; at most [`MAX_IDLE`].
    idle: BTreeSet<(u64, OrganisationId)>,
    /// Cost that a waiting class has earned from more urgent ones.
    credit: [f64; 3],
    /// Waiting requests by class.
    waiting: [usize; 3],
    /// Waiting cost by class.
    backlog: [u64; 3],
    /// The lowest counter at the last dispatch; newcomers start here at least.
    floor: u64,
    /// Decayed cost served of all, and when it was counted.
    used: (f64, Option<Instant>),
    /// Sum of the weights of organisations that used something lately, and when it was counted.
    active_weight: f64,
    counted: Option<Instant>,
    /// Whether arrival order replaces counters (the safeguard is off).
    arrival_order: bool,
}

impl FairQueue {
    /// A queue that serves in order of arrival instead of by counters; for tests that show what
    /// happens without them.
    pub fn in_arrival_order() -> Self {
        FairQueue { arrival_order: true, ..FairQueue::default() }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests of a class that wait.
    pub fn waiting(&self, class: RequestClass) -> usize {
        self.waiting[class as usize]
    }

    /// Organisations that wait in `class` or a more urgent one.
    pub fn contenders(&self, class: RequestClass) -> usize {
        self.turns[..=class as usize].iter().map(BTreeSet::len).max().unwrap_or(0)
    }

    /// Waiting requests of one organisation.
    pub fn depth(&self, organisation: &str) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |queue| queue.lanes.iter().map(VecDeque::len).sum())
    }

    /// Adds a request; `front` puts one that was already sent before those that were not.
    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: f64,
        class: RequestClass,
        work: QueuedWork,
        place: QueuePlace,
    ) {
        let key = if self.arrival_order { OrganisationId::new() } else { organisation.clone() };
        let lane = class as usize;
        let floor = self.lowest().unwrap_or(self.floor).max(self.floor);
        let queue = self.organisations.entry(key.clone()).or_insert_with(|| OrganisationQueue {
            counter: floor,
            weight,
            lanes: Default::default(),
            backlog: [0; 3],
            used: (0.0, None),
        });
        queue.weight = weight;
        if queue.is_idle() {
            self.idle.remove(&(queue.counter, key.clone()));
            queue.counter = queue.counter.max(floor);
        }
        match place {
            QueuePlace::Back => queue.lanes[lane].push_back(work),
            QueuePlace::Front => queue.lanes[lane].push_front(work),
        }
        queue.backlog[lane] += work.cost;
        self.backlog[lane] += work.cost;
        self.waiting[lane] += 1;
        self.turns[lane].insert((queue.counter, key));
    }

    /// Takes a request out; true if it was waiting.
    pub fn remove(&mut self, organisation: &str, class: RequestClass, number: u64) -> bool {
        let key = if self.arrival_order { "" } else { organisation };
        let lane = class as usize;
        let Some(queue) = self.organisations.get_mut(key) else { return false };
        let found = queue.lanes[lane].iter().position(|work| work.number == number);
        let Some(work) = found.and_then(|position| queue.lanes[lane].remove(position)) else {
            return false;
        };
        queue.backlog[lane] -= work.cost;
        self.backlog[lane] -= work.cost;
        self.waiting[lane] -= 1;
        let (counter, empty, idle) = (queue.counter, queue.lanes[lane].is_empty(), queue.is_idle());
        if empty {
            self.turns[lane].remove(&(counter, key.to_owned()));
        }
        if self.waiting[lane] == 0 {
            self.credit[lane] = 0.0;
        }
        if idle {
            self.idle.insert((counter, key.to_owned()));
            self.forget_idle();
        }
        true
    }

    /// Charges an organisation for tokens served, and gives waiting classes their credit.
    pub fn charge(&mut self, organisation: &str, class: RequestClass, cost: i64) {
        if cost > 0 {
            for (lane, part) in CLASS_CREDIT.iter().enumerate().skip(class as usize + 1) {
                if self.waiting[lane] > 0 {
                    self.credit[lane] += cost as f64 * part;
                }
            }
        }
        self.floor = self.floor.max(self.lowest().unwrap_or(self.floor));
        let Some(queue) = self.organisations.get_mut(organisation) else { return };
        let before = queue.counter;
        let step = (cost.unsigned_abs() as f64 * SCALE / queue.weight) as u64;
        queue.counter =
            if cost >= 0 { before.saturating_add(step) } else { before.saturating_sub(step) };
        let after = queue.counter;
        let lists = self.turns.iter_mut().chain([&mut self.idle]);
        for list in lists {
            if list.remove(&(before, organisation.to_owned())) {
                list.insert((after, organisation.to_owned()));
            }
        }
    }

    /// Counts what an organisation uses, to tell who is over its share.
    pub fn note_use(&mut self, now: Instant, organisation: &str, cost: u64) {
        self.used = (decayed(self.used, now) + cost as f64, Some(now));
        if let Some(queue) = self.organisations.get_mut(organisation) {
            queue.used = (decayed(queue.used, now) + cost as f64, Some(now));
        }
    }

    /// Whether an organisation has lately used clearly more than its part of what all used.
    pub fn is_over_share(&self, now: Instant, organisation: &str) -> bool {
        if self.arrival_order {
            return false;
        }
        let Some(queue) = self.organisations.get(organisation) else { return false };
        let fair = queue.weight / self.active_weight.max(queue.weight);
        decayed(queue.used, now) > OVER_SHARE * fair * decayed(self.used, now)
    }

    /// Counts anew, now and then, the weights of the organisations that used anything lately.
    pub fn note_active(&mut self, now: Instant) {
        if self.counted.is_some_and(|at| now.saturating_duration_since(at) < COUNT_PAUSE) {
            return;
        }
        self.counted = Some(now);
        let least = decayed(self.used, now) * LEAST_ACTIVE;
        let active = self.organisations.values().filter(|queue| decayed(queue.used, now) > least);
        self.active_weight = active.map(|queue| queue.weight).sum();
    }

    /// Notes that a request of `class` goes now: it uses up the class's credit.
    pub fn spend_credit(&mut self, class: RequestClass, cost: u64) {
        let credit = &mut self.credit[class as usize];
        *credit = (*credit - cost as f64).max(0.0);
    }

    /// Up to `limit` requests in the order in which they should be tried, no more than `depth` of
    /// one organisation and class.
    pub fn candidates(&self, limit: usize, depth: usize) -> Vec<QueuedWork> {
        let mut found = Vec::with_capacity(limit);
        for lane in self.lane_order() {
            for (_, organisation) in &self.turns[lane] {
                let Some(queue) = self.organisations.get(organisation) else { continue };
                let room = limit - found.len();
                let depth = if self.arrival_order { limit } else { depth };
                found.extend(queue.lanes[lane].iter().take(depth.min(room)).copied());
                if found.len() >= limit {
                    return found;
                }
            }
        }
        found
    }

    /// The cost that will be served before a request of `organisation` in `class`, if all go on
    /// as they wait now: more urgent classes first, and of each other organisation no more than
    /// its fair part beside this one's own backlog.
    pub fn cost_ahead(&self, organisation: &str, class: RequestClass, cost: u64) -> u64 {
        let lane = class as usize;
        let total: u64 = self.backlog[..=lane].iter().sum();
        if self.arrival_order {
            return total;
        }
        let own = self.organisations.get(organisation);
        let own_backlog: u64 = own.map_or(0, |queue| queue.backlog[..=lane].iter().sum());
        let others = total - own_backlog;
        let rivals = self.contenders(class).saturating_sub(usize::from(own_backlog > 0)) as u64;
        let counter = own.map_or(self.floor, |queue| queue.counter);
        let weight = own.map_or(1.0, |queue| queue.weight);
        let lowest = self.lowest().unwrap_or(counter);
        let debt = (counter.saturating_sub(lowest) as f64 / SCALE * weight) as u64;
        let fair = (own_backlog + cost + debt).saturating_mul(rivals);
        own_backlog + others.min(fair)
    }

    /// The heaviest waiting organisation of a less urgent class than `class`, or of `class` itself
    /// if it waits with more than `own_depth`; its latest request gives way when the queue is full.
    pub fn victim(&self, class: RequestClass, own_depth: usize) -> Option<QueuedWork> {
        for lane in (class as usize..3).rev() {
            let heaviest = self.turns[lane]
                .iter()
                .rev()
                .take(64)
                .filter_map(|(_, organisation)| self.organisations.get(organisation))
                .max_by_key(|queue| queue.lanes[lane].len())?;
            if lane > class as usize || heaviest.lanes[lane].len() > own_depth + 1 {
                return heaviest.lanes[lane].back().copied();
            }
        }
        None
    }

    fn lane_order(&self) -> [usize; 3] {
        let due = |lane: usize| {
            let head = self.turns[lane].first().and_then(|(_, organisation)| {
                self.organisations.get(organisation)?.lanes[lane].front()
            });
            head.is_some_and(|work| self.credit[lane] >= work.cost as f64)
        };
        match (due(1), due(2)) {
            (_, true) => [2, 0, 1],
            (true, false) => [1, 0, 2],
            (false, false) => [0, 1, 2],
        }
    }

    fn lowest(&self) -> Option<u64> {
        self.turns.iter().filter_map(|turn| turn.first()).map(|(counter, _)| *counter).min()
    }

    fn forget_idle(&mut self) {
        while self.idle.len() > MAX_IDLE {
            if let Some((_, organisation)) = self.idle.pop_first() {
                self.organisations.remove(&organisation);
            }
        }
    }
}

fn decayed((used, at): (f64, Option<Instant>), now: Instant) -> f64 {
    let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    used * (-age.as_secs_f64() / USE_SPAN.as_secs_f64()).exp()
}

/// Where in its organisation's lane a request is put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePlace {
    /// Behind all.
    Back,
    /// Before all: it was sent before and failed.
    Front,
}
