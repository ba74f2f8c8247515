//! A request that crashes every server that runs it and is resent repeatedly.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{load_scenario::LoadName, site::SiteName, with_and_without},
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(30);

/// A request crashes the engine that computes it, together with all requests running there, and its
/// caller resends it through daemons of all failure domains. After two crashes all daemons know its
/// fingerprint and refuse it immediately. Without isolation, each resend costs another engine and
/// all its answers.
#[test]
fn crashing_request_is_isolated() {
    for seed in [1, 2, 3] {
        let scenario = LoadName::CrashRequest.scenario(SiteName::Tuul, seed, LENGTH);
        let (run_metrics, baseline) = with_and_without(scenario, seed, PolicySafeguard::Suspect);
        let (lost, answered) = (run_metrics.servers_lost, run_metrics.answered_ratio());
        println!("seed {seed}: lost {lost} not {}, answered {answered}", baseline.servers_lost);
        assert!(lost <= 2 && answered >= 0.99, "seed {seed}: lost {lost}, answered {answered}");
        assert!(baseline.servers_lost > 2, "seed {seed}: the baseline passes as well");
    }
}
