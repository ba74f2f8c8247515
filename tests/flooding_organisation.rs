//! One organisation sends more requests than a site can serve.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        load_scenario::{HOT_ORGANISATION, LoadName},
        run_metrics::{CallerMetrics, INTERACTIVE, RunMetrics},
        site::SiteName,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(28);

/// Required goodput of the other organisations.
const GOODPUT: f64 = 0.99;

fn others(run_metrics: &RunMetrics) -> f64 {
    let mut callers = run_metrics.callers_of_class(INTERACTIVE);
    callers.retain(|caller| caller.request.organisation != HOT_ORGANISATION);
    CallerMetrics::of(&callers).goodput()
}

/// A small organisation sends one and a half times the capacity of the site. The other
/// organisations are unaffected, since requests are ordered by the tokens served to each
/// organisation; the excess waits and is refused. In arrival order, the others would wait behind
/// it.
#[test]
fn other_organisations_are_unaffected() {
    for seed in [1, 2] {
        let scenario = LoadName::HotCaller.scenario(SiteName::Tuul, seed, LENGTH);
        let (run_metrics, baseline) = with_and_without(scenario, seed, PolicySafeguard::Fairness);
        let (own, baseline) = (others(&run_metrics), others(&baseline));
        println!("seed {seed}: others' goodput {own}, by arrival {baseline}");
        assert!(own >= GOODPUT, "seed {seed}: others' goodput {own}");
        assert!(baseline < GOODPUT, "seed {seed}: the baseline passes as well: {baseline}");
    }
}
