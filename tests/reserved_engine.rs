//! Placement while some engines are about to load new weights, others crash and the rest is full.
//! Guards against requests that are refused for lack of a server although reserved engines could
//! take them, and against requests whose four attempts fail within 0.1 s at a restarting engine.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            AttemptFailure, Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput,
            PolicyView, PrefixLevel, RefusalReason, RequestTicket, RequestWork, SafeguardSet,
            SendOrder, ServerHealth, ServerView,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
const ENGINES: [&str; 2] = ["engine-0", "engine-1"];

struct EngineFixture {
    now: Instant,
    dispatcher: Dispatcher,
    count: u32,
}

impl EngineFixture {
    fn new() -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 3,
            disabled: SafeguardSet::default(),
        };
        let engine = ServerView {
            software: String::new(),
            failure_domain: "ub-north".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 16,
        };
        let servers = ENGINES.map(|id| (id.to_owned(), engine.clone())).into();
        let objective = DecisionObjective::FirstToken;
        let view = PolicyView { revision: 1, objective, servers, ..PolicyView::default() };
        let mut fixture =
            EngineFixture { now: Instant::now(), dispatcher: Dispatcher::new(settings), count: 0 };
        fixture.handle(PolicyInput::Configure(Arc::new(view)));
        for engine in ENGINES {
            fixture.handle(PolicyInput::Load(LoadReport {
                server: engine.to_owned(),
                incarnation: 1,
                weights: [(MODEL.to_owned(), "1".to_owned())].into(),
                running: 0,
                waiting: 0,
                waiting_tokens: 0,
                cache_used: 0.0,
                leaving: false,
            }));
        }
        fixture
    }

    fn handle(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn set_health(&mut self, engine: &str, health: ServerHealth) {
        self.handle(PolicyInput::Health { server: engine.to_owned(), health });
    }

    fn send_prompt(&mut self) -> Vec<PolicyAction> {
        self.count += 1;
        self.handle(PolicyInput::Arrive(RequestTicket {
            request: format!("r-{}", self.count),
            organisation: "naran".to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(15),
            repeatable: true,
            fingerprint: u64::from(self.count),
            parts: Vec::new(),
            software: None,
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: vec![PrefixLevel { hash: 5, tokens: 100 }],
                prompt_tokens: 500,
                max_output_tokens: 50,
            },
        }))
    }

    /// Advances the time until the dispatcher sends or refuses a request.
    fn wait_for_decision(&mut self, within: Duration) -> Vec<PolicyAction> {
        let end = self.now + within;
        while self.now < end {
            let due = self.dispatcher.next_wakeup().unwrap_or(end).clamp(self.now, end);
            self.now = due + Duration::from_millis(1);
            let actions = self.dispatcher.handle(self.now, PolicyInput::Wake);
            let is_decision = |action: &PolicyAction| {
                matches!(action, PolicyAction::Send(_) | PolicyAction::Refuse { .. })
            };
            if actions.iter().any(is_decision) {
                return actions;
            }
        }
        Vec::new()
    }
}

fn sent(actions: &[PolicyAction]) -> Option<SendOrder> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Send(order) => Some(order.clone()),
        _ => None,
    })
}

fn refused(actions: &[PolicyAction]) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        PolicyAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

const RESERVED: ServerHealth = ServerHealth::Reserved { incarnation: 1 };

/// A reserved engine gets no requests while another accepts them, and all requests once no other
/// does.
#[test]
fn reserved_engine_is_used_last() {
    let mut fixture = EngineFixture::new();
    fixture.set_health("engine-1", RESERVED);
    for _ in 0..8 {
        let actions = fixture.send_prompt();
        assert_eq!(sent(&actions).map(|order| order.server), Some("engine-0".to_owned()));
    }
    fixture.set_health("engine-0", ServerHealth::Leaving);
    let actions = fixture.send_prompt();
    assert_eq!(sent(&actions).map(|order| order.server), Some("engine-1".to_owned()));
    fixture.set_health("engine-1", ServerHealth::Leaving);
    assert_eq!(refused(&fixture.send_prompt()), Some(RefusalReason::NoServer));
}

/// The only engine crashes and refuses connections for 0.8 s. The four attempts of the request
/// extend over this time, so it is answered and not refused.
#[test]
fn request_waits_for_restart() {
    let mut fixture = EngineFixture::new();
    fixture.set_health("engine-1", ServerHealth::Leaving);
    let start = fixture.now;
    let mut order = sent(&fixture.send_prompt()).expect("the engine accepts requests");
    while fixture.now < start + Duration::from_millis(800) {
        let mut actions = fixture.handle(PolicyInput::Failed {
            attempt: order.attempt,
            failure: AttemptFailure::NotConnected,
            relayed_tokens: 0,
            retry_after: None,
        });
        if sent(&actions).is_none() && refused(&actions).is_none() {
            actions = fixture.wait_for_decision(Duration::from_secs(2));
        }
        assert_eq!(refused(&actions), None, "after {:?}", fixture.now - start);
        order = sent(&actions).expect("the request is retried");
    }
    assert!(fixture.now < start + Duration::from_secs(2), "the request is not delayed for long");
}

/// A failed connection causes no delay while another engine is usable.
#[test]
fn other_engine_is_tried_immediately() {
    let mut fixture = EngineFixture::new();
    let order = sent(&fixture.send_prompt()).expect("an idle engine takes the request");
    let actions = fixture.handle(PolicyInput::Failed {
        attempt: order.attempt,
        failure: AttemptFailure::NotConnected,
        relayed_tokens: 0,
        retry_after: None,
    });
    let next = sent(&actions).expect("the other engine takes the request immediately");
    assert_ne!(next.server, order.server);
}
