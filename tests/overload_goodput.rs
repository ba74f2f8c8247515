//! A load of twice the capacity of a site.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        PolicyName,
        load_scenario::LoadName,
        run_metrics::{INTERACTIVE, RunMetrics, percentile},
        site::SiteName,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(22);

/// Maximum time to a refusal that counts as immediate.
const IMMEDIATE: Duration = Duration::from_millis(10);

fn median_refusal(run_metrics: &RunMetrics) -> Duration {
    let callers = run_metrics.callers_of_class(INTERACTIVE);
    let mut waits: Vec<Duration> =
        callers.iter().flat_map(|caller| caller.refusal_delays.iter().copied()).collect();
    percentile(&mut waits, 0.5).expect("an overload causes refusals")
}

/// The load is twice the capacity. Requests that cannot meet their deadline are refused immediately
/// with a retry delay, and as many are answered in time as at full capacity. Without admission
/// control, callers wait until their deadline.
#[test]
fn overload_keeps_goodput() {
    let seed = 1;
    let scenario = LoadName::Overload.scenario(SiteName::Tuul, seed, LENGTH);
    let (run_metrics, baseline) = with_and_without(scenario, seed, PolicySafeguard::Admission);
    let full = LoadName::Saturation.scenario(SiteName::Tuul, seed, LENGTH);
    let full = PolicyName::Chosen.run(full, seed).class_metrics(INTERACTIVE).in_time;
    let in_time = run_metrics.class_metrics(INTERACTIVE).in_time;
    let (wait, baseline_wait) = (median_refusal(&run_metrics), median_refusal(&baseline));
    println!(
        "seed {seed}: in time {in_time}, full {full}; refused after {wait:?}, {baseline_wait:?}"
    );
    assert!(in_time as f64 >= full as f64 * 0.95, "seed {seed}: {in_time} in time, {full}");
    assert!(wait <= IMMEDIATE, "seed {seed}: refused after {wait:?}");
    assert!(
        baseline_wait > IMMEDIATE,
        "seed {seed}: the baseline passes as well: {baseline_wait:?}"
    );
}
