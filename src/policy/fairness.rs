//! Fair queueing: weighted token counters by organisation and class.
//!
//! With a queue in arrival order, an organisation that floods the system, or sends long jobs among
//! short ones, gets the largest share, and all others wait behind it.
//!
//! Each organisation has a counter of the tokens it was served, divided by its weight (virtual
//! token counters, Sheng et al., "Fairness in Serving Large Language Models", OSDI '24). The
//! waiting organisation with the lowest counter is served first. An organisation that was idle
//! resumes at the lowest counter of those that wait, so idle time gives no credit. Counters are per
//! organisation, so splitting requests over several keys gains nothing. Long jobs are charged for
//! their tokens, which lets short ones pass; the counter does not grow while they wait, so they are
//! served eventually.
//!
//! Urgent classes are served first. A waiting class earns a fraction of the cost served before it
//! and goes first once this covers its next request, so that no class starves.

use {
    crate::{ids::OrganisationId, inventory::RequestClass},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Cost of a generated token relative to a prompt token. A generated token occupies one of 16 slots
/// for about 25 ms, in which an engine computes about 20 prompt tokens; batching makes it cheaper
/// while slots are free. Sheng et al. use 2, as a price rather than a measured cost.
pub const OUTPUT_TOKEN_COST: u64 = 8;

/// Minimum cost of a request, so that a flood of tiny requests is not free.
pub const MIN_COST: u64 = 64;

/// Fraction of the cost served before a waiting class that it earns, by class: large enough to
/// prevent starvation, small enough to keep the urgent class responsive under overload.
const CLASS_CREDIT: [f64; 3] = [1.0, 0.1, 0.04];

/// Maximum idle organisations tracked. The lowest counters are evicted first, which loses nothing:
/// a returning organisation starts at the lowest waiting counter or above.
const MAX_IDLE: usize = 4_096;

/// Time constant of the usage from which organisations over their share are determined.
const USAGE_WINDOW: Duration = Duration::from_secs(5);

/// Factor by which the usage of an organisation must exceed its fair share to count as over its
/// share. In a steady load with eight active organisations, one with 30% of the load uses 2.4
/// shares, which must be allowed.
const OVER_SHARE_FACTOR: f64 = 3.0;

/// Fraction of the total usage below which an organisation does not count as active.
const MIN_ACTIVE_FRACTION: f64 = 0.005;

/// Interval between two recounts of the active organisations, which visit every tracked
/// organisation: a fraction of [`USAGE_WINDOW`].
const RECOUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Fixed-point scale of the counters, so that they are ordered exactly and can be divided by
/// weights.
const SCALE: f64 = 1_024.0;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedWork {
    /// The request's number in the dispatcher.
    pub number: u64,
    /// Estimated cost in tokens.
    pub cost: u64,
}

#[derive(Debug)]
struct OrganisationQueue {
    /// Scaled tokens served divided by weight. It never falls while requests wait, except when an
    /// estimated cost is corrected.
    counter: u64,
    weight: f64,
    /// Waiting requests by class, in order of arrival.
    lanes: [VecDeque<QueuedWork>; 3],
    /// Total cost of the waiting requests by class.
    backlog: [u64; 3],
    /// Decayed cost served, and when it was last updated.
    used: (f64, Option<Instant>),
}

impl OrganisationQueue {
    fn is_idle(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }
}

/// The queue of one pool of servers.
#[derive(Debug, Default)]
pub struct FairQueue {
    organisations: BTreeMap<OrganisationId, OrganisationQueue>,
    /// Organisations with waiting requests by class, lowest counter first.
    service_order: [BTreeSet<(u64, OrganisationId)>; 3],
    /// Organisations without waiting requests, lowest counter first; at most [`MAX_IDLE`].
    idle: BTreeSet<(u64, OrganisationId)>,
    /// Cost credit that each waiting class has earned from more urgent ones.
    credit: [f64; 3],
    /// Number of waiting requests by class.
    waiting: [usize; 3],
    /// Total waiting cost by class.
    backlog: [u64; 3],
    /// The lowest counter at the last dispatch, at which new organisations start at least.
    floor: u64,
    /// Decayed cost served to all organisations, and when it was last updated.
    used: (f64, Option<Instant>),
    /// Sum of the weights of recently active organisations. `counted` is when it was computed.
    active_weight: f64,
    counted: Option<Instant>,
    /// Whether requests are served in arrival order because fairness is switched off.
    arrival_order: bool,
}

impl FairQueue {
    /// Creates a queue that serves in arrival order instead of by counters, to show the effect of
    /// fairness in tests.
    pub fn in_arrival_order() -> Self {
        FairQueue { arrival_order: true, ..FairQueue::default() }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting(&self, class: RequestClass) -> usize {
        self.waiting[class as usize]
    }

    /// Returns the number of organisations that wait in `class` or a more urgent one.
    pub fn waiting_organisations(&self, class: RequestClass) -> usize {
        self.service_order[..=class as usize].iter().map(BTreeSet::len).max().unwrap_or(0)
    }

    /// Returns the number of waiting requests of one organisation.
    pub fn depth(&self, organisation: &str) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |queue| queue.lanes.iter().map(VecDeque::len).sum())
    }

    /// Adds a request at the given position of its organisation's lane.
    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: f64,
        class: RequestClass,
        work: QueuedWork,
        position: QueuePosition,
    ) {
        let key = if self.arrival_order { OrganisationId::new() } else { organisation.clone() };
        let lane = class as usize;
        let floor = self.lowest_counter().unwrap_or(self.floor).max(self.floor);
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
        match position {
            QueuePosition::Back => queue.lanes[lane].push_back(work),
            QueuePosition::Front => queue.lanes[lane].push_front(work),
        }
        queue.backlog[lane] += work.cost;
        self.backlog[lane] += work.cost;
        self.waiting[lane] += 1;
        self.service_order[lane].insert((queue.counter, key));
    }

    /// Removes a request and returns whether it was waiting.
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
            self.service_order[lane].remove(&(counter, key.to_owned()));
        }
        if self.waiting[lane] == 0 {
            self.credit[lane] = 0.0;
        }
        if idle {
            self.idle.insert((counter, key.to_owned()));
            self.evict_idle();
        }
        true
    }

    /// Charges an organisation for tokens served and credits waiting classes. A negative cost
    /// corrects an earlier estimate.
    pub fn charge(&mut self, organisation: &str, class: RequestClass, cost: i64) {
        if cost > 0 {
            for (lane, fraction) in CLASS_CREDIT.iter().enumerate().skip(class as usize + 1) {
                if self.waiting[lane] > 0 {
                    self.credit[lane] += cost as f64 * fraction;
                }
            }
        }
        self.floor = self.floor.max(self.lowest_counter().unwrap_or(self.floor));
        let Some(queue) = self.organisations.get_mut(organisation) else { return };
        let before = queue.counter;
        let step = (cost.unsigned_abs() as f64 * SCALE / queue.weight) as u64;
        queue.counter =
            if cost >= 0 { before.saturating_add(step) } else { before.saturating_sub(step) };
        let after = queue.counter;
        let lists = self.service_order.iter_mut().chain([&mut self.idle]);
        for list in lists {
            if list.remove(&(before, organisation.to_owned())) {
                list.insert((after, organisation.to_owned()));
            }
        }
    }

    /// Records the usage of an organisation, from which organisations over their share are
    /// determined.
    pub fn record_usage(&mut self, now: Instant, organisation: &str, cost: u64) {
        self.used = (decayed(self.used, now) + cost as f64, Some(now));
        if let Some(queue) = self.organisations.get_mut(organisation) {
            queue.used = (decayed(queue.used, now) + cost as f64, Some(now));
        }
    }

    /// Returns whether an organisation has recently used clearly more than its fair share.
    pub fn is_over_share(&self, now: Instant, organisation: &str) -> bool {
        if self.arrival_order {
            return false;
        }
        let Some(queue) = self.organisations.get(organisation) else { return false };
        let fair = queue.weight / self.active_weight.max(queue.weight);
        decayed(queue.used, now) > OVER_SHARE_FACTOR * fair * decayed(self.used, now)
    }

    /// Recomputes the total weight of the recently active organisations if the interval has passed.
    pub fn refresh_active_weight(&mut self, now: Instant) {
        if self.counted.is_some_and(|at| now.saturating_duration_since(at) < RECOUNT_INTERVAL) {
            return;
        }
        self.counted = Some(now);
        let least = decayed(self.used, now) * MIN_ACTIVE_FRACTION;
        let active = self.organisations.values().filter(|queue| decayed(queue.used, now) > least);
        self.active_weight = active.map(|queue| queue.weight).sum();
    }

    /// Deducts the cost of a dispatched request from the credit of its class.
    pub fn spend_credit(&mut self, class: RequestClass, cost: u64) {
        let credit = &mut self.credit[class as usize];
        *credit = (*credit - cost as f64).max(0.0);
    }

    /// Returns up to `limit` requests in the order in which to try them, at most `depth` of one
    /// organisation and class.
    pub fn candidates(&self, limit: usize, depth: usize) -> Vec<QueuedWork> {
        let mut found = Vec::with_capacity(limit);
        for lane in self.lane_order() {
            for (_, organisation) in &self.service_order[lane] {
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

    /// Returns the cost that will be served before a new request of `organisation` in `class`, if
    /// the waiting requests stay as they are: all requests in more urgent classes, and of each
    /// other organisation at most its fair share relative to this one's own backlog.
    pub fn cost_ahead(&self, organisation: &str, class: RequestClass, cost: u64) -> u64 {
        let lane = class as usize;
        let total: u64 = self.backlog[..=lane].iter().sum();
        if self.arrival_order {
            return total;
        }
        let own = self.organisations.get(organisation);
        let own_backlog: u64 = own.map_or(0, |queue| queue.backlog[..=lane].iter().sum());
        let others = total - own_backlog;
        let competitors =
            self.waiting_organisations(class).saturating_sub(usize::from(own_backlog > 0)) as u64;
        let counter = own.map_or(self.floor, |queue| queue.counter);
        let weight = own.map_or(1.0, |queue| queue.weight);
        let lowest_counter = self.lowest_counter().unwrap_or(counter);
        let debt = (counter.saturating_sub(lowest_counter) as f64 / SCALE * weight) as u64;
        let fair = (own_backlog + cost + debt).saturating_mul(competitors);
        own_backlog + others.min(fair)
    }

    /// Returns the request to shed when the queue is full: the latest one of the organisation with
    /// the most waiting requests in a less urgent class than `class`, or in `class` itself if that
    /// organisation has more than `own_depth` requests waiting.
    pub fn shed_candidate(&self, class: RequestClass, own_depth: usize) -> Option<QueuedWork> {
        for lane in (class as usize..3).rev() {
            let heaviest = self.service_order[lane]
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
            let head = self.service_order[lane].first().and_then(|(_, organisation)| {
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

    fn lowest_counter(&self) -> Option<u64> {
        self.service_order
            .iter()
            .filter_map(|order| order.first())
            .map(|(counter, _)| *counter)
            .min()
    }

    fn evict_idle(&mut self) {
        while self.idle.len() > MAX_IDLE {
            if let Some((_, organisation)) = self.idle.pop_first() {
                self.organisations.remove(&organisation);
            }
        }
    }
}

fn decayed((used, at): (f64, Option<Instant>), now: Instant) -> f64 {
    let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    used * (-age.as_secs_f64() / USAGE_WINDOW.as_secs_f64()).exp()
}

/// Where a request is added in its organisation's lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePosition {
    /// At the end.
    Back,
    /// At the front, for a request that was sent before and failed.
    Front,
}
