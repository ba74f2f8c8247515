//! Callers' requests, drawn before a run from its seed, so that every policy gets the same ones.

use {
    super::{
        random_source::{RandomSource, mix_hash},
        site::{ORGANISATION_SHARES, SiteName},
    },
    oleandermount::{inventory::RequestClass, policy::PrefixLevel},
    std::time::Duration,
};

/// Clients (standing orders, base stations) of each organisation; low ones are called more often.
const CLIENTS: u32 = 30;
/// Time that a person takes before the next turn of a chat, in milliseconds.
const THINK_MS: std::ops::Range<u32> = 3_000..9_000;
/// Calls to plain services for each model request.
const SERVICE_SHARE: f64 = 0.5;
/// Share of the service calls that must not be repeated.
const BOOKING_SHARE: f64 = 0.2;

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// A model's answer; the last level is the whole prompt.
    Model { levels: Vec<PrefixLevel>, output_tokens: u32 },
    /// A plain service's answer after `run` at a usual server.
    Service { run: Duration },
}

/// One request as its caller has it in mind.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When it reaches its first daemon.
    pub at: Duration,
    /// Which daemon the balancer picks; each resend goes to the next one.
    pub entry: usize,
    /// Who sends it.
    pub organisation: usize,
    /// How urgent it is.
    pub class: RequestClass,
    /// Time from the first ask to the latest useful first token.
    pub first_token_limit: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What it asks for.
    pub work: CallerWork,
    /// Whether it crashes each engine that runs it; its caller then asks again whatever it hears.
    pub poison: bool,
}

/// A stream of sessions with one mix.
#[derive(Clone, Debug)]
pub struct TrafficSpec {
    /// Names the draws; streams of other purposes are not disturbed by it.
    pub purpose: &'static str,
    /// Model requests a second over all daemons.
    pub rate: f64,
    /// First and last moment of its sessions' starts.
    pub from: Duration,
    /// Sessions start before this moment.
    pub until: Duration,
    /// What its sessions are.
    pub mix: TrafficMix,
}

/// What the sessions of a stream are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficMix {
    /// The site's usual mix over all organisations and clients.
    SiteTraffic(SiteName),
    /// Chats of one organisation.
    OneOrganisation(usize),
    /// Single chats of one client of the largest organisation.
    HotClient(u32),
    /// Long batch jobs.
    LongJobs,
}

/// The time to a useful first token.
pub fn first_token_limit(class: RequestClass) -> Duration {
    Duration::from_secs(match class {
        RequestClass::Interactive => 5,
        RequestClass::Standard => 20,
        RequestClass::Batch => 120,
    })
}

/// Draws a stream's requests, in no order.
pub fn generate_traffic(seed: u64, spec: &TrafficSpec) -> Vec<CallerRequest> {
    let mut source = RandomSource::new(seed, spec.purpose);
    let mut requests = Vec::new();
    let session_rate = spec.rate / session_length(spec.mix);
    let mut at = spec.from + source.exponential_gap(session_rate);
    while at < spec.until {
        generate_session(&mut source, spec.mix, at, &mut requests);
        at += source.exponential_gap(session_rate);
    }
    requests.retain(|request| request.at < spec.until);
    requests
}

/// Draws calls to the plain services.
pub fn generate_service_calls(seed: u64, model_rate: f64, until: Duration) -> Vec<CallerRequest> {
    let mut source = RandomSource::new(seed, "calls");
    let mut requests = Vec::new();
    let mut at = source.exponential_gap(model_rate * SERVICE_SHARE);
    while at < until {
        requests.push(CallerRequest {
            at,
            entry: source.in_range(0..1_000) as usize,
            organisation: source.weighted_index(&ORGANISATION_SHARES),
            class: RequestClass::Interactive,
            first_token_limit: first_token_limit(RequestClass::Interactive),
            repeatable: source.unit() >= BOOKING_SHARE,
            work: CallerWork::Service { run: Duration::from_millis(source.in_range(5..60).into()) },
            poison: false,
        });
        at += source.exponential_gap(model_rate * SERVICE_SHARE);
    }
    requests
}

/// Requests of a session on average.
fn session_length(mix: TrafficMix) -> f64 {
    match mix {
        TrafficMix::SiteTraffic(SiteName::Tuul) => 2.4,
        TrafficMix::SiteTraffic(SiteName::Abay) => 2.2,
        TrafficMix::OneOrganisation(_) => 3.0,
        TrafficMix::HotClient(_) | TrafficMix::LongJobs => 1.0,
    }
}

