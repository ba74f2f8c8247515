//! Speaks HTTP to daemons, one address after the other.

use {
    super::error::ClientError,
    crate::gateway::operator::wire::{DidHappen, FaultBody, OperatorFault},
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

/// A daemon that does not take a connection by then is down or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A change waits for a quorum, which may just be electing a leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest register with its rules stays well below this.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// What one daemon made of one request.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// The body of a 200.
    Answered(Bytes),
    /// The daemon refused.
    Refused(Box<OperatorFault>),
    /// Nothing reached a daemon.
    NotSent(String),
    /// The request was sent and its answer lost.
    ResponseLost(String),
}

/// The operators' addresses that a command may use.
pub struct AdminConnection {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<Uri>,
}

impl AdminConnection {
    /// Takes addresses such as `http://10.0.0.7:8081`.
    ///
    /// # Errors
    /// No address, or one of another form.
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
        // The library would send again by itself what a broken connection may have carried; here
        // each sending is counted, so that an unknown outcome is told.
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Ok(AdminConnection { client, addresses })
    }

    /// The addresses, in the order in which they are tried.
    pub fn addresses(&self) -> &[Uri] {
        &self.addresses
    }

    /// Asks one daemon after the other until one answers.
    ///
    /// # Errors
    /// The last refusal, or `Unreachable` when there was none.
    pub async fn query<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut refused = None;
        let mut failures = Vec::new();
        for address in &self.addresses {
            match self.send(address, Method::GET, path, Bytes::new()).await {
                RequestOutcome::Answered(body) => return parse_response(&body),
                RequestOutcome::Refused(fault) => refused = Some(ClientError::Refused(fault)),
                RequestOutcome::NotSent(text) | RequestOutcome::ResponseLost(text) => {
                    failures.push(text)
                }
            }
        }
        Err(refused.unwrap_or(ClientError::Unreachable(failures)))
    }

    /// Asks the daemon at one address.
    ///
    /// # Errors
    /// Its refusal, or `Unreachable`.
    pub async fn query_one<T: DeserializeOwned>(
        &self,
        address: &Uri,
        path: &str,
    ) -> Result<T, ClientError> {
        match self.send(address, Method::GET, path, Bytes::new()).await {
            RequestOutcome::Answered(body) => parse_response(&body),
            RequestOutcome::Refused(fault) => Err(ClientError::Refused(fault)),
            RequestOutcome::NotSent(text) | RequestOutcome::ResponseLost(text) => {
                Err(ClientError::Unreachable(vec![text]))
            }
        }
    }

    /// Sends a change or an order to one daemon after the other until its outcome is known. That
    /// is safe since a change carries its operation id, and the orders are idempotent.
    ///
    /// # Errors
    /// A refusal; `Unreachable` when nothing was sent; `OutcomeUnknown` when something was and no
    /// daemon could tell what came of it.
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
        let mut lost = false;
        for address in &self.addresses {
            match self.send(address, method.clone(), path, body.clone()).await {
                RequestOutcome::Answered(body) => return parse_response(&body),
                // A conflict is what the log itself decided, so earlier tries lost as well.
                RequestOutcome::Refused(fault) if fault.code == "conflict" => {
                    return Err(ClientError::Refused(fault));
                }
                RequestOutcome::Refused(fault) => {
                    lost |= fault.did_happen == DidHappen::Unknown;
                    failures.push(format!("{address}: {}", fault.message));
                    refused = Some(ClientError::Refused(fault));
                }
                RequestOutcome::NotSent(text) => failures.push(text),
                RequestOutcome::ResponseLost(text) => {
                    lost = true;
                    failures.push(text);
                }
            }
        }
        if lost {
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
            Err(_) => RequestOutcome::ResponseLost(format!("{address}: no answer in time")),
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
        Err(_) => return RequestOutcome::ResponseLost(format!("{address}: the answer broke off")),
    };
    if status == StatusCode::OK {
        return RequestOutcome::Answered(body);
    }
    match serde_json::from_slice::<FaultBody>(&body) {
        Ok(body) => RequestOutcome::Refused(Box::new(body.error)),
        Err(_) => {
            let message = format!("{address} answered {status}; is it an operators' address?");
            RequestOutcome::Refused(Box::new(OperatorFault::unknown("not_understood", message)))
        }
    }
}

fn parse_response<T: DeserializeOwned>(body: &Bytes) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| {
        let message =
            format!("the answer is not understood ({error}); use a client of the daemon's version");
        ClientError::Refused(Box::new(OperatorFault::unknown("not_understood", message)))
    })
}
