//! Pre-votes, votes, and the rules for withholding them that make a leader's lease safe.

use {
    super::{LocalProposeError, Replica, ReplicaAction, RoleState},
    crate::{
        control::{
            entry::HardState,
            message::{MessageBody, ReplicaMessage},
        },
        ids::{LogIndex, Term, VmId},
    },
    std::{collections::BTreeSet, time::Instant},
};

impl Replica {
    /// Whether this replica withholds its vote because it has recently received a message from a
    /// leader.
    ///
    /// The leader's lease depends on this rule: a replica that replied to a round votes for no
    /// other candidate until an election timeout after it, which is later than the end of the
    /// lease. The start of this process counts as contact with a leader, because a restarted
    /// replica does not know which leader it replied to.
    pub(super) fn withholds_vote(&self, now: Instant) -> bool {
        match &self.role {
            RoleState::Leader(_) => true,
            _ => now < self.last_leader_contact + self.settings.timing.election,
        }
    }

    /// Time from which the leader counts as unresponsive. As far as this replica knows, its lease
    /// has expired then.
    pub(super) fn leader_expires_at(&self) -> Instant {
        self.last_leader_contact + self.settings.timing.lease
    }

    /// Clears a leader that has sent no message for the duration of a lease. A partitioned
    /// replica elects no leader for up to two election timeouts. If it still reported a leader, its
    /// followers would serve an outdated configuration for that time and refuse callers of new
    /// routes, although other replicas have the newest one.
    pub(super) fn expire_leader(&mut self, now: Instant) {
        if now >= self.leader_expires_at() {
            self.leader = None;
        }
    }

    pub(super) fn run_election(&mut self, now: Instant) {
        if now < self.timeout_at {
            return;
        }
        self.reset_timeout(now);
        if self.withholds_vote(now) {
            return;
        }
        if !self.is_voter() {
            // The entry that added this replica may have been lost with the leader that wrote it.
            // The next leader can add the replica only if it receives a probe.
            self.leader = None;
            return self.probe();
        }
        self.leader = None;
        self.role = RoleState::PreCandidate { granted: BTreeSet::from([self.settings.vm.clone()]) };
        let body = MessageBody::PreVote {
            next_term: self.term() + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
        // If this replica was removed without receiving the change, it requests votes only from
        // members that it knows. A leader outside its old membership needs a probe to add it again.
        self.probe();
        self.count_votes(now);
    }

    fn send_to_voters(&mut self, body: &MessageBody) {
        for (vm, incarnation) in self.membership().voters.clone() {
            if vm != self.settings.vm {
                self.send_synced(&vm, Some(incarnation), body.clone());
            }
        }
    }

    /// Advances the election once a quorum has granted the current request.
    pub(super) fn count_votes(&mut self, now: Instant) {
        let quorum = self.membership().quorum();
        match &self.role {
            RoleState::PreCandidate { granted } if granted.len() >= quorum => {
                self.start_election(now)
            }
            RoleState::Candidate { granted, own_vote }
                if granted.len() >= quorum && *own_vote <= self.synced_batch =>
            {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    fn start_election(&mut self, now: Instant) {
        let own = (self.settings.vm.clone(), self.incarnation);
        let term = self.term() + 1;
        self.write_hard_state(HardState { term, vote: Some(own), group: self.hard_state.group });
        let granted = BTreeSet::from([self.settings.vm.clone()]);
        self.role = RoleState::Candidate { granted, own_vote: self.issued_batch + 1 };
        self.reset_timeout(now);
        let body = MessageBody::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
    }

    pub(super) fn receive_vote(&mut self, now: Instant, from: VmId, message: ReplicaMessage) {
        match message.body {
            MessageBody::PreVote { next_term, last_index, last_term } => {
                let granted = next_term > self.term()
                    && !self.withholds_vote(now)
                    && self.is_up_to_date(last_index, last_term);
                let body = MessageBody::PreVoteReply { next_term, granted };
                self.send_synced(&from, Some(message.from_incarnation), body);
            }
            MessageBody::Vote { last_index, last_term } => {
                self.receive_vote_request(now, &from, &message, last_index, last_term);
            }
            MessageBody::PreVoteReply { next_term, granted } => {
                let current = next_term == self.term() + 1;
                let asked = matches!(self.role, RoleState::PreCandidate { .. });
                self.receive_vote_reply(now, from, &message, granted && current && asked);
            }
            MessageBody::VoteReply { granted } => {
                let current = message.term == self.term();
                let asked = matches!(self.role, RoleState::Candidate { .. });
                self.receive_vote_reply(now, from, &message, granted && current && asked);
            }
            _ => {}
        }
    }

    fn receive_vote_request(
        &mut self,
        now: Instant,
        from: &VmId,
        message: &ReplicaMessage,
        last_index: LogIndex,
        last_term: Term,
    ) {
        if self.withholds_vote(now) {
            return;
        }
        if message.term > self.term() {
            self.become_follower(now, message.term, None);
        }
        let candidate = (from.clone(), message.from_incarnation);
        let free = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == candidate);
        let granted = message.term == self.term()
            && free
            && matches!(self.role, RoleState::Follower)
            && self.is_up_to_date(last_index, last_term);
        if granted {
            self.write_hard_state(HardState { vote: Some(candidate), ..self.hard_state.clone() });
            self.reset_timeout(now);
        }
        self.send_synced(from, Some(message.from_incarnation), MessageBody::VoteReply { granted });
    }

    /// Counts a vote only if it comes from the disk named in the membership.
    ///
    /// A voter that lost its disk has no record of what it acknowledged. If it could vote under its
    /// old name, a candidate without the committed entries could win.
    fn receive_vote_reply(
        &mut self,
        now: Instant,
        from: VmId,
        message: &ReplicaMessage,
        granted: bool,
    ) {
        if !self.membership().is_voter(&from, message.from_incarnation) {
            return;
        }
        if message.term > self.term() {
            self.become_follower(now, message.term, None);
            return;
        }
        match &mut self.role {
            RoleState::PreCandidate { granted: voters }
            | RoleState::Candidate { granted: voters, .. }
                if granted =>
            {
                voters.insert(from);
            }
            _ => {}
        }
        self.count_votes(now);
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Becomes a follower in `term`, with the given leader if it is known.
    pub(super) fn become_follower(&mut self, now: Instant, term: Term, leader: Option<VmId>) {
        if term > self.term() {
            self.write_hard_state(HardState { term, vote: None, group: self.hard_state.group });
        }
        self.leader = leader;
        let before = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leader_state) = before {
            self.fail_reads(leader_state.reads);
            // The entries of these proposals may still be committed by a later leader, or are
            // committed without the knowledge of the others.
            let unconfirmed = leader_state.unconfirmed.into_values().map(|(proposal, _)| proposal);
            for proposal in leader_state.proposals.into_values().chain(unconfirmed) {
                let outcome = Err(LocalProposeError::OutcomeUnknown);
                self.actions.push(ReplicaAction::Completed { proposal, outcome });
            }
        }
        self.reset_timeout(now);
    }
}
