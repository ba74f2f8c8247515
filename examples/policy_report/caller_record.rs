//! Callers: what each asked for, what became of it, and when it comes back.

use {
    super::{
        random_source::{RandomSource, mix_hash},
        site::{MODEL, ORGANISATION_SHARES, SERVICE},
        traffic::{CallerRequest, CallerWork},
    },
    oleandermount::policy::{RequestTicket, RequestWork},
    std::time::{Duration, Instant},
};

/// One way from a caller to a daemon.
pub const CALLER_DELAY: Duration = Duration::from_millis(3);
/// Asks of one request at most, the first included.
const MAX_SUBMISSIONS: u32 = 4;
/// Asks of a request that crashes servers; its caller comes back whatever it hears.
const MAX_POISON_SUBMISSIONS: u32 = 20;
/// What that caller waits when it is told no time.
const POISON_RETRY_DELAY: Duration = Duration::from_secs(1);
/// What a caller waits at least after its connection broke; up to four times as long.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The whole answer came.
    Answered,
    /// The last answer was a refusal or an error, for this reason.
    Refused(&'static str),
}

/// One request and its caller.
pub struct CallerRecord {
    /// What it asked for.
    pub request: CallerRequest,
    /// Asks so far.
    pub submissions: u32,
    /// The daemon that has the present ask; none while the caller waits to come back.
    pub daemon: Option<usize>,
    /// When the present ask reached its daemon.
    pub submitted_at: Duration,
    /// When the caller stops waiting for the first token.
    pub deadline: Duration,
    /// When the first token of the present ask reached the caller.
    pub first_token: Option<Duration>,
    /// When the last answer reached the caller, and what it was. Set once.
    pub outcome: Option<(Duration, CallerOutcome)>,
    /// From each refused ask to its refusal, as the daemon saw it.
    pub refusal_delays: Vec<Duration>,
    /// Sendings to servers.
    pub sends: u32,
    /// Sendings that may have run, which a request that may not be repeated has at most once.
    pub possible_runs: u32,
}

impl CallerRecord {
    /// A caller that has not asked yet.
    pub fn new(request: CallerRequest) -> Self {
        CallerRecord {
            deadline: request.at + request.first_token_limit,
            submitted_at: request.at,
            request,
            submissions: 0,
            daemon: None,
            first_token: None,
            outcome: None,
            refusal_delays: Vec::new(),
            sends: 0,
            possible_runs: 0,
        }
    }

    /// Notes that an ask reached `daemon`.
    pub fn record_submission(&mut self, now: Duration, daemon: usize) {
        self.submissions += 1;
        self.daemon = Some(daemon);
        self.submitted_at = now;
        self.first_token = None;
        if self.request.poison {
            self.deadline = now + self.request.first_token_limit;
        }
    }

    /// The ticket of the present ask.
    pub fn ticket(&self, index: usize, epoch: Instant) -> RequestTicket {
        let work = match &self.request.work {
            CallerWork::Model { levels, output_tokens } => RequestWork::Model {
                model: MODEL.into(),
                adapter: None,
                prompt_tokens: levels.last().map_or(0, |level| level.tokens),
                levels: levels.clone(),
                // Callers give a limit, not the length that the answer will have.
                max_output_tokens: output_tokens * 2,
            },
            CallerWork::Service { .. } => RequestWork::Service { service: SERVICE.into() },
        };
        RequestTicket {
            request: request_name(index, self.submissions),
            organisation: organisation_name(self.request.organisation),
            class: self.request.class,
            deadline: epoch + self.deadline,
            repeatable: self.request.repeatable,
            fingerprint: mix_hash(0xf1f1, index as u64),
            work,
        }
    }

    /// Takes a refusal; answers when the caller's next ask reaches a daemon, if it comes back.
    pub fn handle_refusal(
        &mut self,
        now: Duration,
        reason: &'static str,
        retry_after: Option<Duration>,
        source: &mut RandomSource,
    ) -> Option<Duration> {
        self.daemon = None;
        self.refusal_delays.push(now - self.submitted_at);
        let received_at = now + CALLER_DELAY;
        let retry_at = if self.request.poison {
            (self.submissions < MAX_POISON_SUBMISSIONS)
                .then(|| received_at + retry_after.unwrap_or(POISON_RETRY_DELAY) + CALLER_DELAY)
        } else {
            // A person's client adds a little to what it is told.
            retry_after
                .map(|delay| received_at + delay.mul_f64(1.0 + 0.1 * source.unit()) + CALLER_DELAY)
                .filter(|_| self.first_token.is_none() && self.submissions < MAX_SUBMISSIONS)
                .filter(|retry_at| *retry_at < self.deadline)
        };
        if retry_at.is_none() {
            self.outcome = Some((received_at, CallerOutcome::Refused(reason)));
        }
        retry_at
    }

    /// Takes the loss of the daemon; answers when the next ask reaches another, if there is one.
    pub fn handle_daemon_loss(
        &mut self,
        now: Duration,
        source: &mut RandomSource,
    ) -> Option<Duration> {
        self.daemon = None;
        let received_at = now + CALLER_DELAY;
        if !self.request.repeatable || self.submissions >= MAX_SUBMISSIONS {
            self.outcome = Some((received_at, CallerOutcome::Refused("daemon_lost")));
            return None;
        }
        let retry_at = received_at + MIN_RECONNECT_DELAY.mul_f64(1.0 + 3.0 * source.unit());
        if self.first_token.is_some() {
            // The caller had its first token in time, and wants the whole answer again.
            self.deadline = retry_at + self.request.first_token_limit;
        }
        Some(retry_at)
    }

    /// From the first ask to the first token, as the caller sees it; for answered requests.
    pub fn first_token_latency(&self) -> Option<Duration> {
        match &self.outcome {
            Some((at, CallerOutcome::Answered)) => {
                Some(self.first_token.unwrap_or(*at) - self.request.at)
            }
            _ => None,
        }
    }

    /// Whether the whole answer came and its first token was in time.
    pub fn in_time(&self) -> bool {
        self.first_token_latency()
            .is_some_and(|delay| delay <= self.request.first_token_limit + CALLER_DELAY)
    }

    /// Tokens of prompt and answer; plain service calls count none.
    pub fn tokens(&self) -> u64 {
        match &self.request.work {
            CallerWork::Model { levels, output_tokens } => {
                u64::from(levels.last().map_or(0, |level| level.tokens) + output_tokens)
            }
            CallerWork::Service { .. } => 0,
        }
    }
}

/// The name of one ask of a request.
pub fn request_name(index: usize, submission: u32) -> String {
    format!("r{index}.{submission}")
}

/// The request and ask that [`request_name`] named.
pub fn parse_request_name(name: &str) -> (usize, u32) {
    let (index, submission) = name[1..].split_once('.').expect("made by request_name");
    (
        index.parse().expect("made by request_name"),
        submission.parse().expect("made by request_name"),
    )
}

/// The name of an organisation; the largest is the first.
pub fn organisation_name(index: usize) -> String {
    debug_assert!(index < ORGANISATION_SHARES.len());
    format!("org-{index}")
}