/// One kind of session: turns, tokens of the first question and of later ones, tokens of an answer.
struct SessionKind {
    class: RequestClass,
    turns: std::ops::Range<u32>,
    first: std::ops::Range<u32>,
    later: std::ops::Range<u32>,
    answer: std::ops::Range<u32>,
}

impl SessionKind {
    fn chat(turns: std::ops::Range<u32>) -> Self {
        let class = RequestClass::Interactive;
        SessionKind { class, turns, first: 60..300, later: 60..300, answer: 40..160 }
    }

    fn check(turns: std::ops::Range<u32>) -> Self {
        let class = RequestClass::Standard;
        SessionKind { class, turns, first: 3_000..9_000, later: 100..400, answer: 120..300 }
    }

    fn long() -> Self {
        let class = RequestClass::Batch;
        SessionKind { class, turns: 1..2, first: 16_000..32_000, later: 0..1, answer: 200..500 }
    }

    fn draw(source: &mut RandomSource, mix: TrafficMix) -> Self {
        match mix {
            TrafficMix::SiteTraffic(SiteName::Tuul) => {
                match source.weighted_index(&[80.0, 18.0, 2.0]) {
                    0 => SessionKind::chat(1..6),
                    1 => SessionKind::check(1..2),
                    _ => SessionKind::long(),
                }
            }
            TrafficMix::SiteTraffic(SiteName::Abay) => {
                match source.weighted_index(&[55.0, 42.0, 3.0]) {
                    0 => SessionKind::chat(1..5),
                    1 => SessionKind::check(1..4),
                    _ => SessionKind::long(),
                }
            }
            TrafficMix::OneOrganisation(_) => SessionKind::chat(1..6),
            TrafficMix::HotClient(_) => SessionKind::chat(1..2),
            TrafficMix::LongJobs => SessionKind::long(),
        }
    }
}

fn generate_session(
    source: &mut RandomSource,
    mix: TrafficMix,
    start: Duration,
    requests: &mut Vec<CallerRequest>,
) {
    let kind = SessionKind::draw(source, mix);
    let (organisation, client) = draw_client(source, mix);
    let mut levels = shared_levels(organisation, client);
    let chat = source.seed();
    let mut at = start;
    for turn in 0..source.in_range(kind.turns.clone()) {
        let grown =
            source.in_range(if turn == 0 { kind.first.clone() } else { kind.later.clone() });
        let last = levels.last().expect("two levels are shared");
        let level = PrefixLevel {
            hash: mix_levels(last.hash, chat, turn.into()),
            tokens: last.tokens + grown,
        };
        levels.push(level);
        let output_tokens = source.in_range(kind.answer.clone());
        requests.push(CallerRequest {
            at,
            entry: source.in_range(0..1_000) as usize,
            organisation,
            class: kind.class,
            first_token_limit: first_token_limit(kind.class),
            repeatable: true,
            work: CallerWork::Model { levels: levels.clone(), output_tokens },
            poison: false,
        });
        at += Duration::from_millis(source.in_range(THINK_MS).into());
    }
}

fn draw_client(source: &mut RandomSource, mix: TrafficMix) -> (usize, u32) {
    let zipf: Vec<f64> = (0..CLIENTS).map(|rank| 1.0 / f64::from(rank + 1)).collect();
    match mix {
        TrafficMix::SiteTraffic(_) | TrafficMix::LongJobs => {
            (source.weighted_index(&ORGANISATION_SHARES), source.weighted_index(&zipf) as u32)
        }
        TrafficMix::OneOrganisation(organisation) => {
            (organisation, source.weighted_index(&zipf) as u32)
        }
        TrafficMix::HotClient(client) => (0, client),
    }
}

/// The organisation's system prompt and the client's standing order.
fn shared_levels(organisation: usize, client: u32) -> Vec<PrefixLevel> {
    let system = mix_hash(0x5e1f, organisation as u64);
    let order = mix_levels(system, 0x0de7, client.into());
    let system_tokens = 1_500 + (system % 1_500) as u32;
    let order_tokens = 2_000 + (order % 4_000) as u32;
    vec![
        PrefixLevel { hash: system, tokens: system_tokens },
        PrefixLevel { hash: order, tokens: system_tokens + order_tokens },
    ]
}

fn mix_levels(below: u64, salt: u64, index: u64) -> u64 {
    mix_hash(mix_hash(below, salt), index)
}
