//! Prefix affinity in a large fleet: hundreds of daemons send to hundreds of engines, each daemon
//! with a few requests per second. A few first levels are part of all long prompts, each followed
//! by hundreds of contracts that are requested rarely and through any daemon, so that the counts of
//! one daemon are a small sample of the traffic.

use {
    oleandermount::{
        ids::AttemptId,
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicyView,
            PrefixLevel, RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, LazyLock},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

const MODEL: &str = "reader";
const FIRST_TOKENS: u32 = 2_500;
const CONTRACT_TOKENS: u32 = 3_800;
const SHARED_TOKENS: u32 = FIRST_TOKENS + CONTRACT_TOKENS;
const OWN_TOKENS: u32 = 2_900;
/// Prompt tokens that an engine prefills per millisecond, and the time to generate an answer.
const PREFILL_TOKENS_PER_MS: u32 = 38;
const DECODE_TIME: Duration = Duration::from_millis(60);
/// Time for the daemons to measure the request rates.
const WARM_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(10);

/// Size and traffic of a fleet.
#[derive(Clone, Copy)]
struct FleetSize {
    daemons: usize,
    engines: usize,
    domains: usize,
    first_levels: u64,
    contracts: u64,
    /// Requests per second over all daemons.
    rate: u64,
}

const LARGE: FleetSize = FleetSize {
    daemons: 295,
    engines: 320,
    domains: 5,
    first_levels: 4,
    contracts: 2_950,
    rate: 600,
};

/// Results of a run.
#[derive(Default)]
struct FleetTally {
    by_engine: BTreeMap<String, u32>,
    by_contract: BTreeMap<u64, BTreeSet<String>>,
    requests: u32,
    /// Requests with a first-token time of more than a second.
    late: u32,
}

/// Returns the configuration with the engines selected by `is_listed`.
fn view(size: FleetSize, is_listed: impl Fn(usize) -> bool) -> Arc<PolicyView> {
    let domain = |index: usize| format!("d{}", index % size.domains);
    let servers = (0..size.engines).filter(|index| is_listed(*index)).map(|index| {
        let engine = ServerView {
            software: String::new(),
            failure_domain: domain(index),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 12,
        };
        (format!("engine-{index}"), engine)
    });
    let mut daemons: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
    for index in 0..size.daemons {
        daemons.entry(domain(index)).or_default().insert(format!("vm-{index}"), 1.0);
    }
    Arc::new(PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        daemons,
        ..PolicyView::default()
    })
}

fn dispatchers(size: FleetSize, now: Instant) -> Vec<Dispatcher> {
    let view = view(size, |_| true);
    let start = |index: usize| {
        let mut dispatcher = Dispatcher::new(DispatcherSettings {
            daemon: format!("vm-{index}"),
            failure_domain: format!("d{}", index % size.domains),
            seed: index as u64,
            disabled: SafeguardSet::default(),
        });
        dispatcher.handle(now, PolicyInput::Configure(Arc::clone(&view)));
        for server in view.servers.keys() {
            let report = LoadReport {
                server: server.clone(),
                incarnation: 1,
                weights: [(MODEL.to_owned(), "1".to_owned())].into(),
                running: 0,
                waiting: 0,
                waiting_tokens: 0,
                cache_used: 0.0,
                leaving: false,
            };
            dispatcher.handle(now, PolicyInput::Load(report));
        }
        dispatcher
    };
    (0..size.daemons).map(start).collect()
}

fn long_prompt(number: u64, size: FleetSize, contract: u64, now: Instant) -> RequestTicket {
    let hash = |text: String| xxh3_64(text.as_bytes());
    let first = PrefixLevel {
        hash: hash(format!("first {}", contract % size.first_levels)),
        tokens: FIRST_TOKENS,
    };
    let second = PrefixLevel { hash: hash(format!("contract {contract}")), tokens: SHARED_TOKENS };
    let own =
        PrefixLevel { hash: hash(format!("own {number}")), tokens: second.tokens + OWN_TOKENS };
    RequestTicket {
        request: format!("r{number}"),
        organisation: format!("o{}", contract % 190),
        class: RequestClass::Standard,
        deadline: now + Duration::from_secs(5),
        repeatable: true,
        fingerprint: number,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: MODEL.to_owned(),
            adapter: None,
            levels: vec![first, second, own],
            prompt_tokens: own.tokens,
            max_output_tokens: 5,
        },
    }
}

