//! Prompts that an engine still has to read, by leases.
//!
//! An engine reads prompts in pieces between the steps of the requests that it runs, so that long
//! prompts delay the next event of every running stream and the first one of every new request. A
//! prompt is therefore granted only if what is to be read by then takes a part of the shortest latency
//! objective that requests to this server have.

use {
    super::{LeaseUrgency, ReadingDemand},
    crate::ids::LeaseId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Part of the shortest latency objective that reading may take. The rest is for the steps of the
/// running requests, the way to the server and back, and the error of the estimate.
const READING_FRACTION: f64 = 0.5;

/// Prompt tokens that an engine reads in one piece, which more urgent prompts cannot overtake.
const PIECE_TOKENS: u64 = 2_048;

/// Prompts with fewer tokens show how long the first event takes beside reading, not how fast an engine
/// reads.
const MIN_SAMPLE_TOKENS: u64 = 1_024;

/// Smoothing factor of the time of the first event beside reading.
const EVENT_STEP: f64 = 0.1;

/// Least part of a measured time that counts as reading.
const MIN_READING_PART: f64 = 0.25;

/// Factor of the former samples with each further one.
const SAMPLE_DECAY: f64 = 0.8;

/// A prompt whose holder has not told that it was read counts as read after this time: the message
/// may be lost, or the response is not streamed.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);

/// How long an objective applies after the last request with one as short.
const OBJECTIVE_LIFETIME: Duration = Duration::from_secs(5);

/// A prompt that is not read yet.
#[derive(Clone, Copy, Debug)]
struct UnreadPrompt {
    urgency: LeaseUrgency,
    tokens: u64,
    granted_at: Instant,
    /// Whether nothing else was to be read when it was granted.
    is_alone: bool,
}

/// What an engine has to read.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadingLoad {
    /// At most one for each lease.
    unread: BTreeMap<LeaseId, UnreadPrompt>,
    /// When the last prompt was read.
    read_at: Option<Instant>,
    /// Weighted sums of the tokens that were read and of the seconds that this took.
    read_tokens: f64,
    read_seconds: f64,
    /// Time in seconds that the first event of a response takes beside reading.
    event_seconds: f64,
    /// The shortest latency objective of the latest requests, and when it was last stated.
    objective: Option<(Duration, Instant)>,
}

impl ReadingLoad {
    /// Records that a request with this objective has asked for a lease.
    pub(super) fn record_objective(&mut self, now: Instant, objective: Duration) {
        let is_current =
            |stated: &Instant| now.saturating_duration_since(*stated) < OBJECTIVE_LIFETIME;
        match self.objective.filter(|(_, stated)| is_current(stated)) {
            Some((shortest, _)) if shortest < objective => {}
            _ => self.objective = Some((objective, now)),
        }
    }

    pub(super) fn begin(&mut self, now: Instant, lease: LeaseId, demand: ReadingDemand) {
        let ReadingDemand { urgency, computed, .. } = demand;
        let is_alone = self.current(now).next().is_none();
        let prompt = UnreadPrompt { urgency, tokens: computed.into(), granted_at: now, is_alone };
        self.unread.insert(lease, prompt);
    }

    /// Records that a prompt was read.
    pub(super) fn finish(&mut self, now: Instant, lease: LeaseId) {
        let Some(prompt) = self.unread.remove(&lease) else { return };
        let began = self.read_at.map_or(prompt.granted_at, |at| at.max(prompt.granted_at));
        self.read_at = Some(now);
        let taken = now.saturating_duration_since(began).as_secs_f64();
        if prompt.tokens < MIN_SAMPLE_TOKENS {
            if prompt.is_alone {
                self.event_seconds += (taken - self.event_seconds) * EVENT_STEP;
            }
            return;
        }
        // Beside others that are read, the event takes time in which the next one is read.
        let event = if prompt.is_alone { self.event_seconds } else { 0.0 };
        let read = (taken - event).max(taken * MIN_READING_PART);
        self.read_tokens = self.read_tokens * SAMPLE_DECAY + prompt.tokens as f64;
        self.read_seconds = self.read_seconds * SAMPLE_DECAY + read;
    }

    /// Forgets the prompt of a lease that has ended.
    pub(super) fn forget(&mut self, lease: LeaseId) {
        self.unread.remove(&lease);
    }

    /// Tokens that are still to be read.
    pub(super) fn tokens(&self, now: Instant) -> u64 {
        self.current(now).map(|prompt| prompt.tokens).sum()
    }

    /// How long an engine takes to read `tokens`; zero before any measurement.
    pub(super) fn time_for(&self, tokens: u64) -> Duration {
        match self.read_tokens > 0.0 {
            true => Duration::from_secs_f64(tokens as f64 * self.read_seconds / self.read_tokens),
            false => Duration::ZERO,
        }
    }

    /// How long it takes, beyond what requests bear, to read a prompt after `waiting` other tokens and
    /// those that are granted; zero if it may be granted.
    pub(super) fn excess(&self, now: Instant, demand: &ReadingDemand, waiting: u64) -> Duration {
        let (mut before, mut behind) = (waiting, 0);
        for prompt in self.current(now) {
            match prompt.urgency <= demand.urgency {
                true => before += prompt.tokens,
                false => behind += prompt.tokens,
            }
        }
        let ahead = before + behind.min(PIECE_TOKENS);
        // Someone has to be read, however long it takes.
        if ahead == 0 {
            return Duration::ZERO;
        }
        if self.read_tokens <= 0.0 {
            // Before any measurement one long prompt is read at a time.
            let is_short = u64::from(demand.computed) <= PIECE_TOKENS || before <= PIECE_TOKENS;
            return if is_short { Duration::ZERO } else { Duration::from_millis(1) };
        }
        let shortest = self.objective.map_or(demand.objective, |(shortest, _)| shortest);
        let taken = self.time_for(ahead + u64::from(demand.computed));
        taken.saturating_sub(shortest.mul_f64(READING_FRACTION))
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = &UnreadPrompt> {
        self.unread
            .values()
            .filter(move |prompt| now.saturating_duration_since(prompt.granted_at) < UNREAD_LIMIT)
    }
}
