//! Weights that operators name every few seconds reach all servers, and nothing begins on weights
//! that were replaced long ago.

use {
    oleandermount::{
        control::document::NamedWeights,
        daemon::weight_orders::order_core::{
            OrderAction, OrderCore, OrderInput, OrderPlan, OrderResult,
        },
        edge::view::EdgeView,
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        ids::FencingNumber,
        node::{
            named_clock::{NamedClock, REQUIRED_AFTER},
            orders::FLEET_TIMING,
        },
        policy::{
            LoadReport,
            rollout::{RolloutServer, next_step},
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

/// The same server loaded version after version while others waited. Order of events: it is held
/// back and loads version 2; version 3 is named meanwhile; when it has loaded it has to wait for its
/// turn like the others, and its load is noticed at once and not only when it is looked at as one
/// that waits.
#[test]
fn a_load_ends_the_turn() {
    let mut core = OrderCore::with_timing(FLEET_TIMING);
    let mut now = Instant::now();
    let place = |server: &str| (server.to_owned(), "m0".to_owned());
    let report = |server: &str, version: &str, running| LoadReport {
        server: server.to_owned(),
        incarnation: 1,
        weights: [("m0".to_owned(), version.to_owned())].into(),
        running,
        waiting: 0,
        waiting_tokens: 0,
        cache_used: 0.0,
        leaving: false,
    };
    let want = |version: &str, index| {
        let servers = ["s0", "s1", "s2"];
        let wanted = servers.map(|server| (place(server), version.to_owned())).into();
        let number = FencingNumber { term: 1, index };
        let desired = servers.map(|server| (place(server), (version.to_owned(), number))).into();
        [
            OrderInput::Configure(OrderPlan { limit: 1, wanted }),
            OrderInput::Desired(Arc::new(desired)),
        ]
    };
    let mut inputs = vec![OrderInput::Lease(Some((1, now)))];
    inputs.extend(want("2", 1).into_iter().rev());
    let mut versions = BTreeMap::from([("s0", "1"), ("s1", "1"), ("s2", "1")]);
    let mut ordered: Vec<(String, String)> = Vec::new();
    let mut load: Option<(&str, &str, Instant)> = None;
    let begin = now;
    let mut renamed = false;
    while now < begin + Duration::from_secs(12) {
        now += Duration::from_millis(20);
        if !renamed && ordered.len() == 1 {
            inputs.extend(want("3", 2).into_iter().rev());
            renamed = true;
        }
        if let Some((server, version, until)) = load
            && now >= until
        {
            versions.insert(server, version);
            load = None;
        }
        inputs.insert(0, OrderInput::Wake);
        while let Some(input) = inputs.pop() {
            for action in core.handle(now, input) {
                match action {
                    OrderAction::Look { server } => {
                        let version = versions[server.as_str()];
                        let report = Some(report(&server, version, 3));
                        inputs.push(OrderInput::Looked { server, report });
                    }
                    OrderAction::Order(order) => {
                        let server =
                            ["s0", "s1", "s2"].into_iter().find(|one| *one == order.server);
                        let version = if order.weights == "2" { "2" } else { "3" };
                        let until = now + Duration::from_millis(400);
                        load = Some((server.expect("it is known"), version, until));
                        ordered.push((order.server.clone(), order.weights.clone()));
                        let result = OrderResult::Taken;
                        let (place, number) = ((order.server, order.model), order.number);
                        inputs.push(OrderInput::Ordered { place, number, result });
                    }
                    OrderAction::Drain { .. } | OrderAction::Propose { .. } => {}
                }
            }
        }
    }
    let servers: Vec<&str> = ordered.iter().map(|(server, _)| server.as_str()).collect();
    assert_eq!(ordered.len(), 4, "{ordered:?}");
    assert_eq!(servers[3], servers[0], "who loaded version 2 comes last: {ordered:?}");
    assert!(versions.values().all(|version| *version == "3"), "{versions:?}");
}

#[test]
fn required_after_a_while() {
    let mut clock = NamedClock::default();
    let begin = Instant::now();
    assert_eq!(clock.note(begin, &named(2)), NamedWeights::new());
    let later = begin + Duration::from_secs(3);
    assert_eq!(clock.note(later, &named(3)), NamedWeights::new());
    assert_eq!(clock.next_change(), Some(begin + REQUIRED_AFTER));
    assert_eq!(clock.note(begin + REQUIRED_AFTER, &named(3)), named(2));
    assert_eq!(clock.note(later + REQUIRED_AFTER, &named(3)), named(3));
    assert_eq!(clock.next_change(), None);
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
