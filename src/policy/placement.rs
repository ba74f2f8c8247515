//! Picks the backend server with the least predicted time to the first token.
//!
//! Load pattern: servers bought over years differ several times over in speed, a missed prefix costs
//! seconds of prefill, and a hot prefix needs more than one server. Without it round robin gives the
//! slowest server the same share and misses most prefixes; a bare prefix hash piles a hot prefix
//! onto one server.
//!
//! Predicted time = wait for a place + (tokens before it + prompt − expected hit) ÷ measured speed.
//! Candidates are the known holders, the prefix's homes and two at random, so a decision looks at a
//! handful of servers however many there are. Homes come from a consistent-hash ring that every
//! daemon computes alike; a prefix gets more of them as it heats. The two at random keep the load
//! bounded and find servers that have become faster.

use {
    super::{PrefixLevel, prefix::ServerIndex},
    crate::inventory::DecisionObjective,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Speed assumed of an engine before anything was measured, in prompt tokens per second. Engines
/// in use range from some thousands to some tens of thousands; it is corrected by the first answer.
const FIRST_SPEED: f64 = 5_000.0;

/// First-token time of an empty prompt before anything was measured.
const FIRST_BASE: f64 = 0.02;

/// Prompts with fewer computed tokens tell the base time, longer ones the speed: below it the fixed
/// time is as long as the prefill.
const SPEED_SAMPLE: f64 = 512.0;

/// How far one answer moves the base time down and up: what is above it was mostly waiting.
const FALLING_PART: f64 = 0.3;
const RISING_PART: f64 = 0.02;

/// Answers that tell a server's speed …
const SAMPLES: usize = 8;

/// … none of them older than this, so that a server that has become slow is found soon.
const SAMPLE_LIFE: Duration = Duration::from_secs(15);

/// Parts of the typical speed below which a server becomes slow, and above which it is no more.
const SLOW_BELOW: f64 = 0.5;
const SLOW_UNTIL: f64 = 0.7;

/// Answers in a row that it takes.
const DOUBTS: u32 = 3;

/// Weight as a home of a slow server: it serves others' overflow sooner than prefixes of its own.
const SLOW_WEIGHT: f64 = 0.1;

/// How far one answer moves the mean service time.
const SERVICE_PART: f64 = 0.1;

/// Places of each server on the ring; evens out the homes to within some tens of percent.
const RING_PLACES: u64 = 32;

/// The time over which a prefix's heat is counted: about what an engine's cache remembers.
const HEAT_SPAN: Duration = Duration::from_secs(20);

/// What was counted for less than this tells no rate.
const LEAST_COUNTED: Duration = Duration::from_secs(1);

/// Standard deviations by which a count may exceed its mean by chance.
const SCATTER: f64 = 2.0;

/// A second, shorter count that finds a prefix which has just become hot.
const FAST_SPAN: Duration = Duration::from_secs(4);

/// Prefixes whose heat is kept. Heat matters only for prefixes with several requests a second.
const MAX_HEATS: usize = 4_096;

/// Pools up to this size are looked at whole, as their few servers cost less than choosing among
/// them would.
pub const SMALL_POOL: usize = 12;

/// Weight of prefill work and of straying when reuse is the objective: a second of waiting is
/// accepted to spare a third of a second of engine time.
const REUSE_WEIGHT: f64 = 3.0;

/// Seconds of waiting accepted rather than stray, beside as much as the prefill takes. More would let
/// a hot prefix wait at its homes while others are idle.
const STRAY_COST: f64 = 0.25;

/// Part of the slots in use from which straying costs more, and seconds for the whole of them:
/// beyond it there is hardly any straying.
const SCARCE_FROM: f64 = 0.5;
const SCARCE_COST: f64 = 100.0;

/// What has been measured of one server's speed.
#[derive(Clone, Debug, Default)]
pub struct SpeedGauge {
    /// Prompt tokens per second; `None` until measured.
    rate: Option<f64>,
    /// First-token time of an empty prompt in seconds; `None` until measured.
    base: Option<f64>,
    /// Time from sending to the whole answer in seconds; `None` until measured.
    service: Option<f64>,
    /// Speeds that the latest answers showed at least, oldest first; at most [`SAMPLES`].
    latest: VecDeque<(Instant, f64)>,
    /// Whether it is far slower than its pool.
    slow: bool,
    /// Answers in a row that say otherwise.
    doubts: u32,
}

impl SpeedGauge {
    /// Prompt tokens per second, or `typical` if not measured.
    pub fn rate(&self, typical: Option<f64>) -> f64 {
        self.rate.or(typical).unwrap_or(FIRST_SPEED)
    }

    /// Prompt tokens per second, if measured.
    pub fn measured(&self) -> Option<f64> {
        self.rate
    }

    /// First-token time of an empty prompt.
    pub fn base(&self) -> f64 {
        self.base.unwrap_or(FIRST_BASE)
    }

    /// Time from sending to the whole answer.
    pub fn service(&self) -> f64 {
        self.service.unwrap_or(1.0)
    }

    /// Its weight as a home.
    pub fn home_weight(&self) -> f64 {
        if self.slow { SLOW_WEIGHT } else { 1.0 }
    }

    /// Compares its speed with the pool's typical one.
    ///
    /// Only several answers in a row make it slow or end that, and the two borders lie apart: homes
    /// that move cost a prefill each, and daemons have to agree on them.
    pub fn compare(&mut self, typical: Option<f64>) {
        let (Some(rate), Some(typical)) = (self.rate, typical) else { return };
        let border = if self.slow { SLOW_UNTIL } else { SLOW_BELOW };
        if (rate < border * typical) == self.slow {
            self.doubts = 0;
            return;
        }
        self.doubts += 1;
        if self.doubts >= DOUBTS {
            self.slow = !self.slow;
            self.doubts = 0;
        }
    }

    /// Learns from a first token that came after `taken` with `tokens` of its own to compute.
    ///
    /// What it waited for is not known well, so one answer tells no more than that the server is at
    /// least so fast; the fastest of the latest answers tells its speed.
    pub fn note_first_token(&mut self, now: Instant, tokens: f64, taken: Duration) {
        let taken = taken.as_secs_f64();
        if tokens < SPEED_SAMPLE {
            let base = self.base();
            let part = if taken < base { FALLING_PART } else { RISING_PART };
            self.base = Some(base + (taken - base) * part);
            return;
        }
        if self.latest.len() >= SAMPLES {
            self.latest.pop_front();
        }
        self.latest.push_back((now, tokens / (taken - self.base()).max(taken / 2.0).max(0.001)));
        while self.latest.len() > 1
            && self
                .latest
                .front()
                .is_some_and(|(at, _)| now.saturating_duration_since(*at) > SAMPLE_LIFE)
        {
            self.latest.pop_front();
        }
        self.rate = self.latest.iter().map(|(_, rate)| *rate).max_by(f64::total_cmp);
    }

    /// Learns from a whole answer that came after `taken`.
    pub fn note_finished(&mut self, taken: Duration) {
        let taken = taken.as_secs_f64();
        self.service =
            Some(self.service.map_or(taken, |mean| mean + (taken - mean) * SERVICE_PART));
    }
}

/// A server's rank as a home of `hash` (weighted rendezvous hashing): the share of prefixes that it
/// is first for is its weight's part of all weights.
pub fn home_rank(server: u64, hash: u64, weight: f64) -> u64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), server);
    let unit = ((mixed >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    // Positive floats order as their bits do.
    (weight / -unit.ln()).to_bits()
}

/// What placement weighs of one candidate, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CandidateCost {
    /// Until a place is free there.
    pub place: f64,
    /// Until the tokens before it are computed, and whatever is overdue.
    pub wait: f64,
    /// Its own prefill, or the import and the rest.
    pub prefill: f64,
    /// The way there and back and the engine's fixed time.
    pub base: f64,
    /// Whether the prefix is neither held nor at home there.
    pub stray: bool,
    /// Part of the slots in use.
    pub occupied: f64,
}

