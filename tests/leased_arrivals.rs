//! Requests for engines whose slots are leased, so that their arbiters decide when there is room.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, PolicyAction, PolicyInput, PolicyView, RefusalReason,
            RequestTicket, RequestWork, SafeguardSet, SendOrder, ServerView,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SHORT_PROMPT: u32 = 600;
const LONG_PROMPT: u32 = 12_000;
const RUN_TIME: Duration = Duration::from_millis(500);

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "d1".to_owned(),
        seed: 7,
        disabled: SafeguardSet::default(),
    });
    let server = ServerView {
        software: String::new(),
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Engine,
        models: vec!["m".to_owned()],
        service: None,
        slots: 6,
    };
    let servers = (0..4).map(|number| (format!("i-{number}"), server.clone()));
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: servers.collect(),
        ..PolicyView::default()
    };
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    dispatcher
}

fn arrival(now: Instant, request: usize, prompt_tokens: u32) -> PolicyInput {
    PolicyInput::Arrive(RequestTicket {
        request: format!("r{request}"),
        organisation: "org".to_owned(),
        class: RequestClass::Standard,
        deadline: now + Duration::from_secs(4),
        repeatable: true,
        fingerprint: request as u64,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: "m".to_owned(),
            adapter: None,
            levels: Vec::new(),
            prompt_tokens,
            max_output_tokens: 16,
        },
    })
}

fn sent(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

/// Sends short prompts, which take as long as their engine's other work, and then a long one to each busy
/// engine; returns the refusals of long ones.
fn refusals(is_leased: bool) -> Vec<RefusalReason> {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for round in 0..8 {
        for number in 0..4 {
            let arrived = arrival(now, round * 4 + number, SHORT_PROMPT);
            let order = sent(&dispatcher.handle(now, arrived)).expect("it is sent");
            let attempt = order.attempt;
            if is_leased {
                dispatcher.handle(now, PolicyInput::Leased { attempt });
            }
            now += RUN_TIME;
            let cached_tokens = None;
            dispatcher.handle(now, PolicyInput::FirstToken { attempt, cached_tokens });
            if round < 7 {
                let finished = PolicyInput::Finished { attempt, cached_tokens, output_tokens: 16 };
                dispatcher.handle(now, finished);
            }
        }
    }
    let refused = (100..104).flat_map(|number| {
        let actions = dispatcher.handle(now, arrival(now, number, LONG_PROMPT));
        actions.into_iter().filter_map(|action| match action {
            PolicyAction::Refuse { reason, .. } => Some(reason),
            _ => None,
        })
    });
    refused.collect()
}

/// Guards against requests that are refused beside free engines, because an entry takes the time that short
/// prompts spent beside other work for the speed at which engines read.
#[test]
fn arbiters_decide_on_room() {
    assert_eq!(refusals(true), []);
}

/// Without leases only the estimate tells that a request would be late.
#[test]
fn late_requests_are_refused() {
    assert!(refusals(false).contains(&RefusalReason::DeadlineUnreachable));
}
