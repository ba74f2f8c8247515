//! The leader replaces lost replicas by itself.
//!
//! Guards against the loss of the configuration after two control VMs were replaced one after the
//! other. An empty disk replaces the first lost voter but is not added to the group; then the
//! second voter is lost, and one of three voters is no quorum.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::control::{
        Command, CommandOutcome, Membership,
        healing::{VOTER_TIMEOUT, next_repair, target_voters},
        replica::ReplicaStatus,
    },
    replica_group::{NetworkFaults, ReplicaGroup},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const VOTERS: usize = 3;

fn names<V: Clone>(entries: &[(&str, V)]) -> BTreeMap<String, V> {
    entries.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect()
}

fn leader(now: Instant) -> ReplicaStatus {
    ReplicaStatus {
        members: Membership {
            voters: names(&[("vm-a", 1), ("vm-b", 2), ("vm-c", 3)]),
            learners: BTreeMap::new(),
        },
        last_replies: names(&[("vm-b", now), ("vm-c", now)]),
        lease_until: Some(now + Duration::from_secs(1)),
        ..ReplicaStatus::default()
    }
}

fn added(vm: &str, disk: u64) -> Option<Command> {
    Some(Command::ReplaceReplica { vm: vm.to_owned(), incarnation: Some(disk) })
}

#[test]
fn empty_disk_replaces_voter() {
    let now = Instant::now();
    let healthy = leader(now);
    assert_eq!(next_repair(now, &healthy, VOTERS), None);
    let wiped = ReplicaStatus { non_members: names(&[("vm-b", 9)]), ..healthy };
    assert_eq!(next_repair(now, &wiped, VOTERS), added("vm-b", 9));
}

#[test]
fn spare_replaces_unresponsive_voter() {
    let now = Instant::now();
    let mut status = ReplicaStatus { non_members: names(&[("vm-d", 4)]), ..leader(now) };
    assert_eq!(next_repair(now, &status, VOTERS), None, "no voter is missing");
    status.last_replies.insert("vm-c".to_owned(), now - VOTER_TIMEOUT - Duration::from_millis(1));
    assert_eq!(next_repair(now, &status, VOTERS), added("vm-d", 4));
    status.members.learners.insert("vm-d".to_owned(), 4);
    status.non_members.clear();
    assert_eq!(next_repair(now, &status, VOTERS), None, "it catches up first");
    status.members.learners.clear();
    status.members.voters.insert("vm-d".to_owned(), 4);
    status.last_replies.insert("vm-d".to_owned(), now);
    let removed = Some(Command::RemoveReplica { vm: "vm-c".to_owned() });
    assert_eq!(next_repair(now, &status, VOTERS), removed);
}

/// Guards against a leader that repeatedly adds a lost disk and removes it as unresponsive while a
/// working replica is available.
#[test]
fn lost_disk_is_not_added() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    let has_leader = |group: &ReplicaGroup| group.leader().is_some();
    assert!(group.run_until(Duration::from_secs(30), has_leader), "a group forms");
    group.lose_disk("d");
    group.start("d");
    group.run_for(Duration::from_secs(1));
    let non_members = |group: &ReplicaGroup| {
        let leader = group.leader().and_then(|leader| group.nodes[&leader].replica.clone());
        leader.expect("one leads").status(group.now).non_members
    };
    assert!(non_members(&group).contains_key("d"), "it sends probes");
    group.crash("d");
    group.run_for(Duration::from_secs(3));
    assert!(non_members(&group).is_empty(), "its observation has expired");
}

/// Without a lease another leader may exist, and the two could make conflicting repairs.
#[test]
fn repair_requires_lease() {
    let now = Instant::now();
    let non_members = names(&[("vm-b", 9)]);
    for lease_until in [None, Some(now)] {
        let status = ReplicaStatus { non_members: non_members.clone(), lease_until, ..leader(now) };
        assert_eq!(next_repair(now, &status, VOTERS), None);
    }
}

