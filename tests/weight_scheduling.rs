//! Scheduling of loads when operators name versions faster than the servers of a large deployment
//! can load them, in virtual time and without a network.

use {
    oleandermount::{
        control::{Command, orders::DesiredWeights},
        daemon::weight_orders::order_core::*,
        ids::{FencingNumber, ServerId, WeightsNumber},
        policy::LoadReport,
        roles::fleet_orders::FLEET_TIMING,
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
const STEP: Duration = Duration::from_millis(10);
/// Time from a proposal to its commit while the control VMs are busy.
const COMMIT_TIME: Duration = Duration::from_millis(250);
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Age of the state in a server's report.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// How long a server may stay on weights after newer ones were named.
const AGE_ALLOWED: Duration = Duration::from_secs(8);

struct BusyEngine {
    /// Loaded versions with the time of each load; the last one is current.
    versions: Vec<(Instant, WeightsNumber)>,
    load: Option<(WeightsNumber, Instant)>,
}

impl BusyEngine {
    fn version_at(&self, moment: Instant) -> WeightsNumber {
        let had = self.versions.iter().rev().find(|(since, _)| *since <= moment);
        had.unwrap_or(&self.versions[0]).1
    }
}

/// A leader that orders loads from engines that are always busy.
struct OrderBench {
    now: Instant,
    core: OrderCore,
    desired: DesiredWeights,
    log_index: u64,
    engines: BTreeMap<ServerId, BusyEngine>,
    commits: Vec<(Instant, OrderInput, Command)>,
    named: Vec<(Instant, WeightsNumber)>,
    /// Number of orders for a version that the server had accepted before.
    repeated: usize,
    /// Number of servers, from the first, that do not answer; a probe of one of them fails after 1 s.
    unresponsive: usize,
    pending_probes: Vec<(Instant, ServerId)>,
}

impl OrderBench {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let engine = |number| {
            let versions = vec![(now, 1)];
            (format!("i-{number:04}"), BusyEngine { versions, load: None })
        };
        let mut bench = OrderBench {
            now,
            core: OrderCore::with_timing(FLEET_TIMING),
            desired: DesiredWeights::new(),
            log_index: 0,
            engines: (0..count).map(engine).collect(),
            commits: Vec::new(),
            named: vec![(now, 1)],
            repeated: 0,
            unresponsive: 0,
            pending_probes: Vec::new(),
        };
        bench.handle_input(OrderInput::Lease(Some((1, now))));
        bench
    }

    fn name(&mut self, version: WeightsNumber) {
        self.named.push((self.now, version));
        let limit =
            u32::try_from(self.engines.len().div_ceil(6)).expect("the number of engines is small");
        let weights = [(MODEL.to_owned(), version.to_string())].into();
        let servers = self.engines.keys().map(|id| (id.clone(), [MODEL.to_owned()].into()));
        let plan = OrderPlan { limit, weights, servers: servers.collect(), fenced: true };
        self.handle_input(OrderInput::Configure(plan));
    }

    fn handle_input(&mut self, input: OrderInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.core.handle(self.now, input) {
                inputs.extend(self.handle_action(action));
            }
        }
    }

    fn handle_action(&mut self, action: OrderAction) -> Option<OrderInput> {
        match action {
            OrderAction::Propose { model, command } => {
                let input = OrderInput::Proposed { model };
                self.commits.push((self.now + COMMIT_TIME, input, command));
                None
            }
            OrderAction::Probe { server } if server < format!("i-{:04}", self.unresponsive) => {
                self.pending_probes.push((self.now + Duration::from_secs(1), server));
                None
            }
            OrderAction::Probe { server } => {
                let version = self.engines[&server].version_at(self.now - REPORT_LAG);
                let report = LoadReport {
                    server: server.clone(),
                    incarnation: 1,
                    weights: [(MODEL.to_owned(), version.to_string())].into(),
                    running: 5,
                    waiting: 0,
                    waiting_tokens: 0,
                    cache_used: 0.0,
                    leaving: false,
                };
                Some(OrderInput::Probed { server, report: Some(report) })
            }
            OrderAction::Drain { .. } => None,
            OrderAction::Order(order) => Some(self.accept(order)),
        }
    }

    fn accept(&mut self, order: WeightOrder) -> OrderInput {
        let version: WeightsNumber = order.weights.parse().expect("versions are numbers");
        let engine = self.engines.get_mut(&order.server).expect("the engine exists");
        let loading = engine.load.map(|(version, _)| version);
        let newest = loading.or(engine.versions.last().map(|(_, version)| *version));
        let mut result = OrderResult::NotTaken;
        if newest == Some(version) {
            self.repeated += 1;
            result = OrderResult::Taken;
        } else if loading.is_none() {
            engine.load = Some((version, self.now + LOAD_TIME));
            result = OrderResult::Taken;
        }
        OrderInput::Ordered { target: (order.server, order.model), number: order.number, result }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for engine in self.engines.values_mut() {
            if let Some((version, _)) = engine.load.take_if(|(_, until)| now >= *until) {
                engine.versions.push((now, version));
            }
        }
        let (due, later) = self.commits.drain(..).partition(|(at, ..)| now >= *at);
        self.commits = later;
        for (_, input, command) in due {
            let Command::DesireModel { model, weights } = command else {
                panic!("only weights are proposed")
            };
            self.log_index += 1;
            let number = FencingNumber { term: 1, index: self.log_index };
            self.desired.insert(model, (weights, number));
            self.handle_input(OrderInput::Desired(Arc::new(self.desired.clone())));
            self.handle_input(input);
        }
        let (ended, waiting) = self.pending_probes.drain(..).partition(|(at, _)| now >= *at);
        self.pending_probes = waiting;
        for (_, server) in ended {
            self.handle_input(OrderInput::Probed { server, report: None });
        }
        self.handle_input(OrderInput::Wake);
    }

    /// The longest time that any server has been on weights after newer ones were named.
    fn greatest_age(&self) -> Duration {
        let age = |engine: &BusyEngine| {
            let version = engine.version_at(self.now);
            let newer = self.named.iter().find(|(_, named)| *named > version);
            newer.map_or(Duration::ZERO, |(at, _)| self.now - *at)
        };
        self.engines.values().map(age).max().unwrap_or_default()
    }
}

