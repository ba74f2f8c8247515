//! Requests of the callers. They are generated from the seed before a run, so that every policy
//! receives the same requests.

use {
    super::{
        random_source::{RandomSource, mix_hash},
        site::{ORGANISATION_SHARES, SiteName},
    },
    oleandermount::{inventory::RequestClass, policy::PrefixLevel},
    std::time::Duration,
};

/// Number of clients (standing orders, base stations) of each organisation. Clients with a low
/// index send more requests.
const CLIENTS_PER_ORGANISATION: u32 = 30;
/// Think time of a user before the next turn of a session, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u32> = 3_000..9_000;
/// Number of service calls per model request.
const SERVICE_CALLS_PER_REQUEST: f64 = 0.5;
/// Share of the service calls that are non-repeatable.
const NON_REPEATABLE_SHARE: f64 = 0.2;

/// Work of a request.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// Model request; the last level covers the whole prompt.
    Model { levels: Vec<PrefixLevel>, output_tokens: u32 },
    /// Service call that runs for `run` on a server of normal speed.
    Service { run: Duration },
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Time at which the first submission reaches a daemon.
    pub at: Duration,
    /// Number that selects the first daemon, modulo the number of daemons. Each retry goes to the
    /// next daemon.
    pub first_daemon: usize,
    /// Index of the organisation in [`ORGANISATION_SHARES`].
    pub organisation: usize,
    /// Class, which sets the priority and the first-token limit.
    pub class: RequestClass,
    /// Maximum time from the first submission to the first token.
    pub first_token_limit: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Work that a server performs for the request.
    pub work: CallerWork,
    /// Whether the request crashes each engine that runs it. Its caller then retries after every
    /// refusal.
    pub poison: bool,
}

/// Specification of a stream of sessions.
#[derive(Clone, Debug)]
pub struct TrafficSpec {
    /// Purpose of the random source; streams with different purposes are independent.
    pub purpose: &'static str,
    /// Model requests per second over all daemons.
    pub rate: f64,
    /// Time from which sessions start.
    pub from: Duration,
    /// Time before which sessions start; requests at or after it are dropped.
    pub until: Duration,
    /// Kind of the sessions.
    pub mix: TrafficMix,
}

/// Kind of the sessions of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficMix {
    /// The site's mix of chats, document requests and batch jobs over all organisations and
    /// clients.
    SiteTraffic(SiteName),
    /// Chats of the organisation with this index.
    OneOrganisation(usize),
    /// Single-turn chats of one client of the largest organisation.
    HotClient(u32),
    /// Long batch jobs of all organisations.
    LongJobs,
}

/// Returns the maximum time from the first submission to the first token for a class.
pub fn first_token_limit(class: RequestClass) -> Duration {
    Duration::from_secs(match class {
        RequestClass::Interactive => 5,
        RequestClass::Standard => 20,
        RequestClass::Batch => 120,
    })
}

/// Generates the requests of a stream; they are not sorted by time.
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

/// Generates the service calls that accompany `model_rate` model requests per second.
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

/// Mean number of requests per session.
fn session_length(mix: TrafficMix) -> f64 {
    match mix {
        TrafficMix::SiteTraffic(SiteName::Tuul) => 2.4,
        TrafficMix::SiteTraffic(SiteName::Abay) => 2.2,
        TrafficMix::OneOrganisation(_) => 3.0,
        TrafficMix::HotClient(_) | TrafficMix::LongJobs => 1.0,
    }
}

/// Ranges of a session's values: number of turns, prompt tokens added by the first and by later
/// turns, and tokens of an answer.
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
        let last = levels.last().expect("a session starts with two shared levels");
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

/// Returns the levels shared by all sessions of a client: the organisation's system prompt and the
/// client's own prompt.
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
