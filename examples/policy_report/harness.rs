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

pub mod baselines;
pub mod cache;
pub mod callers;
pub mod draw;
pub mod engine;
pub mod fleet;
pub mod loads;
pub mod router;
pub mod site;
pub mod tally;
pub mod traffic;

use {
    baselines::{PlainRouter, PlainRule},
    fleet::run_scene,
    loads::LoadScene,
    oleandermount::policy::{Dispatcher, DispatcherSettings, PolicySafeguard, SafeguardSet},
    router::{RoutePolicy, RouterSeat},
    tally::RunTally,
};

/// Who decides in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The dispatcher that the daemon runs.
    Chosen,
    /// A baseline.
    Plain(PlainRule),
}

impl PolicyName {
    /// All policies, in the order of the report.
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Chosen,
        PolicyName::Plain(PlainRule::RoundRobin),
        PolicyName::Plain(PlainRule::LeastLoaded),
        PolicyName::Plain(PlainRule::PrefixHash),
    ];

    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Chosen => "chosen",
            PolicyName::Plain(PlainRule::RoundRobin) => "round_robin",
            PolicyName::Plain(PlainRule::LeastLoaded) => "least_loaded",
            PolicyName::Plain(PlainRule::PrefixHash) => "prefix_hash",
        }
    }

    /// Runs `scene` under this policy.
    pub fn run(self, scene: LoadScene, seed: u64) -> RunTally {
        run_scene(scene, seed, &|seat| -> Box<dyn RoutePolicy> {
            match self {
                PolicyName::Chosen => Box::new(Dispatcher::new(settings(seat))),
                PolicyName::Plain(rule) => Box::new(PlainRouter::new(rule, seat)),
            }
        })
    }
}

/// The dispatcher's settings at one seat.
pub fn settings(seat: &RouterSeat) -> DispatcherSettings {
    DispatcherSettings {
        daemon: seat.daemon.clone(),
        failure_domain: seat.failure_domain.clone(),
        seed: seat.seed,
        disabled: SafeguardSet::default(),
    }
}

/// Runs `scene` under the dispatcher with `disabled` safeguards off; none is off in a daemon.
pub fn run_without(scene: LoadScene, seed: u64, disabled: &SafeguardSet) -> RunTally {
    run_scene(scene, seed, &|seat| {
        let disabled = disabled.clone();
        Box::new(Dispatcher::new(DispatcherSettings { disabled, ..settings(seat) }))
    })
}

/// Runs `scene` with all safeguards, and with `off` switched off: a pattern's test has to tell the
/// two apart.
pub fn with_and_without(scene: LoadScene, seed: u64, off: PolicySafeguard) -> (RunTally, RunTally) {
    let all_on = SafeguardSet::default();
    (
        run_without(scene.clone(), seed, &all_on),
        run_without(scene, seed, &[off].into_iter().collect()),
    )
}
