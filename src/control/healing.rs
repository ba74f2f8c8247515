//! Automatic repair: the membership changes that a leader makes by itself to replace a lost replica
//! before the next one is lost.
//!
//! Without repair, a group of three that has lost a disk does not survive a second loss: its last
//! change is then neither readable nor durable. The leader receives the probes of disks that belong
//! to no group. An empty disk on the VM of a member takes the place of that member. An empty disk
//! on another VM is added while a voter is unresponsive, and the unresponsive voter is removed once
//! the new one is a voter. Each step is one committed membership change, which the replica refuses
//! if the quorum after it does not respond.
//!
//! Three voters tolerate one lost disk. With enough further control VMs the group grows to five
//! voters, so that two disks may be lost at the same moment.

use {
    super::{Command, replica::ReplicaStatus},
    crate::ids::{Incarnation, VmId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time without a reply after which a member counts as unresponsive. It is longer than a restart
/// takes, and short compared with the seconds after which the next loss may follow.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of voters if at least this many control VMs are known. Two lost disks leave a quorum, and
/// each write still waits for only three disks.
const LARGE_GROUP: usize = 5;

/// Number of voters that a group of `founders` should have, given the control VMs that are
/// currently known.
///
/// Unresponsive members count as well. If the group shrank whenever a failure domain is cut off, it
/// would tolerate fewer losses exactly while a loss is more likely.
pub fn target_voters(status: &ReplicaStatus, founders: usize) -> usize {
    let members = status.members.members().count();
    let spares = status.non_members.keys().filter(|vm| status.members.incarnation(vm).is_none());
    if members + spares.count() >= LARGE_GROUP { LARGE_GROUP.max(founders) } else { founders }
}

/// Next membership change, or `None` if none is due; `voters` is the target number of voters.
pub fn next_repair(now: Instant, status: &ReplicaStatus, voters: usize) -> Option<Command> {
    status.lease_until.filter(|until| now < *until)?;
    let members = &status.members;
    if let Some((vm, disk)) = status
        .non_members
        .iter()
        .find(|(vm, disk)| members.incarnation(vm).is_some_and(|known| known != **disk))
    {
        return Some(add_replica(vm, *disk));
    }
    // A learner that is lost before it has caught up would block every later repair.
    if let Some(vm) = unresponsive_member(now, status, &members.learners) {
        return Some(Command::RemoveReplica { vm });
    }
    if !members.learners.is_empty() {
        return None;
    }
    let unresponsive = unresponsive_member(now, status, &members.voters);
    if members.voters.len() > voters {
        // A replaced voter may become responsive again. An even number of voters tolerates no
        // more losses and makes each write wait for one more disk.
        let surplus = oldest_reply(status, &members.voters).map(|(vm, _)| vm);
        return surplus.map(|vm| Command::RemoveReplica { vm });
    }
    if members.voters.len() < voters || unresponsive.is_some() {
        let spare = status.non_members.iter().find(|(vm, _)| members.incarnation(vm).is_none());
        return spare.map(|(vm, disk)| add_replica(vm, *disk));
    }
    None
}

/// Repairs that the leader cannot make yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepairNeeds {
    /// Number of voters that the group lacks.
    pub missing: usize,
    /// Voters that do not reply to the leader.
    pub unresponsive: Vec<VmId>,
    /// VMs outside the group whose probes reach the leader.
    pub spares: Vec<VmId>,
}

/// Repairs that the group needs, as seen by its leader. `None` if it needs none or if this replica
/// does not lead.
pub fn repair_needs(now: Instant, status: &ReplicaStatus, voters: usize) -> Option<RepairNeeds> {
    status.leader_since?;
    let unresponsive = status.last_replies.iter().filter(|(vm, replied_at)| {
        status.members.voters.contains_key(*vm) && is_unresponsive(now, **replied_at)
    });
    let need = RepairNeeds {
        missing: voters.saturating_sub(status.members.voters.len()),
        unresponsive: unresponsive.map(|(vm, _)| vm.clone()).collect(),
        spares: status.non_members.keys().cloned().collect(),
    };
    (need.missing > 0 || !need.unresponsive.is_empty()).then_some(need)
}

fn is_unresponsive(now: Instant, last_reply: Instant) -> bool {
    now.saturating_duration_since(last_reply) > VOTER_TIMEOUT
}

fn add_replica(vm: &VmId, disk: Incarnation) -> Command {
    Command::ReplaceReplica { vm: vm.clone(), incarnation: Some(disk) }
}

/// Returns the member of `replicas` with the oldest reply, if that member counts as unresponsive.
fn unresponsive_member(
    now: Instant,
    status: &ReplicaStatus,
    replicas: &BTreeMap<VmId, Incarnation>,
) -> Option<VmId> {
    let (vm, replied_at) = oldest_reply(status, replicas)?;
    is_unresponsive(now, replied_at).then_some(vm)
}

/// Returns the member of `replicas` with the oldest reply and the time of that reply; never the
/// leader.
fn oldest_reply(
    status: &ReplicaStatus,
    replicas: &BTreeMap<VmId, Incarnation>,
) -> Option<(VmId, Instant)> {
    let replies = status.last_replies.iter().filter(|(vm, _)| replicas.contains_key(*vm));
    replies
        .min_by_key(|(_, replied_at)| **replied_at)
        .map(|(vm, replied_at)| (vm.clone(), *replied_at))
}
