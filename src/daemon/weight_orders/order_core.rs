//! Decides which weights to note, which servers to look at and which loads to order: without a
//! network.

use {
    crate::{
        control::{Command, orders::DesiredWeights},
        ids::{FencingNumber, ModelId, ServerId, Term, WeightsVersion},
        policy::{
            LoadReport,
            rollout::{RolloutServer, next_step},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long an order may be under way, from the decision to the end of the call.
pub const ORDER_LIFE: Duration = Duration::from_secs(2);
/// The longest lease that a former leader can still hold when a new one is elected.
pub const OLD_LEASE: Duration = Duration::from_secs(1);
/// When orders are given and servers looked at.
#[derive(Clone, Copy, Debug)]
pub struct OrderTiming {
    /// How long a server may report other weights after an accepted order before it is ordered
    /// again.
    pub load_limit: Duration,
    /// After an order that did not arrive.
    pub retry_wait: Duration,
    /// How long a server is given to finish its work before it loads anyway.
    pub drain_limit: Duration,
    /// Between two looks at a server that is not as desired.
    pub busy_look: Duration,
    /// Between two looks at a server that is as desired, at least.
    pub idle_look: Duration,
}

impl Default for OrderTiming {
    /// A load takes 0.6 s, several times that beside others, and reports lag.
    fn default() -> Self {
        OrderTiming {
            load_limit: Duration::from_secs(10),
            retry_wait: Duration::from_secs(1),
            drain_limit: Duration::from_secs(10),
            busy_look: Duration::from_millis(250),
            idle_look: Duration::from_secs(2),
        }
    }
}

/// Between two looks at a server that is as desired, for each server there is: the leader looks at
/// 30 a second at most.
const IDLE_LOOK_EACH: Duration = Duration::from_millis(35);
/// Looks under way at once.
const MOST_LOOKS: usize = 32;
/// Proposals under way at once.
const MOST_PROPOSALS: usize = 16;

/// A server and one model that it runs.
pub type OrderPlace = (ServerId, ModelId);

/// What the register and the rules want.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderPlan {
    /// Loads that may run at the same time.
    pub limit: u32,
    /// The version of each model.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// The models that each server may run; each of them has a version.
    pub servers: BTreeMap<ServerId, BTreeSet<ModelId>>,
    /// Whether all these servers refuse orders with a lower number than one that they have seen.
    pub fenced: bool,
}

/// What an order was decided by, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderGrounds {
    /// The version that the server reported last.
    pub observed: Option<WeightsVersion>,
    /// How long the ordered version has been wanted here.
    pub wanted_for: Duration,
    /// Orders of this version that the server was given before, in this term.
    pub given_before: u32,
}

/// How many servers do not have the version that is wanted of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingServers {
    /// The version.
    pub weights: WeightsVersion,
    /// Since when it has been wanted here.
    pub since: Instant,
    /// Servers that answer and report another one, or have not answered yet.
    pub servers: usize,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightOrder {
    /// The server.
    pub server: ServerId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub weights: WeightsVersion,
    /// The number that servers compare, where they do.
    pub fencing: FencingNumber,
    /// The leader's term at the decision; in another term the order must not be sent.
    pub term: Term,
    /// After this the order must not be sent.
    pub send_before: Instant,
    /// Tells this order from others.
    pub number: u64,
    /// What it was decided by.
    pub grounds: OrderGrounds,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The server took it, or may have.
    Taken,
    /// It surely did not: not sent, or refused.
    NotTaken,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// The configuration changed.
    Configure(OrderPlan),
    /// The replicated state changed.
    Desired(Arc<DesiredWeights>),
    /// This replica leads under a lease in this term since this time, or does not.
    Lease(Option<(Term, Instant)>),
    /// A look at a server ended, with a report if it answered.
    Looked {
        /// The server.
        server: ServerId,
        /// Its report.
        report: Option<LoadReport>,
    },
    /// An order ended.
    Ordered {
        /// Where.
        place: OrderPlace,
        /// Its number.
        number: u64,
        /// What became of it.
        result: OrderResult,
    },
    /// A proposal ended, whatever came of it; the state tells.
    Proposed {
        /// The model that it was for.
        model: ModelId,
    },
    /// Time passed.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Propose a command; exactly one `Proposed` follows.
    Propose {
        /// The model that it is for.
        model: ModelId,
        /// The command.
        command: Command,
    },
    /// Ask a server for its report; exactly one `Looked` follows.
    Look {
        /// The server.
        server: ServerId,
    },
    /// Give a server no new work for now.
    Drain {
        /// The server.
        server: ServerId,
    },
    /// Send an order if the lease still holds; exactly one `Ordered` follows.
    Order(WeightOrder),
}

/// What is known of one server.
#[derive(Default)]
struct ServerSight {
    report: Option<LoadReport>,
    alive: bool,
    looking: bool,
    next_look: Option<Instant>,
    draining_since: Option<Instant>,
    /// The version last ordered of each model, and how often; only of the server's models.
    ordered: BTreeMap<ModelId, (WeightsVersion, u32)>,
}

/// An order that was given.
struct GivenOrder {
    number: u64,
    weights: WeightsVersion,
    /// Until when the server counts as loading.
    until: Instant,
}

/// The state of the weight orders at one replica; all of it is dropped with the lease.
#[derive(Default)]
pub struct OrderCore {
    timing: OrderTiming,
    plan: OrderPlan,
    /// Since when the plan has the version of each of its models.
    wanted_since: BTreeMap<ModelId, Instant>,
    desired: Arc<DesiredWeights>,
    lease: Option<(Term, Instant)>,
    /// One entry for each server of the plan, at most.
    sights: BTreeMap<ServerId, ServerSight>,
    /// One entry for each place of the plan, at most.
    given: BTreeMap<OrderPlace, GivenOrder>,
    /// Proposals under way; at most [`MOST_PROPOSALS`].
    proposing: BTreeSet<ModelId>,
    next_number: u64,
}

impl OrderCore {
    /// A core with its own timing.
    pub fn with_timing(timing: OrderTiming) -> Self {
        OrderCore { timing, ..OrderCore::default() }
    }

    /// When `Wake` is wanted next; a replica that does not lead wants none.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let draining = self.sights.values().any(|sight| sight.draining_since.is_some());
        let pause = self.timing.busy_look;
        let pause = if draining { pause.min(self.timing.drain_limit) } else { pause };
        self.lease.map(|_| now + pause)
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Instant, input: OrderInput) -> Vec<OrderAction> {
        match input {
            OrderInput::Configure(plan) => self.configure(now, plan),
            OrderInput::Desired(desired) => self.desired = desired,
            OrderInput::Lease(lease) => self.take_lease(lease),
            OrderInput::Looked { server, report } => self.take_report(now, &server, report),
            OrderInput::Ordered { place, number, result } => {
                if let Some(order) = self.given.get_mut(&place)
                    && order.number == number
                    && result == OrderResult::NotTaken
                {
                    order.until = now + self.timing.retry_wait;
                }
            }
            OrderInput::Proposed { model } => {
                self.proposing.remove(&model);
            }
            OrderInput::Wake => {}
        }
        let mut actions = Vec::new();
        if let Some((term, since)) = self.lease {
            self.propose(&mut actions);
            self.look(now, &mut actions);
            // A former leader may send under its lease until that ends, and what it sent may be
            // under way for an order's life. An order given before could be overtaken by one of
            // those at a server that does not check numbers, and the older version would stay. Servers
            // that do check refuse the former leader's, so the 3 s of waiting would only keep them
            // on replaced weights for longer.
            if self.plan.fenced || now >= since + OLD_LEASE + ORDER_LIFE {
                self.order(now, term, &mut actions);
            }
        }
        actions
    }

    /// What is still to do, by model of the plan.
    pub fn pending(&self) -> BTreeMap<ModelId, PendingServers> {
        let pending = self.plan.weights.iter().map(|(model, weights)| {
            let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
            let behind = servers.filter(|(server, _)| {
                let answers = self.sights.get(*server).is_some_and(|sight| {
                    sight.alive || (sight.report.is_none() && sight.next_look.is_none())
                });
                answers && self.observed(server, model) != Some(weights)
            });
            let since = self.wanted_since[model];
            let pending =
                PendingServers { weights: weights.clone(), since, servers: behind.count() };
            (model.clone(), pending)
        });
        pending.collect()
    }

    fn configure(&mut self, now: Instant, plan: OrderPlan) {
        self.wanted_since
            .retain(|model, _| plan.weights.get(model) == self.plan.weights.get(model));
        for model in plan.weights.keys() {
            self.wanted_since.entry(model.clone()).or_insert(now);
        }
        self.sights.retain(|server, _| plan.servers.contains_key(server));
        self.given.retain(|(server, model), _| {
            plan.servers.get(server).is_some_and(|models| models.contains(model))
        });
        for server in plan.servers.keys() {
            self.sights.entry(server.clone()).or_default();
        }
        self.plan = plan;
    }

    fn take_lease(&mut self, lease: Option<(Term, Instant)>) {
        let same = |(term, _): (Term, Instant)| self.lease.is_some_and(|held| held.0 == term);
        if !lease.is_some_and(same) {
            self.given.clear();
            for sight in self.sights.values_mut() {
                *sight = ServerSight { looking: sight.looking, ..ServerSight::default() };
            }
        }
        self.lease = lease;
    }

    fn take_report(&mut self, now: Instant, server: &ServerId, report: Option<LoadReport>) {
        let Some(sight) = self.sights.get_mut(server) else { return };
        sight.looking = false;
        sight.alive = report.as_ref().is_some_and(|report| !report.leaving);
        if let Some(report) = report {
            // A load is over when the server says so, which frees a place for the next. If a later
            // version is wanted by then, the server waits for its turn like all others.
            let before = self.given.len();
            self.given.retain(|(ordered, model), order| {
                ordered != server || report.weights.get(model) != Some(&order.weights)
            });
            if self.given.len() < before {
                sight.draining_since = None;
            }
            sight.report = Some(report);
        }
        let settled = self.is_settled(server);
        let count = u32::try_from(self.sights.len()).unwrap_or(u32::MAX);
        let idle = self.timing.idle_look.max(IDLE_LOOK_EACH.saturating_mul(count));
        let busy = self.given.keys().any(|(ordered, _)| ordered == server);
        let Some(sight) = self.sights.get_mut(server) else { return };
        if settled {
            sight.draining_since = None;
        }
        // A server that waits for its turn does not change by itself.
        let quick = busy || sight.draining_since.is_some() || (!settled && !sight.alive);
        sight.next_look = Some(now + if quick { self.timing.busy_look } else { idle });
    }

    fn is_settled(&self, server: &ServerId) -> bool {
        let models = self.plan.servers.get(server).into_iter().flatten();
        models.into_iter().all(|model| self.observed(server, model) == self.plan.weights.get(model))
    }

    fn observed(&self, server: &ServerId, model: &ModelId) -> Option<&WeightsVersion> {
        self.sights.get(server)?.report.as_ref()?.weights.get(model)
    }

    fn is_noted(&self, model: &ModelId, version: &WeightsVersion) -> bool {
        self.desired.get(model).is_some_and(|(known, _)| known == version)
    }

    /// Notes in the replicated state what is wanted: that gives each change its number.
    fn propose(&mut self, actions: &mut Vec<OrderAction>) {
        for (model, version) in &self.plan.weights {
            if self.is_noted(model, version) || self.proposing.contains(model) {
                continue;
            }
            if self.proposing.len() >= MOST_PROPOSALS {
                return;
            }
            self.proposing.insert(model.clone());
            let command = Command::DesireModel { model: model.clone(), weights: version.clone() };
            actions.push(OrderAction::Propose { model: model.clone(), command });
        }
    }

    fn look(&mut self, now: Instant, actions: &mut Vec<OrderAction>) {
        let looking = self.sights.values().filter(|sight| sight.looking).count();
        let free = MOST_LOOKS.saturating_sub(looking);
        let due = |sight: &ServerSight| sight.next_look.is_none_or(|at| now >= at);
        let servers = self.sights.iter_mut().filter(|(_, sight)| !sight.looking && due(sight));
        for (server, sight) in servers.take(free) {
            sight.looking = true;
            actions.push(OrderAction::Look { server: server.clone() });
        }
    }

    /// Orders what is desired and not observed, a model after the other, within the limit.
    fn order(&mut self, now: Instant, term: Term, actions: &mut Vec<OrderAction>) {
        let models: Vec<ModelId> = self.plan.weights.keys().cloned().collect();
        for model in models {
            let elsewhere = self.loads(now, |known| *known != model);
            let Some(limit) = self.plan.limit.max(1).checked_sub(elsewhere) else { return };
            if limit == 0 {
                return;
            }
            let step = next_step(&self.rollout(now, &model), limit);
            for server in step.drain {
                if let Some(sight) = self.sights.get_mut(&server) {
                    sight.draining_since.get_or_insert(now);
                }
                actions.push(OrderAction::Drain { server });
            }
            for server in step.load {
                actions.extend(self.give(now, term, (server, model.clone())));
            }
        }
    }

    fn loads(&self, now: Instant, of: impl Fn(&ModelId) -> bool) -> u32 {
        let running = self.given.iter().filter(|((_, model), _)| of(model));
        running.filter(|(_, order)| now < order.until).count() as u32
    }

    /// The servers of a model, once the replicated state has noted its version; none before.
    fn rollout(&self, now: Instant, model: &ModelId) -> BTreeMap<ServerId, RolloutServer> {
        let noted = self.plan.weights.get(model).filter(|version| self.is_noted(model, version));
        let Some(version) = noted else { return BTreeMap::new() };
        let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
        servers
            .filter_map(|(server, _)| {
                let sight = self.sights.get(server)?;
                let place = (server.clone(), model.clone());
                let drained = sight
                    .draining_since
                    .is_some_and(|since| now >= since + self.timing.drain_limit);
                let running = sight.report.as_ref().map_or(0, |report| report.running);
                let rollout = RolloutServer {
                    desired: version.clone(),
                    observed: self.observed(server, model).cloned(),
                    loading: self.given.get(&place).is_some_and(|order| now < order.until),
                    draining: sight.draining_since.is_some(),
                    alive: sight.alive,
                    in_flight: if drained { 0 } else { running },
                };
                Some((server.clone(), rollout))
            })
            .collect()
    }

    fn give(&mut self, now: Instant, term: Term, place: OrderPlace) -> Option<OrderAction> {
        let (weights, _) = self.desired.get(&place.1)?.clone();
        // A server compares the numbers of all models: the latest change's is never below another.
        let fencing = self.desired.values().map(|(_, number)| *number).max()?;
        self.next_number += 1;
        let number = self.next_number;
        let given =
            GivenOrder { number, weights: weights.clone(), until: now + self.timing.load_limit };
        self.given.insert(place.clone(), given);
        let (server, model) = place;
        let sight = self.sights.get_mut(&server)?;
        // Until the load was ordered it was looked at as one that waits, which is seldom.
        sight.next_look = Some(now + self.timing.busy_look);
        let ordered = sight.ordered.entry(model.clone()).or_default();
        if ordered.0 != weights {
            *ordered = (weights.clone(), 0);
        }
        let grounds = OrderGrounds {
            observed: sight.report.as_ref().and_then(|report| report.weights.get(&model).cloned()),
            wanted_for: self.wanted_since.get(&model).map_or(Duration::ZERO, |since| now - *since),
            given_before: ordered.1,
        };
        ordered.1 += 1;
        let send_before = now + ORDER_LIFE;
        Some(OrderAction::Order(WeightOrder {
            server,
            model,
            weights,
            fencing,
            term,
            send_before,
            number,
            grounds,
        }))
    }
}
