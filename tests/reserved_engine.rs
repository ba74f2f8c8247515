//! Load pattern: a third of the engines is about to load new weights while another third crashes, and
//! the rest is full or follows. What callers saw: dozens a second were refused at once as if there
//! were no server, though those about to load could still take them; and requests that met a server
//! which was just restarting were tried four times within 0.1 s and refused.

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

struct EngineBench {
    now: Instant,
    dispatcher: Dispatcher,
    count: u32,
}

impl EngineBench {
    fn new() -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 3,
            disabled: SafeguardSet::default(),
        };
        let engine = ServerView {
            failure_domain: "ub-north".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 16,
        };
        let servers = ENGINES.map(|id| (id.to_owned(), engine.clone())).into();
        let objective = DecisionObjective::FirstToken;
        let view = PolicyView { revision: 1, objective, servers, ..PolicyView::default() };
        let mut bench =
            EngineBench { now: Instant::now(), dispatcher: Dispatcher::new(settings), count: 0 };
        bench.tell(PolicyInput::Configure(Arc::new(view)));
        for engine in ENGINES {
            bench.tell(PolicyInput::Load(LoadReport {
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
        bench
    }

    fn tell(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn health(&mut self, engine: &str, health: ServerHealth) {
        self.tell(PolicyInput::Health { server: engine.to_owned(), health });
    }

    fn ask(&mut self) -> Vec<PolicyAction> {
        self.count += 1;
        self.tell(PolicyInput::Arrive(RequestTicket {
            request: format!("r-{}", self.count),
            organisation: "naran".to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(15),
            repeatable: true,
            fingerprint: u64::from(self.count),
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: vec![PrefixLevel { hash: 5, tokens: 100 }],
                prompt_tokens: 500,
                max_output_tokens: 50,
            },
        }))
    }

    /// Lets time pass until the dispatcher decides something for a request.
    fn decide(&mut self, within: Duration) -> Vec<PolicyAction> {
        let end = self.now + within;
        while self.now < end {
            let due = self.dispatcher.next_wakeup().unwrap_or(end).clamp(self.now, end);
            self.now = due + Duration::from_millis(1);
            let actions = self.dispatcher.handle(self.now, PolicyInput::Wake);
            let decides = |action: &PolicyAction| {
                matches!(action, PolicyAction::Send(_) | PolicyAction::Refuse { .. })
            };
            if actions.iter().any(decides) {
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

/// One that is about to load gets nothing while another takes work, and everything once none does.
#[test]
fn reserve_comes_last() {
    let mut bench = EngineBench::new();
    bench.health("engine-1", RESERVED);
    for _ in 0..8 {
        let actions = bench.ask();
        assert_eq!(sent(&actions).map(|order| order.server), Some("engine-0".to_owned()));
    }
    bench.health("engine-0", ServerHealth::Leaving);
    let actions = bench.ask();
    assert_eq!(sent(&actions).map(|order| order.server), Some("engine-1".to_owned()));
    bench.health("engine-1", ServerHealth::Leaving);
    assert_eq!(refused(&bench.ask()), Some(RefusalReason::NoServer));
}

/// Order of events: the only engine crashes and refuses connections for 0.8 s. The request waits for
/// it over its four tries and is served; without the pause it was refused 0.1 s after the crash.
#[test]
fn waits_for_a_restart() {
    let mut bench = EngineBench::new();
    bench.health("engine-1", ServerHealth::Leaving);
    let began = bench.now;
    let mut order = sent(&bench.ask()).expect("the engine takes work");
    while bench.now < began + Duration::from_millis(800) {
        let mut actions = bench.tell(PolicyInput::Failed {
            attempt: order.attempt,
            failure: AttemptFailure::NotConnected,
            relayed_tokens: 0,
            retry_after: None,
        });
        if sent(&actions).is_none() && refused(&actions).is_none() {
            actions = bench.decide(Duration::from_secs(2));
        }
        assert_eq!(refused(&actions), None, "after {:?}", bench.now - began);
        order = sent(&actions).expect("it is tried again");
    }
    assert!(bench.now < began + Duration::from_secs(2), "it is not held for long");
}

/// While another engine is sound, a connection that was not made costs no pause.
#[test]
fn goes_on_at_once() {
    let mut bench = EngineBench::new();
    let order = sent(&bench.ask()).expect("engines take work");
    let actions = bench.tell(PolicyInput::Failed {
        attempt: order.attempt,
        failure: AttemptFailure::NotConnected,
        relayed_tokens: 0,
        retry_after: None,
    });
    let next = sent(&actions).expect("the other engine takes it at once");
    assert_ne!(next.server, order.server);
}
