//! HTTP routes for callers.

use {
    super::{
        completion::collect_completion,
        held_connection::read_held_body,
        response::{body_response, json_response, refusal_response, stream_response},
    },
    crate::{
        backend::ServiceRequest,
        ids::RequestId,
        observe::metrics::refusal,
        options::RequestLimits,
        pipeline::{
            CallerRefusal, PipelineCore,
            counters::count_request,
            drain::{GateClosed, OpenRequest},
            limit::{
                CLASS_HEADER, CallerContext, CallerHeaders, DEADLINE_HEADER, check_model,
                check_service, is_repeatable, resolve_caller,
            },
            prompt::{ParsedPrompt, PromptFormat, ResponseDelivery},
            relay::{ModelRequest, PART_CAPACITY, ResponsePart, run_model},
            send_state::SendState,
            service_call::{ServiceCall, deadline_refusal, run_once, run_repeatable},
        },
        policy::DidRun,
        reverse_proxy::body_reader::{BodyError, BodyLimits},
    },
    bytes::Bytes,
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
    viz::{
        Request, RequestExt, Response, Result, Router,
        header::{self, HeaderMap},
    },
};

/// The header that identifies a non-repeatable call across resends.
const KEY_HEADER: &str = "idempotency-key";
/// Longest accepted idempotency key, in bytes. The ledger stores keys, so their size is bounded.
const MAX_KEY_BYTES: usize = 256;
/// The `Retry-After` delay while this daemon drains. It is short, since the load balancer can use
/// other daemons.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `Retry-After` delay while this daemon holds as much for its callers as it can.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Caller headers that are forwarded to plain services.
const FORWARDED_HEADERS: [&str; 4] = ["accept", "accept-language", "content-type", KEY_HEADER];

/// State shared by the handlers of the callers' routes.
#[derive(Clone)]
pub struct CallerApi {
    /// The request pipeline that the handlers run.
    pub core: Arc<PipelineCore>,
    /// Size and time limits of requests.
    pub limits: RequestLimits,
}

/// Builds the router for callers: completions, models, health checks and plain services.
pub fn caller_router(api: CallerApi) -> Router {
    let handler = |run: fn(CallerApi, Request) -> HandlerFuture| {
        let api = api.clone();
        move |request: Request| {
            let response = run(api.clone(), request);
            async move { Ok::<Response, viz::Error>(response.await) as Result<Response> }
        }
    };
    Router::new()
        .post("/v1/chat/completions", handler(|api, request| Box::pin(chat(api, request))))
        .post("/v1/completions", handler(|api, request| Box::pin(text(api, request))))
        .get("/v1/models", handler(|api, request| Box::pin(models(api, request))))
        .get(
            "/healthz",
            handler(|_, _| {
                Box::pin(async { body_response(200, "text/plain", "live\n", &RequestId::new()) })
            }),
        )
        .get("/readyz", handler(|api, _| Box::pin(ready(api))))
        .any("/services/:service/*", handler(|api, request| Box::pin(service(api, request))))
        .any("/*", handler(|api, request| Box::pin(unknown_path(api, request))))
}

/// Builds the router of a dedicated control VM, which serves no callers: its health check succeeds
/// and its readiness check always fails.
pub fn health_router() -> Router {
    let text = |status: u16, text: &'static str| {
        move |_: Request| async move {
            let response = body_response(status, "text/plain", text, &RequestId::new());
            Ok::<Response, viz::Error>(response) as Result<Response>
        }
    };
    Router::new()
        .get("/healthz", text(200, "live\n"))
        .get("/readyz", text(503, "a control VM serves no callers\n"))
}

type HandlerFuture = futures::future::BoxFuture<'static, Response>;

async fn ready(api: CallerApi) -> Response {
    let (status, text) = match api.core.gate.is_draining() {
        false => (200, "ready\n"),
        true => (503, "draining\n"),
    };
    body_response(status, "text/plain", text, &RequestId::new())
}

async fn unknown_path(api: CallerApi, request: Request) -> Response {
    let message = format!(
        "no {} {}; see /v1/chat/completions, /v1/completions, /v1/models, /services/NAME/PATH",
        request.method(),
        request.uri().path()
    );
    let refusal = CallerRefusal::before_run(404, refusal::NOT_FOUND, message);
    refusal_response(&refusal, &api.core.next_request_id())
}

