//! Membership change: one replica at a time, and new ones count only after catching up.
//!
//! A lost voter is taken out and its new disk taken in as a learner by one entry, and made a
//! voter by a second. Each step changes the voters by one, so that any quorum before it and any
//! after it have a replica in common.

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

/// Members of a group: as many VMs as may be set aside for control.
const MEMBERS: usize = 7;
/// How far a learner may be behind when it becomes a voter: what is sent in one round trip.
const CAUGHT_UP: LogIndex = 64;

impl Replica {
    /// The membership that a command asks for; `None` when it asks for none, and an outcome when
    /// nothing is to be written.
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
            Some(incarnation) => self.replaced(now, vm, incarnation),
            None => self.removed(now, vm),
        })
    }

    /// Whether a change may be written: the one before it is committed, and an entry of this term
    /// as well. Without the latter two leaders in a row can each add a different change to the
    /// same old membership and find quorums that have no replica in common.
    fn may_change(&self) -> bool {
        self.log.membership_index() <= self.commit
            && self.lead().is_some_and(|lead| self.commit >= lead.term_start)
    }

    fn replaced(
        &self,
        now: Instant,
        vm: &VmId,
        asked: Option<Incarnation>,
    ) -> Result<Membership, CommandOutcome> {
        let seen = self.sightings.get(vm).map(|sighting| sighting.incarnation);
        let Some(incarnation) = seen.filter(|seen| asked.is_none_or(|asked| asked == *seen)) else {
            return refuse("the leader has not heard from this disk; start its daemon, then retry");
        };
        let mut membership = self.membership().clone();
        if membership.is_member(vm, incarnation) {
            // An operator who names no disk means the new one. Until the leader hears from it, the
            // lost disk is the last it heard from, and "done" would leave the group with a member
            // that is gone: the next loss would then end the quorum for good.
            return match asked {
                Some(_) => Err(CommandOutcome::MembershipChanged),
                None => refuse(
                    "the disk heard from last is a replica already; if the VM has a new one, \
                     start its daemon, then retry",
                ),
            };
        }
        membership.voters.remove(vm);
        membership.learners.insert(vm.clone(), incarnation);
        if membership.members().count() > MEMBERS {
            return refuse("seven replicas are the most; remove one first");
        }
        self.keeps_quorum(now, membership)
    }

    fn removed(&self, now: Instant, vm: &VmId) -> Result<Membership, CommandOutcome> {
        let mut membership = self.membership().clone();
        if membership.incarnation(vm).is_none() {
            return Err(CommandOutcome::MembershipChanged);
        }
        membership.voters.remove(vm);
        membership.learners.remove(vm);
        self.keeps_quorum(now, membership)
    }

    /// Refuses a membership whose quorum does not answer now: the change could never commit, and
    /// nothing after it.
    fn keeps_quorum(
        &self,
        now: Instant,
        membership: Membership,
    ) -> Result<Membership, CommandOutcome> {
        let quorum_contact_at = (!membership.voters.is_empty())
            .then(|| {
                self.lead()
                    .and_then(|lead| lead.quorum_contact_at(&membership, &self.settings.vm, now))
            })
            .flatten();
        match quorum_contact_at {
            Some(at) if now < at + self.settings.timing.election => Ok(membership),
            _ => refuse("too few of the remaining replicas answer; bring them back first"),
        }
    }

    pub(super) fn change_membership(&mut self, now: Instant, membership: Membership) -> LogIndex {
        let (own, last) = (self.settings.vm.clone(), self.log.last_index());
        if let Some(lead) = self.lead_mut() {
            lead.update_followers(&membership, &own, last, now);
        }
        self.append(now, EntryPayload::Membership(membership))
    }

    /// Makes a voter of a learner that has caught up.
    pub(super) fn promote_learner(&mut self, now: Instant) {
        if self.membership().learners.is_empty() || !self.may_change() {
            return;
        }
        let Some(lead) = self.lead() else { return };
        let ready = self.membership().learners.iter().find(|(vm, _)| {
            lead.followers.get(*vm).is_some_and(|progress| {
                progress.matched >= self.commit
                    && progress.matched + CAUGHT_UP >= self.log.last_index()
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
