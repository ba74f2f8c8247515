//! Schedules the loading of new weights on backend servers.
//!
//! If all servers of a model loaded new weights at once, the weight store, which sustains only a
//! few loads at full rate, would slow down every load, and no server would serve the model
//! meanwhile.
//!
//! At most as many loads run at once as the configured limit allows. A serving server is drained
//! first if others can take its requests. Servers without weights load first, since they serve no
//! requests, and idle servers load before busy ones, since they need no draining. This module only
//! computes the next step from the desired and the observed state.

use {
    crate::ids::{ServerId, WeightsVersion},
    std::collections::BTreeMap,
};

/// State of one server of one model in a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutServer {
    /// The version that it has to load.
    pub desired: WeightsVersion,
    /// The version that it reports, if any.
    pub observed: Option<WeightsVersion>,
    /// Whether a load order has been issued and has not been completed.
    pub loading: bool,
    /// Whether it gets no new requests because it is about to load.
    pub draining: bool,
    /// Whether it responds to health checks.
    pub alive: bool,
    /// Requests in flight there, from all daemons as far as known.
    pub in_flight: u32,
}

impl RolloutServer {
    fn is_current(&self) -> bool {
        self.observed.as_ref() == Some(&self.desired)
    }

    /// Orders numeric versions so that the oldest loads first. Otherwise, versions named every few
    /// seconds would be loaded by the same idle servers each time, while a busy one keeps its first
    /// version.
    fn version_rank(&self) -> u64 {
        self.observed.as_ref().and_then(|version| version.parse().ok()).unwrap_or_default()
    }

    fn serves(&self) -> bool {
        self.alive && self.observed.is_some() && !self.loading && !self.draining
    }
}

/// The next actions of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStep {
    /// Servers that must get no new requests from now on.
    pub drain: Vec<ServerId>,
    /// Servers that have to load now.
    pub load: Vec<ServerId>,
}

/// Returns the next step towards the desired weights with at most `limit` servers loading or
/// draining.
///
/// A server loads once no requests are in flight there, or if no other server can serve the model,
/// since waiting for it to drain would then only delay callers. The last serving server is never
/// drained while another one is loading or draining.
pub fn next_step(servers: &BTreeMap<ServerId, RolloutServer>, limit: u32) -> RolloutStep {
    let mut step = RolloutStep::default();
    let mut serving = servers.values().filter(|server| server.serves()).count();
    let mut busy = servers.values().filter(|server| server.loading || server.draining).count();
    let mut loading = servers.values().filter(|server| server.loading).count();
    let limit = limit.max(1) as usize;
    for (id, server) in outdated_servers(servers) {
        if server.draining {
            let alone = serving == 0 && loading == 0;
            if loading < limit && (server.in_flight == 0 || alone) {
                step.load.push(id.clone());
                loading += 1;
            }
        } else if busy < limit && loading < limit {
            let is_last = server.serves() && serving <= 1;
            if is_last && busy > 0 {
                continue;
            }
            if server.serves() && server.in_flight > 0 && !is_last {
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

/// Returns the responding servers without the desired weights, in the order in which they load.
fn outdated_servers(
    servers: &BTreeMap<ServerId, RolloutServer>,
) -> Vec<(&ServerId, &RolloutServer)> {
    let mut outdated: Vec<_> = servers
        .iter()
        .filter(|(_, server)| server.alive && !server.loading && !server.is_current())
        .collect();
    outdated.sort_by_key(|(id, server)| {
        let rank = (server.observed.is_some(), server.version_rank(), server.in_flight);
        (!server.draining, rank, (*id).clone())
    });
    outdated
}
