//! Decides which weights to note, which servers to look at and which loads to order: without a
//! network.

pub use super::order_types::{
    OrderAction, OrderInput, OrderPlace, OrderPlan, OrderReason, OrderResult, OrderTiming,
    PendingServers, WeightOrder,
};

use {
    crate::{
        control::{Command, orders::DesiredWeights},
        ids::{ModelId, ServerId, Term, WeightsVersion},
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
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest lease that a former leader can still hold when a new one is elected.
pub const MAX_FORMER_LEASE: Duration = Duration::from_secs(1);
/// Between two looks at a server that is as desired, for each server there is: the leader looks at
/// 30 a second at most.
const IDLE_LOOK_EACH: Duration = Duration::from_millis(35);
/// Looks under way at once.
const MOST_LOOKS: usize = 32;
/// Proposals under way at once.
const MOST_PROPOSALS: usize = 16;
/// Between two decisions, which each go over all servers.
const DECIDE_EVERY: Duration = Duration::from_millis(10);

/// What is known of one server.
#[derive(Default)]
struct ServerSight {
    report: Option<LoadReport>,
    alive: bool,
    looking: bool,
    next_look: Option<Instant>,
    draining_since: Option<Instant>,
    /// Orders whose end is not seen yet; at most one for each model of the server.
    given: BTreeMap<ModelId, GivenOrder>,
    /// The version last ordered of each model, and how often; only of the server's models.
    ordered: BTreeMap<ModelId, (WeightsVersion, u32)>,
}

impl ServerSight {
    fn observed(&self, model: &ModelId) -> Option<&WeightsVersion> {
        self.report.as_ref()?.weights.get(model)
    }

    fn is_loading(&self, model: &ModelId, now: Instant) -> bool {
        self.given.get(model).is_some_and(|order| now < order.until)
    }
}

/// An order that was given.
struct GivenOrder {
    number: u64,
    weights: WeightsVersion,
    /// Until when the server counts as loading.
    until: Instant,
}

/// The state of the weight orders at one replica; what is seen and given is dropped with the term.
#[derive(Default)]
pub struct OrderCore {
    timing: OrderTiming,
    plan: OrderPlan,
    /// Since when the plan has the version of each of its models.
    wanted_since: BTreeMap<ModelId, Instant>,
    desired: Arc<DesiredWeights>,
    lease: Option<(Term, Instant)>,
    /// The last term in which there was a lease.
    term: Term,
    /// One entry for each server of the plan.
    sights: BTreeMap<ServerId, ServerSight>,
    /// Proposals under way; at most [`MOST_PROPOSALS`].
    proposing: BTreeSet<ModelId>,
    next_number: u64,
    /// The last decision.
    decided: Option<Instant>,
    /// When the next one is wanted; never earlier than [`DECIDE_EVERY`] after the last.
    due: Option<Instant>,
}

impl OrderCore {
    /// A core with its own timing.
    pub fn with_timing(timing: OrderTiming) -> Self {
        OrderCore { timing, ..OrderCore::default() }
    }

    /// When `Wake` is wanted next; a replica that does not lead wants none.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.lease.and(self.due)
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Instant, input: OrderInput) -> Vec<OrderAction> {
        if self.take(now, input) {
            let earliest = self.decided.map_or(now, |at| (at + DECIDE_EVERY).max(now));
            self.due = Some(self.due.map_or(earliest, |due| due.min(earliest)));
        }
        match (self.lease, self.due) {
            (Some((term, since)), Some(due)) if now >= due => self.decide(now, term, since),
            _ => Vec::new(),
        }
    }

    /// Takes one input; true if there may be something to do that time alone does not bring.
    fn take(&mut self, now: Instant, input: OrderInput) -> bool {
        match input {
            OrderInput::Configure(plan) => self.configure(now, plan),
            OrderInput::Desired(desired) => self.desired = desired,
            OrderInput::Lease(lease) => return self.take_lease(lease),
            OrderInput::Probed { server, report } => self.take_report(now, &server, report),
            OrderInput::Ordered { place: (server, model), number, result } => {
                let sight = self.sights.get_mut(&server);
                if let Some(order) = sight.and_then(|sight| sight.given.get_mut(&model))
                    && order.number == number
                    && result == OrderResult::NotTaken
                {
                    order.until = now + self.timing.retry_wait;
                }
            }
            OrderInput::Proposed { model } => {
                self.proposing.remove(&model);
            }
            OrderInput::Wake => return false,
        }
        true
    }

    fn decide(&mut self, now: Instant, term: Term, since: Instant) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        self.propose(&mut actions);
        self.look(now, &mut actions);
        // A former leader may send under its lease until that ends, and what it sent may be under way
        // for an order's life. An order given before could be overtaken by one of those at a server
        // that does not check numbers, and the older version would stay. Servers that do check refuse
        // the former leader's, so the 3 s of waiting would only keep them on replaced weights for
        // longer.
        let unfenced_from = since + MAX_FORMER_LEASE + ORDER_TIMEOUT;
        if self.plan.fenced || now >= unfenced_from {
            self.order(now, term, &mut actions);
        }
        let waits = (!self.plan.fenced && now < unfenced_from).then_some(unfenced_from);
        let due = self.next_change(now).into_iter().chain(waits).min();
        self.decided = Some(now);
        self.due = due.map(|due| due.max(now + DECIDE_EVERY));
        actions
    }

    /// When time alone makes something to do.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let changes = self.sights.values().flat_map(|sight| {
            let look = (!sight.looking).then_some(sight.next_look.unwrap_or(now));
            let drained = sight.draining_since.map(|since| since + self.timing.drain_limit);
            let ends = sight.given.values().map(|order| order.until);
            look.into_iter().chain(drained.into_iter().chain(ends).filter(move |at| *at > now))
        });
        changes.min()
    }

    /// What is still to do, by model of the plan.
    pub fn pending(&self) -> BTreeMap<ModelId, PendingServers> {
        let pending = self.plan.weights.iter().map(|(model, weights)| {
            let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
            let sights = servers.filter_map(|(server, _)| self.sights.get(server));
            let behind = sights.filter(|sight| {
                let is_new = sight.next_look.is_none();
                (sight.alive || is_new) && sight.observed(model) != Some(weights)
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
        self.sights.retain(|server, sight| {
            let models = plan.servers.get(server);
            sight.given.retain(|model, _| models.is_some_and(|models| models.contains(model)));
            models.is_some()
        });
        for server in plan.servers.keys() {
            self.sights.entry(server.clone()).or_default();
        }
        self.plan = plan;
    }

    /// True if the lease is another one than before.
    ///
    /// A lease that lapsed and came back in its term was nobody else's meanwhile, so what was seen and
    /// given still holds.
    fn take_lease(&mut self, lease: Option<(Term, Instant)>) -> bool {
        if let Some((term, _)) = lease
            && term != self.term
        {
            self.term = term;
            for sight in self.sights.values_mut() {
                *sight = ServerSight { looking: sight.looking, ..ServerSight::default() };
            }
        }
        let changed = self.lease != lease;
        self.lease = lease;
        changed
    }

    fn take_report(&mut self, now: Instant, server: &ServerId, report: Option<LoadReport>) {
        let count = u32::try_from(self.sights.len()).unwrap_or(u32::MAX);
        let idle = self.timing.idle_probe_interval.max(IDLE_LOOK_EACH.saturating_mul(count));
        let Some(sight) = self.sights.get_mut(server) else { return };
        sight.looking = false;
        sight.alive = report.as_ref().is_some_and(|report| !report.leaving);
        if let Some(report) = report {
            // A load is over when the server says so, which frees a place for the next. If a later
            // version is wanted by then, the server waits for its turn like all others.
            let before = sight.given.len();
            sight.given.retain(|model, order| report.weights.get(model) != Some(&order.weights));
            if sight.given.len() < before {
                sight.draining_since = None;
            }
            sight.report = Some(report);
        }
        let settled = self.is_settled(server);
        let Some(sight) = self.sights.get_mut(server) else { return };
        // A server that is silent would hold its place for as long as it is.
        if settled || !sight.alive {
            sight.draining_since = None;
        }
        // A server that waits for its turn does not change by itself.
        let quick =
            !sight.given.is_empty() || sight.draining_since.is_some() || (!settled && !sight.alive);
        sight.next_look = Some(now + if quick { self.timing.busy_probe_interval } else { idle });
    }

    fn is_settled(&self, server: &ServerId) -> bool {
        let models = self.plan.servers.get(server).into_iter().flatten();
        models.into_iter().all(|model| self.observed(server, model) == self.plan.weights.get(model))
    }

    fn observed(&self, server: &ServerId, model: &ModelId) -> Option<&WeightsVersion> {
        self.sights.get(server)?.observed(model)
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
        let mut servers: Vec<_> = servers.collect();
        // In the order of their names, silent servers listed first would take all looks.
        servers.sort_by_key(|(_, sight)| sight.next_look);
        for (server, sight) in servers.into_iter().take(free) {
            sight.looking = true;
            actions.push(OrderAction::Probe { server: server.clone() });
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
                actions.extend(self.give(now, term, server, model.clone()));
            }
        }
    }

    fn loads(&self, now: Instant, of: impl Fn(&ModelId) -> bool) -> u32 {
        let given = self.sights.values().flat_map(|sight| &sight.given);
        given.filter(|(model, order)| of(model) && now < order.until).count() as u32
    }

    /// The servers of a model, once the replicated state has noted its version; none before.
    fn rollout(&self, now: Instant, model: &ModelId) -> BTreeMap<ServerId, RolloutServer> {
        let noted = self.plan.weights.get(model).filter(|version| self.is_noted(model, version));
        let Some(version) = noted else { return BTreeMap::new() };
        let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
        servers
            .filter_map(|(server, _)| {
                let sight = self.sights.get(server)?;
                let drained = sight
                    .draining_since
                    .is_some_and(|since| now >= since + self.timing.drain_limit);
                let running = sight.report.as_ref().map_or(0, |report| report.running);
                let rollout = RolloutServer {
                    desired: version.clone(),
                    observed: sight.observed(model).cloned(),
                    loading: sight.is_loading(model, now),
                    draining: sight.draining_since.is_some(),
                    alive: sight.alive,
                    in_flight: if drained { 0 } else { running },
                };
                Some((server.clone(), rollout))
            })
            .collect()
    }

    fn give(
        &mut self,
        now: Instant,
        term: Term,
        server: ServerId,
        model: ModelId,
    ) -> Option<OrderAction> {
        let (weights, _) = self.desired.get(&model)?.clone();
        // A server compares the numbers of all models: the latest change's is never below another.
        let fencing = self.desired.values().map(|(_, number)| *number).max()?;
        let sight = self.sights.get_mut(&server)?;
        self.next_number += 1;
        let number = self.next_number;
        let until = now + self.timing.load_limit;
        sight.given.insert(model.clone(), GivenOrder { number, weights: weights.clone(), until });
        // Until the load was ordered it was looked at as one that waits, which is seldom.
        sight.next_look = Some(now + self.timing.busy_probe_interval);
        let observed = sight.observed(&model).cloned();
        let ordered = sight.ordered.entry(model.clone()).or_default();
        if ordered.0 != weights {
            *ordered = (weights.clone(), 0);
        }
        let given_before = ordered.1;
        ordered.1 += 1;
        let wanted_for = self.wanted_since.get(&model).map_or(Duration::ZERO, |since| now - *since);
        let reason = OrderReason { observed, wanted_for, given_before };
        let send_before = now + ORDER_TIMEOUT;
        Some(OrderAction::Order(WeightOrder {
            server,
            model,
            weights,
            fencing,
            term,
            send_before,
            number,
            reason,
        }))
    }
}
