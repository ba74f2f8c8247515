//! An answer must never be built on cached blocks of a dead engine, of another organisation or of
//! older weights: a firm would read a rival's standing order, or an answer of a withdrawn model. The
//! dispatcher has seen a prompt answered by an engine; then the engine restarts, or its weights
//! change, or another organisation sends the same prompt. No hit may be expected, no import asked.

use {
    oleandermount::{
        inventory::{RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicySafeguard,
            PolicyView, RequestTicket, RequestWork, SendOrder, ServerHealth, ServerView,
            prefix::{PromptSegment, cache_salt, levels},
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "m";

/// One dispatcher before one engine.
struct CacheBench {
    dispatcher: Dispatcher,
    now: Instant,
    asked: u32,
}

impl CacheBench {
    fn new(disabled: impl IntoIterator<Item = PolicySafeguard>) -> Self {
        let settings = DispatcherSettings {
            daemon: "a-1".to_owned(),
            failure_domain: "a".to_owned(),
            seed: 7,
            disabled: disabled.into_iter().collect(),
        };
        let mut bench =
            CacheBench { dispatcher: Dispatcher::new(settings), now: Instant::now(), asked: 0 };
        bench.desire("v1");
        bench.report(1, "v1");
        bench
    }

    fn tell(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(20);
        self.dispatcher.handle(self.now, input)
    }

    fn desire(&mut self, weights: &str) {
        let server = ServerView {
            failure_domain: "a".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 4,
        };
        let view = PolicyView {
            servers: BTreeMap::from([("e".to_owned(), server)]),
            weights: BTreeMap::from([(MODEL.to_owned(), weights.to_owned())]),
            ..PolicyView::default()
        };
        self.tell(PolicyInput::Configure(Arc::new(view)));
    }

    fn report(&mut self, incarnation: u64, weights: &str) {
        let health = ServerHealth::Alive { incarnation };
        self.tell(PolicyInput::Health { server: "e".to_owned(), health });
        self.tell(PolicyInput::Load(LoadReport {
            server: "e".to_owned(),
            incarnation,
            weights: BTreeMap::from([(MODEL.to_owned(), weights.to_owned())]),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        }));
    }

    /// Sends the one prompt for `organisation`, has it answered whole and returns its order.
    fn ask(&mut self, organisation: &str) -> SendOrder {
        self.asked += 1;
        let order = [PromptSegment { bytes: b"the standing order", tokens: 4_000 }];
        let ticket = RequestTicket {
            request: self.asked.to_string(),
            organisation: organisation.to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(20),
            repeatable: true,
            fingerprint: u64::from(self.asked),
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: levels(organisation, MODEL, None, &order),
                prompt_tokens: 4_100,
                max_output_tokens: 10,
            },
        };
        let actions = self.tell(PolicyInput::Arrive(ticket));
        let sent = actions.into_iter().find_map(|action| match action {
            PolicyAction::Send(order) => Some(order),
            _ => None,
        });
        let order = sent.expect("the engine is free");
        let (attempt, cached_tokens) = (order.attempt, Some(order.expected_hit));
        self.tell(PolicyInput::FirstToken { attempt, cached_tokens });
        self.tell(PolicyInput::Finished { attempt, cached_tokens, output_tokens: 10 });
        order
    }
}

#[test]
fn hit_is_expected_again() {
    let mut bench = CacheBench::new([]);
    assert_eq!(bench.ask("firm").expected_hit, 0);
    assert_eq!(bench.ask("firm").expected_hit, 4_000);
}

#[test]
fn restarted_engine_holds_nothing() {
    let mut bench = CacheBench::new([]);
    bench.ask("firm");
    bench.report(2, "v1");
    assert_eq!(bench.ask("firm").expected_hit, 0);
}

#[test]
fn older_weights_hold_nothing() {
    let mut bench = CacheBench::new([]);
    bench.ask("firm");
    bench.desire("v2");
    assert_eq!(bench.ask("firm").expected_hit, 0, "the engine has not loaded the new weights");
    bench.report(1, "v2");
    assert_eq!(bench.ask("firm").expected_hit, 0, "it has, and holds nothing under them");
}

#[test]
fn rival_shares_nothing() {
    let mut bench = CacheBench::new([]);
    bench.ask("firm");
    assert_eq!(bench.ask("rival").expected_hit, 0);
    assert_ne!(cache_salt("firm", MODEL, None, "v1"), cache_salt("rival", MODEL, None, "v1"));
    assert_ne!(cache_salt("firm", MODEL, None, "v1"), cache_salt("firm", MODEL, None, "v2"));
    // Names that run into each other are still two organisations.
    assert_ne!(cache_salt("ab", "c", None, "v1"), cache_salt("a", "bc", None, "v1"));
}

#[test]
fn without_the_check_a_dead_engine_counts() {
    let mut bench = CacheBench::new([PolicySafeguard::CacheIdentity]);
    bench.ask("firm");
    bench.report(2, "v1");
    assert_eq!(bench.ask("firm").expected_hit, 4_000, "the safeguard is what the tests above show");
}