async fn models(api: CallerApi, request: Request) -> Response {
    let id = api.core.next_request_id();
    let serving = api.core.serving();
    let caller_headers = caller_headers(request.headers());
    match resolve_caller(&serving, caller_headers, Instant::now()) {
        Err(refusal) => refusal_response(&refusal, &id),
        Ok(caller) => {
            let allowed = serving
                .config
                .register
                .models
                .iter()
                .filter(|model| is_model_allowed(&serving, &caller, &model.id));
            let data: Vec<_> = allowed
                .map(|model| json!({ "id": model.id, "object": "model", "owned_by": "oleandermount" }))
                .collect();
            json_response(200, &json!({ "object": "list", "data": data }), &id)
        }
    }
}

fn is_model_allowed(
    serving: &crate::pipeline::ServingConfig,
    caller: &CallerContext,
    model: &str,
) -> bool {
    serving.rules.get(&caller.organisation).is_some_and(|rule| rule.allows_model(model))
}

fn caller_headers(headers: &HeaderMap) -> CallerHeaders<'_> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    CallerHeaders {
        authorization: text(header::AUTHORIZATION.as_str()),
        deadline: text(DEADLINE_HEADER),
        class: text(CLASS_HEADER),
    }
}

async fn chat(api: CallerApi, request: Request) -> Response {
    handle_model_request(api, request, PromptFormat::Chat).await
}

async fn text(api: CallerApi, request: Request) -> Response {
    handle_model_request(api, request, PromptFormat::Text).await
}

async fn handle_model_request(api: CallerApi, request: Request, form: PromptFormat) -> Response {
    let id = api.core.next_request_id();
    let started = Instant::now();
    let response = match admit_model(&api, request, form, &id).await {
        Ok((request, open)) => run_model_request(&api, request, open).await,
        Err(refusal) => refusal_response(&refusal, &id),
    };
    log_response(&id, form.path(), response.status().as_u16(), started);
    response
}

/// Logs one record for each request, without prompts and keys.
fn log_response(id: &RequestId, path: &str, status: u16, started: Instant) {
    let ms = started.elapsed().as_millis() as u64;
    log::info!(request_id = id.as_str(), path = path, status = status, head_ms = ms; "answered");
}

async fn admit_model(
    api: &CallerApi,
    request: Request,
    form: PromptFormat,
    id: &RequestId,
) -> Result<(ModelRequest, OpenRequest), CallerRefusal> {
    let arrived = Instant::now();
    check_headers(&api.limits, request.headers())?;
    let serving = api.core.serving();
    let caller = resolve_caller(&serving, caller_headers(request.headers()), arrived)?;
    let open = open_request(&api.core)?;
    let body = read_body(&api.limits, request).await?;
    let prompt = ParsedPrompt::parse(form, &body)?;
    check_model(&serving, &caller.organisation, &prompt.model, prompt.adapter.as_deref())?;
    count_request(caller.class);
    let line = format!(
        "{} of {} for {}, {} prompt tokens, {}",
        form.path(),
        caller.organisation,
        prompt.model,
        prompt.prompt_tokens,
        caller.class.as_str()
    );
    api.core.trace.record(id, line);
    Ok((ModelRequest { request: id.clone(), caller, prompt }, open))
}

fn open_request(core: &PipelineCore) -> Result<OpenRequest, CallerRefusal> {
    core.gate.enter().map_err(|closed| {
        let (code, message) = match closed {
            GateClosed::Draining => {
                (refusal::DRAINING, "this daemon is draining; send the request to another daemon")
            }
            GateClosed::Full => (refusal::TOO_MANY_OPEN, "too many open requests; retry later"),
        };
        CallerRefusal::before_run(503, code, message).retry_after(DRAIN_RETRY_AFTER)
    })
}

fn check_headers(limits: &RequestLimits, headers: &HeaderMap) -> Result<(), CallerRefusal> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let over = if headers.len() > limits.max_headers {
        format!("the request has more than {} headers", limits.max_headers)
    } else if bytes > limits.max_head_bytes {
        format!("the headers exceed {} bytes", limits.max_head_bytes)
    } else {
        return Ok(());
    };
    Err(CallerRefusal::before_run(
        431,
        refusal::TOO_LARGE,
        format!("{over}; send fewer or shorter headers"),
    ))
}

