//! Events, actions and data of the weight orders.

use {
    crate::{
        control::{Command, orders::DesiredWeights},
        ids::{FencingNumber, ModelId, ServerId, Term, WeightsVersion},
        policy::LoadReport,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The timing of orders and probes.
#[derive(Clone, Copy, Debug)]
pub struct OrderTiming {
    /// How long a server may report other weights after an accepted order before the order is
    /// repeated.
    pub load_limit: Duration,
    /// The delay before an order that was not accepted is repeated.
    pub retry_wait: Duration,
    /// How long a server may take to finish its work before it is ordered to load anyway.
    pub drain_limit: Duration,
    /// The interval between two probes of a server that drains, loads or does not answer.
    pub busy_probe_interval: Duration,
    /// The minimum interval between two probes of any other server.
    pub idle_probe_interval: Duration,
}

impl Default for OrderTiming {
    /// A load takes 0.6 s, or several times as long while other servers load, and load reports are
    /// delayed.
    fn default() -> Self {
        OrderTiming {
            load_limit: Duration::from_secs(10),
            retry_wait: Duration::from_secs(1),
            drain_limit: Duration::from_secs(10),
            busy_probe_interval: Duration::from_millis(250),
            idle_probe_interval: Duration::from_secs(2),
        }
    }
}

/// A server and one model that it runs.
pub type OrderTarget = (ServerId, ModelId);

/// The weights that the register and the rules specify.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderPlan {
    /// The maximum number of concurrent loads.
    pub limit: u32,
    /// The version of each model that servers have to load.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// The models that each server may run; each of them has a version.
    pub servers: BTreeMap<ServerId, BTreeSet<ModelId>>,
    /// Whether all these servers refuse orders with a lower fencing number than one that they have
    /// seen.
    pub fenced: bool,
}

/// The reason for an order, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderReason {
    /// The version that the server reported last.
    pub observed: Option<WeightsVersion>,
    /// How long the plan of this replica has contained the ordered version.
    pub planned_for: Duration,
    /// The number of earlier orders of this version to the server in this term.
    pub earlier_orders: u32,
}

/// The number of servers that lack the planned version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingServers {
    /// The planned version.
    pub weights: WeightsVersion,
    /// The time since which the plan of this replica contains it.
    pub since: Instant,
    /// The number of servers that report another version or have not been probed yet.
    pub servers: usize,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightOrder {
    /// The server to load the weights.
    pub server: ServerId,
    /// The model to be loaded.
    pub model: ModelId,
    /// The version to be loaded.
    pub weights: WeightsVersion,
    /// The fencing number, for servers that check it.
    pub fencing: FencingNumber,
    /// The leader's term at the decision; the order must not be sent in another term.
    pub term: Term,
    /// The time after which the order must not be sent.
    pub send_before: Instant,
    /// Identifies this order.
    pub number: u64,
    /// The reason for the order.
    pub reason: OrderReason,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The server accepted the order, or may have.
    Taken,
    /// The server certainly did not accept it: it was not sent, or was refused.
    NotTaken,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// The configuration changed.
    Configure(OrderPlan),
    /// The desired weights in the replicated state changed.
    Desired(Arc<DesiredWeights>),
    /// The term and the time since which this replica leads under a lease; `None` if it does not.
    Lease(Option<(Term, Instant)>),
    /// A probe of a server ended.
    Probed {
        /// The server.
        server: ServerId,
        /// The load report; `None` if the server did not answer.
        report: Option<LoadReport>,
    },
    /// An order ended.
    Ordered {
        /// The server and the model.
        target: OrderTarget,
        /// The number of the order.
        number: u64,
        /// The result of the order.
        result: OrderResult,
    },
    /// A proposal ended. Its effect, if any, shows in the replicated state.
    Proposed {
        /// The model that it was for.
        model: ModelId,
    },
    /// The time of [`super::order_core::OrderCore::next_wakeup`] has come.
    Wake,
}

/// An action that the core requests.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Propose a command; exactly one `Proposed` follows.
    Propose {
        /// The model that it is for.
        model: ModelId,
        /// The command.
        command: Command,
    },
    /// Request the load report of a server; exactly one `Probed` follows.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Stop sending new work to a server until it has loaded.
    Drain {
        /// The server.
        server: ServerId,
    },
    /// Send an order if the lease is still valid; exactly one `Ordered` follows.
    Order(WeightOrder),
}
