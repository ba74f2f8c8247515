//! Chooses one of several cache stores for a prompt.
//!
//! Load: long shared prefixes, more than one store has memory for, asked for more often than one store's
//! link carries. If all prompts used one store, it would drop prefixes before their next use, and prompts
//! beyond its link's bandwidth would be computed again. Each prefix therefore belongs to one store, by a
//! hash that is the same on every daemon; no daemon tells another. While a store is unreachable, its
//! prefixes are spread over the others, and those of the others stay where they are.

use {std::net::SocketAddr, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Returns the store of the prompts whose longest shared prefix has this hash, among those that are
/// reachable; `None` if there are none.
pub fn choose_store(
    prefix: u64,
    reachable: impl IntoIterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    let rank = |store: &SocketAddr| xxh3_64_with_seed(store.to_string().as_bytes(), prefix);
    reachable.into_iter().max_by_key(rank)
}
