//! A load of twice the capacity of a site.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        PolicyName,
        loads::LoadName,
        site::SiteName,
        tally::{INTERACTIVE, RunTally, percentile},
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(22);

/// Maximum time to a refusal that counts as immediate.
const IMMEDIATE: Duration = Duration::from_millis(10);

fn median_refusal(tally: &RunTally) -> Duration {
    let callers = tally.class(INTERACTIVE);
    let mut waits: Vec<Duration> =
        callers.iter().flat_map(|caller| caller.refusal_waits.iter().copied()).collect();
    percentile(&mut waits, 0.5).expect("an overload causes refusals")
}

/// The load is twice the capacity. Requests that cannot meet their deadline are refused immediately
/// with a retry delay, and as many are answered in time as at full capacity. Without admission
/// control, callers wait until their deadline.
#[test]
fn overload_keeps_goodput() {
    let seed = 1;
    let scene = LoadName::Overload.scene(SiteName::Tuul, seed, LENGTH);
    let (tally, baseline) = with_and_without(scene, seed, PolicySafeguard::Admission);
    let full = LoadName::Saturation.scene(SiteName::Tuul, seed, LENGTH);
    let full = PolicyName::Chosen.run(full, seed).figures(INTERACTIVE).in_time;
    let in_time = tally.figures(INTERACTIVE).in_time;
    let (wait, baseline_wait) = (median_refusal(&tally), median_refusal(&baseline));
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
