//! Which membership change a leader makes by itself, so that a lost replica is replaced before the
//! next one is lost.
//!
//! Where nobody mends the replicas by hand, a group of three that has lost a disk bears no second
//! loss: its last change is then neither readable nor durable. The leader hears the probes of disks
//! that belong to no group. An empty disk at a member's VM takes that member's place; one at another
//! VM is taken in while a voter is silent, and the silent one goes once the new one counts. Each
//! step is one committed change of the existing kind, which the replica refuses if the quorum after
//! it does not answer.
//!
//! Three voters bear one lost disk. Where more control VMs stand by, the group grows to five, so that
//! two disks may be lost at the same moment.

use {
    super::{Command, replica::ReplicaStatus},
    crate::ids::{Incarnation, VmId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A voter that did not reply for so long may be gone: longer than a restart takes, and short beside
/// the seconds after which the next loss may come.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Voters of a group that more control VMs are known to: two lost disks leave a quorum of the others,
/// and each write still waits for no more than three disks.
const LARGE_GROUP: usize = 5;

/// Voters that a group of `founders` should have, by the control VMs that are known now.
///
/// Members count though they are silent: a group that shrank whenever a failure domain is cut off
/// would bear fewer losses just then.
pub fn target_voters(status: &ReplicaStatus, founders: usize) -> usize {
    let members = status.members.members().count();
    let strangers = status.non_members.keys().filter(|vm| status.members.incarnation(vm).is_none());
    if members + strangers.count() >= LARGE_GROUP { LARGE_GROUP.max(founders) } else { founders }
}

/// The next change, if any is due; `voters` is the number of voters wanted.
pub fn next_repair(now: Instant, status: &ReplicaStatus, voters: usize) -> Option<Command> {
    status.lease_until.filter(|until| now < *until)?;
    let members = &status.members;
    if let Some((vm, disk)) = status
        .non_members
        .iter()
        .find(|(vm, disk)| members.incarnation(vm).is_some_and(|known| known != **disk))
    {
        return Some(take_in(vm, *disk));
    }
    // A learner that is lost before it has caught up would hold up every later repair.
    if let Some(vm) = silent_among(now, status, &members.learners) {
        return Some(Command::RemoveReplica { vm });
    }
    if !members.learners.is_empty() {
        return None;
    }
    let silent = silent_among(now, status, &members.voters);
    if members.voters.len() > voters {
        // One that was replaced and came back is sound, yet an even number bears no more losses and
        // makes each write wait for one disk more.
        let surplus = longest_unheard(status, &members.voters).map(|(vm, _)| vm);
        return surplus.map(|vm| Command::RemoveReplica { vm });
    }
    if members.voters.len() < voters || silent.is_some() {
        let stranger = status.non_members.iter().find(|(vm, _)| members.incarnation(vm).is_none());
        return stranger.map(|(vm, disk)| take_in(vm, *disk));
    }
    None
}

/// Repairs that a leader would make if it could.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepairNeeds {
    /// Voters wanted beyond those that the group has.
    pub missing: usize,
    /// Voters that do not reply.
    pub unresponsive: Vec<VmId>,
    /// VMs outside the group that the leader hears.
    pub spares: Vec<VmId>,
}

/// What the group lacks, as its leader sees it; `None` if nothing or on another replica.
pub fn repair_needs(now: Instant, status: &ReplicaStatus, voters: usize) -> Option<RepairNeeds> {
    status.leader_since?;
    let silent = status
        .last_replies
        .iter()
        .filter(|(vm, heard)| status.members.voters.contains_key(*vm) && is_silent(now, **heard));
    let need = RepairNeeds {
        missing: voters.saturating_sub(status.members.voters.len()),
        unresponsive: silent.map(|(vm, _)| vm.clone()).collect(),
        spares: status.non_members.keys().cloned().collect(),
    };
    (need.missing > 0 || !need.unresponsive.is_empty()).then_some(need)
}

fn is_silent(now: Instant, heard: Instant) -> bool {
    now.saturating_duration_since(heard) > VOTER_TIMEOUT
}

fn take_in(vm: &VmId, disk: Incarnation) -> Command {
    Command::ReplaceReplica { vm: vm.clone(), incarnation: Some(disk) }
}

/// The one of `replicas` that has been silent for longest, if for too long.
fn silent_among(
    now: Instant,
    status: &ReplicaStatus,
    replicas: &BTreeMap<VmId, Incarnation>,
) -> Option<VmId> {
    let (vm, heard) = longest_unheard(status, replicas)?;
    is_silent(now, heard).then_some(vm)
}

/// The one of `replicas` that the leader has not heard for longest, and since when; never the leader.
fn longest_unheard(
    status: &ReplicaStatus,
    replicas: &BTreeMap<VmId, Incarnation>,
) -> Option<(VmId, Instant)> {
    let heard = status.last_replies.iter().filter(|(vm, _)| replicas.contains_key(*vm));
    heard.min_by_key(|(_, heard)| **heard).map(|(vm, heard)| (vm.clone(), *heard))
}
