//! Reconciles the weights of each engine with those that the register specifies: compares desired
//! and observed versions and orders loads.

pub mod order_core;
mod order_types;
pub mod rollout_reporter;

use {
    self::{
        order_core::{
            OrderAction, OrderCore, OrderInput, OrderPlan, OrderResult, OrderTiming, WeightOrder,
        },
        rollout_reporter::RolloutReporter,
    },
    crate::{
        clock::without_suspensions,
        control::{Command, CommandOutcome, ProposeError, orders::DesiredWeights},
        daemon::{ConfigWatch, ControlPort, control_driver::ControlHandle},
        ids::{ModelId, ServerId, Term, WeightsVersion},
        inventory::{ActiveConfig, ServerKind},
        policy::LoadReport,
    },
    futures::future::BoxFuture,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep_until, timeout, timeout_at},
    },
};

/// The length of the queue of results; there are never as many calls in progress.
const QUEUE_LENGTH: usize = 128;
/// A server that does not answer a probe for this long counts as unresponsive.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between two checks whether this replica leads.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Calls to engines.
pub trait OrderPort: Send + Sync {
    /// Sends an order. The future is dropped after [`order_core::ORDER_TIMEOUT`] and must then
    /// close the connection.
    fn order(&self, address: SocketAddr, order: WeightOrder) -> BoxFuture<'_, OrderResult>;

    /// Requests the load report of a server; `None` if it does not answer.
    fn probe(&self, server: ServerId, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;

    /// Requests all daemons to send a server no new work until it reports its new weights.
    fn drain(&self, server: ServerId);
}

/// The interface of the replica on this VM for the weight orders.
pub trait LeasePort: Send + Sync {
    /// The term and the time since which this replica leads; `None` unless its lease excludes any
    /// other leader.
    fn lease(&self) -> Option<(Term, std::time::Instant)>;

    /// Proposes a command and waits for its outcome.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>>;
}

impl LeasePort for ControlHandle {
    fn lease(&self) -> Option<(Term, std::time::Instant)> {
        let status = self.status();
        let since = without_suspensions(status.leader_since?);
        self.lease_valid().then_some((status.term, since))
    }

    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        ControlPort::propose(self, command)
    }
}

/// Sends weight orders while the replica on this VM leads.
pub struct WeightOrders {
    core: OrderCore,
    lease: Arc<dyn LeasePort>,
    port: Arc<dyn OrderPort>,
    config: ConfigWatch,
    desired: watch::Receiver<Arc<DesiredWeights>>,
    reporter: RolloutReporter,
}

impl WeightOrders {
    /// Orders according to `config` and the replicated `desired` state. Nothing is sent before
    /// [`Self::run`].
    pub fn new(
        lease: Arc<dyn LeasePort>,
        port: Arc<dyn OrderPort>,
        config: ConfigWatch,
        desired: watch::Receiver<Arc<DesiredWeights>>,
    ) -> Self {
        let reporter = RolloutReporter::default();
        Self { core: OrderCore::default(), lease, port, config, desired, reporter }
    }

    /// Replaces the default timing.
    pub fn with_timing(self, timing: OrderTiming) -> Self {
        Self { core: OrderCore::with_timing(timing), ..self }
    }

    /// Runs until the replica has ended.
    pub async fn run(mut self) {
        let (results, mut queue) = mpsc::channel(QUEUE_LENGTH);
        self.config.mark_changed();
        self.desired.mark_changed();
        loop {
            let now = Instant::now();
            let wakeup =
                self.core.next_wakeup().map_or(now + LEASE_CHECK_INTERVAL, Instant::from_std);
            let input = tokio::select! {
                Some(input) = queue.recv() => input,
                changed = self.config.changed() => match changed {
                    Ok(()) => OrderInput::Configure(order_plan(&self.config.borrow_and_update())),
                    Err(_closed) => return,
                },
                changed = self.desired.changed() => match changed {
                    Ok(()) => OrderInput::Desired(self.desired.borrow_and_update().clone()),
                    Err(_closed) => return,
                },
                () = sleep_until(wakeup.min(now + LEASE_CHECK_INTERVAL)) => OrderInput::Wake,
            };
            self.handle(input, &results);
        }
    }

