//! Long prompts mixed with short ones.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        PolicyName,
        baselines::PlainRule,
        loads::LoadName,
        site::SiteName,
        tally::{BATCH, INTERACTIVE},
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
    let plain = PolicyName::Plain(PlainRule::PrefixHash);
    for seed in [1, 2, 3] {
        let run = |load: LoadName, policy: PolicyName| {
            policy.run(load.scene(SiteName::Tuul, seed, LENGTH), seed)
        };
        let tally = run(LoadName::LongAmongShort, PolicyName::Chosen);
        let jobs = tally.figures(BATCH);
        let own = tally.figures(INTERACTIVE).p99_ms();
        let alone = run(LoadName::LongJobsAbsent, PolicyName::Chosen).figures(INTERACTIVE).p99_ms();
        let baseline = run(LoadName::LongAmongShort, plain).figures(INTERACTIVE).p99_ms();
        println!("seed {seed}: p99 {own} ms, without jobs {alone} ms, plain {baseline} ms");
        assert_eq!(jobs.answered, jobs.asked, "seed {seed}: jobs");
        assert!(own <= alone * MAX_SLOWDOWN, "seed {seed}: {own} ms, without jobs {alone} ms");
        assert!(
            baseline > alone * MAX_SLOWDOWN,
            "seed {seed}: the baseline passes as well: {baseline} ms"
        );
    }
}
