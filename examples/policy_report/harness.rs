//! A small model of a site in virtual time, for the report and the pattern tests.
//!
//! Daemons' routers, backend servers and callers share one event queue. Network delays: 0.5 ms one
//! way between failure domains, 0.1 ms within one, 3 ms from clients.
//!
//! Definitions:
//! - *asked*: distinct requests; a caller that comes back after a refusal asks the same one.
//! - *answered*: the whole answer came. *Goodput*: answered, and its first token within the caller's
//!   patience counted from the first ask (interactive 5 s, standard 20 s, batch 120 s), out of asked.
//! - *first token*: from the first ask's arrival at a daemon to the first token at the caller, time
//!   between a refusal and coming back included; over answered requests. `p99_misses` is over all
//!   requests, one without an answer counted as its whole patience.
//! - *recomputed*: prompt tokens computed though some server had computed the same prefix before.
//!
//! Callers obey `Retry-After`, come back three times at most and only within their patience.
//!
//! What the model leaves out: several models, adapters and weights; prompt-keep and imports;
//! weight loads; memory that running requests take from the cache; preemption of running requests;
//! the answer's own tokens in the cache; a stream's speed once it runs (it is set at its first
//! token, by what runs then); prompts whose prefix is shared between organisations; daemons' own
//! processor time; lost messages other than cache events; slow readers. Cache events come 1.5 s late
//! and a tenth is lost, load reports come 0.3 s late every 0.5 s, findings of membership 1 s late.

// Each test uses a part of it.
#![allow(dead_code)]

pub mod baseline_router;
pub mod caller_record;
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

/// Who decides in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The dispatcher that the daemon runs.
    Chosen,
    /// A baseline.
    Baseline(BaselineRule),
}

impl PolicyName {
    /// All policies, in the order of the report.
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Chosen,
        PolicyName::Baseline(BaselineRule::RoundRobin),
        PolicyName::Baseline(BaselineRule::LeastLoaded),
        PolicyName::Baseline(BaselineRule::PrefixHash),
    ];

    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Chosen => "chosen",
            PolicyName::Baseline(BaselineRule::RoundRobin) => "round_robin",
            PolicyName::Baseline(BaselineRule::LeastLoaded) => "least_loaded",
            PolicyName::Baseline(BaselineRule::PrefixHash) => "prefix_hash",
        }
    }

    /// Runs `scene` under this policy.
    pub fn run(self, scenario: LoadScenario, seed: u64) -> RunMetrics {
        run_scenario(scenario, seed, &|identity| -> Box<dyn RoutePolicy> {
            match self {
                PolicyName::Chosen => Box::new(Dispatcher::new(settings(identity))),
                PolicyName::Baseline(rule) => Box::new(BaselineRouter::new(rule, identity)),
            }
        })
    }
}

/// The dispatcher's settings at one seat.
pub fn settings(identity: &RouterIdentity) -> DispatcherSettings {
    DispatcherSettings {
        daemon: identity.daemon.clone(),
        failure_domain: identity.failure_domain.clone(),
        seed: identity.seed,
        disabled: SafeguardSet::default(),
    }
}

/// Runs `scene` under the dispatcher with `disabled` safeguards off; none is off in a daemon.
pub fn run_without(scenario: LoadScenario, seed: u64, disabled: &SafeguardSet) -> RunMetrics {
    run_scenario(scenario, seed, &|identity| {
        let disabled = disabled.clone();
        Box::new(Dispatcher::new(DispatcherSettings { disabled, ..settings(identity) }))
    })
}

/// Runs `scene` with all safeguards, and with `off` switched off: a pattern's test has to tell the
/// two apart.
pub fn with_and_without(
    scenario: LoadScenario,
    seed: u64,
    off: PolicySafeguard,
) -> (RunMetrics, RunMetrics) {
    let all_on = SafeguardSet::default();
    (
        run_without(scenario.clone(), seed, &all_on),
        run_without(scenario, seed, &[off].into_iter().collect()),
    )
}