impl CandidateCost {
    /// Predicted time to the first token.
    pub fn first_token(&self) -> f64 {
        self.place + self.wait + self.prefill + self.base
    }

    /// What it costs others that a prefix strays from its homes: its blocks push theirs out, here
    /// now and at home when it comes back. Beside idle slots that is little. Where slots are scarce
    /// each stray makes the next one likelier, until all hits are lost while load is highest.
    fn stray_cost(&self) -> f64 {
        if !self.stray {
            return 0.0;
        }
        let scarce = (self.occupied - SCARCE_FROM).max(0.0) * SCARCE_COST;
        STRAY_COST + self.prefill + scarce
    }

    /// What is minimised under `objective`.
    pub fn score(&self, objective: DecisionObjective) -> f64 {
        let weight = match objective {
            DecisionObjective::FirstToken => 1.0,
            DecisionObjective::Reuse => REUSE_WEIGHT,
        };
        let reuse = (weight - 1.0) * self.prefill;
        self.first_token() + reuse + weight * self.stray_cost()
    }
}

/// A consistent-hash ring over the servers of one pool.
#[derive(Clone, Debug, Default)]
pub struct HomeRing {
    /// Sorted by hash.
    places: Vec<(u64, ServerIndex)>,
}

impl HomeRing {
    /// The ring of the given servers; their names decide their places, so that each daemon gets the
    /// same ring whatever its own numbering.
    pub fn new<'a>(servers: impl Iterator<Item = (ServerIndex, &'a str)>) -> Self {
        let mut places: Vec<(u64, ServerIndex)> = servers
            .flat_map(|(index, id)| {
                (0..RING_PLACES).map(move |place| (xxh3_64_with_seed(id.as_bytes(), place), index))
            })
            .collect();
        places.sort_unstable();
        HomeRing { places }
    }

    /// Servers in the order in which they are home to `hash`, with repetitions.
    pub fn homes(&self, hash: u64) -> impl Iterator<Item = ServerIndex> {
        let start = self.places.partition_point(|(place, _)| *place < hash);
        self.places[start..].iter().chain(&self.places[..start]).map(|(_, index)| *index)
    }
}

