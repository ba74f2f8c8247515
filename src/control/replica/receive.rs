//! Takes in messages of other replicas and hands each to its part.

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
        let meant_for_another =
            message.to_incarnation.is_some_and(|incarnation| incarnation != self.incarnation);
        if from == self.settings.vm {
            return;
        }
        if meant_for_another {
            // Whoever knows the former disk of this VM knows the group.
            return self.note_contacts(message.group, BTreeSet::from([from]));
        }
        if let MessageBody::Contacts { vms } = message.body {
            return self.note_contacts(message.group, vms);
        }
        self.note_sighting(now, &from, &message);
        if matches!(message.body, MessageBody::Probe { .. }) {
            self.name_contacts(&from, message.from_incarnation);
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
            | MessageBody::SnapshotChunk { .. } => self.receive_lead(now, from, message),
            MessageBody::HeartbeatReply { .. }
            | MessageBody::AppendReply { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::SnapshotReply { .. } => self.receive_reply(now, from, message),
        }
    }
}
