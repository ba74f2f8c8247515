//! Reports to operators about an entry whose configuration is not confirmed, and about a control
//! group that cannot be repaired.

use {
    oleandermount::{
        control::{
            Membership,
            healing::{RepairNeeds, VOTER_TIMEOUT, repair_needs},
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

/// Guards against an entry that serves with an old document for long without a message in its log,
/// and against repeated messages.
#[test]
fn logs_each_change_once() {
    let start = Instant::now();
    let mut monitor = ConfirmationMonitor::new(start);
    assert!(!monitor.record(start + STEP, false, PEERS), "an election may take this long");
    assert!(monitor.record(start + CONFIRMATION_LIMIT, false, PEERS));
    assert!(!monitor.record(start + CONFIRMATION_LIMIT + STEP, false, PEERS));
    assert!(monitor.record(start + CONFIRMATION_LIMIT + STEP * 2, true, PEERS));
    assert!(!monitor.record(start + CONFIRMATION_LIMIT + STEP * 3, true, PEERS));
}

/// Guards against a group that lacks a voter without a message in the leader's log.
#[test]
fn reports_needed_repair() {
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
    assert_eq!(repair_needs(later, &status, 3), None, "only the leader reports");
}
