//! A temporary failure of all engines.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        load_scenario::{LoadName, SiteFault},
        site::SiteName,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(24);

/// Maximum sends per request, including resends by callers. Ten seconds of failure use up the
/// daemons' retry reserves; a longer failure converges to 1.1.
const MAX_SENT: f64 = 1.5;

/// All engines answer with errors for ten seconds. Requests fail after few attempts, since retries
/// are charged to a budget that first sends fill. Without budgets, each request is resent many
/// times, and the engines get a multiple of the load when they recover.
#[test]
fn retries_are_bounded() {
    for seed in [1, 2, 3] {
        let mut scenario = LoadName::Steady.scenario(SiteName::Tuul, seed, LENGTH);
        for server in 0..scenario.plan.engine_count() {
            for (at, failing) in [(6, true), (16, false)] {
                let fault = SiteFault::SetFailing { server, failing };
                scenario.faults.push((Duration::from_secs(at), fault));
            }
        }
        let (run_metrics, baseline) =
            with_and_without(scenario, seed, PolicySafeguard::RetryBudget);
        let (sent, baseline) =
            (run_metrics.sends_per_submission(), baseline.sends_per_submission());
        println!("seed {seed}: sent {sent}, without budgets {baseline}");
        assert!(sent <= MAX_SENT, "seed {seed}: sent {sent}");
        assert!(baseline > MAX_SENT, "seed {seed}: the baseline passes as well: {baseline}");
    }
}
