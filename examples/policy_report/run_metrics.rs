//! Results of a run as seen by the callers, with the prompt work and the number of sends in
//! addition.

use {
    super::{
        callers::{CallerOutcome, CallerRecord},
        site::ORGANISATION_SHARES,
        traffic::{CallerRequest, CallerWork},
    },
    oleandermount::inventory::RequestClass,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Model requests whose answer a user reads while it is streamed.
pub const INTERACTIVE: ReportClass = ReportClass::Model(RequestClass::Interactive);
/// Long model requests without a waiting user.
pub const BATCH: ReportClass = ReportClass::Model(RequestClass::Batch);

/// Group of requests that the report summarises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportClass {
    /// Model requests of one class.
    Model(RequestClass),
    /// Service calls.
    Service,
}

impl ReportClass {
    /// All classes in the order in which the report prints them.
    pub const ALL: [ReportClass; 4] = [
        ReportClass::Model(RequestClass::Interactive),
        ReportClass::Model(RequestClass::Standard),
        ReportClass::Model(RequestClass::Batch),
        ReportClass::Service,
    ];

    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportClass::Model(class) => class.as_str(),
            ReportClass::Service => "service",
        }
    }

    /// Returns the class of a request.
    pub fn of(request: &CallerRequest) -> Self {
        match request.work {
            CallerWork::Model { .. } => ReportClass::Model(request.class),
            CallerWork::Service { .. } => ReportClass::Service,
        }
    }
}

/// Prompt work of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptWork {
    /// Prompt tokens of all completed prefills.
    pub prompt: u64,
    /// Prompt tokens taken from a cache.
    pub cached: u64,
    /// Prompt tokens computed although some server had computed them before in the run.
    pub recomputed: u64,
}

/// Results of a run.
pub struct RunMetrics {
    /// Requests first submitted before this time are not measured.
    pub warm_up: Duration,
    /// All callers; empty until the end of the run.
    pub callers: Vec<CallerRecord>,
    /// Prompt work of each class.
    pub work: BTreeMap<ReportClass, PromptWork>,
    /// Number of server crashes.
    pub servers_lost: u32,
    /// Number of retries reported by the policy.
    pub retries: u32,
    /// Violations of the rules that a non-repeatable request is sent at most once and that no
    /// answer is streamed twice; empty for a correct policy.
    pub violations: Vec<String>,
    /// Hashes of the prefix levels that some server has computed.
    computed_levels: BTreeSet<u64>,
}

impl RunMetrics {
    /// Creates empty results.
    pub fn new(warm_up: Duration) -> Self {
        RunMetrics {
            warm_up,
            callers: Vec::new(),
            work: BTreeMap::new(),
            servers_lost: 0,
            retries: 0,
            violations: Vec::new(),
            computed_levels: BTreeSet::new(),
        }
    }

    /// Records a completed prefill.
    pub fn record_prefill(
        &mut self,
        request: &CallerRequest,
        cached: u32,
        prompt: u32,
        computed: &[(u64, u32)],
    ) {
        let mut recomputed = 0;
        for (hash, tokens) in computed {
            if !self.computed_levels.insert(*hash) {
                recomputed += u64::from(*tokens);
            }
        }
        if request.at < self.warm_up || request.poison {
            return;
        }
        let work = self.work.entry(ReportClass::of(request)).or_default();
        work.prompt += u64::from(prompt);
        work.cached += u64::from(cached);
        work.recomputed += recomputed;
    }

    /// Returns the callers that are measured: all after the warm-up, except for the one whose
    /// request crashes servers.
    pub fn measured_callers(&self) -> impl Iterator<Item = &CallerRecord> {
        let warm_up = self.warm_up;
        self.callers.iter().filter(move |c| c.request.at >= warm_up && !c.request.poison)
    }

    /// Returns the measured callers of one class.
    pub fn callers_of_class(&self, class: ReportClass) -> Vec<&CallerRecord> {
        self.measured_callers().filter(|caller| ReportClass::of(&caller.request) == class).collect()
    }

    /// Returns the results of the measured callers of one class.
    pub fn class_metrics(&self, class: ReportClass) -> CallerMetrics {
        CallerMetrics::of(&self.callers_of_class(class))
    }

