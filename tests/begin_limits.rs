//! No request begins on weights that were replaced for too long, also if it waits inside its server.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, DidRun, Dispatcher, DispatcherSettings, LoadReport, PolicyAction,
            PolicyInput, PolicyView, RefusalReason, RequestTicket, RequestWork, SafeguardSet,
            ServerHealth, ServerView,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "llm/m0";
const OLD: &str = "old";
const NEW: &str = "new";
const SECOND: Duration = Duration::from_secs(1);
/// Until the last request may begin on the older weights.
const LIMIT: Duration = Duration::from_secs(4);

fn server() -> ServerView {
    ServerView {
        failure_domain: "d1".to_owned(),
        kind: ServerKind::Engine,
        models: vec![MODEL.to_owned()],
        service: None,
        slots: 8,
        software: "v1".to_owned(),
    }
}

/// A server with weights 1 and one with weights 2, of which the second one loads for as long as it is
/// reserved.
struct LimitCase {
    dispatcher: Dispatcher,
    start: Instant,
    sent: usize,
}

impl LimitCase {
    fn new() -> Self {
        let dispatcher = Dispatcher::new(DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "d1".to_owned(),
            seed: 3,
            disabled: SafeguardSet::default(),
        });
        let mut case = LimitCase { dispatcher, start: Instant::now(), sent: 0 };
        case.limit(None);
        for (name, version) in [(OLD, 1), (NEW, 2)] {
            case.report(name, version);
        }
        case.reserve_new(true);
        case
    }

    /// Configures the servers, with a limit for older weights if one is given.
    fn limit(&mut self, limit: Option<Instant>) {
        let limits = limit.map(|limit| (MODEL.to_owned(), [("1".to_owned(), limit)].into()));
        let view = PolicyView {
            revision: 1,
            objective: DecisionObjective::FirstToken,
            servers: [OLD, NEW].map(|name| (name.to_owned(), server())).into(),
            begin_limits: limits.into_iter().collect(),
            ..PolicyView::default()
        };
        self.dispatcher.handle(self.start, PolicyInput::Configure(Arc::new(view)));
    }

    fn report(&mut self, name: &str, version: u64) {
        let report = LoadReport {
            server: name.to_owned(),
            incarnation: 1,
            weights: BTreeMap::from([(MODEL.to_owned(), version.to_string())]),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        };
        self.dispatcher.handle(self.start, PolicyInput::Load(report));
    }

    fn reserve_new(&mut self, is_reserved: bool) {
        let health = match is_reserved {
            true => ServerHealth::Reserved { incarnation: 1 },
            false => ServerHealth::Alive { incarnation: 1 },
        };
        self.dispatcher.handle(self.start, PolicyInput::Health { server: NEW.to_owned(), health });
    }

    /// Submits a request after `elapsed`; returns the decisions.
    fn submit(&mut self, elapsed: Duration, repeatable: bool) -> Vec<PolicyAction> {
        self.sent += 1;
        let now = self.start + elapsed;
        let ticket = RequestTicket {
            request: format!("request-{}", self.sent),
            organisation: "organisation".to_owned(),
            class: RequestClass::Interactive,
            deadline: now + 30 * SECOND,
            repeatable,
            fingerprint: self.sent as u64,
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
        self.dispatcher.handle(now, PolicyInput::Arrive(ticket))
    }

    fn handle(&mut self, elapsed: Duration, input: PolicyInput) -> Vec<PolicyAction> {
        self.dispatcher.handle(self.start + elapsed, input)
    }

    /// Wakes the dispatcher as often as it asks until `elapsed`; returns the withdrawn attempts with the
    /// time of each.
    fn run_until(&mut self, elapsed: Duration) -> Vec<(u128, Duration)> {
        let mut withdrawn = Vec::new();
        while let Some(due) = self.dispatcher.next_wakeup()
            && due <= self.start + elapsed
        {
            for action in self.dispatcher.handle(due, PolicyInput::Wake) {
                if let PolicyAction::Withdraw { attempt } = action {
                    withdrawn.push((attempt, due - self.start));
                }
            }
        }
        withdrawn
    }
}

/// Returns server and attempt of a request that was sent at once.
fn sent(actions: &[PolicyAction]) -> Option<(String, u128)> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some((order.server.clone(), order.attempt)),
        _ => None,
    })
}

fn failed(attempt: u128) -> PolicyInput {
    let failure = AttemptFailure::Withdrawn;
    PolicyInput::Failed { attempt, failure, relayed_tokens: 0, retry_after: None }
}