    fn handle(&mut self, input: OrderInput, results: &mpsc::Sender<OrderInput>) {
        let now = Instant::now().into_std();
        let lease = self.lease.lease();
        let mut actions = self.core.handle(now, OrderInput::Lease(lease));
        actions.extend(self.core.handle(now, input));
        self.reporter.update(now, lease.map(|(term, _)| term), &self.core);
        for action in actions {
            self.perform(action, results.clone());
        }
    }

    fn perform(&self, action: OrderAction, results: mpsc::Sender<OrderInput>) {
        let (lease, port) = (self.lease.clone(), self.port.clone());
        let address = |server: &ServerId| {
            let config = self.config.borrow();
            let record = config.register.servers.iter().find(|record| record.id == *server);
            record.map(|record| record.address)
        };
        match action {
            OrderAction::Drain { server } => port.drain(server),
            OrderAction::Propose { model, command } => drop(tokio::spawn(async move {
                if let Err(error) = lease.propose(command).await {
                    log::debug!(model = model.as_str(); "cannot record the desired weights; retrying: {error}");
                }
                let _ = results.send(OrderInput::Proposed { model }).await;
            })),
            OrderAction::Probe { server } => {
                let address = address(&server);
                tokio::spawn(async move {
                    let report = match address {
                        Some(address) => {
                            let probe = timeout(PROBE_TIMEOUT, port.probe(server.clone(), address));
                            probe.await.ok().flatten()
                        }
                        None => None,
                    };
                    let _ = results.send(OrderInput::Probed { server, report }).await;
                });
            }
            OrderAction::Order(order) => {
                let address = address(&order.server);
                tokio::spawn(async move {
                    let target = (order.server.clone(), order.model.clone());
                    let number = order.number;
                    let result = match address {
                        Some(address) => send_order(&*lease, &*port, address, order).await,
                        None => OrderResult::NotTaken,
                    };
                    let _ = results.send(OrderInput::Ordered { target, number, result }).await;
                });
            }
        }
    }
}

/// Sends an order unless it has expired.
///
/// Between the decision and this call the process may have been paused for minutes, and another
/// leader may have ordered a later version. An engine that does not check fencing numbers would
/// return to the older one. So clock, lease and term are checked again, with no await point between
/// the check and the call, and the call ends when the order expires, which a new leader waits for.
pub async fn send_order(
    lease: &dyn LeasePort,
    port: &dyn OrderPort,
    address: SocketAddr,
    order: WeightOrder,
) -> OrderResult {
    let deadline = Instant::from_std(order.send_before);
    let is_leader = lease.lease().is_some_and(|(term, _)| term == order.term);
    if !is_leader || Instant::now() >= deadline {
        metrics::counter!("oleandermount_stale_orders_total").increment(1);
        return OrderResult::NotTaken;
    }
    timeout_at(deadline, port.order(address, order)).await.unwrap_or(OrderResult::Taken)
}

/// The weights that `config` specifies for each server.
pub fn order_plan(config: &ActiveConfig) -> OrderPlan {
    let register = &config.register;
    let engines = || register.servers.iter().filter(|server| server.kind == ServerKind::Engine);
    let fenced = engines().all(|server| server.checks_fencing);
    let weights: BTreeMap<ModelId, WeightsVersion> =
        register.models.iter().map(|model| (model.id.clone(), model.weights.clone())).collect();
    let servers = engines().map(|server| {
        let models = server.models.iter().filter(|model| weights.contains_key(*model));
        (server.id.clone(), models.cloned().collect())
    });
    let servers = servers.collect();
    OrderPlan { limit: config.rules.weight_loads, weights, servers, fenced }
}
