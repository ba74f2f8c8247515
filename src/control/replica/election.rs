//! Pre-vote, vote, and the promises that make a leader's lease safe.

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
    /// Whether this replica is bound to a leader and refuses to vote for another.
    ///
    /// A leader's lease counts on it: whoever replied to a round votes for nobody until an
    /// election timeout after it, which is later than the lease ends. The start of this process
    /// counts as hearing a leader, since a restarted replica has forgotten whom it replied to.
    pub(super) fn is_bound(&self, now: Instant) -> bool {
        match &self.role {
            RoleState::Leader(_) => true,
            _ => now < self.heard_at + self.settings.timing.election,
        }
    }

    /// When the leader last heard counts as unheard: its lease is over then as far as this replica
    /// knows.
    pub(super) fn silent_at(&self) -> Instant {
        self.heard_at + self.settings.timing.lease
    }

    /// A replica that is cut off elects nobody for up to two election timeouts. Entries that followed
    /// it as one that hears from a leader would serve by an older configuration for as long, and refuse
    /// callers of new routes, though others know the newest.
    pub(super) fn forget_silent_leader(&mut self, now: Instant) {
        if now >= self.silent_at() {
            self.leader = None;
        }
    }

    pub(super) fn run_election(&mut self, now: Instant) {
        if now < self.timeout_at {
            return;
        }
        self.reset_timeout(now);
        if self.is_bound(now) {
            return;
        }
        if !self.is_voter() {
            // The entry that took it in may be gone with the leader that wrote it. The next
            // leader can take it in again only if it hears of it.
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
        self.ask_voters(&body);
        // Taken out without having heard of it, it would ask only those of its old membership,
        // and a leader outside of that could not take it in again.
        self.probe();
        self.count_votes(now);
    }

    fn ask_voters(&mut self, body: &MessageBody) {
        for (vm, incarnation) in self.membership().voters.clone() {
            if vm != self.settings.vm {
                self.send_synced(&vm, Some(incarnation), body.clone());
            }
        }
    }

    /// Goes on to the next step once a quorum has granted the present one.
    pub(super) fn count_votes(&mut self, now: Instant) {
        let quorum = self.membership().quorum();
        match &self.role {
            RoleState::PreCandidate { granted } if granted.len() >= quorum => self.stand(now),
            RoleState::Candidate { granted, own_vote }
                if granted.len() >= quorum && *own_vote <= self.synced =>
            {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    fn stand(&mut self, now: Instant) {
        let own = (self.settings.vm.clone(), self.incarnation);
        let term = self.term() + 1;
        self.write_hard_state(HardState { term, vote: Some(own), group: self.hard_state.group });
        let granted = BTreeSet::from([self.settings.vm.clone()]);
        self.role = RoleState::Candidate { granted, own_vote: self.issued + 1 };
        self.reset_timeout(now);
        let body = MessageBody::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.ask_voters(&body);
    }

    pub(super) fn receive_vote(&mut self, now: Instant, from: VmId, message: ReplicaMessage) {
        match message.body {
            MessageBody::PreVote { next_term, last_index, last_term } => {
                let granted = next_term > self.term()
                    && !self.is_bound(now)
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
        if self.is_bound(now) {
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

    /// Counts a vote only of the disk that the membership names.
    ///
    /// A voter that lost its disk has forgotten what it acknowledged. If it could vote under its
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

    /// Follows `leader`, or waits for one, in `term`.
    pub(super) fn become_follower(&mut self, now: Instant, term: Term, leader: Option<VmId>) {
        if term > self.term() {
            self.write_hard_state(HardState { term, vote: None, group: self.hard_state.group });
        }
        let before = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(lead) = before {
            // The entries may yet be committed by a later leader.
            for proposal in lead.proposals.into_values() {
                let outcome = Err(LocalProposeError::OutcomeUnknown);
                self.actions.push(ReplicaAction::Completed { proposal, outcome });
            }
        }
        self.leader = leader;
        self.reset_timeout(now);
    }
}
