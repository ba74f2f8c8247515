//! Leases of the slots of servers that must not be sent more requests than they have room for.
//!
//! Some servers end if they have to reject too many requests in a second. Each daemon knows only its
//! own requests, so that with hundreds of daemons even one request too many from each of them ends a
//! server, and when it is back, all that waited for it arrives at once and ends it again. For each
//! such server, one daemon, its arbiter, therefore leases the slots: a request is sent only under a
//! lease.
//!
//! A request for a lease waits in the order of arrival for at most the time that its caller can
//! spare. If the wait would be longer, it is refused at once.

use {
    crate::ids::{LeaseId, ServerId, VmId},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Slots of an engine that are leased, as a fraction of all, and at least one: long prompts fill its
/// memory before its slots. A plain service leases all of them.
const ENGINE_FRACTION: f64 = 0.75;

/// An arbiter that has just become one leases nothing for this time, in which the holders of leases
/// of its predecessor confirm them or their requests end.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A lease that its holder has not confirmed for this time has ended; holders confirm once a second.
const CONFIRM_LIMIT: Duration = Duration::from_secs(4);

/// A lease that is not among those that its holder confirms has ended, unless it is younger than
/// this: the confirmation may have been sent before it was granted.
const CONFIRM_GRACE: Duration = Duration::from_secs(1);

/// Maximum requests that wait for a lease of one server.
const MAX_WAITING: usize = 64;

/// Maximum leases that are taken over from a former arbiter, as a multiple of those of this one.
const MAX_TAKEN_OVER: usize = 4;

/// Assumed time for which a lease is held before any measurement.
const INITIAL_HOLD: Duration = Duration::from_millis(500);

/// Fraction of the time that a request can wait that its expected wait may take. It is less than 1
/// because the estimate has an error, and a request that waits in vain is refused late.
const MAX_WAIT_FRACTION: f64 = 0.7;

/// Smoothing factor of the time for which leases are held.
const HOLD_STEP: f64 = 0.1;

/// Minimum delay before a refused request asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum servers with leases that one daemon uses at a time, which bounds the arbiters that it asks.
pub const MAX_SERVERS: usize = 16;

/// Why a lease was refused; the request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// No slot becomes free in time. A later request can succeed after this delay.
    Full(Duration),
    /// The daemon is not the arbiter of the server, according to its own server list.
    NotArbiter,
}

/// What becomes of a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// It has the lease.
    Granted,
    /// It waits; the lease is among those that a later call returns.
    Waiting,
    /// It is refused.
    Refused(LeaseRefusal),
}

/// The lease of one slot.
#[derive(Clone, Debug)]
struct SlotLease {
    holder: VmId,
    granted_at: Instant,
    confirmed_at: Instant,
}

/// A request that waits for a lease.
#[derive(Clone, Debug)]
struct WaitingLease {
    lease: LeaseId,
    holder: VmId,
    until: Instant,
}

/// The slots of one server.
#[derive(Clone, Debug)]
struct ServerSlots {
    /// Maximum number of leases; at least 1.
    usable: usize,
    leases_from: Instant,
    /// At most `usable`, or [`MAX_TAKEN_OVER`] times as many with those that a former arbiter has granted.
    leases: BTreeMap<LeaseId, SlotLease>,
    /// At most [`MAX_WAITING`].
    waiting: VecDeque<WaitingLease>,
    /// Mean time for which a lease is held, in seconds.
    hold: f64,
}

impl ServerSlots {
    fn new(usable: usize, leases_from: Instant) -> Self {
        ServerSlots {
            usable,
            leases_from,
            leases: BTreeMap::new(),
            waiting: VecDeque::new(),
            hold: INITIAL_HOLD.as_secs_f64(),
        }
    }

    fn grant(&mut self, now: Instant, lease: LeaseId, holder: VmId) {
        self.leases.insert(lease, SlotLease { holder, granted_at: now, confirmed_at: now });
    }

    /// The expected wait of a request behind all that wait.
    fn expected_wait(&self) -> Duration {
        let ahead = (self.waiting.len() + 1) as f64;
        Duration::from_secs_f64(ahead * self.hold / self.usable as f64)
    }

    fn request(
        &mut self,
        now: Instant,
        lease: LeaseId,
        holder: &VmId,
        patience: Duration,
    ) -> LeaseDecision {
        let settles_in = self.leases_from.saturating_duration_since(now);
        if !settles_in.is_zero() {
            return LeaseDecision::Refused(LeaseRefusal::Full(settles_in));
        }
        if self.waiting.is_empty() && self.leases.len() < self.usable {
            self.grant(now, lease, holder.clone());
            return LeaseDecision::Granted;
        }
        let wait = self.expected_wait();
        if wait > patience.mul_f64(MAX_WAIT_FRACTION) || self.waiting.len() >= MAX_WAITING {
            return LeaseDecision::Refused(LeaseRefusal::Full(wait.max(MIN_RETRY_AFTER)));
        }
        let (holder, until) = (holder.clone(), now + patience);
        self.waiting.push_back(WaitingLease { lease, holder, until });
        LeaseDecision::Waiting
    }

    fn end(&mut self, now: Instant, lease: LeaseId) {
        self.waiting.retain(|waiting| waiting.lease != lease);
        if let Some(ended) = self.leases.remove(&lease) {
            let held = now.saturating_duration_since(ended.granted_at).as_secs_f64();
            self.hold += (held - self.hold) * HOLD_STEP;
        }
    }

