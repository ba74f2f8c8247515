//! Discrete-event simulation of a site in virtual time, for the report and the policy tests.
//!
//! The routers of the daemons, the backend servers and the callers share one event queue. One-way
//! network delays are 0.5 ms between failure domains, 0.1 ms within one and 3 ms from callers.
//!
//! Definitions:
//! - *asked*: number of distinct requests. A caller that retries after a refusal submits the same
//!   request again.
//! - *answered*: number of requests with a complete answer. *Goodput*: the share of all requests
//!   that were answered with their first token within the caller's limit, counted from the first
//!   submission (interactive 5 s, standard 20 s, batch 120 s).
//! - *first token*: latency from the arrival of the first submission at a daemon to the first token
//!   at the caller, including the delay between a refusal and the retry; over answered requests.
//!   `p99_misses` is over all requests and counts a request without an answer with its whole limit.
//! - *recomputed*: prompt tokens that were computed although some server had computed the same
//!   prefix before.
//!
//! Callers obey `Retry-After` and retry at most three times, and only within their limit.
//!
//! Not simulated: several models, adapters or weights; the cache store and imports; weight loads;
//! cache memory taken by running requests; preemption of running requests; caching of an answer's
//! own tokens; changes of a stream's speed after its first token, at which the number of running
//! streams sets it; prompts whose prefix is shared between organisations; processor time of the
//! daemons; loss of messages other than cache events; slow readers.
//!
//! Cache events arrive 1.5 s late and a tenth of them is lost, load reports are sent every 0.5 s and
//! arrive 0.3 s late, and membership changes are detected 1 s late.

// Each test includes the harness and uses only a part of it.
#![allow(dead_code)]

pub mod baseline_router;
pub mod callers;
pub mod fleet_simulation;
pub mod load_scenario;
pub mod prefix_cache;
pub mod random_source;
pub mod route_policy;
pub mod run_metrics;
pub mod simulated_server;
pub mod site;
pub mod traffic;

use {
    baseline_router::{BaselineRouter, BaselineRule},
    fleet_simulation::run_scenario,
    load_scenario::LoadScenario,
    oleandermount::policy::{Dispatcher, DispatcherSettings, PolicySafeguard, SafeguardSet},
    route_policy::{RoutePolicy, RouterIdentity},
    run_metrics::RunMetrics,
};

/// Router of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The daemon's dispatcher.
    Chosen,
    /// A baseline router for comparison.
    Baseline(BaselineRule),
}

impl PolicyName {
    /// All policies in the order in which the report prints them.
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Chosen,
        PolicyName::Baseline(BaselineRule::RoundRobin),
        PolicyName::Baseline(BaselineRule::LeastLoaded),
        PolicyName::Baseline(BaselineRule::PrefixHash),
    ];

    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Chosen => "chosen",
            PolicyName::Baseline(BaselineRule::RoundRobin) => "round_robin",
            PolicyName::Baseline(BaselineRule::LeastLoaded) => "least_loaded",
            PolicyName::Baseline(BaselineRule::PrefixHash) => "prefix_hash",
        }
    }

    /// Simulates `scenario` under this policy.
    pub fn run(self, scenario: LoadScenario, seed: u64) -> RunMetrics {
        run_scenario(scenario, seed, &|identity| -> Box<dyn RoutePolicy> {
            match self {
                PolicyName::Chosen => Box::new(Dispatcher::new(settings(identity))),
                PolicyName::Baseline(rule) => Box::new(BaselineRouter::new(rule, identity)),
            }
        })
    }
}

/// Returns the settings of the dispatcher of one daemon, with all safeguards on.
pub fn settings(identity: &RouterIdentity) -> DispatcherSettings {
    DispatcherSettings {
        daemon: identity.daemon.clone(),
        failure_domain: identity.failure_domain.clone(),
        seed: identity.seed,
        disabled: SafeguardSet::default(),
    }
}

/// Simulates `scenario` under the dispatcher with the `disabled` safeguards switched off. A daemon
/// has all safeguards on by default.
pub fn run_without(scenario: LoadScenario, seed: u64, disabled: &SafeguardSet) -> RunMetrics {
    run_scenario(scenario, seed, &|identity| {
        let disabled = disabled.clone();
        Box::new(Dispatcher::new(DispatcherSettings { disabled, ..settings(identity) }))
    })
}

/// Simulates `scenario` with all safeguards, and again with `safeguard` switched off. A test of a
/// safeguard must pass with it and fail without it.
pub fn with_and_without(
    scenario: LoadScenario,
    seed: u64,
    safeguard: PolicySafeguard,
) -> (RunMetrics, RunMetrics) {
    let all_on = SafeguardSet::default();
    (
        run_without(scenario.clone(), seed, &all_on),
        run_without(scenario, seed, &[safeguard].into_iter().collect()),
    )
}
