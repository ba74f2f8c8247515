//! Requests whose servers have no free slot.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, DidRun, Dispatcher, DispatcherSettings, PolicyAction, PolicyInput,
            PolicyView, RefusalReason, RequestTicket, RequestWork, SafeguardSet, SendOrder,
            ServerView,
        },
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const DELAY: Duration = Duration::from_millis(400);

fn dispatcher(now: Instant, servers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "d1".to_owned(),
        seed: 7,
        disabled: SafeguardSet::default(),
    });
    let server = ServerView {
        software: String::new(),
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some("app".to_owned()),
        slots: 4,
    };
    let servers = (0..servers).map(|number| (format!("i-{number}"), server.clone()));
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        ..PolicyView::default()
    };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    dispatcher
}

fn arrival(now: Instant, request: &str, repeatable: bool) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: request.to_owned(),
        organisation: "org".to_owned(),
        class: RequestClass::Standard,
        deadline: now + Duration::from_secs(4),
        repeatable,
        fingerprint: 1,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service: "app".to_owned() },
    })
}

fn send(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

fn no_slot(order: &SendOrder) -> PolicyInput {
    PolicyInput::Failed {
        attempt: order.attempt,
        failure: AttemptFailure::NoSlot,
        relayed_tokens: 0,
        retry_after: Some(DELAY),
    }
}

/// Guards against requests that wait for their deadline, or ask all servers, while none has a free slot.
#[test]
fn full_service_refuses_at_once() {
    for repeatable in [true, false] {
        let now = Instant::now();
        let mut dispatcher = dispatcher(now, 8);
        let mut actions = dispatcher.handle(now, arrival(now, "r", repeatable));
        let mut asked = BTreeSet::new();
        while let Some(order) = send(&actions) {
            assert!(asked.insert(order.server.clone()), "{} is asked twice", order.server);
            actions = dispatcher.handle(now, no_slot(&order));
        }
        assert_eq!(asked.len(), 3);
        let refusal = actions.iter().find_map(|action| match action {
            PolicyAction::Refuse { reason, retry_after, did_run, .. } => {
                Some((*reason, *retry_after, *did_run))
            }
            _ => None,
        });
        assert_eq!(refusal, Some((RefusalReason::NoSlot, Some(DELAY), DidRun::No)));
    }
}

/// The next request prefers servers that may have a free slot.
#[test]
fn full_servers_are_passed_over() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, 2);
    let first = send(&dispatcher.handle(now, arrival(now, "r1", true))).expect("it is sent");
    let second = send(&dispatcher.handle(now, no_slot(&first))).expect("it is sent again");
    assert_ne!(first.server, second.server);
    for number in 0..3 {
        let arrived = arrival(now, &format!("r2-{number}"), true);
        let order = send(&dispatcher.handle(now, arrived)).expect("it is sent");
        assert_eq!(order.server, second.server);
    }
    let later = now + DELAY;
    let order = send(&dispatcher.handle(later, arrival(later, "r3", true))).expect("it is sent");
    assert_eq!(order.server, first.server, "its slots may be free again, and it is idle");
}
