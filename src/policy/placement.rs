//! Estimates the time to the first token of candidate servers and selects cache-affinity servers.
//!
//! Servers of different generations differ several times over in speed, a cache miss costs seconds
//! of prefill, and a hot prefix needs more than one server. Round robin gives the slowest server
//! the same share of requests and misses most prefixes; a plain prefix hash sends all requests for
//! a hot prefix to one server.
//!
//! Predicted time = wait for a slot + (tokens queued ahead + prompt − expected hit) ÷ measured
//! speed. The candidates are the known holders, the affinity servers of the prefix and servers
//! chosen at random, so a decision considers a handful of servers regardless of the size of the
//! pool. Affinity servers come from a consistent-hash ring that is identical on every daemon; a
//! prefix gets more of them as its request rate grows. The random candidates bound the load and
//! discover servers that have become faster.

use {
    super::{PrefixLevel, prefix::ServerIndex},
    crate::inventory::DecisionObjective,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Assumed engine speed before any measurement, in prompt tokens per second. Engines in use range
/// from some thousands to some tens of thousands; the first response corrects it.
const INITIAL_SPEED: f64 = 5_000.0;

/// Assumed first-token time of an empty prompt before any measurement, in seconds.
const INITIAL_BASE: f64 = 0.02;

/// Prompts with fewer computed tokens update the base time, longer ones the speed. Below this size
/// the fixed time is as long as the prefill.
const MIN_SPEED_TOKENS: f64 = 512.0;

/// Smoothing factors for a base time sample below and above the estimate. Increases get a small
/// factor, since a longer time is mostly queueing.
const BASE_DECREASE_STEP: f64 = 0.3;
const BASE_INCREASE_STEP: f64 = 0.02;

/// Number of latest responses from which a server's speed is estimated.
const MAX_SAMPLES: usize = 8;

/// Maximum age of the responses from which a server's speed is estimated, so that a server that
/// slows down is detected soon.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(15);

/// Fractions of the pool's mean speed below which a server is classified as slow, and above which
/// it is not slow any more.
const SLOW_BELOW: f64 = 0.5;
const SLOW_ABOVE: f64 = 0.7;

/// Consecutive responses needed to reclassify a server as slow or as not slow.
const CONTRARY_SAMPLES: u32 = 3;

/// Affinity weight of a slow server, which is better used for overflow than for prefixes of its
/// own.
const SLOW_WEIGHT: f64 = 0.1;

/// Smoothing factor of the mean service time.
const SERVICE_TIME_STEP: f64 = 0.1;

/// Points of each server on the ring; they even out the assignment to within some tens of percent.
const VIRTUAL_NODES: u64 = 32;

/// Time constant of the request rate of a prefix: about the retention of an engine's cache.
const RATE_WINDOW: Duration = Duration::from_secs(20);

/// Minimum observation time from which a rate is computed.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// Number of standard deviations subtracted from a count, to exclude random fluctuations.
const CONFIDENCE_DEVIATIONS: f64 = 2.0;

/// Time constant of a second, faster count that detects a prefix whose rate has just risen.
const SHORT_RATE_WINDOW: Duration = Duration::from_secs(4);

/// Maximum prefixes with a tracked request rate. The rate matters only for prefixes with several
/// requests per second.
const MAX_TRACKED_PREFIXES: usize = 4_096;

/// Pools up to this size are evaluated completely, which is cheaper than choosing candidates.
pub const SMALL_POOL: usize = 12;

/// Weight of prefill and spillover when cache reuse is the objective: a second of waiting is
/// accepted to save a third of a second of engine time.
const REUSE_WEIGHT: f64 = 3.0;

/// Seconds of waiting accepted to avoid spillover, in addition to the prefill time. A larger value
/// would let requests for a hot prefix wait at its affinity servers while others are idle.
const SPILLOVER_COST: f64 = 0.25;

/// Slot utilization above which spillover gets more expensive, and the additional cost in seconds
/// per unit of utilization above it. Near full utilization there is hardly any spillover.
const SCARCE_UTILIZATION: f64 = 0.5;
const SCARCE_COST: f64 = 100.0;

/// Measured speed of one server.
#[derive(Clone, Debug, Default)]
pub struct SpeedGauge {
    /// Prompt tokens per second; `None` until measured.
    rate: Option<f64>,
    /// First-token time of an empty prompt in seconds; `None` until measured.
    base: Option<f64>,
    /// Time from sending to the complete response in seconds; `None` until measured.
    service: Option<f64>,
    /// Lower bounds of the speed from the latest responses, oldest first; at most [`MAX_SAMPLES`].
    latest: VecDeque<(Instant, f64)>,
    /// Whether it is classified as much slower than its pool.
    slow: bool,
    /// Consecutive responses that contradict `slow`.
    contrary_samples: u32,
}

impl SpeedGauge {
    /// Returns the speed in prompt tokens per second, or `typical` if not measured.
    pub fn rate(&self, typical: Option<f64>) -> f64 {
        self.rate.or(typical).unwrap_or(INITIAL_SPEED)
    }

    /// Returns the speed in prompt tokens per second, if measured.
    pub fn measured(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the first-token time of an empty prompt in seconds.
    pub fn base(&self) -> f64 {
        self.base.unwrap_or(INITIAL_BASE)
    }

    /// Returns the mean time from sending to the complete response in seconds.
    pub fn service(&self) -> f64 {
        self.service.unwrap_or(1.0)
    }

    /// Returns the server's weight in the affinity ranking.
    pub fn affinity_weight(&self) -> f64 {
        if self.slow { SLOW_WEIGHT } else { 1.0 }
    }

    /// Compares the speed with the pool's mean and updates the classification as slow.
    ///
    /// A change needs several consecutive responses, and the two thresholds differ, since moving a
    /// prefix to another affinity server costs a prefill and all daemons have to agree on it.
    pub fn compare(&mut self, typical: Option<f64>) {
        let (Some(rate), Some(typical)) = (self.rate, typical) else { return };
        let threshold = if self.slow { SLOW_ABOVE } else { SLOW_BELOW };
        if (rate < threshold * typical) == self.slow {
            self.contrary_samples = 0;
            return;
        }
        self.contrary_samples += 1;
        if self.contrary_samples >= CONTRARY_SAMPLES {
            self.slow = !self.slow;
            self.contrary_samples = 0;
        }
    }

    /// Updates the speed from a first token that arrived after `taken`, with `tokens` to compute.
    ///
    /// The queueing time is not known precisely, so a response only gives a lower bound of the
    /// speed; the estimate is the maximum over the latest responses.
    pub fn record_first_token(&mut self, now: Instant, tokens: f64, taken: Duration) {
        let taken = taken.as_secs_f64();
        if tokens < MIN_SPEED_TOKENS {
            let base = self.base();
            let part = if taken < base { BASE_DECREASE_STEP } else { BASE_INCREASE_STEP };
            self.base = Some(base + (taken - base) * part);
            return;
        }
        if self.latest.len() >= MAX_SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back((now, tokens / (taken - self.base()).max(taken / 2.0).max(0.001)));
        while self.latest.len() > 1
            && self
                .latest
                .front()
                .is_some_and(|(at, _)| now.saturating_duration_since(*at) > MAX_SAMPLE_AGE)
        {
            self.latest.pop_front();
        }
        self.rate = self.latest.iter().map(|(_, rate)| *rate).max_by(f64::total_cmp);
    }

    /// Returns the seconds of `taken` beyond what a prompt with `tokens` to compute takes.
    pub fn delay(&self, tokens: f64, taken: Duration) -> Duration {
        let own = self.base() + tokens / self.rate(None);
        taken.saturating_sub(Duration::from_secs_f64(own))
    }

    /// Updates the mean service time from a complete response that arrived after `taken`.
    pub fn record_finished(&mut self, taken: Duration) {
        let taken = taken.as_secs_f64();
        self.service =
            Some(self.service.map_or(taken, |mean| mean + (taken - mean) * SERVICE_TIME_STEP));
    }
}

/// Returns the rank of a server as an affinity server of `hash` by weighted rendezvous hashing: the
/// fraction of prefixes for which it ranks first is its fraction of the total weight.
pub fn affinity_rank(server: u64, hash: u64, weight: f64) -> u64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), server);
    let unit = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    // The bit patterns of positive floats are ordered like their values.
    (weight / -unit.ln()).to_bits()
}

