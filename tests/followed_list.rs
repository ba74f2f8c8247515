//! What a follower has learned never goes back, whichever control VM it turns to.

use {
    oleandermount::{
        control::document::NumberedDocument,
        fleet::{FleetSnapshot, ListedServer, ServerPhase},
        follow::{FollowReply, SharedState},
    },
    std::collections::BTreeMap,
};

fn list(phase: ServerPhase, life: u64) -> FleetSnapshot {
    FleetSnapshot::new(vec![ListedServer {
        id: "i-1".to_owned(),
        service: "app".to_owned(),
        address: "127.0.0.1:9".parse().expect("it is an address"),
        failure_domain: "d1".to_owned(),
        slots: 8,
        phase,
        life,
        weights: BTreeMap::new(),
    }])
}

fn listed(state: &mut SharedState, fleet: FleetSnapshot) -> ServerPhase {
    state.take(FollowReply { fleet: Some(fleet), ..FollowReply::default() });
    state.fleet.as_ref().expect("a list was taken").servers[0].phase
}

/// A leaving server got new work again. Order of events: an entry learns that it drains; its control
/// VM is cut off, and the next one it asks read the list a second earlier.
#[test]
fn draining_stays() {
    let mut state = SharedState::default();
    assert_eq!(listed(&mut state, list(ServerPhase::Ready, 1)), ServerPhase::Ready);
    assert_eq!(listed(&mut state, list(ServerPhase::Draining, 1)), ServerPhase::Draining);
    assert_eq!(listed(&mut state, list(ServerPhase::Ready, 1)), ServerPhase::Draining);
    assert_eq!(listed(&mut state, list(ServerPhase::Ready, 2)), ServerPhase::Ready, "a new life");
}

/// Control VM and follower would otherwise exchange the whole list without a pause.
#[test]
fn digest_is_the_senders() {
    let mut state = SharedState::default();
    listed(&mut state, list(ServerPhase::Draining, 1));
    let older = list(ServerPhase::Ready, 1);
    listed(&mut state, older.clone());
    assert_eq!(state.fleet_digest, older.digest());
}

#[test]
fn numbers_only_grow() {
    let mut state = SharedState::default();
    for (number, version, held) in [(5, 2, (5, 2)), (4, 1, (5, 2)), (6, 3, (6, 3))] {
        state.take(FollowReply {
            document: Some(NumberedDocument { number, body: "{}".into() }),
            weights: Some([("m0".to_owned(), version)].into()),
            ..FollowReply::default()
        });
        assert_eq!((state.document.number, state.weights["m0"]), held);
    }
}