    /// Returns the total prompt work of all classes.
    pub fn total_prompt_work(&self) -> PromptWork {
        self.work.values().fold(PromptWork::default(), |sum, work| PromptWork {
            prompt: sum.prompt + work.prompt,
            cached: sum.cached + work.cached,
            recomputed: sum.recomputed + work.recomputed,
        })
    }

    /// Returns the share of measured requests with a complete answer.
    pub fn answered_ratio(&self) -> f64 {
        let answered =
            self.measured_callers().filter(|caller| caller.first_token_latency().is_some());
        ratio(answered.count() as u64, self.measured_callers().count() as u64)
    }

    /// Returns the mean number of sends to servers per submission, including retries by callers.
    pub fn sends_per_submission(&self) -> f64 {
        let submissions = self.measured_callers().map(|caller| u64::from(caller.submissions)).sum();
        ratio(self.measured_callers().map(|caller| u64::from(caller.sends)).sum(), submissions)
    }

    /// Returns the mean number of sends to servers per request.
    pub fn sends_per_request(&self) -> f64 {
        ratio(
            self.measured_callers().map(|c| u64::from(c.sends)).sum(),
            self.measured_callers().count() as u64,
        )
    }
}

/// Results of a group of callers.
#[derive(Clone, Debug, Default)]
pub struct CallerMetrics {
    /// Number of requests.
    pub requests: u64,
    /// Number of requests with a complete answer.
    pub answered: u64,
    /// Number of requests with a complete answer and the first token in time.
    pub in_time: u64,
    /// Median first-token latency of answered requests; none if no request was answered.
    pub p50: Option<Duration>,
    /// 99th percentile of the first-token latency of answered requests; none if no request was
    /// answered.
    pub p99: Option<Duration>,
    /// 99th percentile of the first-token latency of all requests; a request without an answer
    /// counts with its whole first-token limit, which is a lower bound.
    pub p99_misses: Option<Duration>,
    /// Number of unanswered requests by the reason of the last refusal.
    pub refused: BTreeMap<&'static str, u64>,
    /// Number of sends to servers.
    pub sends: u64,
    /// Share of each organisation in the tokens of all answered requests.
    pub shares: Vec<f64>,
}

impl CallerMetrics {
    /// Computes the results of `callers`.
    pub fn of(callers: &[&CallerRecord]) -> Self {
        let mut latencies = Vec::new();
        let mut metrics = CallerMetrics { requests: callers.len() as u64, ..Self::default() };
        let mut tokens = vec![0; ORGANISATION_SHARES.len()];
        let mut misses = Vec::new();
        for caller in callers {
            metrics.sends += u64::from(caller.sends);
            match caller.first_token_latency() {
                Some(latency) => {
                    latencies.push(latency);
                    metrics.answered += 1;
                    metrics.in_time += u64::from(caller.in_time());
                    tokens[caller.request.organisation] += caller.tokens();
                }
                None => {
                    misses.push(caller.request.first_token_limit);
                    *metrics.refused.entry(last_refusal_reason(caller)).or_default() += 1;
                }
            }
        }
        let total: u64 = tokens.iter().sum();
        metrics.shares = tokens.iter().map(|tokens| ratio(*tokens, total)).collect();
        metrics.p50 = percentile(&mut latencies, 0.50);
        metrics.p99 = percentile(&mut latencies, 0.99);
        latencies.extend(misses);
        metrics.p99_misses = percentile(&mut latencies, 0.99);
        metrics
    }

    /// Returns [`CallerMetrics::p99`] in milliseconds; infinity if no request was answered.
    pub fn p99_ms(&self) -> f64 {
        self.p99.map_or(f64::INFINITY, |p99| p99.as_secs_f64() * 1_000.0)
    }

    /// Returns the share of requests that were answered in time.
    pub fn goodput(&self) -> f64 {
        ratio(self.in_time, self.requests)
    }
}

fn last_refusal_reason(caller: &CallerRecord) -> &'static str {
    match &caller.outcome {
        Some((_, CallerOutcome::Refused(reason))) => reason,
        Some((_, CallerOutcome::Answered)) | None => "unanswered",
    }
}

/// Sorts `latencies` and returns the nearest-rank percentile; none for an empty slice.
pub fn percentile(latencies: &mut [Duration], share: f64) -> Option<Duration> {
    latencies.sort_unstable();
    let rank = (latencies.len() as f64 * share).ceil() as usize;
    latencies.get(rank.saturating_sub(1)).copied()
}

/// Returns `part` divided by `whole`; 0 if `whole` is 0.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
