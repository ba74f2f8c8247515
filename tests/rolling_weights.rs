//! New weights reach all servers, a few at a time, and stay: in virtual time, without a network.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError, orders::DesiredWeights},
        daemon::weight_orders::{LeasePort, OrderPort, order_core::*, send_order},
        ids::{FencingNumber, ServerId, Term, WeightsVersion},
        policy::LoadReport,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
/// What a load takes here.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// Engines that take any order, whatever its number, and load for a while.
struct OrderBench {
    now: Instant,
    core: OrderCore,
    desired: DesiredWeights,
    engines: BTreeMap<ServerId, (WeightsVersion, Option<(WeightsVersion, Instant)>)>,
    most_loads: usize,
    orders: u32,
}

impl OrderBench {
    fn new(servers: usize, limit: u32) -> Self {
        let ids: Vec<ServerId> = (0..servers).map(|n| format!("s{n}")).collect();
        let now = Instant::now();
        let engines = ids.iter().map(|id| (id.clone(), ("v1".to_owned(), None))).collect();
        let mut bench = Self {
            now,
            core: OrderCore::default(),
            desired: DesiredWeights::new(),
            engines,
            most_loads: 0,
            orders: 0,
        };
        let weights = [(MODEL.to_owned(), "v2".to_owned())].into();
        let servers = ids.into_iter().map(|id| (id, [MODEL.to_owned()].into())).collect();
        bench.give(OrderInput::Configure(OrderPlan { limit, weights, servers, fenced: false }));
        bench
    }

    fn give(&mut self, input: OrderInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.core.handle(self.now, input) {
                inputs.extend(self.perform(action));
            }
        }
    }

    fn perform(&mut self, action: OrderAction) -> Vec<OrderInput> {
        match action {
            OrderAction::Propose { model, command } => {
                let Command::DesireModel { weights, .. } = command else { panic!("weights only") };
                let index = self.desired.len() as u64 + 1;
                self.desired.insert(model.clone(), (weights, FencingNumber { term: 1, index }));
                let desired = Arc::new(self.desired.clone());
                vec![OrderInput::Proposed { model }, OrderInput::Desired(desired)]
            }
            OrderAction::Probe { server } => {
                let (weights, _) = &self.engines[&server];
                let report = LoadReport {
                    server: server.clone(),
                    incarnation: 1,
                    weights: [(MODEL.to_owned(), weights.clone())].into(),
                    running: 0,
                    waiting: 0,
                    waiting_tokens: 0,
                    cache_used: 0.0,
                    leaving: false,
                };
                vec![OrderInput::Probed { server, report: Some(report) }]
            }
            OrderAction::Drain { .. } => vec![],
            OrderAction::Order(order) => {
                self.orders += 1;
                let until = self.now + LOAD_TIME;
                self.engines.get_mut(&order.server).expect("it is known").1 =
                    Some((order.weights, until));
                let place = (order.server, order.model);
                let result = OrderResult::Taken;
                vec![OrderInput::Ordered { place, number: order.number, result }]
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            for (weights, load) in self.engines.values_mut() {
                if load.as_ref().is_some_and(|(_, until)| self.now >= *until) {
                    *weights = load.take().expect("it was there").0;
                }
            }
            let loads = self.engines.values().filter(|(_, load)| load.is_some()).count();
            self.most_loads = self.most_loads.max(loads);
            self.give(OrderInput::Wake);
        }
    }

    fn all_at(&self, version: &str) -> bool {
        self.engines.values().all(|(weights, _)| weights == version)
    }
}

#[test]
fn all_servers_load_within_the_limit() {
    let mut bench = OrderBench::new(9, 2);
    bench.give(OrderInput::Lease(Some((1, bench.now))));
    bench.run(Duration::from_secs(20));
    assert!(bench.all_at("v2"));
    assert_eq!((bench.most_loads, bench.orders), (2, 9));
}

/// Callers get the version that operators want, also from engines that obey anybody. An order of a
/// former leader is late and undoes a load after all was well; the server reports the older
/// version, and the leader orders the desired one again.
#[test]
fn server_that_went_back_is_ordered_again() {
    let mut bench = OrderBench::new(3, 2);
    bench.give(OrderInput::Lease(Some((1, bench.now))));
    bench.run(Duration::from_secs(20));
    bench.engines.get_mut("s1").expect("it is known").0 = "v1".to_owned();
    bench.run(Duration::from_secs(20));
    assert!(bench.all_at("v2"));
    assert_eq!(bench.orders, 4);
}

/// Engines that do not check numbers never hear two leaders at once. A new leader is elected while
/// the former one may still hold its lease and have orders under way; until both are over it gives
/// none, and a replica without a lease gives none at all.
#[test]
fn new_leader_waits_out_the_former_one() {
    let mut bench = OrderBench::new(3, 2);
    bench.run(Duration::from_secs(20));
    assert_eq!(bench.orders, 0, "it does not lead");
    bench.give(OrderInput::Lease(Some((2, bench.now))));
    bench.run(MAX_FORMER_LEASE + ORDER_TIMEOUT - Duration::from_millis(50));
    assert_eq!(bench.orders, 0, "the former leader may still order");
    bench.run(Duration::from_millis(50));
    assert_eq!(bench.orders, 2);
    bench.give(OrderInput::Lease(None));
    bench.run(Duration::from_secs(20));
    assert_eq!(bench.orders, 2);
}

/// Holds a lease in term 1 until told otherwise, and counts the orders that leave.
struct FakePorts {
    leads: AtomicBool,
    sent: AtomicU32,
}

impl LeasePort for FakePorts {
    fn lease(&self) -> Option<(Term, Instant)> {
        self.leads.load(Ordering::Relaxed).then(|| (1, Instant::now()))
    }

    fn propose(&self, _: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(std::future::ready(Err(ProposeError::Busy)))
    }
}

impl OrderPort for FakePorts {
    fn order(&self, _: SocketAddr, _: WeightOrder) -> BoxFuture<'_, OrderResult> {
        self.sent.fetch_add(1, Ordering::Relaxed);
        Box::pin(std::future::ready(OrderResult::Taken))
    }

    fn probe(&self, _: ServerId, _: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(std::future::ready(None))
    }

    fn drain(&self, _: ServerId) {}
}

/// No engine is sent back by a leader that was frozen between decision and sending. It wakes when
/// the order's time is over, or its lease, or in a later term of its own: each time it lets the
/// order go.
#[tokio::test(start_paused = true)]
async fn frozen_leader_sends_nothing() {
    let ports = FakePorts { leads: true.into(), sent: 0.into() };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let now = tokio::time::Instant::now().into_std();
    let order = WeightOrder {
        server: "s0".to_owned(),
        model: MODEL.to_owned(),
        weights: "v1".to_owned(),
        fencing: FencingNumber::default(),
        term: 1,
        send_before: now + ORDER_TIMEOUT,
        number: 1,
        reason: OrderReason::default(),
    };
    let send = |order| send_order(&ports, &ports, address, order);
    assert_eq!(send(order.clone()).await, OrderResult::Taken);
    assert_eq!(send(WeightOrder { term: 0, ..order.clone() }).await, OrderResult::NotTaken);
    let late = WeightOrder { send_before: now, ..order.clone() };
    assert_eq!(send(late).await, OrderResult::NotTaken);
    ports.leads.store(false, Ordering::Relaxed);
    assert_eq!(send(order).await, OrderResult::NotTaken);
    assert_eq!(ports.sent.load(Ordering::Relaxed), 1);
}