/// Decayed counts of requests for one prefix.
#[derive(Clone, Copy, Debug)]
struct PrefixHeat {
    slow: f64,
    fast: f64,
    at: Instant,
}

impl PrefixHeat {
    fn at(&self, now: Instant) -> PrefixHeat {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        PrefixHeat {
            slow: self.slow * (-age / HEAT_SPAN.as_secs_f64()).exp(),
            fast: self.fast * (-age / FAST_SPAN.as_secs_f64()).exp(),
            at: now,
        }
    }

    /// Requests per second, counted for `counted` so far.
    fn mean_rate(&self, counted: Duration) -> f64 {
        self.slow / seen_part(HEAT_SPAN, counted)
    }

    /// Requests per second that the counts prove, so that chance makes nothing hot.
    fn proven_rate(&self, counted: Duration) -> f64 {
        let fast = proven_count(self.fast) / seen_part(FAST_SPAN, counted);
        let slow = proven_count(self.slow) / seen_part(HEAT_SPAN, counted);
        fast.max(slow)
    }
}

/// What is left of a decayed count without its own scatter.
///
/// One of hundreds of daemons sees a rare prefix once in a long time. Taken for this daemon's part of the
/// traffic, that one request would stand for hundreds.
fn proven_count(count: f64) -> f64 {
    // A count that decays evenly has half of its mean as its variance.
    let deviation = (count / 2.0).sqrt();
    (count - SCATTER * deviation).max(0.0)
}

/// Seconds of requests that a count with this span holds after `counted`: a daemon that has just started
/// has not seen a whole span yet.
fn seen_part(span: Duration, counted: Duration) -> f64 {
    let span = span.as_secs_f64();
    let counted = counted.max(LEAST_COUNTED).as_secs_f64();
    span * (1.0 - (-counted / span).exp())
}

/// How often prefixes are asked for, so that hot ones get more homes.
#[derive(Debug, Default)]
pub struct HeatTable {
    /// At most [`MAX_HEATS`].
    heats: BTreeMap<u64, PrefixHeat>,
    /// When the first request was counted.
    since: Option<Instant>,
}

impl HeatTable {
    /// Counts a request for the prefix `hash`.
    pub fn note(&mut self, now: Instant, hash: u64) {
        self.since.get_or_insert(now);
        if self.heats.len() >= MAX_HEATS && !self.heats.contains_key(&hash) {
            self.cool(now);
        }
        let cold = PrefixHeat { slow: 0.0, fast: 0.0, at: now };
        let heat = self.heats.entry(hash).or_insert(cold);
        let PrefixHeat { slow, fast, at } = heat.at(now);
        *heat = PrefixHeat { slow: slow + 1.0, fast: fast + 1.0, at };
    }

    /// Requests per second for the prefix `hash`, chance included.
    pub fn mean_rate(&self, now: Instant, hash: u64) -> f64 {
        self.heats.get(&hash).map_or(0.0, |heat| heat.at(now).mean_rate(self.counted(now)))
    }

    /// Requests per second for the prefix `hash` that are not by chance.
    pub fn proven_rate(&self, now: Instant, hash: u64) -> f64 {
        self.heats.get(&hash).map_or(0.0, |heat| heat.at(now).proven_rate(self.counted(now)))
    }

    fn counted(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// The hottest prefixes, hottest first.
    pub fn hottest(&self, now: Instant, limit: usize) -> Vec<u64> {
        let mut heats: Vec<(f64, u64)> = self
            .heats
            .iter()
            .map(|(hash, heat)| (heat.at(now).slow, *hash))
            .filter(|(heat, _)| *heat > 2.0)
            .collect();
        heats.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        heats.into_iter().take(limit).map(|(_, hash)| hash).collect()
    }

    /// Forgets the colder half.
    fn cool(&mut self, now: Instant) {
        let mut values: Vec<f64> = self.heats.values().map(|heat| heat.at(now).slow).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        self.heats.retain(|_, heat| heat.at(now).slow > median);
        if self.heats.len() >= MAX_HEATS {
            self.heats.clear();
        }
    }
}

/// Speed at which prompt-keep delivers kept prefixes, in tokens per second, and its fixed time.
/// Taken from the pieces of about four thousand tokens that it keeps; an import is chosen only
/// where it is cheaper by [`IMPORT_GAIN`], so a somewhat slower keep does no harm.
const IMPORT_RATE: f64 = 40_000.0;
const IMPORT_BASE: f64 = 0.05;
const IMPORT_GAIN: f64 = 1.5;

/// The level to import before prefill, if that is clearly cheaper than computing it.
pub fn import_level(levels: &[PrefixLevel], hit: u32, rate: f64) -> Option<(PrefixLevel, f64)> {
    let level = levels.last().filter(|level| level.tokens > hit)?;
    let tokens = f64::from(level.tokens - hit);
    let import = IMPORT_BASE + tokens / IMPORT_RATE;
    (import * IMPORT_GAIN < tokens / rate).then_some((*level, import))
}
