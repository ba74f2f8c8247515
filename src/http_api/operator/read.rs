//! Handlers that report metrics, health, state and configuration.

use {
    super::{
        response::{ErrorResponse, operator_state, respond, text_response},
        wire::{ConfigReport, DaemonState, ExplainReport, RevisionReport},
    },
    crate::{
        ids::{RequestId, Revision},
        inventory::validate::{canonical_json, digest},
    },
    serde::Deserialize,
    viz::{Request, RequestExt, Response, Result, StatusCode},
};

/// The number of organisations in a response when the query sets no limit.
const DEFAULT_ROWS: usize = 50;
/// The maximum number of organisations in one response; a deployment may have 44,000.
const MAX_ROWS: usize = 1000;
/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// `GET /metrics`.
pub async fn metrics(request: Request) -> Result<Response> {
    let text = operator_state(&request)?.render_metrics();
    Ok(text_response(StatusCode::OK, METRICS_TYPE, text))
}

/// `GET /healthz`: the health check, 200 while the process responds.
pub async fn healthz(_request: Request) -> Result<Response> {
    Ok(text_response(StatusCode::OK, TEXT_TYPE, "alive\n".to_owned()))
}

/// `GET /readyz`: the readiness check, 200 only while callers should be sent here.
pub async fn readyz(request: Request) -> Result<Response> {
    let state = operator_state(&request)?.source.status().state;
    let status = match state {
        DaemonState::Serving => StatusCode::OK,
        DaemonState::Starting | DaemonState::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(text_response(status, TEXT_TYPE, format!("{}\n", state.as_str())))
}

/// `GET /v1/status`.
pub async fn status(request: Request) -> Result<Response> {
    Ok(respond(Ok(operator_state(&request)?.source.status())))
}

/// `GET /v1/servers`.
pub async fn servers(request: Request) -> Result<Response> {
    Ok(respond(Ok(operator_state(&request)?.source.servers())))
}

#[derive(Deserialize)]
struct RowQuery {
    limit: Option<usize>,
}

/// `GET /v1/organisations?limit=N`: the organisations with the most usage at this daemon.
pub async fn organisations(request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let rows = query::<RowQuery>(&request)
        .map(|query| state.source.organisations(query.limit.unwrap_or(DEFAULT_ROWS).min(MAX_ROWS)));
    Ok(respond(rows))
}

/// `GET /v1/replicas`.
pub async fn replicas(request: Request) -> Result<Response> {
    Ok(respond(Ok(operator_state(&request)?.source.replicas().await)))
}

/// `GET /v1/config`: the configuration in force at this daemon.
pub async fn config(request: Request) -> Result<Response> {
    let config = operator_state(&request)?.config.borrow().clone();
    Ok(respond(Ok(ConfigReport {
        revision: config.revision,
        register_digest: digest(&canonical_json(&config.register)),
        rules_digest: digest(&canonical_json(&config.rules)),
        register: config.register.clone(),
        rules: config.rules.clone(),
    })))
}

/// `GET /v1/config/history`.
pub async fn history(request: Request) -> Result<Response> {
    Ok(respond(Ok(operator_state(&request)?.source.history().await)))
}

#[derive(Deserialize)]
struct RevisionQuery {
    revision: Revision,
}

/// `GET /v1/config/where?revision=N`: the daemons that have a revision in force.
pub async fn config_where(request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let report = match query::<RevisionQuery>(&request) {
        Ok(query) => {
            let vms = state.source.revisions().await;
            Ok(RevisionReport { revision: query.revision, vms })
        }
        Err(error) => Err(error),
    };
    Ok(respond(report))
}

/// `GET /v1/explain/{id}`: the servers that a request was sent to, and why.
pub async fn explain(request: Request) -> Result<Response> {
    let state = operator_state(&request)?;
    let id: RequestId = request.param("id")?;
    let traces = state.source.explain(id.clone()).await;
    let report = traces.map(|traces| ExplainReport { request: id, traces });
    Ok(respond(report.map_err(ErrorResponse::from)))
}

fn query<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, ErrorResponse> {
    let text = request.query_string().unwrap_or_default();
    request.query().map_err(|_| {
        let message =
            format!("the query \"{text}\" is not valid for this path; see docs/OPERATING.md");
        ErrorResponse::did_not_happen(StatusCode::BAD_REQUEST, "bad_request", message)
    })
}
