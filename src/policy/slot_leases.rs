//! Leases of the slots of servers that must not be sent more requests than they have room for, and of the
//! memory of those that are engines: long prompts fill it before the slots.
//!
//! Some servers end if they have to reject too many requests in a second. Each daemon knows only its
//! own requests, so that with hundreds of daemons even one request too many from each of them ends a
//! server, and when it is back, all that waited for it arrives at once and ends it again. For each
//! such server, one daemon, its arbiter, therefore leases the slots: a request is sent only under a
//! lease.
//!
//! A request for a lease waits in the order of arrival for at most the time that its caller can
//! spare. If the wait would be longer, it is refused at once.
//!
//! Servers that share their machines with others are leased by urgency, and only while what they have
//! to read does not delay the most urgent requests.
//!
//! What a server keeps beside leased requests is not known here. If it rejects a leased request, its
//! arbiter therefore leases no more than the server held at that time. The limit rises by 1, 3, 7, ..
//! slots and their part of the memory after 1, 2, 3, .. seconds.

mod demand;
mod memory;
mod reading;
mod server_slots;
mod start_pace;
mod wait_queue;

pub use self::{
    demand::{LeaseDemand, LeaseGrant, LeaseReport, LeaseUrgency, LeasedLoad, ReadingDemand},
    memory::{MAX_PARTS, MemoryDemand, PartHash},
    start_pace::{PaceSummary, ServerStart, StartAnswer, StartOutcome, StartPace, answer_lateness},
};

use {
    self::server_slots::{ServerSlots, SlotLease},
    crate::ids::{LeaseId, ServerId, VmId},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// An arbiter grants no lease of a server for this time after the second rejection in this time: servers end
/// by the rejections of a second.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);

/// An arbiter that has just become one leases nothing for this time, in which the holders of leases
/// of its predecessor confirm them or their requests end.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A lease that its holder has not confirmed for this time has ended; holders confirm once a second.
const CONFIRM_LIMIT: Duration = Duration::from_secs(4);

/// A lease that is not among those that its holder confirms has ended, unless it is younger than
/// this: the confirmation may have been sent before it was granted.
const CONFIRM_GRACE: Duration = Duration::from_secs(1);

/// Maximum leases that are taken over from a former arbiter, as a multiple of those of this one.
const MAX_TAKEN_OVER: usize = 4;

/// Maximum servers with leases that one daemon uses at a time, which bounds the arbiters that it asks.
pub const MAX_SERVERS: usize = 16;

/// Why a lease was refused; the request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// No slot becomes free in time. A later request can succeed after this delay.
    Full(Duration),
    /// The daemon is not the arbiter of the server, according to its own server list.
    NotArbiter,
    /// As `Full`, of a server that shares its machine with others.
    Busy {
        /// When there may be room, spread over the time in which it comes.
        delay: Duration,
        /// The load of the server.
        load: LeasedLoad,
    },
}

/// What becomes of a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseDecision {
    /// It has the lease.
    Granted,
    /// It waits; the lease is among those that a later call returns.
    Waiting,
    /// It is refused.
    Refused(LeaseRefusal),
}

/// A server whose slots this daemon leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArbitratedServer {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that fit into its memory; `None` if it runs no models.
    pub memory: Option<u64>,
    /// Whether another daemon may have leased its slots until now.
    pub had_arbiter: bool,
}

/// The leases of all servers of which this daemon is the arbiter.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// The servers of the last [`Self::configure`].
    servers: BTreeMap<ServerId, ServerSlots>,
    /// Requests that waited and were displaced by more urgent ones since the last
    /// [`Self::take_displaced`].
    displaced: Vec<(LeaseId, LeaseRefusal)>,
}

impl SlotTable {
    /// Replaces the servers of which this daemon is the arbiter. The leases of those that stay are kept.
    pub fn configure(&mut self, now: Instant, assigned: BTreeMap<ServerId, ArbitratedServer>) {
        self.servers.retain(|server, _| assigned.contains_key(server));
        for (server, ArbitratedServer { slots, memory, had_arbiter }) in assigned {
            let usable = (slots as usize).max(1);
            let leases_from = if had_arbiter { now + SETTLE_TIME } else { now };
            let known = self.servers.entry(server.clone());
            let known = known.or_insert_with(|| ServerSlots::new(server, now, usable, leases_from));
            known.usable = usable;
            known.memory.capacity = memory;
        }
    }

