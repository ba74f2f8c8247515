//! HTTP towards operators: measures, state, configuration, replicas and draining.
//!
//! The address carries no authentication of its own; it belongs on a network that only operators
//! reach.

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

/// The state machine takes bodies of up to 16 MB, several times the register of 44,000
/// organisations and 870 servers; the rest is for what stands around the body.
pub const MAX_CHANGE_BYTES: usize = 16 * 1024 * 1024 + 4096;
/// Orders other than changes hold a few names.
pub const MAX_ACTION_BYTES: usize = 16 * 1024;
/// The largest change at 10 Mbit a second takes about 26 s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// What the operators' interface works with.
#[derive(Clone)]
pub struct OperatorState {
    /// Where changes are proposed.
    pub control: Arc<dyn ControlPort>,
    /// The configuration in force here.
    pub config: ConfigWatch,
    /// What the daemon knows of itself and of the others.
    pub source: Arc<dyn StatusSource>,
    /// Renders the measures.
    pub metrics: PrometheusHandle,
}

impl OperatorState {
    /// Renders the measures; the revision is set here so that it is right at each reading.
    fn render_metrics(&self) -> String {
        let revision = self.config.borrow().revision;
        metrics::gauge!(CONFIG_REVISION).set(revision as f64);
        self.metrics.render()
    }
}

/// All paths of the operators' interface.
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
