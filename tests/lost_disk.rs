//! Loss of a voter's disk, and failure of a second voter right after the repair.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::{
        control::{
            Command, CommandOutcome,
            replica::{LocalProposeError, ReplicaRole},
        },
        ids::{Revision, VmId},
    },
    replica_group::{NetworkFaults, ReplicaGroup},
    std::time::Duration,
};

const WAIT: Duration = Duration::from_secs(20);

fn apply(
    group: &mut ReplicaGroup,
    expected: Revision,
) -> Result<CommandOutcome, LocalProposeError> {
    let leader = group.leader().expect("there is a leader");
    let body = format!(r#"{{"failure_domains":[{{"id":"domain-{expected}"}}]}}"#);
    let operation = format!("op-{expected}");
    let command = Command::ApplyRegister { operation, expected, body };
    let proposal = group.propose(&leader, command);
    assert!(group.run_until(WAIT, |group| group.outcomes.contains_key(&proposal)));
    group.outcomes[&proposal].clone()
}

fn role(group: &ReplicaGroup, vm: &str) -> ReplicaRole {
    let replica = group.nodes[vm].replica.as_ref();
    replica.map_or(ReplicaRole::Waiting, |replica| replica.role())
}

fn revision(group: &ReplicaGroup, vm: &str) -> Revision {
    group.nodes[vm].replica.as_ref().map_or(0, |replica| replica.config().revision)
}

fn empty_disk(group: &mut ReplicaGroup, vm: &str) {
    group.crash(vm);
    group.lose_disk(vm);
    group.start(vm);
}

fn replace(group: &mut ReplicaGroup, vm: &str) {
    let leader = group.leader().expect("there is a leader");
    let command = Command::ReplaceReplica { vm: vm.to_owned(), incarnation: None };
    let proposal = group.propose(&leader, command);
    let incarnation = group.nodes[vm].disk.incarnation;
    let voter = |group: &ReplicaGroup| {
        group.membership().is_some_and(|members| members.is_voter(vm, incarnation))
    };
    assert!(group.run_until(WAIT, voter), "{:?}", group.outcomes.get(&proposal));
}

fn formed(seed: u64) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], seed);
    assert!(group.run_until(WAIT, |group| group.leader().is_some()), "a group forms");
    for expected in 0..120 {
        let applied = Ok(CommandOutcome::Applied { revision: expected + 1 });
        assert_eq!(apply(&mut group, expected), applied);
    }
    group
}

/// No acknowledged change is lost. 120 changes are acknowledged, then the first replica's disk is
/// emptied and the replica is added again from a snapshot. Right after that a second replica loses
/// its disk, and the repaired one and the third continue.
#[test]
fn second_failure_after_repair() {
    let mut group = formed(5);
    for (expected, vm) in (120..).zip(["a", "b", "c"]) {
        empty_disk(&mut group, vm);
        let leads = |group: &ReplicaGroup| group.leader().is_some_and(|leader| leader != vm);
        assert!(group.run_until(WAIT, leads), "the others continue without {vm}");
        let seen = Duration::from_secs(2);
        group.run_for(seen);
        assert_eq!(role(&group, vm), ReplicaRole::Waiting, "{vm} does not rejoin by itself");
        replace(&mut group, vm);
        assert_eq!(
            apply(&mut group, expected),
            Ok(CommandOutcome::Applied { revision: expected + 1 })
        );
    }
    let all = |group: &ReplicaGroup| ["a", "b", "c"].iter().all(|vm| revision(group, vm) == 123);
    assert!(group.run_until(WAIT, all), "each disk has every change");
}

/// Without a quorum of intact disks no leader is elected. The replica that holds the last changes
/// is stopped, a second replica's disk is emptied, and the third, which never received those
/// changes, can only request the vote of the empty one. If the empty disk could vote, the third
/// would lead and the acknowledged changes would be lost.
#[test]
fn empty_disk_cannot_vote() {
    let mut group = formed(6);
    let leader = group.leader().expect("there is a leader");
    let others: Vec<VmId> = group.nodes.keys().filter(|vm| **vm != leader).cloned().collect();
    let (holder, late) = (&others[0], &others[1]);
    group.crash(late);
    assert_eq!(apply(&mut group, 120), Ok(CommandOutcome::Applied { revision: 121 }));
    group.crash(&leader);
    empty_disk(&mut group, holder);
    group.start(late);
    assert!(!group.run_until(WAIT, |group| group.leader().is_some()), "no replica may lead");
    group.start(&leader);
    assert!(group.run_until(WAIT, |group| group.leader().is_some()));
    assert_eq!(group.leader().as_ref(), Some(&leader), "only this replica holds the last change");
    replace(&mut group, &holder.clone());
    assert!(group.run_until(WAIT, |group| revision(group, late) == 121));
}

