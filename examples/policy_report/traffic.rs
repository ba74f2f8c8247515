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
const CLIENTS_PER_ORGANISATION: u32 = 30;
/// Time that a person takes before the next turn of a chat, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u32> = 3_000..9_000;
/// Calls to plain services for each model request.
const SERVICE_CALLS_PER_REQUEST: f64 = 0.5;
/// Share of the service calls that must not be repeated.
const NON_REPEATABLE_SHARE: f64 = 0.2;

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
    pub first_daemon: usize,
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
    let mut at = source.exponential_gap(model_rate * SERVICE_CALLS_PER_REQUEST);
    while at < until {
        requests.push(CallerRequest {
            at,
            first_daemon: source.in_range(0..1_000) as usize,
            organisation: source.weighted_index(&ORGANISATION_SHARES),
            class: RequestClass::Interactive,
            first_token_limit: first_token_limit(RequestClass::Interactive),
            repeatable: source.unit() >= NON_REPEATABLE_SHARE,
            work: CallerWork::Service { run: Duration::from_millis(source.in_range(5..60).into()) },
            poison: false,
        });
        at += source.exponential_gap(model_rate * SERVICE_CALLS_PER_REQUEST);
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
struct SessionProfile {
    class: RequestClass,
    turns: std::ops::Range<u32>,
    first_tokens: std::ops::Range<u32>,
    later_tokens: std::ops::Range<u32>,
    answer_tokens: std::ops::Range<u32>,
}

impl SessionProfile {
    fn chat(turns: std::ops::Range<u32>) -> Self {
        let class = RequestClass::Interactive;
        SessionProfile {
            class,
            turns,
            first_tokens: 60..300,
            later_tokens: 60..300,
            answer_tokens: 40..160,
        }
    }

    fn document(turns: std::ops::Range<u32>) -> Self {
        let class = RequestClass::Standard;
        SessionProfile {
            class,
            turns,
            first_tokens: 3_000..9_000,
            later_tokens: 100..400,
            answer_tokens: 120..300,
        }
    }

    fn batch() -> Self {
        let class = RequestClass::Batch;
        SessionProfile {
            class,
            turns: 1..2,
            first_tokens: 16_000..32_000,
            later_tokens: 0..1,
            answer_tokens: 200..500,
        }
    }

    fn select(source: &mut RandomSource, mix: TrafficMix) -> Self {
        match mix {
            TrafficMix::SiteTraffic(SiteName::Tuul) => {
                match source.weighted_index(&[80.0, 18.0, 2.0]) {
                    0 => SessionProfile::chat(1..6),
                    1 => SessionProfile::document(1..2),
                    _ => SessionProfile::batch(),
                }
            }
            TrafficMix::SiteTraffic(SiteName::Abay) => {
                match source.weighted_index(&[55.0, 42.0, 3.0]) {
                    0 => SessionProfile::chat(1..5),
                    1 => SessionProfile::document(1..4),
                    _ => SessionProfile::batch(),
                }
            }
            TrafficMix::OneOrganisation(_) => SessionProfile::chat(1..6),
            TrafficMix::HotClient(_) => SessionProfile::chat(1..2),
            TrafficMix::LongJobs => SessionProfile::batch(),
        }
    }
}

fn generate_session(
    source: &mut RandomSource,
    mix: TrafficMix,
    start: Duration,
    requests: &mut Vec<CallerRequest>,
) {
    let profile = SessionProfile::select(source, mix);
    let (organisation, client) = select_client(source, mix);
    let mut levels = shared_levels(organisation, client);
    let chat = source.seed();
    let mut at = start;
    for turn in 0..source.in_range(profile.turns.clone()) {
        let added_tokens = source.in_range(if turn == 0 {
            profile.first_tokens.clone()
        } else {
            profile.later_tokens.clone()
        });
        let last = levels.last().expect("two levels are shared");
        let level = PrefixLevel {
            hash: hash_level(last.hash, chat, turn.into()),
            tokens: last.tokens + added_tokens,
        };
        levels.push(level);
        let output_tokens = source.in_range(profile.answer_tokens.clone());
        requests.push(CallerRequest {
            at,
            first_daemon: source.in_range(0..1_000) as usize,
            organisation,
            class: profile.class,
            first_token_limit: first_token_limit(profile.class),
            repeatable: true,
            work: CallerWork::Model { levels: levels.clone(), output_tokens },
            poison: false,
        });
        at += Duration::from_millis(source.in_range(THINK_TIME_MS).into());
    }
}

fn select_client(source: &mut RandomSource, mix: TrafficMix) -> (usize, u32) {
    let zipf: Vec<f64> =
        (0..CLIENTS_PER_ORGANISATION).map(|rank| 1.0 / f64::from(rank + 1)).collect();
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
    let system_hash = mix_hash(0x5e1f, organisation as u64);
    let client_hash = hash_level(system_hash, 0x0de7, client.into());
    let system_tokens = 1_500 + (system_hash % 1_500) as u32;
    let client_tokens = 2_000 + (client_hash % 4_000) as u32;
    vec![
        PrefixLevel { hash: system_hash, tokens: system_tokens },
        PrefixLevel { hash: client_hash, tokens: system_tokens + client_tokens },
    ]
}

fn hash_level(parent: u64, salt: u64, index: u64) -> u64 {
    mix_hash(mix_hash(parent, salt), index)
}
