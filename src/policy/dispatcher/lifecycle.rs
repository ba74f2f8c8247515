//! The stages of a request: `Received` → `Admitted` → `Sent`.
//!
//! Executing a non-repeatable call twice, such as a booking, has external effects that cannot be
//! undone. Once sent, a non-repeatable request therefore can return to `Admitted` only through
//! [`StagedRequest::requeue_unsent`], which requires a proof that it was not executed; the types
//! rule out all other paths.

use {
    crate::{
        ids::{AttemptId, SoftwareVersion, WeightsVersion},
        policy::{AttemptFailure, DidRun, RequestTicket, RetryReason, prefix::ServerIndex},
    },
    std::{marker::PhantomData, time::Instant},
};

/// Received, not yet admitted.
#[derive(Debug)]
pub struct Received;

/// Waiting for a server.
#[derive(Debug)]
pub struct Admitted {
    /// Earliest time at which it may be sent.
    pub not_before: Instant,
    /// Why it is sent again; `None` before the first send.
    pub retry: Option<RetryReason>,
}

/// Sent to a server. `R` is [`Repeatable`] or [`NonRepeatable`].
#[derive(Debug)]
pub struct Sent<R> {
    /// The attempt in flight.
    pub attempt: AttemptId,
    kind: PhantomData<R>,
}

/// Marks requests that may be executed more than once.
#[derive(Debug)]
pub struct Repeatable;

/// Marks requests that must be executed at most once.
#[derive(Debug)]
pub struct NonRepeatable;

/// Previous attempts of a request.
#[derive(Debug)]
pub struct RequestHistory {
    /// Number of times it was sent.
    pub tries: u32,
    /// Number of servers without a free slot.
    pub full_servers: u32,
    /// Whether it may have been executed, for a refusal; changes only from `No` to `Unknown`.
    pub did_run: DidRun,
    /// Tokens already relayed to the caller; never decreases.
    pub relayed: u32,
    /// Weights that generated the relayed tokens. Set exactly if `relayed` is positive and the
    /// weights were known.
    pub weights: Option<WeightsVersion>,
    /// Software version of the server that generated the relayed tokens, or the earlier part of a stream
    /// that the caller resumes.
    pub software: Option<SoftwareVersion>,
    /// Servers that failed it. They are used again only if no other server is eligible.
    pub avoided_servers: Vec<ServerIndex>,
    /// When it arrived.
    pub arrived: Instant,
}

/// A request in stage `S`.
#[derive(Debug)]
pub struct StagedRequest<S> {
    /// The submitted request.
    pub ticket: RequestTicket,
    /// Its previous attempts.
    pub history: RequestHistory,
    /// Data of the stage.
    pub stage: S,
}

/// Proof that an attempt was not executed: either no byte was sent, or the server itself declined
/// it in a form that only the server can produce.
#[derive(Debug)]
pub struct NotExecutedProof(());

impl NotExecutedProof {
    /// Returns a proof if the failure is one. A plain refusal is none, since a proxy between daemon
    /// and server may answer 503 for a call that was executed.
    pub fn from_failure(failure: AttemptFailure) -> Option<Self> {
        matches!(
            failure,
            AttemptFailure::NotConnected
                | AttemptFailure::NoSlot
                | AttemptFailure::Stale
                | AttemptFailure::Declined
        )
        .then_some(NotExecutedProof(()))
    }
}

impl StagedRequest<Received> {
    /// Creates the initial stage of a caller's request.
    pub fn receive(now: Instant, ticket: RequestTicket) -> Self {
        let history = RequestHistory {
            tries: 0,
            full_servers: 0,
            did_run: DidRun::No,
            relayed: 0,
            weights: None,
            software: ticket.software.clone(),
            avoided_servers: Vec::new(),
            arrived: now,
        };
        StagedRequest { ticket, history, stage: Received }
    }

    /// Admits it, so that it may be sent from `now` on.
    pub fn admit(self, now: Instant) -> StagedRequest<Admitted> {
        self.into_stage(Admitted { not_before: now, retry: None })
    }
}

impl StagedRequest<Admitted> {
    /// Marks it as sent with the given attempt.
    pub fn send(mut self, attempt: AttemptId) -> SentRequest {
        self.history.tries += 1;
        if self.ticket.repeatable {
            SentRequest::Repeatable(self.into_stage(Sent { attempt, kind: PhantomData }))
        } else {
            SentRequest::NonRepeatable(self.into_stage(Sent { attempt, kind: PhantomData }))
        }
    }
}

impl StagedRequest<Sent<Repeatable>> {
    /// Requeues it for a retry.
    pub fn retry(self, not_before: Instant, reason: RetryReason) -> StagedRequest<Admitted> {
        self.into_stage(Admitted { not_before, retry: Some(reason) })
    }
}

impl<R> StagedRequest<Sent<R>> {
    /// Requeues it after an attempt that was not executed.
    pub fn requeue_unsent(
        self,
        _proof: NotExecutedProof,
        not_before: Instant,
        reason: RetryReason,
    ) -> StagedRequest<Admitted> {
        self.into_stage(Admitted { not_before, retry: Some(reason) })
    }
}

impl<S> StagedRequest<S> {
    fn into_stage<T>(self, stage: T) -> StagedRequest<T> {
        StagedRequest { ticket: self.ticket, history: self.history, stage }
    }
}

/// A sent request.
#[derive(Debug)]
pub enum SentRequest {
    /// It may be sent again.
    Repeatable(StagedRequest<Sent<Repeatable>>),
    /// It must not be sent again unless a proof shows that it was not executed.
    NonRepeatable(StagedRequest<Sent<NonRepeatable>>),
}

impl SentRequest {
    /// Returns the submitted request.
    pub fn ticket(&self) -> &RequestTicket {
        match self {
            SentRequest::Repeatable(request) => &request.ticket,
            SentRequest::NonRepeatable(request) => &request.ticket,
        }
    }

    /// Returns its previous attempts.
    pub fn history(&self) -> &RequestHistory {
        match self {
            SentRequest::Repeatable(request) => &request.history,
            SentRequest::NonRepeatable(request) => &request.history,
        }
    }

    /// Returns its previous attempts for an update.
    pub fn history_mut(&mut self) -> &mut RequestHistory {
        match self {
            SentRequest::Repeatable(request) => &mut request.history,
            SentRequest::NonRepeatable(request) => &mut request.history,
        }
    }

    /// Returns the attempt in flight.
    pub fn attempt(&self) -> AttemptId {
        match self {
            SentRequest::Repeatable(request) => request.stage.attempt,
            SentRequest::NonRepeatable(request) => request.stage.attempt,
        }
    }
}

/// The phase of a request without a final outcome.
#[derive(Debug)]
pub enum RequestPhase {
    /// It waits in the queue of its pool.
    Waiting(StagedRequest<Admitted>),
    /// One attempt is in flight.
    Running(SentRequest),
}

impl RequestPhase {
    /// Returns the submitted request.
    pub fn ticket(&self) -> &RequestTicket {
        match self {
            RequestPhase::Waiting(request) => &request.ticket,
            RequestPhase::Running(request) => request.ticket(),
        }
    }
}