/// A founder that is emptied in the first seconds founds no second group. It is the founder that
/// writes founding memberships, and it receives probes that the others sent before the group was
/// founded. It must not treat them as probes of empty disks.
#[test]
fn emptied_founder_founds_nothing() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 7);
    let has_group = |group: &ReplicaGroup, vm: &str| group.nodes[vm].disk.hard_state.group;
    assert!(group.run_until(WAIT, |group| has_group(group, "b").is_some()));
    let founded = has_group(&group, "b");
    empty_disk(&mut group, "a");
    group.run_for(WAIT);
    assert_eq!(has_group(&group, "a"), None);
    assert_eq!(role(&group, "a"), ReplicaRole::Waiting);
    replace(&mut group, "a");
    assert_eq!(has_group(&group, "a"), founded);
}

/// A founder that loses its disk before the group is founded, and must not found one since, becomes
/// a voter with its new disk. If the founding came first, the others have their leader without it.
#[test]
fn disk_lost_before_founding() {
    for seed in 0..100 {
        let mut group = ReplicaGroup::new(&["a", "b", "c"], seed);
        group.faults =
            NetworkFaults { drop: 10, duplicate: 10, delay: Duration::from_millis(1 + seed) };
        let lost = ["b", "c"][(seed % 2) as usize];
        let up = Duration::from_millis(group.random_below(400));
        group.run_for(up);
        group.crash(lost);
        group.lose_disk(lost);
        let down = Duration::from_millis(group.random_below(5000));
        group.run_for(down);
        group.start_without_founding(lost);
        let led = group.run_until(WAIT, |group| group.leader().is_some());
        assert!(led, "seed {seed}: {lost} lost after {up:?}, back after {down:?}");
    }
}

/// The first founder may have founded the group before it lost its disk, so it does not found one
/// with a new disk that it must not found with.
#[test]
fn lost_first_founder_founds_nothing() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 10);
    group.crash("a");
    group.lose_disk("a");
    group.start_without_founding("a");
    assert!(!group.run_until(WAIT, |group| group.leader().is_some()));
    assert!(group.nodes.values().all(|node| node.disk.hard_state.group.is_none()));
}

/// A founder that missed the founding may vote. Two founders form the group and compact its first
/// entries while the third is partitioned; then one of the two fails. The third has lost nothing,
/// so it may vote although its log is empty.
#[test]
fn late_founder_votes() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 8);
    let founded = |group: &ReplicaGroup| group.nodes["a"].disk.hard_state.group.is_some();
    assert!(group.run_until(WAIT, founded));
    for vm in ["a", "b"] {
        group.blocked_links.insert((vm.to_owned(), "c".to_owned()));
    }
    assert!(group.run_until(WAIT, |group| group.leader().is_some()), "two are a quorum");
    for expected in 0..120 {
        let applied = Ok(CommandOutcome::Applied { revision: expected + 1 });
        assert_eq!(apply(&mut group, expected), applied);
    }
    assert_eq!(role(&group, "c"), ReplicaRole::Waiting);
    let leader = group.leader().expect("there is a leader");
    group.crash(&leader);
    group.blocked_links.clear();
    assert!(group.run_until(WAIT, |group| group.leader().is_some()), "the founder votes");
    assert!(group.run_until(WAIT, |group| revision(group, "c") == 120));
}

/// A replica that was removed without receiving the change can be added again. The first leader
/// removes the second replica, then the third, which is partitioned. The second is added again and
/// becomes leader. The third still has a membership without the current leader.
#[test]
fn removed_replica_rejoins() {
    let mut group = formed(9);
    let first = group.leader().expect("there is a leader");
    let others: Vec<VmId> = group.nodes.keys().filter(|vm| **vm != first).cloned().collect();
    let (second, third) = (&others[0], &others[1]);
    remove(&mut group, second);
    for other in [&first, second] {
        group.blocked_links.insert((other.clone(), third.clone()));
        group.blocked_links.insert((third.clone(), other.clone()));
    }
    remove(&mut group, third);
    replace(&mut group, second);
    // A restart clears the observed peers.
    group.crash(second);
    group.start(second);
    for _ in 0..40 {
        if group.leader().as_ref() == Some(second) {
            break;
        }
        group.pause(&first, Duration::from_millis(1500));
        group.run_for(Duration::from_secs(6));
    }
    assert_eq!(group.leader().as_ref(), Some(second));
    group.blocked_links.clear();
    group.run_for(WAIT);
    replace(&mut group, third);
}

fn remove(group: &mut ReplicaGroup, vm: &str) {
    let leader = group.leader().expect("there is a leader");
    let proposal = group.propose(&leader, Command::RemoveReplica { vm: vm.to_owned() });
    assert!(group.run_until(WAIT, |group| group.outcomes.contains_key(&proposal)));
    assert_eq!(group.outcomes[&proposal], Ok(CommandOutcome::MembershipChanged));
}
