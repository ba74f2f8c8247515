//! Leases slots of backend servers from the entries that are their arbiters.

use {
    super::slot_arbiter::SlotArbiter,
    crate::{
        ids::{LeaseId, ServerId, VmId},
        policy::slot_leases::{LeaseRefusal, LeaseReport},
        reverse_proxy::slot_lease::{LeaseFailure, LeaseHolder, SlotDemand, SlotLease, SlotLeaser},
        transport::{PeerMessage, PeerNetwork, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long a reply may take beyond the time that the request waits at the arbiter: a dial and two
/// ways across the network.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
/// How long an arbiter that did not reply is not asked again. It doubles with each further failure, up to
/// a time in which another entry becomes the arbiter.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(8);
/// Maximum number of arbiters that are not asked; several times those that an entry asks.
const MAX_PAUSED: usize = 1_024;
/// An entry that has received no reply of another arbiter for this time counts as isolated.
const ISOLATION_TIME: Duration = Duration::from_secs(2);
/// How often leases are confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after which another entry may have become the arbiter in the server list.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// Leases slots for the requests of this entry.
pub struct SlotClient {
    network: PeerNetwork,
    /// The leases of the servers of which this entry itself is the arbiter.
    own: Arc<SlotArbiter>,
    state: Mutex<ClientState>,
}

struct ClientState {
    /// The leases by arbiter; at most one for each request in flight.
    held: BTreeMap<VmId, BTreeSet<(ServerId, LeaseId)>>,
    /// Arbiters that did not reply to the last request; at most [`MAX_PAUSED`].
    paused: BTreeMap<VmId, ArbiterPause>,
    /// When another arbiter last replied.
    replied_at: Option<Instant>,
    /// Requests in flight without a lease.
    unleased: u32,
    random: Xoshiro256PlusPlus,
}

/// The time in which an arbiter is not asked.
#[derive(Clone, Copy)]
struct ArbiterPause {
    until: Instant,
    length: Duration,
}

impl SlotClient {
    /// Creates a client of an entry that is itself the arbiter `own`.
    pub fn new(network: PeerNetwork, own: Arc<SlotArbiter>) -> Self {
        let state = ClientState {
            held: BTreeMap::new(),
            paused: BTreeMap::new(),
            replied_at: None,
            unleased: 0,
            random: Xoshiro256PlusPlus::from_os_rng(),
        };
        SlotClient { network, own, state: Mutex::new(state) }
    }

    /// Confirms all leases to their arbiters once a second; never returns.
    pub async fn confirm_leases(self: Arc<Self>) {
        loop {
            sleep(CONFIRM_INTERVAL).await;
            let held = self.lock().held.clone();
            for (arbiter, leases) in held {
                let leases = leases.into_iter().collect();
                if arbiter == *self.network.vm() {
                    self.own.confirm(&arbiter, leases);
                } else {
                    self.network.send(&arbiter, PeerMessage::HeldLeases(leases));
                }
            }
        }
    }

    async fn lease_from(
        self: Arc<Self>,
        demand: SlotDemand,
        arbiter: VmId,
    ) -> Result<SlotLease, LeaseFailure> {
        let SlotDemand { server, demand, .. } = demand;
        let (patience, is_shared) = (demand.patience, demand.reading.is_some());
        let lease = {
            let mut state = self.lock();
            let lease = state.random.next_u64();
            state.held.entry(arbiter.clone()).or_default().insert((server.clone(), lease));
            lease
        };
        let (client, holder) = (Arc::clone(&self), self.network.vm().clone());
        let (arbiter_name, server_name) = (arbiter.clone(), server.clone());
        let guard = LeaseGuard {
            client,
            arbiter: arbiter_name,
            server: server_name,
            lease,
            is_refused: false,
            report: Mutex::new(None),
        };
        let result = if arbiter == holder {
            Arc::clone(&self.own).lease(server, lease, holder, demand).await
        } else {
            let request = PeerRequest::LeaseSlot { server, lease, demand };
            let reply = self.network.call(&arbiter, request, patience + REPLY_MARGIN).await;
            let Ok(PeerReply::SlotLeased(result)) = reply else {
                // Servers that share their machines are used without leases meanwhile, so that asking again
                // early would only hold up requests.
                let shortest = if is_shared { MAX_FAILURE_PAUSE } else { FAILURE_PAUSE };
                self.lock().pause(arbiter, shortest);
                return Err(LeaseFailure::Unavailable);
            };
            self.lock().record_reply(&arbiter);
            result
        };
        match result {
            Ok(grant) => Ok(SlotLease::new(guard).with_load(grant.load)),
            Err(refusal) => {
                guard.forget();
                Err(match refusal {
                    LeaseRefusal::Full(delay) => LeaseFailure::Full(delay),
                    LeaseRefusal::NotArbiter if is_shared => LeaseFailure::Unavailable,
                    LeaseRefusal::NotArbiter => LeaseFailure::Full(LIST_DELAY),
                    LeaseRefusal::Busy { delay, load } => LeaseFailure::Busy { delay, load },
                })
            }
        }
    }

    /// An entry that reaches no arbiter uses a share of the slots without leases.
    fn use_share(self: Arc<Self>, share: u32) -> Result<SlotLease, LeaseFailure> {
        let mut state = self.lock();
        let is_isolated = state.replied_at.is_none_or(|at| at.elapsed() >= ISOLATION_TIME);
        if !is_isolated || state.unleased >= share {
            return Err(LeaseFailure::Unavailable);
        }
        state.unleased += 1;
        drop(state);
        Ok(SlotLease::new(ShareGuard(self)))
    }

    fn forget(&self, arbiter: &VmId, server: &ServerId, lease: LeaseId) {
        let mut state = self.lock();
        if let Some(held) = state.held.get_mut(arbiter) {
            held.remove(&(server.clone(), lease));
            if held.is_empty() {
                state.held.remove(arbiter);
            }
        }
    }

    fn end(&self, arbiter: &VmId, server: &ServerId, lease: LeaseId, report: Option<LeaseReport>) {
        self.forget(arbiter, server, lease);
        if arbiter == self.network.vm() {
            if let Some(report) = report {
                self.own.record(server, lease, &report);
            }
            self.own.end(server, lease);
        } else {
            let message = PeerMessage::EndLease { server: server.clone(), lease, report };
            self.network.send(arbiter, message);
        }
    }

    fn record(&self, arbiter: &VmId, server: &ServerId, lease: LeaseId, report: LeaseReport) {
        if arbiter == self.network.vm() {
            self.own.record(server, lease, &report);
        } else {
            let message = PeerMessage::LeaseProgress { server: server.clone(), lease, report };
            self.network.send(arbiter, message);
        }
    }

    fn reject(&self, arbiter: &VmId, server: &ServerId, lease: LeaseId) {
        if arbiter == self.network.vm() {
            self.own.reject(server.clone(), lease);
        } else {
            let message = PeerMessage::LeaseRejected { server: server.clone(), lease };
            self.network.send(arbiter, message);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClientState {
    /// Pauses an arbiter for `shortest` or longer, unless an earlier request has done so.
    fn pause(&mut self, arbiter: VmId, shortest: Duration) {
        let now = Instant::now();
        self.paused.retain(|_, pause| now < pause.until + MAX_FAILURE_PAUSE);
        let known = self.paused.get(&arbiter).copied();
        if known.is_some_and(|known| now < known.until) || self.paused.len() >= MAX_PAUSED {
            return;
        }
        let length = known.map_or(shortest, |known| known.length * 2).min(MAX_FAILURE_PAUSE);
        self.paused.insert(arbiter, ArbiterPause { until: now + length, length });
    }

    fn is_paused(&self, arbiter: &VmId) -> bool {
        self.paused.get(arbiter).is_some_and(|pause| Instant::now() < pause.until)
    }

    fn record_reply(&mut self, arbiter: &VmId) {
        self.replied_at = Some(Instant::now());
        self.paused.remove(arbiter);
    }
}

impl SlotLeaser for SlotClient {
    fn lease(
        self: Arc<Self>,
        demand: SlotDemand,
    ) -> BoxFuture<'static, Result<SlotLease, LeaseFailure>> {
        Box::pin(async move {
            let share = demand.share;
            let arbiter = demand.arbiter.clone().filter(|vm| !self.lock().is_paused(vm));
            let result = match arbiter {
                Some(arbiter) => Arc::clone(&self).lease_from(demand, arbiter).await,
                None => Err(LeaseFailure::Unavailable),
            };
            match result {
                Err(LeaseFailure::Unavailable) => self.use_share(share),
                result => result,
            }
        })
    }
}

/// Ends a lease, or the request for one, when it is dropped.
struct LeaseGuard {
    client: Arc<SlotClient>,
    arbiter: VmId,
    server: ServerId,
    lease: LeaseId,
    /// Whether the arbiter has refused the lease, so that it knows nothing of it.
    is_refused: bool,
    /// What the arbiter learns at the end of the lease.
    report: Mutex<Option<LeaseReport>>,
}

impl LeaseGuard {
    fn forget(mut self) {
        self.is_refused = true;
    }
}

impl LeaseHolder for LeaseGuard {
    fn report_rejection(&self) {
        self.client.reject(&self.arbiter, &self.server, self.lease);
    }

    fn report_progress(&self, report: LeaseReport) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.client.record(&self.arbiter, &self.server, self.lease, report);
    }

    fn report_at_end(&self, report: LeaseReport) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = Some(report);
    }
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        match self.is_refused {
            true => self.client.forget(&self.arbiter, &self.server, self.lease),
            false => {
                let report = self.report.lock().unwrap_or_else(PoisonError::into_inner).take();
                self.client.end(&self.arbiter, &self.server, self.lease, report);
            }
        }
    }
}

/// Ends the use of a share when it is dropped.
struct ShareGuard(Arc<SlotClient>);

impl LeaseHolder for ShareGuard {
    fn report_rejection(&self) {}

    fn report_progress(&self, _: LeaseReport) {}

    fn report_at_end(&self, _: LeaseReport) {}
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        self.0.lock().unleased -= 1;
    }
}
