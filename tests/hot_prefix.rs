//! A prefix turns hot that nobody asked for before.

#[path = "../examples/policy_report/harness.rs"]
mod harness;

use {
    harness::{
        loads::LoadName, site::SiteName, tally::INTERACTIVE, traffic::TrafficMix, with_and_without,
    },
    oleandermount::policy::PolicySafeguard,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(24);

/// Requests a second for the hot prefix: more than the slots of six engines take.
const HOT_RATE: f64 = 48.0;

/// The median first token that chat callers have to get.
const MEDIAN: Duration = Duration::from_millis(300);

/// Beside the usual load, most callers suddenly ask for one client's standing order. They hardly
/// notice, since a prefix gets more servers as it heats. Without that, it has one home, and each
/// other engine computes it anew or callers wait for the home.
#[test]
fn hot_prefix_spreads() {
    for seed in [1, 2] {
        let mut scene = LoadName::Steady.scene(SiteName::Abay, seed, LENGTH);
        scene.add_traffic(seed, HOT_RATE, LENGTH / 3, TrafficMix::HotClient(100));
        let (tally, bare) = with_and_without(scene, seed, PolicySafeguard::PrefixReplication);
        let own = tally.figures(INTERACTIVE).p50.expect("many are answered");
        let bare = bare.figures(INTERACTIVE).p50.expect("many are answered");
        println!("seed {seed}: median {own:?}, with one home {bare:?}");
        assert!(own <= MEDIAN, "seed {seed}: median {own:?}");
        assert!(bare > MEDIAN, "seed {seed}: the load proves nothing: {bare:?}");
    }
}
