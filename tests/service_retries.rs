//! The retries of many daemons at one service, beside the traffic of another one.

use {
    oleandermount::{
        ids::{RequestId, ServerId, ServiceId},
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, PolicyAction, PolicyInput, PolicyView,
            RequestTicket, RequestWork, SafeguardSet, SendOrder, ServerView,
        },
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const FAILING: &str = "orders";
const SOUND: &str = "lookups";
const SERVERS: usize = 8;
const STEP: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(40);
/// When all servers of the failing service begin to reject each request, and when they end it.
const FAILS_FROM: Duration = Duration::from_secs(12);
const FAILS_UNTIL: Duration = Duration::from_secs(30);
/// The time in which retries are counted, and how many a request may add.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

/// A fleet under a load.
#[derive(Clone, Copy)]
struct FleetLoad {
    daemons: usize,
    /// Requests a second at the failing service, and at the sound one.
    failing_rate: f64,
    sound_rate: f64,
    /// Retries at a service in a window beside those that requests add, of all daemons.
    slack: f64,
    /// When half of the daemons start again.
    restart_at: Option<Duration>,
}

/// What reached the failing service.
#[derive(Default)]
struct ServiceLog {
    requests: Vec<Duration>,
    arrivals: Vec<Duration>,
    retries: Vec<Duration>,
}

fn view(daemons: usize) -> PolicyView {
    let server = |service: &str| ServerView {
        failure_domain: "domain-0".to_owned(),
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some(service.to_owned()),
        slots: 64,
        software: String::new(),
    };
    let servers = [FAILING, SOUND].into_iter().flat_map(|service| {
        (0..SERVERS).map(move |number| (format!("{service}-{number}"), server(service)))
    });
    let names = (0..daemons).map(|daemon| (format!("vm-{daemon}"), Default::default()));
    PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        daemons: [("domain-0".to_owned(), names.collect())].into(),
        ..PolicyView::default()
    }
}

fn start_daemon(now: Instant, load: &FleetLoad, number: usize, seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: format!("vm-{number}"),
        failure_domain: "domain-0".to_owned(),
        seed,
        disabled: SafeguardSet::default(),
    });
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view(load.daemons))));
    let retries = load.slack / load.daemons as f64;
    dispatcher.handle(now, PolicyInput::RetryReserve { retries });
    dispatcher
}

fn ticket(request: RequestId, service: ServiceId, number: u64, now: Instant) -> RequestTicket {
    RequestTicket {
        request,
        organisation: format!("organisation-{}", number % 40),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(3),
        repeatable: true,
        fingerprint: number,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service },
    }
}

/// Answers a request that was sent: the failing service rejects it, the sound one runs it.
fn answer(server: &ServerId, fails: bool, order: &SendOrder) -> PolicyInput {
    let attempt = order.attempt;
    match fails && server.starts_with(FAILING) {
        true => PolicyInput::Failed {
            attempt,
            failure: AttemptFailure::Declined,
            relayed_tokens: 0,
            retry_after: None,
        },
        false => PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 0 },
    }
}

