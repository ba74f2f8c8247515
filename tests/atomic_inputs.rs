//! A configuration and the health of a newly listed server are handled atomically.
//!
//! Guards against answers from weights that operators had replaced. A server that was away returns
//! with its former weights and is listed again, together with the report that it must get no
//! requests. A waiting request must not be placed between the two inputs, although the new server
//! is the only idle one.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, PolicyAction, PolicyInput, PolicyView, RequestTicket,
            RequestWork, SafeguardSet, SendOrder, ServerHealth, ServerView,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "stock";

fn view(servers: &[&str]) -> PolicyInput {
    let server = ServerView {
        software: String::new(),
        failure_domain: "suva".to_owned(),
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some(SERVICE.to_owned()),
        slots: 1,
    };
    let servers = servers.iter().map(|id| ((*id).to_owned(), server.clone())).collect();
    let objective = DecisionObjective::FirstToken;
    PolicyInput::Configure(Arc::new(PolicyView {
        revision: 1,
        objective,
        servers,
        ..PolicyView::default()
    }))
}

fn non_repeatable_call(number: u32, now: Instant) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: format!("r{number}"),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(60),
        repeatable: false,
        fingerprint: u64::from(number),
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service: SERVICE.to_owned() },
    })
}

fn sends(actions: Vec<PolicyAction>) -> Vec<SendOrder> {
    let sends = actions.into_iter().filter_map(|action| match action {
        PolicyAction::Send(order) => Some(order),
        _ => None,
    });
    sends.collect()
}

#[test]
fn inputs_are_handled_atomically() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "suva".to_owned(),
        seed: 5,
        disabled: SafeguardSet::default(),
    });
    dispatcher.handle(now, view(&["old"]));
    let mut sent = 0;
    for number in 0..20 {
        sent += sends(dispatcher.handle(now, non_repeatable_call(number, now))).len();
    }
    assert!(sent < 20, "some requests wait");
    let leaving = PolicyInput::Health { server: "new".to_owned(), health: ServerHealth::Leaving };
    let orders = sends(dispatcher.handle_all(now, [view(&["new", "old"]), leaving]));
    assert_eq!(orders.iter().filter(|order| order.server == "new").count(), 0, "{orders:?}");
    // The waiting requests go to the new server once it is reported as alive.
    let alive = ServerHealth::Alive { incarnation: 1 };
    let health = PolicyInput::Health { server: "new".to_owned(), health: alive };
    assert!(sends(dispatcher.handle(now, health)).iter().any(|order| order.server == "new"));
}
