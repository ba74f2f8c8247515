//! Engines fetch missing parts of a prompt from a server that holds them under the same weights,
//! and short prefixes do not bind a chat to a busy server.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicyView,
            PrefixLevel, RequestTicket, RequestWork, SafeguardSet, SendOrder, ServerHealth,
            ServerView,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MODEL: &str = "basket-llm";
const ENGINES: [&str; 3] = ["engine-0", "engine-1", "engine-2"];
/// Tokens per second over a link of 280 Gbit/s at 164 KB per token, halved for transfers between
/// failure domains.
const FETCH_RATE: f64 = 107_000.0;

struct FetchFixture {
    now: Instant,
    dispatcher: Dispatcher,
    count: u32,
}

impl FetchFixture {
    fn new(fetch: bool) -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 11,
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
        let now = Instant::now();
        let mut fixture = FetchFixture { now, dispatcher: Dispatcher::new(settings), count: 0 };
        fixture.handle(PolicyInput::Configure(Arc::new(view)));
        let rate = fetch.then_some(FETCH_RATE);
        fixture.handle(PolicyInput::PeerFetch { rate, newest: BTreeMap::new() });
        for engine in ENGINES {
            fixture.report_weights(engine, "1");
        }
        fixture
    }

    fn handle(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn report_weights(&mut self, engine: &str, version: &str) {
        self.handle(PolicyInput::Load(LoadReport {
            server: engine.to_owned(),
            incarnation: 1,
            weights: [(MODEL.to_owned(), version.to_owned())].into(),
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            cache_used: 0.0,
            leaving: false,
        }));
    }

    fn set_leaving(&mut self, engine: &str) {
        let (server, health) = (engine.to_owned(), ServerHealth::Leaving);
        self.handle(PolicyInput::Health { server, health });
    }

    /// Sends a prompt of `shared` shared tokens and as many of its own.
    fn send(&mut self, shared: u32) -> SendOrder {
        self.count += 1;
        let request = format!("r{}", self.count);
        let actions = self.handle(PolicyInput::Arrive(RequestTicket {
            request,
            organisation: "naran".to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(10),
            repeatable: true,
            fingerprint: u64::from(self.count),
            parts: Vec::new(),
            software: None,
            work: RequestWork::Model {
                model: MODEL.to_owned(),
                adapter: None,
                levels: vec![
                    PrefixLevel { hash: u64::from(shared), tokens: shared / 2 },
                    PrefixLevel { hash: u64::from(shared) + 1, tokens: shared },
                ],
                prompt_tokens: 2 * shared,
                max_output_tokens: 50,
            },
        }));
        let order = actions.into_iter().find_map(|action| match action {
            PolicyAction::Send(order) => Some(order),
            _ => None,
        });
        order.expect("an idle engine takes the request")
    }

    fn finish(&mut self, order: &SendOrder) {
        let attempt = order.attempt;
        self.now += Duration::from_millis(300);
        self.handle(PolicyInput::FirstToken { attempt, cached_tokens: None });
        self.handle(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 10 });
    }
}

/// A server that substitutes for the affinity server fetches the prefix instead of computing
/// thousands of tokens again. A prefix is computed at its affinity server, which then stops
/// accepting requests, and a second server computes it. When the second server leaves in turn,
/// spillover from the full affinity server fetches the prefix from it.
#[test]
fn spillover_fetches_from_holder() {
    let mut fixture = FetchFixture::new(true);
    let first = fixture.send(6_000);
    fixture.finish(&first);
    fixture.set_leaving(&first.server);
    let second = fixture.send(6_000);
    assert_ne!(second.server, first.server);
    assert_eq!(second.source.as_ref().filter(|source| **source == first.server), None);
    fixture.finish(&second);
    fixture.handle(PolicyInput::Health {
        server: first.server.clone(),
        health: ServerHealth::Alive { incarnation: 1 },
    });
    fixture.set_leaving(&second.server);
    // Requests that spill over from the full affinity server fetch from it.
    let mut spillover = None;
    for _ in 0..40 {
        let order = fixture.send(6_000);
        if order.server != first.server {
            spillover = Some(order);
            break;
        }
    }
    let spillover = spillover.expect("a full server causes spillover");
    assert_eq!(spillover.source.as_ref(), Some(&first.server));
}

/// A source with other weights would provide cache entries of those weights, and the answer would
/// be generated from them.
#[test]
fn source_needs_same_weights() {
    let mut fixture = FetchFixture::new(true);
    let first = fixture.send(6_000);
    fixture.finish(&first);
    let others: Vec<&str> = ENGINES.into_iter().filter(|one| *one != first.server).collect();
    fixture.report_weights(others[0], "2");
    fixture.report_weights(others[1], "3");
    fixture.set_leaving(&first.server);
    let second = fixture.send(6_000);
    assert_eq!(second.source, None);
}

#[test]
fn disabled_fetching_names_no_source() {
    let mut fixture = FetchFixture::new(false);
    let first = fixture.send(6_000);
    fixture.finish(&first);
    assert_eq!(fixture.send(6_000).source, None);
}

/// A chat with a short shared prefix must not wait for its affinity server behind a longer prompt.
/// The affinity server of the chat's prefix is busy with a longer prompt, and the chat goes to an
/// idle server.
#[test]
fn short_prefix_leaves_busy_server() {
    let affinity_server = FetchFixture::new(true).send(200).server;
    let mut fixture = FetchFixture::new(true);
    for engine in ENGINES {
        if engine != affinity_server {
            fixture.set_leaving(engine);
        }
    }
    assert_eq!(fixture.send(600).server, affinity_server);
    for engine in ENGINES {
        let health = ServerHealth::Alive { incarnation: 1 };
        fixture.handle(PolicyInput::Health { server: engine.to_owned(), health });
    }
    assert_ne!(fixture.send(200).server, affinity_server);
}

/// Guards against answers from cache entries of other weights. Version 2 is named, and the load
/// order reaches a server seconds late, when it is no longer reserved. What the server is computing
/// is completed under version 2 and cached under the salt of version 1; another server, still on
/// version 1, would fetch it.
#[test]
fn outdated_server_is_no_source() {
    let mut fixture = FetchFixture::new(true);
    let first = fixture.send(6_000);
    fixture.finish(&first);
    let source = |fixture: &mut FetchFixture| {
        let spillover =
            (0..30).map(|_| fixture.send(6_000)).find(|order| order.server != first.server);
        spillover.expect("a full server causes spillover").source
    };
    let newest = BTreeMap::from([(MODEL.to_owned(), "2".to_owned())]);
    fixture.handle(PolicyInput::PeerFetch { rate: Some(FETCH_RATE), newest });
    assert_eq!(source(&mut fixture), None);
    let newest = BTreeMap::from([(MODEL.to_owned(), "1".to_owned())]);
    fixture.handle(PolicyInput::PeerFetch { rate: Some(FETCH_RATE), newest });
    assert!(source(&mut fixture).is_some());
}
