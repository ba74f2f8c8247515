//! A committed configuration reaches every daemon and never gives way to a lower one.

use {
    oleandermount::{
        daemon::config_dissemination::{
            cache_file::CacheFile,
            dissemination_core::{
                DisseminationAction, DisseminationCore, DisseminationInput, PeerView, StorageKind,
            },
            history::ConfigHistory,
        },
        ids::{Revision, VmId},
        inventory::{ActiveConfig, DomainRecord, OrganisationRecord},
        transport::{PeerReply, config_delta::ConfigDelta},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const ONE_WAY: Duration = Duration::from_millis(1);

fn config(revision: Revision) -> Arc<ActiveConfig> {
    Arc::new(ActiveConfig { revision, ..ActiveConfig::default() })
}

/// Daemons `D.N` of domains that may be cut off from each other; `D.0` has the disk. Messages
/// take a millisecond, and one in ten is lost.
struct SpreadBench {
    now: Instant,
    size: usize,
    domains: usize,
    cores: BTreeMap<VmId, DisseminationCore>,
    events: BTreeMap<(Instant, u64), (VmId, DisseminationInput)>,
    sequence: u64,
    random: Xoshiro256PlusPlus,
    cut: Option<String>,
    notices: u64,
}

impl SpreadBench {
    fn new(domains: usize, size: usize, seed: u64) -> Self {
        let mut bench = Self {
            now: Instant::now(),
            size,
            domains,
            cores: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            cut: None,
            notices: 0,
        };
        for vm in (0..domains).flat_map(|d| (0..size).map(move |n| format!("{d}.{n}"))) {
            bench.restart(&vm);
        }
        bench
    }

    fn restart(&mut self, vm: &str) {
        let (domain, number) = vm.split_once('.').expect("names have two parts");
        let mut near: Vec<VmId> = (0..self.size).map(|n| format!("{domain}.{n}")).collect();
        near.retain(|other| other != vm);
        let mut others: Vec<VmId> = (0..self.domains).map(|d| format!("{d}.0")).collect();
        others.retain(|other| !other.starts_with(&format!("{domain}.")));
        let mut durable_peers = vec![format!("{domain}.0")];
        durable_peers.retain(|other| other != vm);
        let kind = if number == "0" { StorageKind::Durable } else { StorageKind::Diskless };
        let view = PeerView { domain: near, durable_peers, others };
        let core = DisseminationCore::new(self.now, kind, view, self.random.next_u64());
        self.cores.insert(vm.to_owned(), core);
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let inside = |vm: &str| self.cut.as_deref().is_some_and(|cut| vm.starts_with(cut));
        inside(a) != inside(b)
    }

    fn give(&mut self, vm: &VmId, input: DisseminationInput) {
        let core = self.cores.get_mut(vm).expect("the daemon exists");
        let before = core.history().current().revision;
        let actions = core.handle(self.now, input);
        assert!(core.history().current().revision >= before, "{vm} went back");
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn perform(&mut self, vm: &VmId, action: DisseminationAction) {
        match action {
            DisseminationAction::Adopt(_) => {}
            DisseminationAction::Notify { to, revision } => {
                self.notices += 1;
                let lost = self.random.next_u32().is_multiple_of(10) || self.is_cut(vm, &to);
                if !lost {
                    let notice = DisseminationInput::Notice { from: vm.clone(), revision };
                    self.post(ONE_WAY, &to, notice);
                }
            }
            DisseminationAction::Fetch { from, have } => {
                let reachable = !self.is_cut(vm, &from);
                let reply = self.cores[&from].history().answer(have);
                let read = self.cores[vm].history().read(reply).filter(|_| reachable);
                let config = read.map(Arc::new);
                self.post(ONE_WAY * 2, vm, DisseminationInput::Fetched { from, config });
            }
        }
    }

    fn post(&mut self, delay: Duration, to: &VmId, input: DisseminationInput) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), (to.clone(), input));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wake = self.cores.iter().map(|(vm, core)| (core.next_wakeup(), vm)).min();
            let (due, vm) = wake.map(|(at, vm)| (at, vm.clone())).expect("there are daemons");
            let event = self.events.keys().next().copied();
            match event.filter(|key| key.0 <= due && key.0 <= end) {
                Some(key) => {
                    let (to, input) = self.events.remove(&key).expect("it was there");
                    self.now = key.0;
                    self.give(&to, input);
                }
                None if due <= end => {
                    assert!(due >= self.now || event.is_none(), "{vm} wants to wake in the past");
                    self.now = self.now.max(due);
                    self.give(&vm, DisseminationInput::Wake);
                }
                None => break self.now = end,
            }
        }
    }

    fn behind(&self, revision: Revision) -> Vec<&VmId> {
        let late = |core: &DisseminationCore| core.history().current().revision < revision;
        self.cores.iter().filter(|(_, core)| late(core)).map(|(vm, _)| vm).collect()
    }
}

