//! Load pattern: long prefixes shared by all, engines that evict them within seconds, crash and load
//! new weights. Long ones go through the engines' common store; short ones, and whatever might be
//! kept there under the wrong weights, do not.

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
/// The part of a link of 140 Gbit/s that one of nine daemons has, at 164 KB a token.
const LINK_PART: f64 = 11_900.0;
const LONG: u32 = 6_300;

struct KeepBench {
    now: Instant,
    dispatcher: Dispatcher,
    count: u64,
}

impl KeepBench {
    fn new(link: Option<f64>) -> Self {
        let settings = DispatcherSettings {
            daemon: "vm-0".to_owned(),
            failure_domain: "ub-north".to_owned(),
            seed: 5,
            disabled: SafeguardSet::default(),
        };
        let engine = ServerView {
            failure_domain: "ub-north".to_owned(),
            kind: ServerKind::Engine,
            models: vec![MODEL.to_owned()],
            service: None,
            slots: 64,
        };
        let servers = [("engine-0".to_owned(), engine)].into();
        let objective = DecisionObjective::FirstToken;
        let view = PolicyView { revision: 1, objective, servers, ..PolicyView::default() };
        let mut bench =
            KeepBench { now: Instant::now(), dispatcher: Dispatcher::new(settings), count: 0 };
        bench.tell(PolicyInput::Configure(Arc::new(view)));
        bench.tell(PolicyInput::CacheStoreLink { rate: link });
        bench.weights("1");
        bench
    }

    fn tell(&mut self, input: PolicyInput) -> Vec<PolicyAction> {
        self.now += Duration::from_millis(1);
        self.dispatcher.handle(self.now, input)
    }

    fn weights(&mut self, version: &str) {
        self.tell(PolicyInput::Load(LoadReport {
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

    /// Lets an answer tell how fast the engine is; its prefix is asked for by no test.
    fn measure(&mut self) {
        self.ask(999, LONG);
        self.now += Duration::from_secs(2);
    }

    /// Asks with a shared prefix of `shared` tokens named by `prefix`; how the store is used.
    fn ask(&mut self, prefix: u64, shared: u32) -> Option<CacheStoreUse> {
        self.count += 1;
        let own = PrefixLevel { hash: 1_000 + self.count, tokens: shared + 900 };
        let actions = self.tell(PolicyInput::Arrive(RequestTicket {
            request: format!("r-{}", self.count),
            organisation: "naran".to_owned(),
            class: RequestClass::Standard,
            deadline: self.now + Duration::from_secs(15),
            repeatable: true,
            fingerprint: self.count,
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
        let order = order.expect("the engine takes work");
        let (attempt, output_tokens) = (order.attempt, 10);
        self.tell(PolicyInput::Finished { attempt, cached_tokens: None, output_tokens });
        order.store_use
    }
}

#[test]
fn brings_once_and_takes() {
    let mut bench = KeepBench::new(Some(LINK_PART));
    bench.measure();
    assert_eq!(bench.ask(1, LONG), Some(CacheStoreUse::TakeAndBring));
    // What is believed to be held may have been evicted: the store is asked all the same.
    assert_eq!(bench.ask(1, LONG), Some(CacheStoreUse::Take));
    assert_eq!(bench.ask(2, 200), None, "short ones would push the long ones out");
    let mut bench = KeepBench::new(None);
    assert_eq!(bench.ask(1, LONG), None, "there is no store, or it is away");
}

/// What callers saw otherwise: an answer made on cache entries of other weights. Order of events: new
/// weights are named; an engine that still has the former ones may load at any moment, and what it
/// reads from then on would be kept under the salt of the former ones.
#[test]
fn only_newest_weights() {
    let mut bench = KeepBench::new(Some(LINK_PART));
    let newest: BTreeMap<String, String> = [(MODEL.to_owned(), "2".to_owned())].into();
    bench.measure();
    bench.tell(PolicyInput::PeerFetch { rate: None, newest });
    assert_eq!(bench.ask(1, LONG), None);
    bench.weights("2");
    assert_eq!(bench.ask(1, LONG), Some(CacheStoreUse::TakeAndBring));
}

/// The same where the weights are named while a prompt waits: an engine that takes long to read it may
/// load others before it has ended. What it reads is kept by nobody else then.
#[test]
fn only_what_is_read_soon() {
    let mut bench = KeepBench::new(Some(LINK_PART));
    assert_eq!(
        bench.ask(1, LONG),
        Some(CacheStoreUse::Take),
        "how fast the engine is was not measured"
    );
    assert_eq!(bench.ask(2, LONG), Some(CacheStoreUse::TakeAndBring));
}

/// A burst of prompts that nobody holds asks for no more of the link than it carries within seconds:
/// what waits longer there delays first tokens and is then not transferred at all.
#[test]
fn bounded_by_the_link() {
    let mut bench = KeepBench::new(Some(LINK_PART));
    let used = (1..=100).filter(|prefix| bench.ask(*prefix, LONG).is_some()).count();
    assert!((5..=9).contains(&used), "{used} of 100 in a fifth of a second");
    bench.now += Duration::from_secs(1);
    let later = (101..=200).filter(|prefix| bench.ask(*prefix, LONG).is_some()).count();
    assert!((2..=6).contains(&later), "{later} of 100 a second later");
}