    /// Records that a server of [`Self::configure`] may have started together with this arbiter.
    pub fn suspect_start(&mut self, server: &ServerId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.may_have_started = true;
        }
    }

    /// Begins the pace of a server of [`Self::configure`] that has just started, which ends the former one.
    pub fn begin_pace(&mut self, now: Instant, server: &ServerId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.begin_pace(now, ServerStart::Fresh);
        }
    }

    /// The servers whose pace has not ended.
    pub fn paced_servers(&self) -> usize {
        self.servers.values().filter(|slots| slots.is_paced()).count()
    }

    /// Requests a lease for a holder.
    pub fn request(
        &mut self,
        now: Instant,
        server: &ServerId,
        lease: LeaseId,
        holder: &VmId,
        demand: LeaseDemand,
    ) -> LeaseDecision {
        let Some(slots) = self.servers.get_mut(server) else {
            return LeaseDecision::Refused(LeaseRefusal::NotArbiter);
        };
        let (decision, displaced) = slots.request(now, lease, holder, demand);
        self.displaced.extend(displaced);
        decision
    }

    /// Returns the requests that waited and have been refused for more urgent ones.
    pub fn take_displaced(&mut self) -> Vec<(LeaseId, LeaseRefusal)> {
        std::mem::take(&mut self.displaced)
    }

    /// Records what a holder tells of the request of its lease. Returns the leases that others get by
    /// that.
    pub fn record(
        &mut self,
        now: Instant,
        server: &ServerId,
        lease: LeaseId,
        report: &LeaseReport,
    ) -> Vec<LeaseId> {
        let Some(slots) = self.servers.get_mut(server) else { return Vec::new() };
        slots.record(now, lease, report);
        slots.grant_waiting(now)
    }

    /// The load of a server, if this daemon is its arbiter.
    pub fn load(&self, now: Instant, server: &ServerId) -> Option<LeasedLoad> {
        self.servers.get(server).map(|slots| slots.load(now))
    }

    /// Ends a lease, or a request for one; returns the leases that others get instead.
    pub fn end(&mut self, now: Instant, server: &ServerId, lease: LeaseId) -> Vec<LeaseId> {
        let Some(slots) = self.servers.get_mut(server) else { return Vec::new() };
        slots.end(now, lease);
        slots.grant_waiting(now)
    }

    /// Ends a lease whose request the server has rejected for want of room.
    pub fn reject(&mut self, now: Instant, server: &ServerId, lease: LeaseId) {
        if let Some(slots) = self.servers.get_mut(server) {
            slots.reject(now, lease);
        }
    }

    /// Grants to those that wait what may be leased by now.
    pub fn resume(&mut self, now: Instant, server: &ServerId) -> Vec<LeaseId> {
        self.servers.get_mut(server).map_or(Vec::new(), |slots| slots.grant_waiting(now))
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
                slots.confirm_use(now);
                // Its memory demand is unknown and counts as an even part.
                let even = slots.memory.capacity.unwrap_or(0) / slots.usable as u64;
                let own_tokens = u32::try_from(even).unwrap_or(u32::MAX);
                let memory = MemoryDemand { parts: Vec::new(), own_tokens };
                slots.grant(now, *lease, holder.clone(), memory, None);
            }
        }
        granted
    }

    /// Ends the leases of holders that do not confirm them any more; returns the leases that others
    /// get instead.
    pub fn expire(&mut self, now: Instant) -> Vec<LeaseId> {
        let mut granted = Vec::new();
        for slots in self.servers.values_mut() {
            let is_lost = |lease: &SlotLease| {
                now.saturating_duration_since(lease.confirmed_at) >= CONFIRM_LIMIT
            };
            let lost = slots.leases.iter().filter(|(_, lease)| is_lost(lease));
            let lost: Vec<LeaseId> = lost.map(|(lease, _)| *lease).collect();
            for lease in lost {
                slots.remove(lease);
            }
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