/// An operator's change is in force everywhere within 13 s at the size the users plan for: 378
/// daemons in seven domains, with a tenth of all messages lost. The replicas alone learn of the
/// commit; no daemon is sent more than a few messages a second.
#[test]
fn change_reaches_all_daemons() {
    let mut bench = SpreadBench::new(7, 54, 11);
    for domain in 0..7 {
        bench.give(&format!("{domain}.0"), DisseminationInput::Committed(config(1)));
    }
    bench.run(Duration::from_secs(13));
    assert_eq!(bench.behind(1), Vec::<&VmId>::new());
    bench.notices = 0;
    for domain in 0..7 {
        bench.give(&format!("{domain}.0"), DisseminationInput::Committed(config(2)));
    }
    bench.run(Duration::from_secs(13));
    assert_eq!(bench.behind(2), Vec::<&VmId>::new());
    let each_second = bench.notices as f64 / 378.0 / 13.0;
    assert!(each_second < 2.0, "{each_second} notices a second at each daemon");
}

/// Callers in a cut-off domain are served by the rules that were accepted last, also after all of
/// its diskless daemons restart together: the domain's disk replica gives them what they had.
/// The news that the cut keeps out comes in when it heals.
#[test]
fn cut_domain_restarts_without_a_revert() {
    let mut bench = SpreadBench::new(3, 9, 5);
    for domain in 0..3 {
        bench.give(&format!("{domain}.0"), DisseminationInput::Committed(config(7)));
    }
    bench.run(Duration::from_secs(13));
    bench.cut = Some("1.".to_owned());
    bench.give(&"0.0".to_owned(), DisseminationInput::Committed(config(8)));
    for number in 1..9 {
        bench.restart(&format!("1.{number}"));
    }
    bench.run(Duration::from_secs(2));
    assert_eq!(bench.behind(7), Vec::<&VmId>::new(), "all serve again within two seconds");
    assert!(bench.behind(8).iter().all(|vm| vm.starts_with("1.")));
    bench.cut = None;
    bench.run(Duration::from_secs(13));
    assert_eq!(bench.behind(8), Vec::<&VmId>::new());
}

/// An accepted change stays in force for callers of a domain although its daemons forget. A daemon
/// hears of revision 2 from outside before its domain's disk replica has it; a cut and a restart
/// at that moment would bring it up with revision 1. So it leaves the news alone until the domain
/// has it, or until the disk replica has shown for three seconds that it does not follow.
#[test]
fn news_from_outside_waits_for_the_domain() {
    let start = Instant::now();
    let [anchor, foreign] = ["a.0", "b.0"].map(str::to_owned);
    let view = PeerView {
        domain: vec![anchor.clone()],
        durable_peers: vec![anchor.clone()],
        others: vec![foreign.clone()],
    };
    let mut core = DisseminationCore::new(start, StorageKind::Diskless, view, 3);
    let _ = core.handle(start, DisseminationInput::Committed(config(1)));
    let notice = |from: &VmId| DisseminationInput::Notice { from: from.clone(), revision: 2 };
    assert_eq!(core.handle(start, notice(&foreign)), []);
    let later = start + Duration::from_secs(1);
    let fetch = DisseminationAction::Fetch { from: anchor.clone(), have: 1 };
    assert_eq!(core.handle(later, notice(&anchor)), [fetch]);
    let _ = core.handle(later, DisseminationInput::Fetched { from: anchor, config: None });
    let fetches = core.handle(start + Duration::from_secs(4), DisseminationInput::Wake);
    assert!(
        fetches.contains(&DisseminationAction::Fetch { from: foreign, have: 1 }),
        "{fetches:?}"
    );
}

