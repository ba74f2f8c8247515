//! Leases the slots of the backend servers of which this entry is the arbiter.

use {
    crate::{
        fleet::ListedServer,
        ids::{Incarnation, LeaseId, ServerId, ServiceId, VmId},
        observe::metrics::PACED_SERVERS,
        policy::slot_leases::{
            ArbitratedServer, LeaseDecision, LeaseDemand, LeaseGrant, LeaseRefusal, LeaseReport,
            REJECTION_PAUSE, ServerStart, SlotTable,
        },
    },
    metrics::gauge,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// How often leases that were not confirmed are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct ArbiterState {
    table: SlotTable,
    /// Requests that wait for a lease; the table bounds their number.
    waiting: BTreeMap<LeaseId, oneshot::Sender<Result<(), LeaseRefusal>>>,
    /// The servers of the last list; `None` before the first list.
    listed: Option<BTreeMap<ServerId, KnownServer>>,
    /// Services whose servers have a pace after they start; `None` if there are no paces.
    paced: Option<BTreeSet<ServiceId>>,
}

/// What the last list said of a server.
struct KnownServer {
    arbiter: Option<VmId>,
    incarnation: Incarnation,
}

fn start_of(
    listed: Option<&BTreeMap<ServerId, KnownServer>>,
    server: &ListedServer,
) -> ServerStart {
    let Some(listed) = listed else { return ServerStart::Unknown };
    match listed.get(&server.id) {
        Some(known) if known.incarnation == server.incarnation => ServerStart::InUse,
        Some(_) | None => ServerStart::Fresh,
    }
}

impl ArbiterState {
    /// Begins the paces of the servers that have just started.
    fn begin_paces<'a>(&mut self, assigned: impl IntoIterator<Item = &'a ListedServer>) {
        let Some(paced) = &self.paced else { return };
        let now = Instant::now();
        for server in assigned {
            match start_of(self.listed.as_ref(), server) {
                ServerStart::Fresh if paced.contains(&server.service) => {
                    self.table.begin_pace(now, &server.id);
                }
                // Which services need paces is not known yet either.
                ServerStart::Unknown => self.table.suspect_start(&server.id),
                ServerStart::InUse | ServerStart::Fresh => {}
            }
        }
    }

    fn show_paces(&self) {
        gauge!(PACED_SERVERS).set(self.table.paced_servers() as f64);
    }

    fn wake(&mut self, granted: Vec<LeaseId>) {
        for lease in granted {
            // A request that has given up ends its lease itself.
            let _ = self.waiting.remove(&lease).map(|sender| sender.send(Ok(())));
        }
    }

    fn refuse_displaced(&mut self) {
        for (lease, refusal) in self.table.take_displaced() {
            let _ = self.waiting.remove(&lease).map(|sender| sender.send(Err(refusal)));
        }
    }

    fn grant(&self, server: &ServerId, is_shared: bool) -> LeaseGrant {
        LeaseGrant { load: self.table.load(Instant::now(), server).filter(|_| is_shared) }
    }
}

/// The leases of the servers of which this entry is the arbiter.
#[derive(Default)]
pub struct SlotArbiter(Mutex<ArbiterState>);

impl SlotArbiter {
    /// Sets the services whose servers have a pace after they start. Without it there are no paces.
    pub fn pace_services(&self, services: BTreeSet<ServiceId>) {
        self.lock().paced = Some(services);
    }

    /// Applies a server list. `memory` returns the tokens that fit into the memory of a server of an engine
    /// service.
    pub fn configure(
        &self,
        own: &VmId,
        servers: &BTreeMap<ServerId, ListedServer>,
        memory: impl Fn(&ServiceId) -> Option<u64>,
    ) {
        let mut state = self.lock();
        let assigned = || servers.values().filter(|server| server.arbiter.as_ref() == Some(own));
        // Before the first list a former process of this entry may have leased slots.
        let had_arbiter = |server: &ServerId| match &state.listed {
            Some(listed) => listed.get(server).is_some_and(|known| known.arbiter.is_some()),
            None => true,
        };
        let arbitrated = assigned().map(|server| {
            let arbitrated = ArbitratedServer {
                slots: server.slots,
                memory: memory(&server.service),
                had_arbiter: had_arbiter(&server.id),
            };
            (server.id.clone(), arbitrated)
        });
        let arbitrated = arbitrated.collect();
        state.table.configure(Instant::now(), arbitrated);
        state.begin_paces(assigned());
        state.show_paces();
        let listed = servers.values().map(|server| {
            let (arbiter, incarnation) = (server.arbiter.clone(), server.incarnation);
            (server.id.clone(), KnownServer { arbiter, incarnation })
        });
        state.listed = Some(listed.collect());
    }

