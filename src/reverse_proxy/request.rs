//! Reads a caller's request: its head by the dialect, its body within the limits.

use {
    super::{
        core::ProxyCore,
        dialect::{CallerRequest, PromptWork, ProxyRefusal},
        view::qualified_model,
    },
    crate::{
        ids::{DocumentNumber, ServiceId},
        observe::metrics::refusal,
        policy::{
            PrefixLevel, RequestTicket, RequestWork,
            prefix::{self, PromptSegment},
        },
        routing::CallerLimits,
    },
    bytes::{Bytes, BytesMut},
    http::{Method, StatusCode, request},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::time::{Duration, Instant},
    tokio::time::timeout,
    xxhash_rust::xxh3::Xxh3,
};

/// When to come back while no routes are known: a restarted entry learns them within this.
const NO_ROUTES_PAUSE: Duration = Duration::from_millis(500);
/// A body's announced length sets aside no more than this before its bytes arrive.
const FIRST_BODY_BYTES: u64 = 64 * 1024;

/// A request that was read whole.
pub struct BufferedRequest {
    /// What its head says.
    pub caller: CallerRequest,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// The service that serves it.
    pub service: ServiceId,
    /// The number of the configuration that it is served by.
    pub document: DocumentNumber,
    /// When its head had arrived.
    pub arrived: Instant,
    /// When it must have its whole answer, or be told that there is none.
    pub ends: Instant,
}

/// Reads a request whole.
///
/// # Errors
/// What the caller is told; in all cases nothing was sent to a backend server.
pub async fn read_request(
    core: &ProxyCore,
    head: request::Parts,
    body: Incoming,
    limits: CallerLimits,
) -> Result<BufferedRequest, ProxyRefusal> {
    let arrived = Instant::now();
    let view = core.view();
    let Some(index) = &view.index else {
        let refusal = ProxyRefusal::new(StatusCode::SERVICE_UNAVAILABLE, refusal::NO_ROUTES);
        return Err(refusal.after(NO_ROUTES_PAUSE));
    };
    if head.method == Method::CONNECT {
        return Err(ProxyRefusal::new(StatusCode::BAD_REQUEST, refusal::BAD_REQUEST));
    }
    let mut caller = core.dialect.read_request(&head, index)?;
    let service = caller.route.service(core.next_split_value()).cloned();
    let Some(service) = service else {
        return Err(ProxyRefusal::new(StatusCode::NOT_FOUND, refusal::NOT_FOUND));
    };
    // A route may be split between engines and a plain service, which has no prompt cache and no
    // weights: placed as a prompt, the part of its requests that falls to that service would find no
    // server.
    if !view.is_engine(&service) {
        caller.work = None;
    }
    let body = read_body(body, limits).await?;
    let given = caller.time_left.unwrap_or(caller.route.timeout).min(caller.route.timeout);
    let document = index.table.number;
    Ok(BufferedRequest { caller, head, body, service, document, arrived, ends: arrived + given })
}

async fn read_body(mut body: Incoming, limits: CallerLimits) -> Result<Bytes, ProxyRefusal> {
    let too_large = || ProxyRefusal::new(StatusCode::PAYLOAD_TOO_LARGE, refusal::TOO_LARGE);
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(too_large());
    }
    let mut bytes = BytesMut::with_capacity(announced.min(FIRST_BODY_BYTES) as usize);
    loop {
        let frame = match timeout(limits.idle_time, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return Ok(bytes.freeze()),
            // A body that does not end as announced; the connection is of no more use.
            Ok(Some(Err(error))) => {
                log::debug!(error:% = error; "a body could not be read");
                return Err(ProxyRefusal::new(StatusCode::BAD_REQUEST, refusal::BAD_REQUEST));
            }
            Err(_elapsed) => {
                return Err(ProxyRefusal::new(StatusCode::REQUEST_TIMEOUT, refusal::BODY_TIMEOUT));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.body_bytes {
            return Err(too_large());
        }
        bytes.extend_from_slice(&data);
    }
}

impl BufferedRequest {
    /// What the dispatcher is told.
    pub fn ticket(&self) -> RequestTicket {
        let caller = &self.caller;
        let first = self.arrived + caller.response_start_timeout;
        RequestTicket {
            request: caller.id.clone(),
            organisation: caller.organisation.clone(),
            class: caller.class,
            deadline: first.min(self.ends),
            repeatable: caller.route.kind.is_repeatable(),
            fingerprint: self.fingerprint(),
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

    /// Who shares cached prompts with this request: everybody, unless its organisation is isolated.
    pub fn cache_owner(&self) -> &str {
        if self.caller.isolated { &self.caller.organisation } else { "" }
    }

    fn levels(&self, work: &PromptWork) -> Vec<PrefixLevel> {
        let segments: Vec<PromptSegment<'_>> = work
            .parts
            .iter()
            .map(|(id, tokens)| PromptSegment { bytes: id.as_bytes(), tokens: *tokens })
            .collect();
        prefix::levels(self.cache_owner(), &work.model, None, &segments)
    }

    /// The same for each resend of the request, whatever its id.
    fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.caller.organisation.as_bytes());
        hash.update(self.head.method.as_str().as_bytes());
        hash.update(self.head.uri.path().as_bytes());
        hash.update(self.head.uri.query().unwrap_or_default().as_bytes());
        hash.update(&self.body);
        hash.digest()
    }
}
