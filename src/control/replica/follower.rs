//! How a follower processes a leader's messages.

use {
    super::{Replica, ReplicaAction, RoleState, log::ReplicaLog},
    crate::{
        control::{
            entry::{DurableWrite, LogEntry, SavedSnapshot},
            message::{MessageBody, ReplicaMessage, RoundNumber, SnapshotHead},
            state::ControlState,
        },
        ids::{Incarnation, LogIndex, Term, VmId},
    },
    std::time::Instant,
};

/// Maximum size of a received snapshot, several times the encoded size of a full state machine.
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// Snapshot that is being received.
#[derive(Clone, Debug)]
pub struct IncomingSnapshot {
    head: SnapshotHead,
    /// Chunks received so far, without gaps from the start.
    data: Vec<u8>,
}

/// Destination of a reply to the leader.
struct LeaderAddress {
    vm: VmId,
    incarnation: Incarnation,
    round: RoundNumber,
}

/// Entries of an append, and the entry that they follow.
struct AppendedEntries {
    prev_index: LogIndex,
    prev_term: Term,
    entries: Vec<LogEntry>,
    commit: LogIndex,
}

impl Replica {
    pub(super) fn receive_from_leader(
        &mut self,
        now: Instant,
        from: VmId,
        message: ReplicaMessage,
    ) {
        let round = match message.body {
            MessageBody::Heartbeat { round, .. }
            | MessageBody::Append { round, .. }
            | MessageBody::SnapshotChunk { round, .. } => round,
            _ => return,
        };
        let address = LeaderAddress { vm: from, incarnation: message.from_incarnation, round };
        if message.term < self.term() {
            // The reply carries the later term, so that the former leader steps down.
            self.reply(&address, MessageBody::HeartbeatReply { round });
            return;
        }
        if matches!(self.role, RoleState::Leader(_)) && message.term == self.term() {
            let text = format!(
                "{} claims to lead term {}, which this replica leads",
                address.vm, message.term
            );
            self.actions.push(ReplicaAction::Report(text));
            return;
        }
        if message.term > self.term() || !matches!(self.role, RoleState::Follower) {
            self.become_follower(now, message.term, None);
        }
        self.leader = Some(address.vm.clone());
        self.last_leader_contact = now;
        self.reset_timeout(now);
        match message.body {
            MessageBody::Heartbeat { commit, target, .. } => {
                self.commit_to(commit);
                self.record_target(now, target);
                self.reply(&address, MessageBody::HeartbeatReply { round });
            }
            MessageBody::Append { prev_index, prev_term, entries, commit, target, .. } => {
                let appended = AppendedEntries { prev_index, prev_term, entries, commit };
                self.receive_entries(&address, appended);
                self.record_target(now, target);
            }
            MessageBody::SnapshotChunk { head, offset, total, data, .. } => {
                self.receive_chunk(&address, head, (offset, total), &data);
            }
            _ => {}
        }
    }

    fn reply(&mut self, address: &LeaderAddress, body: MessageBody) {
        self.send_synced(&address.vm, Some(address.incarnation), body);
    }

    fn receive_entries(&mut self, address: &LeaderAddress, appended: AppendedEntries) {
        let AppendedEntries { prev_index, prev_term, entries, commit } = appended;
        let matched = prev_index + entries.len() as LogIndex;
        // Up to the commit index the log matches the leader's, and it may be compacted.
        let known = prev_index < self.commit || self.log.term(prev_index) == Some(prev_term);
        if !known {
            let hint = if prev_index > self.log.last_index() {
                self.log.last_index()
            } else {
                self.commit
            };
            let round = address.round;
            self.reply(address, MessageBody::AppendRejected { round, refused: prev_index, hint });
            return;
        }
        let new_entries = entries
            .iter()
            .position(|entry| {
                entry.index > self.commit && self.log.term(entry.index) != Some(entry.term)
            })
            .map(|position| entries[position..].to_vec());
        if let Some(new_entries) = new_entries {
            self.write_entries(new_entries);
        }
        self.commit_to(commit.min(matched));
        // After a longer append of the same leader this may acknowledge less than is held, never
        // more.
        let body = MessageBody::AppendReply { round: address.round, matched };
        self.reply(address, body);
    }

    fn commit_to(&mut self, commit: LogIndex) {
        let commit = commit.min(self.log.last_index());
        if commit > self.commit {
            self.commit = commit;
            self.apply_committed();
        }
    }

    fn receive_chunk(
        &mut self,
        address: &LeaderAddress,
        head: SnapshotHead,
        (offset, total): (u64, u64),
        data: &[u8],
    ) {
        let (round, index) = (address.round, head.index);
        if index <= self.commit {
            self.incoming = None;
            self.reply(address, MessageBody::AppendReply { round, matched: index });
            return;
        }
        if total > MAX_SNAPSHOT_BYTES {
            let text = format!("rejected a snapshot of {total} bytes: it exceeds the size limit");
            self.actions.push(ReplicaAction::Report(text));
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.head == head => incoming,
            _ => IncomingSnapshot { head, data: Vec::new() },
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.incoming = Some(incoming);
            self.reply(address, MessageBody::SnapshotReply { round, index, received });
            return;
        }
        if self.install_snapshot(incoming) {
            self.reply(address, MessageBody::AppendReply { round, matched: index });
        }
    }

    fn install_snapshot(&mut self, incoming: IncomingSnapshot) -> bool {
        let IncomingSnapshot { head, data } = incoming;
        let state = match ControlState::decode(&data) {
            Ok(state) => state,
            Err(error) => {
                self.actions.push(ReplicaAction::Report(format!("rejected a snapshot: {error}")));
                return false;
            }
        };
        self.state = state;
        if self.log.term(head.index) == Some(head.term) {
            self.log.compact(head.index, head.index, 0);
        } else {
            self.log = ReplicaLog::after(&head);
        }
        self.commit = head.index;
        self.applied = head.index;
        self.snapshot_index = head.index;
        self.saved_commit = self.saved_commit.max(head.index);
        self.writes.push(DurableWrite::Snapshot(SavedSnapshot { head, data }));
        self.stage_config();
        true
    }
}
