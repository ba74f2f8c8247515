//! How the connections of many partitioned entries are spread over the others.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::{
        follow::entry_directory::EntryDirectory,
        policy::tunnel_peers::{MAX_PEERS, TunnelPeers},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const DOMAINS: usize = 5;
/// Connections of each partitioned entry that are open at a time.
const OPEN: usize = 12;
/// Connections of each partitioned entry that are opened one after the other.
const OPENED: usize = 60;
const SEEDS: u64 = 10;

fn random(seed: u64) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed)
}

/// The directories of one control VM in each domain, after two rounds of polls.
struct ControlGroup {
    directories: Vec<EntryDirectory>,
}

impl ControlGroup {
    fn start(entries: usize, seed: u64) -> Self {
        let directories =
            (0..DOMAINS).map(|domain| EntryDirectory::new(random(seed * 100 + domain as u64)));
        ControlGroup { directories: directories.collect::<Vec<_>>() }.polled(entries)
    }

    fn polled(self, entries: usize) -> Self {
        let now = Instant::now();
        for entry in 0..entries {
            self.directories[entry % DOMAINS].record_poll(now, &name(entry));
        }
        self.exchange_samples();
        self
    }

    /// The control VM of domain 0 leads; the others poll it.
    fn exchange_samples(&self) {
        let now = Instant::now();
        for (domain, directory) in self.directories.iter().enumerate().skip(1) {
            let control = format!("control-{domain}");
            self.directories[0].record_sample(now, &control, directory.own_sample(now));
            let sample = self.directories[0].full_sample(now);
            directory.record_sample(now, &"leader".to_owned(), sample);
        }
    }
}

fn name(entry: usize) -> String {
    format!("vm-{entry}")
}

/// Guards against partitioned entries that all use the same few others, and against one that finds none.
#[test]
fn load_is_spread() {
    for (entries, partitioned_domain) in [(295, 0), (295, 3), (40, 2)] {
        for seed in 0..SEEDS {
            let group = ControlGroup::start(entries, seed);
            let is_partitioned = |entry: usize| entry % DOMAINS == partitioned_domain;
            let directory = &group.directories[partitioned_domain];
            let now = Instant::now();
            let partitioned: Vec<usize> = (0..entries).filter(|at| is_partitioned(*at)).collect();
            // All of them have asked before the first one asks again.
            for entry in &partitioned {
                directory.record_partitioned(now, &name(*entry));
            }
            let (mut open, mut generator) = (BTreeMap::<String, usize>::new(), random(seed));
            for entry in &partitioned {
                group.exchange_samples();
                let sample = directory.peers_for(now, &name(*entry));
                let case = format!("{entries} entries, seed {seed}, {}", name(*entry));
                assert!((4..=MAX_PEERS).contains(&sample.len()), "{case}: {sample:?}");
                let mut peers = TunnelPeers::default();
                peers.replace(now, sample);
                for number in 0..OPENED {
                    let choices = [generator.next_u64(), generator.next_u64()];
                    let peer = peers.select(now, choices).expect("there are peers");
                    *open.entry(peer.clone()).or_default() += usize::from(number < OPEN);
                    if number >= OPEN {
                        peers.record_closed(&peer);
                    }
                }
            }
            let reaching = entries - partitioned.len();
            let mean = (partitioned.len() * OPEN) as f64 / reaching as f64;
            let most = open.values().max().copied().unwrap_or_default();
            let case = format!("{entries} entries, domain {partitioned_domain}, seed {seed}");
            assert!(most as f64 <= 8.0 * mean + 8.0, "{case}: {most} open, {mean} on average");
            let is_wrong = |peer: &String| partitioned.iter().any(|entry| *peer == name(*entry));
            assert!(!open.keys().any(is_wrong), "{case}: a partitioned entry was used");
        }
    }
}

/// Guards against an entry that is selected again and again though it opens no connection.
#[test]
fn failed_peer_is_left_out() {
    let (mut peers, now) = (TunnelPeers::default(), Instant::now());
    peers.replace(now, ["a".to_owned(), "b".to_owned()]);
    peers.record_failure(now, &"a".to_owned());
    for number in 0..10 {
        assert_eq!(peers.select(now, [number, number + 1]).as_deref(), Some("b"));
    }
    peers.record_failure(now, &"b".to_owned());
    assert!(peers.is_exhausted(now));
    assert_eq!(peers.select(now, [0, 1]), None);
    let later = now + Duration::from_secs(2);
    assert!(!peers.is_exhausted(later));
    // A new sample keeps those that are in use, and stays bounded.
    peers.replace(later, (0..100).map(name));
    assert!(peers.names().any(|peer| peer == "b"));
    assert!(peers.names().count() <= MAX_PEERS);
}

/// Entries that stop polling, and samples of control VMs that are gone, expire.
#[test]
fn silent_entries_expire() {
    let (directory, now) = (EntryDirectory::new(random(1)), Instant::now());
    directory.record_poll(now, &name(1));
    directory.record_sample(now, &"control".to_owned(), vec![name(2)]);
    let asking = name(9);
    assert_eq!(directory.peers_for(now, &asking).len(), 2);
    let later = now + Duration::from_secs(4);
    assert_eq!(directory.peers_for(later, &asking), [name(2)]);
    assert_eq!(directory.peers_for(now + Duration::from_secs(6), &asking), [""; 0]);
}

/// Guards against a directory that is full of entries that are gone and takes no others.
#[test]
fn replaced_entries_make_room() {
    let (directory, now) = (EntryDirectory::new(random(1)), Instant::now());
    (0..5_000).for_each(|entry| directory.record_poll(now, &name(entry)));
    let later = now + Duration::from_secs(60);
    directory.record_poll(later, &name(9_000));
    assert_eq!(directory.own_sample(later), [name(9_000)]);
}

/// Guards against entries that count as partitioned because they asked: while a service has failed, all of
/// them ask.
#[test]
fn asking_is_no_partition() {
    let group = ControlGroup::start(40, 1);
    let now = Instant::now();
    let asked: Vec<usize> = (0..40)
        .map(|entry| group.directories[entry % DOMAINS].peers_for(now, &name(entry)).len())
        .collect();
    assert!(asked.iter().all(|count| *count == MAX_PEERS), "{asked:?}");
}

/// The sample that a control VM receives with each poll takes about a kilobyte.
#[test]
fn samples_are_small() {
    let (directory, now) = (EntryDirectory::new(random(1)), Instant::now());
    (0..380).for_each(|entry| directory.record_poll(now, &format!("vm-10-255-255-{entry}")));
    let length = |sample: Vec<String>| postcard::to_stdvec(&sample).unwrap().len();
    let (own, full) = (length(directory.own_sample(now)), length(directory.full_sample(now)));
    assert!(own <= 640 && full <= 1_280, "{own} and {full} bytes");
}
