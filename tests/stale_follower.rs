//! A follower that hears the leader without having what is committed.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::{Command, CommandOutcome},
    replica_group::ReplicaGroup,
    std::time::Duration,
};

/// Longer than what one append carries in these groups, so that each takes one of its own.
const BODY_BYTES: usize = 3_000;
const DOCUMENTS: u64 = 12;

/// Entries stay with a follower that calls itself up to date, and refuse callers of new routes: its
/// disk hangs, so it acknowledges nothing and is sent nothing more, while heartbeats go on.
#[test]
fn hanging_disk_shows() {
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
    assert!(number < DOCUMENTS, "the load proves nothing");
    assert!(status.leader.is_some(), "the load proves nothing");
    assert!(!status.is_fresh, "it holds document {number} and counts as up to date");
}

/// Entries of a failure domain start without routes: its control VM has just been taken in with an
/// empty disk, and calls itself up to date before it has anything.
#[test]
fn learner_shows() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    group.heal_for(Duration::from_secs(10), 3);
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
        group.heal_for(Duration::from_millis(1), 3);
        seen.push(state(&group));
    }
    assert!(seen.iter().all(|(fresh, number)| !fresh || *number == DOCUMENTS), "{seen:?}");
    assert_eq!(seen.last(), Some(&(true, DOCUMENTS)));
}

/// Entries leave every control VM after each change of configuration, and find none that is up to date.
#[test]
fn sound_followers_stay_fresh() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    group.heal_for(Duration::from_secs(10), 3);
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
