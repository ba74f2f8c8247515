//! What the weight orders take in and ask for.

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

/// When orders are given and servers looked at.
#[derive(Clone, Copy, Debug)]
pub struct OrderTiming {
    /// How long a server may report other weights after an accepted order before it is ordered
    /// again.
    pub load_limit: Duration,
    /// After an order that did not arrive.
    pub retry_wait: Duration,
    /// How long a server is given to finish its work before it loads anyway.
    pub drain_limit: Duration,
    /// Between two looks at a server that is not as desired.
    pub busy_probe_interval: Duration,
    /// Between two looks at a server that is as desired, at least.
    pub idle_probe_interval: Duration,
}

impl Default for OrderTiming {
    /// A load takes 0.6 s, several times that beside others, and reports lag.
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
pub type OrderPlace = (ServerId, ModelId);

/// What the register and the rules want.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderPlan {
    /// Loads that may run at the same time.
    pub limit: u32,
    /// The version of each model.
    pub weights: BTreeMap<ModelId, WeightsVersion>,
    /// The models that each server may run; each of them has a version.
    pub servers: BTreeMap<ServerId, BTreeSet<ModelId>>,
    /// Whether all these servers refuse orders with a lower number than one that they have seen.
    pub fenced: bool,
}

/// What an order was decided by, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderReason {
    /// The version that the server reported last.
    pub observed: Option<WeightsVersion>,
    /// How long the ordered version has been wanted here.
    pub wanted_for: Duration,
    /// Orders of this version that the server was given before, in this term.
    pub given_before: u32,
}

/// How many servers do not have the version that is wanted of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingServers {
    /// The version.
    pub weights: WeightsVersion,
    /// Since when it has been wanted here.
    pub since: Instant,
    /// Servers that answer and report another one, or have not answered yet.
    pub servers: usize,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightOrder {
    /// The server.
    pub server: ServerId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub weights: WeightsVersion,
    /// The number that servers compare, where they do.
    pub fencing: FencingNumber,
    /// The leader's term at the decision; in another term the order must not be sent.
    pub term: Term,
    /// After this the order must not be sent.
    pub send_before: Instant,
    /// Tells this order from others.
    pub number: u64,
    /// What it was decided by.
    pub reason: OrderReason,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The server took it, or may have.
    Taken,
    /// It surely did not: not sent, or refused.
    NotTaken,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// The configuration changed.
    Configure(OrderPlan),
    /// The replicated state changed.
    Desired(Arc<DesiredWeights>),
    /// This replica leads under a lease in this term since this time, or does not.
    Lease(Option<(Term, Instant)>),
    /// A look at a server ended, with a report if it answered.
    Probed {
        /// The server.
        server: ServerId,
        /// Its report.
        report: Option<LoadReport>,
    },
    /// An order ended.
    Ordered {
        /// Where.
        place: OrderPlace,
        /// Its number.
        number: u64,
        /// What became of it.
        result: OrderResult,
    },
    /// A proposal ended, whatever came of it; the state tells.
    Proposed {
        /// The model that it was for.
        model: ModelId,
    },
    /// Time passed.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Propose a command; exactly one `Proposed` follows.
    Propose {
        /// The model that it is for.
        model: ModelId,
        /// The command.
        command: Command,
    },
    /// Ask a server for its report; exactly one `Looked` follows.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Give a server no new work for now.
    Drain {
        /// The server.
        server: ServerId,
    },
    /// Send an order if the lease still holds; exactly one `Ordered` follows.
    Order(WeightOrder),
}
