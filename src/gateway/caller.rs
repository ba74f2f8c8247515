//! The callers' interface.

use {
    super::{
        answer::{body_answer, json_answer, refusal_answer, stream_answer},
        whole_answer::collect_answer,
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
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::timeout},
    viz::{
        Request, RequestExt, Response, Result, Router,
        header::{self, HeaderMap},
    },
};

/// The header that makes a non-repeatable call one call over all its resends.
const KEY_HEADER: &str = "idempotency-key";
/// Idempotency keys are identifiers; longer ones fill the ledger.
const KEY_BYTES: usize = 256;
/// Advised wait when a daemon stops: the balancer has another one.
const DRAIN_WAIT: Duration = Duration::from_secs(1);
/// Headers of callers that plain services see.
const PASSED_HEADERS: [&str; 4] = ["accept", "accept-language", "content-type", KEY_HEADER];

/// What the handlers share.
#[derive(Clone)]
pub struct CallerGate {
    /// The pipeline.
    pub core: Arc<PipelineCore>,
    /// What a caller may send.
    pub limits: RequestLimits,
}

/// The routes for callers.
pub fn caller_router(gate: CallerGate) -> Router {
    let handler = |run: fn(CallerGate, Request) -> HandlerFuture| {
        let gate = gate.clone();
        move |request: Request| {
            let answer = run(gate.clone(), request);
            async move { Ok::<Response, viz::Error>(answer.await) as Result<Response> }
        }
    };
    Router::new()
        .post("/v1/chat/completions", handler(|gate, request| Box::pin(chat(gate, request))))
        .post("/v1/completions", handler(|gate, request| Box::pin(text(gate, request))))
        .get("/v1/models", handler(|gate, request| Box::pin(models(gate, request))))
        .get(
            "/healthz",
            handler(|_, _| {
                Box::pin(async { body_answer(200, "text/plain", "live\n", &RequestId::new()) })
            }),
        )
        .get("/readyz", handler(|gate, _| Box::pin(ready(gate))))
        .any("/services/:service/*", handler(|gate, request| Box::pin(service(gate, request))))
        .any("/*", handler(|gate, request| Box::pin(unknown_path(gate, request))))
}

/// The pages of a VM set aside for control, which serves no callers: live, and never ready.
pub fn health_router() -> Router {
    let text = |status: u16, text: &'static str| {
        move |_: Request| async move {
            let answer = body_answer(status, "text/plain", text, &RequestId::new());
            Ok::<Response, viz::Error>(answer) as Result<Response>
        }
    };
    Router::new()
        .get("/healthz", text(200, "live\n"))
        .get("/readyz", text(503, "a control VM serves no callers\n"))
}

type HandlerFuture = futures::future::BoxFuture<'static, Response>;

async fn ready(gate: CallerGate) -> Response {
    let (status, text) = match gate.core.gate.is_draining() {
        false => (200, "ready\n"),
        true => (503, "draining\n"),
    };
    body_answer(status, "text/plain", text, &RequestId::new())
}

async fn unknown_path(gate: CallerGate, request: Request) -> Response {
    let message = format!(
        "no {} {}; see /v1/chat/completions, /v1/completions, /v1/models, /services/NAME/PATH",
        request.method(),
        request.uri().path()
    );
    let refusal = CallerRefusal::before_run(404, refusal::NOT_FOUND, message);
    refusal_answer(&refusal, &gate.core.next_request_id())
}

async fn models(gate: CallerGate, request: Request) -> Response {
    let id = gate.core.next_request_id();
    let serving = gate.core.serving();
    let wishes = wishes(request.headers());
    match resolve_caller(&serving, wishes, Instant::now()) {
        Err(refusal) => refusal_answer(&refusal, &id),
        Ok(terms) => {
            let allowed = serving
                .config
                .register
                .models
                .iter()
                .filter(|model| check_allowed(&serving, &terms, &model.id));
            let data: Vec<_> = allowed
                .map(|model| json!({ "id": model.id, "object": "model", "owned_by": "oleandermount" }))
                .collect();
            json_answer(200, &json!({ "object": "list", "data": data }), &id)
        }
    }
}

fn check_allowed(
    serving: &crate::pipeline::ServingConfig,
    terms: &CallerContext,
    model: &str,
) -> bool {
    serving.rules.get(&terms.organisation).is_some_and(|rule| rule.allows_model(model))
}

fn wishes(headers: &HeaderMap) -> CallerHeaders<'_> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    CallerHeaders {
        authorization: text(header::AUTHORIZATION.as_str()),
        deadline: text(DEADLINE_HEADER),
        class: text(CLASS_HEADER),
    }
}

async fn chat(gate: CallerGate, request: Request) -> Response {
    model_answer(gate, request, PromptFormat::Chat).await
}

async fn text(gate: CallerGate, request: Request) -> Response {
    model_answer(gate, request, PromptFormat::Text).await
}

