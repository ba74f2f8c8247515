//! A leader that no settings name: replicas outside the group know the founders alone.

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

/// The VMs that all settings name.
const FOUNDERS: [&str; 3] = ["a", "b", "c"];
const VOTERS: usize = 5;
const SEED: u64 = 3;
/// Several repairs, each after the silence that makes a voter missed.
const REPAIR_TIME: Duration = Duration::from_secs(15);
/// An election, with room for one that nobody wins.
const ELECTION_TIME: Duration = Duration::from_secs(6);

/// A group of five voters: the founders and two of `others`; the rest of these stand by.
fn large_group(others: &[&str]) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(&FOUNDERS, SEED);
    for vm in others {
        group.lose_disk(vm);
        group.start(vm);
    }
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
    assert!(is_whole(&group));
    group
}

fn is_whole(group: &ReplicaGroup) -> bool {
    let voters = group.membership().map_or(0, |members| members.voters.len());
    group.is_intact() && voters == VOTERS
}

/// Restarts leaders until one leads that is no founder.
fn elect_unnamed(group: &mut ReplicaGroup) -> VmId {
    for _ in 0..30 {
        let leader = group.leader().expect("one leads");
        if !FOUNDERS.contains(&leader.as_str()) {
            return leader;
        }
        group.crash(&leader);
        group.run_until(ELECTION_TIME, |group| group.leader().is_some());
        group.start(&leader);
        group.heal_for(REPAIR_TIME, FOUNDERS.len());
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

/// The voters, without the leader.
fn followers(group: &ReplicaGroup) -> Vec<VmId> {
    let leader = group.leader();
    let members = group.membership().expect("it was founded");
    members.voters.into_keys().filter(|vm| Some(vm) != leader.as_ref()).collect()
}

/// An emptied voter is never taken in again: it asks the founders, and the leader is none of them.
#[test]
fn emptied_voter_returns() {
    let mut group = large_group(&["d", "e", "f"]);
    elect_unnamed(&mut group);
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
    assert!(is_whole(&group), "{lost}: {:?}", group.led_status());
}

/// The last configuration is gone and no further one is taken: a voter that was lost before was not
/// replaced when the power goes and two more disks are lost.
#[test]
fn losses_by_turns_are_borne() {
    let mut group = large_group(&["d", "e", "f"]);
    let leader = elect_unnamed(&mut group);
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
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
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
    let leader = group.leader().expect("the group goes on");
    let replica = group.nodes[&leader].replica.as_ref().expect("it runs");
    assert_eq!(replica.state().documents().document().number, 7);
    assert!(is_whole(&group));
}

/// Five voters, none of them a founder; the founders are down.
fn group_without_founders() -> ReplicaGroup {
    let mut group = large_group(&["d", "e", "f", "g", "h"]);
    for founder in FOUNDERS {
        group.crash(founder);
        group.heal_for(REPAIR_TIME, FOUNDERS.len());
    }
    assert!(followers(&group).iter().all(|vm| !FOUNDERS.contains(&vm.as_str())));
    group
}

/// An emptied voter stands by for ever: all VMs that its settings name are down.
#[test]
fn found_without_founders() {
    let mut group = group_without_founders();
    let lost = followers(&group).pop().expect("there are others");
    empty_disk(&mut group, &lost);
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
    assert!(is_whole(&group), "{lost}: {:?}", group.led_status());
}

/// A VM that is new stands by for ever: of the VMs that its settings name one is down, and the others
/// came back outside the group with empty disks that know nobody.
#[test]
fn found_through_strangers() {
    let mut group = group_without_founders();
    ["a", "b", "i"].into_iter().for_each(|vm| empty_disk(&mut group, vm));
    group.heal_for(REPAIR_TIME, FOUNDERS.len());
    let status = group.led_status().expect("one leads");
    assert!(status.non_members.contains_key("i"), "{status:?}");
}
