//! Prints what one decision costs in time and bytes against servers, organisations and prefixes,
//! with a fitted slope for each.
//!
//! One decision is an arrival that is sent, its first token and its end: three calls of `handle`.

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

/// Decisions that are timed for one figure.
const DECISIONS: u64 = 20_000;
/// Models in steady use at the design size.
const MODELS: u64 = 15;
/// Levels of a prompt.
const LEVELS: u64 = 6;

/// One size to measure.
#[derive(Clone, Copy)]
struct SlopeCase {
    servers: u64,
    organisations: u64,
    prefixes: u64,
    models: u64,
}

/// What was measured at one size.
struct SlopeFigure {
    micros: f64,
    kilobytes: f64,
}

fn main() {
    let usual = SlopeCase { servers: 870, organisations: 1_000, prefixes: 10_000, models: MODELS };
    let sizes = [10, 50, 100, 300, 870];
    slope("servers", &sizes, |servers| SlopeCase { servers, ..usual });
    slope("servers of one model", &sizes, |servers| SlopeCase { servers, models: 1, ..usual });
    let sizes = [8, 100, 1_000, 10_000, 44_000];
    slope("organisations", &sizes, |organisations| SlopeCase { organisations, ..usual });
    let sizes = [1_000, 10_000, 50_000, 200_000];
    slope("prefixes", &sizes, |prefixes| SlopeCase { prefixes, ..usual });
}

fn slope(name: &str, sizes: &[u64], case: impl Fn(u64) -> SlopeCase) {
    println!("{name:>22} {:>14} {:>14}", "us/decision", "KB resident");
    let mut points = Vec::new();
    for size in sizes {
        let figure = measure(case(*size));
        println!("{size:>22} {:>14.2} {:>14.0}", figure.micros, figure.kilobytes);
        points.push((*size as f64, figure));
    }
    let time = fit(points.iter().map(|(size, figure)| (*size, figure.micros)));
    let memory = fit(points.iter().map(|(size, figure)| (*size, figure.kilobytes)));
    println!("{:>22} {:>14.6} {:>14.4}\n", "slope for each more", time, memory);
}

/// The slope of the least-squares line.
fn fit(points: impl Iterator<Item = (f64, f64)> + Clone) -> f64 {
    let count = points.clone().count() as f64;
    let mean_x = points.clone().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.clone().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.clone().map(|(x, _)| (x - mean_x).powi(2)).sum();
    points.map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread
}

fn measure(case: SlopeCase) -> SlopeFigure {
    let before = resident_kilobytes();
    let start = Instant::now();
    let mut dispatcher = dispatcher(case, start);
    for number in 0..case.prefixes.min(DECISIONS * 4) {
        decide(&mut dispatcher, case, start, number);
    }
    let timer = Instant::now();
    for number in 0..DECISIONS {
        let virtual_now = start + Duration::from_micros(number * 30);
        decide(&mut dispatcher, case, virtual_now, case.prefixes + number);
    }
    let micros = timer.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    SlopeFigure { micros, kilobytes: resident_kilobytes() - before }
}

fn dispatcher(case: SlopeCase, now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "entry-0".to_owned(),
        failure_domain: "domain-0".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    let servers = (0..case.servers).map(|index| {
        let view = ServerView {
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
        dispatcher.handle(now, report(index, case.models));
    }
    dispatcher
}

fn report(index: u64, models: u64) -> PolicyInput {
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

/// One request from its arrival to its end.
fn decide(dispatcher: &mut Dispatcher, case: SlopeCase, now: Instant, number: u64) {
    let scattered = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let organisation = scattered % case.organisations;
    let prefix = scattered % case.prefixes;
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
        work: RequestWork::Model {
            model: format!("model-{}", organisation % case.models),
            adapter: None,
            levels: (0..LEVELS).map(level).collect(),
            prompt_tokens: 1_000 * LEVELS as u32,
            max_output_tokens: 200,
        },
    };
    let actions = dispatcher.handle(now, PolicyInput::Arrive(ticket));
    let attempts = actions.iter().filter_map(|action| match action {
        PolicyAction::Send(order) => Some(order.attempt),
        _ => None,
    });
    for attempt in attempts {
        let soon = now + Duration::from_millis(40);
        let cached_tokens = Some(3_000);
        dispatcher.handle(soon, PolicyInput::FirstToken { attempt, cached_tokens });
        let end = PolicyInput::Finished { attempt, cached_tokens, output_tokens: 100 };
        dispatcher.handle(soon, end);
    }
}

/// Memory of this process, as the kernel counts it; zero where it does not say.
fn resident_kilobytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0.0)
}
