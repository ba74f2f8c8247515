//! Bursts of three times the capacity of a site.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        PolicyName, baseline_router::BaselineRule, load_scenario::LoadName,
        run_metrics::INTERACTIVE, site::SiteName,
    },
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(50);

/// Required goodput of chat requests over the complete run.
const GOODPUT: f64 = 0.99;

/// Three bursts of two seconds each exceed the capacity threefold. Chat requests still meet their
/// deadlines, since chats precede long prompts and each goes to the server with the earliest
/// predicted first token. A router by prefix hash queues the burst at the few engines that it hits
/// hardest, and chats wait behind long prompts.
#[test]
fn chats_meet_deadlines_during_bursts() {
    let plain = PolicyName::Baseline(BaselineRule::PrefixHash);
    for seed in [1, 2, 3] {
        let run = |policy: PolicyName| {
            let scenario = LoadName::Burst.scenario(SiteName::Tuul, seed, LENGTH);
            policy.run(scenario, seed).class_metrics(INTERACTIVE).goodput()
        };
        let (own, baseline) = (run(PolicyName::Chosen), run(plain));
        println!("seed {seed}: goodput {own}, plain {baseline}");
        assert!(own >= GOODPUT, "seed {seed}: goodput {own}");
        assert!(baseline < GOODPUT, "seed {seed}: the baseline passes as well: {baseline}");
    }
}
