//! Converts results into HTTP responses, and request bodies into values.

use {
    super::{
        super::held_connection::read_held_body,
        BODY_TIMEOUT, OperatorState, SourceError,
        wire::{ErrorBody, OperatorError},
    },
    crate::{
        control::ProposeError,
        inventory::validate::InventoryFault,
        observe::metrics::refusal,
        reverse_proxy::body_reader::{BodyError, BodyLimits},
    },
    serde::{Serialize, de::DeserializeOwned},
    tokio::time::Instant,
    viz::{Body, Error, Request, RequestExt, Response, StatusCode, header},
};

/// An error response to an operator.
#[derive(Clone, Debug)]
pub struct ErrorResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The error in the response body.
    pub error: Box<OperatorError>,
}

impl ErrorResponse {
    /// Builds a response from an error and its HTTP status.
    pub fn new(status: StatusCode, error: OperatorError) -> Self {
        ErrorResponse { status, error: Box::new(error) }
    }

    /// Builds a response which guarantees that the change did not happen.
    pub fn did_not_happen(status: StatusCode, code: &str, message: impl ToString) -> Self {
        ErrorResponse::new(status, OperatorError::did_not_happen(code, message))
    }

    /// Builds the response to a register or a rule set that failed validation.
    pub fn validation_failed(message: &str, faults: Vec<InventoryFault>) -> Self {
        let error = OperatorError::did_not_happen("faulty", message);
        ErrorResponse::new(StatusCode::UNPROCESSABLE_ENTITY, OperatorError { faults, ..error })
    }
}

impl From<ProposeError> for ErrorResponse {
    fn from(error: ProposeError) -> Self {
        let status = match error {
            ProposeError::NoQuorum | ProposeError::Busy => StatusCode::SERVICE_UNAVAILABLE,
            ProposeError::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        };
        ErrorResponse::new(status, error.into())
    }
}

impl From<SourceError> for ErrorResponse {
    fn from(error: SourceError) -> Self {
        match &error {
            SourceError::UnknownVm(_) => {
                ErrorResponse::did_not_happen(StatusCode::NOT_FOUND, "unknown_vm", error)
            }
            SourceError::Unreachable(_) => {
                ErrorResponse::did_not_happen(StatusCode::SERVICE_UNAVAILABLE, "unreachable", error)
            }
            SourceError::OutcomeUnknown(_) => ErrorResponse::new(
                StatusCode::GATEWAY_TIMEOUT,
                OperatorError::unknown("outcome_unknown", error),
            ),
            SourceError::UnknownRequest(_) => {
                ErrorResponse::did_not_happen(StatusCode::NOT_FOUND, "unknown_request", error)
            }
        }
    }
}

/// Builds a JSON response from a value or an error.
pub fn respond<T: Serialize>(result: Result<T, ErrorResponse>) -> Response {
    match result {
        Ok(value) => json(StatusCode::OK, &value),
        Err(response) => json(response.status, &ErrorBody { error: *response.error }),
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).expect("response types have string keys only");
    text_response(status, "application/json", text)
}

/// Builds a plain response from a status, a content type and a text.
pub fn text_response(status: StatusCode, content_type: &'static str, text: String) -> Response {
    let mut response = Response::new(Body::from(http_body_util::Full::from(text)));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// The state that the router attached to the request.
///
/// # Errors
/// When the router was built without a state.
pub fn operator_state(request: &Request) -> Result<OperatorState, Error> {
    request
        .state::<OperatorState>()
        .ok_or_else(|| Error::boxed("the router was built without a state"))
}

/// Reads a JSON body of at most `limit` bytes within [`BODY_TIMEOUT`].
///
/// # Errors
/// When the body is too long, too slow, cut off or not valid for `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, ErrorResponse> {
    let deadline = Instant::now() + BODY_TIMEOUT;
    let limits = BodyLimits { bytes: limit, idle: BODY_TIMEOUT, deadline };
    let extensions = request.extensions().clone();
    let read = read_held_body(&extensions, request.body_mut(), limits).await;
    let bytes = read.map_err(|error| body_error(error, limit))?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body is not valid JSON for this path: {error}; correct it");
        ErrorResponse::did_not_happen(StatusCode::BAD_REQUEST, "bad_request", message)
    })
}

fn body_error(error: BodyError, limit: usize) -> ErrorResponse {
    let (status, code, message) = match error {
        BodyError::TooLong => {
            let message = format!("the body exceeds {limit} bytes; send a smaller one");
            (StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        BodyError::Broken => {
            let message = "the body ended early; send it again".to_owned();
            (StatusCode::BAD_REQUEST, "bad_request", message)
        }
        BodyError::TimedOut => {
            let message = "the body did not arrive in time; send it again over a faster link";
            (StatusCode::REQUEST_TIMEOUT, "body_timeout", message.to_owned())
        }
        BodyError::NoMemory => {
            let message = "this daemon holds as much for its clients as it can; send it again";
            (StatusCode::SERVICE_UNAVAILABLE, refusal::NO_MEMORY, message.to_owned())
        }
    };
    ErrorResponse::did_not_happen(status, code, message)
}
