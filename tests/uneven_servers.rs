//! Engines of different speeds on machines that they share with others: each machine slows down to
//! 2.5 times the usual work time for some hundred milliseconds at a time, at moments of its own.
//! Long prompts share prefixes that have affinity servers.

use {
    oleandermount::{
        ids::AttemptId,
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicySafeguard,
            PolicyView, PrefixLevel, RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

const MODEL: &str = "reader";
const SHARED_TOKENS: u32 = 6_300;
const OWN_TOKENS: u32 = 2_900;
const CHAT_TOKENS: u32 = 800;
const SLOTS: u32 = 48;
/// Prompt tokens that an engine of speed 1.0 reads per second at a usual moment.
const READ_RATE: f64 = 40_000.0;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const DECODE_TIME: Duration = Duration::from_millis(150);
const SLOW_RATIO: f64 = 2.5;
const USUAL_RATIO: f64 = 0.9;
/// How long a work time holds, and one in how many is slow.
const HOLD: Duration = Duration::from_millis(600);
const SLOW_ONE_IN: u64 = 5;
/// Tokens per second that engines fetch from each other.
const FETCH_RATE: f64 = 1_000_000.0;
/// Shared levels that an engine holds.
const HELD_LEVELS: usize = 8;
/// Time that callers wait for a first token.
const TIME_LIMIT: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(12);

#[derive(Clone, Copy)]
struct FleetSize {
    daemons: usize,
    engines: usize,
    /// Requests per second over all daemons, half of them with long prompts.
    rate: u64,
    prefixes: u64,
}

const SMALL: FleetSize = FleetSize { daemons: 59, engines: 90, rate: 850, prefixes: 300 };
const LARGE: FleetSize = FleetSize { daemons: 295, engines: 320, rate: 3_020, prefixes: 1_060 };

/// Engines that read one prompt after another.
struct EngineFleet {
    start: Instant,
    /// Shared levels that each engine holds, least recently used first.
    held: Vec<VecDeque<u64>>,
    busy_until: Vec<Instant>,
    running: Vec<BTreeMap<u64, Instant>>,
}

impl EngineFleet {
    fn speed(engine: usize) -> f64 {
        SPEEDS[engine % SPEEDS.len()]
    }

    /// Returns the work time of an engine and when it changes.
    fn work_time(&self, engine: usize, at: Instant) -> (f64, Instant) {
        let shift = HOLD.mul_f64(engine as f64 * 0.618 % 1.0);
        let passed = at.saturating_duration_since(self.start) + shift;
        let step = (passed.as_nanos() / HOLD.as_nanos()) as u32;
        let hash = xxh3_64(format!("{engine} {step}").as_bytes());
        let ratio = if hash.is_multiple_of(SLOW_ONE_IN) { SLOW_RATIO } else { USUAL_RATIO };
        (ratio, self.start + HOLD * (step + 1) - shift)
    }

    /// Returns whether an engine holds a level, which it does from now on.
    fn use_level(&mut self, engine: usize, hash: u64) -> bool {
        let held = &mut self.held[engine];
        let position = held.iter().position(|level| *level == hash);
        if let Some(position) = position {
            held.remove(position);
        } else if held.len() >= HELD_LEVELS {
            held.pop_front();
        }
        held.push_back(hash);
        position.is_some()
    }

    /// Returns the tokens that an engine has to read and when it has done so.
    fn read(
        &mut self,
        now: Instant,
        engine: usize,
        source: Option<usize>,
        levels: &[PrefixLevel],
    ) -> (u32, Instant) {
        let mut at = self.busy_until[engine].max(now);
        let (mut tokens, mut before) = (0, 0);
        for level in levels {
            let own = level.tokens - before;
            before = level.tokens;
            let fetched = source.is_some_and(|source| self.held[source].contains(&level.hash));
            if level.tokens == SHARED_TOKENS && self.use_level(engine, level.hash) {
                continue;
            }
            if fetched {
                at += Duration::from_secs_f64(f64::from(own) / FETCH_RATE);
            } else {
                tokens += own;
            }
        }
        let mut left = f64::from(tokens) / (READ_RATE * Self::speed(engine));
        loop {
            let (ratio, until) = self.work_time(engine, at);
            let span = until.saturating_duration_since(at).as_secs_f64();
            if left * ratio <= span {
                at += Duration::from_secs_f64(left * ratio);
                break;
            }
            left -= span / ratio;
            at = until;
        }
        self.busy_until[engine] = at;
        (tokens, at)
    }
}

/// An event with its daemon, its engine and when the request was sent.
type PendingEvent = (usize, usize, Instant, EngineEvent);

enum EngineEvent {
    FirstToken(AttemptId),
    Finished(AttemptId),
}

/// Results of a run.
#[derive(Default)]
struct FleetTally {
    /// Seconds of reading by engine.
    busy: Vec<f64>,
    read_tokens: u64,
    prompt_tokens: u64,
    /// Times to the first token in seconds.
    first_tokens: Vec<f64>,
    refused: u32,
}

impl FleetTally {
    fn busiest_over_mean(&self) -> f64 {
        let mean = self.busy.iter().sum::<f64>() / self.busy.len() as f64;
        self.busy.iter().copied().fold(0.0, f64::max) / mean
    }

    fn least_over_mean(&self) -> f64 {
        let mean = self.busy.iter().sum::<f64>() / self.busy.len() as f64;
        self.busy.iter().copied().fold(f64::INFINITY, f64::min) / mean
    }

    fn read_part(&self) -> f64 {
        self.read_tokens as f64 / self.prompt_tokens as f64
    }

    fn quantile(&self, part: f64) -> f64 {
        let mut times = self.first_tokens.clone();
        times.sort_by(f64::total_cmp);
        times[(part * (times.len() - 1) as f64) as usize]
    }

    /// Returns the number of requests without a first token within their deadline.
    fn unserved(&self) -> usize {
        let limit = TIME_LIMIT.as_secs_f64();
        self.refused as usize + self.first_tokens.iter().filter(|time| **time > limit).count()
    }

    fn print(&self, name: &str) {
        println!(
            "{name}: busiest {:.2}, least {:.2} of the mean {:.1}%, read {:.3}, p50 {:.3} s, p90 {:.3} s, \
             p99 {:.3} s, refused {}, unserved {}",
            self.busiest_over_mean(),
            self.least_over_mean(),
            100.0 * self.busy.iter().sum::<f64>() / self.busy.len() as f64 / MEASURED.as_secs_f64(),
            self.read_part(),
            self.quantile(0.5),
            self.quantile(0.9),
            self.quantile(0.99),
            self.refused,
            self.unserved(),
        );
    }
}

/// A running fleet.
struct FleetScenario {
    size: FleetSize,
    /// Whether engines state their work times.
    states: bool,
    random: Xoshiro256PlusPlus,
    dispatchers: Vec<Dispatcher>,
    engines: EngineFleet,
    events: BTreeMap<(Instant, u64, bool), PendingEvent>,
    now: Instant,
    number: u64,
    /// Servers in the order of the sends.
    sends: Vec<usize>,
}

impl FleetScenario {
    fn new(size: FleetSize, seed: u64, disabled: &SafeguardSet, states: bool) -> Self {
        let now = Instant::now();
        let domain = |index: usize| format!("d{}", index % 3);
        let servers = (0..size.engines).map(|index| {
            let engine = ServerView {
                software: String::new(),
                failure_domain: domain(index),
                kind: ServerKind::Engine,
                models: vec![MODEL.to_owned()],
                service: None,
                slots: SLOTS,
            };
            (engine_id(index), engine)
        });
        let mut daemons: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
        for index in 0..size.daemons {
            daemons.entry(domain(index)).or_default().insert(format!("vm-{index}"), 1.0);
        }
        let view = Arc::new(PolicyView {
            revision: 1,
            objective: DecisionObjective::FirstToken,
            servers: servers.collect(),
            daemons,
            ..PolicyView::default()
        });
        let start = |index: usize| {
            let mut dispatcher = Dispatcher::new(DispatcherSettings {
                daemon: format!("vm-{index}"),
                failure_domain: domain(index),
                seed: seed * 1_000 + index as u64,
                disabled: disabled.clone(),
            });
            dispatcher.handle(now, PolicyInput::Configure(Arc::clone(&view)));
            for engine in 0..size.engines {
                dispatcher.handle(now, PolicyInput::Load(load_report(engine, 0)));
            }
            let newest = [(MODEL.to_owned(), "1".to_owned())].into();
            let fetch = PolicyInput::PeerFetch { rate: Some(FETCH_RATE), newest };
            dispatcher.handle(now, fetch);
            dispatcher
        };
        FleetScenario {
            size,
            states,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            dispatchers: (0..size.daemons).map(start).collect(),
            engines: EngineFleet {
                start: now,
                held: vec![VecDeque::new(); size.engines],
                busy_until: vec![now; size.engines],
                running: vec![BTreeMap::new(); size.engines],
            },
            events: BTreeMap::new(),
            now,
            number: 0,
            sends: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) -> FleetTally {
        let mut tally = FleetTally { busy: vec![0.0; self.size.engines], ..FleetTally::default() };
        let gap = Duration::from_secs(1) / self.size.rate as u32;
        for _ in 0..span.as_secs() * self.size.rate {
            self.now += gap;
            self.deliver_events(&mut tally);
            self.number += 1;
            let daemon = (self.random.next_u64() % self.size.daemons as u64) as usize;
            let ticket = self.ticket();
            let actions = self.dispatchers[daemon].handle(self.now, PolicyInput::Arrive(ticket));
            self.perform(self.now, daemon, actions, &mut tally);
        }
        tally
    }

    fn deliver_events(&mut self, tally: &mut FleetTally) {
        while let Some(first) = self.events.first_entry()
            && first.key().0 <= self.now
        {
            let ((at, number, is_last), (daemon, engine, arrived, event)) = first.remove_entry();
            let input = match event {
                EngineEvent::FirstToken(attempt) => {
                    tally.first_tokens.push((at - arrived).as_secs_f64());
                    PolicyInput::FirstToken { attempt, cached_tokens: None }
                }
                EngineEvent::Finished(attempt) => {
                    PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 9 }
                }
            };
            let mut inputs = Vec::new();
            if is_last {
                self.engines.running[engine].remove(&number);
            } else {
                let running = self.engines.running[engine].len() as u32;
                inputs.push(PolicyInput::Load(load_report(engine, running)));
                if self.states {
                    let (ratio, _) = self.engines.work_time(engine, at);
                    inputs.push(PolicyInput::WorkTime { server: engine_id(engine), ratio });
                }
            }
            inputs.push(input);
            let actions = self.dispatchers[daemon].handle_all(at, inputs);
            self.perform(at, daemon, actions, tally);
        }
    }

    fn perform(
        &mut self,
        now: Instant,
        daemon: usize,
        actions: Vec<PolicyAction>,
        tally: &mut FleetTally,
    ) {
        for action in actions {
            let order = match action {
                PolicyAction::Send(order) => order,
                PolicyAction::Refuse { .. } => {
                    tally.refused += 1;
                    continue;
                }
                _ => continue,
            };
            let number: u64 = order.request[1..].parse().expect("requests are numbered");
            let engine = engine_index(&order.server);
            let source = order.source.as_deref().map(engine_index);
            let levels = levels(number, self.size);
            let before = self.engines.busy_until[engine].max(now);
            let (tokens, answered) = self.engines.read(now, engine, source, &levels);
            self.sends.push(engine);
            tally.busy[engine] += (answered - before).as_secs_f64();
            tally.read_tokens += u64::from(tokens);
            tally.prompt_tokens += u64::from(levels.last().map_or(0, |level| level.tokens));
            self.engines.running[engine].insert(number, now);
            let event = EngineEvent::FirstToken(order.attempt);
            self.events.insert((answered, number, false), (daemon, engine, now, event));
            let event = EngineEvent::Finished(order.attempt);
            self.events
                .insert((answered + DECODE_TIME, number, true), (daemon, engine, now, event));
        }
    }

    fn ticket(&self) -> RequestTicket {
        let levels = levels(self.number, self.size);
        let prompt_tokens = levels.last().map_or(0, |level| level.tokens);
        RequestTicket {
            request: format!("r{}", self.number),
            organisation: format!("o{}", self.number % 16),
            class: RequestClass::Standard,
            deadline: self.now + TIME_LIMIT,
            repeatable: true,
            fingerprint: self.number,
            parts: Vec::new(),
            software: None,
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels,
                prompt_tokens,
                max_output_tokens: 10,
            },
        }
    }
}

fn engine_id(index: usize) -> String {
    format!("engine-{index}")
}

fn engine_index(id: &str) -> usize {
    id["engine-".len()..].parse().expect("engines are numbered")
}

fn load_report(engine: usize, running: u32) -> LoadReport {
    LoadReport {
        server: engine_id(engine),
        incarnation: 1,
        weights: [(MODEL.to_owned(), "1".to_owned())].into(),
        running,
        waiting: 0,
        waiting_tokens: 0,
        cache_used: 0.0,
        leaving: false,
    }
}

/// Returns the levels of a prompt: every second one is long, with a popular prefix.
fn levels(number: u64, size: FleetSize) -> Vec<PrefixLevel> {
    let own = xxh3_64(format!("own {number}").as_bytes());
    if number % 2 == 1 {
        return vec![PrefixLevel { hash: own, tokens: CHAT_TOKENS }];
    }
    // Squaring a uniform number makes low prefixes more popular.
    let unit = (own >> 11) as f64 / (1_u64 << 53) as f64;
    let prefix = (unit * unit * size.prefixes as f64) as u64;
    vec![
        PrefixLevel { hash: xxh3_64(format!("prefix {prefix}").as_bytes()), tokens: SHARED_TOKENS },
        PrefixLevel { hash: own, tokens: SHARED_TOKENS + OWN_TOKENS },
    ]
}

fn run(size: FleetSize, seed: u64, disabled: &[PolicySafeguard], states: bool) -> FleetTally {
    let disabled = disabled.iter().copied().collect();
    let mut scenario = FleetScenario::new(size, seed, &disabled, states);
    scenario.run(WARM_UP);
    scenario.run(MEASURED)
}

// Guards against more waiting or reading by a daemon that acts on figures of the moment.
#[test]
fn figures_shorten_waits() {
    for seed in [1, 2, 3] {
        let tally = run(SMALL, seed, &[], true);
        tally.print("own");
        let baseline = run(SMALL, seed, &[PolicySafeguard::WorkTime], true);
        baseline.print("without");
        assert!(tally.quantile(0.5) < baseline.quantile(0.5));
        assert!(tally.quantile(0.9) < baseline.quantile(0.9));
        assert!(tally.read_part() <= baseline.read_part());
        assert!(tally.busiest_over_mean() < baseline.busiest_over_mean());
        assert!(tally.least_over_mean() > baseline.least_over_mean());
        assert_eq!(tally.refused, 0);
    }
}

// Guards against the same at a fleet where a daemon meets a given server once in half a minute.
#[test]
fn large_fleet_waits_no_longer() {
    let (tally, baseline) = thread::scope(|scope| {
        let baseline = scope.spawn(|| run(LARGE, 1, &[PolicySafeguard::WorkTime], true));
        (run(LARGE, 1, &[], true), baseline.join().expect("the run ends"))
    });
    tally.print("own");
    baseline.print("without");
    assert!(tally.quantile(0.5) <= baseline.quantile(0.5));
    assert!(tally.quantile(0.9) <= baseline.quantile(0.9));
    assert!(tally.read_part() <= baseline.read_part());
    assert!(tally.unserved() <= baseline.unserved());
}

// Guards against work that is spread by hash, whatever the engines' speed of the moment.
#[test]
fn busiest_engine_is_near_mean() {
    let tally = run(SMALL, 1, &[], true);
    tally.print("own");
    assert!(tally.busiest_over_mean() <= 1.2, "{:.2}", tally.busiest_over_mean());
    assert!(tally.least_over_mean() >= 0.5, "{:.2}", tally.least_over_mean());
}

// Guards against other decisions for servers that do not say how long work takes, or that an
// operator has exempted.
#[test]
fn silent_servers_are_served_as_before() {
    let sends = |disabled: &[PolicySafeguard], states| {
        let disabled = disabled.iter().copied().collect();
        let mut scenario = FleetScenario::new(SMALL, 4, &disabled, states);
        scenario.run(Duration::from_secs(4));
        scenario.sends
    };
    let silent = sends(&[], false);
    assert_eq!(silent, sends(&[PolicySafeguard::WorkTime], false));
    assert_eq!(silent, sends(&[PolicySafeguard::WorkTime], true));
    assert_ne!(silent, sends(&[], true));
}
