//! Messages of a leader to a follower that does not reply, while operators change long documents.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::Command,
    replica_group::ReplicaGroup,
    std::{iter::repeat_with, time::Duration},
};

const DOCUMENT_BYTES: usize = 1 << 20;
/// Several documents; the remaining replicas form a quorum without the follower.
const DOCUMENTS: u64 = 5;
const OUTAGE: Duration = Duration::from_secs(14);
/// Time that a document takes over a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_secs(6);
/// Time within which an accepted document is applied by a connected replica.
const CATCH_UP: Duration = Duration::from_secs(2);

/// Command for a long document.
fn put(number: u64) -> Command {
    Command::PutDocument { number, body: "x".repeat(DOCUMENT_BYTES) }
}

/// Returns a group with a leader, and the name of one of its followers.
fn group_with_leader(seed: u64) -> (ReplicaGroup, String) {
    let mut group = ReplicaGroup::new(&["vm-a", "vm-b", "vm-c"], seed);
    assert!(group.run_until(Duration::from_secs(10), |group| group.leader().is_some()));
    let leader = group.leader().expect("one leads");
    let follower = group.nodes.keys().find(|vm| **vm != leader).cloned();
    (group, follower.expect("there are three"))
}

fn held(group: &ReplicaGroup, vm: &str) -> u64 {
    let replica = group.nodes[vm].replica.as_ref().expect("it runs");
    replica.state().documents().document().number
}

// Guards against memory that grows as long as a follower is unresponsive.
#[test]
fn unresponsive_follower_gets_no_copies() {
    for seed in 0..20 {
        let (mut group, follower) = group_with_leader(seed);
        group.pause(&follower, OUTAGE);
        for number in 1..=DOCUMENTS {
            let leader = group.leader().expect("two of three are connected");
            group.propose(&leader, put(number));
            group.run_for(OUTAGE / DOCUMENTS as u32 / 2);
        }
        let waiting = group.waiting_bytes(&follower);
        let once = DOCUMENT_BYTES * DOCUMENTS as usize;
        assert!(waiting <= once + DOCUMENT_BYTES, "seed {seed}: {waiting} bytes are in transit");
    }
}

// Guards against a follower that does not catch up after a partition.
#[test]
fn reconnected_follower_catches_up() {
    for seed in 0..20 {
        let (mut group, follower) = group_with_leader(seed);
        group.blocked_links = repeat_with(|| follower.clone())
            .zip(group.nodes.keys().cloned())
            .flat_map(|(one, other)| [(one.clone(), other.clone()), (other, one)])
            .collect();
        let leader = group.leader().expect("two of three are connected");
        for number in 1..=DOCUMENTS {
            group.propose(&leader, put(number));
            group.run_for(OUTAGE / DOCUMENTS as u32);
        }
        group.blocked_links.clear();
        let caught_up = |group: &ReplicaGroup| held(group, &follower) == DOCUMENTS;
        assert!(group.run_until(CATCH_UP, caught_up), "seed {seed}");
    }
}

// Guards against a follower that does not catch up because it was idle before the partition.
#[test]
fn idle_follower_catches_up() {
    let (mut group, follower) = group_with_leader(1);
    group.run_for(OUTAGE * 3);
    let leader = group.leader().expect("all are connected");
    group.blocked_links = [(leader.clone(), follower.clone())].into();
    group.propose(&leader, put(1));
    group.run_for(Duration::from_millis(300));
    group.blocked_links.clear();
    let caught_up = |group: &ReplicaGroup| held(group, &follower) == 1;
    assert!(group.run_until(CATCH_UP, caught_up));
}

// Guards against retransmissions of a long document that delay each other on a slow link.
#[test]
fn slow_link_gets_few_copies() {
    let (mut group, follower) = group_with_leader(1);
    group.bulk_delay = SLOW_LINK_DELAY;
    let leader = group.leader().expect("one leads");
    group.propose(&leader, put(1));
    group.run_for(SLOW_LINK_DELAY - Duration::from_millis(100));
    // The first copy and those sent after delays that double from half a second: 3.5 s in total.
    let waiting = group.waiting_bytes(&follower);
    assert!(
        (DOCUMENT_BYTES..5 * DOCUMENT_BYTES).contains(&waiting),
        "{waiting} bytes are in transit"
    );
    let arrived = |group: &ReplicaGroup| held(group, &follower) == 1;
    assert!(group.run_until(CATCH_UP, arrived));
    assert_eq!(group.leader(), Some(leader), "its heartbeats arrive meanwhile");
}

// Guards against long documents that are sent twice because later appends overtake them.
#[test]
fn appends_do_not_overtake_long_document() {
    let (mut group, follower) = group_with_leader(1);
    let leader = group.leader().expect("one leads");
    group.pause(&follower, OUTAGE);
    group.propose(&leader, put(1));
    let before = group.waiting_bytes(&follower);
    for version in 1..=20 {
        let model = "basket-llm".to_owned();
        group.propose(&leader, Command::NameWeights { model, version });
    }
    assert!(before > DOCUMENT_BYTES && group.waiting_bytes(&follower) == before);
}
