//! Callers: the request of each, its retries and its outcome.

use {
    super::{
        random_source::{RandomSource, mix_hash},
        site::{MODEL, ORGANISATION_SHARES, SERVICE},
        traffic::{CallerRequest, CallerWork},
    },
    oleandermount::policy::{RequestTicket, RequestWork},
    std::time::{Duration, Instant},
};

/// One-way network delay between a caller and a daemon.
pub const CALLER_DELAY: Duration = Duration::from_millis(3);
/// Maximum submissions of a request, including the first.
const MAX_SUBMISSIONS: u32 = 4;
/// Maximum submissions of a request that crashes servers. Its caller retries after every refusal.
const MAX_POISON_SUBMISSIONS: u32 = 20;
/// Retry delay of such a request if the refusal carries no `Retry-After`.
const POISON_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Minimum delay before a caller reconnects after its connection broke. The actual delay is random
/// and up to four times as long.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The caller received the complete answer.
    Answered,
    /// The last submission was refused or failed for this reason.
    Refused(&'static str),
}

/// State of a request and its caller.
pub struct CallerRecord {
    /// Request that the caller submits.
    pub request: CallerRequest,
    /// Number of submissions so far.
    pub submissions: u32,
    /// Daemon that handles the current submission; none before the first submission, while the
    /// caller waits for a retry and after the end.
    pub daemon: Option<usize>,
    /// Time at which the current submission reached its daemon.
    pub submitted_at: Duration,
    /// Time until which the caller waits for the first token.
    pub deadline: Duration,
    /// Time at which the first token of the current submission reached the caller.
    pub first_token: Option<Duration>,
    /// Time at which the final outcome reached the caller, and the outcome. It is set once.
    pub outcome: Option<(Duration, CallerOutcome)>,
    /// Time from each refused submission to its refusal, measured at the daemon.
    pub refusal_delays: Vec<Duration>,
    /// Number of sends to servers.
    pub sends: u32,
    /// Number of sends that may have run; at most one for a non-repeatable request.
    pub possible_runs: u32,
}

impl CallerRecord {
    /// Creates a caller that has not submitted its request yet.
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

    /// Records that a submission reached `daemon`.
    pub fn record_submission(&mut self, now: Duration, daemon: usize) {
        self.submissions += 1;
        self.daemon = Some(daemon);
        self.submitted_at = now;
        self.first_token = None;
        if self.request.poison {
            self.deadline = now + self.request.first_token_limit;
        }
    }

    /// Returns the dispatcher's ticket of the current submission.
    pub fn ticket(&self, index: usize, epoch: Instant) -> RequestTicket {
        let work = match &self.request.work {
            CallerWork::Model { levels, output_tokens } => RequestWork::Model {
                model: MODEL.into(),
                adapter: None,
                prompt_tokens: levels.last().map_or(0, |level| level.tokens),
                levels: levels.clone(),
                // Callers state a limit for the answer, since its actual length is unknown in
                // advance.
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
            parts: Vec::new(),
            software: None,
            work,
        }
    }

    /// Processes a refusal and returns the time at which the retry reaches a daemon; none if the
    /// caller does not retry.
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
            // Clients add a jitter of up to a tenth to `Retry-After`.
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

    /// Processes the loss of the daemon and returns the time at which the retry reaches another
    /// daemon; none if the caller does not retry.
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
            // The caller received its first token in time. It restarts the request for the complete
            // answer, with a new limit for the first token.
            self.deadline = retry_at + self.request.first_token_limit;
        }
        Some(retry_at)
    }

    /// Returns the time from the first submission to the first token at the caller; none for a
    /// request that was not answered.
    pub fn first_token_latency(&self) -> Option<Duration> {
        match &self.outcome {
            Some((at, CallerOutcome::Answered)) => {
                Some(self.first_token.unwrap_or(*at) - self.request.at)
            }
            _ => None,
        }
    }

    /// Returns whether the answer is complete and its first token arrived in time.
    pub fn in_time(&self) -> bool {
        self.first_token_latency()
            .is_some_and(|delay| delay <= self.request.first_token_limit + CALLER_DELAY)
    }

    /// Returns the tokens of prompt and answer; 0 for a service call.
    pub fn tokens(&self) -> u64 {
        match &self.request.work {
            CallerWork::Model { levels, output_tokens } => {
                u64::from(levels.last().map_or(0, |level| level.tokens) + output_tokens)
            }
            CallerWork::Service { .. } => 0,
        }
    }
}

/// Returns the request ID of one submission of a request.
pub fn request_name(index: usize, submission: u32) -> String {
    format!("r{index}.{submission}")
}

/// Returns the request's index and the submission's number from a [`request_name`].
pub fn parse_request_name(name: &str) -> (usize, u32) {
    let (index, submission) =
        name[1..].split_once('.').expect("the name has the form of request_name");
    (
        index.parse().expect("the name has the form of request_name"),
        submission.parse().expect("the name has the form of request_name"),
    )
}

/// Returns the name of an organisation. Index 0 is the one with the most traffic.
pub fn organisation_name(index: usize) -> String {
    debug_assert!(index < ORGANISATION_SHARES.len());
    format!("org-{index}")
}
