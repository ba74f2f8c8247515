//! The life of a request: `Received` → `Admitted` → `Sent`.
//!
//! A booking that is sent twice sends two vans. So what may not run twice has, once sent, no method
//! that leads back to `Admitted` but [`LiveRequest::unsent`], which wants the proof that not a byte
//! left; the compiler keeps every other path from sending it again.

use {
    crate::{
        ids::{AttemptId, WeightsVersion},
        policy::{AttemptFailure, DidRun, RequestTicket, RetryReason, prefix::ServerIndex},
    },
    std::{marker::PhantomData, time::Instant},
};

/// Taken in, not yet admitted.
#[derive(Debug)]
pub struct Received;

/// Waits for a server.
#[derive(Debug)]
pub struct Admitted {
    /// Not sent before this moment: the pause before a retry.
    pub not_before: Instant,
    /// Why it is sent again; `None` before the first send.
    pub retry: Option<RetryReason>,
}

/// Sent to a server. `R` says whether it may run more than once.
#[derive(Debug)]
pub struct Sent<R> {
    /// The attempt in flight.
    pub attempt: AttemptId,
    kind: PhantomData<R>,
}

/// May run more than once.
#[derive(Debug)]
pub struct Repeatable;

/// Must run at most once.
#[derive(Debug)]
pub struct Once;

/// What has happened to a request so far.
#[derive(Debug)]
pub struct RequestHistory {
    /// Times it was sent.
    pub tries: u32,
    /// What a refusal now has to say; only ever goes from `No` to `Unknown`.
    pub ran: DidRun,
    /// Tokens that the caller already has; only grows.
    pub relayed: u32,
    /// The weights that the tokens relayed so far came from; set exactly when `relayed` is positive.
    pub weights: Option<WeightsVersion>,
    /// Servers that failed it; asked again only when there is no other.
    pub avoid: Vec<ServerIndex>,
    /// When it arrived.
    pub arrived: Instant,
}

/// A request in one stage of its life.
#[derive(Debug)]
pub struct LiveRequest<S> {
    /// What was asked.
    pub ticket: RequestTicket,
    /// What has happened to it.
    pub history: RequestHistory,
    /// What the stage adds.
    pub stage: S,
}

/// Proof that an attempt did not run: not a byte left for the server, or the server itself says so
/// in a form that only it can give.
#[derive(Debug)]
pub struct NothingSent(());

impl NothingSent {
    /// The proof, if the failure is one. A bare refusal is none: the call reached the server, and
    /// what stands between may answer 503 for a call that ran.
    pub fn shown_by(failure: AttemptFailure) -> Option<Self> {
        matches!(
            failure,
            AttemptFailure::NotConnected | AttemptFailure::Stale | AttemptFailure::Declined
        )
        .then_some(NothingSent(()))
    }
}

impl LiveRequest<Received> {
    /// Takes in a caller's request.
    pub fn receive(now: Instant, ticket: RequestTicket) -> Self {
        let history = RequestHistory {
            tries: 0,
            ran: DidRun::No,
            relayed: 0,
            weights: None,
            avoid: Vec::new(),
            arrived: now,
        };
        LiveRequest { ticket, history, stage: Received }
    }

    /// Lets it wait for a server.
    pub fn admit(self, now: Instant) -> LiveRequest<Admitted> {
        self.into_stage(Admitted { not_before: now, retry: None })
    }
}

impl LiveRequest<Admitted> {
    /// Sends it.
    pub fn send(mut self, attempt: AttemptId) -> SentRequest {
        self.history.tries += 1;
        if self.ticket.repeatable {
            SentRequest::Repeatable(self.into_stage(Sent { attempt, kind: PhantomData }))
        } else {
            SentRequest::Once(self.into_stage(Sent { attempt, kind: PhantomData }))
        }
    }
}

impl LiveRequest<Sent<Repeatable>> {
    /// Lets it wait for another try.
    pub fn retry(self, not_before: Instant, reason: RetryReason) -> LiveRequest<Admitted> {
        self.into_stage(Admitted { not_before, retry: Some(reason) })
    }
}

impl<R> LiveRequest<Sent<R>> {
    /// Lets it wait again, since nothing was sent.
    pub fn unsent(
        self,
        _proof: NothingSent,
        not_before: Instant,
        reason: RetryReason,
    ) -> LiveRequest<Admitted> {
        self.into_stage(Admitted { not_before, retry: Some(reason) })
    }
}

impl<S> LiveRequest<S> {
    fn into_stage<T>(self, stage: T) -> LiveRequest<T> {
        LiveRequest { ticket: self.ticket, history: self.history, stage }
    }
}

/// A request that was sent.
#[derive(Debug)]
pub enum SentRequest {
    /// It may be sent again.
    Repeatable(LiveRequest<Sent<Repeatable>>),
    /// It may not.
    Once(LiveRequest<Sent<Once>>),
}

impl SentRequest {
    /// What was asked.
    pub fn ticket(&self) -> &RequestTicket {
        match self {
            SentRequest::Repeatable(request) => &request.ticket,
            SentRequest::Once(request) => &request.ticket,
        }
    }

    /// What has happened to it.
    pub fn history(&self) -> &RequestHistory {
        match self {
            SentRequest::Repeatable(request) => &request.history,
            SentRequest::Once(request) => &request.history,
        }
    }

    /// What has happened to it, to be added to.
    pub fn history_mut(&mut self) -> &mut RequestHistory {
        match self {
            SentRequest::Repeatable(request) => &mut request.history,
            SentRequest::Once(request) => &mut request.history,
        }
    }

    /// The attempt in flight.
    pub fn attempt(&self) -> AttemptId {
        match self {
            SentRequest::Repeatable(request) => request.stage.attempt,
            SentRequest::Once(request) => request.stage.attempt,
        }
    }
}

/// Where a request stands.
#[derive(Debug)]
pub enum RequestPhase {
    /// It waits in its pool's queue.
    Waiting(LiveRequest<Admitted>),
    /// One attempt is in flight.
    Running(SentRequest),
}

impl RequestPhase {
    /// What was asked.
    pub fn ticket(&self) -> &RequestTicket {
        match self {
            RequestPhase::Waiting(request) => &request.ticket,
            RequestPhase::Running(request) => request.ticket(),
        }
    }
}