/// Engines that prefill one prompt after another and never evict.
#[derive(Default)]
struct EngineFleet {
    held: BTreeSet<(String, u64)>,
    busy_until: BTreeMap<String, Instant>,
}

impl EngineFleet {
    /// Returns when the first token of a prompt arrives.
    fn read(&mut self, now: Instant, server: &str, levels: &[PrefixLevel]) -> Instant {
        let missing =
            levels.iter().filter(|level| self.held.insert((server.to_owned(), level.hash)));
        let tokens = missing.map(|level| match level.tokens {
            FIRST_TOKENS => FIRST_TOKENS,
            SHARED_TOKENS => CONTRACT_TOKENS,
            _ => OWN_TOKENS,
        });
        let taken = Duration::from_millis(u64::from(tokens.sum::<u32>() / PREFILL_TOKENS_PER_MS));
        let busy_until = self.busy_until.entry(server.to_owned()).or_insert(now);
        *busy_until = (*busy_until).max(now) + taken;
        *busy_until
    }
}

/// An event of an attempt at an engine.
enum EngineEvent {
    FirstToken(AttemptId),
    Finished(AttemptId),
}

impl EngineEvent {
    fn into_input(self) -> PolicyInput {
        let cached_tokens = None;
        match self {
            EngineEvent::FirstToken(attempt) => PolicyInput::FirstToken { attempt, cached_tokens },
            EngineEvent::Finished(attempt) => {
                PolicyInput::Finished { attempt, cached_tokens, output_tokens: 5 }
            }
        }
    }
}

/// A running fleet.
struct FleetScenario {
    size: FleetSize,
    random: Xoshiro256PlusPlus,
    dispatchers: Vec<Dispatcher>,
    engines: EngineFleet,
    /// Pending events by time, request and whether the answer is complete.
    events: BTreeMap<(Instant, u64, bool), (usize, EngineEvent)>,
    now: Instant,
    number: u64,
}

impl FleetScenario {
    fn new(size: FleetSize, seed: u64) -> Self {
        let now = Instant::now();
        FleetScenario {
            size,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            dispatchers: dispatchers(size, now),
            engines: EngineFleet::default(),
            events: BTreeMap::new(),
            now,
            number: 0,
        }
    }

    /// Runs the traffic for `span` and returns the results.
    fn run(&mut self, span: Duration) -> FleetTally {
        let mut tally = FleetTally::default();
        let gap = Duration::from_secs(1) / self.size.rate as u32;
        for _ in 0..span.as_secs() * self.size.rate {
            self.now += gap;
            self.deliver_events();
            self.send_request(&mut tally);
        }
        tally
    }

    /// Configures all daemons with the engines selected by `is_listed`.
    fn configure(&mut self, is_listed: impl Fn(usize) -> bool) {
        let view = view(self.size, is_listed);
        for daemon in &mut self.dispatchers {
            daemon.handle(self.now, PolicyInput::Configure(Arc::clone(&view)));
        }
    }

    fn deliver_events(&mut self) {
        while let Some(first) = self.events.first_entry()
            && first.key().0 <= self.now
        {
            let ((at, ..), (daemon, event)) = first.remove_entry();
            self.dispatchers[daemon].handle(at, event.into_input());
        }
    }

