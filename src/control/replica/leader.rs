//! Leader: heartbeats, appends, commits, lease and proposals.

use {
    super::{
        LocalProposeError, ProposalId, Replica, ReplicaAction, RoleState,
        progress::{LeaderState, SendMode},
        reads::PendingReads,
    },
    crate::{
        control::{
            command::{Command, CommandOutcome},
            entry::{EntryPayload, LogEntry},
            message::{MessageBody, ReplicaMessage, RoundNumber},
        },
        ids::{LogIndex, VmId},
    },
    std::{collections::BTreeMap, sync::Arc, time::Instant},
};

/// Heartbeat intervals after which messages in flight to a follower count as lost.
const RESEND_HEARTBEATS: u32 = 2;

impl Replica {
    pub(super) fn become_leader(&mut self, now: Instant) {
        let mut leader_state = LeaderState {
            since: now,
            term_start: self.log.last_index() + 1,
            round: 0,
            rounds: BTreeMap::new(),
            heartbeat_at: now + self.settings.timing.heartbeat,
            followers: BTreeMap::new(),
            proposals: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            reads: PendingReads::default(),
        };
        leader_state.update_followers(
            self.log.membership(),
            &self.settings.vm,
            self.log.last_index(),
            now,
        );
        leader_state.begin_round(now);
        self.role = RoleState::Leader(Box::new(leader_state));
        self.leader = Some(self.settings.vm.clone());
        // Entries of earlier terms can be committed only together with an entry of this term.
        self.append(now, EntryPayload::Opening);
    }

    /// Appends an entry to the log, sends it to the followers that can receive it, and returns its
    /// index.
    pub(super) fn append(&mut self, now: Instant, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.write_entries(vec![LogEntry { term: self.term(), index, payload }]);
        self.send_appends(now);
        index
    }

    fn send_appends(&mut self, now: Instant) {
        let followers: Vec<VmId> = self
            .leader_state()
            .map(|state| state.followers.keys().cloned().collect())
            .unwrap_or_default();
        for vm in followers {
            self.send_append(now, &vm);
        }
    }

    /// Sends entries to a follower up to the limit on appends in flight.
    pub(super) fn send_append(&mut self, now: Instant, vm: &VmId) {
        while let Some(body) = self.next_append(now, vm) {
            let incarnation = self.leader_state().and_then(|state| state.followers.get(vm));
            let incarnation = incarnation.map(|progress| progress.incarnation);
            self.send(vm, incarnation, body);
        }
    }

    fn next_append(&mut self, now: Instant, vm: &VmId) -> Option<MessageBody> {
        let limits = self.settings.limits;
        let (base, last, commit) = (self.log.base(), self.log.last_index(), self.commit);
        let target = self.follower_target();
        let leader_state = match &mut self.role {
            RoleState::Leader(leader_state) => leader_state,
            _ => return None,
        };
        let round = leader_state.round;
        let progress = leader_state.followers.get_mut(vm)?;
        let allowed = match progress.mode {
            SendMode::Probe => 1,
            SendMode::Stream => limits.appends_in_flight,
            SendMode::Snapshot { .. } => return None,
        };
        let is_full = progress.in_flight.len() >= allowed || progress.oversized_append.is_some();
        if progress.next > last || is_full {
            return None;
        }
        if progress.next <= base {
            return self.begin_snapshot(now, vm);
        }
        let prev_index = progress.next - 1;
        let entries = self.log.batch(progress.next, limits.append_bytes);
        let sent = prev_index + entries.len() as LogIndex;
        if progress.in_flight.is_empty() {
            progress.last_progress_at = now;
        }
        progress.sent_at = now;
        progress.in_flight.push_back(sent);
        let length: usize = entries.iter().map(LogEntry::bytes).sum();
        progress.oversized_append = (length > limits.append_bytes).then_some(sent);
        progress.next = sent + 1;
        let prev_term = self.log.term(prev_index).expect("the entry before a held one is known");
        Some(MessageBody::Append { round, prev_index, prev_term, entries, commit, target })
    }

    fn begin_snapshot(&mut self, now: Instant, vm: &VmId) -> Option<MessageBody> {
        let snapshot = Arc::new(self.take_snapshot());
        let progress = self.leader_state_mut()?.followers.get_mut(vm)?;
        progress.mode = SendMode::Snapshot { snapshot, offset: 0 };
        progress.in_flight.clear();
        progress.oversized_append = None;
        progress.last_progress_at = now;
        self.next_chunk(now, vm)
    }

