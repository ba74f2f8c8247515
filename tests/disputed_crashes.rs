//! Reports of crashes by a daemon whose own links break, to daemons that still reach the servers.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput,
            PolicyView, RequestTicket, RequestWork, SafeguardSet, SendOrder, ServerView,
            suspect::CrashReport,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "m0";
const SERVERS: [&str; 3] = ["engine-0", "engine-1", "engine-2"];
/// The request whose connections break, and harmless others.
const SUSPECT: u64 = 1;
const OTHER: u64 = 2;

fn start_dispatcher(now: Instant, daemon: &str) -> Dispatcher {
    let server = ServerView {
        software: String::new(),
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Engine,
        models: vec![MODEL.to_owned()],
        service: None,
        slots: 2,
    };
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: SERVERS.iter().map(|name| ((*name).to_owned(), server.clone())).collect(),
        ..PolicyView::default()
    };
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: daemon.to_owned(),
        failure_domain: "d1".to_owned(),
        seed: 7,
        disabled: SafeguardSet::default(),
    });
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    for server in SERVERS {
        let report = LoadReport {
            server: server.to_owned(),
            incarnation: 1,
            weights: [(MODEL.to_owned(), "w1".to_owned())].into(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        };
        dispatcher.handle(now, PolicyInput::Load(report));
    }
    dispatcher
}

/// Sends a request and returns the order to send it to a server; `None` if it is refused.
fn arrive(
    dispatcher: &mut Dispatcher,
    now: Instant,
    request: impl Into<String>,
    fingerprint: u64,
) -> Option<SendOrder> {
    let ticket = RequestTicket {
        request: request.into(),
        organisation: "o1".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(9),
        repeatable: true,
        fingerprint,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: MODEL.to_owned(),
            adapter: None,
            levels: Vec::new(),
            prompt_tokens: 100,
            max_output_tokens: 10,
        },
    };
    sent(&dispatcher.handle(now, PolicyInput::Arrive(ticket)))
}

fn sent(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

fn broken(order: &SendOrder) -> PolicyInput {
    let failure = AttemptFailure::Broken;
    PolicyInput::Failed { attempt: order.attempt, failure, relayed_tokens: 0, retry_after: None }
}

/// Completes a request at each server.
fn use_all_servers(dispatcher: &mut Dispatcher, now: Instant) {
    let sent: Vec<SendOrder> = (0..SERVERS.len())
        .filter_map(|number| arrive(dispatcher, now, format!("use-{number}"), OTHER))
        .collect();
    let mut servers: Vec<&str> = sent.iter().map(|order| order.server.as_str()).collect();
    servers.sort_unstable();
    assert_eq!(servers, SERVERS, "each server gets one of them");
    for order in &sent {
        let (attempt, cached_tokens) = (order.attempt, None);
        let finished = PolicyInput::Finished { attempt, cached_tokens, output_tokens: 5 };
        dispatcher.handle(now + Duration::from_millis(5), finished);
    }
}

/// Lets the dispatcher work until `until` and returns the last crash reports that it sent.
fn reports_until(dispatcher: &mut Dispatcher, until: Instant) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    while let Some(at) = dispatcher.next_wakeup().filter(|at| *at <= until) {
        for action in dispatcher.handle(at, PolicyInput::Wake) {
            if let PolicyAction::Publish(digest) = action {
                reports = digest.suspects;
            }
        }
    }
    reports
}

/// A dispatcher at which the connections of the suspect to two servers broke at `now`.
fn isolated_dispatcher(now: Instant) -> Dispatcher {
    let mut isolated = start_dispatcher(now, "isolated");
    let first = arrive(&mut isolated, now, "suspect", SUSPECT).expect("sent");
    let retried = isolated.handle(now, broken(&first));
    let second = sent(&retried).or_else(|| {
        let retry_at = isolated.next_wakeup()?;
        sent(&isolated.handle(retry_at, PolicyInput::Wake))
    });
    isolated.handle(now, broken(&second.expect("sent again")));
    isolated
}

/// Guards against harmless requests that a daemon refuses on the word of another one whose links break,
/// though the servers respond to its own requests.
#[test]
fn responding_servers_have_not_crashed() {
    let now = Instant::now();
    let at = |time: u64| now + Duration::from_millis(time);
    let mut isolated = isolated_dispatcher(now);
    let reports = reports_until(&mut isolated, at(2_000));
    assert_eq!(reports.len(), 2, "both breaks are reported in the end");

    let mut reaching = start_dispatcher(now, "reaching");
    use_all_servers(&mut reaching, at(1_950));
    reaching.handle(at(2_000), PolicyInput::CrashReports(reports.clone()));
    let order = arrive(&mut reaching, at(2_010), "resent", SUSPECT);
    assert!(order.is_some(), "the servers responded after the breaks");

    let mut quiet = start_dispatcher(now, "quiet");
    quiet.handle(at(2_000), PolicyInput::CrashReports(reports));
    assert!(arrive(&mut quiet, at(2_010), "resent", SUSPECT).is_none(), "it knows no better");
    // The response to a request that was sent later.
    use_all_servers(&mut quiet, at(2_100));
    assert!(arrive(&mut quiet, at(2_200), "again", SUSPECT).is_some());
}

/// Guards against responses on kept connections that are taken as proof that the own links work, while new
/// connections break.
#[test]
fn kept_connections_prove_no_links() {
    let now = Instant::now();
    let at = |time: u64| now + Duration::from_millis(time);
    let mut isolated = isolated_dispatcher(now);
    let order = arrive(&mut isolated, at(10), "kept", OTHER).expect("sent");
    let (attempt, cached_tokens) = (order.attempt, None);
    let finished = PolicyInput::Finished { attempt, cached_tokens, output_tokens: 5 };
    let mut actions = isolated.handle(at(20), finished);
    actions.extend(isolated.handle(at(21), PolicyInput::Wake));
    let reported = actions.iter().any(|action| match action {
        PolicyAction::Publish(digest) => !digest.suspects.is_empty(),
        _ => false,
    });
    assert!(!reported && reports_until(&mut isolated, at(400)).is_empty());
}