    fn send_request(&mut self, tally: &mut FleetTally) {
        let daemon = (self.random.next_u64() % self.size.daemons as u64) as usize;
        let contract = self.random.next_u64() % self.size.contracts;
        self.number += 1;
        let ticket = long_prompt(self.number, self.size, contract, self.now);
        let RequestWork::Model { levels, .. } = &ticket.work else { return };
        let levels = levels.clone();
        for action in self.dispatchers[daemon].handle(self.now, PolicyInput::Arrive(ticket)) {
            let PolicyAction::Send(order) = action else { continue };
            let answered = self.engines.read(self.now, &order.server, &levels);
            tally.requests += 1;
            tally.late += u32::from(answered > self.now + Duration::from_secs(1));
            *tally.by_engine.entry(order.server.clone()).or_default() += 1;
            tally.by_contract.entry(contract).or_default().insert(order.server);
            let event = EngineEvent::FirstToken(order.attempt);
            self.events.insert((answered, self.number, false), (daemon, event));
            let event = EngineEvent::Finished(order.attempt);
            self.events.insert((answered + DECODE_TIME, self.number, true), (daemon, event));
        }
    }
}

/// Shared by the tests, since the scenario takes seconds.
static WARM_FLEET: LazyLock<FleetTally> = LazyLock::new(|| {
    let mut scenario = FleetScenario::new(LARGE, 1);
    scenario.run(WARM_UP);
    scenario.run(MEASURED)
});

// Guards against a number of affinity servers that does not scale with the pool.
#[test]
fn busiest_engine_gets_fair_share() {
    let tally = &*WARM_FLEET;
    let most = tally.by_engine.values().max().copied().unwrap_or_default();
    let mean = f64::from(tally.requests) / LARGE.engines as f64;
    assert!(f64::from(most) <= 4.0 * mean, "{most} at the busiest engine, {mean:.1} on average");
    let used = tally.by_engine.len();
    assert!(used >= LARGE.engines / 2, "{used} of {} engines have work", LARGE.engines);
}

// Guards against a count of one second that is treated as a full time constant after a start.
#[test]
fn load_is_balanced_after_start() {
    let mut scenario = FleetScenario::new(LARGE, 3);
    scenario.run(Duration::from_secs(1));
    let tally = scenario.run(MEASURED);
    let late = f64::from(tally.late) / f64::from(tally.requests);
    assert!(late <= 0.1, "{:.0}% of the first tokens came late", 100.0 * late);
}

// Guards against a prefix that counts as hot after one request at one of hundreds of daemons.
#[test]
fn rare_contract_uses_one_engine() {
    let tally = &*WARM_FLEET;
    let asked = tally.requests as usize;
    let pairs: usize = tally.by_contract.values().map(BTreeSet::len).sum();
    let contracts = tally.by_contract.len();
    assert!(asked >= 2 * contracts, "{asked} requests for {contracts} contracts");
    let engines = pairs as f64 / contracts as f64;
    assert!(engines <= 1.5, "a contract is read by {engines:.2} engines");
}

// Guards against affinity servers that change when other engines are removed.
#[test]
fn affinity_survives_removal_of_others() {
    const LEAVING_ONE_IN: usize = 5;
    let mut scenario = FleetScenario::new(LARGE, 4);
    scenario.run(WARM_UP);
    let before = scenario.run(MEASURED);
    scenario.configure(|engine| engine % LEAVING_ONE_IN != 0);
    let after = scenario.run(MEASURED);
    let has_left = |engine: &String| !after.by_engine.contains_key(engine);
    let (mut stayed, mut moved) = (0, 0);
    for (contract, engines) in &before.by_contract {
        let Some(current) = after.by_contract.get(contract) else { continue };
        // Contracts of removed engines have to move.
        if engines.len() == 1 && !engines.iter().any(has_left) {
            let stays = engines.is_subset(current);
            (stayed, moved) = (stayed + u32::from(stays), moved + u32::from(!stays));
        }
    }
    assert!(stayed > 500, "{stayed} contracts compared");
    assert!(moved * 10 <= stayed, "{moved} of {} contracts moved", stayed + moved);
}
