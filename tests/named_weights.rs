//! Versions of weights that operators name every few seconds reach all servers, and no request starts
//! on weights that were replaced long ago.

use {
    oleandermount::{
        control::document::NamedWeights,
        daemon::weight_orders::order_core::{
            MAX_FORMER_LEASE, ORDER_TIMEOUT, OrderAction, OrderCore, OrderInput, OrderPlan,
            OrderResult,
        },
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        follow::{
            FollowReply, MAX_VERSIONS, SharedState, VersionAges, VersionTimes,
            weights_history::{VERSION_TIME, WeightsHistory},
        },
        ids::FencingNumber,
        policy::{
            LoadReport,
            rollout::{RolloutServer, next_step},
        },
        reverse_proxy::view::ProxyView,
        roles::{
            fleet_orders::FLEET_TIMING,
            required_weights::{
                BEGIN_WITHIN, BEGIN_WITHIN_ELECTION, REQUIRED_AFTER, REQUIRED_AFTER_ELECTION,
                RequiredWeights,
            },
        },
        routing::{
            CallerAccess, CallerLimits, RouteIndex, RouteKind, RouteRule, RouteTable, ServiceRule,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "m0";

fn named(version: u64) -> NamedWeights {
    NamedWeights::from([(MODEL.to_owned(), version)])
}

fn named_at(version: u64, at: Instant) -> BTreeMap<String, VersionTimes> {
    BTreeMap::from([(MODEL.to_owned(), VersionTimes::from([(version, at)]))])
}

/// Guards against a server that stays on weights that were replaced twice: a version is named while a
/// busy server still has the first one, idle servers load each new version, and the busy one is never
/// selected.
#[test]
fn server_with_oldest_weights_loads_first() {
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

/// Three engines, of which one may load at a time; a load takes 400 ms.
struct OrderBench {
    core: OrderCore,
    now: Instant,
    versions: BTreeMap<String, String>,
    /// The load in progress: server, version and end.
    load: Option<(String, String, Instant)>,
    /// Server and version of each order, in the order of sending.
    ordered: Vec<(String, String)>,
    /// Whether servers refuse lower fencing numbers.
    fenced: bool,
}

impl OrderBench {
    const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

    fn new() -> Self {
        OrderBench {
            core: OrderCore::with_timing(FLEET_TIMING),
            now: Instant::now(),
            versions: Self::SERVERS.map(|server| (server.to_owned(), "1".to_owned())).into(),
            load: None,
            ordered: Vec::new(),
            fenced: false,
        }
    }

    fn name_version(&mut self, version: &str, index: u64) {
        let model = "m0".to_owned();
        let weights = [(model.clone(), version.to_owned())].into();
        let servers = Self::SERVERS.map(|server| (server.to_owned(), [model.clone()].into()));
        let number = FencingNumber { term: 1, index };
        let desired = [(model, (version.to_owned(), number))].into();
        let (servers, fenced) = (servers.into(), self.fenced);
        self.handle_input(OrderInput::Configure(OrderPlan { limit: 1, weights, servers, fenced }));
        self.handle_input(OrderInput::Desired(Arc::new(desired)));
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
            OrderAction::Probe { server } => {
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
                Some(OrderInput::Probed { server, report: Some(report) })
            }
            OrderAction::Order(order) => {
                let until = self.now + Duration::from_millis(400);
                self.load = Some((order.server.clone(), order.weights.clone(), until));
                self.ordered.push((order.server.clone(), order.weights));
                let (target, number) = ((order.server, order.model), order.number);
                Some(OrderInput::Ordered { target, number, result: OrderResult::Taken })
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
            self.handle_input(OrderInput::Wake);
        }
    }
}

/// Guards against one server that loads version after version while others wait. The server is drained
/// and loads version 2 while version 3 is named. After the load it has to queue behind the others, and
/// the end of its load is detected at once, not at the next probe of queued servers.
#[test]
fn loaded_server_queues_again() {
    let mut bench = OrderBench::new();
    bench.handle_input(OrderInput::Lease(Some((1, bench.now))));
    bench.name_version("2", 1);
    bench.run(Duration::from_secs(10), |bench| bench.ordered.len() == 1);
    bench.name_version("3", 2);
    bench.run(Duration::from_secs(9), |_| false);
    let servers: Vec<&str> = bench.ordered.iter().map(|(server, _)| server.as_str()).collect();
    assert_eq!(servers.len(), 4, "{:?}", bench.ordered);
    assert_eq!(
        servers[3], servers[0],
        "the server that loaded version 2 is last: {:?}",
        bench.ordered
    );
    assert!(bench.versions.values().all(|version| version == "3"), "{:?}", bench.versions);
}

#[test]
fn version_becomes_required_after_delay() {
    let mut requirements = RequiredWeights::default();
    let start = Instant::now();
    assert_eq!(requirements.update(start, &named_at(2, start), 4), NamedWeights::new());
    let second = start + Duration::from_secs(3);
    assert_eq!(requirements.update(second, &named_at(3, second), 4), NamedWeights::new());
    assert_eq!(requirements.next_change(), Some(start + REQUIRED_AFTER));
    assert_eq!(
        requirements.update(start + REQUIRED_AFTER, &named_at(3, start + REQUIRED_AFTER), 4),
        named(2)
    );
    assert_eq!(
        requirements.update(second + REQUIRED_AFTER, &named_at(3, second + REQUIRED_AFTER), 4),
        named(3)
    );
    assert_eq!(requirements.next_change(), None);
}

/// Guards against callers that wait or are refused while most servers are idle: a version is named and
/// the leader pauses before it has sent an order; the next leader waits before its first order; the
/// version becomes required meanwhile, and the first server to load it gets all requests.
#[test]
fn new_leader_postpones_pending_versions() {
    let mut requirements = RequiredWeights::default();
    let start = Instant::now();
    requirements.update(start, &named_at(2, start), 4);
    let elected = start + Duration::from_secs(2);
    assert_eq!(requirements.update(elected, &named_at(2, elected), 5), NamedWeights::new());
    assert_eq!(
        requirements.update(start + REQUIRED_AFTER, &named_at(2, start + REQUIRED_AFTER), 5),
        NamedWeights::new()
    );
    assert_eq!(requirements.next_change(), Some(elected + REQUIRED_AFTER_ELECTION));
    // A version that is named later does not become required before an earlier one.
    let second = elected + Duration::from_secs(1);
    assert_eq!(requirements.update(second, &named_at(3, second), 5), NamedWeights::new());
    assert_eq!(
        requirements.update(
            elected + REQUIRED_AFTER_ELECTION,
            &named_at(3, elected + REQUIRED_AFTER_ELECTION),
            5
        ),
        named(3)
    );
    assert_eq!(requirements.next_change(), None);
    // The first leader that an entry learns of postpones nothing: it may have been elected long ago.
    let mut requirements = RequiredWeights::default();
    requirements.update(start, &named_at(2, start), 0);
    assert_eq!(
        requirements.update(start + REQUIRED_AFTER, &named_at(2, start + REQUIRED_AFTER), 5),
        named(2)
    );
}

/// Guards against versions that are named faster than they become required, and share a time.
#[test]
fn frequent_versions_keep_their_times() {
    let start = Instant::now();
    let step = Duration::from_millis(150);
    let times: VersionTimes =
        (1..=MAX_VERSIONS as u64).map(|n| (n, start + step * n as u32)).collect();
    let named_times = BTreeMap::from([(MODEL.to_owned(), times)]);
    let mut requirements = RequiredWeights::default();
    for version in [1, 2, 30, MAX_VERSIONS as u64] {
        let named_at = start + step * version as u32;
        assert_eq!(requirements.update(named_at + REQUIRED_AFTER, &named_times, 4), named(version));
        assert_eq!(requirements.begin_limits()[MODEL][&version], named_at + BEGIN_WITHIN);
    }
}

/// Guards against an entry that learns late of a version between two others.
#[test]
fn version_learned_later_counts() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let mut requirements = RequiredWeights::default();
    requirements.update(start, &named_at(3, start), 4);
    let times = VersionTimes::from([(2, start - second), (3, start)]);
    let all = BTreeMap::from([(MODEL.to_owned(), times)]);
    assert_eq!(requirements.update(start, &all, 4), NamedWeights::new());
    assert_eq!(requirements.next_change(), Some(start + REQUIRED_AFTER - second));
    assert_eq!(requirements.begin_limits()[MODEL][&2], start + BEGIN_WITHIN - second);
}

/// Requests begin on older weights for some time after the last one is sent, also after an election.
#[test]
fn begin_limits_follow_requirements() {
    let mut requirements = RequiredWeights::default();
    let start = Instant::now();
    requirements.update(start, &named_at(2, start), 4);
    assert_eq!(requirements.begin_limits()[MODEL], VersionTimes::from([(2, start + BEGIN_WITHIN)]));
    let elected = start + Duration::from_secs(2);
    requirements.update(elected, &named_at(2, start), 5);
    let postponed = elected + BEGIN_WITHIN_ELECTION;
    assert_eq!(requirements.begin_limits()[MODEL], VersionTimes::from([(2, postponed)]));
    // An election after the version is required changes nothing.
    let later = elected + REQUIRED_AFTER_ELECTION;
    assert_eq!(requirements.update(later, &named_at(2, start), 6), named(2));
    assert_eq!(requirements.begin_limits()[MODEL], VersionTimes::from([(2, postponed)]));
}

/// Guards against an entry that uses replaced weights for longer than others, since it has just started and
/// counts from then, or knows nothing of the version before the last one.
#[test]
fn started_entry_counts_from_naming() {
    let now = Instant::now() + 2 * REQUIRED_AFTER;
    let second = Duration::from_secs(1);
    let times = [(2, now - REQUIRED_AFTER), (3, now - REQUIRED_AFTER + second)];
    let times = BTreeMap::from([(MODEL.to_owned(), VersionTimes::from(times))]);
    let mut requirements = RequiredWeights::default();
    assert_eq!(requirements.update(now, &times, 4), named(2));
    assert_eq!(requirements.next_change(), Some(now + second));
    assert_eq!(requirements.update(now + second, &times, 4), named(3));
}

/// Guards against an entry that counts from the start of a control VM, although another one has known the
/// weights for longer.
#[test]
fn longest_known_weights_count() {
    let mut state = SharedState::default();
    let mut apply = |version: u64, ages: &[(u64, u64)]| {
        let ages = ages.iter().map(|(version, ms)| (*version, Duration::from_millis(*ms)));
        let weights_ages = BTreeMap::from([(MODEL.to_owned(), ages.collect())]);
        let weights = Some(named(version));
        state.apply(FollowReply { weights, weights_ages, ..FollowReply::default() });
        let times = state.weights_named_at[MODEL].iter();
        let elapsed = times.map(|(version, at)| (*version, at.elapsed().as_secs() / 10));
        (state.weights[MODEL], elapsed.collect::<Vec<_>>())
    };
    assert_eq!(apply(2, &[(2, 10_000)]), (2, vec![(2, 1)]));
    assert_eq!(apply(2, &[(2, 40_000)]), (2, vec![(2, 4)]));
    assert_eq!(apply(2, &[(2, 20_000)]), (2, vec![(2, 4)]), "the VM has started later");
    assert_eq!(apply(3, &[(2, 50_000), (3, 0)]), (3, vec![(2, 5), (3, 0)]));
    assert_eq!(apply(2, &[(2, 60_000)]), (3, vec![(2, 6), (3, 0)]), "the VM is behind");
}

/// Guards against an entry that counts from the start of the first control VM that it has asked: the others
/// name the same weights, and only their ages differ.
#[test]
fn ages_come_without_weights() {
    let mut state = SharedState::default();
    let mut apply = |weights: Option<NamedWeights>, ages: &[(u64, Duration)]| {
        let ages = ages.iter().copied().collect();
        let weights_ages = BTreeMap::from([(MODEL.to_owned(), ages)]);
        state.apply(FollowReply { weights, weights_ages, ..FollowReply::default() });
        let mut requirements = RequiredWeights::default();
        requirements.update(Instant::now(), &state.weights_named_at, 1)
    };
    assert_eq!(apply(Some(named(3)), &[(3, Duration::ZERO)]), NamedWeights::new());
    assert_eq!(apply(None, &[(2, 2 * REQUIRED_AFTER), (3, REQUIRED_AFTER)]), named(3));
}

/// Guards against control VMs that count from their own start after all of them were restarted in turn.
#[test]
fn restarted_vm_learns_ages() {
    let (mut history, now) = (WeightsHistory::default(), Instant::now());
    let second = Duration::from_secs(1);
    history.record(now, &named(3));
    let known = VersionAges::from([(2, 9 * second), (3, 5 * second), (4, second)]);
    history.merge(now, BTreeMap::from([(MODEL.to_owned(), known)]));
    // Version 4 is not named here yet.
    let expected = VersionAges::from([(2, 9 * second), (3, 5 * second)]);
    assert_eq!(history.recent_ages(now)[MODEL], expected);
    assert!(history.recent_ages(now + VERSION_TIME).is_empty());
    let later = BTreeMap::from([(MODEL.to_owned(), VersionAges::from([(3, second)]))]);
    history.merge(now, later);
    assert_eq!(history.ages(now)[MODEL], expected);
}

/// Guards against a control VM whose record of versions grows with each one that is named, and against one
/// that forgets the version which is required now.
#[test]
fn recent_versions_are_kept() {
    let (mut history, start) = (WeightsHistory::default(), Instant::now());
    let second = Duration::from_secs(1);
    history.record(start, &named(1));
    history.record(start + second, &named(2));
    let now = start + VERSION_TIME + 2 * second;
    history.record(now, &named(3));
    let ages = |history: &WeightsHistory| history.ages(now)[MODEL].clone();
    let kept = [(2, VERSION_TIME + second), (3, Duration::ZERO)];
    assert_eq!(ages(&history), VersionAges::from(kept));
    for version in 4..1_000 {
        history.record(now, &named(version));
    }
    assert_eq!(ages(&history).len(), MAX_VERSIONS);
    assert_eq!(ages(&history).last_key_value(), Some((&999, &Duration::ZERO)));
}

fn listed(id: &str, version: u64, phase: ServerPhase) -> ListedServer {
    ListedServer {
        id: id.to_owned(),
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().expect("the address is valid"),
        failure_domain: "d1".to_owned(),
        slots: 8,
        software: "v1".to_owned(),
        arbiter: None,
        phase,
        incarnation: 0,
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
        limits: CallerLimits::default(),
        access: CallerAccess::Open,
    })))
}

