//! A replica of an empty disk finds the group through VMs that its settings name only later.
//!
//! What operators saw without it: a control VM that was started while all VMs that its settings named
//! were gone stood by for ever, although the settings were corrected soon after. Order of events: it
//! starts and asks the VMs that it was told of; the settings change; it goes on asking the first ones
//! alone, so no leader ever hears of it.

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

/// The VMs that the replica turns to when it is next due.
fn asked(replica: &mut Replica) -> BTreeSet<String> {
    let due = replica.next_wakeup().expect("it asks again");
    let actions = replica.handle(due, ReplicaInput::Tick);
    let sent = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send { to, .. } => Some(to),
        _ => None,
    });
    sent.collect()
}

#[test]
fn asks_whom_the_settings_name() {
    let settings = ReplicaSettings {
        vm: "vm-d".to_owned(),
        founders: names(&["vm-a", "vm-b"]),
        seed: 1,
        timing: ReplicaTiming::default(),
        limits: ReplicaLimits::default(),
    };
    let saved = SavedState::empty(7);
    let mut replica = Replica::new(settings, saved, Instant::now()).expect("the disk is empty");
    assert_eq!(asked(&mut replica), names(&["vm-a", "vm-b"]));
    let input = ReplicaInput::ConfiguredPeers { peers: names(&["vm-c", "vm-d"]) };
    replica.handle(Instant::now(), input);
    assert_eq!(asked(&mut replica), names(&["vm-a", "vm-b", "vm-c"]));
}
