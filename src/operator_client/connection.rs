//! HTTP client for the operators' API of daemons, with failover between addresses.

use {
    super::error::ClientError,
    crate::http_api::operator::wire::{DidHappen, ErrorBody, OperatorError},
    bytes::Bytes,
    http::{Method, Request, StatusCode, Uri, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// A daemon that accepts no connection within this time is considered unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a response: a change waits for a quorum, which may first have to elect a leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit for response bodies; the largest register with its rules is much smaller.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Outcome of one request to one daemon.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// The daemon responded with status 200 and this body.
    Responded(Bytes),
    /// The daemon refused the request.
    Refused(Box<OperatorError>),
    /// The request did not reach a daemon.
    NotSent(String),
    /// The request was sent, but its response was not received.
    ResponseLost(String),
}

/// HTTP client with the operators' addresses of daemons.
pub struct AdminConnection {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<Uri>,
}

impl AdminConnection {
    /// Creates a client for addresses such as `http://10.0.0.7:8081`.
    ///
    /// # Errors
    /// `Usage` if there is no address or one is malformed.
    pub fn new(addresses: &[String]) -> Result<Self, ClientError> {
        if addresses.is_empty() {
            let text = "--admin and OLEANDERMOUNT_ADMIN_URLS are empty: give at least one address";
            return Err(ClientError::Usage(text.to_owned()));
        }
        let addresses = addresses
            .iter()
            .map(|text| {
                let address = text.trim_end_matches('/').parse::<Uri>().ok();
                address.filter(|uri| uri.scheme_str() == Some("http")).ok_or_else(|| {
                    let remedy = "give addresses such as http://10.0.0.7:8081";
                    ClientError::Usage(format!("--admin has the value \"{text}\": {remedy}"))
                })
            })
            .collect::<Result<Vec<_>, _>>()?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // By default hyper retries requests that a broken connection may have transmitted. Each
        // request must be sent once, so that an unknown outcome is reported.
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Ok(AdminConnection { client, addresses })
    }

    /// Addresses in the order in which they are tried.
    pub fn addresses(&self) -> &[Uri] {
        &self.addresses
    }

    /// Sends a GET request to one daemon after the other until one returns a result.
    ///
    /// # Errors
    /// The last refusal, or `Unreachable` if no daemon responded.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut refused = None;
        let mut failures = Vec::new();
        for address in &self.addresses {
            match self.send(address, Method::GET, path, Bytes::new()).await {
                RequestOutcome::Responded(body) => return parse_response(&body),
                RequestOutcome::Refused(fault) => refused = Some(ClientError::Refused(fault)),
                RequestOutcome::NotSent(text) | RequestOutcome::ResponseLost(text) => {
                    failures.push(text)
                }
            }
        }
        Err(refused.unwrap_or(ClientError::Unreachable(failures)))
    }

    /// Sends a GET request to the daemon at one address.
    ///
    /// # Errors
    /// The refusal of the daemon, or `Unreachable`.
    pub async fn query_address<T: DeserializeOwned>(
        &self,
        address: &Uri,
        path: &str,
    ) -> Result<T, ClientError> {
        match self.send(address, Method::GET, path, Bytes::new()).await {
            RequestOutcome::Responded(body) => parse_response(&body),
            RequestOutcome::Refused(fault) => Err(ClientError::Refused(fault)),
            RequestOutcome::NotSent(text) | RequestOutcome::ResponseLost(text) => {
                Err(ClientError::Unreachable(vec![text]))
            }
        }
    }

    /// Sends a change or an order to one daemon after the other until its outcome is known. Resending
    /// is safe because a change has an operation id and orders are idempotent.
    ///
    /// # Errors
    /// A refusal; `Unreachable` if nothing was sent; `OutcomeUnknown` if something was sent and no
    /// daemon reported the outcome.
    pub async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).expect("changes have string keys only");
        let body = Bytes::from(body);
        let mut refused = None;
        let mut failures = Vec::new();
        let mut may_have_run = false;
        for address in &self.addresses {
            match self.send(address, method.clone(), path, body.clone()).await {
                RequestOutcome::Responded(body) => return parse_response(&body),
                // The replicated log decides conflicts, so earlier attempts had no effect either.
                RequestOutcome::Refused(fault) if fault.code == "conflict" => {
                    return Err(ClientError::Refused(fault));
                }
                RequestOutcome::Refused(fault) => {
                    may_have_run |= fault.did_happen == DidHappen::Unknown;
                    failures.push(format!("{address}: {}", fault.message));
                    refused = Some(ClientError::Refused(fault));
                }
                RequestOutcome::NotSent(text) => failures.push(text),
                RequestOutcome::ResponseLost(text) => {
                    may_have_run = true;
                    failures.push(text);
                }
            }
        }
        if may_have_run {
            return Err(ClientError::OutcomeUnknown { operation: None, failures });
        }
        Err(refused.unwrap_or(ClientError::Unreachable(failures)))
    }

    async fn send(&self, address: &Uri, method: Method, path: &str, body: Bytes) -> RequestOutcome {
        let base = address.to_string();
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", base.trim_end_matches('/')))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body));
        let request = match request {
            Ok(request) => request,
            Err(error) => return RequestOutcome::NotSent(format!("{address}: {error}")),
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, self.client.request(request)).await {
            Err(_) => RequestOutcome::ResponseLost(format!("{address}: no response in time")),
            Ok(Err(error)) if error.is_connect() => {
                RequestOutcome::NotSent(format!("{address}: cannot connect"))
            }
            Ok(Err(error)) => RequestOutcome::ResponseLost(format!("{address}: {error}")),
            Ok(Ok(response)) => read_response(address, response).await,
        }
    }
}

async fn read_response(
    address: &Uri,
    response: http::Response<hyper::body::Incoming>,
) -> RequestOutcome {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    let body = match tokio::time::timeout(RESPONSE_TIMEOUT, body).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => return RequestOutcome::ResponseLost(format!("{address}: {error}")),
        Err(_) => return RequestOutcome::ResponseLost(format!("{address}: incomplete response")),
    };
    if status == StatusCode::OK {
        return RequestOutcome::Responded(body);
    }
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => RequestOutcome::Refused(Box::new(body.error)),
        Err(_) => {
            let message = format!(
                "{address} responded with {status}; check that it is an operators' address"
            );
            RequestOutcome::Refused(Box::new(OperatorError::unknown("not_understood", message)))
        }
    }
}

fn parse_response<T: DeserializeOwned>(body: &Bytes) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| {
        let message =
            format!("cannot parse the response ({error}); use a client of the daemon's version");
        ClientError::Refused(Box::new(OperatorError::unknown("not_understood", message)))
    })
}
