//! Runs repeatable and non-repeatable calls to plain services.

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
            BackendError, ServiceRequest, ServiceResponse, connection::ExchangeLimits, service,
        },
        control::KeptAnswer,
        ids::{AttemptId, IdempotencyKey, RequestId, ServiceId},
        observe::metrics::refusal,
        policy::{
            AttemptFailure, DidRun, PolicyInput, RefusalReason, RequestTicket, RequestWork,
            SendOrder, suspect,
        },
    },
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// How long a non-repeatable call waits for its response after sending, also beyond the caller's
/// deadline, so that a retry of the caller finds the response.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(60);

/// A call to a plain service.
pub struct ServiceCall {
    /// The id of the request.
    pub request: RequestId,
    /// The caller, with the class and the deadline of the call.
    pub caller: CallerContext,
    /// The service to call.
    pub service: ServiceId,
    /// The request that is sent to the service.
    pub outgoing: ServiceRequest,
}

/// Runs a repeatable call: sends it to one server after another until one responds.
///
/// # Errors
/// The dispatcher's refusal if no server responds.
pub async fn run_repeatable(
    core: Arc<PipelineCore>,
    call: ServiceCall,
) -> Result<ServiceResponse, CallerRefusal> {
    let mut handle = core.dispatcher.submit(ticket(&call, Repeat::Allowed));
    loop {
        match handle.next().await {
            DispatchDirective::Cancel(_) | DispatchDirective::Withdraw(_) => {}
            DispatchDirective::Refuse { reason, retry_after, did_run } => {
                return Err(CallerRefusal::from_policy(reason, did_run, retry_after));
            }
            DispatchDirective::Send(order) => {
                let limits = ExchangeLimits {
                    send_before: order.send_before.into(),
                    head_before: call.caller.deadline.into(),
                };
                match send(&core, &call, &order, limits).await {
                    Ok(reply) if is_retryable(reply.status) => {
                        report_failure(
                            &handle,
                            order.attempt,
                            failure_of_status(reply.status),
                            reply.retry_after.map(Duration::from_secs),
                        );
                    }
                    Ok(reply) => return Ok(finish(&core, &call, &handle, order.attempt, reply)),
                    Err(error) => {
                        core.trace.record(&call.request, format!("attempt failed: {error}"));
                        report_failure(&handle, order.attempt, error.failure(), None);
                    }
                }
            }
        }
    }
}

/// Runs a non-repeatable call. The caller of this function must run it to its end even if the
/// client disconnects, so that a retry finds the response.
///
/// # Errors
/// A refusal, whose `did_run` is `No` only if nothing of this call was sent.
pub async fn run_once(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    key: IdempotencyKey,
    send_state: &SendState,
) -> Result<ServiceResponse, CallerRefusal> {
    let fingerprint = call_digest(&call);
    match claim(&core, &call.caller, key, fingerprint, send_state).await? {
        ClaimResult::Answered(kept) => {
            core.trace.record(&call.request, "answered from the ledger");
            Ok(ServiceResponse {
                status: kept.status,
                content_type: kept.content_type,
                retry_after: None,
                body: kept.body.into(),
            })
        }
        ClaimResult::Granted(claim) => run_claimed(core, call, claim, send_state).await,
    }
}

async fn run_claimed(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    mut claim: CallClaim<Claimed>,
    send_state: &SendState,
) -> Result<ServiceResponse, CallerRefusal> {
    let mut handle = core.dispatcher.submit(ticket(&call, Repeat::Forbidden));
    loop {
        let order = match handle.next().await {
            DispatchDirective::Cancel(_) | DispatchDirective::Withdraw(_) => continue,
            DispatchDirective::Refuse { reason, retry_after, .. } => {
                // The claim is unused, so that the call has certainly not run, whatever the
                // dispatcher reports.
                claim.release();
                return Err(CallerRefusal::from_policy(reason, DidRun::No, retry_after));
            }
            DispatchDirective::Send(order) => order,
        };
        // Nothing is sent after the deadline: if the process is paused after the decision, the
        // caller may have been informed in the meantime that the call did not run.
        let send_before = Instant::from(order.send_before.min(call.caller.deadline));
        let head_before = Instant::now() + LATE_RESPONSE_WAIT;
        if !send_state.try_send() {
            claim.release();
            return Err(deadline_refusal());
        }
        let sent = claim.send();
        match send(&core, &call, &order, ExchangeLimits { send_before, head_before }).await {
            Ok(response) => {
                let kept = KeptAnswer {
                    status: response.status,
                    content_type: response.content_type.clone(),
                    body: response.body.to_vec(),
                };
                sent.finish(kept).await;
                return Ok(finish(&core, &call, &handle, order.attempt, response));
            }
            Err(error) if error.nothing_sent() => {
                claim = sent.restore_unsent();
                send_state.reset();
                core.trace.record(&call.request, format!("nothing was sent: {error}"));
                report_failure(&handle, order.attempt, error.failure(), None);
            }
            Err(error) => {
                sent.mark_unknown();
                core.trace.record(&call.request, format!("outcome unknown: {error}"));
                report_failure(&handle, order.attempt, error.failure(), None);
                return Err(lost_response());
            }
        }
    }
}

/// The refusal of a call whose deadline passed before it was sent.
pub fn deadline_refusal() -> CallerRefusal {
    let message = "the deadline passed before the call was sent; send it again with the same key";
    CallerRefusal::before_run(504, RefusalReason::DeadlinePassed.as_str(), message)
}

fn lost_response() -> CallerRefusal {
    let message = "the call was sent to the service and its response was lost; \
                   check with the service whether the call ran before you use a new key";
    CallerRefusal::after_send(502, refusal::OUTCOME_UNKNOWN, message)
}

async fn send(
    core: &PipelineCore,
    call: &ServiceCall,
    order: &SendOrder,
    limits: ExchangeLimits,
) -> Result<ServiceResponse, BackendError> {
    // A server that was removed from the register counts as one that cannot be connected to.
    let address = core.address(&order.server).ok_or(BackendError::Stale)?;
    let _in_flight = core.usage.track_attempt(&order.server);
    service::send_call(address, order.attempt, call.outgoing.clone(), limits).await
}

fn finish(
    core: &PipelineCore,
    call: &ServiceCall,
    handle: &RequestHandle,
    attempt: AttemptId,
    response: ServiceResponse,
) -> ServiceResponse {
    core.trace.record(&call.request, format!("answered with status {}", response.status));
    handle.notify(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 0 });
    count_response(call.caller.class);
    core.usage.track_request(&call.caller.organisation).record_completion(0);
    response
}

fn is_retryable(status: u16) -> bool {
    matches!(status, 429 | 500..=599)
}

fn failure_of_status(status: u16) -> AttemptFailure {
    match status {
        429 | 503 => AttemptFailure::Refused,
        _ => AttemptFailure::ServerError,
    }
}

fn report_failure(
    handle: &RequestHandle,
    attempt: AttemptId,
    failure: AttemptFailure,
    retry_after: Option<Duration>,
) {
    handle.notify(PolicyInput::Failed { attempt, failure, relayed_tokens: 0, retry_after });
}

/// Whether a call is repeatable.
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
        fingerprint: suspect::fingerprint(
            &call.caller.organisation,
            &[call_digest(call).as_bytes()],
        ),
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service: call.service.clone() },
    }
}

/// Digest of all parts that identify a call; reusing a key with another digest is an error.
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