async fn model_answer(gate: CallerGate, request: Request, form: PromptFormat) -> Response {
    let id = gate.core.next_request_id();
    let started = Instant::now();
    let response = match admit_model(&gate, request, form, &id).await {
        Ok((request, open)) => run_model_request(&gate, request, open).await,
        Err(refusal) => refusal_answer(&refusal, &id),
    };
    log_answer(&id, form.path(), response.status().as_u16(), started);
    response
}

/// One line a request, without prompt and keys.
fn log_answer(id: &RequestId, path: &str, status: u16, started: Instant) {
    let ms = started.elapsed().as_millis() as u64;
    log::info!(request_id = id.as_str(), path = path, status = status, head_ms = ms; "answered");
}

async fn admit_model(
    gate: &CallerGate,
    request: Request,
    form: PromptFormat,
    id: &RequestId,
) -> Result<(ModelRequest, OpenRequest), CallerRefusal> {
    let arrived = Instant::now();
    check_head(&gate.limits, request.headers())?;
    let serving = gate.core.serving();
    let terms = resolve_caller(&serving, wishes(request.headers()), arrived)?;
    let open = enter(&gate.core)?;
    let body = read_body(&gate.limits, request).await?;
    let prompt = ParsedPrompt::parse(form, &body)?;
    check_model(&serving, &terms.organisation, &prompt.model, prompt.adapter.as_deref())?;
    count_request(terms.class);
    let line = format!(
        "{} of {} for {}, {} prompt tokens, {}",
        form.path(),
        terms.organisation,
        prompt.model,
        prompt.prompt_tokens,
        terms.class.as_str()
    );
    gate.core.trace.record(id, line);
    Ok((ModelRequest { request: id.clone(), caller: terms, prompt }, open))
}

fn enter(core: &PipelineCore) -> Result<OpenRequest, CallerRefusal> {
    core.gate.enter().map_err(|closed| {
        let (code, message) = match closed {
            GateClosed::Draining => {
                (refusal::DRAINING, "this daemon is stopping; send the request to another")
            }
            GateClosed::Full => (refusal::TOO_MANY_OPEN, "too many open requests; come back later"),
        };
        CallerRefusal::before_run(503, code, message).retry_after(DRAIN_WAIT)
    })
}

fn check_head(limits: &RequestLimits, headers: &HeaderMap) -> Result<(), CallerRefusal> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let over = if headers.len() > limits.max_headers {
        format!("more than {} headers", limits.max_headers)
    } else if bytes > limits.max_head_bytes {
        format!("headers of more than {} bytes", limits.max_head_bytes)
    } else {
        return Ok(());
    };
    Err(CallerRefusal::before_run(431, refusal::TOO_LARGE, format!("{over}; send fewer")))
}

async fn read_body(limits: &RequestLimits, request: Request) -> Result<Bytes, CallerRefusal> {
    let reading = Limited::new(request.into_body(), limits.max_body_bytes).collect();
    match timeout(limits.body_timeout, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes; shorten it", limits.max_body_bytes);
            Err(CallerRefusal::before_run(413, refusal::TOO_LARGE, message))
        }
        Ok(Err(_)) => {
            let message = "the body ended early; send as many bytes as Content-Length says";
            Err(CallerRefusal::before_run(400, refusal::BAD_REQUEST, message))
        }
        Err(_) => {
            let message =
                format!("the body took longer than {:?}; send faster", limits.body_timeout);
            Err(CallerRefusal::before_run(408, refusal::BODY_TIMEOUT, message))
        }
    }
}

async fn run_model_request(
    gate: &CallerGate,
    request: ModelRequest,
    open: OpenRequest,
) -> Response {
    let (id, form, delivery) =
        (request.request.clone(), request.prompt.format, request.prompt.delivery);
    let (sender, mut parts) = mpsc::channel(PART_CAPACITY);
    tokio::spawn(run_model(Arc::clone(&gate.core), request, sender));
    let first = match parts.recv().await {
        Some(ResponsePart::Chunk(first)) => first,
        Some(ResponsePart::Complete(usage)) => {
            let body =
                json!({ "id": id, "choices": [], "usage": super::answer::usage_body(usage) });
            return json_answer(200, &body, &id);
        }
        Some(part) => return end_answer(part, &id),
        None => return refusal_answer(&crate::pipeline::relay::truncated_stream(), &id),
    };
    match delivery {
        ResponseDelivery::Streamed | ResponseDelivery::StreamedWithUsage => {
            stream_answer(first, parts, delivery, id, open)
        }
        ResponseDelivery::Buffered => match collect_answer(form, first, parts).await {
            Ok(answer) => json_answer(200, &answer, &id),
            Err(part) => end_answer(part, &id),
        },
    }
}

/// The answer of a request that ended without a whole one.
fn end_answer(part: ResponsePart, id: &RequestId) -> Response {
    match part {
        ResponsePart::Refused(refusal) => refusal_answer(&refusal, id),
        ResponsePart::CallerError { status, body } => {
            body_answer(status, "application/json", body, id)
        }
        ResponsePart::Chunk(_) | ResponsePart::Complete(_) => {
            refusal_answer(&crate::pipeline::relay::truncated_stream(), id)
        }
    }
}

