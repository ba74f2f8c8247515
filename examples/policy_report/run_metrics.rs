//! What a run is judged by. All of it is what callers receive, but for prompt work and sendings.

use {
    super::{
        caller_record::{CallerOutcome, CallerRecord},
        site::ORGANISATION_SHARES,
        traffic::{CallerRequest, CallerWork},
    },
    oleandermount::inventory::RequestClass,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Model requests that a person waits for word by word.
pub const INTERACTIVE: ReportClass = ReportClass::Model(RequestClass::Interactive);
/// Long model jobs that nobody waits for.
pub const BATCH: ReportClass = ReportClass::Model(RequestClass::Batch);

/// Which requests a figure is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportClass {
    /// Model requests of a class.
    Model(RequestClass),
    /// Calls to plain services.
    Service,
}

impl ReportClass {
    /// All classes, in the order of the report.
    pub const ALL: [ReportClass; 4] = [
        ReportClass::Model(RequestClass::Interactive),
        ReportClass::Model(RequestClass::Standard),
        ReportClass::Model(RequestClass::Batch),
        ReportClass::Service,
    ];

    /// The name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportClass::Model(class) => class.as_str(),
            ReportClass::Service => "service",
        }
    }

    /// The class that a request counts for.
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
    /// Prompt tokens of all prefills that ended.
    pub prompt: u64,
    /// Those taken from a cache.
    pub cached: u64,
    /// Those computed though some server had computed them before in this run.
    pub recomputed: u64,
}

/// Everything noted in a run.
pub struct RunMetrics {
    /// Requests first asked before this moment are not measured.
    pub warm_up: Duration,
    /// All callers, filled at the end.
    pub callers: Vec<CallerRecord>,
    /// Prompt work by class.
    pub work: BTreeMap<ReportClass, PromptWork>,
    /// Crashes of servers.
    pub servers_lost: u32,
    /// Retries that the policy counted.
    pub retries: u32,
    /// What must never happen and did; empty unless the policy is wrong.
    pub violations: Vec<String>,
    computed_levels: BTreeSet<u64>,
}

impl RunMetrics {
    /// A tally of nothing.
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

    /// Notes a prefill that ended.
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

    /// Callers that are measured; the one whose request crashes servers is not.
    pub fn measured_callers(&self) -> impl Iterator<Item = &CallerRecord> {
        let warm_up = self.warm_up;
        self.callers.iter().filter(move |c| c.request.at >= warm_up && !c.request.poison)
    }

    /// Measured callers of one class.
    pub fn callers_of_class(&self, class: ReportClass) -> Vec<&CallerRecord> {
        self.measured_callers().filter(|caller| ReportClass::of(&caller.request) == class).collect()
    }

    /// What measured callers of one class got.
    pub fn class_metrics(&self, class: ReportClass) -> CallerMetrics {
        CallerMetrics::of(&self.callers_of_class(class))
    }

    /// Prompt work of all classes.
    pub fn total_prompt_work(&self) -> PromptWork {
        self.work.values().fold(PromptWork::default(), |sum, work| PromptWork {
            prompt: sum.prompt + work.prompt,
            cached: sum.cached + work.cached,
            recomputed: sum.recomputed + work.recomputed,
        })
    }

    /// Measured requests whose whole answer came, out of all.
    pub fn answered_ratio(&self) -> f64 {
        let answered =
            self.measured_callers().filter(|caller| caller.first_token_latency().is_some());
        ratio(answered.count() as u64, self.measured_callers().count() as u64)
    }

    /// Sendings to servers for each ask, a caller's coming back included.
    pub fn sends_per_submission(&self) -> f64 {
        let submissions = self.measured_callers().map(|caller| u64::from(caller.submissions)).sum();
        ratio(self.measured_callers().map(|caller| u64::from(caller.sends)).sum(), submissions)
    }

    /// Sendings to servers for each request asked.
    pub fn sends_per_request(&self) -> f64 {
        ratio(
            self.measured_callers().map(|c| u64::from(c.sends)).sum(),
            self.measured_callers().count() as u64,
        )
    }
}

/// What callers of one group got.
#[derive(Clone, Debug, Default)]
pub struct CallerMetrics {
    /// Requests.
    pub requests: u64,
    /// Requests whose whole answer came.
    pub answered: u64,
    /// Requests whose whole answer came with its first token in time.
    pub in_time: u64,
    /// Median first token over answered requests.
    pub p50: Option<Duration>,
    /// The 99th of 100 over answered requests.
    pub p99: Option<Duration>,
    /// The same over all requests; one without an answer counts as its whole patience, at least.
    pub p99_misses: Option<Duration>,
    /// Last refusals by reason.
    pub refused: BTreeMap<&'static str, u64>,
    /// Sendings to servers.
    pub sends: u64,
    /// Answered tokens by organisation as a share of all.
    pub shares: Vec<f64>,
}

impl CallerMetrics {
    /// Figures of a group.
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

    /// [`CallerMetrics::p99`] in milliseconds; endless if nobody was answered.
    pub fn p99_ms(&self) -> f64 {
        self.p99.map_or(f64::INFINITY, |p99| p99.as_secs_f64() * 1_000.0)
    }

    /// Answered in time out of asked.
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

/// The nearest-rank percentile.
pub fn percentile(latencies: &mut [Duration], share: f64) -> Option<Duration> {
    latencies.sort_unstable();
    let rank = (latencies.len() as f64 * share).ceil() as usize;
    latencies.get(rank.saturating_sub(1)).copied()
}

/// `part` out of `whole`; 0 of nothing.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
