//! Pays for a request from the usage limit of its organisation, before the request is placed.

use {
    super::HttpExchange,
    crate::{
        observe::{events, metrics::refusal},
        pipeline::counters::count_refusal,
        policy::{DidRun, RefusalReason, usage_limits::UsageLimit},
        reverse_proxy::{
            core::ProxyCore,
            dialect::ProxyRefusal,
            request::BufferedRequest,
            response::dispatch_refusal,
            usage_limit::{CapExceeded, UsageCharge},
        },
    },
    http::StatusCode,
    std::time::Duration,
    tokio::time::timeout_at,
};

/// Pays for a request; `None` if its organisation has no cap.
///
/// # Errors
/// The refusal of a request that is beyond the cap, or whose deadline passes meanwhile.
pub(super) async fn acquire_usage(
    core: &ProxyCore,
    request: &BufferedRequest,
) -> Result<Option<UsageCharge>, ProxyRefusal> {
    let Some(cap) = &request.caller.cap else { return Ok(None) };
    let cost = cap.cost(request.caller.tokens);
    let acquired = core.acquire_usage(&request.caller.organisation, cost);
    match timeout_at(request.deadline.into(), acquired).await {
        Ok(Ok(charge)) => Ok(charge),
        Ok(Err(CapExceeded { retry_after })) => {
            count_refusal(refusal::USAGE_LIMIT);
            log_refusal(request, cap, cost, refusal::USAGE_LIMIT, Some(retry_after));
            let refusal = ProxyRefusal::new(StatusCode::TOO_MANY_REQUESTS, refusal::USAGE_LIMIT);
            Err(refusal.retry_after(retry_after))
        }
        Err(_elapsed) => {
            let reason = RefusalReason::DeadlinePassed;
            log_refusal(request, cap, cost, reason.as_str(), None);
            Err(dispatch_refusal(reason, None, DidRun::No))
        }
    }
}

fn log_refusal(
    request: &BufferedRequest,
    cap: &UsageLimit,
    cost: f64,
    reason: &str,
    retry_after: Option<Duration>,
) {
    log::info!(
        request_id = request.caller.id.as_str(),
        reason = reason,
        organisation = request.caller.organisation.as_str(),
        route = request.caller.route.name.as_str(),
        document = request.document,
        units = cost,
        rate = cap.rate,
        burst = cap.burst,
        unit:? = cap.unit,
        sent_to = 0,
        waited_ms = request.arrived.elapsed().as_millis() as u64,
        retry_after_ms = retry_after.map(|delay| delay.as_millis() as u64);
        "{}", events::REQUEST_REFUSED
    );
}

impl HttpExchange {
    /// Records that the request is being sent to another server. If it is abandoned before it is known whether
    /// that server runs it, it is paid for.
    pub(super) fn begin_run(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.begin_run();
        }
    }

    /// Records that a server has not run the request, unless [`Self::record_run`] says that it may have.
    pub(super) fn end_unrecorded_run(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.end_unrecorded_run();
        }
    }

    /// Records that another server may have begun to run the request.
    pub(super) fn record_run(&mut self) {
        self.runs += 1;
        if let Some(charge) = &mut self.charge {
            charge.record_run();
        }
    }

    /// Whether another server may begin to run the request, which is paid for if its organisation has a
    /// cap.
    pub(in crate::reverse_proxy) fn may_run_again(&mut self) -> bool {
        let route = &self.request.caller.route;
        route.kind.is_repeatable()
            && self.runs < route.attempts
            && self.charge.as_mut().is_none_or(UsageCharge::pay_run)
    }
}
