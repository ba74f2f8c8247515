//! Each request gets exactly one final outcome, and a non-repeatable request is sent at most once.

use {
    oleandermount::{
        ids::AttemptId,
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, DidRun, Dispatcher, DispatcherSettings, LoadReport, PolicyAction,
            PolicyInput, PolicyView, PrefixLevel, RequestTicket, RequestWork, SafeguardSet,
            SendOrder, ServerHealth, ServerView,
        },
    },
    quickcheck::{Gen, QuickCheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
const SERVICE: &str = "dispatch-app";

fn server(kind: ServerKind) -> ServerView {
    let engine = kind == ServerKind::Engine;
    ServerView {
        software: String::new(),
        failure_domain: "ub-north".to_owned(),
        kind,
        models: if engine { vec![MODEL.to_owned()] } else { Vec::new() },
        service: (!engine).then(|| SERVICE.to_owned()),
        slots: 2,
    }
}

fn view() -> PolicyView {
    PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers: [
            ("engine-0".to_owned(), server(ServerKind::Engine)),
            ("engine-1".to_owned(), server(ServerKind::Engine)),
            ("app-0".to_owned(), server(ServerKind::Service)),
            ("app-1".to_owned(), server(ServerKind::Service)),
        ]
        .into(),
        ..PolicyView::default()
    }
}

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "vm-0".to_owned(),
        failure_domain: "ub-north".to_owned(),
        seed: 7,
        disabled: SafeguardSet::default(),
    });
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view())));
    for server in ["engine-0", "engine-1"] {
        dispatcher.handle(now, load(server, 1, "w1"));
    }
    dispatcher
}

fn load(server: &str, incarnation: u64, weights: &str) -> PolicyInput {
    PolicyInput::Load(LoadReport {
        server: server.to_owned(),
        incarnation,
        weights: [(MODEL.to_owned(), weights.to_owned())].into(),
        running: 0,
        waiting: 0,
        waiting_tokens: 0,
        cache_used: 0.0,
        leaving: false,
    })
}

fn chat(request: &str, deadline: Instant) -> RequestTicket {
    RequestTicket {
        request: request.to_owned(),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline,
        repeatable: true,
        fingerprint: request.len() as u64,
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

fn non_repeatable_call(request: &str, deadline: Instant) -> RequestTicket {
    let work = RequestWork::Service { service: SERVICE.to_owned() };
    RequestTicket { repeatable: false, work, ..chat(request, deadline) }
}

fn only_send(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

fn refusal(actions: &[PolicyAction]) -> Option<DidRun> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Refuse { did_run, .. } => Some(*did_run),
        _ => None,
    })
}

fn failed(attempt: AttemptId, failure: AttemptFailure, relayed_tokens: u32) -> PolicyInput {
    PolicyInput::Failed { attempt, failure, relayed_tokens, retry_after: None }
}

/// Observations of a random run.
#[derive(Default)]
struct OutcomeTally {
    /// Number of final outcomes by request.
    final_outcomes: BTreeMap<String, u32>,
    /// Attempts that may have reached a server, by request.
    reached_attempts: BTreeMap<String, u32>,
    /// Requests of which at least one byte may have reached a server.
    reached_server: BTreeSet<String>,
    running: BTreeMap<AttemptId, String>,
    ended: Vec<AttemptId>,
    false_refusals: u32,
}

impl OutcomeTally {
    fn record(&mut self, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Send(order) => {
                    self.running.insert(order.attempt, order.request);
                }
                PolicyAction::Refuse { request, did_run, .. } => {
                    self.false_refusals +=
                        u32::from(did_run == DidRun::No && self.reached_server.contains(&request));
                    *self.final_outcomes.entry(request).or_default() += 1;
                }
                PolicyAction::Cancel { attempt, .. } => {
                    self.running.remove(&attempt);
                    self.ended.push(attempt);
                }
                _ => {}
            }
        }
    }

    /// Ends the attempt selected by `pick` with the result selected by `kind`.
    fn end(&mut self, pick: usize, kind: u8) -> Option<PolicyInput> {
        let attempt = *self.running.keys().nth(pick % self.running.len().max(1))?;
        let request = self.running.remove(&attempt)?;
        self.ended.push(attempt);
        let failures = [
            AttemptFailure::NotConnected,
            AttemptFailure::Refused,
            AttemptFailure::Broken,
            AttemptFailure::ServerError,
            AttemptFailure::TimedOut,
            AttemptFailure::WrongWeights,
            AttemptFailure::Stale,
            AttemptFailure::CallerError,
            AttemptFailure::NoSlot,
        ];
        let failure = failures.get(usize::from(kind) % 12).copied();
        let unsent = [
            Some(AttemptFailure::NotConnected),
            Some(AttemptFailure::NoSlot),
            Some(AttemptFailure::Stale),
        ];
        if !unsent.contains(&failure) {
            self.reached_server.insert(request.clone());
            *self.reached_attempts.entry(request.clone()).or_default() += 1;
        }
        match failure {
            Some(failure) if failure != AttemptFailure::CallerError => {
                Some(failed(attempt, failure, 0))
            }
            other => {
                *self.final_outcomes.entry(request).or_default() += 1;
                Some(match other {
                    Some(failure) => failed(attempt, failure, 0),
                    None => {
                        PolicyInput::Finished { attempt, cached_tokens: Some(0), output_tokens: 9 }
                    }
                })
            }
        }
    }
}

