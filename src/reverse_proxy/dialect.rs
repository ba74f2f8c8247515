//! What an installation's wire means: headers of callers and of backend servers, as product types.

use {
    crate::{
        ids::{ModelId, OrganisationId, RequestId, ServerId, WeightsNumber},
        inventory::RequestClass,
        routing::{RouteIndex, RouteRule},
    },
    http::{HeaderMap, Response, StatusCode, request, response},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What a request asks of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptWork {
    /// The model.
    pub model: ModelId,
    /// The parts of the prompt in order, each with its id and its tokens; requests that share all
    /// parts up to one share what an engine has cached of them.
    pub parts: Vec<(String, u32)>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub max_output_tokens: u32,
    /// How many the caller expects, which is often far off.
    pub expected_output_tokens: Option<u32>,
}

/// A caller's request as far as its head tells.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that the caller gave it.
    pub id: RequestId,
    /// The route that serves it.
    pub route: Arc<RouteRule>,
    /// Who sends it; empty where no key is asked for.
    pub organisation: OrganisationId,
    /// Whether its cached prompts are shared with nobody.
    pub isolated: bool,
    /// How urgent it is.
    pub class: RequestClass,
    /// How long the caller waits for the whole answer.
    pub time_left: Option<Duration>,
    /// How long it waits for the beginning of an answer.
    pub response_start_timeout: Duration,
    /// Set for requests to model engines.
    pub work: Option<PromptWork>,
}

/// Why a request is not served, as the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyRefusal {
    /// HTTP status. 408, 421, 429 and 503 promise that the request has not run and never will.
    pub status: StatusCode,
    /// The reason's name, as in the measures.
    pub code: &'static str,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl ProxyRefusal {
    /// A refusal without a time to come back.
    pub fn new(status: StatusCode, code: &'static str) -> Self {
        ProxyRefusal { status, code, retry_after: None }
    }

    /// The same with a time to come back.
    pub fn after(self, pause: Duration) -> Self {
        ProxyRefusal { retry_after: Some(pause), ..self }
    }
}

/// What is told to a backend server beside the request itself.
#[derive(Clone, Debug)]
pub struct BackendCall<'a> {
    /// The caller's request.
    pub request: &'a CallerRequest,
    /// The server that it is meant for; no other may run it.
    pub server: &'a ServerId,
    /// The time that is left.
    pub time_left: Duration,
    /// Keeps cached prompts apart: equal salts share.
    pub cache_salt: Option<String>,
    /// A server or store that likely holds more of the prompt, under the same weights and salt.
    pub import_from: Option<SocketAddr>,
    /// A store that gets what the engine had to compute of the prompt.
    pub export_to: Option<SocketAddr>,
    /// Lower is served first inside an engine.
    pub priority: u32,
    /// The id of the last event that the caller has, where a stream goes on.
    pub resume_after: Option<String>,
    /// The weights that the request is meant for; a server with others must not run it.
    pub weights: Option<WeightsNumber>,
}

/// What the head of an answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The server ran the request; this is its answer.
    Executed,
    /// The server did not run it and never will.
    NotExecuted,
    /// The server is not the one that was meant, and did not run it.
    WrongServer,
    /// The answer belongs to another request.
    OtherRequest,
}

/// The head of an answer, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// What became of the request.
    pub verdict: ResponseVerdict,
    /// Requests that run there and that wait there.
    pub load: Option<(u32, u32)>,
    /// The weights that the answer is made with.
    pub weights: Option<WeightsNumber>,
    /// How long the server keeps an idle connection open, if it says so.
    pub idle_limit: Option<Duration>,
    /// When the server wants to be asked again.
    pub retry_after: Option<Duration>,
}

/// Translates between an installation's wire and the product's types. It decides nothing.
pub trait WireDialect: Send + Sync {
    /// The id that a caller gave its request, also of one that cannot be served; empty without one.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> &'a str;

    /// Reads a request's head.
    ///
    /// # Errors
    /// What the caller is told if it cannot be served: unknown route, unknown key, bad head.
    fn read_request(
        &self,
        head: &request::Parts,
        index: &RouteIndex,
    ) -> Result<CallerRequest, ProxyRefusal>;

    /// The headers for a backend server, made from the caller's.
    fn backend_headers(&self, caller: &HeaderMap, call: &BackendCall<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer to the request with this id.
    fn read_response(&self, head: &response::Parts, id: &RequestId) -> ResponseHead;

    /// The answer for a request that is not served.
    fn refusal(&self, refusal: &ProxyRefusal) -> Response<String>;

    /// The id of an event of a stream, and the weights from that event on if it names them.
    fn read_event(&self, event: &[u8]) -> (Option<String>, Option<WeightsNumber>);
}
