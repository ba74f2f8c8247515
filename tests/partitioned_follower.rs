//! A control replica without contact to a leader reports this soon, so that its followers switch to
//! another one.
//!
//! Guards against 404 responses for routes that were acknowledged two seconds before. A replica
//! receives one message of a new leader and is then partitioned from it. A document is acknowledged
//! without it, and entries of its failure domain keep following the replica until its election
//! timeout.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {replica_group::ReplicaGroup, std::time::Duration};

#[test]
fn partitioned_follower_reports_no_leader() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    group.run_for(Duration::from_secs(1));
    let leader = group.leader().expect("one leads");
    let follower = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    let has_leader = |group: &ReplicaGroup| {
        let replica = group.nodes[follower].replica.as_ref().expect("it runs");
        replica.status(group.now).leader.is_some()
    };
    assert!(has_leader(&group));
    for vm in ["a", "b", "c"].into_iter().filter(|vm| *vm != follower) {
        group.blocked_links.insert((vm.to_owned(), follower.to_owned()));
    }
    // The duration of a lease, and the messages in transit.
    group.run_for(group.timing.lease + Duration::from_millis(50));
    assert!(!has_leader(&group), "it still reports a leader");
}
