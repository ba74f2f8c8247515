//! A follower that receives heartbeats of the leader but lacks committed entries.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::{Command, CommandOutcome},
    replica_group::ReplicaGroup,
    std::time::Duration,
};

/// Larger than one append in these groups, so that each document takes its own append.
const BODY_BYTES: usize = 3_000;
const DOCUMENTS: u64 = 12;

/// Guards against a stale follower that reports itself as up to date, so that entries stay with it
/// and refuse callers of new routes. Its disk hangs, so it acknowledges nothing and is sent nothing
/// more, while heartbeats continue.
#[test]
fn hanging_disk_is_not_fresh() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    group.run_for(Duration::from_secs(1));
    let leader = group.leader().expect("one leads");
    let follower = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    group.nodes.get_mut(follower).expect("it is one of them").slowest_sync =
        Duration::from_secs(1_000_000);
    for number in 1..=DOCUMENTS {
        let command = Command::PutDocument { number, body: "x".repeat(BODY_BYTES) };
        let proposal = group.propose(&leader, command);
        let held = Ok(CommandOutcome::DocumentHeld { number });
        let acknowledged = |group: &ReplicaGroup| group.outcomes.get(&proposal) == Some(&held);
        assert!(group.run_until(Duration::from_secs(2), acknowledged), "{number}");
    }
    group.run_for(Duration::from_secs(2));
    let replica = group.nodes[follower].replica.as_ref().expect("it runs");
    let status = replica.status(group.now);
    let number = replica.state().documents().document().number;
    assert!(number < DOCUMENTS, "the follower lacks documents");
    assert!(status.leader.is_some(), "heartbeats still arrive");
    assert!(!status.is_fresh, "it holds document {number} and counts as up to date");
}

/// Guards against entries of a failure domain that start without routes because their control VM
/// reports itself as up to date right after it was added with an empty disk.
#[test]
fn learner_is_not_fresh() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    group.run_with_repair(Duration::from_secs(10), 3);
    let leader = group.leader().expect("one leads");
    for number in 1..=DOCUMENTS {
        group.propose(&leader, Command::PutDocument { number, body: "x".repeat(BODY_BYTES) });
        group.run_for(Duration::from_millis(100));
    }
    let lost = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    group.crash(lost);
    group.lose_disk(lost);
    group.start(lost);
    let state = |group: &ReplicaGroup| {
        let replica = group.nodes[lost].replica.as_ref().expect("it runs");
        (replica.status(group.now).is_fresh, replica.state().documents().document().number)
    };
    let mut seen = Vec::new();
    for _ in 0..4_000 {
        group.run_with_repair(Duration::from_millis(1), 3);
        seen.push(state(&group));
    }
    assert!(seen.iter().all(|(fresh, number)| !fresh || *number == DOCUMENTS), "{seen:?}");
    assert_eq!(seen.last(), Some(&(true, DOCUMENTS)));
}

/// Guards against entries that leave every control VM after each change of the configuration
/// because none reports itself as up to date.
#[test]
fn healthy_followers_stay_fresh() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    group.run_with_repair(Duration::from_secs(10), 3);
    let leader = group.leader().expect("one leads");
    for number in 1..=DOCUMENTS {
        group.propose(&leader, Command::PutDocument { number, body: "x".repeat(BODY_BYTES) });
        for _ in 0..100 {
            group.run_for(Duration::from_millis(1));
            let fresh = |vm: &str| {
                group.nodes[vm].replica.as_ref().expect("it runs").status(group.now).is_fresh
            };
            assert!(["a", "b", "c"].into_iter().all(fresh), "{number}");
        }
    }
}