async fn service(gate: CallerGate, request: Request) -> Response {
    let id = gate.core.next_request_id();
    let started = Instant::now();
    let response = match admit_service(&gate, request, &id).await {
        Ok(admitted) => run_service_call(&gate, admitted).await,
        Err(refusal) => refusal_answer(&refusal, &id),
    };
    log_answer(&id, "/services", response.status().as_u16(), started);
    response
}

/// A service call that passed the filters.
struct AdmittedCall {
    call: ServiceCall,
    /// Present exactly when the call must not be repeated.
    key: Option<String>,
    open: OpenRequest,
}

async fn admit_service(
    gate: &CallerGate,
    request: Request,
    id: &RequestId,
) -> Result<AdmittedCall, CallerRefusal> {
    let arrived = Instant::now();
    check_head(&gate.limits, request.headers())?;
    let serving = gate.core.serving();
    let terms = resolve_caller(&serving, wishes(request.headers()), arrived)?;
    let service: String = request.param("service").map_err(|_| {
        CallerRefusal::before_run(404, refusal::NOT_FOUND, "the path must be /services/NAME/PATH")
    })?;
    check_service(&serving, &terms.organisation, &service)?;
    let path = service_path(&request, &service);
    let method = request.method().clone();
    let plain_path = path.split('?').next().unwrap_or_default();
    let key = match is_repeatable(&serving, &service, method.as_str(), plain_path) {
        true => None,
        false => Some(idempotency_key(request.headers())?),
    };
    let headers = passed_headers(request.headers(), &terms);
    let open = enter(&gate.core)?;
    let body = read_body(&gate.limits, request).await?;
    count_request(terms.class);
    let kind = if key.is_some() { "once" } else { "repeatable" };
    gate.core.trace.record(id, format!("{method} {service} of {}, {kind}", terms.organisation));
    let outgoing = ServiceRequest { method, path, headers, body };
    let call = ServiceCall { request: id.clone(), caller: terms, service, outgoing };
    Ok(AdmittedCall { call, key, open })
}

/// Path and query within the service.
fn service_path(request: &Request, service: &str) -> String {
    let whole = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let start = "/services/".len() + service.len();
    match whole.get(start..) {
        Some(rest) if rest.starts_with('/') => rest.to_owned(),
        _ => "/".to_owned(),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, CallerRefusal> {
    let key = headers.get(KEY_HEADER).and_then(|value| value.to_str().ok()).map(str::trim);
    match key {
        Some(key) if !key.is_empty() && key.len() <= KEY_BYTES => Ok(key.to_owned()),
        Some(_) => {
            let message = format!("`Idempotency-Key` must have 1 to {KEY_BYTES} characters");
            Err(CallerRefusal::before_run(400, refusal::BAD_REQUEST, message))
        }
        None => {
            let message = "this call must not be repeated: send an `Idempotency-Key` \
                           and use the same key for each resend";
            Err(CallerRefusal::before_run(428, refusal::KEY_MISSING, message))
        }
    }
}

/// The headers that a service sees: a few of the caller's, and whose call it is.
fn passed_headers(headers: &HeaderMap, terms: &CallerContext) -> HeaderMap {
    let mut passed: HeaderMap = PASSED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(*name)?;
            Some((header::HeaderName::from_static(name), value.clone()))
        })
        .collect();
    if let Ok(organisation) = terms.organisation.parse() {
        passed.insert("x-oleandermount-organisation", organisation);
    }
    passed
}

async fn run_service_call(gate: &CallerGate, admitted: AdmittedCall) -> Response {
    let AdmittedCall { call, key, open } = admitted;
    let id = call.request.clone();
    let core = Arc::clone(&gate.core);
    let result = match key {
        None => {
            let _open = open;
            run_repeatable(core, call).await
        }
        Some(key) => run_detached(core, call, key, open).await,
    };
    match result {
        Ok(answer) => {
            let mut response = body_answer(answer.status, answer.content_type, answer.body, &id);
            if let Some(seconds) = answer.retry_after {
                response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
            }
            response
        }
        Err(refusal) => refusal_answer(&refusal, &id),
    }
}

/// Runs a non-repeatable call in a task of its own: it goes on when the caller is gone or its
/// deadline passed, so that a resend gets the answer.
async fn run_detached(
    core: Arc<PipelineCore>,
    call: ServiceCall,
    key: String,
    open: OpenRequest,
) -> Result<crate::backend::ServiceResponse, CallerRefusal> {
    let deadline = call.caller.deadline;
    let fuse = Arc::new(SendState::default());
    let burning = Arc::clone(&fuse);
    let running = tokio::spawn(async move {
        let result = run_once(core, call, key, &burning).await;
        drop(open);
        result
    });
    match tokio::time::timeout_at(deadline.into(), running).await {
        Ok(Ok(result)) => result,
        Err(_) if fuse.try_give_up() => Err(deadline_refusal()),
        Ok(Err(_)) | Err(_) => {
            let message = "the call did not end within the deadline and may run; \
                           ask again with the same key";
            let mut late = CallerRefusal::after_send(504, refusal::OUTCOME_UNKNOWN, message);
            late.did_run = DidRun::Unknown;
            Err(late)
        }
    }
}
