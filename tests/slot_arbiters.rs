//! Which entry leases the slots of each backend server.

use {
    oleandermount::{
        fleet::{FleetSnapshot, ListedServer, ServerPhase, arbiters::ArbiterAssignment},
        ids::VmId,
    },
    std::collections::BTreeMap,
    tokio::time::{Duration, Instant},
};

fn fleet(servers: usize) -> FleetSnapshot {
    let servers = (0..servers).map(|number| ListedServer {
        id: format!("i-{number:03}"),
        service: "app".to_owned(),
        address: "127.0.0.1:9".parse().expect("it is an address"),
        failure_domain: "d1".to_owned(),
        slots: 8,
        software: "v1".to_owned(),
        arbiter: None,
        phase: ServerPhase::Ready,
        incarnation: 1,
        weights: BTreeMap::new(),
    });
    FleetSnapshot::new(servers.collect())
}

fn entries(count: usize) -> Vec<VmId> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

fn assigned(assignment: &ArbiterAssignment, now: Instant, servers: usize) -> Vec<Option<VmId>> {
    let mut snapshot = fleet(servers);
    assignment.assign(now, &mut snapshot);
    snapshot.servers.into_iter().map(|server| server.arbiter).collect()
}

/// Guards against leases that are interrupted at all servers when one entry comes or goes.
#[test]
fn lost_entry_moves_few_servers() {
    let (mut assignment, now) = (ArbiterAssignment::default(), Instant::now());
    assignment.record_entries(now, entries(295));
    let later = now + Duration::from_secs(4);
    let before = assigned(&assignment, later, 320);
    assert!(before.iter().all(Option::is_some));
    let mut counts: BTreeMap<&VmId, usize> = BTreeMap::new();
    before.iter().flatten().for_each(|vm| *counts.entry(vm).or_default() += 1);
    assert!(counts.values().all(|count| *count <= 8), "{:?}", counts.values().max());
    let gone = before[0].clone().expect("each server has an arbiter");
    let rest = entries(295).into_iter().filter(|vm| *vm != gone);
    let expired = now + Duration::from_secs(7);
    assignment.record_entries(expired, rest);
    let after = assigned(&assignment, expired, 320);
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    assert_eq!(moved, counts[&gone]);
}

/// Guards against a control VM that has just started and names other arbiters than its predecessor.
#[test]
fn started_control_vm_waits() {
    let (mut assignment, now) = (ArbiterAssignment::default(), Instant::now());
    assert_eq!(assigned(&assignment, now, 2), [None, None], "no entry has polled");
    assignment.record_entries(now, entries(1));
    assert_eq!(assigned(&assignment, now + Duration::from_secs(1), 2), [None, None]);
    let mut received = fleet(2);
    let mut known = fleet(2);
    known.servers.iter_mut().for_each(|server| server.arbiter = Some("vm-7".to_owned()));
    received.keep_known(&known);
    assert_eq!(received, known, "a follower keeps the arbiters that it knows");
}
