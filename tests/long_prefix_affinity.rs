//! Affinity of prompts with a long first level: a hundred prefixes of 13,000 tokens, each requested
//! every few seconds and followed by 3,700 tokens of the prompt's own, at eighteen engines that
//! hold a dozen of them each. Only the first level is shared. If the prompt's own part selected the
//! engine, nearly every prompt would be computed completely, would take four times as long, and
//! would delay short ones.

use {
    oleandermount::{
        inventory::{DecisionObjective, RequestClass, ServerKind},
        policy::{
            Dispatcher, DispatcherSettings, LoadReport, PolicyAction, PolicyInput, PolicyView,
            PrefixLevel, RequestTicket, RequestWork, SafeguardSet, ServerView,
        },
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

const MODEL: &str = "drafter";
const ENGINES: usize = 18;
const PREFIXES: u64 = 100;
const DAEMONS: u64 = 3;

fn dispatcher(now: Instant, number: u64) -> Dispatcher {
    let settings = DispatcherSettings {
        daemon: format!("vm-{number}"),
        failure_domain: "suva".to_owned(),
        seed: 100 + number,
        disabled: SafeguardSet::default(),
    };
    let engine = ServerView {
        software: String::new(),
        failure_domain: "suva".to_owned(),
        kind: ServerKind::Engine,
        models: vec![MODEL.to_owned()],
        service: None,
        slots: 64,
    };
    let servers = (0..ENGINES).map(|index| (format!("engine-{index}"), engine.clone())).collect();
    let daemons = (0..DAEMONS).map(|daemon| format!("vm-{daemon}")).collect::<Vec<_>>();
    let daemons = daemons.into_iter().map(|daemon| (daemon, Default::default())).collect();
    let view = PolicyView {
        revision: 1,
        objective: DecisionObjective::FirstToken,
        servers,
        daemons: [("suva".to_owned(), daemons)].into(),
        ..PolicyView::default()
    };
    let mut dispatcher = Dispatcher::new(settings);
    dispatcher.handle(now, PolicyInput::Configure(Arc::new(view)));
    for index in 0..ENGINES {
        dispatcher.handle(
            now,
            PolicyInput::Load(LoadReport {
                server: format!("engine-{index}"),
                incarnation: 1,
                weights: [(MODEL.to_owned(), "1".to_owned())].into(),
                running: 0,
                waiting: 0,
                waiting_tokens: 0,
                cache_used: 0.0,
                leaving: false,
            }),
        );
    }
    dispatcher
}

/// Returns a hash distributed as evenly as those of real prompts.
fn mix_hash(number: u64) -> u64 {
    xxh3_64(&number.to_le_bytes())
}

fn long_prompt(number: u64, prefix: u64, shared: u32, now: Instant) -> RequestTicket {
    let own = PrefixLevel { hash: mix_hash(PREFIXES + number), tokens: shared + 3_700 };
    RequestTicket {
        request: format!("r{number}"),
        organisation: "naran".to_owned(),
        class: RequestClass::Interactive,
        deadline: now + Duration::from_secs(10),
        repeatable: true,
        fingerprint: number,
        parts: Vec::new(),
        software: None,
        work: RequestWork::Model {
            model: MODEL.to_owned(),
            adapter: None,
            levels: vec![PrefixLevel { hash: mix_hash(prefix), tokens: shared }, own],
            prompt_tokens: own.tokens,
            max_output_tokens: 30,
        },
    }
}

/// Returns how many prompts of each prefix all daemons send to each server, one prompt at a time.
fn servers_by_prefix(shared: u32) -> BTreeMap<u64, BTreeMap<String, u32>> {
    let mut now = Instant::now();
    let mut dispatchers: Vec<Dispatcher> =
        (0..DAEMONS).map(|daemon| dispatcher(now, daemon)).collect();
    let mut servers_by_prefix: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    for number in 0..PREFIXES * 12 {
        now += Duration::from_millis(40);
        let prefix = number * 37 % PREFIXES;
        let dispatcher = &mut dispatchers[(number / 5 % DAEMONS) as usize];
        let ticket = long_prompt(number, prefix, shared, now);
        let actions = dispatcher.handle(now, PolicyInput::Arrive(ticket));
        let order = actions.into_iter().find_map(|action| match action {
            PolicyAction::Send(order) => Some(order),
            _ => None,
        });
        let order = order.expect("an idle engine takes the request");
        *servers_by_prefix.entry(prefix).or_default().entry(order.server).or_default() += 1;
        let (attempt, cached_tokens) = (order.attempt, None);
        now += Duration::from_millis(20);
        dispatcher.handle(now, PolicyInput::Finished { attempt, cached_tokens, output_tokens: 30 });
    }
    servers_by_prefix
}

#[test]
fn long_prefix_keeps_affinity() {
    let servers_by_prefix = servers_by_prefix(13_000);
    let servers: usize = servers_by_prefix.values().map(BTreeMap::len).sum();
    assert!(servers as u64 <= PREFIXES * 2, "{servers} servers for {PREFIXES} prefixes");
    let mut load: BTreeMap<&String, u32> = BTreeMap::new();
    servers_by_prefix
        .values()
        .flatten()
        .for_each(|(server, count)| *load.entry(server).or_default() += count);
    let most = load.values().max().copied().unwrap_or_default() as usize;
    let mean = PREFIXES as usize * 12 / ENGINES;
    assert!(load.len() >= ENGINES - 1 && most <= mean * 3, "{load:?}");
}

/// The part after a short first level is worth more than that level and is balanced over many
/// engines.
#[test]
fn short_prefix_uses_many_engines() {
    let servers_by_prefix = servers_by_prefix(200);
    let servers: usize = servers_by_prefix.values().map(BTreeMap::len).sum();
    assert!(servers as u64 >= PREFIXES * 3, "{servers} servers for {PREFIXES} prefixes");
}
