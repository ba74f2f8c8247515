//! The order in which backend servers load new weights.
//!
//! Load pattern: operators change the weights of a model while its servers are busy. Without it all
//! servers load at once: the weight store, which serves only a few loads at full rate, slows each of
//! them, and for that time nobody serves the model.
//!
//! At most as many loads run as the rule allows. A server that serves is
//! drained first, provided that others can take its work meanwhile; idle servers come first, since
//! they need no draining, and a server without any weights comes before all, since it serves
//! nobody. Pure: given what is wanted and what is seen, it says what may happen next.

use {
    crate::ids::{ServerId, WeightsVersion},
    std::collections::BTreeMap,
};

/// One server of one model, as a rollout sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutServer {
    /// The version wanted there.
    pub desired: WeightsVersion,
    /// The version it reports, if any.
    pub observed: Option<WeightsVersion>,
    /// Whether an order to load is on its way or being carried out.
    pub loading: bool,
    /// Whether it takes no new work so that it may load.
    pub draining: bool,
    /// Whether it answers.
    pub alive: bool,
    /// Requests in flight there, of all daemons as far as known.
    pub in_flight: u32,
}

impl RolloutServer {
    fn is_current(&self) -> bool {
        self.observed.as_ref() == Some(&self.desired)
    }

    /// Where versions are numbers, the oldest goes first: versions named every few seconds would
    /// otherwise let the same quick servers load each of them, while a busy one stays on the first.
    fn age_rank(&self) -> u64 {
        self.observed.as_ref().and_then(|version| version.parse().ok()).unwrap_or_default()
    }

    fn serves(&self) -> bool {
        self.alive && self.observed.is_some() && !self.loading && !self.draining
    }
}

/// What a rollout may do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Servers to give no new work from now on.
    pub drain: Vec<ServerId>,
    /// Servers to order to load now.
    pub load: Vec<ServerId>,
}

/// The next step towards the desired weights with at most `limit` servers loading or draining.
///
/// A server is loaded when nothing is in flight there, or when no other can serve the model, since
/// waiting for a drain would then hold callers back without sparing any. The last serving server
/// is never drained while another is on its way.
pub fn next_step(servers: &BTreeMap<ServerId, RolloutServer>, limit: u32) -> RolloutStep {
    let mut step = RolloutStep::default();
    let mut serving = servers.values().filter(|server| server.serves()).count();
    let mut busy = servers.values().filter(|server| server.loading || server.draining).count();
    let mut loading = servers.values().filter(|server| server.loading).count();
    let limit = limit.max(1) as usize;
    for (id, server) in waiting(servers) {
        if server.draining {
            let alone = serving == 0 && loading == 0;
            if loading < limit && (server.in_flight == 0 || alone) {
                step.load.push(id.clone());
                loading += 1;
            }
        } else if busy < limit && loading < limit {
            let last_one = server.serves() && serving <= 1;
            if last_one && busy > 0 {
                continue;
            }
            if server.serves() && server.in_flight > 0 && !last_one {
                step.drain.push(id.clone());
            } else {
                step.load.push(id.clone());
                loading += 1;
            }
            serving -= usize::from(server.serves());
            busy += 1;
        }
    }
    step
}

/// Live servers whose weights are not the desired ones, in the order in which they take turns.
fn waiting(servers: &BTreeMap<ServerId, RolloutServer>) -> Vec<(&ServerId, &RolloutServer)> {
    let mut waiting: Vec<_> = servers
        .iter()
        .filter(|(_, server)| server.alive && !server.loading && !server.is_current())
        .collect();
    waiting.sort_by_key(|(id, server)| {
        let place = (server.observed.is_some(), server.age_rank(), server.in_flight);
        (!server.draining, place, (*id).clone())
    });
    waiting
}
