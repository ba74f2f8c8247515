//! What backend servers ask of this process in their responses: not to be used for a while, or not any
//! more, since they leave.

use {
    crate::{
        ids::{Incarnation, ServerId},
        policy::server_rest::ServerRest,
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A response without the mark of a leaving server ends it only if its request was sent this long after
/// the last response with one: responses overtake each other.
const LEAVING_END_DELAY: Duration = Duration::from_millis(500);

/// What one process of a server asks for.
#[derive(Clone, Copy, Debug)]
struct ServerDemand {
    /// The process.
    incarnation: Incarnation,
    rest: ServerRest,
    /// When the last response said that it leaves; `None` if the newest ones do not.
    left_at: Option<Instant>,
}

/// What listed servers ask for. The server list bounds their number.
#[derive(Default)]
pub struct DemandTable(Mutex<BTreeMap<ServerId, ServerDemand>>);

impl DemandTable {
    /// Records that a server asks not to be used for `delay`.
    pub fn record_rest(
        &self,
        now: Instant,
        server: &ServerId,
        incarnation: Incarnation,
        delay: Duration,
    ) {
        let mut demands = self.lock();
        demand_of(&mut demands, server, incarnation).rest.record(now, delay);
    }

    /// Records whether a server says that it leaves, in its response to a request that was sent at `sent`.
    /// Returns it if it differs from before.
    pub fn record_leaving(
        &self,
        now: Instant,
        server: &ServerId,
        incarnation: Incarnation,
        sent: Instant,
        leaving: bool,
    ) -> Option<bool> {
        let mut demands = self.lock();
        let is_known = demands.get(server).is_some_and(|known| known.incarnation == incarnation);
        if !leaving && !is_known {
            return None;
        }
        let demand = demand_of(&mut demands, server, incarnation);
        match (demand.left_at, leaving) {
            (known, true) => {
                demand.left_at = Some(now);
                known.is_none().then_some(true)
            }
            (Some(left_at), false) if sent > left_at + LEAVING_END_DELAY => {
                demand.left_at = None;
                Some(false)
            }
            (_, false) => None,
        }
    }

    /// Whether a server may be used now, by requests, health checks or tunnels.
    pub fn accepts_calls(&self, now: Instant, server: &ServerId, incarnation: Incarnation) -> bool {
        self.lock().get(server).is_none_or(|demand| {
            demand.incarnation != incarnation
                || (demand.left_at.is_none() && !demand.rest.is_active(now))
        })
    }

    /// Keeps only the demands that are still in force, of servers that `is_listed` accepts.
    pub fn retain(&self, now: Instant, is_listed: impl Fn(&ServerId) -> bool) {
        self.lock().retain(|server, demand| {
            is_listed(server) && (demand.left_at.is_some() || demand.rest.is_active(now))
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerDemand>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the demand of a process. That of an earlier one under the same id is forgotten.
fn demand_of<'a>(
    demands: &'a mut BTreeMap<ServerId, ServerDemand>,
    server: &ServerId,
    incarnation: Incarnation,
) -> &'a mut ServerDemand {
    let new = ServerDemand { incarnation, rest: ServerRest::default(), left_at: None };
    let demand = demands.entry(server.clone()).or_insert(new);
    if demand.incarnation != incarnation {
        *demand = new;
    }
    demand
}
