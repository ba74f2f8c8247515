//! Engines fetch what they lack of a prompt from a server that holds it under the same weights, and
//! short prefixes do not tie a chat to a busy server.

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
/// Tokens a second over a link of 280 Gbit/s at 164 KB a token, halved for the way between domains.
const FETCH_RATE: f64 = 107_000.0;

struct FetchBench {
    now: Instant,
    dispatcher: Dispatcher,
    count: u32,
}

impl FetchBench {
    fn new(fetch: bool) -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 11,
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
        let now = Instant::now();
        let mut bench = FetchBench { now, dispatcher: Dispatcher::new(settings), count: 0 };
        bench.tell(PolicyInput::Configure(Arc::new(view)));
        let rate = fetch.then_some(FETCH_RATE);
        bench.tell(PolicyInput::PeerFetch { rate, newest: BTreeMap::new() });
        for engine in ENGINES {
            bench.weights(engine, "1");
        }
        bench
    }

    fn tell(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn weights(&mut self, engine: &str, version: &str) {
        self.tell(PolicyInput::Load(LoadReport {
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

    fn leaving(&mut self, engine: &str) {
        let (server, health) = (engine.to_owned(), ServerHealth::Leaving);
        self.tell(PolicyInput::Health { server, health });
    }

    /// Sends a prompt of `shared` tokens and as many of its own again.
    fn send(&mut self, shared: u32) -> SendOrder {
        self.count += 1;
        let request = format!("r{}", self.count);
        let actions = self.tell(PolicyInput::Arrive(RequestTicket {
            request,
            organisation: "naran".to_owned(),
            class: RequestClass::Interactive,
            deadline: self.now + Duration::from_secs(10),
            repeatable: true,
            fingerprint: u64::from(self.count),
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
        order.expect("an idle engine takes it")
    }

    fn finish(&mut self, order: &SendOrder) {
        let attempt = order.attempt;
        self.now += Duration::from_millis(300);
        self.tell(PolicyInput::FirstToken { attempt, cached_tokens: None });
        self.tell(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens: 10 });
    }
}

/// Without fetching a server that stands in for the home computes thousands of tokens again. Order
/// of events: a prefix is computed at its home; the home stops taking work for a moment and another
/// server computes it, too; that one leaves, and the prefix's next server fetches it from the home.
#[test]
fn stand_in_fetches() {
    let mut bench = FetchBench::new(true);
    let first = bench.send(6_000);
    bench.finish(&first);
    bench.leaving(&first.server);
    let second = bench.send(6_000);
    assert_ne!(second.server, first.server);
    assert_eq!(second.source.as_ref().filter(|source| **source == first.server), None);
    bench.finish(&second);
    bench.tell(PolicyInput::Health {
        server: first.server.clone(),
        health: ServerHealth::Alive { incarnation: 1 },
    });
    bench.leaving(&second.server);
    // The home is full for a moment: what strays from it fetches from it.
    let mut stray = None;
    for _ in 0..40 {
        let order = bench.send(6_000);
        if order.server != first.server {
            stray = Some(order);
            break;
        }
    }
    let stray = stray.expect("a full home lets some go");
    assert_eq!(stray.source.as_ref(), Some(&first.server));
}

/// A source with other weights would hand over cache entries of those weights, and the caller would
/// get an answer made on them.
#[test]
fn weights_must_match() {
    let mut bench = FetchBench::new(true);
    let first = bench.send(6_000);
    bench.finish(&first);
    let others: Vec<&str> = ENGINES.into_iter().filter(|one| *one != first.server).collect();
    bench.weights(others[0], "2");
    bench.weights(others[1], "3");
    bench.leaving(&first.server);
    let second = bench.send(6_000);
    assert_eq!(second.source, None);
}

#[test]
fn no_source_without_fetching() {
    let mut bench = FetchBench::new(false);
    let first = bench.send(6_000);
    bench.finish(&first);
    assert_eq!(bench.send(6_000).source, None);
}

/// A chat that shares two hundred tokens waited for its home behind a longer prompt there. Order of
/// events: a longer prompt is sent to the home of a chat's prefix, of which this daemon knows nothing
/// yet; the chat goes to an idle server instead.
#[test]
fn chat_leaves_busy_home() {
    let home = FetchBench::new(true).send(200).server;
    let mut bench = FetchBench::new(true);
    for engine in ENGINES {
        if engine != home {
            bench.leaving(engine);
        }
    }
    assert_eq!(bench.send(600).server, home);
    for engine in ENGINES {
        let health = ServerHealth::Alive { incarnation: 1 };
        bench.tell(PolicyInput::Health { server: engine.to_owned(), health });
    }
    assert_ne!(bench.send(200).server, home);
}

/// A request ran on cache entries that were made under other weights than its own. Order of events:
/// version 2 is named, and the order to load it reaches a server seconds late, at a moment when
/// nobody holds the server back; what the server is just reading is finished under version 2 and kept
/// under version 1's salt; another server, still on version 1, fetches it.
#[test]
fn due_server_is_no_source() {
    let mut bench = FetchBench::new(true);
    let first = bench.send(6_000);
    bench.finish(&first);
    let source = |bench: &mut FetchBench| {
        let stray = (0..30).map(|_| bench.send(6_000)).find(|order| order.server != first.server);
        stray.expect("a full home lets some go").source
    };
    let newest = BTreeMap::from([(MODEL.to_owned(), "2".to_owned())]);
    bench.tell(PolicyInput::PeerFetch { rate: Some(FETCH_RATE), newest });
    assert_eq!(source(&mut bench), None);
    let newest = BTreeMap::from([(MODEL.to_owned(), "1".to_owned())]);
    bench.tell(PolicyInput::PeerFetch { rate: Some(FETCH_RATE), newest });
    assert!(source(&mut bench).is_some());
}
