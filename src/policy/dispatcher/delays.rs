//! How long the servers of a pool delay its requests.

use {
    super::{Dispatcher, servers::PoolIndex},
    crate::policy::pacing::ServerPace,
    std::time::{Duration, Instant},
};

/// Maximum delay that is calculated from the limits of servers; no caller waits as long.
const MAX_LIMIT_DELAY: Duration = Duration::from_secs(3_600);

impl Dispatcher {
    /// Returns the time until the first of the pool's servers may be used again.
    pub(super) fn rest_delay(&self, now: Instant, pool: PoolIndex) -> Duration {
        let servers =
            self.table.pools[pool].members.iter().map(|index| &self.table.servers[*index]);
        let rests = servers.filter(|server| server.accepts_requests());
        rests.map(|server| server.rest.remaining(now)).min().unwrap_or_default()
    }

    /// Returns how long the limits of the pool's servers delay the last waiting request.
    pub(super) fn limit_delay(&self, now: Instant, pool: PoolIndex) -> Duration {
        let state = &self.table.pools[pool];
        let paces = || {
            let servers = state.members.iter().map(|index| &self.table.servers[*index]);
            servers
                .filter(|server| server.accepts_requests())
                .filter_map(|server| server.pace.as_ref())
        };
        let first = paces().map(|pace| pace.delay(now)).min().unwrap_or_default();
        let rate: f64 = paces().map(ServerPace::rate).sum();
        let others = state.queue.len().saturating_sub(1) as f64;
        let others = Duration::try_from_secs_f64(others / rate).unwrap_or(Duration::MAX);
        first.saturating_add(others).min(MAX_LIMIT_DELAY)
    }
}
