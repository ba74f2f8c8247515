//! Use of the engines' shared KV cache store for long prefixes, which engines evict within seconds
//! and lose when they crash or load new weights. Short prefixes, and blocks that might be stored
//! under the wrong weights, are not stored.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            CacheStoreUse, Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput,
            PolicyView, PrefixLevel, RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
/// The share of one of nine daemons in a link of 140 Gbit/s, at 164 KB per token.
const LINK_RATE: f64 = 11_900.0;
const LONG_PREFIX_TOKENS: u32 = 6_300;

struct StoreFixture {
    now: Instant,
    dispatcher: Dispatcher,
    count: u64,
}

impl StoreFixture {
    fn new(link: Option<f64>) -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 5,
            disabled: SafeguardSet::default(),
        };
        let engine = ServerView {
            software: String::new(),
            failure_domain: "ub-north".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 64,
        };
        let servers = [("engine-0".to_owned(), engine)].into();
        let objective = DecisionObjective::FirstToken;
        let view = PolicyView { revision: 1, objective, servers, ..PolicyView::default() };
        let mut fixture =
            StoreFixture { now: Instant::now(), dispatcher: Dispatcher::new(settings), count: 0 };
        fixture.handle(PolicyInput::Configure(Arc::new(view)));
        fixture.handle(PolicyInput::CacheStoreLink { rate: link });
        fixture.report_weights("1");
        fixture
    }

    fn handle(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn report_weights(&mut self, version: &str) {
        self.handle(PolicyInput::Load(LoadReport {
            server: "engine-0".to_owned(),
            incarnation: 1,
            weights: [(MODEL.to_owned(), version.to_owned())].into(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        }));
    }

    /// Completes a request with a prefix that no test uses, so that the engine's speed is measured.
    fn measure_speed(&mut self) {
        self.send_prompt(999, LONG_PREFIX_TOKENS);
        self.now += Duration::from_secs(2);
    }

    /// Sends a prompt with the shared prefix `prefix` of `shared` tokens, and returns how the store
    /// is used.
    fn send_prompt(&mut self, prefix: u64, shared: u32) -> Option<CacheStoreUse> {
        self.count += 1;
        let own = PrefixLevel { hash: 1_000 + self.count, tokens: shared + 900 };
        let actions = self.handle(PolicyInput::Arrive(RequestTicket {
            request: format!("r-{}", self.count),
            organisation: "naran".to_owned(),
            class: RequestClass::Standard,
            deadline: self.now + Duration::from_secs(15),
            repeatable: true,
            fingerprint: self.count,
            parts: Vec::new(),
            software: None,
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: vec![PrefixLevel { hash: prefix, tokens: shared }, own],
                prompt_tokens: shared + 900,
                max_output_tokens: 10,
            },
        }));
        let order = actions.iter().find_map(|action| match action {
            PolicyAction::Send(order) => Some(order.clone()),
            _ => None,
        });
        let order = order.expect("the engine accepts requests");
        let (attempt, output_tokens) = (order.attempt, 10);
        self.handle(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens });
        order.store_use
    }
}

#[test]
fn computed_prefix_is_exported_once() {
    let mut fixture = StoreFixture::new(Some(LINK_RATE));
    fixture.measure_speed();
    assert_eq!(fixture.send_prompt(1, LONG_PREFIX_TOKENS), Some(CacheStoreUse::TakeAndBring));
    // The blocks may have been evicted from the engine, so it may still import them.
    assert_eq!(fixture.send_prompt(1, LONG_PREFIX_TOKENS), Some(CacheStoreUse::Take));
    assert_eq!(fixture.send_prompt(2, 200), None, "short prefixes are not stored");
    let mut fixture = StoreFixture::new(None);
    assert_eq!(fixture.send_prompt(1, LONG_PREFIX_TOKENS), None, "there is no store");
}

/// Guards against answers from cache entries of other weights. After new weights are named, an
/// engine with the former ones may load at any time, and what it computes from then on would be
/// stored under the salt of the former weights.
#[test]
fn only_newest_weights_are_stored() {
    let mut fixture = StoreFixture::new(Some(LINK_RATE));
    let newest: BTreeMap<String, String> = [(MODEL.to_owned(), "2".to_owned())].into();
    fixture.measure_speed();
    fixture.handle(PolicyInput::PeerFetch { rate: None, newest });
    assert_eq!(fixture.send_prompt(1, LONG_PREFIX_TOKENS), None);
    fixture.report_weights("2");
    assert_eq!(fixture.send_prompt(1, LONG_PREFIX_TOKENS), Some(CacheStoreUse::TakeAndBring));
}

/// Guards against the same fault if weights are named while a prompt waits: an engine that starts
/// it late may load other weights before it ends, so such a prompt exports nothing.
#[test]
fn slow_prompt_exports_nothing() {
    let mut fixture = StoreFixture::new(Some(LINK_RATE));
    assert_eq!(
        fixture.send_prompt(1, LONG_PREFIX_TOKENS),
        Some(CacheStoreUse::Take),
        "the engine speed is not measured yet"
    );
    assert_eq!(fixture.send_prompt(2, LONG_PREFIX_TOKENS), Some(CacheStoreUse::TakeAndBring));
}

/// A burst of uncached prompts transfers no more than the link carries within seconds. Transfers
/// that would have to wait longer are not made, because they would delay first tokens.
#[test]
fn transfers_are_limited_by_the_link() {
    let mut fixture = StoreFixture::new(Some(LINK_RATE));
    let used = (1..=100)
        .filter(|prefix| fixture.send_prompt(*prefix, LONG_PREFIX_TOKENS).is_some())
        .count();
    assert!((5..=9).contains(&used), "{used} of 100 transfers in a fifth of a second");
    fixture.now += Duration::from_secs(1);
    let later = (101..=200)
        .filter(|prefix| fixture.send_prompt(*prefix, LONG_PREFIX_TOKENS).is_some())
        .count();
    assert!((2..=6).contains(&later), "{later} of 100 transfers one second later");
}
