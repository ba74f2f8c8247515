//! Prefix cache of an engine with eviction of the least recently used levels.

use {oleandermount::policy::PrefixLevel, std::collections::BTreeMap};

/// Prefix levels cached by one engine; capacity and usage are in tokens.
pub struct PrefixCache {
    capacity: u64,
    used_tokens: u64,
    use_count: u64,
    /// Tokens beyond the parent level and last use, by hash of the level. `by_last_use` holds the
    /// same levels in order of their last use.
    entries: BTreeMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
    /// Levels stored and evicted since the last [`PrefixCache::take_changes`].
    stored: Vec<u64>,
    evicted: Vec<u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        PrefixCache {
            capacity,
            used_tokens: 0,
            use_count: 0,
            entries: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            stored: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Returns the tokens of the longest cached prefix; 0 if no level is cached.
    pub fn hit(&self, levels: &[PrefixLevel]) -> u32 {
        levels
            .iter()
            .take_while(|level| self.entries.contains_key(&level.hash))
            .last()
            .map_or(0, |level| level.tokens)
    }

    /// Stores all `levels` or updates their last use. The shortest level is used last, so that a
    /// level is never evicted before the levels that extend it.
    pub fn store(&mut self, levels: &[PrefixLevel]) {
        for index in (0..levels.len()).rev() {
            let parent_tokens = if index == 0 { 0 } else { levels[index - 1].tokens };
            self.touch(levels[index].hash, levels[index].tokens - parent_tokens);
        }
        while self.used_tokens > self.capacity {
            let (last_use, hash) =
                self.by_last_use.pop_first().expect("a cache over its capacity holds a level");
            let (tokens, entry_last_use) =
                self.entries.remove(&hash).expect("both maps hold the same levels");
            debug_assert_eq!(last_use, entry_last_use);
            self.used_tokens -= u64::from(tokens);
            self.evicted.push(hash);
        }
    }

    /// Returns the used share of the capacity, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        self.used_tokens as f64 / self.capacity as f64
    }

    /// Returns and clears the levels stored and evicted since the last call.
    pub fn take_changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        (std::mem::take(&mut self.stored), std::mem::take(&mut self.evicted))
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        self.use_count += 1;
        match self.entries.insert(hash, (tokens, self.use_count)) {
            Some((_, last_use)) => {
                self.by_last_use.remove(&last_use);
            }
            None => {
                self.used_tokens += u64::from(tokens);
                self.stored.push(hash);
            }
        }
        self.by_last_use.insert(self.use_count, hash);
    }
}
