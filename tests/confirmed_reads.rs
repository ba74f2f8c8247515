//! Reads of the document in force, which a quorum confirms.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::{
        control::{Command, replica::LocalProposeError},
        ids::DocumentNumber,
    },
    replica_group::{NetworkFaults, ReplicaGroup},
    std::{collections::BTreeMap, time::Duration},
};

const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn settled_group(voters: usize, seed: u64) -> (ReplicaGroup, String) {
    let mut group = ReplicaGroup::new(&VMS[..voters], seed);
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    group.run_for(Duration::from_secs(1));
    let leader = group.leader().expect("one leads");
    (group, leader)
}

fn put(number: DocumentNumber) -> Command {
    Command::PutDocument { number, body: format!("document {number}") }
}

/// Has the present leader confirm a document.
fn confirm(group: &mut ReplicaGroup, number: DocumentNumber) {
    assert!(group.run_until(Duration::from_secs(30), |group| group.leader().is_some()));
    let leader = group.leader().expect("one leads");
    let proposal = group.propose(&leader, put(number));
    let is_confirmed =
        |group: &ReplicaGroup| group.outcomes.get(&proposal).is_some_and(Result::is_ok);
    assert!(group.run_until(Duration::from_secs(5), is_confirmed), "document {number}");
}

/// Guards against a leader that reads a replaced document after its VM was suspended: its clock did not
/// count the suspension, so that its lease seemed valid until it heard of the next term.
#[test]
fn suspended_leader_reads_nothing() {
    for seed in 0..100 {
        let (mut group, leader) = settled_group(3, seed);
        confirm(&mut group, 1);
        let pause = Duration::from_secs(5);
        group.suspend(&leader, pause);
        let resumed_at = group.now + pause;
        // Its lease, counted by all clocks but its own, ends.
        group.run_for(Duration::from_secs(1));
        confirm(&mut group, 2);
        group.run_for(resumed_at - group.now);
        // The first input after the suspension, before all messages that wait.
        let read = group.read(&leader);
        let is_completed = |group: &ReplicaGroup| group.reads.contains_key(&read);
        assert!(group.run_until(Duration::from_secs(1), is_completed), "seed {seed}");
        let outcome = &group.reads[&read];
        assert!(
            matches!(outcome, Err(LocalProposeError::NotLeader { .. })),
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Every read contains what was confirmed before it, whatever happens to messages, processes and clocks.
#[test]
fn reads_contain_confirmed_changes() {
    let (mut answered, mut failed) = (0, 0);
    for seed in 0..150 {
        let voters = if seed % 2 == 0 { 3 } else { 5 };
        let (mut group, _) = settled_group(voters, seed);
        let delay = Duration::from_millis(1 + seed % 80);
        group.faults = NetworkFaults { drop: seed % 10, duplicate: seed % 20, delay };
        let (mut required, mut proposed) = (BTreeMap::new(), BTreeMap::new());
        for number in 1..=150 {
            let vm = VMS[group.random_below(voters as u64) as usize];
            let leader = group.leader().unwrap_or_else(|| vm.to_owned());
            let pause = Duration::from_millis(group.random_below(4_000));
            match group.random_below(30) {
                0 => group.suspend(&leader, pause),
                1 => group.pause(&leader, pause),
                2 => group.suspend(vm, pause),
                3 => group.crash(vm),
                _ => VMS[..voters].iter().for_each(|vm| group.start(vm)),
            }
            proposed.insert(group.propose(&leader, put(number)), number);
            let confirmed = group.outcomes.iter().filter(|(_, outcome)| outcome.is_ok());
            let newest = confirmed.filter_map(|(proposal, _)| proposed.get(proposal)).max();
            let newest = newest.copied().unwrap_or(0);
            for vm in &VMS[..voters] {
                required.insert(group.read(vm), newest);
            }
            let pause = Duration::from_millis(group.random_below(200));
            group.run_for(pause);
        }
        for (read, outcome) in &group.reads {
            match outcome {
                Ok(number) => {
                    answered += 1;
                    let expected = required[read];
                    assert!(*number >= expected, "seed {seed}: {number}, not {expected}");
                }
                Err(_) => failed += 1,
            }
        }
    }
    assert!(answered > 5_000 && failed > 5_000, "{answered} and {failed}");
}

/// Guards against a round of messages for each read: those that arrive while one is under way share the
/// next one.
#[test]
fn reads_share_rounds() {
    for voters in [3, 5] {
        let (mut group, leader) = settled_group(voters, 2);
        let before = group.sent;
        let reads: Vec<u64> = (0..500)
            .map(|_| {
                let read = group.read(&leader);
                group.run_for(Duration::from_micros(200));
                read
            })
            .collect();
        let all = |group: &ReplicaGroup| reads.iter().all(|read| group.reads.contains_key(read));
        assert!(group.run_until(Duration::from_millis(50), all), "{voters} voters");
        assert!(reads.iter().all(|read| group.reads[read] == Ok(0)));
        // A round takes at least the least delay of a message and its reply, 0.2 ms, on average 2.2 ms.
        let others = voters as u64 - 1;
        let rounds = (group.sent - before) / (2 * others);
        assert!(rounds < 200, "{voters} voters: {rounds} rounds for 500 reads");
    }
}

/// A read does not wait for the next heartbeat.
#[test]
fn reads_do_not_wait() {
    let (mut group, leader) = settled_group(3, 4);
    for _ in 0..20 {
        let read = group.read(&leader);
        let is_completed = |group: &ReplicaGroup| group.reads.contains_key(&read);
        assert!(group.run_until(Duration::from_millis(20), is_completed));
        group.run_for(Duration::from_millis(30));
    }
}

/// A leader that reaches no quorum answers no read, and says so within the time of an election.
#[test]
fn minority_reads_nothing() {
    let (mut group, leader) = settled_group(5, 5);
    for vm in VMS.iter().filter(|vm| **vm != leader) {
        group.blocked_links.insert(((*vm).to_owned(), leader.clone()));
        group.blocked_links.insert((leader.clone(), (*vm).to_owned()));
    }
    let reads = [group.read(&leader), group.read(&leader)];
    group.run_for(Duration::from_millis(1_300));
    for read in reads {
        assert!(matches!(group.reads.get(&read), Some(Err(_))), "{:?}", group.reads.get(&read));
    }
}

/// A group of one replica reads without messages.
#[test]
fn single_replica_reads() {
    let (mut group, leader) = settled_group(1, 6);
    confirm(&mut group, 1);
    let read = group.read(&leader);
    assert_eq!(group.reads.get(&read), Some(&Ok(1)));
}

/// The number of reads that wait is bounded like that of proposals.
#[test]
fn waiting_reads_are_bounded() {
    let (mut group, leader) = settled_group(3, 7);
    let reads: Vec<u64> = (0..5_000).map(|_| group.read(&leader)).collect();
    let busy = reads
        .iter()
        .filter(|read| matches!(group.reads.get(*read), Some(Err(LocalProposeError::Busy))));
    assert_eq!(busy.count(), 5_000 - 4_096);
}
