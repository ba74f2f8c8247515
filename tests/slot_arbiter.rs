//! An entry that leases slots as the server list assigns them.

use {
    oleandermount::{
        fleet::{ListedServer, ServerPhase},
        ids::{ServerId, VmId},
        policy::slot_leases::{LeaseDemand, LeaseRefusal, MemoryDemand, SETTLE_TIME},
        roles::slot_arbiter::SlotArbiter,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const PATIENCE: Duration = Duration::from_secs(2);

fn list(arbiters: &[(&str, Option<&str>)]) -> BTreeMap<ServerId, ListedServer> {
    let servers = arbiters.iter().map(|(id, arbiter)| {
        let server = ListedServer {
            id: (*id).to_owned(),
            service: "app".to_owned(),
            address: "127.0.0.1:9".parse().expect("it is an address"),
            failure_domain: "d1".to_owned(),
            software: "v1".to_owned(),
            slots: 1,
            arbiter: arbiter.map(ToOwned::to_owned),
            phase: ServerPhase::Ready,
            incarnation: 1,
            weights: BTreeMap::new(),
        };
        (server.id.clone(), server)
    });
    servers.collect()
}

async fn lease(arbiter: &Arc<SlotArbiter>, server: &str, lease: u64) -> Result<(), LeaseRefusal> {
    let demand = LeaseDemand { patience: PATIENCE, memory: MemoryDemand::default(), reading: None };
    let granted = Arc::clone(arbiter).lease(server.to_owned(), lease, "vm-2".to_owned(), demand);
    granted.await.map(|_| ())
}

fn is_settling(result: Result<(), LeaseRefusal>) -> bool {
    matches!(result, Err(LeaseRefusal::Full(delay)) if delay > PATIENCE && delay <= SETTLE_TIME)
}

/// Guards against slots that stay unused for seconds although nobody has leased them before.
#[tokio::test]
async fn unleased_slots_are_leased() {
    let (arbiter, own): (Arc<SlotArbiter>, VmId) = (Arc::default(), "vm-1".to_owned());
    assert_eq!(lease(&arbiter, "a", 1).await, Err(LeaseRefusal::NotArbiter));
    arbiter.configure(&own, &list(&[("a", None), ("b", Some("vm-9"))]), |_| None);
    arbiter.configure(
        &own,
        &list(&[("a", Some("vm-1")), ("b", Some("vm-1")), ("c", Some("vm-1"))]),
        |_| None,
    );
    assert_eq!(lease(&arbiter, "a", 1).await, Ok(()), "it had no arbiter");
    assert_eq!(lease(&arbiter, "c", 2).await, Ok(()), "it is new");
    assert!(is_settling(lease(&arbiter, "b", 3).await), "another entry was its arbiter");
}

/// Guards against a restarted entry that leases slots which its former process has leased.
#[tokio::test]
async fn restarted_arbiter_settles() {
    let (arbiter, own): (Arc<SlotArbiter>, VmId) = (Arc::default(), "vm-1".to_owned());
    arbiter.configure(&own, &list(&[("a", Some("vm-1"))]), |_| None);
    assert!(is_settling(lease(&arbiter, "a", 1).await));
}

/// A request waits until a lease ends, and gives up when its caller does.
#[tokio::test]
async fn waiting_request_gets_lease() {
    let (arbiter, own): (Arc<SlotArbiter>, VmId) = (Arc::default(), "vm-1".to_owned());
    arbiter.configure(&own, &list(&[]), |_| None);
    arbiter.configure(&own, &list(&[("a", Some("vm-1"))]), |_| None);
    assert_eq!(lease(&arbiter, "a", 1).await, Ok(()));
    let waiting = lease(&arbiter, "a", 2);
    tokio::pin!(waiting);
    assert!(futures::poll!(&mut waiting).is_pending());
    {
        let abandoned = lease(&arbiter, "a", 3);
        tokio::pin!(abandoned);
        assert!(futures::poll!(&mut abandoned).is_pending());
    }
    arbiter.end(&"a".to_owned(), 1);
    assert_eq!(waiting.await, Ok(()));
    arbiter.end(&"a".to_owned(), 2);
    assert_eq!(lease(&arbiter, "a", 4).await, Ok(()), "the abandoned request has no lease");
}