/// Runs the load in virtual time.
fn simulate(load: FleetLoad, seed: u64) -> ServiceLog {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let began = Instant::now();
    let mut daemons: Vec<Dispatcher> = (0..load.daemons)
        .map(|number| start_daemon(began, &load, number, random.next_u64()))
        .collect();
    let mut log = ServiceLog::default();
    let mut seen = BTreeSet::new();
    let mut due = BTreeMap::from([(FAILING, 0.0), (SOUND, 0.0)]);
    let mut number = 0;
    for step in 0..(LENGTH.as_millis() / STEP.as_millis()) as u32 {
        let elapsed = STEP * step;
        let now = began + elapsed;
        if load.restart_at.is_some_and(|at| (at..at + STEP).contains(&elapsed)) {
            for restarted in (0..load.daemons).step_by(2) {
                daemons[restarted] = start_daemon(now, &load, restarted, random.next_u64());
            }
        }
        let mut inputs: Vec<(usize, PolicyInput)> =
            (0..load.daemons).map(|daemon| (daemon, PolicyInput::Wake)).collect();
        for (service, rate) in [(FAILING, load.failing_rate), (SOUND, load.sound_rate)] {
            let credit = due.get_mut(service).expect("both services have a credit");
            *credit += rate * STEP.as_secs_f64();
            while *credit >= 1.0 {
                *credit -= 1.0;
                number += 1;
                let daemon = random.next_u64() as usize % load.daemons;
                let request = format!("request-{number}");
                if service == FAILING {
                    log.requests.push(elapsed);
                }
                let ticket = ticket(request, service.to_owned(), number, now);
                inputs.push((daemon, PolicyInput::Arrive(ticket)));
            }
        }
        let fails = (FAILS_FROM..FAILS_UNTIL).contains(&elapsed);
        while let Some((daemon, input)) = inputs.pop() {
            for action in daemons[daemon].handle(now, input) {
                let PolicyAction::Send(order) = action else { continue };
                if order.server.starts_with(FAILING) {
                    log.arrivals.push(elapsed);
                    if !seen.insert(order.request.clone()) {
                        log.retries.push(elapsed);
                    }
                }
                inputs.push((daemon, answer(&order.server, fails, &order)));
            }
        }
    }
    log
}

/// Returns the largest number of retries beyond what is allowed in a window, and the retries in all.
fn largest_excess(load: FleetLoad, log: &ServiceLog) -> f64 {
    let count = |times: &[Duration], from: Duration| {
        times.iter().filter(|at| (from..from + WINDOW).contains(*at)).count() as f64
    };
    let excess = log.retries.iter().map(|from| {
        let allowed = RATIO * count(&log.requests, *from) + load.slack;
        count(&log.retries, *from) - allowed
    });
    excess.max_by(f64::total_cmp).unwrap_or(f64::NEG_INFINITY)
}

fn check(load: FleetLoad, seed: u64) {
    let log = simulate(load, seed);
    let excess = largest_excess(load, &log);
    println!(
        "{} daemons, seed {seed}: {} retries of {} requests, {excess:.0} beyond the allowed in the worst window",
        load.daemons,
        log.retries.len(),
        log.requests.len()
    );
    assert!(excess <= 0.0, "{} daemons, seed {seed}: {excess} too many", load.daemons);
    assert!(!log.retries.is_empty(), "{} daemons, seed {seed}: no retry at all", load.daemons);
}

const SMALL: FleetLoad =
    FleetLoad { daemons: 6, failing_rate: 30.0, sound_rate: 150.0, slack: 50.0, restart_at: None };
const GROWN: FleetLoad = FleetLoad {
    daemons: 67,
    failing_rate: 140.0,
    sound_rate: 700.0,
    slack: 170.0,
    restart_at: None,
};
const LARGE: FleetLoad = FleetLoad {
    daemons: 295,
    failing_rate: 300.0,
    sound_rate: 1_500.0,
    slack: 630.0,
    restart_at: None,
};

/// Guards against first sends to a sound service that earn retries at a failing one.
#[test]
fn services_earn_own_retries() {
    for load in [SMALL, GROWN, LARGE] {
        for seed in 0..3 {
            check(load, seed);
        }
    }
}

/// Guards against daemons that spend their whole reserve again after a restart.
#[test]
fn restarts_renew_no_reserve() {
    for load in [SMALL, GROWN, LARGE] {
        let restart_at = Some(FAILS_FROM + WINDOW / 2);
        check(FleetLoad { restart_at, sound_rate: 0.0, ..load }, 7);
    }
}

/// Guards against reserves of less than one retry a daemon that are rounded up.
#[test]
fn small_reserves_are_shared() {
    check(FleetLoad { slack: 40.0, sound_rate: 0.0, ..LARGE }, 9);
}
