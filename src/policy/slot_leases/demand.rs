//! What requests ask of arbiters, and what arbiters and holders tell each other.

use {
    super::MemoryDemand,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Priority of a request for a lease, 0 being the highest; the one that the server gets, too.
pub type LeaseUrgency = u8;

/// What a request asks of an arbiter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseDemand {
    /// How long its caller can wait.
    pub patience: Duration,
    /// What it takes beside a slot; nothing at a plain service.
    pub memory: MemoryDemand,
    /// What it asks of a server that shares its machine with others; `None` at other servers, which
    /// lease in the order of arrival.
    pub reading: Option<ReadingDemand>,
}

/// The part of a demand that decides on order, and on what a server reads at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingDemand {
    /// Its priority.
    pub urgency: LeaseUrgency,
    /// Prompt tokens that the server probably has to read.
    pub computed: u32,
    /// The latency objective of its route.
    pub objective: Duration,
    /// What is left of the objective.
    pub in_time: Duration,
}

/// What the holder of a new lease learns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The load of the server; `None` if it does not share its machine.
    pub load: Option<LeasedLoad>,
}

/// What an arbiter knows of the load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeasedLoad {
    /// Leases of the server.
    pub running: u32,
    /// Prompt tokens that it still has to read, or that wait for a lease.
    pub tokens_ahead: u32,
    /// How long work takes there, 1 as usual; `None` if no holder has said so lately.
    pub work_time: Option<f32>,
    /// The part of its slots that may be leased, if that is limited for a while.
    pub pace: Option<f32>,
}

/// What a holder tells of the request of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Time to the first token, or to the response, as a multiple of the predicted one.
    pub lateness: Option<f32>,
    /// How long work takes on the server's machine, 1 as usual.
    pub work_time: Option<f32>,
    /// Whether the server has read the prompt.
    pub is_read: bool,
}