/// Guards against a request that is sent in time, waits inside its server and begins there after its
/// weights were replaced for too long.
#[test]
fn waiting_request_is_withdrawn() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let (server, attempt) = sent(&case.submit(SECOND, true)).expect("the request is sent");
    assert_eq!(server, OLD);
    assert_eq!(case.run_until(LIMIT + SECOND), [(attempt, LIMIT)]);
    let (server, second) = sent(&case.handle(LIMIT, failed(attempt))).expect("it is sent again");
    assert_eq!(server, NEW);
    assert_eq!(case.run_until(3 * LIMIT), [], "attempt {second} has no limit");
}

/// Guards against the repetition of a request that its server may have begun and that must run once.
#[test]
fn non_repeatable_request_is_not_sent_again() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let (_, attempt) = sent(&case.submit(SECOND, false)).expect("the request is sent");
    assert_eq!(case.run_until(LIMIT), [(attempt, LIMIT)]);
    let actions = case.handle(LIMIT, failed(attempt));
    let [PolicyAction::Refuse { reason, did_run, .. }] = &actions[..] else {
        panic!("{actions:?}")
    };
    assert_eq!((*reason, *did_run), (RefusalReason::ServerFailed, DidRun::Unknown));
}

/// Guards against the end of a request that has begun in time.
#[test]
fn begun_request_goes_on() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let (_, attempt) = sent(&case.submit(SECOND, true)).expect("the request is sent");
    case.handle(LIMIT - SECOND, PolicyInput::FirstToken { attempt, cached_tokens: None });
    assert_eq!(case.run_until(2 * LIMIT), []);
}

/// Guards against a request that was sent before newer weights were named, and waits until they are required.
#[test]
fn later_version_limits_sent_request() {
    let mut case = LimitCase::new();
    let (_, attempt) = sent(&case.submit(Duration::ZERO, true)).expect("the request is sent");
    assert_eq!(case.run_until(SECOND), []);
    case.limit(Some(case.start + LIMIT));
    // Another leader postpones the limit.
    case.limit(Some(case.start + 2 * LIMIT));
    assert_eq!(case.run_until(3 * LIMIT), [(attempt, 2 * LIMIT)]);
}

/// Guards against requests that are sent to a server where they are expected to begin after the limit of its
/// weights.
#[test]
fn overdue_server_gets_no_late_request() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    sent(&case.submit(Duration::ZERO, true)).expect("the request is sent");
    // Its first token does not come, so that other requests are expected to wait as long as it has.
    let early = sent(&case.submit(LIMIT / 4, true));
    assert_eq!(early.map(|(server, _)| server).as_deref(), Some(OLD));
    let late = sent(&case.submit(LIMIT * 3 / 4, true));
    assert_eq!(late.map(|(server, _)| server).as_deref(), Some(NEW));
}

/// Guards against requests that are kept from all servers, because none would begin them in time although a
/// server has the newer weights.
#[test]
fn reserved_server_is_used_before_limit() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let before = LIMIT - Duration::from_millis(1);
    let server = sent(&case.submit(before, true)).map(|(server, _)| server);
    assert_eq!(server.as_deref(), Some(NEW));
}

/// Guards against requests that begin on replaced weights for as long as no server has newer ones.
#[test]
fn expired_server_is_asked_last() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let late = LIMIT + SECOND;
    let server = sent(&case.submit(late, true)).map(|(server, _)| server);
    assert_eq!(server.as_deref(), Some(NEW), "a reserved server with newer weights comes first");
    let gone = PolicyInput::Health { server: NEW.to_owned(), health: ServerHealth::Dead };
    case.handle(late, gone);
    let (server, attempt) = sent(&case.submit(late, true)).expect("the request is sent");
    assert_eq!(server, OLD, "it may have loaded newer weights");
    case.limit(Some(case.start + LIMIT - SECOND));
    let withdrawn = case.run_until(late + LIMIT);
    assert!(withdrawn.iter().all(|(ended, _)| *ended != attempt), "{withdrawn:?}");
}

/// Guards against a stream that waits until its deadline to be continued with weights that no request may use
/// any more.
#[test]
fn expired_stream_is_not_continued() {
    let mut case = LimitCase::new();
    case.limit(Some(case.start + LIMIT));
    let (_, attempt) = sent(&case.submit(SECOND, true)).expect("the request is sent");
    case.handle(SECOND, PolicyInput::FirstToken { attempt, cached_tokens: None });
    let failure = AttemptFailure::ServerError;
    let failed = PolicyInput::Failed { attempt, failure, relayed_tokens: 3, retry_after: None };
    let actions = case.handle(LIMIT + SECOND, failed);
    let refusals = actions.iter().filter_map(|action| match action {
        PolicyAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(refusals.collect::<Vec<_>>(), [RefusalReason::NotResumable], "{actions:?}");
}
