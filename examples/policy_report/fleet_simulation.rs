//! Daemons, servers and callers in one virtual time.

mod faults;
mod servers;

use {
    super::{
        caller_record::{CallerOutcome, CallerRecord, parse_name},
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

/// One way between failure domains, and within one.
const FAR_DELAY: Duration = Duration::from_micros(500);
const NEAR_DELAY: Duration = Duration::from_micros(100);
/// Servers report load and publish cache events this often.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How late a cache event and a digest come.
const CACHE_LAG: Duration = Duration::from_millis(1_500);
const DIGEST_LAG: Duration = Duration::from_millis(50);
/// How long membership takes to find a server dead, back, or a domain cut off.
const FINDING_LAG: Duration = Duration::from_secs(1);
/// How long a connection attempt across a cut takes to fail.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a crashed server is away.
const REVIVAL: Duration = Duration::from_secs(8);
/// The shortest time between two wakes of a router.
const WAKE_GRAIN: Duration = Duration::from_micros(200);
/// What a run may last past its last arrival before it is given up as stuck.
const DRAIN_LIMIT: Duration = Duration::from_secs(200);

enum FleetEvent {
    Ask { request: usize },
    GiveUp { request: usize, ask: u32 },
    Input { daemon: usize, life: u64, input: PolicyInput },
    Wake { daemon: usize, life: u64 },
    Job { server: usize, job: ServerJob },
    Cancel { server: usize, attempt: AttemptId },
    Server { server: usize, incarnation: u64 },
    Report { server: usize },
    Revive { server: usize },
    Fault { fault: SiteFault },
    DaemonUp { daemon: usize },
    CutFound,
}

struct DaemonNode {
    router: Box<dyn RoutePolicy>,
    life: u64,
    up: bool,
    /// The earliest `Wake` on its way.
    armed: Option<Duration>,
}

struct ServerNode {
    model: SimulatedServer,
    armed: Option<Duration>,
    failing: bool,
    sequence: u64,
}

struct AttemptRecord {
    request: usize,
    ask: u32,
    daemon: usize,
    life: u64,
    server: usize,
    relayed: u32,
}

/// A run under way.
pub struct FleetSimulation<'a> {
    plan: SitePlan,
    view: Arc<PolicyView>,
    make: &'a RouterMaker<'a>,
    epoch: Instant,
    now: Duration,
    queue: BTreeMap<(Duration, u64), FleetEvent>,
    queued: u64,
    daemons: Vec<DaemonNode>,
    servers: Vec<ServerNode>,
    server_index: BTreeMap<String, usize>,
    attempts: BTreeMap<AttemptId, AttemptRecord>,
    callers: Vec<CallerRecord>,
    unsettled: usize,
    cut: Option<usize>,
    cache_loss: f64,
    report_lag: Duration,
    digest_scope: DigestScope,
    source: RandomSource,
    run_metrics: RunMetrics,
}

/// Runs `scene` with the routers that `make` makes, and says what callers got.
pub fn run_scenario(scenario: LoadScenario, seed: u64, make: &RouterMaker<'_>) -> RunMetrics {
    let mut run = FleetSimulation::new(scenario, seed, make);
    run.start();
    run.drain();
    run.finish()
}

impl<'a> FleetSimulation<'a> {
    fn new(scenario: LoadScenario, seed: u64, make: &'a RouterMaker<'a>) -> Self {
        let mut source = RandomSource::new(seed, "fleet");
        let plan = scenario.plan;
        let daemons = (0..plan.daemons.len())
            .map(|index| DaemonNode {
                router: make(&router_identity(&plan, index, &mut source)),
                life: 1,
                up: true,
                armed: None,
            })
            .collect();
        let servers = plan.servers.iter().map(|placement| ServerNode {
            model: SimulatedServer::new(placement.properties.clone(), 1),
            armed: None,
            failing: false,
            sequence: 0,
        });
        let mut run = FleetSimulation {
            view: Arc::new(plan.view()),
            make,
            epoch: Instant::now(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            queued: 0,
            daemons,
            servers: servers.collect(),
            server_index: plan
                .servers
                .iter()
                .enumerate()
                .map(|(index, placement)| (placement.id.clone(), index))
                .collect(),
            attempts: BTreeMap::new(),
            unsettled: scenario.requests.len(),
            callers: scenario.requests.into_iter().map(CallerRecord::new).collect(),
            cut: None,
            cache_loss: scenario.cache_loss,
            report_lag: scenario.report_lag,
            digest_scope: scenario.digest_scope,
            source,
            run_metrics: RunMetrics::new(scenario.warm_up),
            plan,
        };
        for (at, fault) in scenario.faults {
            run.at(at, FleetEvent::Fault { fault });
        }
        run
    }

    fn start(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.introduce(daemon);
        }
        for server in 0..self.servers.len() {
            // Servers do not report in step.
            let offset = REPORT_EVERY.mul_f64(self.source.unit());
            self.at(offset, FleetEvent::Report { server });
        }
        for request in 0..self.callers.len() {
            self.at(self.callers[request].request.at, FleetEvent::Ask { request });
        }
    }

    fn drain(&mut self) {
        let last = self.callers.last().map_or(Duration::ZERO, |caller| caller.request.at);
        while self.unsettled > 0 {
            let ((at, _), event) = self.queue.pop_first().expect("reports never end");
            if at > last + DRAIN_LIMIT {
                break;
            }
            self.now = at;
            self.step(event);
        }
    }

    fn finish(self) -> RunMetrics {
        let mut run_metrics = self.run_metrics;
        run_metrics.callers = self.callers;
        run_metrics
    }

    fn at(&mut self, at: Duration, event: FleetEvent) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn step(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Ask { request } => self.ask(request),
            FleetEvent::GiveUp { request, ask } => self.give_up(request, ask),
            FleetEvent::Input { daemon, life, input } => {
                if self.daemons[daemon].up && self.daemons[daemon].life == life {
                    self.deliver(daemon, input);
                }
            }
            FleetEvent::Wake { daemon, life } => {
                let node = &mut self.daemons[daemon];
                if node.up && node.life == life && node.armed.is_some_and(|at| at <= self.now) {
                    node.armed = None;
                    self.deliver(daemon, PolicyInput::Wake);
                }
            }
            FleetEvent::Job { server, job } => self.accept(server, job),
            FleetEvent::Cancel { server, attempt } => {
                let events = self.servers[server].model.cancel(self.now, attempt);
                self.server_events(server, events);
            }
            FleetEvent::Server { server, incarnation } => {
                let node = &mut self.servers[server];
                if node.model.incarnation == incarnation && node.armed == Some(self.now) {
                    node.armed = None;
                    let events = node.model.advance(self.now);
                    self.server_events(server, events);
                }
            }
            FleetEvent::Report { server } => self.report(server),
            FleetEvent::Revive { server } => self.revive(server),
            FleetEvent::Fault { fault } => self.strike(fault),
            FleetEvent::DaemonUp { daemon } => self.daemon_up(daemon),
            FleetEvent::CutFound => self.cut_found(),
        }
    }

    // Callers.

    fn ask(&mut self, request: usize) {
        let count = self.daemons.len();
        let caller = &mut self.callers[request];
        let first = caller.request.entry + caller.submissions as usize;
        let up = (0..count).map(|step| (first + step) % count).find(|i| self.daemons[*i].up);
        let Some(daemon) = up else {
            self.at(self.now + CONNECT_TIMEOUT, FleetEvent::Ask { request });
            return;
        };
        caller.ask(self.now, daemon);
        let ticket = caller.ticket(request, self.epoch);
        let give_up = caller.deadline + FAR_DELAY;
        let ask = caller.submissions;
        self.at(give_up.max(self.now), FleetEvent::GiveUp { request, ask });
        self.deliver(daemon, PolicyInput::Arrive(ticket));
    }

    /// The caller stops waiting; a policy that watches deadlines has refused it before.
    fn give_up(&mut self, request: usize, ask: u32) {
        let caller = &mut self.callers[request];
        let (Some(daemon), None) = (caller.daemon, caller.first_token) else { return };
        if caller.submissions != ask || caller.outcome.is_some() {
            return;
        }
        let name = super::caller_record::request_name(request, ask);
        self.refused(request, "caller_gone", None);
        self.deliver(daemon, PolicyInput::CallerDisconnected { request: name });
    }

    fn refused(&mut self, request: usize, reason: &'static str, retry_after: Option<Duration>) {
        let back =
            self.callers[request].handle_refusal(self.now, reason, retry_after, &mut self.source);
        self.come_back(request, back);
    }

    fn come_back(&mut self, request: usize, back: Option<Duration>) {
        match back {
            Some(back) => self.at(back, FleetEvent::Ask { request }),
            None => self.unsettled -= 1,
        }
    }

    // Daemons.

    /// Tells a fresh router what a daemon learns at its start.
    fn introduce(&mut self, daemon: usize) {
        self.deliver(daemon, PolicyInput::Configure(self.view.clone()));
        self.tell_reachable(daemon);
        for server in 0..self.servers.len() {
            if self.reaches(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
                self.deliver(daemon, self.health_of(server));
            }
        }
    }

    fn health_of(&self, server: usize) -> PolicyInput {
        let model = &self.servers[server].model;
        let health = match model.alive {
            true => ServerHealth::Alive { incarnation: model.incarnation },
            false => ServerHealth::Dead,
        };
        PolicyInput::Health { server: self.plan.servers[server].id.clone(), health }
    }

    fn deliver(&mut self, daemon: usize, input: PolicyInput) {
        if !self.note_input(daemon, &input) {
            return;
        }
        let now = self.epoch + self.now;
        for action in self.daemons[daemon].router.handle(now, input) {
            self.act(daemon, action);
        }
        self.arm_daemon(daemon);
    }

    fn arm_daemon(&mut self, daemon: usize) {
        let node = &mut self.daemons[daemon];
        let Some(wanted) = node.router.next_wakeup() else { return };
        let wanted = wanted.saturating_duration_since(self.epoch).max(self.now + WAKE_GRAIN);
        if node.armed.is_none_or(|armed| wanted < armed) {
            node.armed = Some(wanted);
            let life = node.life;
            self.at(wanted, FleetEvent::Wake { daemon, life });
        }
    }

    /// Passes on to the caller what an input brings it. False drops an input of an attempt that is
    /// no longer open, as the daemon's driver does.
    fn note_input(&mut self, daemon: usize, input: &PolicyInput) -> bool {
        match input {
            PolicyInput::FirstToken { attempt, .. } => self.relay(*attempt, daemon, 1),
            PolicyInput::Progress { attempt, tokens } => self.relay(*attempt, daemon, *tokens),
            PolicyInput::Finished { attempt, .. } => {
                let Some(record) = self.attempts.remove(attempt) else { return false };
                let caller = &mut self.callers[record.request];
                if caller.submissions == record.ask && caller.outcome.is_none() {
                    let heard = self.now + super::caller_record::CALLER_DELAY;
                    caller.outcome = Some((heard, CallerOutcome::Answered));
                    caller.daemon = None;
                    self.unsettled -= 1;
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
        record.relayed += tokens;
        let caller = &mut self.callers[record.request];
        if caller.submissions == record.ask && caller.outcome.is_none() {
            let heard = self.now + super::caller_record::CALLER_DELAY;
            caller.first_token.get_or_insert(heard);
        }
        true
    }

    fn act(&mut self, daemon: usize, action: PolicyAction) {
        match action {
            PolicyAction::Send(order) => self.send(daemon, order),
            PolicyAction::Cancel { attempt, .. } => self.cancel(attempt),
            PolicyAction::Refuse { request, reason, retry_after, .. } => {
                let (index, ask) = parse_name(&request);
                let caller = &self.callers[index];
                if caller.submissions == ask && caller.outcome.is_none() && caller.daemon.is_some()
                {
                    self.refused(index, reason.as_str(), retry_after);
                }
            }
            PolicyAction::Probe { server } => self.probe(daemon, server),
            PolicyAction::Publish(digest) => self.publish(daemon, digest),
            PolicyAction::CountRetry { .. } => self.run_metrics.retries += 1,
        }
    }

    fn publish(&mut self, daemon: usize, digest: DomainDigest) {
        let domain = self.plan.daemons[daemon].domain;
        for peer in 0..self.daemons.len() {
            let home = self.plan.daemons[peer].domain;
            let told = match self.digest_scope {
                DigestScope::OwnDomain => home == domain,
                DigestScope::AllDomains => self.reaches(domain, home),
            };
            if told && peer != daemon {
                self.input(peer, DIGEST_LAG, PolicyInput::Digest(digest.clone()));
            }
        }
    }

    fn probe(&mut self, daemon: usize, server: String) {
        let index = self.server_index[&server];
        let from = self.plan.daemons[daemon].domain;
        let answered =
            self.servers[index].model.alive && self.reaches(from, self.plan.servers[index].domain);
        let wait = if answered { self.delay(daemon, index) * 2 } else { CONNECT_TIMEOUT };
        self.input(daemon, wait, PolicyInput::Probed { server, answered });
    }

    fn input(&mut self, daemon: usize, wait: Duration, input: PolicyInput) {
        let life = self.daemons[daemon].life;
        self.at(self.now + wait, FleetEvent::Input { daemon, life, input });
    }

    fn send(&mut self, daemon: usize, order: SendOrder) {
        let (request, ask) = parse_name(&order.request);
        let server = self.server_index[&order.server];
        let caller = &mut self.callers[request];
        caller.sent += 1;
        caller.possible_runs += 1;
        if !caller.request.repeatable && caller.possible_runs > 1 {
            self.run_metrics.violations.push(format!("{} sent twice", order.request));
        }
        if caller.first_token.is_some() && caller.submissions == ask && order.resume_after == 0 {
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
        let life = self.daemons[daemon].life;
        let record = AttemptRecord { request, ask, daemon, life, server, relayed: 0 };
        self.attempts.insert(order.attempt, record);
        if self.reaches(self.plan.daemons[daemon].domain, self.plan.servers[server].domain) {
            let arrival = self.now + self.delay(daemon, server);
            self.at(arrival, FleetEvent::Job { server, job });
        } else {
            self.fail(order.attempt, CONNECT_TIMEOUT, AttemptFailure::NotConnected);
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(record) = self.attempts.remove(&attempt) {
            let arrival = self.now + self.delay(record.daemon, record.server);
            self.at(arrival, FleetEvent::Cancel { server: record.server, attempt });
        }
    }

    fn fail(&mut self, attempt: AttemptId, wait: Duration, failure: AttemptFailure) {
        let Some(record) = self.attempts.get(&attempt) else { return };
        if failure == AttemptFailure::NotConnected {
            self.callers[record.request].possible_runs -= 1;
        }
        let (daemon, relayed_tokens) = (record.daemon, record.relayed);
        if self.daemons[daemon].life == record.life {
            let input = PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after: None };
            self.input(daemon, wait, input);
        }
    }

    fn delay(&self, daemon: usize, server: usize) -> Duration {
        match self.plan.daemons[daemon].domain == self.plan.servers[server].domain {
            true => NEAR_DELAY,
            false => FAR_DELAY,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cut.is_none_or(|cut| cut != from && cut != to)
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
