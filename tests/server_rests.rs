//! Servers that ask not to be used, and when refused callers come back.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, PolicyAction, PolicyInput, PolicyView, RefusalReason,
            RequestTicket, RequestWork, SafeguardSet, ServerHealth, ServerView,
            server_rest::{ServerRest, is_waited_for, return_delay},
        },
        reverse_proxy::server_demands::DemandTable,
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REST: Duration = Duration::from_secs(3);

fn server() -> ServerView {
    ServerView {
        failure_domain: "domain-0".to_owned(),
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some("orders".to_owned()),
        slots: 4,
        software: String::new(),
    }
}

fn dispatcher(now: Instant, servers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "domain-0".to_owned(),
        seed: 3,
        disabled: SafeguardSet::default(),
    });
    let names = (0..servers).map(|number| (format!("server-{number}"), server()));
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: names.collect(),
        ..PolicyView::default()
    };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    for number in 0..servers {
        dispatcher.handle(now, alive(number, 1));
    }
    dispatcher
}

fn alive(number: usize, incarnation: u64) -> PolicyInput {
    let server = format!("server-{number}");
    PolicyInput::Health { server, health: ServerHealth::Alive { incarnation } }
}

fn rest(number: usize, delay: Duration) -> PolicyInput {
    PolicyInput::ServerRest { server: format!("server-{number}"), delay }
}

fn call(number: usize, now: Instant) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: format!("request-{number}"),
        organisation: "organisation".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(15),
        repeatable: number.is_multiple_of(2),
        fingerprint: number as u64,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Service { service: "orders".to_owned() },
    })
}

/// Returns the server that a request is sent to, or the reason and the time of its refusal.
fn outcome(actions: &[PolicyAction]) -> Result<String, (RefusalReason, Option<Duration>)> {
    let outcome = actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(Ok(order.server.clone())),
        PolicyAction::Refuse { reason, retry_after, .. } => Some(Err((*reason, *retry_after))),
        _ => None,
    });
    outcome.expect("the request is sent or refused at once")
}

/// Guards against a rest that a later answer with a shorter one ends, and against one without an end.
#[test]
fn rests_only_grow() {
    let now = Instant::now();
    let mut rest = ServerRest::default();
    assert!(!rest.is_active(now));
    rest.record(now, REST);
    rest.record(now + Duration::from_secs(1), Duration::from_millis(100));
    assert_eq!(rest.remaining(now), REST);
    assert!(!rest.is_active(now + REST));
    rest.record(now, Duration::MAX);
    assert!(!rest.is_active(now + Duration::from_secs(3_600)));
}

/// Guards against requests to servers at rest, and against those that wait though no server returns soon.
#[test]
fn requests_pass_by_rests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, 3);
    dispatcher.handle(now, rest(0, REST));
    for number in 0..6 {
        let server = outcome(&dispatcher.handle(now, call(number, now)));
        assert_ne!(server, Ok("server-0".to_owned()));
    }
    for number in 1..3 {
        dispatcher.handle(now, rest(number, REST * number as u32));
    }
    let later = now + Duration::from_secs(1);
    for number in 6..10 {
        let refused = outcome(&dispatcher.handle(later, call(number, later)));
        let Err((RefusalReason::ServersResting, Some(delay))) = refused else {
            panic!("request {number}: {refused:?}")
        };
        let first_return = REST - Duration::from_secs(1);
        assert!(delay >= first_return && delay < first_return + Duration::from_secs(2));
    }
    let server = outcome(&dispatcher.handle(now + REST, call(10, now + REST)));
    assert_eq!(server, Ok("server-0".to_owned()));
}

/// A server that starts again has asked for nothing.
#[test]
fn restarts_end_rests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, 1);
    dispatcher.handle(now, rest(0, REST));
    assert!(outcome(&dispatcher.handle(now, call(0, now))).is_err());
    dispatcher.handle(now, alive(0, 2));
    assert_eq!(outcome(&dispatcher.handle(now, call(1, now))), Ok("server-0".to_owned()));
}

/// Guards against callers of many entries that all come back at the moment a server returns.
#[test]
fn returns_are_spread() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(11);
    let mut unit = || (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let now = Instant::now();
    let mut returns: BTreeMap<u128, usize> = BTreeMap::new();
    for _entry in 0..295 {
        for _caller in 0..4 {
            let delay = return_delay(REST, unit());
            assert!(delay >= REST, "back before the server after {delay:?}");
            *returns.entry(delay.as_millis() / 100).or_default() += 1;
        }
    }
    let most = returns.values().max().copied().unwrap_or_default();
    assert!(most <= 295 * 4 / 5, "{most} of {} callers in a tenth of a second", 295 * 4);
    assert!(is_waited_for(now, Duration::from_millis(200), now + REST));
    assert!(!is_waited_for(now, Duration::from_millis(200), now + Duration::from_millis(100)));
    assert!(!is_waited_for(now, REST, now + REST * 3));
}

/// Guards against a mark of a leaving server that outlives its process, or that a response which was
/// overtaken ends.
#[test]
fn leaving_ends_with_its_process() {
    let (now, server) = (Instant::now(), "server-0".to_owned());
    let table = DemandTable::default();
    let at = |millis| now + Duration::from_millis(millis);
    assert_eq!(table.record_leaving(now, &server, 1, now, false), None);
    assert_eq!(table.record_leaving(at(10), &server, 1, now, true), Some(true));
    assert_eq!(table.record_leaving(at(20), &server, 1, now, true), None);
    assert!(!table.accepts_calls(at(20), &server, 1));
    assert_eq!(table.record_leaving(at(30), &server, 1, now, false), None);
    assert!(!table.accepts_calls(at(3_600_000), &server, 1));
    assert!(table.accepts_calls(at(30), &server, 2));
    assert_eq!(table.record_leaving(at(2_000), &server, 1, at(1_000), false), Some(false));
    assert!(table.accepts_calls(at(2_000), &server, 1));
    table.record_rest(at(2_000), &server, 2, REST);
    assert!(!table.accepts_calls(at(2_000), &server, 2));
    table.retain(at(2_000) + REST, |_| true);
    assert!(table.accepts_calls(at(2_000), &server, 2));
}
