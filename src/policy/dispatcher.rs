//! The one place where waiting requests meet backend servers.
//!
//! [`Dispatcher::handle`] takes one input at a time and says what is to be done. Each request gets
//! exactly one final outcome: a refusal, the end of an attempt, or its caller leaves. An attempt's
//! reports count only while the attempt is in the table, so late and crossed ones change nothing.

pub mod arrivals;
pub mod attempts;
pub mod digests;
mod fetching;
mod homes;
mod keeping;
pub mod lifecycle;
pub mod placing;
pub mod reports;
mod sending;
pub mod servers;
pub mod wakeups;

use {
    self::{
        lifecycle::RequestPhase,
        servers::{PoolIndex, ServerTable},
    },
    super::{
        DidRun, PolicyAction, PolicyInput, PolicySafeguard, PolicyView, RefusalReason,
        SafeguardSet,
        fairness::FairQueue,
        placement::HeatTable,
        prefix::{HoldingTable, MAX_PREFIXES, ServerIndex},
        retry::BudgetBook,
        suspect::SuspectList,
    },
    crate::{
        ids::{AttemptId, FailureDomainId, ModelId, RequestId, VmId, WeightsVersion},
        inventory::ServerKind,
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What a dispatcher is made with.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// The VM that this daemon runs on.
    pub daemon: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Seeds every random choice; take it from the system's generator outside tests, since attempt
    /// ids are drawn from it.
    pub seed: u64,
    /// Safeguards that are off; empty but in tests and while an operator looks for a cause.
    pub disabled: SafeguardSet,
}

/// Decides for one daemon which request goes where and when.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    view: Arc<PolicyView>,
    random: Xoshiro256PlusPlus,
    /// The latest moment seen; never goes back.
    now: Option<Instant>,
    table: ServerTable,
    holdings: HoldingTable,
    heats: HeatTable,
    budgets: BudgetBook,
    suspects: SuspectList,
    /// Fingerprints under suspicion that are in flight from here; each at most once.
    running_suspects: BTreeSet<u64>,
    /// Requests without a final outcome: what waits is bounded by each pool's queue, what runs by
    /// the windows.
    requests: BTreeMap<u64, RequestEntry>,
    /// The same requests by name.
    numbers: BTreeMap<RequestId, u64>,
    next_number: u64,
    /// Attempts in flight; one for each running request.
    attempts: BTreeMap<AttemptId, AttemptState>,
    /// Deadlines and pauses of waiting requests; at most two for each.
    timers: BTreeSet<(Instant, u64)>,
    /// Domains that can be reached; `None` until told, and then all can.
    reachable: Option<BTreeSet<FailureDomainId>>,
    peers: digests::PeerBook,
    /// Prompt-keeps that the configuration lists.
    keeps: usize,
    /// Tokens a second that engines fetch from each other; `None` if they cannot.
    fetch_rate: Option<f64>,
    /// The store of KV cache that engines share; `None` while there is none or it is away.
    keep_link: Option<keeping::KeepLink>,
    /// The newest weights named, by model; what has others is no source.
    newest_weights: BTreeMap<ModelId, WeightsVersion>,
    /// Servers that are ejected and wait for a probe.
    ejected: BTreeSet<ServerIndex>,
    /// When waiting requests are looked at again though nothing happened.
    look_at: Option<Instant>,
    actions: Vec<PolicyAction>,
}

/// A request without a final outcome.
#[derive(Debug)]
struct RequestEntry {
    pool: PoolIndex,
    /// Estimated cost in tokens, as queued.
    cost: u64,
    phase: RequestPhase,
}

/// One attempt in flight.
#[derive(Clone, Debug)]
pub struct AttemptState {
    number: u64,
    server: ServerIndex,
    sent: Instant,
    /// Predicted time to the first token.
    predicted: Duration,
    /// Prompt tokens it has to compute, as predicted.
    computed: u32,
    /// Prompt tokens expected in the cache.
    expected_hit: u32,
    /// Tokens that are held there if the other daemons send the prefix home, too; 0 elsewhere.
    home_tokens: u32,
    /// Age of that holding.
    hit_age: u64,
    /// The generation of the server's cache it was sent under.
    generation: u32,
    /// Weights it was sent for, if known.
    weights: Option<WeightsVersion>,
    /// Output tokens charged in advance.
    charged_output: u64,
    urgency: servers::Urgency,
    answered: bool,
    /// Its fingerprint, if it ran as a suspect.
    suspect: Option<u64>,
}

