//! Membership changes: one replica at a time; new replicas become voters only after catching up.
//!
//! One entry removes a lost voter and adds its new disk as a learner; a second entry makes the
//! learner a voter. Each step changes the set of voters by one, so that any quorum before it and
//! any quorum after it have a replica in common.

use {
    super::Replica,
    crate::{
        control::{
            command::{Command, CommandOutcome},
            entry::{EntryPayload, Membership},
        },
        ids::{Incarnation, LogIndex, VmId},
    },
    std::time::Instant,
};

/// Maximum number of members, equal to the number of VMs that may be reserved for control.
const MAX_MEMBERS: usize = 7;
/// Maximum number of entries that a learner may lack when it becomes a voter: about what is sent in
/// one round trip.
const MAX_LEARNER_LAG: LogIndex = 64;

impl Replica {
    /// Membership requested by a command. `None` if the command is no membership change; an outcome
    /// if no entry is to be written.
    pub(super) fn membership_after(
        &self,
        now: Instant,
        command: &Command,
    ) -> Option<Result<Membership, CommandOutcome>> {
        let (vm, replaced) = match command {
            Command::ReplaceReplica { vm, incarnation } => (vm, Some(*incarnation)),
            Command::RemoveReplica { vm } => (vm, None),
            _ => return None,
        };
        if *vm == self.settings.vm {
            return Some(refuse("the VM leads the replicas; stop its daemon, then try again"));
        }
        if !self.may_change() {
            return Some(refuse("another change is not yet committed; retry after a second"));
        }
        Some(match replaced {
            Some(incarnation) => self.membership_with(now, vm, incarnation),
            None => self.membership_without(now, vm),
        })
    }

    /// Whether a membership change may be written: the previous one and an entry of this term must
    /// be committed. Without the latter, two successive leaders could each add a different change
    /// to the same membership and find quorums that have no replica in common.
    fn may_change(&self) -> bool {
        self.log.membership_index() <= self.commit
            && self.leader_state().is_some_and(|state| self.commit >= state.term_start)
    }

    fn membership_with(
        &self,
        now: Instant,
        vm: &VmId,
        requested: Option<Incarnation>,
    ) -> Result<Membership, CommandOutcome> {
        let observed_disk = self.observed_peers.get(vm).map(|observed| observed.incarnation);
        let Some(incarnation) = observed_disk
            .filter(|observed_disk| requested.is_none_or(|requested| requested == *observed_disk))
        else {
            return refuse(
                "the leader received no message from this disk; start its daemon, then retry",
            );
        };
        let mut membership = self.membership().clone();
        if membership.is_member(vm, incarnation) {
            // An operator who names no disk refers to the new one. Until the leader receives a
            // message from it, the lost disk is the last one observed. Reporting success would
            // leave a lost disk in the group, and the next loss would end the quorum permanently.
            return match requested {
                Some(_) => Err(CommandOutcome::MembershipChanged),
                None => refuse(
                    "the disk that sent the last message is a replica already; if the VM has a \
                     new one, start its daemon, then retry",
                ),
            };
        }
        membership.voters.remove(vm);
        membership.learners.insert(vm.clone(), incarnation);
        if membership.members().count() > MAX_MEMBERS {
            return refuse("seven replicas are the most; remove one first");
        }
        self.require_quorum(now, membership)
    }

    fn membership_without(&self, now: Instant, vm: &VmId) -> Result<Membership, CommandOutcome> {
        let mut membership = self.membership().clone();
        if membership.incarnation(vm).is_none() {
            return Err(CommandOutcome::MembershipChanged);
        }
        membership.voters.remove(vm);
        membership.learners.remove(vm);
        self.require_quorum(now, membership)
    }

    /// Refuses a membership whose quorum does not respond now. Neither the change nor any later
    /// entry could be committed.
    fn require_quorum(
        &self,
        now: Instant,
        membership: Membership,
    ) -> Result<Membership, CommandOutcome> {
        let quorum_contact_at = (!membership.voters.is_empty())
            .then(|| {
                self.leader_state()
                    .and_then(|state| state.quorum_contact_at(&membership, &self.settings.vm, now))
            })
            .flatten();
        match quorum_contact_at {
            Some(at) if now < at + self.settings.timing.election => Ok(membership),
            _ => refuse(
                "too few of the remaining replicas respond; start their daemons or reconnect their VMs first",
            ),
        }
    }

    pub(super) fn change_membership(&mut self, now: Instant, membership: Membership) -> LogIndex {
        let (own, last) = (self.settings.vm.clone(), self.log.last_index());
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.update_followers(&membership, &own, last, now);
        }
        self.append(now, EntryPayload::Membership(membership))
    }

    /// Promotes a learner that has caught up to a voter.
    pub(super) fn promote_learner(&mut self, now: Instant) {
        if self.membership().learners.is_empty() || !self.may_change() {
            return;
        }
        let Some(leader_state) = self.leader_state() else { return };
        let ready = self.membership().learners.iter().find(|(vm, _)| {
            leader_state.followers.get(*vm).is_some_and(|progress| {
                progress.matched >= self.commit
                    && progress.matched + MAX_LEARNER_LAG >= self.log.last_index()
            })
        });
        let Some((vm, incarnation)) = ready.map(|(vm, number)| (vm.clone(), *number)) else {
            return;
        };
        let mut membership = self.membership().clone();
        membership.learners.remove(&vm);
        membership.voters.insert(vm, incarnation);
        self.change_membership(now, membership);
    }
}

fn refuse(reason: &str) -> Result<Membership, CommandOutcome> {
    Err(CommandOutcome::Refused { reason: reason.to_owned() })
}