/// Cost estimate of one candidate; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CandidateCost {
    /// Wait for a free slot.
    pub slot_wait: f64,
    /// Time to compute the tokens queued ahead, and the delay of overdue responses.
    pub queue_wait: f64,
    /// Time to prefill the prompt, including an import or a fetch.
    pub prefill: f64,
    /// Network round trip and the engine's fixed time.
    pub base: f64,
    /// Whether the server neither holds the prefix nor is one of its affinity servers.
    pub spillover: bool,
    /// Fraction of the slots in use.
    pub utilization: f64,
}

impl CandidateCost {
    /// Returns the predicted time to the first token in seconds.
    pub fn first_token(&self) -> f64 {
        self.slot_wait + self.queue_wait + self.prefill + self.base
    }

    /// Returns the cost to other requests if a prefix is computed outside its affinity servers: its
    /// blocks evict theirs, both here and at the affinity server when the prefix returns there. The
    /// cost is low while slots are idle. When slots are scarce, each spillover makes the next one
    /// more likely, until most hits are lost when load is highest.
    fn spillover_cost(&self) -> f64 {
        if !self.spillover {
            return 0.0;
        }
        let scarce = (self.utilization - SCARCE_UTILIZATION).max(0.0) * SCARCE_COST;
        SPILLOVER_COST + self.prefill + scarce
    }