#[test]
fn lower_or_equal_revision_is_never_put_in_force() {
    let mut history = ConfigHistory::default();
    assert!(history.advance(config(5)));
    for revision in [0, 4, 5] {
        assert!(!history.advance(config(revision)));
        assert_eq!(history.current().revision, 5);
    }
}

#[test]
fn changes_bring_the_same_configuration_as_the_whole() {
    let record = |id: &str, key: &str| OrganisationRecord {
        id: id.to_owned(),
        key_digests: vec![key.to_owned()],
    };
    let mut history = ConfigHistory::default();
    let mut asker = ConfigHistory::default();
    let mut latest = ActiveConfig { revision: 1, ..ActiveConfig::default() };
    latest.register.organisations = vec![record("one", "a"), record("two", "b")];
    assert!(history.advance(Arc::new(latest.clone())) && asker.advance(Arc::new(latest.clone())));
    latest.revision = 2;
    latest.register.organisations[1] = record("two", "c");
    latest.register.organisations.push(record("three", "d"));
    assert!(history.advance(Arc::new(latest.clone())));
    latest.revision = 3;
    latest.register.organisations.remove(0);
    latest.rules.weight_loads = 9;
    assert!(history.advance(Arc::new(latest.clone())));

    let reply = history.answer(1);
    assert!(matches!(&reply, PeerReply::ConfigChanges(changes) if changes.len() == 2));
    assert_eq!(asker.read(reply.clone()), Some(latest.clone()));
    assert_eq!(history.read(reply), None, "they apply to the revision they were made from alone");
    assert!(asker.advance(Arc::new(latest.clone())));
    assert_eq!(history.answer(3), PeerReply::Config(None));

    let mut swapped = ActiveConfig { revision: 4, ..latest.clone() };
    swapped.register.organisations.swap(0, 1);
    swapped.register.failure_domains.push(DomainRecord { id: "d".into(), region: String::new() });
    assert_eq!(ConfigDelta::between(&latest, &swapped), None);
    assert!(history.advance(Arc::new(swapped.clone())));
    let whole = history.answer(3);
    assert!(matches!(whole, PeerReply::Config(Some(_))));
    assert_eq!(asker.read(whole), Some(swapped));
}

/// A daemon must not serve by rules that nobody made. A byte of the kept file flips inside a name,
/// where it is still JSON; the digest does not fit, and the daemon asks its peers instead.
#[test]
fn damaged_cache_is_not_used() {
    let folder = tempfile::TempDir::new().expect("a folder can be made");
    let cache = CacheFile::new(folder.path());
    assert_eq!(cache.load(), None);
    let mut kept = ActiveConfig { revision: 3, ..ActiveConfig::default() };
    kept.register.organisations =
        vec![OrganisationRecord { id: "tuul".to_owned(), key_digests: Vec::new() }];
    cache.store(&kept).expect("the folder is writable");
    assert_eq!(cache.load(), Some(kept));
    let path = folder.path().join("config-cache.json");
    let text = std::fs::read_to_string(&path).expect("it is there");
    std::fs::write(&path, text.replace("tuul", "tuum")).expect("the folder is writable");
    assert_eq!(cache.load(), None);
}
