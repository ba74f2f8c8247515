//! Client for plain services.

use {
    super::{
        ATTEMPT_HEADER, BackendError,
        connection::{ExchangeLimits, exchange, format_attempt_id},
        sse::is_interrupted,
    },
    crate::ids::AttemptId,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Method, Request, header},
    std::net::SocketAddr,
    tokio::time::{Instant, timeout_at},
};

/// Limit for response bodies; services return forms and lists that are smaller.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query within the service, with a leading slash.
    pub path: String,
    /// Headers of the caller that are forwarded.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

/// Complete response of a service, with any status.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, or `application/octet-stream` if absent.
    pub content_type: String,
    /// Value of `Retry-After` in seconds, if present.
    pub retry_after: Option<u64>,
    /// Complete response body.
    pub body: Bytes,
}

/// Sends a call, without retries, and reads the complete response.
///
/// # Errors
/// Those of [`exchange`]; a truncated or too large response is `Broken` and not forwarded.
pub async fn send_call(
    address: SocketAddr,
    attempt: AttemptId,
    request: ServiceRequest,
    limits: ExchangeLimits,
) -> Result<ServiceResponse, BackendError> {
    let started = Instant::now();
    let ServiceRequest { method, path, headers, body } = request;
    let mut outgoing = Request::new(Full::new(body));
    *outgoing.method_mut() = method;
    *outgoing.uri_mut() = path
        .parse()
        .map_err(|_| BackendError::Malformed("the request path is not a valid URI".to_owned()))?;
    *outgoing.headers_mut() = headers;
    let fixed = [("host", "backend".to_owned()), (ATTEMPT_HEADER, format_attempt_id(attempt))];
    fixed.into_iter().for_each(|(name, value)| {
        let value = value.parse().expect("digits and letters are valid header values");
        outgoing.headers_mut().insert(name, value);
    });
    let mut open = exchange(address, attempt, outgoing, limits).await?;
    let status = open.response.status().as_u16();
    let text = |name| {
        let value = open.response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let content_type =
        text(header::CONTENT_TYPE).unwrap_or_else(|| "application/octet-stream".to_owned());
    let retry_after = text(header::RETRY_AFTER).and_then(|value| value.parse().ok());
    let body = Limited::new(open.response.body_mut(), MAX_RESPONSE_BYTES);
    let body = timeout_at(limits.head_before, body.collect())
        .await
        .map_err(|_| BackendError::TimedOut(started.elapsed()))?
        .map_err(|_| BackendError::Broken)?
        .to_bytes();
    if is_interrupted(&content_type, &body) {
        return Err(BackendError::Broken);
    }
    Ok(ServiceResponse { status, content_type, retry_after, body })
}
