//! Measures how the time per decision and the resident memory grow with the number of servers,
//! organisations and prefixes, and prints the slope of each.
//!
//! One decision consists of three calls of `handle`: the arrival of a request, which is sent
//! immediately, its first token and its end.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicyView,
            PrefixLevel, RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
    },
    std::{
        fs,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of decisions over which one measurement is averaged.
const TIMED_DECISIONS: u64 = 20_000;
/// Number of models in regular use at the design size.
const MODELS: u64 = 15;
/// Number of prefix levels of a prompt.
const PREFIX_LEVELS: u64 = 6;

/// Numbers of servers, organisations, prefixes and models of one measurement.
#[derive(Clone, Copy)]
struct ScalingCase {
    servers: u64,
    organisations: u64,
    prefixes: u64,
    models: u64,
}

/// Mean time per decision and growth of the resident memory for one [`ScalingCase`].
struct ScalingMeasurement {
    micros: f64,
    kilobytes: f64,
}

fn main() {
    let design_size =
        ScalingCase { servers: 870, organisations: 1_000, prefixes: 10_000, models: MODELS };
    let sizes = [10, 50, 100, 300, 870];
    report_scaling("servers", &sizes, |servers| ScalingCase { servers, ..design_size });
    report_scaling("servers of one model", &sizes, |servers| ScalingCase {
        servers,
        models: 1,
        ..design_size
    });
    let sizes = [8, 100, 1_000, 10_000, 44_000];
    report_scaling("organisations", &sizes, |organisations| ScalingCase {
        organisations,
        ..design_size
    });
    let sizes = [1_000, 10_000, 50_000, 200_000];
    report_scaling("prefixes", &sizes, |prefixes| ScalingCase { prefixes, ..design_size });
}

fn report_scaling(name: &str, sizes: &[u64], case: impl Fn(u64) -> ScalingCase) {
    println!("{name:>22} {:>14} {:>14}", "us/decision", "KB resident");
    let mut points = Vec::new();
    for size in sizes {
        let measurement = measure(case(*size));
        println!("{size:>22} {:>14.2} {:>14.0}", measurement.micros, measurement.kilobytes);
        points.push((*size as f64, measurement));
    }
    let time =
        least_squares_slope(points.iter().map(|(size, measurement)| (*size, measurement.micros)));
    let memory = least_squares_slope(
        points.iter().map(|(size, measurement)| (*size, measurement.kilobytes)),
    );
    println!("{:>22} {:>14.6} {:>14.4}\n", "slope for each more", time, memory);
}

/// Returns the slope of the least-squares line through the points.
fn least_squares_slope(points: impl Iterator<Item = (f64, f64)> + Clone) -> f64 {
    let count = points.clone().count() as f64;
    let mean_x = points.clone().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.clone().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.clone().map(|(x, _)| (x - mean_x).powi(2)).sum();
    points.map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / sum_of_squares
}

fn measure(case: ScalingCase) -> ScalingMeasurement {
    let before = resident_kilobytes();
    let start = Instant::now();
    let mut dispatcher = dispatcher(case, start);
    for number in 0..case.prefixes.min(TIMED_DECISIONS * 4) {
        decide(&mut dispatcher, case, start, number);
    }
    let timer = Instant::now();
    for number in 0..TIMED_DECISIONS {
        let virtual_now = start + Duration::from_micros(number * 30);
        decide(&mut dispatcher, case, virtual_now, case.prefixes + number);
    }
    let micros = timer.elapsed().as_secs_f64() * 1e6 / TIMED_DECISIONS as f64;
    ScalingMeasurement { micros, kilobytes: resident_kilobytes() - before }
}

fn dispatcher(case: ScalingCase, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "entry-0".to_owned(),
        failure_domain: "domain-0".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    let servers = (0..case.servers).map(|index| {
        let view = ServerView {
            software: String::new(),
            failure_domain: format!("domain-{}", index % 7),
            kind: ServerKind::Engine,
            models: vec![format!("model-{}", index % case.models)],
            service: None,
            slots: 16,
        };
        (format!("engine-{index:03}"), view)
    });
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        ..PolicyView::default()
    };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    for index in 0..case.servers {
        dispatcher.handle(now, load_report(index, case.models));
    }
    dispatcher
}

fn load_report(index: u64, models: u64) -> PolicyInput {
    PolicyInput::Load(LoadReport {
        server: format!("engine-{index:03}"),
        incarnation: 1,
        weights: [(format!("model-{}", index % models), "w1".to_owned())].into(),
        running: 0,
        waiting: 0,
        waiting_tokens: 0,
        cache_used: 0.0,
        leaving: false,
    })
}

/// Processes one request from its arrival to its end.
fn decide(dispatcher: &mut Dispatcher, case: ScalingCase, now: Instant, number: u64) {
    let hashed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let organisation = hashed % case.organisations;
    let prefix = hashed % case.prefixes;
    let level = |depth: u64| PrefixLevel {
        hash: if depth < 2 { organisation << 8 | depth } else { prefix << 8 | depth },
        tokens: 1_000 * (depth as u32 + 1),
    };
    let ticket = RequestTicket {
        request: format!("r{number}"),
        organisation: format!("organisation-{organisation}"),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(60),
        repeatable: true,
        fingerprint: number,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: format!("model-{}", organisation % case.models),
            adapter: None,
            levels: (0..PREFIX_LEVELS).map(level).collect(),
            prompt_tokens: 1_000 * PREFIX_LEVELS as u32,
            max_output_tokens: 200,
        },
    };
    let actions = dispatcher.handle(now, PolicyInput::Arrive(ticket));
    let attempts = actions.iter().filter_map(|action| match action {
        PolicyAction::Send(order) => Some(order.attempt),
        _ => None,
    });
    for attempt in attempts {
        let answered_at = now + Duration::from_millis(40);
        let cached_tokens = Some(3_000);
        dispatcher.handle(answered_at, PolicyInput::FirstToken { attempt, cached_tokens });
        let end = PolicyInput::Finished { attempt, cached_tokens, output_tokens: 100 };
        dispatcher.handle(answered_at, end);
    }
}

/// Returns the resident memory of this process; 0 if the system has no `/proc/self/status`.
fn resident_kilobytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|kilobytes| kilobytes.parse().ok()).unwrap_or(0.0)
}
