//! Streams go on only at servers of the software version that began them.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput,
            PolicyView, RefusalReason, RequestTicket, RequestWork, SafeguardSet, SendOrder,
            ServerView,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "m0";

/// A dispatcher with engines of these software versions.
fn dispatcher(now: Instant, versions: &[&str], seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "d1".to_owned(),
        seed,
        disabled: SafeguardSet::default(),
    });
    configure(&mut dispatcher, now, versions);
    dispatcher
}

fn configure(dispatcher: &mut Dispatcher, now: Instant, versions: &[&str]) {
    let servers = versions.iter().enumerate().map(|(number, software)| {
        let server = ServerView {
            software: (*software).to_owned(),
            failure_domain: "d1".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 8,
        };
        (format!("i-{number}"), server)
    });
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        ..PolicyView::default()
    };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    for number in 0..versions.len() {
        let report = LoadReport {
            server: format!("i-{number}"),
            incarnation: 1,
            weights: [(MODEL.to_owned(), "1".to_owned())].into(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        };
        dispatcher.handle(now, PolicyInput::Load(report));
    }
}

fn stream(now: Instant) -> PolicyInput {
    resumed(now, None)
}

/// A request that resumes a stream of this software version.
fn resumed(now: Instant, software: Option<&str>) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: "r".to_owned(),
        organisation: "org".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(4),
        repeatable: true,
        fingerprint: 1,
        parts: Vec::new(),
        software: software.map(ToOwned::to_owned),
        work: RequestWork::Model {
            model: MODEL.to_owned(),
            adapter: None,
            levels: Vec::new(),
            prompt_tokens: 100,
            max_output_tokens: 20,
        },
    })
}

fn send(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

fn refusal(actions: &[PolicyAction]) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn broken(order: &SendOrder, relayed_tokens: u32) -> PolicyInput {
    PolicyInput::Failed {
        attempt: order.attempt,
        failure: AttemptFailure::Broken,
        relayed_tokens,
        retry_after: None,
    }
}

/// Guards against an interrupted stream that an entry resumes at another software version.
#[test]
fn entry_keeps_version() {
    for seed in 0..40 {
        let now = Instant::now();
        let mut dispatcher = dispatcher(now, &["v1", "v2", "v2", "v1", "v2"], seed);
        let first = send(&dispatcher.handle(now, stream(now))).expect("it is sent");
        let second = send(&dispatcher.handle(now, broken(&first, 3))).expect("it is resumed");
        assert_ne!(first.server, second.server);
        assert_eq!(first.software, second.software, "seed {seed}");
    }
}

/// Guards against a stream that waits, or goes on at another version, when no server of its own is left.
#[test]
fn lost_version_ends_stream() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, &["v1"], 1);
    let first = send(&dispatcher.handle(now, stream(now))).expect("it is sent");
    let second = {
        configure(&mut dispatcher, now, &["v2", "v2"]);
        dispatcher.handle(now, broken(&first, 3))
    };
    assert_eq!(refusal(&second), Some(RefusalReason::NotResumable));
}

/// Until its first event is relayed a stream can begin at any version.
#[test]
fn unbegun_stream_changes_version() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, &["v1", "v2"], 1);
    let first = send(&dispatcher.handle(now, stream(now))).expect("it is sent");
    let second = send(&dispatcher.handle(now, broken(&first, 0))).expect("it is sent again");
    assert_ne!(first.software, second.software);
}

/// Guards against a stream that its caller resumes at another software version.
#[test]
fn caller_keeps_version() {
    for seed in 0..20 {
        let now = Instant::now();
        let mut dispatcher = dispatcher(now, &["v1", "v1", "v2", "v1"], seed);
        let first = send(&dispatcher.handle(now, resumed(now, Some("v2")))).expect("it is sent");
        assert_eq!(first.software, "v2");
        let second = dispatcher.handle(now, broken(&first, 0));
        assert!(send(&second).is_none_or(|order| order.software == "v2"), "seed {seed}");
    }
}

/// Guards against a caller who waits for a server of a version that has none.
#[test]
fn gone_version_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, &["v2", "v2"], 1);
    let actions = dispatcher.handle(now, resumed(now, Some("v1")));
    assert_eq!(refusal(&actions), Some(RefusalReason::NotResumable));
}
