//! Runs a call to a plain service, repeatable or not.

use {
    super::{
        core::PipelineCore,
        counters::count_response,
        deduplicate::{CallClaim, ClaimResult, Claimed, claim},
        dispatch::{DispatchDirective, RequestHandle},
        limit::CallerContext,
        refusal::CallerRefusal,
        send_state::SendState,
    },
    crate::{
        backend::{
            BackendError, ServiceAnswer, ServiceRequest, connection::ExchangeLimits, service,
        },
        control::KeptAnswer,
        ids::{AttemptId, IdempotencyKey, RequestId, ServiceId},
        observe::metrics::refusal,
        policy::{
            AttemptFailure, DidRun, PolicyInput, RefusalReason, RequestTicket, RequestWork,
            SendOrder,
        },
    },
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    xxhash_rust::xxh3::xxh3_64,
};

/// An answer that comes after the caller's deadline is still worth keeping for its resend.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(60);

/// One call to a service on its way.
pub struct ServiceCall {
    /// Its id.
    pub request: RequestId,
    /// Who asks and until when.
    pub caller: CallerContext,
    /// The service.
    pub service: ServiceId,
    /// What is sent.
    pub outgoing: ServiceRequest,
}

/// Runs a call that may run more than once: servers are tried until one answers.
///
/// # Errors
/// What the dispatcher decides when none does.
pub async fn run_repeatable(
    core: Arc<PipelineCore>,
    call: ServiceCall,
) -> Result<ServiceAnswer, CallerRefusal> {
    let mut route = core.dispatcher.submit(ticket(&call, Repeat::Allowed));
    loop {
        match route.next().await {
            DispatchDirective::Cancel(_) => {}
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                return Err(CallerRefusal::from_policy(reason, did_run, retry_after));
            }
            DispatchDirective::Send(order) => {
                let limits = ExchangeLimits {
                    send_before: order.send_before.into(),
                    head_before: call.caller.deadline.into(),
                };
                match send(&core, &call, &order, limits).await {
                    Ok(answer) if may_try_elsewhere(answer.status) => {
                        report_failure(
                            &route,
                            order.attempt,
                            status_failure(answer.status),
                            answer.retry_after.map(Duration::from_secs),
                        );
                    }
                    Ok(answer) => return Ok(whole(&core, &call, &route, order.attempt, answer)),
                    Err(error) => {
                        core.trace.record(&call.request, format!("attempt failed: {error}"));
                        report_failure(&route, order.attempt, error.failure(), None);
                    }
                }
            }
        }
    }
}

/// Runs a call that may run only once. Runs to its end also when the caller is gone, so that a
/// resend finds the answer.
///
/// # Errors
/// Refusals whose `did_run` is `No` only if nothing of this call was sent.
pub async fn run_once(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    key: IdempotencyKey,
    fuse: &SendState,
) -> Result<ServiceAnswer, CallerRefusal> {
    let fingerprint = call_digest(&call);
    match claim(&core, &call.caller, key, fingerprint, fuse).await? {
        ClaimResult::Answered(kept) => {
            core.trace.record(&call.request, "answered from the ledger");
            Ok(ServiceAnswer {
                status: kept.status,
                content_type: kept.content_type,
                retry_after: None,
                body: kept.body.into(),
            })
        }
        ClaimResult::Granted(claim) => run_claimed(core, call, claim, fuse).await,
    }
}