async fn read_body(limits: &RequestLimits, request: Request) -> Result<Bytes, CallerRefusal> {
    let (head, body) = request.into_parts();
    let body_limits = BodyLimits {
        bytes: limits.max_body_bytes,
        idle: limits.body_timeout,
        deadline: (Instant::now() + limits.body_timeout).into(),
    };
    let read = read_held_body(&head.extensions, body, body_limits).await;
    read.map_err(|error| body_refusal(error, limits))
}

fn body_refusal(error: BodyError, limits: &RequestLimits) -> CallerRefusal {
    let (status, code, message) = match error {
        BodyError::TooLong => {
            let message = format!("the body exceeds {} bytes; shorten it", limits.max_body_bytes);
            (413, refusal::TOO_LARGE, message)
        }
        BodyError::Broken => {
            let message = "the body ended early; send as many bytes as Content-Length announces";
            (400, refusal::BAD_REQUEST, message.to_owned())
        }
        BodyError::TimedOut => {
            let message =
                format!("the body took longer than {:?}; send it faster", limits.body_timeout);
            (408, refusal::BODY_TIMEOUT, message)
        }
        BodyError::NoMemory => {
            let message = "this daemon holds as much for its callers as it can; use another daemon";
            return CallerRefusal::before_run(503, refusal::NO_MEMORY, message.to_owned())
                .retry_after(NO_MEMORY_RETRY_AFTER);
        }
    };
    CallerRefusal::before_run(status, code, message)
}

async fn run_model_request(api: &CallerApi, request: ModelRequest, open: OpenRequest) -> Response {
    let (id, form, delivery) =
        (request.request.clone(), request.prompt.format, request.prompt.delivery);
    let (sender, mut parts) = mpsc::channel(PART_CAPACITY);
    tokio::spawn(run_model(Arc::clone(&api.core), request, sender));
    let first = match parts.recv().await {
        Some(ResponsePart::Chunk(first)) => first,
        Some(ResponsePart::Complete(usage)) => {
            let body =
                json!({ "id": id, "choices": [], "usage": super::response::usage_body(usage) });
            return json_response(200, &body, &id);
        }
        Some(part) => return failure_response(part, &id),
        None => return refusal_response(&crate::pipeline::relay::truncated_stream(), &id),
    };
    match delivery {
        ResponseDelivery::Streamed | ResponseDelivery::StreamedWithUsage => {
            stream_response(first, parts, delivery, id, open)
        }
        ResponseDelivery::Buffered => match collect_completion(form, first, parts).await {
            Ok(answer) => json_response(200, &answer, &id),
            Err(part) => failure_response(part, &id),
        },
    }
}

/// Builds the response to a request that ended without a complete answer.
fn failure_response(part: ResponsePart, id: &RequestId) -> Response {
    match part {
        ResponsePart::Refused(refusal) => refusal_response(&refusal, id),
        ResponsePart::CallerError { status, body } => {
            body_response(status, "application/json", body, id)
        }
        ResponsePart::Chunk(_) | ResponsePart::Complete(_) => {
            refusal_response(&crate::pipeline::relay::truncated_stream(), id)
        }
    }
}

async fn service(api: CallerApi, request: Request) -> Response {
    let id = api.core.next_request_id();
    let started = Instant::now();
    let response = match admit_service(&api, request, &id).await {
        Ok(admitted) => run_service_call(&api, admitted).await,
        Err(refusal) => refusal_response(&refusal, &id),
    };
    log_response(&id, "/services", response.status().as_u16(), started);
    response
}

/// A service call that passed authorization and the request limits.
struct AdmittedCall {
    call: ServiceCall,
    /// The idempotency key; present exactly when the call is non-repeatable.
    key: Option<String>,
    open: OpenRequest,
}

