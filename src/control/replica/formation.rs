//! Founding of a group, and the behaviour of a replica without a group.
//!
//! Only the first founder by name writes a founding membership, and only after every founder has
//! confirmed to its current disk that its own disk is empty. A disk that was lost later meets
//! founders that are not empty. It founds no group and waits until the leader adds it, so it cannot
//! elect a leader that lacks committed entries. One that was lost before the founding is confirmed
//! as empty like the others, unless it is that of the first founder.

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

/// Maximum number of observed peers; messages of further VMs are not recorded.
const MAX_OBSERVED_PEERS: usize = 64;
/// Probe intervals after which an observation expires. The disk may be lost or emptied again since
/// then.
const FRESH_PROBES: u32 = 4;

/// Last observation of a peer.
#[derive(Clone, Debug)]
pub struct ObservedPeer {
    /// Incarnation of its disk.
    pub incarnation: Incarnation,
    /// Time of its last message.
    pub at: Instant,
    /// Time at which it confirmed to this disk that its own disk is empty and that it has the same
    /// founders; `None` if its last message did not.
    pub empty_at: Option<Instant>,
}

impl Replica {
    pub(super) fn observe_peer(&mut self, now: Instant, from: &VmId, message: &ReplicaMessage) {
        if self.observed_peers.len() >= MAX_OBSERVED_PEERS
            && !self.observed_peers.contains_key(from)
        {
            return;
        }
        // A probe sent to an earlier disk of this VM may have been delayed for long, and its sender
        // may have founded a group since.
        let to_this_disk =
            message.group.is_none() && message.to_incarnation == Some(self.incarnation);
        let empty = matches!(&message.body,
            MessageBody::Probe { founders } if to_this_disk && *founders == self.founders_digest());
        let observed = ObservedPeer {
            incarnation: message.from_incarnation,
            at: now,
            empty_at: empty.then_some(now),
        };
        self.observed_peers.insert(from.clone(), observed);
    }

    /// Whether the message belongs to this replica's group. A replica without a group joins that of
    /// the message if it may.
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

    /// Sends the founding membership to a founder that lacks it. Any founder that has it may do so.
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
            // These messages are sent only to disks named in the sender's membership, and this disk
            // has lost nothing since. A founder that missed the founding may be needed for a
            // quorum.
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

    /// Probes the founders, the members, the VMs named in the current settings and those named by
    /// other control VMs.
    pub(super) fn probe(&mut self) {
        let founders = self.founders_digest();
        let mut known = self.seed_vms();
        known.extend(self.membership().members().map(|(vm, _)| vm.clone()));
        known.extend(self.contacts.vms());
        for vm in known {
            if vm != self.settings.vm {
                let seen = self.observed_peers.get(&vm).map(|observed| observed.incarnation);
                self.send(&vm, seen, MessageBody::Probe { founders });
            }
        }
    }

    /// Returns the founding membership if this replica is the one to write it and all founders have
    /// empty disks.
    fn founding_membership(&self, now: Instant) -> Option<Membership> {
        if self.settings.founders.first() != Some(&self.settings.vm) {
            return None;
        }
        let mut voters = BTreeMap::new();
        for vm in &self.settings.founders {
            let incarnation = if *vm == self.settings.vm {
                self.incarnation
            } else {
                let observed = self.observed_peers.get(vm)?;
                let empty_at = observed.empty_at?;
                (now < empty_at + self.settings.timing.probe * FRESH_PROBES)
                    .then_some(observed.incarnation)?
            };
            voters.insert(vm.clone(), incarnation);
        }
        Some(Membership { voters, learners: BTreeMap::new() })
    }

    /// Disks outside the membership that have sent a message recently. A disk observed long ago may
    /// be lost. If it were added, it would be repeatedly found unresponsive and removed before
    /// a working disk is considered.
    pub(super) fn non_members(&self, now: Instant) -> BTreeMap<VmId, Incarnation> {
        let expiry = self.settings.timing.probe * FRESH_PROBES;
        let fresh = self.observed_peers.iter().filter(|(_, observed)| now < observed.at + expiry);
        let disks = fresh.map(|(vm, observed)| (vm.clone(), observed.incarnation));
        disks.filter(|(vm, disk)| !self.membership().is_member(vm, *disk)).collect()
    }

    /// Digest of the founders. A replica that must not found a group leaves itself out of its
    /// founders, and confirms the list that contains it nevertheless: the first founder may make it
    /// a voter, as its disk is empty and nobody else can have founded a group.
    fn founders_digest(&self) -> u64 {
        let mut founders = self.settings.founders.clone();
        founders.insert(self.settings.vm.clone());
        let names: Vec<&str> = founders.iter().map(String::as_str).collect();
        xxhash_rust::xxh3::xxh3_64(names.join("\n").as_bytes())
    }
}
