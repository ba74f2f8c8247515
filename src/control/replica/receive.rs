//! Dispatches received messages to the module that handles them.

use {
    super::Replica,
    crate::{
        control::message::{MessageBody, ReplicaMessage},
        ids::VmId,
    },
    std::{collections::BTreeSet, time::Instant},
};

impl Replica {
    pub(super) fn receive(&mut self, now: Instant, from: VmId, message: ReplicaMessage) {
        let is_for_other_disk =
            message.to_incarnation.is_some_and(|incarnation| incarnation != self.incarnation);
        if from == self.settings.vm {
            return;
        }
        if is_for_other_disk {
            // The sender knows a former disk of this VM, and therefore the group.
            return self.record_contacts(message.group, BTreeSet::from([from]));
        }
        if let MessageBody::Contacts { vms } = message.body {
            return self.record_contacts(message.group, vms);
        }
        self.observe_peer(now, &from, &message);
        if matches!(message.body, MessageBody::Probe { .. }) {
            self.send_contacts(&from, message.from_incarnation);
        }
        if !self.is_in_group(now, &from, &message) {
            return;
        }
        match message.body {
            MessageBody::Probe { .. }
            | MessageBody::Founding { .. }
            | MessageBody::Contacts { .. } => {}
            MessageBody::PreVote { .. }
            | MessageBody::PreVoteReply { .. }
            | MessageBody::Vote { .. }
            | MessageBody::VoteReply { .. } => self.receive_vote(now, from, message),
            MessageBody::Heartbeat { .. }
            | MessageBody::Append { .. }
            | MessageBody::SnapshotChunk { .. } => self.receive_from_leader(now, from, message),
            MessageBody::HeartbeatReply { .. }
            | MessageBody::AppendReply { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::SnapshotReply { .. } => self.receive_reply(now, from, message),
        }
    }
}