async fn run_claimed(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    mut claim: CallClaim<Claimed>,
    fuse: &SendState,
) -> Result<ServiceAnswer, CallerRefusal> {
    let mut route = core.dispatcher.submit(ticket(&call, Repeat::Forbidden));
    loop {
        let order = match route.next().await {
            DispatchDirective::Cancel(_) => continue,
            DispatchDirective::Refuse { reason, retry_after, .. } => {
                // The claim is still unused here, so this is certain whatever the policy knows.
                claim.release();
                return Err(CallerRefusal::from_policy(reason, DidRun::No, retry_after));
            }
            DispatchDirective::Send(order) => order,
        };
        // A daemon frozen after its decision must not book for a caller who has long been told
        // that nothing came of it: nothing is sent after the deadline.
        let send_before = Instant::from(order.send_before.min(call.caller.deadline));
        let head_before = Instant::now() + LATE_ANSWER_WAIT;
        if !fuse.try_send() {
            claim.release();
            return Err(deadline_refusal());
        }
        let sent = claim.send();
        match send(&core, &call, &order, ExchangeLimits { send_before, head_before }).await {
            Ok(answer) => {
                let kept = KeptAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.body.to_vec(),
                };
                sent.finish(kept).await;
                return Ok(whole(&core, &call, &route, order.attempt, answer));
            }
            Err(error) if error.nothing_sent() => {
                claim = sent.nothing_sent();
                fuse.reset();
                core.trace.record(&call.request, format!("nothing was sent: {error}"));
                report_failure(&route, order.attempt, error.failure(), None);
            }
            Err(error) => {
                sent.mark_unknown();
                core.trace.record(&call.request, format!("outcome unknown: {error}"));
                report_failure(&route, order.attempt, error.failure(), None);
                return Err(lost_answer());
            }
        }
    }
}

/// The refusal of a call whose deadline came before its sending.
pub fn deadline_refusal() -> CallerRefusal {
    let message = "the deadline passed before the call was sent; send it again with the same key";
    CallerRefusal::before_run(504, RefusalReason::DeadlinePassed.as_str(), message)
}

fn lost_answer() -> CallerRefusal {
    let message = "the service was sent this call and its answer was lost; \
                   ask the service whether it ran before you use a new key";
    CallerRefusal::after_send(502, refusal::OUTCOME_UNKNOWN, message)
}

async fn send(
    core: &PipelineCore,
    call: &ServiceCall,
    order: &SendOrder,
    limits: ExchangeLimits,
) -> Result<ServiceAnswer, BackendError> {
    // A server that left the register is as good as one that cannot be connected to.
    let address = core.address(&order.server).ok_or(BackendError::Stale)?;
    let _flight = core.usage.track_attempt(&order.server);
    service::call(address, order.attempt, call.outgoing.clone(), limits).await
}

fn whole(
    core: &PipelineCore,
    call: &ServiceCall,
    route: &RequestHandle,
    attempt: AttemptId,
    answer: ServiceAnswer,
) -> ServiceAnswer {
    core.trace.record(&call.request, format!("answered with status {}", answer.status));
    route.notify(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 0 });
    count_response(call.caller.class);
    core.usage.track_request(&call.caller.organisation).answered(0);
    answer
}

fn may_try_elsewhere(status: u16) -> bool {
    matches!(status, 429 | 500..=599)
}

fn status_failure(status: u16) -> AttemptFailure {
    match status {
        429 | 503 => AttemptFailure::Refused,
        _ => AttemptFailure::ServerError,
    }
}

fn report_failure(
    route: &RequestHandle,
    attempt: AttemptId,
    failure: AttemptFailure,
    retry_after: Option<Duration>,
) {
    route.notify(PolicyInput::Failed { attempt, failure, relayed_tokens: 0, retry_after });
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Allowed,
    Forbidden,
}

fn ticket(call: &ServiceCall, repeat: Repeat) -> RequestTicket {
    RequestTicket {
        request: call.request.clone(),
        organisation: call.caller.organisation.clone(),
        class: call.caller.class,
        deadline: call.caller.deadline,
        repeatable: repeat == Repeat::Allowed,
        fingerprint: xxh3_64(call_digest(call).as_bytes()),
        work: RequestWork::Service { service: call.service.clone() },
    }
}

/// Digest of everything that makes a call this call; the same key with another digest is an error.
fn call_digest(call: &ServiceCall) -> String {
    let parts: [&[u8]; 4] = [
        call.outgoing.method.as_str().as_bytes(),
        call.service.as_bytes(),
        call.outgoing.path.as_bytes(),
        &call.outgoing.body,
    ];
    let digest = parts.iter().fold(Sha256::new(), |hasher, part| {
        hasher.chain_update((part.len() as u64).to_le_bytes()).chain_update(part)
    });
    hex::encode(digest.finalize())
}
