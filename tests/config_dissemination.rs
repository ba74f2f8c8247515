//! A committed configuration reaches every daemon, and no daemon returns to a lower revision.

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

/// Simulated daemons `D.N` of failure domains that can be cut off from each other; `D.0` has a
/// disk. Messages take a millisecond, and one notice in ten is lost.
struct DisseminationSimulation {
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

impl DisseminationSimulation {
    fn new(domains: usize, size: usize, seed: u64) -> Self {
        let mut simulation = Self {
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
            simulation.restart(&vm);
        }
        simulation
    }

    fn restart(&mut self, vm: &str) {
        let (domain, number) = vm.split_once('.').expect("names have two parts");
        let mut domain_peers: Vec<VmId> = (0..self.size).map(|n| format!("{domain}.{n}")).collect();
        domain_peers.retain(|other| other != vm);
        let mut others: Vec<VmId> = (0..self.domains).map(|d| format!("{d}.0")).collect();
        others.retain(|other| !other.starts_with(&format!("{domain}.")));
        let mut durable_peers = vec![format!("{domain}.0")];
        durable_peers.retain(|other| other != vm);
        let kind = if number == "0" { StorageKind::Durable } else { StorageKind::Diskless };
        let view = PeerView { domain: domain_peers, durable_peers, others };
        let core = DisseminationCore::new(self.now, kind, view, self.random.next_u64());
        self.cores.insert(vm.to_owned(), core);
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        let inside = |vm: &str| self.cut.as_deref().is_some_and(|cut| vm.starts_with(cut));
        inside(a) != inside(b)
    }

