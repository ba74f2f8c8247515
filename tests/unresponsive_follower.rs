//! What a leader sends to a follower that does not answer, while operators change long documents.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::Command,
    replica_group::ReplicaGroup,
    std::{iter::repeat_with, time::Duration},
};

const DOCUMENT_BYTES: usize = 1 << 20;
/// Several documents and one silent follower leave a quorum.
const DOCUMENTS: u64 = 5;
const SILENCE: Duration = Duration::from_secs(14);
/// How long a document is on its way over a slow link.
const SLOW_WAY: Duration = Duration::from_secs(6);
/// An accepted document is in force at a replica in touch within this.
const CATCH_UP: Duration = Duration::from_secs(2);

/// A long document under its number.
fn put(number: u64) -> Command {
    Command::PutDocument { number, body: "x".repeat(DOCUMENT_BYTES) }
}

/// A group whose leader has followers, and the name of one of them.
fn led_group(seed: u64) -> (ReplicaGroup, String) {
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

// Guards against memory that grows with the time for which a follower is silent.
#[test]
fn silent_one_is_not_sent_again() {
    for seed in 0..20 {
        let (mut group, silent) = led_group(seed);
        group.freeze(&silent, SILENCE);
        for number in 1..=DOCUMENTS {
            let leader = group.leader().expect("two of three are in touch");
            group.propose(&leader, put(number));
            group.run_for(SILENCE / DOCUMENTS as u32 / 2);
        }
        let waiting = group.waiting_bytes(&silent);
        let once = DOCUMENT_BYTES * DOCUMENTS as usize;
        assert!(waiting <= once + DOCUMENT_BYTES, "seed {seed}: {waiting} bytes wait");
    }
}

// Guards against a follower that stays behind once it answers again.
#[test]
fn thawed_one_catches_up() {
    for seed in 0..20 {
        let (mut group, silent) = led_group(seed);
        group.cut = repeat_with(|| silent.clone())
            .zip(group.nodes.keys().cloned())
            .flat_map(|(one, other)| [(one.clone(), other.clone()), (other, one)])
            .collect();
        let leader = group.leader().expect("two of three are in touch");
        for number in 1..=DOCUMENTS {
            group.propose(&leader, put(number));
            group.run_for(SILENCE / DOCUMENTS as u32);
        }
        group.cut.clear();
        let caught_up = |group: &ReplicaGroup| held(group, &silent) == DOCUMENTS;
        assert!(group.run_until(CATCH_UP, caught_up), "seed {seed}");
    }
}

// Guards against a follower that stays behind because it was idle before it was cut off.
#[test]
fn idle_one_catches_up() {
    let (mut group, silent) = led_group(1);
    group.run_for(SILENCE * 3);
    let leader = group.leader().expect("all are in touch");
    group.cut = [(leader.clone(), silent.clone())].into();
    group.propose(&leader, put(1));
    group.run_for(Duration::from_millis(300));
    group.cut.clear();
    let caught_up = |group: &ReplicaGroup| held(group, &silent) == 1;
    assert!(group.run_until(CATCH_UP, caught_up));
}

// Guards against copies of a long document that slow each other down on a slow link.
#[test]
fn slow_one_gets_few_copies() {
    let (mut group, follower) = led_group(1);
    group.bulk_delay = SLOW_WAY;
    let leader = group.leader().expect("one leads");
    group.propose(&leader, put(1));
    group.run_for(SLOW_WAY - Duration::from_millis(100));
    // At first, and after waits that double from half a second: 3.5 s in all.
    let waiting = group.waiting_bytes(&follower);
    assert!((DOCUMENT_BYTES..5 * DOCUMENT_BYTES).contains(&waiting), "{waiting} bytes wait");
    let arrived = |group: &ReplicaGroup| held(group, &follower) == 1;
    assert!(group.run_until(CATCH_UP, arrived));
    assert_eq!(group.leader(), Some(leader), "the followers hear it meanwhile");
}

// Guards against long documents that are sent twice because what follows them overtakes them.
#[test]
fn nothing_overtakes_a_long_one() {
    let (mut group, follower) = led_group(1);
    let leader = group.leader().expect("one leads");
    group.freeze(&follower, SILENCE);
    group.propose(&leader, put(1));
    let before = group.waiting_bytes(&follower);
    for version in 1..=20 {
        let model = "basket-llm".to_owned();
        group.propose(&leader, Command::NameWeights { model, version });
    }
    assert!(before > DOCUMENT_BYTES && group.waiting_bytes(&follower) == before);
}
