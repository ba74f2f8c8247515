//! Interface to a deployment's header format, for requests of callers and backend servers.

use {
    crate::{
        ids::{ModelId, OrganisationId, RequestId, ServerId, WeightsNumber},
        inventory::RequestClass,
        policy::usage_limits::UsageLimit,
        routing::{RouteIndex, RouteRule},
    },
    http::{HeaderMap, Response, StatusCode, request, response},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The work that a request causes at a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptWork {
    /// The requested model.
    pub model: ModelId,
    /// The parts of the prompt in order, each with its id and its number of tokens. Requests that
    /// begin with the same parts share the cached blocks of these parts in an engine.
    pub parts: Vec<(String, u32)>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Number of generated tokens that the caller expects, which is often inaccurate.
    pub expected_output_tokens: Option<u32>,
}

/// The stream that a request resumes, because an earlier response was interrupted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// The request whose response began with the first event, if the caller names it.
    pub first_request: Option<RequestId>,
    /// The last event that the caller has received.
    pub last_event: String,
}

/// The head of a caller's request, decoded.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request id that the caller assigned.
    pub id: RequestId,
    /// The route that matches the request.
    pub route: Arc<RouteRule>,
    /// The organisation of the caller; empty if the route requires no key.
    pub organisation: OrganisationId,
    /// Whether the organisation's cached prompts are not shared with other organisations.
    pub isolated: bool,
    /// The class of the request, which sets its priority.
    pub class: RequestClass,
    /// How long the caller waits for the complete response.
    pub time_left: Option<Duration>,
    /// How long the caller waits for the beginning of the response.
    pub response_start_timeout: Duration,
    /// The stream that the request resumes, if it does.
    pub resumes: Option<ResumedStream>,
    /// The prompt; set for requests to model engines.
    pub work: Option<PromptWork>,
    /// The usage limit of the organisation, if it has one.
    pub cap: Option<UsageLimit>,
    /// Tokens of the prompt and of the response at most, if the request says.
    pub tokens: Option<u64>,
}

/// Whether a caller that receives this status may rely on its request not having run and never running.
pub fn guarantees_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyRefusal {
    /// HTTP status. Some are a guarantee to the caller; see [`guarantees_no_run`].
    pub status: StatusCode,
    /// The error code, which is also the label of the refusal counter.
    pub code: &'static str,
    /// When the caller may retry, if that can succeed.
    pub retry_after: Option<Duration>,
}

impl ProxyRefusal {
    /// Creates a refusal without `Retry-After`.
    pub fn new(status: StatusCode, code: &'static str) -> Self {
        ProxyRefusal { status, code, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, delay: Duration) -> Self {
        ProxyRefusal { retry_after: Some(delay), ..self }
    }
}

/// What a backend server receives in addition to the caller's request.
#[derive(Clone, Debug)]
pub struct BackendCall<'a> {
    /// The caller's request.
    pub request: &'a CallerRequest,
    /// The intended server; no other server may run the request.
    pub server: &'a ServerId,
    /// The time until the deadline of the request.
    pub time_left: Duration,
    /// Separates cached prompts: only requests with equal salts share cache entries.
    pub cache_salt: Option<String>,
    /// A server or cache store that probably has a longer cached prefix of the prompt, for the same
    /// weights and salt.
    pub import_from: Option<SocketAddr>,
    /// A cache store to which the engine exports the blocks of the prompt that it has computed.
    pub export_to: Option<SocketAddr>,
    /// Priority within the engine; lower values are served first.
    pub priority: u32,
    /// The id of the last relayed event, if a stream is resumed.
    pub resume_after: Option<String>,
    /// The required weights; a server with other weights must not run the request.
    pub weights: Option<WeightsNumber>,
}

/// Whether and where the request has run, according to the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The server ran the request or does not state otherwise, whatever the status is. This is its response.
    Executed,
    /// The server states that it did not run the request and never will.
    NotExecuted,
    /// The server is not the intended one, or does not run the required weights. It did not run the request.
    WrongServer,
    /// The response belongs to another request.
    OtherRequest,
    /// The response is a success without the server's proof that it is its own. The server may have run
    /// the request.
    Unproven,
}

/// The head of a backend server's response, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Whether and where the request has run.
    pub verdict: ResponseVerdict,
    /// The server that has responded, if it names itself.
    pub instance: Option<ServerId>,
    /// Numbers of requests that run and that wait at the server.
    pub load: Option<(u32, u32)>,
    /// How long work takes at this moment on the machine of the server, which it shares with others, as a
    /// multiple of the usual time; positive and finite. `None` if the server does not say.
    pub work_time: Option<f64>,
    /// The weights that generate the response.
    pub weights: Option<WeightsNumber>,
    /// How long the server keeps idle connections open, if it reports that.
    pub idle_limit: Option<Duration>,
    /// When the server may be sent another request.
    pub retry_after: Option<Duration>,
    /// The requests a second that the server takes from all daemons together, if it limits them. A
    /// value that is not positive and finite is ignored.
    pub limit: Option<f64>,
    /// The requests that the server can reject in a second for lack of capacity, if it names a number.
    /// It ends if it has to reject more.
    pub rejection_limit: Option<u32>,
    /// Whether the server says that it leaves. It gets no new requests then.
    pub leaving: bool,
}

/// Translates between a deployment's headers and the types of this crate. Implementations make
/// no routing decisions.
pub trait WireDialect: Send + Sync {
    /// The request id that the caller assigned, or an empty string. Also called for requests that
    /// cannot be served.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Decodes the head of a request.
    ///
    /// # Errors
    /// The refusal of a request with an unknown route, an unknown key or an invalid head.
    fn read_request(
        &self,
        head: &request::Parts,
        index: &RouteIndex,
    ) -> Result<CallerRequest, ProxyRefusal>;

    /// Builds the headers for a backend server from those of the caller.
    fn backend_headers(&self, caller: &HeaderMap, call: &BackendCall<'_>) -> HeaderMap;

    /// Decodes the head of a backend server's response to the request with this id.
    fn read_response(&self, head: &response::Parts, id: &RequestId) -> ResponseHead;

    /// Builds the response for a refused request.
    fn refusal(&self, refusal: &ProxyRefusal) -> Response<String>;

    /// The id of a stream event if a request can resume the stream after it, and the weights from that
    /// event on if the event contains them.
    fn read_event(&self, event: &[u8]) -> (Option<String>, Option<WeightsNumber>);
}