async fn admit_service(
    api: &CallerApi,
    request: Request,
    id: &RequestId,
) -> Result<AdmittedCall, CallerRefusal> {
    let arrived = Instant::now();
    check_headers(&api.limits, request.headers())?;
    let serving = api.core.serving();
    let caller = resolve_caller(&serving, caller_headers(request.headers()), arrived)?;
    let service: String = request.param("service").map_err(|_| {
        CallerRefusal::before_run(404, refusal::NOT_FOUND, "the path must be /services/NAME/PATH")
    })?;
    check_service(&serving, &caller.organisation, &service)?;
    let path = service_path(&request, &service);
    let method = request.method().clone();
    let plain_path = path.split('?').next().unwrap_or_default();
    let key = match is_repeatable(&serving, &service, method.as_str(), plain_path) {
        true => None,
        false => Some(idempotency_key(request.headers())?),
    };
    let headers = forwarded_headers(request.headers(), &caller);
    let open = open_request(&api.core)?;
    let body = read_body(&api.limits, request).await?;
    count_request(caller.class);
    let kind = if key.is_some() { "once" } else { "repeatable" };
    api.core.trace.record(id, format!("{method} {service} of {}, {kind}", caller.organisation));
    let outgoing = ServiceRequest { method, path, headers, body };
    let call = ServiceCall { request: id.clone(), caller, service, outgoing };
    Ok(AdmittedCall { call, key, open })
}

/// Path and query relative to the service.
fn service_path(request: &Request, service: &str) -> String {
    let full_path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let start = "/services/".len() + service.len();
    match full_path.get(start..) {
        Some(rest) if rest.starts_with('/') => rest.to_owned(),
        _ => "/".to_owned(),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, CallerRefusal> {
    let key = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok()).map(str::trim);
    match key {
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(key.to_owned()),
        Some(_) => {
            let message = format!("`Idempotency-Key` must have 1 to {MAX_KEY_BYTES} characters");
            Err(CallerRefusal::before_run(400, refusal::BAD_REQUEST, message))
        }
        None => {
            let message = "this call is non-repeatable: send an `Idempotency-Key` header \
                           and use the same key for each resend";
            Err(CallerRefusal::before_run(428, refusal::KEY_MISSING, message))
        }
    }
}

/// The headers sent to a service: the forwarded ones of the caller, and the caller's organisation.
fn forwarded_headers(headers: &HeaderMap, caller: &CallerContext) -> HeaderMap {
    let mut forwarded: HeaderMap = FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(*name)?;
            Some((header::HeaderName::from_static(name), value.clone()))
        })
        .collect();
    if let Ok(organisation) = caller.organisation.parse() {
        forwarded.insert("x-oleandermount-organisation", organisation);
    }
    forwarded
}

async fn run_service_call(api: &CallerApi, admitted: AdmittedCall) -> Response {
    let AdmittedCall { call, key, open } = admitted;
    let id = call.request.clone();
    let core = Arc::clone(&api.core);
    let result = match key {
        None => {
            let _open = open;
            run_repeatable(core, call).await
        }
        Some(key) => run_detached(core, call, key, open).await,
    };
    match result {
        Ok(answer) => {
            let mut response = body_response(answer.status, answer.content_type, answer.body, &id);
            if let Some(seconds) = answer.retry_after {
                response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
            }
            response
        }
        Err(refusal) => refusal_response(&refusal, &id),
    }
}

/// Runs a non-repeatable call in its own task. The task continues after the caller disconnects or
/// the deadline passes, so that a resend gets the result.
async fn run_detached(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    key: String,
    open: OpenRequest,
) -> Result<crate::backend::ServiceResponse, CallerRefusal> {
    let deadline = call.caller.deadline;
    let send_state = Arc::new(SendState::default());
    let task_send_state = Arc::clone(&send_state);
    let running = tokio::spawn(async move {
        let result = run_once(core, call, key, &task_send_state).await;
        drop(open);
        result
    });
    match tokio::time::timeout_at(deadline.into(), running).await {
        Ok(Ok(result)) => result,
        Err(_) if send_state.try_abandon() => Err(deadline_refusal()),
        Ok(Err(_)) | Err(_) => {
            let message = "the call did not end within the deadline and may still run; \
                           resend it with the same key";
            let mut refusal = CallerRefusal::after_send(504, refusal::OUTCOME_UNKNOWN, message);
            refusal.did_run = DidRun::Unknown;
            Err(refusal)
        }
    }
}
