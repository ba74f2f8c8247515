//! Mechanisms of the policy are disabled by name, and an unknown name is rejected.

use {
    oleandermount::{
        inventory::{RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, PolicyAction, PolicyInput,
            PolicySafeguard, PolicyView, PrefixLevel, RequestTicket, RequestWork, SafeguardError,
            SafeguardSet, ServerView,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

#[test]
fn names_round_trip() {
    let all: SafeguardSet = PolicySafeguard::ALL.into_iter().collect();
    assert_eq!(all.to_string().parse(), Ok(all));
    let some: SafeguardSet = " window, hot-homes,".parse().expect("both names are known");
    assert!(
        some.contains(PolicySafeguard::Window) && some.contains(PolicySafeguard::PrefixReplication)
    );
    assert!(!some.contains(PolicySafeguard::Admission));
    assert!("".parse::<SafeguardSet>().expect("an empty list is valid").is_empty());
}

// Guards against a misspelt name that leaves a mechanism enabled although the operator disabled it.
#[test]
fn unknown_names_are_refused() {
    let fault = "window,hothomes".parse::<SafeguardSet>().expect_err("one name is unknown");
    let SafeguardError::Unknown { name, known } = &fault;
    assert_eq!(name, "hothomes");
    assert!(PolicySafeguard::ALL.into_iter().all(|one| known.contains(one.as_str())), "{fault}");
}

const MODEL: &str = "reader";
const ENGINE: &str = "engine-0";

fn view(servers: &[&str]) -> PolicyInput {
    let engine = ServerView {
        software: String::new(),
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Engine,
        models: vec![MODEL.to_owned()],
        service: None,
        slots: 12,
    };
    PolicyInput::Configure(Arc::new(PolicyView {
        revision: 1,
        servers: servers.iter().map(|id| ((*id).to_owned(), engine.clone())).collect(),
        ..PolicyView::default()
    }))
}

fn prompt(now: Instant) -> RequestTicket {
    RequestTicket {
        request: "r1".to_owned(),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(5),
        repeatable: true,
        fingerprint: 1,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: MODEL.to_owned(),
            adapter: None,
            levels: vec![PrefixLevel { hash: 11, tokens: 900 }],
            prompt_tokens: 1_000,
            max_output_tokens: 50,
        },
    }
}

/// Returns a dispatcher with one engine on which an attempt has just broken, so that a digest is
/// due immediately.
fn dispatcher_with_broken_attempt(now: Instant, disabled: SafeguardSet) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-1".to_owned(),
        failure_domain: "d1".to_owned(),
        seed: 7,
        disabled,
    });
    dispatcher.handle(now, view(&[ENGINE]));
    let sent = dispatcher.handle(now, PolicyInput::Arrive(prompt(now)));
    let attempt = sent.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.attempt),
        _ => None,
    });
    let attempt = attempt.expect("an idle engine takes the request");
    let failure = AttemptFailure::Broken;
    let broken = PolicyInput::Failed { attempt, failure, relayed_tokens: 0, retry_after: None };
    dispatcher.handle(now, broken);
    dispatcher
}

/// Wakes a dispatcher as the driver does, and counts the wakeups within a second.
fn wakeups_in_one_second(dispatcher: &mut Dispatcher, start: Instant) -> u32 {
    let mut now = start;
    let mut wakeups = 0;
    while let Some(due) = dispatcher.next_wakeup()
        && due < start + Duration::from_secs(1)
        && wakeups < 1_000
    {
        now = now.max(due);
        dispatcher.handle(now, PolicyInput::Wake);
        wakeups += 1;
    }
    wakeups
}

// Guards against a busy loop of the driver when digests are disabled but remain due.
#[test]
fn disabled_digests_cause_no_busy_loop() {
    let now = Instant::now();
    let disabled = [PolicySafeguard::Digests].into_iter().collect();
    let mut dispatcher = dispatcher_with_broken_attempt(now, disabled);
    assert!(wakeups_in_one_second(&mut dispatcher, now) < 50);
}

// Guards against a busy loop of the driver after the last server was removed.
#[test]
fn empty_server_list_causes_no_busy_loop() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with_broken_attempt(now, SafeguardSet::default());
    dispatcher.handle(now, view(&[]));
    assert!(wakeups_in_one_second(&mut dispatcher, now) < 50);
}
