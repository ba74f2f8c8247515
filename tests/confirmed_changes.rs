//! When a change of the configuration is confirmed, and what it then outlives.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::{Command, CommandOutcome, replica::LocalProposeError},
    replica_group::{NetworkFaults, ReplicaGroup},
    std::time::Duration,
};

const VMS: [&str; 3] = ["a", "b", "c"];

fn settled_group(seed: u64) -> (ReplicaGroup, String) {
    let mut group = ReplicaGroup::new(&VMS, seed);
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    group.run_for(Duration::from_secs(1));
    let leader = group.leader().expect("one leads");
    (group, leader)
}

fn put(number: u64) -> Command {
    Command::PutDocument { number, body: format!("document {number}") }
}

/// Replicas other than `leader` that have applied the document.
fn holders(group: &ReplicaGroup, leader: &str, number: u64) -> usize {
    let others = VMS.iter().filter(|vm| **vm != leader);
    let replicas = others.filter_map(|vm| group.nodes[*vm].replica.as_ref());
    let documents = replicas.map(|replica| replica.state().documents().document().number);
    documents.filter(|held| *held >= number).count()
}

/// Guards against entries that serve by a replaced configuration until the next leader is elected: a
/// leader that confirmed a change and was lost right after it was the only one to know that the change
/// was committed.
#[test]
fn confirmed_change_outlives_leader() {
    for seed in 0..100 {
        let (mut group, leader) = settled_group(seed);
        let proposal = group.propose(&leader, put(1));
        let confirmed = |group: &ReplicaGroup| group.outcomes.contains_key(&proposal);
        assert!(group.run_until(Duration::from_secs(2), confirmed), "seed {seed}");
        assert_eq!(group.outcomes[&proposal], Ok(CommandOutcome::DocumentHeld { number: 1 }));
        group.crash(&leader);
        assert!(holders(&group, &leader, 1) >= 1, "seed {seed}: only {leader} had applied it");
    }
}

/// The same where messages are lost, repeated and overtake each other: a reply to an earlier heartbeat
/// must not count for a later one.
#[test]
fn confirmed_despite_message_faults() {
    for seed in 0..200 {
        let (mut group, leader) = settled_group(seed);
        let delay = Duration::from_millis(60);
        group.faults = NetworkFaults { drop: 10, duplicate: 20, delay };
        for number in 1..=5 {
            let proposal = group.propose(&leader, put(number));
            let completed = |group: &ReplicaGroup| group.outcomes.contains_key(&proposal);
            assert!(group.run_until(Duration::from_secs(10), completed), "seed {seed}");
            if group.outcomes[&proposal].is_ok() {
                assert!(holders(&group, &leader, number) >= 1, "seed {seed}, document {number}");
            }
        }
    }
}

/// Guards against a leader that loses its lease to its own changes: the rounds of heartbeats whose
/// replies are still awaited are limited, and each confirmation needs one.
#[test]
fn many_changes_keep_leader() {
    let (mut group, leader) = settled_group(3);
    group.faults = NetworkFaults { delay: Duration::from_millis(100), ..group.faults };
    let before = group.leader_status().expect("one leads").term;
    let mut proposals = Vec::new();
    for number in 1..=1_000 {
        proposals.push(group.propose(&leader, put(number)));
        group.run_for(Duration::from_millis(1));
        let status = group.leader_status().expect("the lease is held");
        assert_eq!(status.term, before, "document {number}");
    }
    let all = |group: &ReplicaGroup| proposals.iter().all(|one| group.outcomes.contains_key(one));
    assert!(group.run_until(Duration::from_secs(10), all));
    assert!(proposals.iter().all(|proposal| group.outcomes[proposal].is_ok()));
}

/// Guards against changes that are confirmed by a leader which the others no longer hear.
#[test]
fn unknown_commit_is_not_confirmed() {
    let (mut group, leader) = settled_group(1);
    let proposal = group.propose(&leader, put(1));
    // The change is committed as soon as one other replica has replied; both are paused then, before
    // they learn of it.
    let committed = |group: &ReplicaGroup| {
        let replica = group.nodes[&leader].replica.as_ref();
        replica.is_some_and(|replica| replica.state().documents().document().number == 1)
    };
    assert!(group.run_until(Duration::from_secs(2), committed));
    for vm in VMS.iter().filter(|vm| **vm != leader) {
        group.pause(vm, Duration::from_secs(5));
    }
    group.run_for(Duration::from_secs(3));
    assert_eq!(group.outcomes.get(&proposal), Some(&Err(LocalProposeError::OutcomeUnknown)));
    assert!(group.run_until(Duration::from_secs(30), |group| holders(group, "", 1) == VMS.len()));
}

/// Guards against slow confirmations: replicas learn of a committed change with the next heartbeat,
/// which would delay each confirmation by up to a quarter of a second.
#[test]
fn confirmation_does_not_wait() {
    let (mut group, leader) = settled_group(2);
    for number in 1..=20 {
        let proposal = group.propose(&leader, put(number));
        let confirmed = |group: &ReplicaGroup| group.outcomes.contains_key(&proposal);
        assert!(group.run_until(Duration::from_millis(100), confirmed), "{number}");
    }
}
