//! Binds requests that resume a stream to where it began.

use {
    super::logging::log_resumption,
    crate::{
        follow::stream_origins::StreamOrigin,
        policy::{DidRun, RefusalReason},
        reverse_proxy::{
            core::ProxyCore, dialect::ProxyRefusal, request::BufferedRequest,
            response::dispatch_refusal, stream_origin::ResumeTarget,
        },
    },
};

/// Binds a request that resumes a stream to the service and the software version that began it.
///
/// # Errors
/// The refusal of a stream that cannot go on, because it is not known where it began.
pub(super) async fn bind_resumption(
    core: &ProxyCore,
    request: &mut BufferedRequest,
) -> Result<(), ProxyRefusal> {
    let Some(resumed) = &request.caller.resumes else { return Ok(()) };
    let target = core.find_origin(&request.service, resumed).await;
    log_resumption(request, resumed, &target);
    match target {
        ResumeTarget::AnyServer => {}
        ResumeTarget::OnlyVersion(software) => request.software = Some(software),
        ResumeTarget::Origin(StreamOrigin { service, software }) => {
            let services = &request.caller.route.services;
            let is_routed = services.iter().any(|(known, _)| *known == service);
            let view = core.view();
            if is_routed && view.is_engine(&service) == view.is_engine(&request.service) {
                request.service = service;
            }
            request.software = Some(software);
        }
        ResumeTarget::Unknown => {
            return Err(dispatch_refusal(RefusalReason::NotResumable, None, DidRun::No));
        }
    }
    Ok(())
}
