//! Response formats: JSON bodies, refusals and server-sent event streams.

use {
    crate::{
        ids::RequestId,
        pipeline::{
            CallerRefusal,
            drain::OpenRequest,
            prompt::ResponseDelivery,
            relay::{ResponsePart, TokenUsage, truncated_stream},
        },
    },
    bytes::Bytes,
    futures::stream::{self, Stream},
    serde_json::{Value, json},
    std::convert::Infallible,
    tokio::sync::mpsc,
    viz::{
        Body, Response, StatusCode,
        header::{self, HeaderMap},
    },
};

/// The response header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-oleandermount-request-id";
/// The last event of a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Builds a response with a complete body. An invalid `status` becomes 502.
pub fn body_response(
    status: u16,
    content_type: impl AsRef<str>,
    body: impl Into<Bytes>,
    request: &RequestId,
) -> Response {
    let mut response = Response::new(Body::Full(body.into().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(response.headers_mut(), header::CONTENT_TYPE.as_str(), content_type);
    set_header(response.headers_mut(), REQUEST_ID_HEADER, request);
    response
}

/// Builds a response with a JSON body. An invalid `status` becomes 502.
pub fn json_response(status: u16, body: &Value, request: &RequestId) -> Response {
    body_response(status, "application/json", body.to_string(), request)
}

/// Builds the response to a refused request, with `Retry-After` when the refusal advises a delay.
pub fn refusal_response(refusal: &CallerRefusal, request: &RequestId) -> Response {
    let mut response = body_response(refusal.status, "application/json", refusal.body(), request);
    if let Some(seconds) = refusal.retry_after_seconds() {
        set_header(response.headers_mut(), header::RETRY_AFTER.as_str(), seconds.to_string());
    }
    response
}

fn set_header(headers: &mut HeaderMap, name: &str, value: impl AsRef<str>) {
    match (header::HeaderName::from_bytes(name.as_bytes()), value.as_ref().parse()) {
        (Ok(name), Ok(value)) => {
            headers.insert(name, value);
        }
        _ => {
            log::warn!(header = name; "response header omitted: its value from the backend server is not valid")
        }
    }
}

/// Builds a server-sent event stream that starts with `first` and continues with `parts`. The
/// request counts as open until the last event has been built.
pub fn stream_response(
    first: Value,
    parts: mpsc::Receiver<ResponsePart>,
    delivery: ResponseDelivery,
    request: RequestId,
    open: OpenRequest,
) -> Response {
    let state = StreamState { first: Some(first), parts, delivery, request, open: Some(open) };
    let mut response = body_response(200, "text/event-stream", Bytes::new(), &state.request);
    set_header(response.headers_mut(), header::CACHE_CONTROL.as_str(), "no-cache");
    *response.body_mut() = Body::from_stream(stream_events(state));
    response
}

struct StreamState {
    first: Option<Value>,
    parts: mpsc::Receiver<ResponsePart>,
    delivery: ResponseDelivery,
    request: RequestId,
    /// Held until the last event is built; `None` ends the stream.
    open: Option<OpenRequest>,
}

fn stream_events(state: StreamState) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold(state, |mut state| async move {
        state.open.as_ref()?;
        let part = match state.first.take() {
            Some(first) => Some(ResponsePart::Chunk(first)),
            None => state.parts.recv().await,
        };
        let text = match part {
            Some(ResponsePart::Chunk(chunk)) => data_event(&chunk),
            Some(ResponsePart::Complete(usage)) => {
                state.open = None;
                final_events(state.delivery, usage, &state.request)
            }
            Some(ResponsePart::Refused(refusal)) => {
                state.open = None;
                error_event(&refusal)
            }
            Some(ResponsePart::CallerError { .. }) | None => {
                state.open = None;
                error_event(&truncated_stream())
            }
        };
        Some((Ok(Bytes::from(text)), state))
    })
}

fn data_event(chunk: &Value) -> String {
    format!("data: {chunk}\n\n")
}

/// Ends an incomplete stream: an error event without `[DONE]`, so that callers do not take the
/// stream for a complete one.
fn error_event(refusal: &CallerRefusal) -> String {
    format!("event: error\ndata: {}\n\n", refusal.body())
}

fn final_events(delivery: ResponseDelivery, usage: TokenUsage, request: &RequestId) -> String {
    match delivery {
        ResponseDelivery::StreamedWithUsage => {
            let chunk = json!({ "id": request, "choices": [], "usage": usage_body(usage) });
            data_event(&chunk) + DONE_EVENT
        }
        ResponseDelivery::Streamed | ResponseDelivery::Buffered => DONE_EVENT.to_owned(),
    }
}

/// The `usage` object of an OpenAI response. Unknown cached tokens count as 0.
pub fn usage_body(usage: TokenUsage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens.saturating_add(usage.completion_tokens),
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens.unwrap_or(0) },
    })
}
