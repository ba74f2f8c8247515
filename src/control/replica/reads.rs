//! Reads that a quorum confirms.
//!
//! A leader may have been replaced without knowing it, and no clock of its own tells: the steady clock
//! stands still while the VM is suspended. So a read waits until a quorum has replied to a heartbeat
//! round that began after the read arrived. Each of these voters had voted for no later leader when it
//! replied, so that no later leader can have committed anything before the read arrived.

use {
    super::{LocalProposeError, Replica, ReplicaAction, RoleState, types::ReadId},
    crate::control::message::RoundNumber,
    std::{collections::BTreeMap, time::Instant},
};

/// Reads that wait for a quorum.
#[derive(Clone, Debug, Default)]
pub struct PendingReads {
    /// Reads by the first round whose replies confirm them; their number is bounded by the limit on
    /// proposals. At most two rounds: the one under way and the next one.
    waiting: BTreeMap<RoundNumber, Vec<ReadId>>,
}

impl PendingReads {
    /// Number of reads that wait.
    pub fn len(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }

    /// Whether no read waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a read that a reply to `round` or a later one confirms. Returns whether no other read waits
    /// for an earlier round.
    pub fn add(&mut self, round: RoundNumber, read: ReadId) -> bool {
        self.waiting.entry(round).or_default().push(read);
        self.waiting.first_key_value().is_some_and(|(first, _)| *first == round)
    }

    /// Removes and returns the reads that replies to `round` confirm.
    pub fn take_confirmed(&mut self, round: RoundNumber) -> Vec<ReadId> {
        let later = self.waiting.split_off(&(round + 1));
        std::mem::replace(&mut self.waiting, later).into_values().flatten().collect()
    }

    /// All reads.
    pub fn into_all(self) -> impl Iterator<Item = ReadId> {
        self.waiting.into_values().flatten()
    }
}

impl Replica {
    pub(super) fn read(&mut self, now: Instant, read: ReadId) {
        if let Some(error) = self.proposal_error(now) {
            return self.actions.push(ReplicaAction::ReadConfirmed { read, outcome: Err(error) });
        }
        let Some(leader_state) = self.leader_state_mut() else { return };
        let next_round = leader_state.round + 1;
        // Reads that arrive while a round for others is under way share the next one.
        if leader_state.reads.add(next_round, read) {
            leader_state.heartbeat_at = now;
        }
    }

    /// Completes the reads that a quorum has confirmed, and makes a round due if others wait for it.
    pub(super) fn complete_reads(&mut self, now: Instant) {
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        // Before the first entry of its term is committed, the leader may lack what former ones have
        // committed.
        if leader_state.reads.is_empty() || self.commit < leader_state.term_start {
            return;
        }
        let round = leader_state.quorum_round(self.log.membership(), &self.settings.vm);
        let confirmed = leader_state.reads.take_confirmed(round);
        if !confirmed.is_empty() && !leader_state.reads.is_empty() {
            leader_state.heartbeat_at = now;
        }
        for read in confirmed {
            self.actions.push(ReplicaAction::ReadConfirmed { read, outcome: Ok(()) });
        }
    }

    /// Fails reads at the end of the leadership.
    pub(super) fn fail_reads(&mut self, reads: PendingReads) {
        for read in reads.into_all() {
            let outcome = Err(LocalProposeError::NotLeader { leader: self.leader.clone() });
            self.actions.push(ReplicaAction::ReadConfirmed { read, outcome });
        }
    }
}