    /// Grants free slots to those that wait.
    fn grant_waiting(&mut self, now: Instant) -> Vec<LeaseId> {
        self.waiting.retain(|waiting| now < waiting.until);
        let mut granted = Vec::new();
        while self.leases.len() < self.usable
            && let Some(next) = self.waiting.pop_front()
        {
            granted.push(next.lease);
            self.grant(now, next.lease, next.holder);
        }
        granted
    }
}

/// A server whose slots this daemon leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArbitratedServer {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it runs models.
    pub is_engine: bool,
    /// Whether another daemon may have leased its slots until now.
    pub had_arbiter: bool,
}

/// The leases of all servers of which this daemon is the arbiter.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// The servers of the last [`Self::configure`].
    servers: BTreeMap<ServerId, ServerSlots>,
}

impl SlotTable {
    /// Replaces the servers of which this daemon is the arbiter. The leases of those that stay are kept.
    pub fn configure(&mut self, now: Instant, assigned: BTreeMap<ServerId, ArbitratedServer>) {
        self.servers.retain(|server, _| assigned.contains_key(server));
        for (server, ArbitratedServer { slots, is_engine, had_arbiter }) in assigned {
            let fraction = if is_engine { ENGINE_FRACTION } else { 1.0 };
            let usable = ((f64::from(slots) * fraction) as usize).max(1);
            let leases_from = if had_arbiter { now + SETTLE_TIME } else { now };
            let known = self.servers.entry(server);
            known.or_insert_with(|| ServerSlots::new(usable, leases_from)).usable = usable;
        }
    }

    /// Requests a lease for a holder that can wait for `patience`.
    pub fn request(
        &mut self,
        now: Instant,
        server: &ServerId,
        lease: LeaseId,
        holder: &VmId,
        patience: Duration,
    ) -> LeaseDecision {
        match self.servers.get_mut(server) {
            Some(slots) => slots.request(now, lease, holder, patience),
            None => LeaseDecision::Refused(LeaseRefusal::NotArbiter),
        }
    }

    /// Ends a lease, or a request for one; returns the leases that others get instead.
    pub fn end(&mut self, now: Instant, server: &ServerId, lease: LeaseId) -> Vec<LeaseId> {
        let Some(slots) = self.servers.get_mut(server) else { return Vec::new() };
        slots.end(now, lease);
        slots.grant_waiting(now)
    }

    /// Records all leases that a holder has here. Unknown ones were granted by a former arbiter or by
    /// this daemon before it restarted. Returns the leases that others get instead of ended ones.
    pub fn confirm(
        &mut self,
        now: Instant,
        holder: &VmId,
        held: &BTreeSet<(ServerId, LeaseId)>,
    ) -> Vec<LeaseId> {
        let mut granted = Vec::new();
        for (server, slots) in &mut self.servers {
            let is_held = |lease: &LeaseId| held.contains(&(server.clone(), *lease));
            let mut ended = Vec::new();
            for (lease, known) in &mut slots.leases {
                if known.holder != *holder {
                    continue;
                }
                if is_held(lease) {
                    known.confirmed_at = now;
                } else if now.saturating_duration_since(known.granted_at) >= CONFIRM_GRACE {
                    ended.push(*lease);
                }
            }
            ended.into_iter().for_each(|lease| slots.end(now, lease));
            granted.extend(slots.grant_waiting(now));
        }
        for (server, lease) in held {
            if let Some(slots) = self.servers.get_mut(server)
                && !slots.leases.contains_key(lease)
                && slots.leases.len() < slots.usable * MAX_TAKEN_OVER
                && now < slots.leases_from
            {
                slots.grant(now, *lease, holder.clone());
            }
        }
        granted
    }

    /// Ends the leases of holders that do not confirm them any more; returns the leases that others
    /// get instead.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        let mut granted = Vec::new();
        for slots in self.servers.values_mut() {
            slots.leases.retain(|_, lease| {
                now.saturating_duration_since(lease.confirmed_at) < CONFIRM_LIMIT
            });
            granted.extend(slots.grant_waiting(now));
        }
        granted
    }

    /// The number of leases of a server.
    pub fn leases(&self, server: &ServerId) -> usize {
        self.servers.get(server).map_or(0, |slots| slots.leases.len())
    }
}

/// Chooses the arbiter of a server among the daemons that are there, by a hash, so that few servers get
/// another one when a daemon comes or goes.
pub fn choose_arbiter<'a>(
    server: &ServerId,
    daemons: impl IntoIterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    let seed = xxh3_64(server.as_bytes());
    daemons.into_iter().max_by_key(|vm| xxh3_64_with_seed(vm.as_bytes(), seed))
}

/// Chooses the servers that a daemon uses of a service whose slots are leased: all of a few servers, or
/// [`MAX_SERVERS`] of many, which differ for each daemon.
pub fn choose_servers<'a>(
    daemon: &VmId,
    servers: impl IntoIterator<Item = &'a ServerId>,
) -> BTreeSet<ServerId> {
    let seed = xxh3_64(daemon.as_bytes());
    let mut ranked: Vec<(u64, &ServerId)> = servers
        .into_iter()
        .map(|server| (xxh3_64_with_seed(server.as_bytes(), seed), server))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(MAX_SERVERS);
    ranked.into_iter().map(|(_, server)| server.clone()).collect()
}
