//! Who uses this daemon, and which backend servers it keeps busy; for operators.

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

/// Organisations counted; at the bound the one with the fewest requests makes room.
pub const COUNTED_ORGANISATIONS: usize = 1024;

/// What one organisation did here since the daemon started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrganisationUsage {
    /// Requests taken in.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// Requests in flight.
    pub in_flight: u64,
}

/// Counts by organisation and by backend server.
#[derive(Default)]
pub struct UsageTracker {
    organisations: Mutex<BTreeMap<OrganisationId, OrganisationUsage>>,
    /// Servers of the register; those without requests in flight are dropped.
    servers: Mutex<BTreeMap<ServerId, u64>>,
}

/// An attempt in flight at a server; dropping it ends the count.
pub struct InFlightGuard {
    board: Arc<UsageTracker>,
    server: ServerId,
}

/// A request of an organisation in flight; dropping it ends the count.
pub struct UsageGuard {
    board: Arc<UsageTracker>,
    organisation: OrganisationId,
}

impl UsageTracker {
    /// Counts an attempt at `server` until the result is dropped.
    pub fn track_attempt(self: &Arc<Self>, server: &ServerId) -> InFlightGuard {
        let mut servers = lock(&self.servers);
        let count = servers.entry(server.clone()).or_default();
        *count += 1;
        gauge!(IN_FLIGHT, "server" => server.clone()).set(*count as f64);
        InFlightGuard { board: Arc::clone(self), server: server.clone() }
    }

    /// Counts a request of `organisation` until the result is dropped.
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
        UsageGuard { board: Arc::clone(self), organisation: organisation.clone() }
    }

    /// Requests in flight by server.
    pub fn in_flight(&self) -> BTreeMap<ServerId, u64> {
        lock(&self.servers).clone()
    }

    /// The organisations with the most tokens; at most `limit`.
    pub fn busiest_organisations(&self, limit: usize) -> Vec<(OrganisationId, OrganisationUsage)> {
        let mut all: Vec<_> = lock(&self.organisations).clone().into_iter().collect();
        all.sort_by_key(|(_, usage)| std::cmp::Reverse((usage.tokens, usage.requests)));
        all.truncate(limit);
        all
    }
}

impl UsageGuard {
    /// Counts the request as answered whole with so many tokens.
    pub fn answered(&self, tokens: u32) {
        self.change(|usage| {
            usage.answered += 1;
            usage.tokens += u64::from(tokens);
        });
    }

    fn change(&self, change: impl FnOnce(&mut OrganisationUsage)) {
        if let Some(usage) = lock(&self.board.organisations).get_mut(&self.organisation) {
            change(usage);
        }
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.change(|usage| usage.in_flight = usage.in_flight.saturating_sub(1));
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut servers = lock(&self.board.servers);
        let left = servers.get(&self.server).map_or(0, |count| count.saturating_sub(1));
        match left {
            0 => servers.remove(&self.server),
            left => servers.insert(self.server.clone(), left),
        };
        gauge!(IN_FLIGHT, "server" => self.server.clone()).set(left as f64);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
