//! A network partition between a failure domain and the others.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{load_scenario::LoadName, site::SiteName, with_and_without},
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(30);

/// Maximum sends per request.
const MAX_SENT: f64 = 1.047;

/// A network partition separates a failure domain; callers reach daemons on both sides. Each side
/// keeps serving with its own engines. Without reachability reports, a daemon keeps sending across
/// the partition, and callers wait for connections that fail.
#[test]
fn both_sides_keep_serving() {
    for seed in [1, 2, 3] {
        let scenario = LoadName::CutDomain.scenario(SiteName::Tuul, seed, LENGTH);
        let (run_metrics, baseline) =
            with_and_without(scenario, seed, PolicySafeguard::Reachability);
        let (answered, sent) = (run_metrics.answered_ratio(), run_metrics.sends_per_request());
        let baseline = baseline.sends_per_request();
        println!("seed {seed}: answered {answered}, sent {sent}, without reachability {baseline}");
        assert!(answered >= 0.98, "seed {seed}: answered {answered}");
        assert!(sent <= MAX_SENT, "seed {seed}: sent {sent}");
        assert!(baseline > MAX_SENT, "seed {seed}: the baseline passes as well: {baseline}");
    }
}
