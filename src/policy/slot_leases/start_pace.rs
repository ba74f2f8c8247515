//! The pace at which a server that has just started receives requests.
//!
//! Load pattern: a server starts or returns with empty caches while requests for it wait at many entries.
//! A server in use bears as many requests as it has slots; a cold one doesn't, so that all of its first
//! callers are late. If each entry tried one request first, it would stay idle instead.
//!
//! The limit rises by the answers of the server, and only by those that were sent since it last changed
//! while at least half of it was in use: fewer requests at a time say nothing of what the server bears. So
//! neither time nor idleness moves it. A request that is not answered moves nothing either, so that a broken
//! server stays at the first limit.

use std::time::{Duration, Instant};

/// Part of the slots with which a server starts, and the least number of requests: fewer are soon held up by a
/// few requests that take long at any server.
const FIRST_PART: usize = 8;
const MIN_FIRST: usize = 3;

/// Ratio of measured to predicted time from which an answer is late. Below it, a server that is slower than
/// usual is still better than a wait for another one, and the objectives of the callers are kept.
const LATE_RATIO: f32 = 2.0;

/// Parts of its latency objective between which the answer to a request is expected: sooner, its caller
/// notices no delay, and a later one is of little use even if it was predicted.
const EXPECTED_PARTS: (f64, f64) = (0.25, 0.5);

/// Part of a set of answers that may be late, since some are late at servers in use, too.
const LATE_PART: usize = 4;

/// Late answers that are too many for any set. A single one is no evidence where a set has only a few.
const MIN_LATE: usize = 2;

/// The time that an answer has taken as a multiple of that in which it was expected: the predicted time, within
/// bounds that the objective of the request sets.
pub fn answer_lateness(taken: Duration, predicted: Duration, objective: Duration) -> f32 {
    let (soon, late) = EXPECTED_PARTS;
    let expected = predicted.clamp(objective.mul_f64(soon), objective.mul_f64(late));
    taken.as_secs_f32() / expected.max(Duration::from_millis(1)).as_secs_f32()
}

/// What an arbiter knows of the start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStart {
    /// The server was listed before with the same incarnation.
    InUse,
    /// The arbiter has no earlier list. The server has just started unless former leases are confirmed.
    Unknown,
    /// The server or its incarnation is new in the list.
    Fresh,
}

/// How a server has answered a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The first token or the response came about when it was predicted.
    OnTime,
    /// It came late.
    Late,
    /// The server had no room.
    Rejected,
}

impl StartOutcome {
    /// The outcome of an answer by its measured over its predicted time.
    pub fn of_lateness(lateness: f32) -> Self {
        if lateness < LATE_RATIO { StartOutcome::OnTime } else { StartOutcome::Late }
    }
}

/// An answer of a server.
#[derive(Clone, Copy, Debug)]
pub struct StartAnswer {
    /// When the request was sent.
    pub sent: Instant,
    /// Leases that were held when the answer came, with its own.
    pub held: usize,
    /// How the server has answered.
    pub outcome: StartOutcome,
}

/// What a pace that has ended took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSummary {
    /// Time since the pace began.
    pub duration: Duration,
    /// Answers that were recorded.
    pub answers: u64,
}

/// The limit of the requests that a server is sent until its answers show that it bears all of its slots.
#[derive(Clone, Debug)]
pub struct StartPace(Option<RisingPace>);

#[derive(Clone, Debug)]
struct RisingPace {
    start: ServerStart,
    began: Instant,
    answers: u64,
    /// At least 1.
    limit: usize,
    /// The last limit at which a set of answers was on time, or the first; at most `limit`.
    borne: usize,
    /// By how much the next set on time raises the limit; from 1 to `limit`.
    step: usize,
    set: AnswerSet,
}

/// The answers that were sent under one limit.
#[derive(Clone, Copy, Debug)]
struct AnswerSet {
    began: Instant,
    on_time: usize,
    late: usize,
}

impl AnswerSet {
    fn new(began: Instant) -> Self {
        AnswerSet { began, on_time: 0, late: 0 }
    }
}

fn first_limit(slots: usize) -> usize {
    slots.div_ceil(FIRST_PART).max(MIN_FIRST).min(slots)
}

impl StartPace {
    /// The pace of a server with these slots; it has ended for one in use.
    pub fn new(now: Instant, start: ServerStart, slots: usize) -> Self {
        let first = first_limit(slots);
        if start == ServerStart::InUse || first >= slots {
            return StartPace(None);
        }
        StartPace(Some(RisingPace {
            start,
            began: now,
            answers: 0,
            limit: first,
            borne: first,
            step: first,
            set: AnswerSet::new(now),
        }))
    }

    /// The pace of a server in use.
    pub fn ended() -> Self {
        StartPace(None)
    }

    /// Leases that may be held of a server with these slots.
    pub fn limit(&self, slots: usize) -> usize {
        self.0.as_ref().map_or(slots, |rising| rising.limit.min(slots))
    }

    /// Whether all slots may be used.
    pub fn is_ended(&self) -> bool {
        self.0.is_none()
    }

    /// Ends the pace of a server of which leases of a former arbiter are confirmed, unless it is known to
    /// have just started.
    pub fn confirm_use(&mut self, now: Instant) -> Option<PaceSummary> {
        self.0
            .take_if(|rising| rising.start == ServerStart::Unknown)
            .map(|ended| ended.summary(now))
    }

    /// Records an answer of a server with these slots. Returns a summary if it ends the pace.
    pub fn record(
        &mut self,
        now: Instant,
        answer: StartAnswer,
        slots: usize,
    ) -> Option<PaceSummary> {
        let rising = self.0.as_mut()?;
        rising.record(now, answer, slots);
        self.0.take_if(|rising| rising.limit >= slots).map(|ended| ended.summary(now))
    }
}

impl RisingPace {
    fn summary(&self, now: Instant) -> PaceSummary {
        let duration = now.saturating_duration_since(self.began);
        PaceSummary { duration, answers: self.answers }
    }

    fn record(&mut self, now: Instant, answer: StartAnswer, slots: usize) {
        self.answers += 1;
        let is_of_set = answer.sent >= self.set.began;
        match answer.outcome {
            StartOutcome::Rejected if is_of_set => self.halve(now),
            StartOutcome::OnTime if is_of_set && answer.held * 2 >= self.limit => {
                self.set.on_time += 1;
            }
            StartOutcome::Late if is_of_set && answer.held * 2 >= self.limit => {
                self.set.late += 1;
            }
            StartOutcome::Rejected | StartOutcome::OnTime | StartOutcome::Late => {}
        }
        if self.set.late >= MIN_LATE && self.set.late * LATE_PART > self.limit {
            self.fall_back(now, slots);
        } else if self.set.on_time + self.set.late >= self.limit.max(MIN_LATE) {
            self.rise(now);
        }
    }

    fn rise(&mut self, now: Instant) {
        self.borne = self.limit;
        self.limit += self.step;
        self.step *= 2;
        self.set = AnswerSet::new(now);
    }

    /// Returns to the limit that the server has borne. If that has become too much, takes half of it.
    fn fall_back(&mut self, now: Instant, slots: usize) {
        let first = first_limit(slots).min(self.limit);
        if self.borne >= self.limit {
            self.borne = (self.limit / 2).max(first);
        }
        self.limit = self.borne;
        self.step = first.min(self.limit);
        self.set = AnswerSet::new(now);
    }

    fn halve(&mut self, now: Instant) {
        self.limit = (self.limit / 2).max(1);
        self.borne = self.borne.min(self.limit);
        self.step = self.limit;
        self.set = AnswerSet::new(now);
    }
}