    fn next_chunk(&mut self, now: Instant, vm: &VmId) -> Option<MessageBody> {
        let chunk_bytes = self.settings.limits.chunk_bytes;
        let leader_state = self.leader_state_mut()?;
        let round = leader_state.round;
        let progress = leader_state.followers.get_mut(vm)?;
        let SendMode::Snapshot { snapshot, offset } = &progress.mode else { return None };
        progress.sent_at = now;
        let end = snapshot.data.len().min(offset + chunk_bytes);
        Some(MessageBody::SnapshotChunk {
            round,
            head: snapshot.head.clone(),
            offset: *offset as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[*offset..end].to_vec(),
        })
    }

    pub(super) fn run_leader(&mut self, now: Instant) {
        let (heartbeat, commit) = (self.settings.timing.heartbeat, self.commit);
        let target = self.follower_target();
        let Some(leader_state) = self.leader_state_mut() else { return };
        if now < leader_state.heartbeat_at {
            return;
        }
        leader_state.heartbeat_at = now + heartbeat;
        leader_state.begin_round(now);
        let round = leader_state.round;
        let mut due = Vec::new();
        for (vm, progress) in &mut leader_state.followers {
            let stuck = progress.is_stalled(now, heartbeat * RESEND_HEARTBEATS);
            if stuck {
                progress.resends += 1;
                progress.rewind(now);
            }
            // Beyond the matched index the follower's log may differ from this one.
            let commit = commit.min(progress.matched);
            progress.record_sent_commit(round, commit);
            due.push((vm.clone(), progress.incarnation, commit, stuck));
        }
        for (vm, incarnation, commit, stuck) in due {
            self.send(&vm, Some(incarnation), MessageBody::Heartbeat { round, commit, target });
            if stuck && let Some(body) = self.next_chunk(now, &vm) {
                self.send(&vm, Some(incarnation), body);
            }
            self.send_append(now, &vm);
        }
        self.announce_members();
        // A leader without other voters needs no replies.
        self.complete_reads(now);
    }

    pub(super) fn receive_reply(&mut self, now: Instant, from: VmId, message: ReplicaMessage) {
        let is_member = self.membership().is_member(&from, message.from_incarnation);
        if !is_member {
            return;
        }
        if message.term > self.term() {
            self.become_follower(now, message.term, None);
            return;
        }
        let (term, last) = (self.term(), self.log.last_index());
        let Some(state) = self.leader_state_mut().filter(|_| message.term == term) else { return };
        let Some(progress) = state.followers.get_mut(&from) else { return };
        if let Some(round) = round_of(&message.body) {
            progress.replied_round = progress.replied_round.max(round);
            progress.replied_at = progress.replied_at.max(state.rounds.get(&round).copied());
        }
        match message.body {
            MessageBody::AppendReply { matched, .. } => progress.advance(matched, now),
            MessageBody::HeartbeatReply { round } => progress.confirm_commit(round),
            MessageBody::AppendRejected { refused, hint, .. }
                if refused >= progress.matched
                    && !matches!(progress.mode, SendMode::Snapshot { .. }) =>
            {
                progress.rewind(now);
                progress.next = hint.min(last).max(progress.matched) + 1;
            }
            MessageBody::SnapshotReply { index, received, .. } => {
                self.receive_snapshot_reply(now, &from, index, received);
            }
            _ => {}
        }
        self.advance_commit(now);
        self.complete_confirmed();
        self.promote_learner(now);
        self.send_append(now, &from);
    }

    fn receive_snapshot_reply(&mut self, now: Instant, vm: &VmId, index: LogIndex, received: u64) {
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(progress) = leader_state.followers.get_mut(vm) else { return };
        let incarnation = progress.incarnation;
        let SendMode::Snapshot { snapshot, offset } = &mut progress.mode else { return };
        let received = usize::try_from(received).unwrap_or(usize::MAX);
        // A late or duplicate reply must not cause the same chunk to be sent again.
        if snapshot.head.index != index || received > snapshot.data.len() || received == *offset {
            return;
        }
        *offset = received;
        progress.last_progress_at = now;
        progress.resends = 0;
        if let Some(body) = self.next_chunk(now, vm) {
            self.send(vm, Some(incarnation), body);
        }
    }

    /// Commits the entries that a quorum of voters has synced, if the last of them belongs to this
    /// term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Some(leader_state) = self.leader_state() else { return };
        let membership = self.log.membership();
        let mut matched: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|(vm, incarnation)| {
                if *vm == self.settings.vm {
                    return self.durable;
                }
                let progress = leader_state.followers.get(vm);
                progress
                    .filter(|progress| progress.incarnation == *incarnation)
                    .map_or(0, |progress| progress.matched)
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let held = matched.get(membership.quorum() - 1).copied().unwrap_or(0);
        if held > self.commit && self.log.term(held) == Some(self.term()) {
            let former_commit = std::mem::replace(&mut self.commit, held);
            self.apply_committed();
            self.announce_commit(now, former_commit);
        }
    }

