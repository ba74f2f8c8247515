//! A replica with an empty disk finds the group through VMs that were added to its settings after
//! its start.
//!
//! Guards against a control VM that never joins the group. It starts while all VMs named in its
//! settings are lost, and the settings are corrected later. If it kept probing only the first VMs,
//! no leader would receive its probes.

use {
    oleandermount::control::{
        SavedState,
        replica::{
            Replica, ReplicaAction, ReplicaInput, ReplicaLimits, ReplicaSettings, ReplicaTiming,
        },
    },
    std::{collections::BTreeSet, time::Instant},
};

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// VMs that the replica probes when its timer is due.
fn probed_vms(replica: &mut Replica) -> BTreeSet<String> {
    let due = replica.next_wakeup().expect("it probes again");
    let actions = replica.handle(due, ReplicaInput::Tick);
    let sent = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send { to, .. } => Some(to),
        _ => None,
    });
    sent.collect()
}

#[test]
fn probes_configured_vms() {
    let settings = ReplicaSettings {
        vm: "vm-d".to_owned(),
        founders: names(&["vm-a", "vm-b"]),
        seed: 1,
        timing: ReplicaTiming::default(),
        limits: ReplicaLimits::default(),
    };
    let saved = SavedState::empty(7);
    let mut replica = Replica::new(settings, saved, Instant::now()).expect("the disk is empty");
    assert_eq!(probed_vms(&mut replica), names(&["vm-a", "vm-b"]));
    let input = ReplicaInput::ConfiguredPeers { peers: names(&["vm-c", "vm-d"]) };
    replica.handle(Instant::now(), input);
    assert_eq!(probed_vms(&mut replica), names(&["vm-a", "vm-b", "vm-c"]));
}