/// Guards against servers that stay on weights that were replaced long ago: the servers listed last
/// were never selected while operators kept naming newer versions.
#[test]
fn all_servers_load_in_time() {
    for count in [320, 870] {
        let mut bench = OrderBench::new(count);
        let start = bench.now;
        let mut moments = [2_000, 5_100, 9_000, 13_000].map(Duration::from_millis).into_iter();
        let mut next = moments.next();
        for version in 2.. {
            while bench.now - start < next.unwrap_or(Duration::from_secs(30)) {
                bench.step();
                let age = bench.greatest_age();
                let at = bench.now - start;
                assert!(age <= AGE_ALLOWED, "{count} servers: weights {age:?} old at {at:?}");
            }
            let Some(_) = next else { break };
            bench.name(version);
            next = moments.next();
        }
        assert_eq!(bench.greatest_age(), Duration::ZERO, "all servers have the latest version");
    }
}

/// Guards against load slots that are wasted on orders for weights that a server has already accepted.
#[test]
fn accepted_orders_are_not_repeated() {
    let mut bench = OrderBench::new(60);
    for version in 2..6 {
        bench.name(version);
        for _ in 0..400 {
            bench.step();
        }
    }
    assert_eq!(bench.repeated, 0);
}

/// Guards against repeated orders and probes of all servers after a lease that lapsed for a moment and
/// was renewed in the same term.
#[test]
fn lapsed_lease_keeps_progress() {
    let mut bench = OrderBench::new(60);
    let lease = Some((1, bench.now));
    bench.name(2);
    for tick in 0..1_000 {
        bench.step();
        if tick % 50 == 0 {
            bench.handle_input(OrderInput::Lease(None));
            bench.handle_input(OrderInput::Lease(lease));
        }
    }
    assert_eq!(bench.repeated, 0);
    assert_eq!(bench.greatest_age(), Duration::ZERO, "all servers have the latest version");
}

/// Guards against servers that never load because servers listed before them do not answer: probes of
/// those servers occupied all slots.
#[test]
fn unresponsive_servers_do_not_block_others() {
    let mut bench = OrderBench::new(320);
    bench.unresponsive = 100;
    bench.name(2);
    for _ in 0..2_000 {
        bench.step();
    }
    let answering = bench.engines.values().skip(bench.unresponsive);
    let behind = answering.filter(|engine| engine.version_at(bench.now) < 2).count();
    assert_eq!(behind, 0, "responsive servers have the latest version after 20 s");
}

/// Guards against load slots that stay occupied by servers which became unresponsive while draining.
#[test]
fn unresponsive_servers_release_slots() {
    let mut bench = OrderBench::new(60);
    bench.name(2);
    for _ in 0..40 {
        bench.step();
    }
    bench.unresponsive = 10;
    for _ in 0..1_500 {
        bench.step();
    }
    let answering = bench.engines.values().skip(bench.unresponsive);
    let behind = answering.filter(|engine| engine.version_at(bench.now) < 2).count();
    assert_eq!(behind, 0, "responsive servers have the latest version after 15 s");
}