    /// Leases a slot, and the memory that a request needs, to `holder`.
    ///
    /// # Errors
    /// When no slot becomes free in time, or another entry is the arbiter.
    pub async fn lease(
        self: Arc<Self>,
        server: ServerId,
        lease: LeaseId,
        holder: VmId,
        demand: LeaseDemand,
    ) -> Result<LeaseGrant, LeaseRefusal> {
        let (patience, is_shared) = (demand.patience, demand.reading.is_some());
        let (decision, receiver) = {
            let mut state = self.lock();
            let now = Instant::now();
            let decision = state.table.request(now, &server, lease, &holder, demand);
            state.refuse_displaced();
            let receiver = (decision == LeaseDecision::Waiting).then(|| {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(lease, sender);
                receiver
            });
            (decision, receiver)
        };
        match decision {
            LeaseDecision::Refused(refusal) => return Err(refusal),
            LeaseDecision::Granted => return Ok(self.lock().grant(&server, is_shared)),
            LeaseDecision::Waiting => {}
        }
        let mut waiting = WaitingRequest { arbiter: self, server, lease, is_granted: false };
        if let Some(receiver) = receiver
            && let Ok(Ok(result)) = timeout(patience, receiver).await
        {
            waiting.is_granted = result.is_ok();
            result?;
            return Ok(waiting.arbiter.lock().grant(&waiting.server, is_shared));
        }
        Err(LeaseRefusal::Full(patience))
    }

    /// Ends a lease, or a request for one.
    pub fn end(&self, server: &ServerId, lease: LeaseId) {
        let mut state = self.lock();
        state.waiting.remove(&lease);
        let granted = state.table.end(Instant::now(), server, lease);
        state.wake(granted);
    }

    /// Records what a holder tells of the request of its lease.
    pub fn record(&self, server: &ServerId, lease: LeaseId, report: &LeaseReport) {
        let mut state = self.lock();
        let granted = state.table.record(Instant::now(), server, lease, report);
        state.wake(granted);
    }

    /// Records that a server has rejected the request of a lease, which has ended by that. Leases nothing
    /// of the server for a while.
    pub fn reject(self: &Arc<Self>, server: ServerId, lease: LeaseId) {
        self.lock().table.reject(Instant::now(), &server, lease);
        // Without a runtime the process is ending.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let arbiter = Arc::clone(self);
        runtime.spawn(async move {
            sleep(REJECTION_PAUSE).await;
            let mut state = arbiter.lock();
            let granted = state.table.resume(Instant::now(), &server);
            state.wake(granted);
        });
    }

    /// Records all leases that a holder has here.
    pub fn confirm(&self, holder: &VmId, held: Vec<(ServerId, LeaseId)>) {
        let mut state = self.lock();
        let held = held.into_iter().collect();
        let granted = state.table.confirm(Instant::now(), holder, &held);
        state.wake(granted);
    }

    /// Ends leases that are not confirmed any more; never returns.
    pub async fn run_expiry(self: Arc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let mut state = self.lock();
            let granted = state.table.expire(Instant::now());
            state.wake(granted);
            state.show_paces();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ArbiterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for a lease; dropping it gives up.
struct WaitingRequest {
    arbiter: Arc<SlotArbiter>,
    server: ServerId,
    lease: LeaseId,
    is_granted: bool,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if !self.is_granted {
            self.arbiter.end(&self.server, self.lease);
        }
    }
}
