//! Usage counts by organisation and backend server, for operators.

use {
    crate::{
        ids::{OrganisationId, ServerId},
        observe::metrics::IN_FLIGHT,
    },
    metrics::gauge,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of counted organisations; beyond it the one with the fewest requests is dropped.
pub const COUNTED_ORGANISATIONS: usize = 1024;

/// Usage of this daemon by an organisation since the daemon started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrganisationUsage {
    /// Admitted requests.
    pub requests: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Tokens of prompts and responses.
    pub tokens: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// Usage counts by organisation and requests in flight by backend server.
#[derive(Default)]
pub struct UsageTracker {
    organisations: Mutex<BTreeMap<OrganisationId, OrganisationUsage>>,
    /// Servers of the register that have requests in flight.
    servers: Mutex<BTreeMap<ServerId, u64>>,
}

/// Counts an attempt as in flight until it is dropped.
pub struct InFlightGuard {
    tracker: Arc<UsageTracker>,
    server: ServerId,
}

/// Counts a request of an organisation as in flight until it is dropped.
pub struct UsageGuard {
    tracker: Arc<UsageTracker>,
    organisation: OrganisationId,
}

impl UsageTracker {
    /// Counts an attempt at `server` as in flight until the returned guard is dropped.
    pub fn track_attempt(self: &Arc<Self>, server: &ServerId) -> InFlightGuard {
        let mut servers = lock(&self.servers);
        let count = servers.entry(server.clone()).or_default();
        *count += 1;
        gauge!(IN_FLIGHT, "server" => server.clone()).set(*count as f64);
        InFlightGuard { tracker: Arc::clone(self), server: server.clone() }
    }

    /// Counts a request of `organisation` as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>, organisation: &OrganisationId) -> UsageGuard {
        let mut organisations = lock(&self.organisations);
        if organisations.len() >= COUNTED_ORGANISATIONS && !organisations.contains_key(organisation)
        {
            let least = organisations.iter().min_by_key(|(_, usage)| usage.requests);
            let least = least.map(|(id, _)| id.clone());
            least.into_iter().for_each(|id| {
                organisations.remove(&id);
            });
        }
        let usage = organisations.entry(organisation.clone()).or_default();
        usage.requests += 1;
        usage.in_flight += 1;
        UsageGuard { tracker: Arc::clone(self), organisation: organisation.clone() }
    }

    /// The number of attempts in flight by server.
    pub fn in_flight(&self) -> BTreeMap<ServerId, u64> {
        lock(&self.servers).clone()
    }

    /// The `limit` organisations with the most tokens, in descending order.
    pub fn busiest_organisations(&self, limit: usize) -> Vec<(OrganisationId, OrganisationUsage)> {
        let mut all: Vec<_> = lock(&self.organisations).clone().into_iter().collect();
        all.sort_by_key(|(_, usage)| std::cmp::Reverse((usage.tokens, usage.requests)));
        all.truncate(limit);
        all
    }
}

impl UsageGuard {
    /// Counts the request as completed with `tokens` tokens.
    pub fn record_completion(&self, tokens: u32) {
        self.update(|usage| {
            usage.answered += 1;
            usage.tokens += u64::from(tokens);
        });
    }

    fn update(&self, update: impl FnOnce(&mut OrganisationUsage)) {
        if let Some(usage) = lock(&self.tracker.organisations).get_mut(&self.organisation) {
            update(usage);
        }
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.update(|usage| usage.in_flight = usage.in_flight.saturating_sub(1));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut servers = lock(&self.tracker.servers);
        let remaining = servers.get(&self.server).map_or(0, |count| count.saturating_sub(1));
        match remaining {
            0 => servers.remove(&self.server),
            remaining => servers.insert(self.server.clone(), remaining),
        };
        gauge!(IN_FLIGHT, "server" => self.server.clone()).set(remaining as f64);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
