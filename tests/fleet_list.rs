//! The state of a follower is never replaced by an older one, whichever control VM it follows.

use {
    oleandermount::{
        control::document::NumberedDocument,
        fleet::{
            FleetSnapshot, ListedServer, ServerPhase,
            history::{FleetChange, FleetDelta, FleetHistory},
            watch::{FleetView, publish_list},
        },
        follow::{FollowReply, SharedState},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::{interval, timeout},
};

fn fleet_with(phase: ServerPhase, incarnation: u64) -> FleetSnapshot {
    FleetSnapshot::new(vec![ListedServer {
        id: "i-1".to_owned(),
        service: "app".to_owned(),
        address: "127.0.0.1:9".parse().expect("it is an address"),
        failure_domain: "d1".to_owned(),
        slots: 8,
        software: "v1".to_owned(),
        arbiter: None,
        phase,
        incarnation,
        weights: BTreeMap::new(),
    }])
}

fn phase_after(state: &mut SharedState, fleet: FleetSnapshot) -> ServerPhase {
    state.apply(FollowReply { fleet: Some(Arc::new(fleet)), ..FollowReply::default() });
    state.fleet.as_ref().expect("a list was applied").servers[0].phase
}

/// Guards against new work for a server that is being removed. An entry learns that the server is
/// draining; its control VM is partitioned, and the next control VM has read the list a second
/// earlier.
#[test]
fn draining_server_stays_draining() {
    let mut state = SharedState::default();
    assert_eq!(phase_after(&mut state, fleet_with(ServerPhase::Ready, 1)), ServerPhase::Ready);
    assert_eq!(
        phase_after(&mut state, fleet_with(ServerPhase::Draining, 1)),
        ServerPhase::Draining
    );
    assert_eq!(phase_after(&mut state, fleet_with(ServerPhase::Ready, 1)), ServerPhase::Draining);
    assert_eq!(
        phase_after(&mut state, fleet_with(ServerPhase::Ready, 2)),
        ServerPhase::Ready,
        "a new incarnation"
    );
}

/// Guards against a control VM and a follower that exchange the full list continuously because
/// their digests differ.
#[test]
fn digest_matches_sender() {
    let mut state = SharedState::default();
    phase_after(&mut state, fleet_with(ServerPhase::Draining, 1));
    let older = fleet_with(ServerPhase::Ready, 1);
    phase_after(&mut state, older.clone());
    assert_eq!(state.fleet_digest, older.digest());
}

#[test]
fn older_numbers_are_ignored() {
    let mut state = SharedState::default();
    for (number, version, expected) in [(5, 2, (5, 2)), (4, 1, (5, 2)), (6, 3, (6, 3))] {
        state.apply(FollowReply {
            document: Some(NumberedDocument { number, body: "{}".into() }),
            weights: Some([("m0".to_owned(), version)].into()),
            ..FollowReply::default()
        });
        assert_eq!((state.document.number, state.weights["m0"]), expected);
    }
}

fn fleet_of(count: u64, phase_of: impl Fn(u64) -> ServerPhase) -> Arc<FleetSnapshot> {
    let servers = (0..count).map(|number| {
        let mut server = fleet_with(phase_of(number), 1).servers.remove(0);
        server.id = format!("i-{number:04}");
        server.weights = [("m0".to_owned(), 1)].into();
        server
    });
    Arc::new(FleetSnapshot::new(servers.collect()))
}

/// Guards against control VMs that fail to lead because of the lists that they send: each server
/// that loads weights changes the list, and every daemon received the full list each time.
#[test]
fn followers_get_differences() {
    let mut history = FleetHistory::default();
    let mut state = SharedState::default();
    for loading in 0..100 {
        let phase =
            |number| if number == loading { ServerPhase::Loading } else { ServerPhase::Ready };
        let current = fleet_of(870, phase);
        let change = history.change_since(state.fleet_digest, &current).expect("it changed");
        let reply = match change {
            FleetChange::Full(fleet) => {
                assert_eq!(loading, 0, "only the first list is sent in full");
                FollowReply { fleet: Some(fleet), ..FollowReply::default() }
            }
            FleetChange::Delta(delta) => FollowReply {
                fleet_delta: Some(FleetDelta::clone(&delta)),
                ..FollowReply::default()
            },
        };
        let length = postcard::to_stdvec(&reply).expect("it encodes").len();
        assert!(loading == 0 || length < 512, "{length} bytes for two servers that changed");
        state.apply(reply);
        assert_eq!(state.fleet.as_ref(), Some(&current));
        assert_eq!(history.change_since(state.fleet_digest, &current), None);
    }
}

#[test]
fn delta_reproduces_list() {
    let one = fleet_of(5, |_| ServerPhase::Ready);
    let other = fleet_of(7, |number| match number {
        2 => ServerPhase::Draining,
        _ => ServerPhase::Ready,
    });
    for (previous, current) in [(&one, &other), (&other, &one)] {
        let mut history = FleetHistory::default();
        history.change_since(0, previous);
        let Some(FleetChange::Delta(delta)) = history.change_since(previous.digest(), current)
        else {
            panic!("the previous list is known");
        };
        assert_eq!(previous.apply(&delta), **current);
        assert_eq!(delta.digest, current.digest());
    }
}

/// Guards against a list assembled from two others: a difference applies only to its own base.
#[test]
fn delta_for_other_base_is_ignored() {
    let (one, other) = (fleet_of(3, |_| ServerPhase::Ready), fleet_of(3, |_| ServerPhase::Loading));
    let mut history = FleetHistory::default();
    history.change_since(0, &one);
    let Some(FleetChange::Delta(delta)) = history.change_since(one.digest(), &other) else {
        panic!("the previous list is known");
    };
    let mut state = SharedState::default();
    state.apply(FollowReply {
        fleet_delta: Some(FleetDelta::clone(&delta)),
        ..FollowReply::default()
    });
    assert_eq!((state.fleet, state.fleet_digest), (None, 0));
    let full = history.change_since(77, &other);
    assert_eq!(
        full,
        Some(FleetChange::Full(other)),
        "an unknown list is replaced by the full list"
    );
}

/// Guards against followers that receive each change separately while hundreds of servers load
/// weights.
#[tokio::test(start_paused = true)]
async fn changes_are_batched() {
    let view = Arc::new(FleetView::default());
    let ready = fleet_of(870, |_| ServerPhase::Ready);
    view.apply_reading(FleetSnapshot::clone(&ready));
    let mut published = view.subscribe_published();
    tokio::spawn(publish_list(Arc::clone(&view)));
    let first = timeout(Duration::from_secs(1), published.changed()).await;
    assert!(first.is_ok(), "a list is published");
    assert_eq!(*published.borrow_and_update(), Some(ready), "the earlier reading is published");
    let mut times = 0;
    let mut ticks = interval(Duration::from_millis(10));
    for number in 0..100 {
        view.hold(&format!("i-{number:04}"));
        ticks.tick().await;
        times += usize::from(published.has_changed().expect("the view exists"));
        published.mark_unchanged();
    }
    assert!(times <= 11, "{times} lists in a second");
    let last = fleet_of(870, |number| match number {
        0..100 => ServerPhase::Loading,
        _ => ServerPhase::Ready,
    });
    let is_last = |list: &Option<Arc<FleetSnapshot>>| list.as_deref() == Some(&*last);
    let seen = timeout(Duration::from_secs(1), published.wait_for(is_last)).await;
    assert!(seen.is_ok(), "the last list is published");
}

/// Applies a change to what a follower holds.
fn follow(state: &mut SharedState, change: FleetChange) {
    let (fleet, fleet_delta) = match change {
        FleetChange::Full(fleet) => (Some(fleet), None),
        FleetChange::Delta(delta) => (None, Some(FleetDelta::clone(&delta))),
    };
    state.apply(FollowReply { fleet, fleet_delta, ..FollowReply::default() });
}

async fn published_list(view: &FleetView, is_expected: impl Fn(&FleetSnapshot) -> bool) {
    let mut published = view.subscribe_published();
    let seen = published.wait_for(|list| list.as_deref().is_some_and(&is_expected));
    assert!(timeout(Duration::from_secs(1), seen).await.is_ok(), "the list is published");
}

/// Guards against new work for servers that are all gone: a list without servers is passed on like any other,
/// to followers that hold the list before it, another one, or none.
#[tokio::test(start_paused = true)]
async fn empty_list_is_passed_on() {
    let view = Arc::new(FleetView::default());
    tokio::spawn(publish_list(Arc::clone(&view)));
    view.apply_reading(FleetSnapshot::clone(&fleet_of(3, |_| ServerPhase::Ready)));
    published_list(&view, |list| list.servers.len() == 3).await;
    let (mut current, mut fresh) = (SharedState::default(), SharedState::default());
    follow(&mut current, view.change_since(0).expect("it has no list"));
    let mut other = SharedState::default();
    phase_after(&mut other, fleet_with(ServerPhase::Ready, 1));
    view.apply_reading(FleetSnapshot::default());
    published_list(&view, |list| list.servers.is_empty()).await;
    for state in [&mut current, &mut other, &mut fresh] {
        follow(state, view.change_since(state.fleet_digest).expect("its list is another one"));
        assert_eq!(state.fleet.as_deref(), Some(&FleetSnapshot::default()));
        assert_eq!(view.change_since(state.fleet_digest), None, "it is sent once");
    }
    // Another control VM follows this one.
    let second = Arc::new(FleetView::default());
    tokio::spawn(publish_list(Arc::clone(&second)));
    second.apply_leader_list(current.fleet.clone());
    published_list(&second, |list| list.servers.is_empty()).await;
    view.apply_reading(FleetSnapshot::clone(&fleet_of(2, |_| ServerPhase::Ready)));
    published_list(&view, |list| list.servers.len() == 2).await;
    let change = view.change_since(current.fleet_digest).expect("it changed");
    follow(&mut current, change);
    assert_eq!(current.fleet, Some(fleet_of(2, |_| ServerPhase::Ready)));
}

/// Guards against servers that get no work since a control VM which has just started passes on that it knows
/// none.
#[tokio::test(start_paused = true)]
async fn unread_list_is_not_passed_on() {
    let view = Arc::new(FleetView::default());
    tokio::spawn(publish_list(Arc::clone(&view)));
    view.apply_leader_list(None);
    view.report_weights(&"i-1".to_owned(), 1, BTreeMap::new());
    view.hold(&"i-1".to_owned());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let held = fleet_of(3, |_| ServerPhase::Ready).digest();
    assert_eq!((view.change_since(0), view.change_since(held)), (None, None));
}
