//! HTTP API for operators: metrics, state, configuration, replicas and draining.
//!
//! The API has no authentication. Its address must be on a network that only operators can reach.

pub mod change;
pub mod read;
pub mod response;
pub mod source;
pub mod wire;

pub use self::source::{SourceError, StatusSource};

use {
    crate::{
        daemon::{ConfigWatch, ControlPort},
        observe::metrics::CONFIG_REVISION,
    },
    metrics_exporter_prometheus::PrometheusHandle,
    std::{sync::Arc, time::Duration},
    viz::{Router, get, post, put, types::State},
};

/// Largest body of a configuration change, in bytes. The state machine accepts up to 16 MiB, several
/// times the register of 44,000 organisations and 870 servers; the rest is for the JSON envelope.
pub const MAX_CHANGE_BYTES: usize = 16 * 1024 * 1024 + 4096;
/// Largest body of any other action, in bytes; such a body holds a few names.
pub const MAX_ACTION_BYTES: usize = 16 * 1024;
/// How long a body may take to arrive. The largest change takes about 26 s at 10 Mbit/s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// State shared by the handlers of the operators' routes.
#[derive(Clone)]
pub struct OperatorState {
    /// Proposes changes to the replicated state machine.
    pub control: Arc<dyn ControlPort>,
    /// The configuration in force at this daemon.
    pub config: ConfigWatch,
    /// Reports the state of this daemon and of its peers.
    pub source: Arc<dyn StatusSource>,
    /// Renders the metrics in the text format of Prometheus.
    pub metrics: PrometheusHandle,
}

impl OperatorState {
    /// Renders the metrics. The revision gauge is set here so that it is current at each scrape.
    fn render_metrics(&self) -> String {
        let revision = self.config.borrow().revision;
        metrics::gauge!(CONFIG_REVISION).set(revision as f64);
        self.metrics.render()
    }
}

/// Builds the router for operators.
pub fn router(state: OperatorState) -> Router {
    Router::new()
        .route("/metrics", get(read::metrics))
        .route("/healthz", get(read::healthz))
        .route("/readyz", get(read::readyz))
        .route("/v1/status", get(read::status))
        .route("/v1/servers", get(read::servers))
        .route("/v1/organisations", get(read::organisations))
        .route("/v1/replicas", get(read::replicas))
        .route("/v1/replicas/replace", post(change::replace_replica))
        .route("/v1/replicas/remove", post(change::remove_replica))
        .route("/v1/config", get(read::config))
        .route("/v1/config/history", get(read::history))
        .route("/v1/config/where", get(read::config_where))
        .route("/v1/register", put(change::put_register))
        .route("/v1/rules", put(change::put_rules))
        .route("/v1/drain", post(change::drain))
        .route("/v1/explain/:id", get(read::explain))
        .with(State::new(state))
}
