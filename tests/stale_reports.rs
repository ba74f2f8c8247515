//! Missing load reports.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        load_scenario::{LoadName, SiteFault},
        run_metrics::INTERACTIVE,
        site::SiteName,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(36);

/// Required goodput of chat requests while a third of the engines is stalled.
const GOODPUT: f64 = 0.80;

/// Three of nine engines stall, and no load report arrives during the whole run. Requests soon go
/// elsewhere, since overdue answers increase a server's predicted time. Without this, the last
/// known state of a stalled engine stays valid.
#[test]
fn overdue_answers_outweigh_reports() {
    for seed in [1, 2, 3] {
        let mut scenario = LoadName::Steady.scenario(SiteName::Tuul, seed, LENGTH);
        scenario.report_lag = LENGTH * 10;
        for server in 0..3 {
            let fault = SiteFault::SetSpeed { server, speed: 0.02 };
            scenario.faults.push((LENGTH / 6, fault));
        }
        let (run_metrics, baseline) = with_and_without(scenario, seed, PolicySafeguard::Overdue);
        let own = run_metrics.class_metrics(INTERACTIVE).goodput();
        let baseline = baseline.class_metrics(INTERACTIVE).goodput();
        println!("seed {seed}: goodput {own}, without overdue answers {baseline}");
        assert!(own >= GOODPUT, "seed {seed}: goodput {own}");
        assert!(baseline < GOODPUT, "seed {seed}: the baseline passes as well: {baseline}");
    }
}
