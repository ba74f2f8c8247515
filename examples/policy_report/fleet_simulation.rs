//! Event loop of the simulation: callers, daemons and servers in virtual time.

mod faults;
mod servers;

use {
    super::{
        callers::{CallerOutcome, CallerRecord, parse_request_name},
        load_scenario::{DigestScope, LoadScenario, SiteFault},
        random_source::RandomSource,
        route_policy::{RoutePolicy, RouterIdentity, RouterMaker},
        run_metrics::RunMetrics,
        simulated_server::{ServerEvent, ServerJob, SimulatedServer},
        site::{MODEL, SitePlan, WEIGHTS},
        traffic::CallerWork,
    },
    oleandermount::{
        ids::AttemptId,
        policy::{
            AttemptFailure, CacheEvent, DomainDigest, LoadReport, PolicyAction, PolicyInput,
            PolicyView, SendOrder, ServerHealth,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One-way network delay between failure domains.
const INTER_DOMAIN_DELAY: Duration = Duration::from_micros(500);
/// One-way network delay within a failure domain.
const INTRA_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// Interval of the load reports and cache events of a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a cache event from a server to a daemon.
const CACHE_LAG: Duration = Duration::from_millis(1_500);
/// Delay of a digest between daemons.
const DIGEST_LAG: Duration = Duration::from_millis(50);
/// Time until membership detects a dead server, a restarted server or a network partition.
const DETECTION_LAG: Duration = Duration::from_secs(1);
/// Time until a connection attempt across a network partition fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from the crash of a server until it serves again.
const RESTART_TIME: Duration = Duration::from_secs(8);
/// Minimum time until the next `Wake` of a router.
const MIN_WAKEUP_INTERVAL: Duration = Duration::from_micros(200);
/// Virtual time after the last arrival at which a run ends even if requests are still open.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(200);

enum FleetEvent {
    Submit { request: usize },
    CallerTimeout { request: usize, submission: u32 },
    Input { daemon: usize, incarnation: u64, input: PolicyInput },
    Wake { daemon: usize, incarnation: u64 },
    JobArrival { server: usize, job: ServerJob },
    Cancel { server: usize, attempt: AttemptId },
    ServerAdvance { server: usize, incarnation: u64 },
    Report { server: usize },
    ServerRestart { server: usize },
    Fault { fault: SiteFault },
    DaemonRestart { daemon: usize },
    PartitionChange,
}

struct DaemonNode {
    router: Box<dyn RoutePolicy>,
    incarnation: u64,
    running: bool,
    /// Time of the earliest pending `Wake` event.
    scheduled_at: Option<Duration>,
}

struct ServerNode {
    simulated: SimulatedServer,
    /// Time of the earliest pending `ServerAdvance` event.
    scheduled_at: Option<Duration>,
    /// Whether the server answers each request with an error.
    failing: bool,
    /// Sequence number of the last cache event.
    sequence: u64,
}

struct AttemptRecord {
    request: usize,
    submission: u32,
    daemon: usize,
    /// Incarnation of the daemon that sent the attempt.
    incarnation: u64,
    server: usize,
    relayed_tokens: u32,
}

/// State of a running simulation.
pub struct FleetSimulation<'a> {
    plan: SitePlan,
    view: Arc<PolicyView>,
    make_router: &'a RouterMaker<'a>,
    epoch: Instant,
    now: Duration,
    queue: BTreeMap<(Duration, u64), FleetEvent>,
    /// Number of events scheduled so far; orders events of the same time.
    scheduled_events: u64,
    daemons: Vec<DaemonNode>,
    servers: Vec<ServerNode>,
    server_index: BTreeMap<String, usize>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    callers: Vec<CallerRecord>,
    open_requests: usize,
    /// Failure domain that a network partition separates from the others.
    partitioned: Option<usize>,
    cache_loss: f64,
    report_lag: Duration,
    digest_scope: DigestScope,
    source: RandomSource,
    run_metrics: RunMetrics,
}

/// Simulates `scenario` with routers created by `make_router` and returns what callers received.
pub fn run_scenario(
    scenario: LoadScenario,
    seed: u64,
    make_router: &RouterMaker<'_>,
) -> RunMetrics {
    let mut run = FleetSimulation::new(scenario, seed, make_router);
    run.start();
    run.run_to_end();
    run.into_metrics()
}

impl<'a> FleetSimulation<'a> {
    fn new(scenario: LoadScenario, seed: u64, make_router: &'a RouterMaker<'a>) -> Self {
        let mut source = RandomSource::new(seed, "fleet");
        let plan = scenario.plan;
        let daemons = (0..plan.daemons.len())
            .map(|index| DaemonNode {
                router: make_router(&router_identity(&plan, index, &mut source)),
                incarnation: 1,
                running: true,
                scheduled_at: None,
            })
            .collect();
        let servers = plan.servers.iter().map(|placement| ServerNode {
            simulated: SimulatedServer::new(placement.properties.clone(), 1),
            scheduled_at: None,
            failing: false,
            sequence: 0,
        });
        let mut run = FleetSimulation {
            view: Arc::new(plan.view()),
            make_router,
            epoch: Instant::now(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            scheduled_events: 0,
            daemons,
            servers: servers.collect(),
            server_index: plan
                .servers
                .iter()
                .enumerate()
                .map(|(index, placement)| (placement.id.clone(), index))
                .collect(),
            attempts: BTreeMap::new(),
            open_requests: scenario.requests.len(),
            callers: scenario.requests.into_iter().map(CallerRecord::new).collect(),
            partitioned: None,
            cache_loss: scenario.cache_loss,
            report_lag: scenario.report_lag,
            digest_scope: scenario.digest_scope,
            source,
            run_metrics: RunMetrics::new(scenario.warm_up),
            plan,
        };
        for (at, fault) in scenario.faults {
            run.schedule(at, FleetEvent::Fault { fault });
        }
        run
    }

    fn start(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.send_initial_state(daemon);
        }
        for server in 0..self.servers.len() {
            // Random offsets keep the servers from reporting at the same time.
            let offset = REPORT_INTERVAL.mul_f64(self.source.unit());
            self.schedule(offset, FleetEvent::Report { server });
        }
        for request in 0..self.callers.len() {
            self.schedule(self.callers[request].request.at, FleetEvent::Submit { request });
        }
    }

    fn run_to_end(&mut self) {
        let last = self.callers.last().map_or(Duration::ZERO, |caller| caller.request.at);
        while self.open_requests > 0 {
            let ((at, _), event) =
                self.queue.pop_first().expect("servers always schedule their next report");
            if at > last + MAX_DRAIN_TIME {
                break;
            }
            self.now = at;
            self.process_event(event);
        }
    }

    fn into_metrics(self) -> RunMetrics {
        let mut run_metrics = self.run_metrics;
        run_metrics.callers = self.callers;
        run_metrics
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), event);
    }

    fn process_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Submit { request } => self.submit_request(request),
            FleetEvent::CallerTimeout { request, submission } => {
                self.time_out_caller(request, submission)
            }
            FleetEvent::Input { daemon, incarnation, input } => {
                if self.daemons[daemon].running && self.daemons[daemon].incarnation == incarnation {
                    self.deliver(daemon, input);
                }
            }
            FleetEvent::Wake { daemon, incarnation } => {
                let node = &mut self.daemons[daemon];
                if node.running
                    && node.incarnation == incarnation
                    && node.scheduled_at.is_some_and(|at| at <= self.now)
                {
                    node.scheduled_at = None;
                    self.deliver(daemon, PolicyInput::Wake);
                }
            }
            FleetEvent::JobArrival { server, job } => self.accept(server, job),
            FleetEvent::Cancel { server, attempt } => {
                let events = self.servers[server].simulated.cancel(self.now, attempt);
                self.handle_server_events(server, events);
            }
            FleetEvent::ServerAdvance { server, incarnation } => {
                let node = &mut self.servers[server];
                if node.simulated.incarnation == incarnation && node.scheduled_at == Some(self.now)
                {
                    node.scheduled_at = None;
                    let events = node.simulated.advance(self.now);
                    self.handle_server_events(server, events);
                }
            }
            FleetEvent::Report { server } => self.report(server),
            FleetEvent::ServerRestart { server } => self.restart_server(server),
            FleetEvent::Fault { fault } => self.inject_fault(fault),
            FleetEvent::DaemonRestart { daemon } => self.restart_daemon(daemon),
            FleetEvent::PartitionChange => self.handle_partition_change(),
        }
    }

    // Events of callers.

    fn submit_request(&mut self, request: usize) {
        let count = self.daemons.len();
        let caller = &mut self.callers[request];
        let start = caller.request.first_daemon + caller.submissions as usize;
        let available =
            (0..count).map(|offset| (start + offset) % count).find(|i| self.daemons[*i].running);
        let Some(daemon) = available else {
            self.schedule(self.now + CONNECT_TIMEOUT, FleetEvent::Submit { request });
            return;
        };
        caller.record_submission(self.now, daemon);
        let ticket = caller.ticket(request, self.epoch);
        let timeout = caller.deadline + INTER_DOMAIN_DELAY;
        let submission = caller.submissions;
        self.schedule(timeout.max(self.now), FleetEvent::CallerTimeout { request, submission });
        self.deliver(daemon, PolicyInput::Arrive(ticket));
    }

    /// Ends the wait of a caller. A policy that enforces deadlines has refused the request before.
    fn time_out_caller(&mut self, request: usize, submission: u32) {
        let caller = &mut self.callers[request];
        let (Some(daemon), None) = (caller.daemon, caller.first_token) else { return };
        if caller.submissions != submission || caller.outcome.is_some() {
            return;
        }
        let name = super::callers::request_name(request, submission);
        self.deliver_refusal(request, "caller_gone", None);
        self.deliver(daemon, PolicyInput::CallerDisconnected { request: name });
    }

    fn deliver_refusal(
        &mut self,
        request: usize,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) {
        let retry_at =
            self.callers[request].handle_refusal(self.now, reason, retry_after, &mut self.source);
        self.schedule_retry(request, retry_at);
    }

    fn schedule_retry(&mut self, request: usize, retry_at: Option<Duration>) {
        match retry_at {
            Some(retry_at) => self.schedule(retry_at, FleetEvent::Submit { request }),
            None => self.open_requests -= 1,
        }
    }

    // Inputs and actions of daemons.

    /// Delivers the inputs that a daemon receives at its start: configuration, reachable failure
    /// domains and the health of the servers.
    fn send_initial_state(&mut self, daemon: usize) {
        self.deliver(daemon, PolicyInput::Configure(self.view.clone()));
        self.notify_reachability(daemon);
        for server in 0..self.servers.len() {
            if self.can_reach(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                self.deliver(daemon, self.health_input(server));
            }
        }
    }

    fn health_input(&self, server: usize) -> PolicyInput {
        let simulated = &self.servers[server].simulated;
        let health = match simulated.alive {
            true => ServerHealth::Alive { incarnation: simulated.incarnation },
            false => ServerHealth::Dead,
        };
        PolicyInput::Health { server: self.plan.servers[server].id.clone(), health }
    }

    fn deliver(&mut self, daemon: usize, input: PolicyInput) {
        if !self.record_input(daemon, &input) {
            return;
        }
        let now = self.epoch + self.now;
        for action in self.daemons[daemon].router.handle(now, input) {
            self.execute(daemon, action);
        }
        self.schedule_wakeup(daemon);
    }

    fn schedule_wakeup(&mut self, daemon: usize) {
        let node = &mut self.daemons[daemon];
        let Some(wakeup) = node.router.next_wakeup() else { return };
        let wakeup =
            wakeup.saturating_duration_since(self.epoch).max(self.now + MIN_WAKEUP_INTERVAL);
        if node.scheduled_at.is_none_or(|scheduled_at| wakeup < scheduled_at) {
            node.scheduled_at = Some(wakeup);
            let incarnation = node.incarnation;
            self.schedule(wakeup, FleetEvent::Wake { daemon, incarnation });
        }
    }

    /// Updates the caller's record with an input. Returns false for an input of an attempt that is
    /// no longer open; the daemon's driver drops such inputs as well.
    fn record_input(&mut self, daemon: usize, input: &PolicyInput) -> bool {
        match input {
            PolicyInput::FirstToken { attempt, .. } => self.relay(*attempt, daemon, 1),
            PolicyInput::Progress { attempt, tokens } => self.relay(*attempt, daemon, *tokens),
            PolicyInput::Finished { attempt, .. } => {
                let Some(record) = self.attempts.remove(attempt) else { return false };
                let caller = &mut self.callers[record.request];
                if caller.submissions == record.submission && caller.outcome.is_none() {
                    let received_at = self.now + super::callers::CALLER_DELAY;
                    caller.outcome = Some((received_at, CallerOutcome::Answered));
                    caller.daemon = None;
                    self.open_requests -= 1;
                }
                true
            }
            PolicyInput::Failed { attempt, .. } => self.attempts.remove(attempt).is_some(),
            _ => true,
        }
    }

    fn relay(&mut self, attempt: AttemptId, daemon: usize, tokens: u32) -> bool {
        let Some(record) = self.attempts.get_mut(&attempt) else { return false };
        debug_assert_eq!(record.daemon, daemon);
        record.relayed_tokens += tokens;
        let caller = &mut self.callers[record.request];
        if caller.submissions == record.submission && caller.outcome.is_none() {
            let received_at = self.now + super::callers::CALLER_DELAY;
            caller.first_token.get_or_insert(received_at);
        }
        true
    }

    fn execute(&mut self, daemon: usize, action: PolicyAction) {
        match action {
            PolicyAction::Send(order) => self.send(daemon, order),
            PolicyAction::Cancel { attempt, .. } => self.cancel(attempt),
            PolicyAction::Refuse { request, reason, retry_after, .. } => {
                let (index, submission) = parse_request_name(&request);
                let caller = &self.callers[index];
                if caller.submissions == submission
                    && caller.outcome.is_none()
                    && caller.daemon.is_some()
                {
                    self.deliver_refusal(index, reason.as_str(), retry_after);
                }
            }
            PolicyAction::Probe { server } => self.probe(daemon, server),
            PolicyAction::Publish(digest) => self.publish(daemon, digest),
            PolicyAction::CountRetry { .. } => self.run_metrics.retries += 1,
            PolicyAction::Withdraw { .. } => unreachable!("no weights are replaced here"),
        }
    }

    fn publish(&mut self, daemon: usize, digest: DomainDigest) {
        let domain = self.plan.daemons[daemon].domain;
        for peer in 0..self.daemons.len() {
            let peer_domain = self.plan.daemons[peer].domain;
            let receives = match self.digest_scope {
                DigestScope::OwnDomain => peer_domain == domain,
                DigestScope::AllDomains => self.can_reach(domain, peer_domain),
            };
            if receives && peer != daemon {
                self.schedule_input(peer, DIGEST_LAG, PolicyInput::Digest(digest.clone()));
            }
        }
    }

    fn probe(&mut self, daemon: usize, server: String) {
        let index = self.server_index[&server];
        let from = self.plan.daemons[daemon].domain;
        let answered = self.servers[index].simulated.alive
            && self.can_reach(from, self.plan.servers[index].domain);
        let delay = if answered { self.network_delay(daemon, index) * 2 } else { CONNECT_TIMEOUT };
        self.schedule_input(daemon, delay, PolicyInput::Probed { server, answered });
    }

    fn schedule_input(&mut self, daemon: usize, delay: Duration, input: PolicyInput) {
        let incarnation = self.daemons[daemon].incarnation;
        self.schedule(self.now + delay, FleetEvent::Input { daemon, incarnation, input });
    }

    fn send(&mut self, daemon: usize, order: SendOrder) {
        let (request, submission) = parse_request_name(&order.request);
        let server = self.server_index[&order.server];
        let caller = &mut self.callers[request];
        caller.sends += 1;
        caller.possible_runs += 1;
        if !caller.request.repeatable && caller.possible_runs > 1 {
            self.run_metrics.violations.push(format!("{} sent twice", order.request));
        }
        if caller.first_token.is_some()
            && caller.submissions == submission
            && order.resume_after == 0
        {
            self.run_metrics.violations.push(format!("{} streamed twice", order.request));
        }
        let (levels, output_tokens, service_time) = match &caller.request.work {
            CallerWork::Model { levels, output_tokens } => (levels.clone(), *output_tokens, None),
            CallerWork::Service { run } => (Vec::new(), 1, Some(*run)),
        };
        let job = ServerJob {
            attempt: order.attempt,
            priority: order.priority,
            levels,
            output_tokens,
            resume_after: order.resume_after,
            service_time,
            poison: caller.request.poison,
        };
        let incarnation = self.daemons[daemon].incarnation;
        let record =
            AttemptRecord { request, submission, daemon, incarnation, server, relayed_tokens: 0 };
        self.attempts.insert(order.attempt, record);
        if self.can_reach(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
            let arrival = self.now + self.network_delay(daemon, server);
            self.schedule(arrival, FleetEvent::JobArrival { server, job });
        } else {
            self.fail(order.attempt, CONNECT_TIMEOUT, AttemptFailure::NotConnected);
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(record) = self.attempts.remove(&attempt) {
            let arrival = self.now + self.network_delay(record.daemon, record.server);
            self.schedule(arrival, FleetEvent::Cancel { server: record.server, attempt });
        }
    }

    fn fail(&mut self, attempt: AttemptId, delay: Duration, failure: AttemptFailure) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        if failure == AttemptFailure::NotConnected {
            self.callers[record.request].possible_runs -= 1;
        }
        let (daemon, relayed_tokens) = (record.daemon, record.relayed_tokens);
        if self.daemons[daemon].incarnation == record.incarnation {
            let input = PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after: None };
            self.schedule_input(daemon, delay, input);
        }
    }

    fn network_delay(&self, daemon: usize, server: usize) -> Duration {
        match self.plan.daemons[daemon].domain == self.plan.servers[server].domain {
            true => INTRA_DOMAIN_DELAY,
            false => INTER_DOMAIN_DELAY,
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        from == to
            || self.partitioned.is_none_or(|partitioned| partitioned != from && partitioned != to)
    }
}

fn router_identity(plan: &SitePlan, daemon: usize, source: &mut RandomSource) -> RouterIdentity {
    let placement = &plan.daemons[daemon];
    RouterIdentity {
        daemon: placement.vm.clone(),
        failure_domain: plan.domains[placement.domain].clone(),
        seed: source.seed(),
    }
}
