//! A new prefix suddenly gets a high request rate.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        load_scenario::LoadName, run_metrics::INTERACTIVE, site::SiteName, traffic::TrafficMix,
        with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(24);

/// Requests per second for the hot prefix, more than the slots of six engines can take.
const HOT_RATE: f64 = 48.0;

/// Maximum median first-token time of chat requests.
const MEDIAN: Duration = Duration::from_millis(300);

/// In addition to the steady load, most callers suddenly request one prefix. First-token times stay
/// low, since a prefix gets more servers as its request rate grows. With a single affinity server,
/// the other engines would compute it again or callers would wait for that server.
#[test]
fn hot_prefix_gets_more_servers() {
    for seed in [1, 2] {
        let mut scenario = LoadName::Steady.scenario(SiteName::Abay, seed, LENGTH);
        scenario.add_traffic(seed, HOT_RATE, LENGTH / 3, TrafficMix::HotClient(100));
        let (run_metrics, baseline) =
            with_and_without(scenario, seed, PolicySafeguard::PrefixReplication);
        let own = run_metrics.class_metrics(INTERACTIVE).p50.expect("most requests are answered");
        let baseline = baseline.class_metrics(INTERACTIVE).p50.expect("most requests are answered");
        println!("seed {seed}: median {own:?}, with one server {baseline:?}");
        assert!(own <= MEDIAN, "seed {seed}: median {own:?}");
        assert!(baseline > MEDIAN, "seed {seed}: the baseline passes as well: {baseline:?}");
    }
}
