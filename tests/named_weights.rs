//! Weights that operators name every few seconds reach all servers, and nothing begins on weights
//! that were replaced long ago.

use {
    oleandermount::{
        control::document::NamedWeights,
        daemon::weight_orders::order_core::{
            OLD_LEASE, ORDER_LIFE, OrderAction, OrderCore, OrderInput, OrderPlan, OrderResult,
        },
        edge::view::EdgeView,
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        ids::FencingNumber,
        policy::{
            LoadReport,
            rollout::{RolloutServer, next_step},
        },
        roles::{
            fleet_orders::FLEET_TIMING,
            required_weights::{REQUIRED_AFTER, REQUIRED_AFTER_ELECTION, RequiredWeights},
        },
        routing::{RouteIndex, RouteKind, RouteRule, RouteTable, ServiceRule},
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn named(version: u64) -> NamedWeights {
    NamedWeights::from([("m0".to_owned(), version)])
}

/// Callers of one server got answers of weights that had been replaced twice. Order of events: a
/// version is named while a busy server still has the first one; quick servers load each new
/// version, and the busy one never has its turn.
#[test]
fn oldest_loads_first() {
    let server = |observed: &str, in_flight| RolloutServer {
        desired: "4".to_owned(),
        observed: Some(observed.to_owned()),
        loading: false,
        draining: false,
        alive: true,
        in_flight,
    };
    let servers = BTreeMap::from([
        ("a".to_owned(), server("3", 0)),
        ("b".to_owned(), server("1", 20)),
        ("c".to_owned(), server("2", 5)),
    ]);
    let step = next_step(&servers, 1);
    assert_eq!((step.drain, step.load), (vec!["b".to_owned()], vec![]));
}

/// Three engines of which one may load at a time; each load takes 400 ms.
struct TurnBench {
    core: OrderCore,
    now: Instant,
    versions: BTreeMap<String, String>,
    /// The load under way: where, to which version, and until when.
    load: Option<(String, String, Instant)>,
    /// Orders in the order in which they were given.
    ordered: Vec<(String, String)>,
    /// Whether servers refuse lower numbers.
    fenced: bool,
}

impl TurnBench {
    const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

    fn new() -> Self {
        TurnBench {
            core: OrderCore::with_timing(FLEET_TIMING),
            now: Instant::now(),
            versions: Self::SERVERS.map(|server| (server.to_owned(), "1".to_owned())).into(),
            load: None,
            ordered: Vec::new(),
            fenced: false,
        }
    }

    fn want(&mut self, version: &str, index: u64) {
        let model = "m0".to_owned();
        let weights = [(model.clone(), version.to_owned())].into();
        let servers = Self::SERVERS.map(|server| (server.to_owned(), [model.clone()].into()));
        let number = FencingNumber { term: 1, index };
        let desired = [(model, (version.to_owned(), number))].into();
        let (servers, fenced) = (servers.into(), self.fenced);
        self.give(OrderInput::Configure(OrderPlan { limit: 1, weights, servers, fenced }));
        self.give(OrderInput::Desired(Arc::new(desired)));
    }

    fn give(&mut self, input: OrderInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.core.handle(self.now, input) {
                inputs.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: OrderAction) -> Option<OrderInput> {
        match action {
            OrderAction::Look { server } => {
                let report = LoadReport {
                    server: server.clone(),
                    incarnation: 1,
                    weights: [("m0".to_owned(), self.versions[&server].clone())].into(),
                    running: 3,
                    waiting: 0,
                    waiting_tokens: 0,
                    cache_used: 0.0,
                    leaving: false,
                };
                Some(OrderInput::Looked { server, report: Some(report) })
            }
            OrderAction::Order(order) => {
                let until = self.now + Duration::from_millis(400);
                self.load = Some((order.server.clone(), order.weights.clone(), until));
                self.ordered.push((order.server.clone(), order.weights));
                let (place, number) = ((order.server, order.model), order.number);
                Some(OrderInput::Ordered { place, number, result: OrderResult::Taken })
            }
            OrderAction::Drain { .. } | OrderAction::Propose { .. } => None,
        }
    }

    fn run(&mut self, time: Duration, until: impl Fn(&Self) -> bool) {
        let end = self.now + time;
        while self.now < end && !until(self) {
            self.now += Duration::from_millis(20);
            if let Some((server, version, _)) =
                self.load.take_if(|(_, _, until)| self.now >= *until)
            {
                self.versions.insert(server, version);
            }
            self.give(OrderInput::Wake);
        }
    }
}

/// The same server loaded version after version while others waited. Order of events: it is held
/// back and loads version 2; version 3 is named meanwhile; when it has loaded it has to wait for its
/// turn like the others, and its load is noticed at once and not only when it is looked at as one
/// that waits.
#[test]
fn a_load_ends_the_turn() {
    let mut bench = TurnBench::new();
    bench.give(OrderInput::Lease(Some((1, bench.now))));
    bench.want("2", 1);
    bench.run(Duration::from_secs(10), |bench| bench.ordered.len() == 1);
    bench.want("3", 2);
    bench.run(Duration::from_secs(9), |_| false);
    let servers: Vec<&str> = bench.ordered.iter().map(|(server, _)| server.as_str()).collect();
    assert_eq!(servers.len(), 4, "{:?}", bench.ordered);
    assert_eq!(servers[3], servers[0], "who loaded version 2 comes last: {:?}", bench.ordered);
    assert!(bench.versions.values().all(|version| version == "3"), "{:?}", bench.versions);
}

#[test]
fn required_after_a_while() {
    let mut clock = RequiredWeights::default();
    let begin = Instant::now();
    assert_eq!(clock.update(begin, &named(2), 4), NamedWeights::new());
    let later = begin + Duration::from_secs(3);
    assert_eq!(clock.update(later, &named(3), 4), NamedWeights::new());
    assert_eq!(clock.next_change(), Some(begin + REQUIRED_AFTER));
    assert_eq!(clock.update(begin + REQUIRED_AFTER, &named(3), 4), named(2));
    assert_eq!(clock.update(later + REQUIRED_AFTER, &named(3), 4), named(3));
    assert_eq!(clock.next_change(), None);
}

/// Callers waited for seconds, or were refused, while most servers were idle. Order of events: a version
/// is named and the leader freezes before it has given an order; the next leader waits before its first
/// one; the version becomes required, and the first server to load it gets the work of all.
#[test]
fn new_leader_is_given_time() {
    let mut clock = RequiredWeights::default();
    let begin = Instant::now();
    clock.update(begin, &named(2), 4);
    let elected = begin + Duration::from_secs(2);
    assert_eq!(clock.update(elected, &named(2), 5), NamedWeights::new());
    assert_eq!(clock.update(begin + REQUIRED_AFTER, &named(2), 5), NamedWeights::new());
    assert_eq!(clock.next_change(), Some(elected + REQUIRED_AFTER_ELECTION));
    // What is named later is not required before what was named earlier.
    let later = elected + Duration::from_secs(1);
    assert_eq!(clock.update(later, &named(3), 5), NamedWeights::new());
    assert_eq!(clock.update(elected + REQUIRED_AFTER_ELECTION, &named(3), 5), named(3));
    assert_eq!(clock.next_change(), None);
    // The first leader that an entry hears of postpones nothing: it may have led for long.
    let mut clock = RequiredWeights::default();
    clock.update(begin, &named(2), 0);
    assert_eq!(clock.update(begin + REQUIRED_AFTER, &named(2), 5), named(2));
}

fn listed(id: &str, version: u64, phase: ServerPhase) -> ListedServer {
    ListedServer {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().expect("it is an address"),
        failure_domain: "d1".to_owned(),
        slots: 8,
        phase,
        life: 0,
        weights: named(version),
    }
}

fn index() -> Arc<RouteIndex> {
    let route = RouteRule {
        name: "chat".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/chat/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_millis(600),
        class: Default::default(),
        attempts: 2,
        services: vec![("llm".to_owned(), 1)],
        anonymous: true,
        longest_pause: None,
    };
    let services = BTreeMap::from([("llm".to_owned(), ServiceRule::default())]);
    Arc::new(RouteIndex::new(Arc::new(RouteTable {
        number: 1,
        routes: vec![route],
        services,
        ..RouteTable::default()
    })))
}

/// A server that crashed comes back with the weights that it had, and is listed as ready at once.
/// Callers must not get answers of weights that were replaced long ago while others have newer ones;
/// where nobody has, old weights are better than no answer.
#[test]
fn returned_server_waits() {
    let old = listed("i-1", 2, ServerPhase::Ready);
    let fleet = FleetSnapshot::new(vec![old.clone(), listed("i-2", 3, ServerPhase::Ready)]);
    let view = EdgeView::new(Some(index()), &fleet, &named(3), &named(3), 1);
    assert_eq!(view.outdated.iter().collect::<Vec<_>>(), ["i-1"]);
    let alone = FleetSnapshot::new(vec![old, listed("i-2", 3, ServerPhase::Draining)]);
    assert!(EdgeView::new(Some(index()), &alone, &named(3), &named(3), 1).outdated.is_empty());
}

/// Operators saw servers on replaced weights for three seconds more after each change of the leader.
/// Order of events: a leader that has just been elected finds weights named; it waits until nothing
/// that the former one sent can still arrive. Servers that check numbers refuse that one's orders, so
/// there it begins at once.
#[test]
fn new_leader_orders_at_once() {
    for fenced in [false, true] {
        let mut bench = TurnBench { fenced, ..TurnBench::new() };
        let elected = bench.now;
        bench.give(OrderInput::Lease(Some((1, elected))));
        bench.want("2", 1);
        bench.run(Duration::from_secs(10), |bench| !bench.ordered.is_empty());
        let waited = bench.now - elected;
        let drain = FLEET_TIMING.drain_limit;
        if fenced {
            assert!(waited < drain + Duration::from_millis(300), "{waited:?}");
        } else {
            assert!(waited > OLD_LEASE + ORDER_LIFE, "{waited:?}");
        }
    }
}
