//! How control VMs outside the group find its leader.
//!
//! Settings name a few control VMs, and the leader may be none of them. A probed replica therefore
//! returns the members that it knows, and the leader announces the members to the VMs named in its
//! settings.

use {
    super::Replica,
    crate::{
        control::message::{GroupId, MessageBody},
        ids::{Incarnation, VmId},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// Maximum number of contacts: the seven VMs that may be reserved for control, several times
/// replaced.
const MAX_CONTACTS: usize = 32;

/// Control VMs named by other control VMs.
#[derive(Clone, Debug, Default)]
pub struct ContactList {
    /// At most [`MAX_CONTACTS`], each once, the most recently named last. The oldest is dropped.
    vms: VecDeque<VmId>,
}

impl ContactList {
    /// Adds VMs that were just named.
    pub fn insert(&mut self, named: BTreeSet<VmId>) {
        self.vms.retain(|vm| !named.contains(vm));
        self.vms.extend(named);
        let surplus = self.vms.len().saturating_sub(MAX_CONTACTS);
        self.vms.drain(..surplus);
    }

    /// Known VMs, sorted by name.
    pub fn vms(&self) -> BTreeSet<VmId> {
        self.vms.iter().cloned().collect()
    }
}

impl Replica {
    /// VMs named in the settings, both at startup and now.
    pub(super) fn seed_vms(&self) -> BTreeSet<VmId> {
        self.settings.founders.union(&self.configured_peers).cloned().collect()
    }

    pub(super) fn record_contacts(&mut self, group: Option<GroupId>, mut named: BTreeSet<VmId>) {
        let is_foreign =
            group.zip(self.hard_state.group).is_some_and(|(theirs, own)| theirs != own);
        if !is_foreign {
            named.remove(&self.settings.vm);
            self.contacts.insert(named);
        }
    }

    /// Answers the probe of a disk that is no member. Sends nothing if no VM is known.
    pub(super) fn send_contacts(&mut self, to: &VmId, incarnation: Incarnation) {
        if self.membership().is_member(to, incarnation) {
            return;
        }
        let mut vms = self.contacts.vms();
        vms.extend(self.membership().members().map(|(vm, _)| vm.clone()));
        if !vms.is_empty() {
            self.send(to, Some(incarnation), MessageBody::Contacts { vms });
        }
    }

    /// Announces the members to the VMs named in the settings that are no members. All VMs known to
    /// a VM outside the group may have left the group.
    pub(super) fn announce_members(&mut self) {
        let vms: BTreeSet<VmId> = self.membership().members().map(|(vm, _)| vm.clone()).collect();
        for vm in self.seed_vms() {
            if vm != self.settings.vm && !vms.contains(&vm) {
                self.send(&vm, None, MessageBody::Contacts { vms: vms.clone() });
            }
        }
    }
}
