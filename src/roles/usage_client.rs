//! Pays for requests from the usage limits of their organisations, with units that other entries grant.

mod refused_organisations;

use {
    self::refused_organisations::RefusedOrganisations,
    super::usage_arbiter::UsageGranter,
    crate::{
        ids::{DocumentNumber, OrganisationId, VmId},
        observe::metrics::{USAGE_GRANTED, USAGE_PAID, USAGE_REFUSED, usage_decision},
        policy::usage_limits::{
            SILENCE_LIMIT, ShareGrant, ShareReport, UsageDecision, UsageHolder, UsageLimit,
            UsageReply, UsageRequest,
        },
        reverse_proxy::{
            usage_limit::{CapExceeded, UsageCharge, UsageLimiter},
            view::ProxyView,
        },
        transport::{PeerMessage, PeerNetwork, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    metrics::counter,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
};

/// How often it is looked for reports and units that are due. Nothing is sent unless there are some.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// How often state that is not in use is forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Entries that are asked for the units of one request, one after the other.
const MAX_ASKED: usize = 4;
/// The delay of a request for which no entry could be asked.
const UNANSWERED_DELAY: Duration = Duration::from_secs(1);

/// Pays for the requests of this entry.
pub struct UsageClient {
    network: PeerNetwork,
    /// The caps of which this entry itself is the arbiter.
    own: Arc<UsageGranter>,
    state: Mutex<ClientState>,
    has_caps: watch::Sender<bool>,
}

#[derive(Default)]
struct ClientState {
    holder: UsageHolder,
    /// The settings that are in force.
    settings: UsageSettings,
    refused: RefusedOrganisations,
    /// Whether this entry stops and has released its shares.
    is_released: bool,
}

/// What decides on caps and their arbiters.
#[derive(Default, PartialEq)]
struct UsageSettings {
    document: DocumentNumber,
    arbiters: BTreeSet<VmId>,
    entries: usize,
}

impl UsageClient {
    /// Creates a client of an entry that is itself the arbiter `own`.
    pub fn new(network: PeerNetwork, own: Arc<UsageGranter>) -> Self {
        let has_caps = watch::channel(false).0;
        UsageClient { network, own, state: Mutex::default(), has_caps }
    }

    /// Applies the caps and the arbiters of a view; `entries` is the number of entries that share the caps.
    pub fn configure(&self, view: &ProxyView, entries: usize) {
        let Some(table) = view.index.as_ref().map(|index| &index.table) else { return };
        let is_used = table.access.organisations().any(|(_, access)| access.cap.is_some());
        if !is_used && !*self.has_caps.borrow() {
            return;
        }
        let arbiters = view.servers.values().filter_map(|server| server.arbiter.clone()).collect();
        let settings = UsageSettings { document: table.number, arbiters, entries };
        let mut state = self.lock();
        if state.settings == settings || state.is_released {
            return;
        }
        let organisations = table.access.organisations();
        let caps: BTreeMap<OrganisationId, UsageLimit> =
            organisations.filter_map(|(name, access)| Some((name.clone(), access.cap?))).collect();
        let (now, arbiters) = (Instant::now(), settings.arbiters.clone());
        if !is_used {
            state.refused.end_all();
        }
        self.own.configure(caps.clone(), arbiters.clone());
        state.holder.configure(now, caps, arbiters, entries);
        state.settings = settings;
        drop(state);
        self.has_caps.send_replace(is_used);
    }

    /// Records that the control VMs named the arbiters in a reply to a request of this time.
    pub fn confirm(&self, sent: Instant) {
        if *self.has_caps.borrow() && self.lock().settings.arbiters.contains(self.network.vm()) {
            self.own.confirm(sent);
        }
    }

    /// Reports the shares that are in use, and returns units that are not; never returns.
    pub async fn run_reports(self: Arc<Self>) {
        let mut has_caps = self.has_caps.subscribe();
        let mut expired_at = Instant::now();
        // The sender is kept by this client.
        while has_caps.wait_for(|has_caps| *has_caps).await.is_ok() {
            sleep(REPORT_INTERVAL).await;
            if !*self.has_caps.borrow() {
                continue;
            }
            let now = Instant::now();
            let (reports, returns) = {
                let mut state = self.lock();
                (state.holder.due(now), state.holder.returns(now))
            };
            for (arbiter, units) in returns {
                self.return_units(&arbiter, units);
            }
            for (arbiter, reports) in reports {
                tokio::spawn(Arc::clone(&self).renew(arbiter, reports));
            }
            if now - expired_at >= EXPIRY_INTERVAL {
                expired_at = now;
                self.lock().refused.expire(now);
                self.own.expire();
            }
        }
    }

    fn return_units(&self, arbiter: &VmId, units: Vec<(OrganisationId, f64)>) {
        if arbiter == self.network.vm() {
            self.own.give_back(units);
        } else {
            self.network.send(arbiter, PeerMessage::ReturnUsage(units));
        }
    }

    async fn renew(self: Arc<Self>, arbiter: VmId, reports: Vec<ShareReport>) {
        let sent = Instant::now();
        let grants: Option<Vec<ShareGrant>> = if arbiter == *self.network.vm() {
            Some(self.own.renew(&arbiter, reports))
        } else {
            let request = PeerRequest::RenewUsage(reports);
            match self.network.call(&arbiter, request, SILENCE_LIMIT).await {
                Ok(PeerReply::UsageRenewed(grants)) => Some(grants),
                _ => None,
            }
        };
        // Without a reply the shares are used after a while, and end by themselves.
        if let Some(grants) = grants {
            self.lock().holder.record_renewal(Instant::now(), &arbiter, sent, grants);
        }
    }

    /// Tells all arbiters that this entry stops and uses no shares any more. Returns whether there are caps.
    pub fn release(&self) -> bool {
        if !self.has_caps.send_replace(false) {
            return false;
        }
        let arbiters = {
            let mut state = self.lock();
            state.is_released = true;
            state.settings.arbiters.clone()
        };
        for arbiter in arbiters.iter().filter(|arbiter| *arbiter != self.network.vm()) {
            self.network.send(arbiter, PeerMessage::ReleaseUsage);
        }
        true
    }

    /// Asks entries for the units of a request until one has replied.
    async fn ask_entries(
        self: Arc<Self>,
        organisation: OrganisationId,
        cost: f64,
        mut decision: UsageDecision,
    ) -> Result<Option<UsageCharge>, CapExceeded> {
        let mut decided_by = usage_decision::LOCAL;
        for _ in 0..MAX_ASKED {
            let UsageDecision::Ask { arbiter, request } = decision else { break };
            (decision, decided_by) = self.ask(&arbiter, &request).await;
        }
        self.apply_decision(organisation, cost, decision, decided_by)
    }

    /// Asks an entry, and returns the decision and who has made it.
    async fn ask(&self, arbiter: &VmId, request: &UsageRequest) -> (UsageDecision, &'static str) {
        let sent = Instant::now();
        let reply = if arbiter == self.network.vm() {
            Some(self.own.acquire(arbiter, request))
        } else {
            let request = PeerRequest::AcquireUsage(Box::new(request.clone()));
            match self.network.call(arbiter, request, SILENCE_LIMIT).await {
                Ok(PeerReply::UsageAcquired(reply)) => Some(reply),
                _ => None,
            }
        };
        if let Some(UsageReply::Granted { units, .. }) = &reply {
            counter!(USAGE_GRANTED).increment(*units as u64);
        }
        let (mut state, now) = (self.lock(), Instant::now());
        match reply {
            Some(reply) => {
                let decision = state.holder.record_reply(now, arbiter, request, sent, reply);
                (decision, usage_decision::ARBITER)
            }
            None => (state.holder.record_failure(now, arbiter, request), usage_decision::SILENT),
        }
    }

    fn apply_decision(
        self: Arc<Self>,
        organisation: OrganisationId,
        cost: f64,
        decision: UsageDecision,
        decided_by: &'static str,
    ) -> Result<Option<UsageCharge>, CapExceeded> {
        let retry_after = match decision {
            UsageDecision::Unlimited => return Ok(None),
            UsageDecision::Granted => {
                counter!(USAGE_PAID).increment(cost as u64);
                self.lock().refused.record_paid(&organisation, cost);
                return Ok(Some(UsageCharge::new(self, organisation, cost)));
            }
            UsageDecision::Refused { retry_after } => retry_after,
            UsageDecision::Ask { .. } => UNANSWERED_DELAY,
        };
        counter!(USAGE_REFUSED, "decision" => decided_by).increment(1);
        let mut state = self.lock();
        if let Some(cap) = state.holder.cap(&organisation).copied() {
            state.refused.record_refused(Instant::now(), &organisation, &cap, cost);
        }
        Err(CapExceeded { retry_after })
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UsageLimiter for UsageClient {
    fn acquire(
        self: Arc<Self>,
        organisation: OrganisationId,
        cost: f64,
    ) -> BoxFuture<'static, Result<Option<UsageCharge>, CapExceeded>> {
        Box::pin(async move {
            let decision = self.lock().holder.decide(Instant::now(), &organisation, cost);
            if !matches!(decision, UsageDecision::Ask { .. }) {
                return self.apply_decision(organisation, cost, decision, usage_decision::LOCAL);
            }
            // A task of its own goes on if the caller leaves, so that units which are granted to it are
            // given back.
            let asked = tokio::spawn(self.ask_entries(organisation, cost, decision));
            asked.await.unwrap_or(Err(CapExceeded { retry_after: UNANSWERED_DELAY }))
        })
    }

    fn charge_repeat(&self, organisation: &OrganisationId, cost: f64) -> bool {
        let mut state = self.lock();
        let may_run = state.holder.charge_repeat(Instant::now(), organisation, cost);
        if may_run {
            counter!(USAGE_PAID).increment(cost as u64);
            state.refused.record_paid(organisation, cost);
        }
        may_run
    }

    fn give_back(&self, organisation: &OrganisationId, cost: f64) {
        self.lock().holder.not_run(Instant::now(), organisation, cost);
    }
}
