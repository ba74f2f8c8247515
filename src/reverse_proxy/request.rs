//! Reads callers' requests: decodes the head by the dialect and buffers the body within the limits.

use {
    super::{
        body_reader::{BodyError, BodyLimits, read_body},
        core::ProxyCore,
        dialect::{CallerRequest, PromptWork, ProxyRefusal},
        view::qualified_model,
    },
    crate::{
        ids::{DocumentNumber, ServiceId, SoftwareVersion},
        observe::metrics::refusal,
        pipeline::caller_budget::ClientHold,
        policy::{
            PrefixLevel, RequestTicket, RequestWork,
            prefix::{self, CacheScope, PromptSegment},
            slot_leases::MemoryDemand,
            suspect,
        },
    },
    bytes::Bytes,
    http::{Method, StatusCode, request},
    hyper::body::Incoming,
    std::time::{Duration, Instant},
};

/// `Retry-After` while no routes are known: a restarted proxy receives them within this time.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request with a buffered body.
pub struct BufferedRequest {
    /// The decoded head.
    pub caller: CallerRequest,
    /// The head as received.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// What the process holds for the caller.
    pub hold: ClientHold,
    /// The service that the request is forwarded to.
    pub service: ServiceId,
    /// The software version that the servers must have, if the request resumes a stream.
    pub software: Option<SoftwareVersion>,
    /// The number of the configuration document that the request is processed by.
    pub document: DocumentNumber,
    /// The scope within which the request was placed by cached prefixes. A later configuration may have
    /// assigned another one.
    pub placed_scope: CacheScope,
    /// When the head had arrived.
    pub arrived: Instant,
    /// When the response has to be complete or refused.
    pub deadline: Instant,
}

/// Decodes the head of a request and buffers its body.
///
/// # Errors
/// The refusal for the caller; nothing has been sent to a backend server in this case.
pub async fn read_request(
    core: &ProxyCore,
    head: request::Parts,
    body: Incoming,
    hold: &ClientHold,
) -> Result<BufferedRequest, ProxyRefusal> {
    let arrived = Instant::now();
    let view = core.view();
    let Some(index) = &view.index else {
        let refusal = ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, refusal::NO_ROUTES);
        return Err(refusal.retry_after(NO_ROUTES_RETRY_AFTER));
    };
    if head.method == Method::CONNECT {
        return Err(ProxyRefusal::new(StatusCode::BAD_REQUEST, refusal::BAD_REQUEST));
    }
    let mut caller = core.dialect.read_request(&head, index)?;
    let service = caller.route.select_service(core.next_split_value()).cloned();
    let Some(service) = service else {
        return Err(ProxyRefusal::new(StatusCode::NOT_FOUND, refusal::NOT_FOUND));
    };
    // A route may be split between engines and a plain service, which has neither a prompt cache
    // nor weights. Requests to the plain service must not be placed as prompts, because no server
    // would match.
    if !view.is_engine(&service) {
        caller.work = None;
    }
    let time_limit = caller.time_left.unwrap_or(caller.route.timeout).min(caller.route.timeout);
    let deadline = arrived + time_limit;
    // Those of the connection may be of an earlier configuration.
    let limits = index.table.limits;
    // A request whose body arrives later cannot be served any more.
    let body_limits =
        BodyLimits { bytes: limits.body_bytes, idle: limits.idle_time, deadline: deadline.into() };
    let body = read_body(body, hold, body_limits).await;
    let body = body.map_err(|error| body_refusal(error, hold))?;
    let document = index.table.number;
    let placed_scope = index.cache_scope(&caller.organisation);
    Ok(BufferedRequest {
        caller,
        head,
        body,
        hold: hold.clone(),
        service,
        software: None,
        document,
        placed_scope,
        arrived,
        deadline,
    })
}

fn body_refusal(error: BodyError, hold: &ClientHold) -> ProxyRefusal {
    let (status, code) = match error {
        BodyError::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, refusal::TOO_LARGE),
        // The body is shorter than declared or malformed, so the connection cannot be reused.
        BodyError::Broken => (StatusCode::BAD_REQUEST, refusal::BAD_REQUEST),
        BodyError::TimedOut => (StatusCode::REQUEST_TIMEOUT, refusal::BODY_TIMEOUT),
        BodyError::NoMemory => {
            let refusal = ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, refusal::NO_MEMORY);
            return refusal.retry_after(hold.retry_after());
        }
    };
    ProxyRefusal::new(status, code)
}

impl BufferedRequest {
    /// The request as the dispatcher sees it.
    pub fn ticket(&self) -> RequestTicket {
        let caller = &self.caller;
        let first = self.arrived + caller.response_start_timeout;
        RequestTicket {
            request: caller.id.clone(),
            organisation: caller.organisation.clone(),
            class: caller.class,
            deadline: first.min(self.deadline),
            repeatable: caller.route.kind.is_repeatable(),
            fingerprint: self.fingerprint(),
            parts: self.part_fingerprints(),
            software: self.software.clone(),
            work: match &caller.work {
                Some(work) => RequestWork::Model {
                    model: qualified_model(&self.service, &work.model),
                    adapter: None,
                    levels: self.levels(work),
                    prompt_tokens: work.prompt_tokens,
                    max_output_tokens: work.max_output_tokens,
                },
                None => RequestWork::Service { service: self.service.clone() },
            },
        }
    }

    /// Fingerprints of the parts of the prompt, under which crashes are recorded. They do not depend on which
    /// other organisations are isolated, so that a change of that loses no record of a crash.
    fn part_fingerprints(&self) -> Vec<u64> {
        let owner = if self.caller.isolated { &self.caller.organisation } else { "" };
        let parts = self.caller.work.iter().flat_map(|work| &work.parts);
        suspect::part_fingerprints(owner, parts.map(|(id, _)| id.as_bytes()))
    }

    fn levels(&self, work: &PromptWork) -> Vec<PrefixLevel> {
        let segments: Vec<PromptSegment<'_>> = work
            .parts
            .iter()
            .map(|(id, tokens)| PromptSegment { bytes: id.as_bytes(), tokens: *tokens })
            .collect();
        prefix::levels(&self.placed_scope, &work.model, None, &segments)
    }

    /// Hash of the longest prefix of the prompt that other prompts may share; 0 if there is none.
    pub fn shared_prefix(&self) -> u64 {
        let levels = self.caller.work.as_ref().map(|work| self.levels(work)).unwrap_or_default();
        levels.iter().rev().nth(1).map_or(0, |level| level.hash)
    }

    /// What the request takes from the memory of an engine.
    pub fn memory_demand(&self) -> MemoryDemand {
        self.caller.work.as_ref().map_or_else(MemoryDemand::default, |work| {
            MemoryDemand::new(&self.levels(work), work.prompt_tokens, work.max_output_tokens)
        })
    }

    /// Hash of the request without its id, equal for retries by the caller.
    fn fingerprint(&self) -> u64 {
        let uri = &self.head.uri;
        let parts = [
            self.head.method.as_str().as_bytes(),
            uri.path().as_bytes(),
            uri.query().unwrap_or_default().as_bytes(),
            &self.body,
        ];
        suspect::fingerprint(&self.caller.organisation, &parts)
    }
}
