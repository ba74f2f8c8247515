//! New weights are loaded by all servers, a few at a time, and stay loaded. The test runs in
//! virtual time without a network.

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
/// The duration of a load at the simulated engines.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// Simulated engines that accept any order without checking its fencing number.
struct OrderSimulation {
    now: Instant,
    core: OrderCore,
    desired: DesiredWeights,
    engines: BTreeMap<ServerId, (WeightsVersion, Option<(WeightsVersion, Instant)>)>,
    max_concurrent_loads: usize,
    orders: u32,
}

impl OrderSimulation {
    fn new(servers: usize, limit: u32) -> Self {
        let ids: Vec<ServerId> = (0..servers).map(|n| format!("s{n}")).collect();
        let now = Instant::now();
        let engines = ids.iter().map(|id| (id.clone(), ("v1".to_owned(), None))).collect();
        let mut simulation = Self {
            now,
            core: OrderCore::default(),
            desired: DesiredWeights::new(),
            engines,
            max_concurrent_loads: 0,
            orders: 0,
        };
        let weights = [(MODEL.to_owned(), "v2".to_owned())].into();
        let servers = ids.into_iter().map(|id| (id, [MODEL.to_owned()].into())).collect();
        simulation.handle(OrderInput::Configure(OrderPlan {
            limit,
            weights,
            servers,
            fenced: false,
        }));
        simulation
    }

    fn handle(&mut self, input: OrderInput) {
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
                let Command::DesireModel { weights, .. } = command else {
                    panic!("only weights are proposed")
                };
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
                self.engines.get_mut(&order.server).expect("the server exists").1 =
                    Some((order.weights, until));
                let target = (order.server, order.model);
                let result = OrderResult::Taken;
                vec![OrderInput::Ordered { target, number: order.number, result }]
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            for (weights, load) in self.engines.values_mut() {
                if load.as_ref().is_some_and(|(_, until)| self.now >= *until) {
                    *weights = load.take().expect("a load is in progress").0;
                }
            }
            let loads = self.engines.values().filter(|(_, load)| load.is_some()).count();
            self.max_concurrent_loads = self.max_concurrent_loads.max(loads);
            self.handle(OrderInput::Wake);
        }
    }

    fn all_have(&self, version: &str) -> bool {
        self.engines.values().all(|(weights, _)| weights == version)
    }
}

#[test]
fn all_servers_load_within_the_limit() {
    let mut simulation = OrderSimulation::new(9, 2);
    simulation.handle(OrderInput::Lease(Some((1, simulation.now))));
    simulation.run(Duration::from_secs(20));
    assert!(simulation.all_have("v2"));
    assert_eq!((simulation.max_concurrent_loads, simulation.orders), (2, 9));
}

/// A delayed order of a former leader reverts a load at an engine that does not check fencing
/// numbers. The server reports the older version, and the leader repeats the order for the desired
/// one.
#[test]
fn reverted_server_is_ordered_again() {
    let mut simulation = OrderSimulation::new(3, 2);
    simulation.handle(OrderInput::Lease(Some((1, simulation.now))));
    simulation.run(Duration::from_secs(20));
    simulation.engines.get_mut("s1").expect("the server exists").0 = "v1".to_owned();
    simulation.run(Duration::from_secs(20));
    assert!(simulation.all_have("v2"));
    assert_eq!(simulation.orders, 4);
}

/// Engines that do not check fencing numbers never receive orders of two leaders at the same time.
/// A new leader sends none until the lease and the orders of the former one have expired, and a
/// replica without a lease never does.
#[test]
fn new_leader_waits_for_former_lease() {
    let mut simulation = OrderSimulation::new(3, 2);
    simulation.run(Duration::from_secs(20));
    assert_eq!(simulation.orders, 0, "a replica without a lease sends no orders");
    simulation.handle(OrderInput::Lease(Some((2, simulation.now))));
    simulation.run(MAX_FORMER_LEASE + ORDER_TIMEOUT - Duration::from_millis(50));
    assert_eq!(simulation.orders, 0, "the former leader may still send orders");
    simulation.run(Duration::from_millis(50));
    assert_eq!(simulation.orders, 2);
    simulation.handle(OrderInput::Lease(None));
    simulation.run(Duration::from_secs(20));
    assert_eq!(simulation.orders, 2);
}

/// Holds a lease in term 1 while `leads` is set, and counts the orders that are sent.
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

/// Guards against a leader that was paused between decision and sending and reverts an engine to
/// older weights. When it resumes, the order has expired, or its lease has, or it leads in a later
/// term: in each case the order is discarded.
#[tokio::test(start_paused = true)]
async fn paused_leader_sends_no_order() {
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