    fn input_to(&mut self, vm: &VmId, input: DisseminationInput) {
        let core = self.cores.get_mut(vm).expect("the daemon exists");
        let before = core.history().current().revision;
        let actions = core.handle(self.now, input);
        assert!(core.history().current().revision >= before, "the revision of {vm} decreased");
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn perform(&mut self, vm: &VmId, action: DisseminationAction) {
        match action {
            DisseminationAction::Activate(_) => {}
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
                let read = self.cores[vm].history().config_from_reply(reply).filter(|_| reachable);
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
                    self.input_to(&to, input);
                }
                None if due <= end => {
                    assert!(
                        due >= self.now || event.is_none(),
                        "{vm} requests a wakeup in the past"
                    );
                    self.now = self.now.max(due);
                    self.input_to(&vm, DisseminationInput::Wake);
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

/// A change is in force everywhere within 13 s at the design size of 378 daemons in seven domains,
/// with a tenth of all notices lost. Only the replicas learn of the commit directly. Each daemon
/// sends less than two notices a second on average.
#[test]
fn change_reaches_all_daemons() {
    let mut simulation = DisseminationSimulation::new(7, 54, 11);
    for domain in 0..7 {
        simulation.input_to(&format!("{domain}.0"), DisseminationInput::Committed(config(1)));
    }
    simulation.run(Duration::from_secs(13));
    assert_eq!(simulation.behind(1), Vec::<&VmId>::new());
    simulation.notices = 0;
    for domain in 0..7 {
        simulation.input_to(&format!("{domain}.0"), DisseminationInput::Committed(config(2)));
    }
    simulation.run(Duration::from_secs(13));
    assert_eq!(simulation.behind(2), Vec::<&VmId>::new());
    let each_second = simulation.notices as f64 / 378.0 / 13.0;
    assert!(each_second < 2.0, "{each_second} notices a second per daemon");
}

/// Daemons of a domain that is cut off serve with the last revision they had, even after all of its
/// diskless daemons restart together: they fetch it from the domain's durable daemon. A change that
/// was accepted outside arrives once the partition has healed.
#[test]
fn isolated_domain_restarts_without_revert() {
    let mut simulation = DisseminationSimulation::new(3, 9, 5);
    for domain in 0..3 {
        simulation.input_to(&format!("{domain}.0"), DisseminationInput::Committed(config(7)));
    }
    simulation.run(Duration::from_secs(13));
    simulation.cut = Some("1.".to_owned());
    simulation.input_to(&"0.0".to_owned(), DisseminationInput::Committed(config(8)));
    for number in 1..9 {
        simulation.restart(&format!("1.{number}"));
    }
    simulation.run(Duration::from_secs(2));
    assert_eq!(
        simulation.behind(7),
        Vec::<&VmId>::new(),
        "all daemons serve again within two seconds"
    );
    assert!(simulation.behind(8).iter().all(|vm| vm.starts_with("1.")));
    simulation.cut = None;
    simulation.run(Duration::from_secs(13));
    assert_eq!(simulation.behind(8), Vec::<&VmId>::new());
}

/// Guards against a reverted change at a daemon without a disk. The daemon is offered revision 2
/// from outside before its domain's durable daemon has it. If it adopted it, a partition and a
/// restart would bring it back to revision 1. So it waits until the durable daemon offers the
/// revision, or for three seconds.
#[test]
fn remote_revision_waits_for_durable_peer() {
    let start = Instant::now();
    let [durable, remote] = ["a.0", "b.0"].map(str::to_owned);
    let view = PeerView {
        domain: vec![durable.clone()],
        durable_peers: vec![durable.clone()],
        others: vec![remote.clone()],
    };
    let mut core = DisseminationCore::new(start, StorageKind::Diskless, view, 3);
    let _ = core.handle(start, DisseminationInput::Committed(config(1)));
    let notice = |from: &VmId| DisseminationInput::Notice { from: from.clone(), revision: 2 };
    assert_eq!(core.handle(start, notice(&remote)), []);
    let later = start + Duration::from_secs(1);
    let fetch = DisseminationAction::Fetch { from: durable.clone(), have: 1 };
    assert_eq!(core.handle(later, notice(&durable)), [fetch]);
    let _ = core.handle(later, DisseminationInput::Fetched { from: durable, config: None });
    let fetches = core.handle(start + Duration::from_secs(4), DisseminationInput::Wake);
    assert!(fetches.contains(&DisseminationAction::Fetch { from: remote, have: 1 }), "{fetches:?}");
}

#[test]
fn lower_or_equal_revision_is_ignored() {
    let mut history = ConfigHistory::default();
    assert!(history.advance(config(5)));
    for revision in [0, 4, 5] {
        assert!(!history.advance(config(revision)));
        assert_eq!(history.current().revision, 5);
    }
}

#[test]
fn changes_yield_complete_configuration() {
    let record = |id: &str, key: &str| OrganisationRecord {
        id: id.to_owned(),
        key_digests: vec![key.to_owned()],
    };
    let mut history = ConfigHistory::default();
    let mut peer = ConfigHistory::default();
    let mut latest = ActiveConfig { revision: 1, ..ActiveConfig::default() };
    latest.register.organisations = vec![record("one", "a"), record("two", "b")];
    assert!(history.advance(Arc::new(latest.clone())) && peer.advance(Arc::new(latest.clone())));
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
    assert_eq!(peer.config_from_reply(reply.clone()), Some(latest.clone()));
    assert_eq!(history.config_from_reply(reply), None, "changes apply only to their base revision");
    assert!(peer.advance(Arc::new(latest.clone())));
    assert_eq!(history.answer(3), PeerReply::Config(None));

    let mut swapped = ActiveConfig { revision: 4, ..latest.clone() };
    swapped.register.organisations.swap(0, 1);
    swapped.register.failure_domains.push(DomainRecord { id: "d".into(), region: String::new() });
    assert_eq!(ConfigDelta::between(&latest, &swapped), None);
    assert!(history.advance(Arc::new(swapped.clone())));
    let complete = history.answer(3);
    assert!(matches!(complete, PeerReply::Config(Some(_))));
    assert_eq!(peer.config_from_reply(complete), Some(swapped));
}

/// Guards against serving with rules that no operator wrote. A byte of the cache file changes
/// inside a name, so that the JSON remains valid; the digest does not match, and the file is
/// ignored.
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
