//! Two servers become slow without failing.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        load_scenario::{LoadName, SiteFault},
        run_metrics::{INTERACTIVE, RunMetrics},
        site::SiteName,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(30);

/// Maximum chat requests that miss their deadline in three runs: those in flight on the engines
/// when they slow down, and few more.
const MAX_MISSES: u64 = 40;

fn misses(run_metrics: &RunMetrics) -> u64 {
    let figures = run_metrics.class_metrics(INTERACTIVE);
    figures.requests - figures.in_time
}

/// Two of nine engines become ten times slower but still respond and report. Requests soon go
/// elsewhere, since overdue answers immediately increase a server's predicted time. Without this,
/// only received answers show that it is slow, and until then requests are still sent there.
#[test]
fn slow_servers_get_fewer_requests() {
    let (mut own, mut baseline) = (0, 0);
    for seed in [1, 2, 3] {
        let mut scenario = LoadName::Steady.scenario(SiteName::Tuul, seed, LENGTH);
        for server in [1, 4] {
            let fault = SiteFault::SetSpeed { server, speed: 0.1 };
            scenario.faults.push((LENGTH / 5, fault));
        }
        let (run_metrics, other) = with_and_without(scenario, seed, PolicySafeguard::Overdue);
        own += misses(&run_metrics);
        baseline += misses(&other);
    }
    println!("missed {own}, without overdue answers {baseline}");
    assert!(own <= MAX_MISSES, "{own} missed their deadline");
    assert!(baseline > MAX_MISSES, "the baseline passes as well: {baseline}");
}