fn random_run(steps: Vec<(u8, u8, u16)>) -> bool {
    let start = Instant::now();
    let (mut now, mut dispatcher) = (start, dispatcher(start));
    let (mut tally, mut asked) = (OutcomeTally::default(), Vec::new());
    for (number, (kind, choice, pick)) in steps.into_iter().enumerate() {
        now += Duration::from_millis(u64::from(pick % 40));
        let input = match kind % 8 {
            0..=3 => {
                let name = format!("r{number}");
                let deadline = now + Duration::from_millis(200 + u64::from(pick % 3_000));
                asked.push((name.clone(), choice % 3 != 0));
                Some(PolicyInput::Arrive(if choice % 3 == 0 {
                    non_repeatable_call(&name, deadline)
                } else {
                    RequestTicket { fingerprint: number as u64, ..chat(&name, deadline) }
                }))
            }
            4 | 5 => tally.end(pick.into(), choice),
            6 if choice % 4 == 0 => tally.ended.last().map(|attempt| {
                // A late event of an attempt that has already ended.
                failed(*attempt, AttemptFailure::Broken, 3)
            }),
            _ => Some(PolicyInput::Wake),
        };
        if let Some(input) = input {
            tally.record(dispatcher.handle(now, input));
        }
    }
    for _ in 0..20_000 {
        while let Some(input) = tally.end(0, 11) {
            tally.record(dispatcher.handle(now, input));
        }
        now += Duration::from_millis(50);
        tally.record(dispatcher.handle(now, PolicyInput::Wake));
        if tally.running.is_empty() && now > start + Duration::from_secs(20) {
            break;
        }
    }
    let once = asked.iter().all(|(name, _)| tally.final_outcomes.get(name) == Some(&1));
    let non_repeatable = asked.iter().filter(|(_, repeatable)| !repeatable);
    let at_most_once = non_repeatable
        .clone()
        .all(|(name, _)| tally.reached_attempts.get(name).copied().unwrap_or(0) <= 1);
    once && at_most_once && tally.false_refusals == 0
}

#[test]
fn random_runs_give_one_outcome() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 0x5eed))
        .tests(200)
        .quickcheck(random_run as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// A service accepts a non-repeatable call and the connection breaks before the answer. The call
/// may have been executed, so it must not be resent, and the caller is informed that the outcome
/// is unknown.
#[test]
fn broken_non_repeatable_call_is_not_resent() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let ticket = non_repeatable_call("b", now + Duration::from_secs(9));
    let order = only_send(&dispatcher.handle(now, PolicyInput::Arrive(ticket))).expect("sent");
    let actions = dispatcher.handle(now, failed(order.attempt, AttemptFailure::Broken, 0));
    assert_eq!(refusal(&actions), Some(DidRun::Unknown));
    assert!(only_send(&actions).is_none());
}

/// An engine crashes in the middle of a stream. If the other engine runs the same weights, it
/// resumes the stream after the relayed tokens. With other weights the text would be inconsistent,
/// so the stream ends.
#[test]
fn streams_resume_only_on_same_weights() {
    for (weights, resumes) in [("w1", true), ("w2", false)] {
        let now = Instant::now();
        let mut dispatcher = dispatcher(now);
        let ticket = chat("s", now + Duration::from_secs(9));
        let order = only_send(&dispatcher.handle(now, PolicyInput::Arrive(ticket))).expect("sent");
        let other = if order.server == "engine-0" { "engine-1" } else { "engine-0" };
        dispatcher.handle(now, load(other, 1, weights));
        let health =
            PolicyInput::Health { server: order.server.clone(), health: ServerHealth::Dead };
        dispatcher.handle(now, health);
        let actions = dispatcher.handle(now, failed(order.attempt, AttemptFailure::Broken, 17));
        let resumed = only_send(&actions).map(|order| (order.server, order.resume_after));
        assert_eq!(resumed, resumes.then(|| (other.to_owned(), 17)));
        assert_eq!(refusal(&actions), (!resumes).then_some(DidRun::Unknown));
    }
}

