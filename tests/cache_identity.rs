//! An answer must never be generated from cached blocks of a former incarnation, of another
//! organisation or of older weights, since it would disclose another organisation's data or come
//! from withdrawn weights. After an engine has answered a prompt, the engine restarts, its weights
//! change, or another organisation sends the same prompt. No hit may be expected and no import
//! requested.

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

/// A dispatcher with one engine.
struct CacheFixture {
    dispatcher: Dispatcher,
    now: Instant,
    sent_count: u32,
}

impl CacheFixture {
    fn new(disabled: impl IntoIterator<Item = PolicySafeguard>) -> Self {
        let settings = DispatcherSettings {
            daemon: "a-1".to_owned(),
            failure_domain: "a".to_owned(),
            seed: 7,
            disabled: disabled.into_iter().collect(),
        };
        let mut fixture = CacheFixture {
            dispatcher: Dispatcher::new(settings),
            now: Instant::now(),
            sent_count: 0,
        };
        fixture.set_desired_weights("v1");
        fixture.report_state(1, "v1");
        fixture
    }

    fn handle(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(20);
        self.dispatcher.handle(self.now, input)
    }

    fn set_desired_weights(&mut self, weights: &str) {
        let server = ServerView {
            software: String::new(),
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
        self.handle(PolicyInput::Configure(Arc::new(view)));
    }

    fn report_state(&mut self, incarnation: u64, weights: &str) {
        let health = ServerHealth::Alive { incarnation };
        self.handle(PolicyInput::Health { server: "e".to_owned(), health });
        self.handle(PolicyInput::Load(LoadReport {
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

    /// Sends the same prompt for `organisation`, completes its answer and returns the send order.
    fn send_prompt(&mut self, organisation: &str) -> SendOrder {
        self.sent_count += 1;
        let order = [PromptSegment { bytes: b"the standing order", tokens: 4_000 }];
        let ticket = RequestTicket {
            request: self.sent_count.to_string(),
            organisation: organisation.to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(20),
            repeatable: true,
            fingerprint: u64::from(self.sent_count),
            parts: Vec::new(),
            software: None,
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: levels(organisation, MODEL, None, &order),
                prompt_tokens: 4_100,
                max_output_tokens: 10,
            },
        };
        let actions = self.handle(PolicyInput::Arrive(ticket));
        let sent = actions.into_iter().find_map(|action| match action {
            PolicyAction::Send(order) => Some(order),
            _ => None,
        });
        let order = sent.expect("the idle engine takes the request");
        let (attempt, cached_tokens) = (order.attempt, Some(order.expected_hit));
        self.handle(PolicyInput::FirstToken { attempt, cached_tokens });
        self.handle(PolicyInput::Finished { attempt, cached_tokens, output_tokens: 10 });
        order
    }
}

#[test]
fn repeated_prompt_expects_hit() {
    let mut fixture = CacheFixture::new([]);
    assert_eq!(fixture.send_prompt("firm").expected_hit, 0);
    assert_eq!(fixture.send_prompt("firm").expected_hit, 4_000);
}

#[test]
fn restarted_engine_expects_no_hit() {
    let mut fixture = CacheFixture::new([]);
    fixture.send_prompt("firm");
    fixture.report_state(2, "v1");
    assert_eq!(fixture.send_prompt("firm").expected_hit, 0);
}

#[test]
fn changed_weights_expect_no_hit() {
    let mut fixture = CacheFixture::new([]);
    fixture.send_prompt("firm");
    fixture.set_desired_weights("v2");
    assert_eq!(
        fixture.send_prompt("firm").expected_hit,
        0,
        "the engine has not loaded the new weights"
    );
    fixture.report_state(1, "v2");
    assert_eq!(
        fixture.send_prompt("firm").expected_hit,
        0,
        "the engine holds nothing under the new weights"
    );
}

#[test]
fn organisations_share_no_blocks() {
    let mut fixture = CacheFixture::new([]);
    fixture.send_prompt("firm");
    assert_eq!(fixture.send_prompt("rival").expected_hit, 0);
    assert_ne!(cache_salt("firm", MODEL, None, "v1"), cache_salt("rival", MODEL, None, "v1"));
    assert_ne!(cache_salt("firm", MODEL, None, "v1"), cache_salt("firm", MODEL, None, "v2"));
    // Different parts with the same concatenation must give different salts.
    assert_ne!(cache_salt("ab", "c", None, "v1"), cache_salt("a", "bc", None, "v1"));
}

#[test]
fn disabled_check_expects_stale_hit() {
    let mut fixture = CacheFixture::new([PolicySafeguard::CacheIdentity]);
    fixture.send_prompt("firm");
    fixture.report_state(2, "v1");
    assert_eq!(
        fixture.send_prompt("firm").expected_hit,
        4_000,
        "the other tests depend on this safeguard"
    );
}
