//! The dispatcher: assigns waiting requests to backend servers.
//!
//! [`Dispatcher::handle`] takes one input at a time and returns the actions to perform. Each
//! request gets exactly one final outcome: a refusal, the end of an attempt, or the disconnection
//! of its caller. Events of an attempt count only while the attempt is in the table, so late and
//! reordered ones have no effect.

mod affinity;
pub mod arrivals;
pub mod attempts;
mod begin_limits;
mod cache_store;
mod delays;
pub mod digests;
pub mod lifecycle;
mod peer_fetch;
pub mod reports;
pub mod selection;
pub mod servers;
mod submission;
pub mod timers;

pub use self::attempts::MAX_BUSY_SERVERS;

use {
    self::{
        lifecycle::RequestPhase,
        servers::{PoolIndex, ServerTable},
    },
    super::{
        DidRun, PolicyAction, PolicyInput, PolicySafeguard, PolicyView, RefusalReason,
        SafeguardSet,
        fairness::FairQueue,
        pacing::DaemonCount,
        placement::PrefixRateTable,
        prefix::{MAX_PREFIXES, PrefixTable, ServerIndex},
        reachability::LinkFailure,
        retry::RetryBudgets,
        suspect::SuspectList,
        work_time::FigureDecay,
    },
    crate::{
        ids::{
            AttemptId, FailureDomainId, ModelId, RequestId, SoftwareVersion, VmId, WeightsVersion,
        },
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

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// The VM that this daemon runs on.
    pub daemon: VmId,
    /// The failure domain of that VM.
    pub failure_domain: FailureDomainId,
    /// Seed of all random choices. Attempt ids are drawn from it, so outside tests it must come
    /// from the system's random number generator.
    pub seed: u64,
    /// Disabled safeguards; empty except in tests and while an operator searches for the cause of a
    /// fault.
    pub disabled: SafeguardSet,
}

/// Decides for one daemon when each request is sent, and to which server.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    view: Arc<PolicyView>,
    random: Xoshiro256PlusPlus,
    /// Latest time seen; never goes back.
    now: Option<Instant>,
    table: ServerTable,
    prefix_table: PrefixTable,
    prefix_rates: PrefixRateTable,
    budgets: RetryBudgets,
    suspects: SuspectList,
    /// Fingerprints recorded at crashes, of requests and of parts, that are in flight from this daemon; at
    /// most one request for each.
    running_suspects: BTreeSet<u64>,
    /// Requests without a final outcome. Waiting ones are bounded by the queues of the pools,
    /// running ones by the windows.
    requests: BTreeMap<u64, RequestEntry>,
    /// Numbers of these requests by request id.
    numbers: BTreeMap<RequestId, u64>,
    next_number: u64,
    /// Attempts in flight, one for each running request.
    attempts: BTreeMap<AttemptId, AttemptState>,
    /// Deadlines and retry delays of requests; at most two for each.
    timers: BTreeSet<(Instant, u64)>,
    /// Reachable failure domains; `None` until the first report, and then all are assumed
    /// reachable.
    reachable: Option<BTreeSet<FailureDomainId>>,
    peers: digests::PeerTable,
    /// Number of prompt-keep servers in the configuration.
    prompt_keeps: usize,
    /// Transfer rate between engines in tokens per second; `None` if they cannot fetch from each
    /// other.
    fetch_rate: Option<f64>,
    /// The engines' shared KV cache store; `None` if there is none or it is unreachable.
    store_link: Option<cache_store::StoreLink>,
    /// The newest named weights by model. Servers with other weights are not used as sources of a
    /// fetch.
    newest_weights: BTreeMap<ModelId, WeightsVersion>,
    /// Ejected servers.
    ejected: BTreeSet<ServerIndex>,
    /// Servers with a limit.
    limited: BTreeSet<ServerIndex>,
    daemon_count: DaemonCount,
    /// What a server's figure of its work time is worth by its age.
    figure_decay: FigureDecay,
    /// When waiting requests are considered again without an input.
    recheck_at: Option<Instant>,
    /// When the first attempt in flight is withdrawn unless its first token comes before.
    withdraw_at: Option<Instant>,
    actions: Vec<PolicyAction>,
}

