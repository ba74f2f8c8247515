//! How a group is founded, and what a replica without a group does.
//!
//! Only the first founder by name writes a founding membership, and only after every founder has
//! told this very disk that its own is empty. A disk that was lost later meets founders that are
//! not empty, so it founds nothing and waits to be taken in by command: it cannot elect a leader
//! that forgot.

use {
    super::{Replica, RoleState},
    crate::{
        control::{
            entry::{FOUNDING_TERM, HardState, Membership},
            message::{GroupId, MessageBody, ReplicaMessage},
        },
        ids::{Incarnation, VmId},
    },
    std::{collections::BTreeMap, time::Instant},
};

/// VMs remembered beside members and founders; a further one is not noted.
const SIGHTINGS: usize = 64;
/// A disk not heard for so many probes may be gone, or have been emptied again since.
const FRESH_PROBES: u32 = 4;

/// What was last heard from a VM.
#[derive(Clone, Debug)]
pub struct ObservedPeer {
    /// Its disk.
    pub incarnation: Incarnation,
    /// When it was last heard.
    pub at: Instant,
    /// When it told this disk that its own is empty and its founders are the same.
    pub empty_at: Option<Instant>,
}

impl Replica {
    pub(super) fn note_sighting(&mut self, now: Instant, from: &VmId, message: &ReplicaMessage) {
        if self.sightings.len() >= SIGHTINGS && !self.sightings.contains_key(from) {
            return;
        }
        // A probe that was sent to an earlier disk of this VM may have been on its way for long,
        // and its sender may have founded a group since.
        let to_this_disk =
            message.group.is_none() && message.to_incarnation == Some(self.incarnation);
        let empty = matches!(&message.body,
            MessageBody::Probe { founders } if to_this_disk && *founders == self.founders_digest());
        let sighting = ObservedPeer {
            incarnation: message.from_incarnation,
            at: now,
            empty_at: empty.then_some(now),
        };
        self.sightings.insert(from.clone(), sighting);
    }

    /// Whether the message is of this replica's group, after joining it if it may.
    pub(super) fn is_in_group(
        &mut self,
        now: Instant,
        from: &VmId,
        message: &ReplicaMessage,
    ) -> bool {
        let Some(group) = message.group else {
            self.answer_probe(from, message.from_incarnation);
            return false;
        };
        match self.hard_state.group {
            Some(own) => own == group,
            None => self.join(now, group, message),
        }
    }

    /// A founder that lacks the founding membership gets it from any that has it.
    fn answer_probe(&mut self, from: &VmId, incarnation: Incarnation) {
        if self.hard_state.group.is_none() || self.log.base() > 0 {
            return;
        }
        let founding = self.log.membership_at(1).cloned().unwrap_or_default();
        if founding.is_voter(from, incarnation) {
            self.send_synced(
                from,
                Some(incarnation),
                MessageBody::Founding { membership: founding },
            );
        }
    }

    fn join(&mut self, now: Instant, group: GroupId, message: &ReplicaMessage) -> bool {
        if message.to_incarnation != Some(self.incarnation) {
            return false;
        }
        match &message.body {
            MessageBody::Founding { membership } => {
                let own = membership.is_voter(&self.settings.vm, self.incarnation);
                if own && membership.group() == group {
                    self.adopt_founding(now, membership);
                }
                false
            }
            // These go only to disks that the sender's membership names, and this one has lost
            // nothing since. A founder that missed the founding may be needed for a quorum.
            MessageBody::PreVote { .. }
            | MessageBody::Vote { .. }
            | MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => {
                self.write_hard_state(HardState { group: Some(group), ..self.hard_state.clone() });
                self.role = RoleState::Follower;
                self.reset_timeout(now);
                true
            }
            _ => false,
        }
    }

    fn adopt_founding(&mut self, now: Instant, membership: &Membership) {
        let group = Some(membership.group());
        self.write_hard_state(HardState { term: FOUNDING_TERM, vote: None, group });
        self.write_entries(vec![membership.founding_entry()]);
        self.role = RoleState::Follower;
        self.reset_timeout(now);
    }

    pub(super) fn run_formation(&mut self, now: Instant) {
        if let Some(membership) = self.founding_membership(now) {
            self.adopt_founding(now, &membership);
            for (vm, incarnation) in membership.members() {
                if *vm != self.settings.vm {
                    let body = MessageBody::Founding { membership: membership.clone() };
                    self.send_synced(vm, Some(incarnation), body);
                }
            }
            return;
        }
        if now < self.timeout_at {
            return;
        }
        self.timeout_at = now + self.settings.timing.probe;
        self.probe();
    }

    /// Makes itself known to the founders, the members, those that the settings name now and those
    /// that other control VMs have named.
    pub(super) fn probe(&mut self) {
        let founders = self.founders_digest();
        let mut known = self.named_by_settings();
        known.extend(self.membership().members().map(|(vm, _)| vm.clone()));
        known.extend(self.contacts.vms());
        for vm in known {
            if vm != self.settings.vm {
                let seen = self.sightings.get(&vm).map(|sighting| sighting.incarnation);
                self.send(&vm, seen, MessageBody::Probe { founders });
            }
        }
    }

    /// The founding membership, if it is on this replica to write it and it may.
    fn founding_membership(&self, now: Instant) -> Option<Membership> {
        if self.settings.founders.first() != Some(&self.settings.vm) {
            return None;
        }
        let mut voters = BTreeMap::new();
        for vm in &self.settings.founders {
            let incarnation = if *vm == self.settings.vm {
                self.incarnation
            } else {
                let sighting = self.sightings.get(vm)?;
                let empty_at = sighting.empty_at?;
                (now < empty_at + self.settings.timing.probe * FRESH_PROBES)
                    .then_some(sighting.incarnation)?
            };
            voters.insert(vm.clone(), incarnation);
        }
        Some(Membership { voters, learners: BTreeMap::new() })
    }

    /// Disks outside the membership that make themselves known now. One that was heard long ago may be
    /// gone: taken in, it would be found silent and taken out again, for ever, before a sound one.
    pub(super) fn non_members(&self, now: Instant) -> BTreeMap<VmId, Incarnation> {
        let life = self.settings.timing.probe * FRESH_PROBES;
        let fresh = self.sightings.iter().filter(|(_, sighting)| now < sighting.at + life);
        let heard = fresh.map(|(vm, sighting)| (vm.clone(), sighting.incarnation));
        heard.filter(|(vm, disk)| !self.membership().is_member(vm, *disk)).collect()
    }

    fn founders_digest(&self) -> u64 {
        let names: Vec<&str> = self.settings.founders.iter().map(String::as_str).collect();
        xxhash_rust::xxh3::xxh3_64(names.join("\n").as_bytes())
    }
}
