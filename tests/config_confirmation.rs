//! What operators are told of an entry whose configuration nobody confirms, and of a group that
//! cannot be repaired.

use {
    oleandermount::{
        control::{
            Membership,
            healing::{RepairNeeds, VOTER_TIMEOUT, repair_needs},
            replica::ReplicaStatus,
        },
        follow::confirmation::{AskedPeers, CONFIRMATION_LIMIT, ConfirmationWatch},
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
    let mut watch = ConfirmationWatch::new(began);
    assert!(!watch.note(began + STEP, false, PEERS), "an election takes as long");
    assert!(watch.note(began + CONFIRMATION_LIMIT, false, PEERS));
    assert!(!watch.note(began + CONFIRMATION_LIMIT + STEP, false, PEERS));
    assert!(watch.note(began + CONFIRMATION_LIMIT + STEP * 2, true, PEERS));
    assert!(!watch.note(began + CONFIRMATION_LIMIT + STEP * 3, true, PEERS));
}

/// A group that stays without a voter, with nothing in the leader's log.
#[test]
fn unmet_repair_is_told() {
    let now = Instant::now();
    let voters: BTreeMap<String, u64> =
        [("vm-a", 1), ("vm-b", 2), ("vm-c", 3)].map(|(vm, disk)| (vm.to_owned(), disk)).into();
    let last_replies = ["vm-b", "vm-c"].map(|vm| (vm.to_owned(), now)).into();
    let mut status = ReplicaStatus {
        members: Membership { voters, learners: BTreeMap::new() },
        last_replies,
        leader_since: Some(now),
        ..ReplicaStatus::default()
    };
    assert_eq!(repair_needs(now, &status, 3), None);
    let later = now + VOTER_TIMEOUT + STEP;
    status.last_replies.insert("vm-b".to_owned(), later);
    let need = RepairNeeds { unresponsive: vec!["vm-c".to_owned()], ..RepairNeeds::default() };
    assert_eq!(repair_needs(later, &status, 3), Some(need));
    status.leader_since = None;
    assert_eq!(repair_needs(later, &status, 3), None, "another VM leads");
}
