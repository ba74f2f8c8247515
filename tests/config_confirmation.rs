//! What operators are told of an entry whose configuration nobody confirms, and of a group that
//! cannot be repaired.

use {
    oleandermount::{
        control::{
            Membership,
            healing::{RepairNeed, SILENCE, repair_need},
            replica::ReplicaStatus,
        },
        follow::confirmation::{AskedPeers, CONFIRMATION_LIMIT, ConfirmationMonitor},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const PEERS: AskedPeers = AskedPeers { asked: 3, answered: 2 };
const STEP: Duration = Duration::from_millis(200);

/// An entry that serves by an old document for long, with nothing in its log.
#[test]
fn told_once_each_way() {
    let began = Instant::now();
    let mut watch = ConfirmationMonitor::new(began);
    assert!(!watch.record(began + STEP, false, PEERS), "an election takes as long");
    assert!(watch.record(began + CONFIRMATION_LIMIT, false, PEERS));
    assert!(!watch.record(began + CONFIRMATION_LIMIT + STEP, false, PEERS));
    assert!(watch.record(began + CONFIRMATION_LIMIT + STEP * 2, true, PEERS));
    assert!(!watch.record(began + CONFIRMATION_LIMIT + STEP * 3, true, PEERS));
}

/// A group that stays without a voter, with nothing in the leader's log.
#[test]
fn unmet_repair_is_told() {
    let now = Instant::now();
    let voters: BTreeMap<String, u64> =
        [("vm-a", 1), ("vm-b", 2), ("vm-c", 3)].map(|(vm, disk)| (vm.to_owned(), disk)).into();
    let heard = ["vm-b", "vm-c"].map(|vm| (vm.to_owned(), now)).into();
    let mut status = ReplicaStatus {
        members: Membership { voters, learners: BTreeMap::new() },
        heard,
        leader_since: Some(now),
        ..ReplicaStatus::default()
    };
    assert_eq!(repair_need(now, &status, 3), None);
    let later = now + SILENCE + STEP;
    status.heard.insert("vm-b".to_owned(), later);
    let need = RepairNeed { silent: vec!["vm-c".to_owned()], ..RepairNeed::default() };
    assert_eq!(repair_need(later, &status, 3), Some(need));
    status.leader_since = None;
    assert_eq!(repair_need(later, &status, 3), None, "another VM leads");
}
