//! Prefix levels of prompts, and the prefixes that each backend server is expected to hold.
//!
//! Long prompts share prefixes nested in levels (an organisation's instructions, a contract, a
//! conversation), engines evict blocks within seconds, and a few prefixes are requested very often.
//! Without this table every server would compute every shared prefix: with N servers, a prefix that
//! fits into one cache would be computed N times and the caches would hold N copies of it.
//!
//! Holders are learned from this daemon's own sends and from the cached tokens that engines report
//! with their responses. Daemons do not read the complete stream of cache events, which arrive late
//! and with gaps. A holder counts only for the incarnation and the weights it was learned under,
//! and the hash of a level is seeded by scope, model and adapter, so cache hits never cross
//! those boundaries.

use {
    super::PrefixLevel,
    crate::ids::{DigestHex, Incarnation, ModelId, WeightsVersion},
    sha2::{Digest, Sha256},
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Index of a server in the dispatcher's server table.
pub type ServerIndex = usize;

/// Maximum levels kept of one prompt. With 4,000 tokens per level this covers 256,000 tokens. Each
/// placement looks up every level once.
pub const MAX_LEVELS: usize = 64;

/// Maximum prefixes tracked by one daemon, about 10 MB; the least recently used is evicted first.
/// At 32 requests per second this covers more than a minute, and engines evict within seconds.
pub const MAX_PREFIXES: usize = 65_536;

/// Maximum holders tracked for one prefix. Placement considers only a few of them.
pub const MAX_HOLDERS: usize = 16;

/// Assumed cache retention in tokens before any measurement: the cache of a small engine.
const INITIAL_RETENTION: f64 = 200_000.0;

/// Minimum retention estimate, so that a single missed hit does not end all reuse.
const MIN_RETENTION: f64 = 8_000.0;

/// Smoothing factor by which one missed hit moves the retention estimate towards the age at which
/// it was missed.
const RETENTION_STEP: f64 = 0.2;

/// A section of a prompt between two boundaries: a message, or a chunk of a long message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment<'a> {
    /// The bytes exactly as they appear in the prompt.
    pub bytes: &'a [u8],
    /// Estimated tokens.
    pub tokens: u32,
}

/// Names a set of organisations that share cache entries. No two different sets have the same name.
pub type CacheScope = String;

/// Returns the scope of an organisation that shares cache entries with no other one.
pub fn isolated_scope(organisation: &str) -> CacheScope {
    format!("isolated:{organisation}")
}

/// Returns the scope of all organisations but the `isolated` ones.
///
/// The scope depends on that set alone. Whenever an organisation is isolated, the others get another scope
/// and with it none of the entries that this organisation has made before, and every daemon gets the same
/// scope from the same configuration, also after a restart.
pub fn shared_scope<'a>(isolated: impl IntoIterator<Item = &'a str>) -> CacheScope {
    let isolated: BTreeSet<&str> = isolated.into_iter().collect();
    let names: Vec<&str> = isolated.into_iter().collect();
    format!("shared:{}", hex::encode(Sha256::digest(length_prefixed(&names))))
}