/// Guards against a learner that blocks all repairs. A spare is added as a learner in place of an
/// unresponsive voter, and its VM is lost before it has caught up; every later repair would wait
/// for it.
#[test]
fn lost_learner_is_removed() {
    let now = Instant::now();
    let mut status = ReplicaStatus { non_members: names(&[("vm-e", 5)]), ..leader(now) };
    let long_ago = now - VOTER_TIMEOUT - Duration::from_millis(1);
    status.members.learners.insert("vm-d".to_owned(), 4);
    status.last_replies.insert("vm-c".to_owned(), long_ago);
    status.last_replies.insert("vm-d".to_owned(), now);
    assert_eq!(next_repair(now, &status, VOTERS), None, "it is catching up");
    status.last_replies.insert("vm-d".to_owned(), long_ago);
    let removed = Some(Command::RemoveReplica { vm: "vm-d".to_owned() });
    assert_eq!(next_repair(now, &status, VOTERS), removed);
}

/// Six control VMs tolerate the simultaneous loss of two disks. Guards against the loss of the last
/// configuration: with three voters, one of the others acknowledges a change, all VMs lose power,
/// and two disks that had written the change return empty; one of three voters is no quorum.
#[test]
fn two_disks_lost_together() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 3);
    for vm in ["d", "e", "f"] {
        group.lose_disk(vm);
        group.start(vm);
    }
    group.run_with_repair(Duration::from_secs(10), VOTERS);
    let leader = group.leader().expect("one leads");
    let command = Command::PutDocument { number: 7, body: "routes".to_owned() };
    let proposal = group.propose(&leader, command);
    let held = Ok(CommandOutcome::DocumentHeld { number: 7 });
    assert!(
        group.run_until(Duration::from_secs(2), |group| group.outcomes.get(&proposal)
            == Some(&held))
    );
    let second = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    let vms: Vec<String> = group.nodes.keys().cloned().collect();
    vms.iter().for_each(|vm| group.crash(vm));
    group.lose_disk(&leader);
    group.lose_disk(second);
    vms.iter().for_each(|vm| group.start(vm));
    group.run_with_repair(Duration::from_secs(10), VOTERS);
    let status = group.leader_status().expect("the group has a leader");
    let replica = group.nodes[&group.leader().expect("one leads")].replica.as_ref();
    let number = replica.expect("it runs").state().documents().document().number;
    assert_eq!((number, status.members.voters.len(), status.members.learners.len()), (7, 5, 0));
}

/// A group of three with one spare VM stays at three voters, because four voters tolerate no more
/// losses than three.
#[test]
fn single_spare_is_not_added() {
    let now = Instant::now();
    let status = ReplicaStatus { non_members: names(&[("vm-d", 4)]), ..leader(now) };
    assert_eq!(target_voters(&status, VOTERS), VOTERS);
    let status = ReplicaStatus { non_members: names(&[("vm-d", 4), ("vm-e", 5)]), ..leader(now) };
    assert_eq!(target_voters(&status, VOTERS), 5);
}

/// Guards against the removal of a replica that was just added and has had no time to reply. The
/// leader has led for a long time, an empty disk is added, and its first reply takes longer than
/// the leader's next check. The replica would be removed within a quarter of a second, and the
/// group would stay one voter short.
#[test]
fn new_learner_has_time_to_reply() {
    let mut group = ReplicaGroup::new(&["a", "b", "c"], 1);
    group.run_with_repair(VOTER_TIMEOUT * 3, VOTERS);
    let leader = group.leader().expect("one leads");
    let lost = ["a", "b", "c"].into_iter().find(|vm| *vm != leader).expect("there are others");
    group.crash(lost);
    group.lose_disk(lost);
    group.start(lost);
    let seen = |group: &ReplicaGroup| {
        group.leader_status().is_some_and(|status| !status.non_members.is_empty())
    };
    assert!(group.run_until(Duration::from_secs(2), seen), "it sends probes");
    let status = group.leader_status().expect("one leads");
    let command = next_repair(group.now, &status, VOTERS).expect("the replica is due to be added");
    group.propose(&leader, command);
    group.faults = NetworkFaults { drop: 0, duplicate: 0, delay: Duration::from_millis(400) };
    group.run_for(Duration::from_millis(50));
    let status = group.leader_status().expect("one leads");
    assert_eq!(status.members.learners.len(), 1, "it is added");
    assert_eq!(next_repair(group.now, &status, VOTERS), None);
}
