//! How control VMs outside the group find its leader.
//!
//! Settings name a few control VMs, and the leader may be none of them. So whoever is asked names the
//! members that it knows, and the leader makes the members known to the VMs that its settings name.

use {
    super::Replica,
    crate::{
        control::message::{GroupId, MessageBody},
        ids::{Incarnation, VmId},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// VMs that are remembered: the seven that may be set aside, several times replaced.
const MAX_CONTACTS: usize = 32;

/// VMs that others have named.
#[derive(Clone, Debug, Default)]
pub struct ContactList {
    /// At most [`MAX_CONTACTS`], each once, the one named last at the end; beyond it the first goes.
    vms: VecDeque<VmId>,
}

impl ContactList {
    /// Takes in VMs that were named just now.
    pub fn note(&mut self, named: BTreeSet<VmId>) {
        self.vms.retain(|vm| !named.contains(vm));
        self.vms.extend(named);
        let surplus = self.vms.len().saturating_sub(MAX_CONTACTS);
        self.vms.drain(..surplus);
    }

    /// The VMs, by name.
    pub fn vms(&self) -> BTreeSet<VmId> {
        self.vms.iter().cloned().collect()
    }
}

impl Replica {
    /// The VMs that its settings name, at the start and now.
    pub(super) fn named_by_settings(&self) -> BTreeSet<VmId> {
        self.settings.founders.union(&self.introduced).cloned().collect()
    }

    pub(super) fn note_contacts(&mut self, group: Option<GroupId>, mut named: BTreeSet<VmId>) {
        let is_foreign =
            group.zip(self.hard_state.group).is_some_and(|(theirs, own)| theirs != own);
        if !is_foreign {
            named.remove(&self.settings.vm);
            self.contacts.note(named);
        }
    }

    /// Answers the probe of a disk that is no member. Without anything to name there is no answer.
    pub(super) fn name_contacts(&mut self, to: &VmId, incarnation: Incarnation) {
        if self.membership().is_member(to, incarnation) {
            return;
        }
        let mut vms = self.contacts.vms();
        vms.extend(self.membership().members().map(|(vm, _)| vm.clone()));
        if !vms.is_empty() {
            self.send(to, Some(incarnation), MessageBody::Contacts { vms });
        }
    }

    /// Tells the VMs that the settings name and that are no members where the group is: all that a
    /// VM outside knows may be VMs that have left it.
    pub(super) fn announce_members(&mut self) {
        let vms: BTreeSet<VmId> = self.membership().members().map(|(vm, _)| vm.clone()).collect();
        for vm in self.named_by_settings() {
            if vm != self.settings.vm && !vms.contains(&vm) {
                self.send(&vm, None, MessageBody::Contacts { vms: vms.clone() });
            }
        }
    }
}