/// Returns the levels of a prompt, shortest first: one for each segment, thinned to at most
/// [`MAX_LEVELS`].
///
/// Thinning keeps every second, fourth, and so on, boundary and the last one, so that the levels of
/// a conversation are also levels of its continuation.
pub fn levels(
    scope: &str,
    model: &str,
    adapter: Option<&str>,
    segments: &[PromptSegment<'_>],
) -> Vec<PrefixLevel> {
    let mut hash = xxh3_64(&length_prefixed(&[scope, model, adapter.unwrap_or_default()]));
    let mut tokens = 0_u32;
    let stride = segments.len().div_ceil(MAX_LEVELS - 1).next_power_of_two();
    let mut levels = Vec::with_capacity(segments.len().min(MAX_LEVELS));
    for (position, segment) in segments.iter().enumerate() {
        hash = xxh3_64_with_seed(segment.bytes, hash ^ segment.bytes.len() as u64);
        tokens = tokens.saturating_add(segment.tokens);
        let last = position + 1 == segments.len();
        if last || (position + 1).is_multiple_of(stride) {
            levels.push(PrefixLevel { hash, tokens });
        }
    }
    levels
}

/// Returns the cache salt that is sent to the engine with a request and is part of the key of
/// stored blocks, so that no cached block is shared across scopes, models, adapters or weights.
pub fn cache_salt(scope: &str, model: &str, adapter: Option<&str>, weights: &str) -> DigestHex {
    let parts = length_prefixed(&[scope, model, adapter.unwrap_or_default(), weights]);
    hex::encode(Sha256::digest(parts))
}

/// Concatenates parts with length prefixes, so that different lists never give the same bytes.
fn length_prefixed(parts: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes
}

/// What is known about one server's prefix cache.
#[derive(Clone, Debug)]
pub struct ServerCacheState {
    /// The server's incarnation; `None` if unknown, and then no hits are expected.
    incarnation: Option<Incarnation>,
    /// Loaded weights by model, as last reported. No hits are expected for a model that is missing.
    weights: BTreeMap<ModelId, WeightsVersion>,
    /// Incremented whenever incarnation or weights change or become unknown. A holder counts only
    /// while its own generation equals this one.
    generation: u32,
    /// Prompt tokens that the server has computed for this daemon. The age of a holder is measured
    /// on this clock.
    clock: u64,
    /// Age, on this clock, up to which prefixes are expected to be still cached.
    retention: f64,
}

impl Default for ServerCacheState {
    fn default() -> Self {
        ServerCacheState {
            incarnation: None,
            weights: BTreeMap::new(),
            generation: 0,
            clock: 0,
            retention: INITIAL_RETENTION,
        }
    }
}

impl ServerCacheState {
    /// Returns an empty state for a server that replaces `former` at the same index. Its generation
    /// differs from that of all holders of `former`.
    pub fn replacing(former: &ServerCacheState) -> Self {
        ServerCacheState { generation: former.generation + 1, ..ServerCacheState::default() }
    }

    /// Records the server's incarnation. A change invalidates all holders.
    pub fn record_incarnation(&mut self, incarnation: Option<Incarnation>) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.weights.clear();
            self.generation += 1;
        }
    }

    /// Records the loaded weights. A change invalidates all holders.
    pub fn record_weights(&mut self, weights: &BTreeMap<ModelId, WeightsVersion>) {
        if &self.weights != weights {
            self.weights.clone_from(weights);
            self.generation += 1;
        }
    }

    /// Clears the loaded weights, for example after a response from other weights.
    pub fn clear_weights(&mut self) {
        self.weights.clear();
        self.generation += 1;
    }

    /// Returns the server's incarnation, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the loaded weights of `model`, if known.
    pub fn weights(&self, model: &str) -> Option<&WeightsVersion> {
        self.weights.get(model)
    }

    /// Returns the generation under which new holders are recorded.
    pub fn generation(&self) -> u32 {
        self.generation
    }

    /// Returns whether hits for `model` may be expected at all, given the desired weights.
    pub fn allows_hits_for(&self, model: &str, desired: Option<&WeightsVersion>) -> bool {
        let loaded = self.weights.get(model);
        self.incarnation.is_some() && loaded.is_some() && (desired.is_none() || loaded == desired)
    }

    /// Advances the clock by prompt tokens computed there, which evict older blocks.
    pub fn advance(&mut self, tokens: u32) {
        self.clock += u64::from(tokens);
    }

    /// Returns whether a holder belongs to the current generation and its prefix is unlikely to
    /// have been evicted.
    pub fn holds(&self, holder: &PrefixHolder) -> bool {
        holder.generation == self.generation
            && (self.clock.saturating_sub(holder.clock) as f64) <= self.retention
    }

    fn update_retention(&mut self, age: u64, held: bool) {
        let age = age as f64;
        if held {
            self.retention = self.retention.max(age * 1.1);
        } else if age < self.retention {
            self.retention += (age - self.retention) * RETENTION_STEP;
            self.retention = self.retention.max(MIN_RETENTION);
        }
    }
}

/// A server that is expected to hold a prefix.
#[derive(Clone, Copy, Debug)]
pub struct PrefixHolder {
    /// The server.
    pub server: ServerIndex,
    /// Generation of the server's cache state under which it was recorded.
    pub generation: u32,
    /// The server's clock when the prefix was last used there.
    pub clock: u64,
}

#[derive(Clone, Debug, Default)]
struct PrefixEntry {
    /// Key of this entry in `order`.
    tick: u64,
    /// At most [`MAX_HOLDERS`], most recently used last.
    holders: Vec<PrefixHolder>,
}

/// The servers expected to hold each prefix, for a limited number of prefixes.
#[derive(Debug)]
pub struct PrefixTable {
    entries: BTreeMap<u64, PrefixEntry>,
    /// Hashes ordered by last use; the same set as in `entries`.
    order: BTreeMap<u64, u64>,
    tick: u64,
    limit: usize,
}

