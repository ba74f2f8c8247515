//! Discovery of a leader that is not named in any settings: replicas outside the group know only
//! the founders.

#[path = "fakes/replica_group.rs"]
mod replica_group;

use {
    oleandermount::{
        control::{Command, CommandOutcome},
        ids::VmId,
    },
    replica_group::ReplicaGroup,
    std::time::Duration,
};

/// VMs named in all settings.
const FOUNDERS: [&str; 3] = ["a", "b", "c"];
const VOTERS: usize = 5;
const SEED: u64 = 3;
/// Time for several repairs, each after a voter counts as unresponsive.
const REPAIR_TIME: Duration = Duration::from_secs(15);
/// Time for an election, including one without a winner.
const ELECTION_TIME: Duration = Duration::from_secs(6);

/// Creates a group of five voters: the founders and two of `others`. The remaining VMs are spares.
fn large_group(others: &[&str]) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(&FOUNDERS, SEED);
    for vm in others {
        group.lose_disk(vm);
        group.start(vm);
    }
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    assert!(is_repaired(&group));
    group
}

fn is_repaired(group: &ReplicaGroup) -> bool {
    let voters = group.membership().map_or(0, |members| members.voters.len());
    group.is_intact() && voters == VOTERS
}

/// Restarts leaders until the leader is no founder.
fn elect_non_founder(group: &mut ReplicaGroup) -> VmId {
    for _ in 0..30 {
        let leader = group.leader().expect("one leads");
        if !FOUNDERS.contains(&leader.as_str()) {
            return leader;
        }
        group.crash(&leader);
        group.run_until(ELECTION_TIME, |group| group.leader().is_some());
        group.start(&leader);
        group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    }
    panic!("founders alone are elected");
}

fn empty_disk(group: &mut ReplicaGroup, vm: &str) {
    if group.nodes.contains_key(vm) {
        group.crash(vm);
    }
    group.lose_disk(vm);
    group.start(vm);
}

/// Voters other than the leader.
fn followers(group: &ReplicaGroup) -> Vec<VmId> {
    let leader = group.leader();
    let members = group.membership().expect("it was founded");
    members.voters.into_keys().filter(|vm| Some(vm) != leader.as_ref()).collect()
}

/// Guards against an emptied voter that is never added again because it probes only the founders
/// and the leader is none of them.
#[test]
fn emptied_voter_returns() {
    let mut group = large_group(&["d", "e", "f"]);
    elect_non_founder(&mut group);
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    assert!(is_repaired(&group), "{lost}: {:?}", group.leader_status());
}

/// Guards against the loss of the last configuration: a lost voter was not replaced, then all VMs
/// lose power and two more disks are lost.
#[test]
fn survives_successive_losses() {
    let mut group = large_group(&["d", "e", "f"]);
    let leader = elect_non_founder(&mut group);
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    let command = Command::PutDocument { number: 7, body: "routes".to_owned() };
    let proposal = group.propose(&leader, command);
    let held = Ok(CommandOutcome::DocumentHeld { number: 7 });
    let acknowledged = |group: &ReplicaGroup| group.outcomes.get(&proposal) == Some(&held);
    assert!(group.run_until(Duration::from_secs(2), acknowledged));
    let second = followers(&group).into_iter().find(|vm| *vm != lost).expect("there are others");
    let vms: Vec<VmId> = group.nodes.keys().cloned().collect();
    vms.iter().for_each(|vm| group.crash(vm));
    group.lose_disk(&leader);
    group.lose_disk(&second);
    vms.iter().for_each(|vm| group.start(vm));
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    let leader = group.leader().expect("the group has a leader");
    let replica = group.nodes[&leader].replica.as_ref().expect("it runs");
    assert_eq!(replica.state().documents().document().number, 7);
    assert!(is_repaired(&group));
}

/// Creates a group of five voters without founders; the founders are down.
fn group_without_founders() -> ReplicaGroup {
    let mut group = large_group(&["d", "e", "f", "g", "h"]);
    for founder in FOUNDERS {
        group.crash(founder);
        group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    }
    assert!(followers(&group).iter().all(|vm| !FOUNDERS.contains(&vm.as_str())));
    group
}

/// Guards against an emptied voter that never joins because all VMs named in its settings are down.
#[test]
fn found_without_founders() {
    let mut group = group_without_founders();
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    assert!(is_repaired(&group), "{lost}: {:?}", group.leader_status());
}

/// Guards against a new VM that never joins: one of the VMs named in its settings is down, and the
/// others are outside the group with empty disks and know no members.
#[test]
fn found_through_empty_replicas() {
    let mut group = group_without_founders();
    ["a", "b", "i"].into_iter().for_each(|vm| empty_disk(&mut group, vm));
    group.run_with_repair(REPAIR_TIME, FOUNDERS.len());
    let status = group.leader_status().expect("one leads");
    assert!(status.non_members.contains_key("i"), "{status:?}");
}