    /// Sends a heartbeat at once if proposals that were committed after `former_commit` wait until a
    /// quorum knows of it. Other commits may follow each other faster than replies return.
    fn announce_commit(&mut self, now: Instant, former_commit: LogIndex) {
        let Some(leader_state) = self.leader_state_mut() else { return };
        let last = leader_state.unconfirmed.keys().next_back();
        if last.is_some_and(|last| *last > former_commit) {
            leader_state.heartbeat_at = now;
            self.complete_confirmed();
        }
    }

    /// Completes the proposals whose effect a quorum has applied. A configuration that was confirmed
    /// while only the leader knew of its commit would not be in force if the leader were lost, until
    /// the next one is elected.
    fn complete_confirmed(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else { return };
        if leader_state.unconfirmed.is_empty() {
            return;
        }
        let membership = self.log.membership();
        let confirmed = leader_state.quorum_commit(membership, &self.settings.vm, self.commit);
        let later = leader_state.unconfirmed.split_off(&(confirmed + 1));
        let completed = std::mem::replace(&mut leader_state.unconfirmed, later);
        for (proposal, outcome) in completed.into_values() {
            self.actions.push(ReplicaAction::Completed { proposal, outcome: Ok(outcome) });
        }
    }

    /// Steps down if no quorum has replied for an election timeout.
    ///
    /// Otherwise a partitioned leader would continue to report itself as the leader.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let election = self.settings.timing.election;
        let Some(leader_state) = self.leader_state() else { return };
        let quorum_contact_at =
            leader_state.quorum_contact_at(self.log.membership(), &self.settings.vm, now);
        let last_contact = quorum_contact_at.unwrap_or(leader_state.since).max(leader_state.since);
        if now >= last_contact + election {
            self.become_follower(now, self.term(), None);
        }
    }

    /// End of the leader lease; no other replica can lead before it.
    pub(super) fn lease_until(&self, now: Instant) -> Option<Instant> {
        let leader_state = self.leader_state().filter(|state| self.commit >= state.term_start)?;
        let quorum_contact_at =
            leader_state.quorum_contact_at(self.log.membership(), &self.settings.vm, now)?;
        Some(quorum_contact_at + self.settings.timing.lease)
    }

    pub(super) fn propose(&mut self, now: Instant, proposal: ProposalId, command: Command) {
        let outcome = match self.proposal_error(now) {
            Some(error) => Some(Err(error)),
            None => self.append_proposal(now, proposal, command).map(Ok),
        };
        if let Some(outcome) = outcome {
            self.actions.push(ReplicaAction::Completed { proposal, outcome });
        }
    }

    /// Returns the reason why a proposal must not enter the log, or a read must not wait; the proposal
    /// will then never be committed.
    pub(super) fn proposal_error(&self, now: Instant) -> Option<LocalProposeError> {
        let Some(leader_state) = self.leader_state() else {
            return Some(LocalProposeError::NotLeader { leader: self.leader.clone() });
        };
        let quorum_contact_at =
            leader_state.quorum_contact_at(self.log.membership(), &self.settings.vm, now);
        let last_contact = quorum_contact_at.unwrap_or(leader_state.since).max(leader_state.since);
        if now >= last_contact + self.settings.timing.lease {
            return Some(LocalProposeError::NoQuorum);
        }
        let proposals = leader_state.proposals.len() + leader_state.unconfirmed.len();
        let waiting = proposals + leader_state.reads.len();
        (waiting >= self.settings.limits.proposals).then_some(LocalProposeError::Busy)
    }

    fn append_proposal(
        &mut self,
        now: Instant,
        proposal: ProposalId,
        command: Command,
    ) -> Option<CommandOutcome> {
        let length = postcard::to_stdvec(&command).map_or(usize::MAX, |bytes| bytes.len());
        if length > self.settings.limits.command_bytes {
            let reason = "the command is too long for the log; split or shorten its content";
            return Some(CommandOutcome::Refused { reason: reason.to_owned() });
        }
        let payload = match self.membership_after(now, &command) {
            None => EntryPayload::Command(command),
            Some(Ok(membership)) => EntryPayload::Membership(membership),
            Some(Err(outcome)) => return Some(outcome),
        };
        let index = match payload {
            EntryPayload::Membership(membership) => self.change_membership(now, membership),
            payload => self.append(now, payload),
        };
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.proposals.insert(index, proposal);
        }
        None
    }
}

fn round_of(body: &MessageBody) -> Option<RoundNumber> {
    match body {
        MessageBody::HeartbeatReply { round }
        | MessageBody::AppendReply { round, .. }
        | MessageBody::AppendRejected { round, .. }
        | MessageBody::SnapshotReply { round, .. } => Some(*round),
        _ => None,
    }
}
