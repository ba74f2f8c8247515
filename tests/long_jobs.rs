//! Long prompts mixed with short ones.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        PolicyName,
        baseline_router::BaselineRule,
        load_scenario::LoadName,
        run_metrics::{BATCH, INTERACTIVE},
        site::SiteName,
    },
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(30);

/// Maximum ratio of the chats' 99th percentile with and without the long jobs.
const MAX_SLOWDOWN: f64 = 1.8;

/// Batch jobs of about twenty thousand prompt tokens cause as much work as the chats. Chats are
/// hardly affected, since they are served first by the dispatcher and inside the engines, and the
/// jobs still complete. In arrival order, as in a router by prefix hash, chats wait behind the
/// jobs.
#[test]
fn chats_overtake_long_jobs() {
    let plain = PolicyName::Baseline(BaselineRule::PrefixHash);
    for seed in [1, 2, 3] {
        let run = |load: LoadName, policy: PolicyName| {
            policy.run(load.scenario(SiteName::Tuul, seed, LENGTH), seed)
        };
        let run_metrics = run(LoadName::LongAmongShort, PolicyName::Chosen);
        let jobs = run_metrics.class_metrics(BATCH);
        let own = run_metrics.class_metrics(INTERACTIVE).p99_ms();
        let alone =
            run(LoadName::LongJobsAbsent, PolicyName::Chosen).class_metrics(INTERACTIVE).p99_ms();
        let baseline = run(LoadName::LongAmongShort, plain).class_metrics(INTERACTIVE).p99_ms();
        println!("seed {seed}: p99 {own} ms, without jobs {alone} ms, plain {baseline} ms");
        assert_eq!(jobs.answered, jobs.requests, "seed {seed}: jobs");
        assert!(own <= alone * MAX_SLOWDOWN, "seed {seed}: {own} ms, without jobs {alone} ms");
        assert!(
            baseline > alone * MAX_SLOWDOWN,
            "seed {seed}: the baseline passes as well: {baseline} ms"
        );
    }
}