    /// Returns the cost to be minimised under `objective`.
    pub fn score(&self, objective: DecisionObjective) -> f64 {
        let weight = match objective {
            DecisionObjective::FirstToken => 1.0,
            DecisionObjective::Reuse => REUSE_WEIGHT,
        };
        let reuse = (weight - 1.0) * self.prefill;
        self.first_token() + reuse + weight * self.spillover_cost()
    }
}

/// A consistent-hash ring of the servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct AffinityRing {
    /// Points of the ring, sorted by hash.
    points: Vec<(u64, ServerIndex)>,
}

impl AffinityRing {
    /// Creates the ring of the given servers. Points are derived from server ids, so every daemon
    /// gets the same ring whatever its own indices.
    pub fn new<'a>(servers: impl Iterator<Item = (ServerIndex, &'a str)>) -> Self {
        let mut points: Vec<(u64, ServerIndex)> = servers
            .flat_map(|(index, id)| {
                (0..VIRTUAL_NODES).map(move |node| (xxh3_64_with_seed(id.as_bytes(), node), index))
            })
            .collect();
        points.sort_unstable();
        AffinityRing { points }
    }

    /// Returns the servers for `hash` in order of preference, with repetitions.
    pub fn affinity_servers(&self, hash: u64) -> impl Iterator<Item = ServerIndex> {
        let start = self.points.partition_point(|(point, _)| *point < hash);
        self.points[start..].iter().chain(&self.points[..start]).map(|(_, index)| *index)
    }
}

/// Exponentially decayed request counts of one prefix.
#[derive(Clone, Copy, Debug)]
struct PrefixRate {
    long_count: f64,
    short_count: f64,
    at: Instant,
}

impl PrefixRate {
    fn at(&self, now: Instant) -> PrefixRate {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        PrefixRate {
            long_count: self.long_count * (-age / RATE_WINDOW.as_secs_f64()).exp(),
            short_count: self.short_count * (-age / SHORT_RATE_WINDOW.as_secs_f64()).exp(),
            at: now,
        }
    }

    /// Returns the mean rate in requests per second, given the total observation time.
    fn mean_rate(&self, observed: Duration) -> f64 {
        self.long_count / effective_seconds(RATE_WINDOW, observed)
    }

    /// Returns a conservative estimate of the rate in requests per second that excludes random
    /// fluctuations.
    fn confident_rate(&self, observed: Duration) -> f64 {
        let short =
            confident_count(self.short_count) / effective_seconds(SHORT_RATE_WINDOW, observed);
        let long = confident_count(self.long_count) / effective_seconds(RATE_WINDOW, observed);
        short.max(long)
    }
}

