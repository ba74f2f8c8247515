//! A control replica that hears no leader any more says so soon, so that entries turn to another.
//!
//! What callers saw: 404 for routes that had been acknowledged two seconds before. Order of events: a
//! replica hears a new leader once and is cut off from it; a document is acknowledged without it; entries
//! of its failure domain go on following it as one that hears from a leader until its election timeout.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {replica_group::ReplicaGroup, std::time::Duration};

#[test]
fn cut_follower_says_so() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    group.run_for(Duration::from_secs(1));
    let leader = group.leader().expect("one leads");
    let follower = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    let hears = |group: &ReplicaGroup| {
        let replica = group.nodes[follower].replica.as_ref().expect("it runs");
        replica.status(group.now).leader.is_some()
    };
    assert!(hears(&group));
    for vm in ["a", "b", "c"].into_iter().filter(|vm| *vm != follower) {
        group.cut.insert((vm.to_owned(), follower.to_owned()));
    }
    // The heartbeats of a lease, and what was on its way.
    group.run_for(group.timing.lease + Duration::from_millis(50));
    assert!(!hears(&group), "it still claims to hear from a leader");
}