/// A request without a final outcome.
#[derive(Debug)]
struct RequestEntry {
    pool: PoolIndex,
    /// Estimated cost in tokens when it was queued.
    cost: u64,
    phase: RequestPhase,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct AttemptState {
    number: u64,
    server: ServerIndex,
    sent: Instant,
    /// Predicted time to the first token.
    predicted: Duration,
    /// Multiple of the usual time that `predicted` assumes, if the server states one.
    work_time: Option<f64>,
    /// Predicted number of prompt tokens to compute.
    computed: u32,
    /// Tokens that this daemon's earlier requests had to compute there when it was sent.
    tokens_ahead: f64,
    /// Prompt tokens expected in the server's cache.
    expected_hit: u32,
    /// Tokens that the server holds if other daemons send the prefix to the same affinity server; 0
    /// if it is none.
    affinity_tokens: u32,
    /// Age of the expected hit on the server's clock.
    hit_age: u64,
    /// Generation of the server's cache state when it was sent.
    generation: u32,
    /// Weights it was sent for, if known.
    weights: Option<WeightsVersion>,
    /// Software version of the server when it was sent; a list may name another one later.
    software: SoftwareVersion,
    /// Output tokens charged in advance.
    charged_output: u64,
    urgency: servers::Urgency,
    /// Whether it had the lease of a slot.
    leased: bool,
    answered: bool,
    /// The time before which its first token must come, since newer weights than `weights` are named.
    begin_before: Option<Instant>,
    /// Whether it was withdrawn, since its first token did not come in time.
    withdrawn: bool,
    /// The fingerprints, of it and of its parts, for which it runs apart from other such requests.
    suspects: Vec<u64>,
}

impl AttemptState {
    /// When it is withdrawn unless its first token comes before; `None` if it is not.
    fn withdrawal_due(&self) -> Option<Instant> {
        self.begin_before.filter(|_| !self.answered && !self.withdrawn)
    }
}

impl Dispatcher {
    /// Creates a dispatcher without servers; the first `Configure` input adds them.
    pub fn new(settings: DispatcherSettings) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Dispatcher {
            settings,
            view: Arc::default(),
            random,
            now: None,
            table: ServerTable::default(),
            prefix_table: PrefixTable::new(MAX_PREFIXES),
            prefix_rates: PrefixRateTable::default(),
            budgets: RetryBudgets::default(),
            suspects: SuspectList::default(),
            running_suspects: BTreeSet::new(),
            requests: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next_number: 0,
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            reachable: None,
            peers: digests::PeerTable::default(),
            prompt_keeps: 0,
            fetch_rate: None,
            store_link: None,
            newest_weights: BTreeMap::new(),
            ejected: BTreeSet::new(),
            limited: BTreeSet::new(),
            daemon_count: DaemonCount::default(),
            figure_decay: FigureDecay::default(),
            recheck_at: None,
            withdraw_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles one input at time `now` and returns the resulting actions in order.
    ///
    /// Expired deadlines are processed before anything is sent, so that a process resumed after a
    /// pause sends no request whose caller has given up. The input is handled before the deadlines,
    /// since an attempt that it ends must not be aborted as well.
    pub fn handle(&mut self, now: Instant, input: PolicyInput) -> Vec<PolicyAction> {
        self.handle_all(now, [input])
    }

    /// Handles several inputs atomically: nothing is sent before the last one has been handled.
    ///
    /// For example, a configuration that lists a server and the report that it must get no requests
    /// are two inputs. A waiting request placed between them would be sent to that server, because
    /// it is idle.
    pub fn handle_all(
        &mut self,
        now: Instant,
        inputs: impl IntoIterator<Item = PolicyInput>,
    ) -> Vec<PolicyAction> {
        let now = self.now.map_or(now, |latest| latest.max(now));
        self.now = Some(now);
        for input in inputs {
            self.apply_input(now, input);
        }
        self.advance_time(now);
        self.place_waiting(now);
        self.publish(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when `Wake` has to be handled next.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let probes = self.ejected.iter().map(|index| &self.table.servers[*index].failures);
        let probe = probes.filter_map(|record| record.probe_due()).min();
        let others = [self.recheck_at, self.withdraw_at, self.peers.publish_at()];
        [timer, probe].into_iter().chain(others).flatten().min()
    }

    fn apply_input(&mut self, now: Instant, input: PolicyInput) {
        match input {
            PolicyInput::Configure(view) => self.configure(now, view),
            PolicyInput::Arrive(ticket) => self.arrive(now, ticket),
            PolicyInput::FirstToken { attempt, cached_tokens } => {
                self.record_first_token(now, attempt, cached_tokens);
            }
            PolicyInput::Leased { attempt } => self.record_lease(now, attempt),
            PolicyInput::Progress { attempt, .. } => {
                self.record_first_token(now, attempt, None);
            }
            PolicyInput::Finished { attempt, cached_tokens, output_tokens } => {
                self.finish(now, attempt, cached_tokens, output_tokens);
            }
            PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after } => {
                let failed = attempts::FailedAttempt { failure, relayed_tokens, retry_after };
                self.fail(now, attempt, failed);
            }
            PolicyInput::CallerDisconnected { request } => self.handle_disconnect(now, &request),
            PolicyInput::Load(report) => self.record_load(now, &report),
            PolicyInput::Cache(event) => self.record_cache(&event),
            PolicyInput::Health { server, health } => self.record_health(now, &server, health),
            PolicyInput::Reachable { domains } => self.record_reachable(domains),
            PolicyInput::CrashReports(reports) => {
                self.merge_crash_reports(now, &reports);
            }
            PolicyInput::LinksFailed(failure) => {
                self.peers.doubt_links(now);
                if failure == LinkFailure::Certain {
                    self.suspects.clear_own(now);
                    self.peers.publish_now(now);
                }
            }
            PolicyInput::Digest(digest) => self.merge_digest(now, digest),
            PolicyInput::ServerRest { server, delay } => self.record_rest(now, &server, delay),
            PolicyInput::ServerLeaving { server, leaving } => {
                self.record_leaving(&server, leaving);
            }
            PolicyInput::ServerLimit { server, limit } => self.record_limit(now, &server, limit),
            PolicyInput::ServerEnded { server } => self.record_end(now, &server),
            PolicyInput::ServerIdentified { server, incarnation, sent } => {
                self.record_identity(now, &server, incarnation, sent);
            }
            PolicyInput::Probed { server, answered } => self.record_probe(now, &server, answered),
            PolicyInput::PeerFetch { rate, newest } => {
                self.fetch_rate = rate.filter(|_| self.is_enabled(PolicySafeguard::PeerFetch));
                self.newest_weights = newest;
            }
            PolicyInput::CacheStoreLink { rate } => {
                let rate = rate.filter(|_| self.is_enabled(PolicySafeguard::CacheStore));
                self.store_link = rate.map(|rate| match self.store_link.take() {
                    Some(link) => link.with_rate(rate),
                    None => cache_store::StoreLink::new(rate),
                });
            }
            PolicyInput::RetryReserve { retries } => {
                self.budgets.limit_reserve(retries, &self.settings.daemon);
            }
            PolicyInput::LeasedLoad { server, load } => {
                self.record_leased_load(now, &server, load);
            }
            PolicyInput::Wake => {}
            PolicyInput::WorkTime { server, ratio } => self.record_work_time(now, &server, ratio),
        }
    }

    fn is_enabled(&self, safeguard: PolicySafeguard) -> bool {
        !self.settings.disabled.contains(safeguard)
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    fn random_unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn configure(&mut self, now: Instant, view: Arc<PolicyView>) {
        let listed = self.table.by_id.iter();
        let removed: Vec<ServerIndex> = listed
            .filter(|(id, _)| !view.servers.contains_key(*id))
            .map(|(_, index)| *index)
            .collect();
        removed.into_iter().for_each(|index| self.confirm_crashes(now, index));
        let daemons = view.daemons.values().map(BTreeMap::len).sum::<usize>().max(1);
        let fair = self.is_enabled(PolicySafeguard::Fairness);
        let make_queue =
            move || if fair { FairQueue::default() } else { FairQueue::in_arrival_order() };
        self.table.configure(&view, daemons, make_queue);
        let daemons = self.daemon_count.update(now, daemons);
        self.update_limits(now, daemons);
        let prompt_keeps =
            view.servers.values().filter(|server| server.kind == ServerKind::CacheStore);
        self.prompt_keeps = prompt_keeps.count();
        let has_other_limits = view.begin_limits != self.view.begin_limits;
        self.view = view;
        if has_other_limits {
            self.update_begin_limits();
        }
        self.apply_reachable();
    }

    /// Refuses a request, which is its final outcome, and removes it.
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
