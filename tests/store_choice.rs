//! Which of several cache stores holds a prompt's shared prefix.

use {
    oleandermount::policy::store_choice::choose_store,
    std::{collections::BTreeMap, net::SocketAddr},
    xxhash_rust::xxh3::xxh3_64,
};

const PREFIXES: u64 = 3_000;

fn stores(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(|host| SocketAddr::from(([10, 0, 0, host], 8_000))).collect()
}

fn prefixes() -> impl Iterator<Item = u64> {
    (0..PREFIXES).map(|number| xxh3_64(&number.to_be_bytes()))
}

#[test]
fn prefixes_spread_evenly() {
    let mut counts: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for prefix in prefixes() {
        *counts
            .entry(choose_store(prefix, stores(3)).expect("a store is reachable"))
            .or_default() += 1;
    }
    let even = PREFIXES / 3;
    assert!(counts.values().all(|count| count.abs_diff(even) < even / 10), "{counts:?}");
}

/// Guards against prefixes that lose their copies because another store has failed.
#[test]
fn failure_moves_own_prefixes() {
    let all = stores(3);
    let (lost, left) = (all[2], stores(2));
    for prefix in prefixes() {
        let (before, after) =
            (choose_store(prefix, all.clone()), choose_store(prefix, left.clone()));
        assert!(before == Some(lost) || before == after);
    }
    assert_eq!(choose_store(1, Vec::new()), None);
}