impl PrefixTable {
    /// Creates a table of at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        PrefixTable { entries: BTreeMap::new(), order: BTreeMap::new(), tick: 0, limit }
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that `server` computes or uses all of `levels`.
    pub fn record(
        &mut self,
        levels: &[PrefixLevel],
        server: ServerIndex,
        cache: &ServerCacheState,
    ) {
        for level in levels {
            self.record_hash(level.hash, server, cache);
        }
    }

    /// Records that `server` holds the prefix `hash`.
    pub fn record_hash(&mut self, hash: u64, server: ServerIndex, cache: &ServerCacheState) {
        self.tick += 1;
        let tick = self.tick;
        let entry = self.entries.entry(hash).or_default();
        if entry.tick != 0 {
            self.order.remove(&entry.tick);
        }
        entry.tick = tick;
        self.order.insert(tick, hash);
        entry.holders.retain(|holder| holder.server != server);
        if entry.holders.len() >= MAX_HOLDERS {
            entry.holders.remove(0);
        }
        let (generation, clock) = (cache.generation, cache.clock);
        entry.holders.push(PrefixHolder { server, generation, clock });
        while self.entries.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.entries.remove(&oldest);
        }
    }

    /// Removes `server` from the holders of the prefix `hash`.
    pub fn remove_holder(&mut self, hash: u64, server: ServerIndex) {
        if let Some(entry) = self.entries.get_mut(&hash) {
            entry.holders.retain(|holder| holder.server != server);
        }
    }

    /// Returns whether the prefix `hash` is tracked.
    pub fn contains(&self, hash: u64) -> bool {
        self.entries.contains_key(&hash)
    }

    /// Returns the holders of the prefix `hash`, most recently used first. The caller has to filter
    /// out holders of earlier incarnations or weights with [`ServerCacheState::holds`].
    pub fn holders(&self, hash: u64) -> impl Iterator<Item = &PrefixHolder> {
        self.entries.get(&hash).into_iter().flat_map(|entry| entry.holders.iter().rev())
    }

    /// Returns the servers expected to hold a level, deepest level first, with the tokens held; at
    /// most `limit`. `is_valid` decides whether a holder counts.
    pub fn hits(
        &self,
        levels: &[PrefixLevel],
        limit: usize,
        is_valid: impl Fn(&PrefixHolder) -> bool,
    ) -> Vec<(ServerIndex, u32)> {
        let mut hits: Vec<(ServerIndex, u32)> = Vec::with_capacity(limit);
        for level in levels.iter().rev() {
            for holder in self.holders(level.hash) {
                let known = hits.iter().any(|(server, _)| *server == holder.server);
                if !known && is_valid(holder) {
                    hits.push((holder.server, level.tokens));
                }
                if hits.len() >= limit {
                    return hits;
                }
            }
        }
        hits
    }

    /// Updates the table from the cached tokens that the engine reported for a prompt.
    pub fn record_hit_report(
        &mut self,
        levels: &[PrefixLevel],
        server: ServerIndex,
        cache: &mut ServerCacheState,
        report: HitReport,
    ) {
        if report.expected > 0 {
            let held = report.cached.saturating_add(report.expected / 8) >= report.expected;
            cache.update_retention(report.age, held);
        }
        self.record(levels, server, cache);
    }

    /// Returns the age, on the server's clock, of the deepest level that it is expected to hold.
    pub fn hit_age(
        &self,
        levels: &[PrefixLevel],
        server: ServerIndex,
        cache: &ServerCacheState,
    ) -> u64 {
        levels
            .iter()
            .rev()
            .find_map(|level| self.holder(level.hash, server, cache))
            .map_or(0, |holder| cache.clock.saturating_sub(holder.clock))
    }

    fn holder(
        &self,
        hash: u64,
        server: ServerIndex,
        cache: &ServerCacheState,
    ) -> Option<&PrefixHolder> {
        self.entries
            .get(&hash)?
            .holders
            .iter()
            .find(|holder| holder.server == server && holder.generation == cache.generation)
    }
}

/// The outcome of an expected cache hit.
#[derive(Clone, Copy, Debug)]
pub struct HitReport {
    /// Cached tokens expected when the request was sent.
    pub expected: u32,
    /// Tokens that the engine served from its cache.
    pub cached: u32,
    /// Age of the holder when the request was sent.
    pub age: u64,
}