/// The VM is paused while a request is queued, and its deadline passes before the VM resumes. The
/// request must be refused and not sent.
#[test]
fn paused_process_sends_no_expired_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let mut attempts = Vec::new();
    let mut number = 0;
    while number == attempts.len() {
        let ticket = chat(&format!("r{number}"), now + Duration::from_secs(2));
        let order = only_send(&dispatcher.handle(now, PolicyInput::Arrive(ticket)));
        attempts.extend(order.map(|order| order.attempt));
        number += 1;
    }
    let later = now + Duration::from_secs(60);
    let finished =
        PolicyInput::Finished { attempt: attempts[0], cached_tokens: None, output_tokens: 5 };
    let actions = dispatcher.handle(later, finished);
    let last = format!("r{}", number - 1);
    let queued = actions.iter().find_map(|action| match action {
        PolicyAction::Refuse { request, did_run, .. } if *request == last => Some(*did_run),
        _ => None,
    });
    assert_eq!(queued, Some(DidRun::No));
    assert!(only_send(&actions).is_none());
}

/// A server crashes while requests are being delivered to it. None of them reached a server, so all
/// are answered elsewhere, even after the retries that operators allow are used up. More
/// connections to one engine fail than the reserve covers. Connections that break after bytes were
/// sent are still charged.
#[test]
fn failed_connections_cost_no_retry() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(now);
    dispatcher.handle(now, PolicyInput::RetryReserve { retries: 1.0 });
    let mut refused = Vec::new();
    for (failure, limit) in [(AttemptFailure::NotConnected, 6), (AttemptFailure::Broken, 6)] {
        let mut count = 0;
        for number in 0..limit {
            now += Duration::from_millis(100);
            for engine in ["engine-0", "engine-1"] {
                dispatcher.handle(now, load(engine, 1, "w1"));
            }
            let ticket = chat(&format!("{failure:?}-{number}"), now + Duration::from_secs(30));
            let ticket = RequestTicket { fingerprint: number + 100, ..ticket };
            let first = only_send(&dispatcher.handle(now, PolicyInput::Arrive(ticket)));
            let first = first.expect("an idle engine takes the request");
            let actions = dispatcher.handle(now, failed(first.attempt, failure, 0));
            count += u32::from(refusal(&actions).is_some());
            if let Some(second) = only_send(&actions) {
                let (attempt, output_tokens) = (second.attempt, 1);
                let ended = PolicyInput::Finished { attempt, cached_tokens: None, output_tokens };
                dispatcher.handle(now, ended);
            }
        }
        refused.push(count);
    }
    assert_eq!(refused[0], 0);
    assert!(refused[1] >= 4, "broken connections are charged: {refused:?}");
}

/// Disconnected callers release the slots of their requests. Otherwise a daemon would refuse
/// non-repeatable calls as not servable in time while the servers are idle. Callers disconnect from
/// calls that their servers delay or that end unobserved; later another caller sends one.
#[test]
fn disconnected_callers_release_their_slots() {
    let mut now = Instant::now();
    let mut dispatcher = dispatcher(now);
    for number in 0..200 {
        let name = format!("call-{number}");
        let deadline = now + Duration::from_secs(60);
        let actions =
            dispatcher.handle(now, PolicyInput::Arrive(non_repeatable_call(&name, deadline)));
        assert!(only_send(&actions).is_some(), "call {number} is sent: {actions:?}");
        now += Duration::from_millis(500);
        let actions = dispatcher.handle(now, PolicyInput::CallerDisconnected { request: name });
        let cancelled = actions.iter().any(|action| matches!(action, PolicyAction::Cancel { .. }));
        assert!(!cancelled, "a call that may be partly done is not cancelled");
    }
    let short = now + Duration::from_millis(300);
    let actions = dispatcher.handle(now, PolicyInput::Arrive(non_repeatable_call("last", short)));
    assert!(only_send(&actions).is_some(), "{actions:?}");
}