/// Guards against answers from weights that were replaced long ago: a server that crashed restarts with
/// its previous weights and is listed as ready at once. It gets no requests while another server has
/// newer weights; if none has, old weights are better than no answer.
#[test]
fn restarted_server_with_old_weights_is_outdated() {
    let old = listed("i-1", 2, ServerPhase::Ready);
    let fleet = FleetSnapshot::new(vec![old.clone(), listed("i-2", 3, ServerPhase::Ready)]);
    let view = ProxyView::new(Some(index()), &fleet, &named(3), &named(3), 1);
    let outdated: Vec<_> = view.outdated.iter().map(|(server, _)| server).collect();
    assert_eq!(outdated, ["i-1"]);
    let alone = FleetSnapshot::new(vec![old, listed("i-2", 3, ServerPhase::Draining)]);
    assert!(ProxyView::new(Some(index()), &alone, &named(3), &named(3), 1).outdated.is_empty());
}

/// Guards against servers that stay on replaced weights for three seconds longer than necessary after
/// each change of the leader. A new leader waits until no order of the previous one can still arrive.
/// Servers that check fencing numbers refuse those orders, so for them it sends orders at once.
#[test]
fn new_leader_waits_unless_fenced() {
    for fenced in [false, true] {
        let mut bench = OrderBench { fenced, ..OrderBench::new() };
        let elected = bench.now;
        bench.handle_input(OrderInput::Lease(Some((1, elected))));
        bench.name_version("2", 1);
        bench.run(Duration::from_secs(10), |bench| !bench.ordered.is_empty());
        let waited = bench.now - elected;
        let drain = FLEET_TIMING.drain_limit;
        if fenced {
            assert!(waited < drain + Duration::from_millis(300), "{waited:?}");
        } else {
            assert!(waited > MAX_FORMER_LEASE + ORDER_TIMEOUT, "{waited:?}");
        }
    }
}
