//! Decides which desired weights to propose, which servers to probe and which loads to order; does
//! no I/O.

pub use super::order_types::{
    OrderAction, OrderInput, OrderPlan, OrderReason, OrderResult, OrderTarget, OrderTiming,
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

/// How long an order is valid, from the decision to the end of the call.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest lease that a former leader can still hold when a new one is elected.
pub const MAX_FORMER_LEASE: Duration = Duration::from_secs(1);
/// The interval between two probes of servers that have the desired weights, for each server: it
/// limits the leader to about 30 such probes a second.
const IDLE_PROBE_SPACING: Duration = Duration::from_millis(35);
/// The maximum number of concurrent probes.
const MAX_PROBES: usize = 32;
/// The maximum number of concurrent proposals.
const MAX_PROPOSALS: usize = 16;
/// The minimum interval between two decisions, each of which iterates over all servers.
const DECISION_INTERVAL: Duration = Duration::from_millis(10);

/// The observed state of one server and its orders.
#[derive(Default)]
struct ServerState {
    report: Option<LoadReport>,
    alive: bool,
    probing: bool,
    next_probe: Option<Instant>,
    draining_since: Option<Instant>,
    /// Orders whose load has not been observed yet; at most one for each model of the server.
    pending: BTreeMap<ModelId, PendingOrder>,
    /// The version last ordered of each model, and how many times; only for models of the server.
    ordered: BTreeMap<ModelId, (WeightsVersion, u32)>,
}

impl ServerState {
    fn observed(&self, model: &ModelId) -> Option<&WeightsVersion> {
        self.report.as_ref()?.weights.get(model)
    }

    fn is_loading(&self, model: &ModelId, now: Instant) -> bool {
        self.pending.get(model).is_some_and(|order| now < order.until)
    }
}

/// An order that was sent.
struct PendingOrder {
    number: u64,
    weights: WeightsVersion,
    /// The time until which the server counts as loading.
    until: Instant,
}

/// The state of the weight orders at one replica. Observations and orders are discarded when the
/// term changes.
#[derive(Default)]
pub struct OrderCore {
    timing: OrderTiming,
    plan: OrderPlan,
    /// The time since which the plan has the present version of each of its models.
    planned_since: BTreeMap<ModelId, Instant>,
    desired: Arc<DesiredWeights>,
    lease: Option<(Term, Instant)>,
    /// The last term in which there was a lease.
    term: Term,
    /// One entry for each server of the plan.
    states: BTreeMap<ServerId, ServerState>,
    /// Proposals in progress; at most [`MAX_PROPOSALS`].
    proposing: BTreeSet<ModelId>,
    next_number: u64,
    /// The time of the last decision.
    decided: Option<Instant>,
    /// The time at which the next decision is due; at least [`DECISION_INTERVAL`] after the last.
    due: Option<Instant>,
}

impl OrderCore {
    /// A core with another timing than the default.
    pub fn with_timing(timing: OrderTiming) -> Self {
        OrderCore { timing, ..OrderCore::default() }
    }

    /// The time at which the next `Wake` is due; `None` while this replica does not lead.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.lease.and(self.due)
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, input: OrderInput) -> Vec<OrderAction> {
        if self.update(now, input) {
            let earliest = self.decided.map_or(now, |at| (at + DECISION_INTERVAL).max(now));
            self.due = Some(self.due.map_or(earliest, |due| due.min(earliest)));
        }
        match (self.lease, self.due) {
            (Some((term, since)), Some(due)) if now >= due => self.decide(now, term, since),
            _ => Vec::new(),
        }
    }

    /// Updates the state; returns whether a decision is needed before time alone makes one due.
    fn update(&mut self, now: Instant, input: OrderInput) -> bool {
        match input {
            OrderInput::Configure(plan) => self.configure(now, plan),
            OrderInput::Desired(desired) => self.desired = desired,
            OrderInput::Lease(lease) => return self.update_lease(lease),
            OrderInput::Probed { server, report } => self.update_report(now, &server, report),
            OrderInput::Ordered { target: (server, model), number, result } => {
                let state = self.states.get_mut(&server);
                if let Some(order) = state.and_then(|state| state.pending.get_mut(&model))
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
        self.probe(now, &mut actions);
        // A former leader may send orders until its lease ends, and each of them is valid for
        // `ORDER_TIMEOUT`. At a server that does not check fencing numbers, such an order could
        // arrive after an order of this leader, and the older version would stay. Servers that
        // check the numbers refuse the former leader's orders, so the wait of 3 s would only keep
        // them on replaced weights for longer.
        let unfenced_from = since + MAX_FORMER_LEASE + ORDER_TIMEOUT;
        if self.plan.fenced || now >= unfenced_from {
            self.order(now, term, &mut actions);
        }
        let wait_end = (!self.plan.fenced && now < unfenced_from).then_some(unfenced_from);
        let due = self.next_change(now).into_iter().chain(wait_end).min();
        self.decided = Some(now);
        self.due = due.map(|due| due.max(now + DECISION_INTERVAL));
        actions
    }

    /// The next time at which a decision is due without an event.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let changes = self.states.values().flat_map(|state| {
            let probe = (!state.probing).then_some(state.next_probe.unwrap_or(now));
            let drained = state.draining_since.map(|since| since + self.timing.drain_limit);
            let ends = state.pending.values().map(|order| order.until);
            probe.into_iter().chain(drained.into_iter().chain(ends).filter(move |at| *at > now))
        });
        changes.min()
    }

    /// The servers that still lack the planned version, by model of the plan.
    pub fn pending(&self) -> BTreeMap<ModelId, PendingServers> {
        let pending = self.plan.weights.iter().map(|(model, weights)| {
            let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
            let states = servers.filter_map(|(server, _)| self.states.get(server));
            let behind = states.filter(|state| {
                let is_new = state.next_probe.is_none();
                (state.alive || is_new) && state.observed(model) != Some(weights)
            });
            let since = self.planned_since[model];
            let pending =
                PendingServers { weights: weights.clone(), since, servers: behind.count() };
            (model.clone(), pending)
        });
        pending.collect()
    }

    fn configure(&mut self, now: Instant, plan: OrderPlan) {
        self.planned_since
            .retain(|model, _| plan.weights.get(model) == self.plan.weights.get(model));
        for model in plan.weights.keys() {
            self.planned_since.entry(model.clone()).or_insert(now);
        }
        self.states.retain(|server, state| {
            let models = plan.servers.get(server);
            state.pending.retain(|model, _| models.is_some_and(|models| models.contains(model)));
            models.is_some()
        });
        for server in plan.servers.keys() {
            self.states.entry(server.clone()).or_default();
        }
        self.plan = plan;
    }

    /// Updates the lease; returns whether it differs from the previous one.
    ///
    /// No other replica can have led between the loss of a lease and its renewal in the same term,
    /// so observations and orders remain valid.
    fn update_lease(&mut self, lease: Option<(Term, Instant)>) -> bool {
        if let Some((term, _)) = lease
            && term != self.term
        {
            self.term = term;
            for state in self.states.values_mut() {
                *state = ServerState { probing: state.probing, ..ServerState::default() };
            }
        }
        let changed = self.lease != lease;
        self.lease = lease;
        changed
    }

    fn update_report(&mut self, now: Instant, server: &ServerId, report: Option<LoadReport>) {
        let count = u32::try_from(self.states.len()).unwrap_or(u32::MAX);
        let idle = self.timing.idle_probe_interval.max(IDLE_PROBE_SPACING.saturating_mul(count));
        let Some(state) = self.states.get_mut(server) else { return };
        state.probing = false;
        state.alive = report.as_ref().is_some_and(|report| !report.leaving);
        if let Some(report) = report {
            // A load ends when the server reports the ordered version, which allows another server
            // to load. If a later version is planned by then, the server is queued like all others.
            let before = state.pending.len();
            state.pending.retain(|model, order| report.weights.get(model) != Some(&order.weights));
            if state.pending.len() < before {
                state.draining_since = None;
            }
            state.report = Some(report);
        }
        let settled = self.is_settled(server);
        let Some(state) = self.states.get_mut(server) else { return };
        // An unresponsive server must not occupy one of the concurrent loads while it is draining.
        if settled || !state.alive {
            state.draining_since = None;
        }
        // A server that waits for its order does not change by itself and is probed at the idle
        // interval.
        let is_busy = !state.pending.is_empty()
            || state.draining_since.is_some()
            || (!settled && !state.alive);
        state.next_probe = Some(now + if is_busy { self.timing.busy_probe_interval } else { idle });
    }

    fn is_settled(&self, server: &ServerId) -> bool {
        let models = self.plan.servers.get(server).into_iter().flatten();
        models.into_iter().all(|model| self.observed(server, model) == self.plan.weights.get(model))
    }

    fn observed(&self, server: &ServerId, model: &ModelId) -> Option<&WeightsVersion> {
        self.states.get(server)?.observed(model)
    }

    fn is_recorded(&self, model: &ModelId, version: &WeightsVersion) -> bool {
        self.desired.get(model).is_some_and(|(known, _)| known == version)
    }

    /// Proposes the planned versions to the replicated state, which assigns a fencing number to
    /// each change.
    fn propose(&mut self, actions: &mut Vec<OrderAction>) {
        for (model, version) in &self.plan.weights {
            if self.is_recorded(model, version) || self.proposing.contains(model) {
                continue;
            }
            if self.proposing.len() >= MAX_PROPOSALS {
                return;
            }
            self.proposing.insert(model.clone());
            let command = Command::DesireModel { model: model.clone(), weights: version.clone() };
            actions.push(OrderAction::Propose { model: model.clone(), command });
        }
    }

    fn probe(&mut self, now: Instant, actions: &mut Vec<OrderAction>) {
        let probing = self.states.values().filter(|state| state.probing).count();
        let free = MAX_PROBES.saturating_sub(probing);
        let due = |state: &ServerState| state.next_probe.is_none_or(|at| now >= at);
        let servers = self.states.iter_mut().filter(|(_, state)| !state.probing && due(state));
        let mut servers: Vec<_> = servers.collect();
        // Probes start in the order in which they are due. In the order of names, unresponsive
        // servers at the start of the list would occupy all probes.
        servers.sort_by_key(|(_, state)| state.next_probe);
        for (server, state) in servers.into_iter().take(free) {
            state.probing = true;
            actions.push(OrderAction::Probe { server: server.clone() });
        }
    }

    /// Orders the desired versions at servers that do not report them, model by model, within the
    /// limit on concurrent loads.
    fn order(&mut self, now: Instant, term: Term, actions: &mut Vec<OrderAction>) {
        let models: Vec<ModelId> = self.plan.weights.keys().cloned().collect();
        for model in models {
            let other_loads = self.count_loads(now, |known| *known != model);
            let Some(limit) = self.plan.limit.max(1).checked_sub(other_loads) else { return };
            if limit == 0 {
                return;
            }
            let step = next_step(&self.rollout(now, &model), limit);
            for server in step.drain {
                if let Some(state) = self.states.get_mut(&server) {
                    state.draining_since.get_or_insert(now);
                }
                actions.push(OrderAction::Drain { server });
            }
            for server in step.load {
                actions.extend(self.create_order(now, term, server, model.clone()));
            }
        }
    }

    fn count_loads(&self, now: Instant, of: impl Fn(&ModelId) -> bool) -> u32 {
        let pending = self.states.values().flat_map(|state| &state.pending);
        pending.filter(|(model, order)| of(model) && now < order.until).count() as u32
    }

    /// The servers of a model, once its version is in the replicated state; empty before.
    fn rollout(&self, now: Instant, model: &ModelId) -> BTreeMap<ServerId, RolloutServer> {
        let recorded =
            self.plan.weights.get(model).filter(|version| self.is_recorded(model, version));
        let Some(version) = recorded else { return BTreeMap::new() };
        let servers = self.plan.servers.iter().filter(|(_, models)| models.contains(model));
        servers
            .filter_map(|(server, _)| {
                let state = self.states.get(server)?;
                let drained = state
                    .draining_since
                    .is_some_and(|since| now >= since + self.timing.drain_limit);
                let running = state.report.as_ref().map_or(0, |report| report.running);
                let rollout = RolloutServer {
                    desired: version.clone(),
                    observed: state.observed(model).cloned(),
                    loading: state.is_loading(model, now),
                    draining: state.draining_since.is_some(),
                    alive: state.alive,
                    in_flight: if drained { 0 } else { running },
                };
                Some((server.clone(), rollout))
            })
            .collect()
    }

    fn create_order(
        &mut self,
        now: Instant,
        term: Term,
        server: ServerId,
        model: ModelId,
    ) -> Option<OrderAction> {
        let (weights, _) = self.desired.get(&model)?.clone();
        // A server compares the numbers across all models, so each order carries the highest
        // number.
        let fencing = self.desired.values().map(|(_, number)| *number).max()?;
        let state = self.states.get_mut(&server)?;
        self.next_number += 1;
        let number = self.next_number;
        let until = now + self.timing.load_limit;
        state
            .pending
            .insert(model.clone(), PendingOrder { number, weights: weights.clone(), until });
        // Before the order the server was probed at the idle interval.
        state.next_probe = Some(now + self.timing.busy_probe_interval);
        let observed = state.observed(&model).cloned();
        let ordered = state.ordered.entry(model.clone()).or_default();
        if ordered.0 != weights {
            *ordered = (weights.clone(), 0);
        }
        let earlier_orders = ordered.1;
        ordered.1 += 1;
        let planned_for =
            self.planned_since.get(&model).map_or(Duration::ZERO, |since| now - *since);
        let reason = OrderReason { observed, planned_for, earlier_orders };
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