/// Subtracts the expected random deviation from a decayed count.
///
/// One of hundreds of daemons rarely sees a given rare prefix. Extrapolated to all daemons, a
/// single request would count as hundreds.
fn confident_count(count: f64) -> f64 {
    // The variance of an exponentially decayed count is half its mean.
    let deviation = (count / 2.0).sqrt();
    (count - CONFIDENCE_DEVIATIONS * deviation).max(0.0)
}

/// Returns the seconds of requests that a decayed count covers after an observation time: a daemon
/// that has just started has not observed a full time constant.
fn effective_seconds(span: Duration, observed: Duration) -> f64 {
    let span = span.as_secs_f64();
    let observed = observed.max(MIN_OBSERVATION).as_secs_f64();
    span * (1.0 - (-observed / span).exp())
}

/// Request rates of prefixes, from which the number of affinity servers is derived.
#[derive(Debug, Default)]
pub struct PrefixRateTable {
    /// Holds at most [`MAX_TRACKED_PREFIXES`] entries.
    rates: BTreeMap<u64, PrefixRate>,
    /// When the first request was recorded.
    since: Option<Instant>,
}

impl PrefixRateTable {
    /// Records a request for the prefix `hash`.
    pub fn record(&mut self, now: Instant, hash: u64) {
        self.since.get_or_insert(now);
        if self.rates.len() >= MAX_TRACKED_PREFIXES && !self.rates.contains_key(&hash) {
            self.evict_least_requested(now);
        }
        let empty = PrefixRate { long_count: 0.0, short_count: 0.0, at: now };
        let rate = self.rates.entry(hash).or_insert(empty);
        let PrefixRate { long_count, short_count, at } = rate.at(now);
        *rate = PrefixRate { long_count: long_count + 1.0, short_count: short_count + 1.0, at };
    }

    /// Returns the mean rate of the prefix `hash` in requests per second, random fluctuations
    /// included.
    pub fn mean_rate(&self, now: Instant, hash: u64) -> f64 {
        self.rates.get(&hash).map_or(0.0, |rate| rate.at(now).mean_rate(self.observed(now)))
    }

    /// Returns a conservative rate of the prefix `hash` in requests per second.
    pub fn confident_rate(&self, now: Instant, hash: u64) -> f64 {
        self.rates.get(&hash).map_or(0.0, |rate| rate.at(now).confident_rate(self.observed(now)))
    }

    fn observed(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the prefixes with the highest request rates, highest first.
    pub fn hottest(&self, now: Instant, limit: usize) -> Vec<u64> {
        let mut rates: Vec<(f64, u64)> = self
            .rates
            .iter()
            .map(|(hash, rate)| (rate.at(now).long_count, *hash))
            .filter(|(rate, _)| *rate > 2.0)
            .collect();
        rates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        rates.into_iter().take(limit).map(|(_, hash)| hash).collect()
    }

    /// Evicts the less requested half.
    fn evict_least_requested(&mut self, now: Instant) {
        let mut values: Vec<f64> =
            self.rates.values().map(|rate| rate.at(now).long_count).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        self.rates.retain(|_, rate| rate.at(now).long_count > median);
        if self.rates.len() >= MAX_TRACKED_PREFIXES {
            self.rates.clear();
        }
    }
}

/// Transfer speed of prompt-keep servers in tokens per second and their fixed time in seconds, for
/// blocks of about four thousand tokens. An import has to be cheaper by the factor [`IMPORT_GAIN`],
/// which tolerates a somewhat slower server.
const IMPORT_RATE: f64 = 40_000.0;
const IMPORT_BASE: f64 = 0.05;
const IMPORT_GAIN: f64 = 1.5;

/// Returns the level to import before prefill and the seconds that it takes, if that is clearly
/// cheaper than computing it.
pub fn import_level(levels: &[PrefixLevel], hit: u32, rate: f64) -> Option<(PrefixLevel, f64)> {
    let level = levels.last().filter(|level| level.tokens > hit)?;
    let tokens = f64::from(level.tokens - hit);
    let import = IMPORT_BASE + tokens / IMPORT_RATE;
    (import * IMPORT_GAIN < tokens / rate).then_some((*level, import))
}
