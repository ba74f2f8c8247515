//! A server is listed together with the word that it must get no work.
//!
//! What callers saw without it: an answer of weights that operators had replaced long before. Order of
//! events: a server that was away comes back on its former weights and is listed anew; the view that
//! lists it says as well that it must get nothing; a request that waits is placed between the two, and
//! the new server is the only idle one.

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

fn booking(number: u32, now: Instant) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: format!("r{number}"),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(60),
        repeatable: false,
        fingerprint: u64::from(number),
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
fn nothing_between_list_and_health() {
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
        sent += sends(dispatcher.handle(now, booking(number, now))).len();
    }
    assert!(sent < 20, "some of them wait");
    let leaving = PolicyInput::Health { server: "new".to_owned(), health: ServerHealth::Leaving };
    let orders = sends(dispatcher.handle_all(now, [view(&["new", "old"]), leaving]));
    assert_eq!(orders.iter().filter(|order| order.server == "new").count(), 0, "{orders:?}");
    // The same as two inputs shows what the waiting requests would do.
    let alive = ServerHealth::Alive { incarnation: 1 };
    let health = PolicyInput::Health { server: "new".to_owned(), health: alive };
    assert!(sends(dispatcher.handle(now, health)).iter().any(|order| order.server == "new"));
}