impl Dispatcher {
    /// A dispatcher that knows no servers yet.
    pub fn new(settings: DispatcherSettings) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Dispatcher {
            settings,
            view: Arc::default(),
            random,
            now: None,
            table: ServerTable::default(),
            holdings: HoldingTable::new(MAX_PREFIXES),
            heats: HeatTable::default(),
            budgets: BudgetBook::default(),
            suspects: SuspectList::default(),
            running_suspects: BTreeSet::new(),
            requests: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next_number: 0,
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            reachable: None,
            peers: digests::PeerBook::default(),
            keeps: 0,
            fetch_rate: None,
            keep_link: None,
            newest_weights: BTreeMap::new(),
            ejected: BTreeSet::new(),
            look_at: None,
            actions: Vec::new(),
        }
    }

    /// Takes one input at the moment `now` and says what is to be done, in order.
    ///
    /// Nothing is sent before passed deadlines are found: after a pause of the process (a frozen VM)
    /// nothing that was waiting goes out for a caller that has gone. The input comes before them,
    /// since an attempt that it ends must not be given up as well.
    pub fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction> {
        self.handle_all(now, [input])
    }

    /// Takes several inputs that belong together: nothing is sent before the last of them is taken in.
    ///
    /// A configuration that lists a server and the word that it must get no work are two inputs. A
    /// waiting request that was placed between them would go to that server, for it is idle.
    pub fn handle_all(
        &mut self,
        now: Instant,
        inputs: impl IntoIterator<Item = PolicyInput>,
    ) -> Vec<PolicyAction> {
        let now = self.now.map_or(now, |latest| latest.max(now));
        self.now = Some(now);
        for input in inputs {
            self.take(now, input);
        }
        self.pass_time(now);
        self.place_waiting(now);
        self.publish(now);
        std::mem::take(&mut self.actions)
    }

    /// When `Wake` is wanted next.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let probes = self.ejected.iter().map(|index| &self.table.servers[*index].failures);
        let probe = probes.filter_map(|record| record.probe_due()).min();
        [timer, probe, self.look_at, self.peers.publish_at()].into_iter().flatten().min()
    }

    fn take(&mut self, now: Instant, input: PolicyInput) {
        match input {
            PolicyInput::Configure(view) => self.configure(view),
            PolicyInput::Arrive(ticket) => self.arrive(now, ticket),
            PolicyInput::FirstToken { attempt, cached_tokens } => {
                self.note_first_token(now, attempt, cached_tokens);
            }
            PolicyInput::Progress { attempt, .. } => {
                self.note_first_token(now, attempt, None);
            }
            PolicyInput::Finished { attempt, cached_tokens, output_tokens } => {
                self.finish(now, attempt, cached_tokens, output_tokens);
            }
            PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after } => {
                let failed = attempts::FailedAttempt { failure, relayed_tokens, retry_after };
                self.fail(now, attempt, failed);
            }
            PolicyInput::CallerDisconnected { request } => self.drop_caller(now, &request),
            PolicyInput::Load(report) => self.note_load(now, &report),
            PolicyInput::Cache(event) => self.note_cache(&event),
            PolicyInput::Health { server, health } => self.note_health(now, &server, health),
            PolicyInput::Reachable { domains } => self.note_reachable(domains),
            PolicyInput::Digest(digest) => self.hear_digest(now, digest),
            PolicyInput::Probed { server, answered } => self.note_probe(now, &server, answered),
            PolicyInput::PeerFetch { rate, newest } => {
                self.fetch_rate = rate.filter(|_| self.is_on(PolicySafeguard::PeerFetch));
                self.newest_weights = newest;
            }
            PolicyInput::CacheStoreLink { rate } => {
                let rate = rate.filter(|_| self.is_on(PolicySafeguard::CacheStore));
                self.keep_link = rate.map(|rate| match self.keep_link.take() {
                    Some(link) => link.paced(rate),
                    None => keeping::KeepLink::new(rate),
                });
            }
            PolicyInput::RetryReserve { retries } => self.budgets.bound_reserve(retries),
            PolicyInput::Wake => {}
        }
    }

    fn is_on(&self, safeguard: PolicySafeguard) -> bool {
        !self.settings.disabled.contains(safeguard)
    }

    /// A number in 0 to 1.
    fn chance(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn configure(&mut self, view: Arc<PolicyView>) {
        let daemons = view.daemons.values().map(BTreeMap::len).sum::<usize>().max(1);
        let fair = self.is_on(PolicySafeguard::Fairness);
        let make = move || if fair { FairQueue::default() } else { FairQueue::in_arrival_order() };
        self.table.configure(&view, daemons, make);
        let kept = view.servers.values().filter(|server| server.kind == ServerKind::PromptKeep);
        self.keeps = kept.count();
        self.view = view;
        self.apply_reachable();
    }

    /// Gives a request its final refusal and forgets it.
    fn refuse(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        did_run: DidRun,
    ) {
        if let Some(number) = self.numbers.remove(&request) {
            self.requests.remove(&number);
        }
        self.actions.push(PolicyAction::Refuse { request, reason, retry_after, did_run });
    }
}
