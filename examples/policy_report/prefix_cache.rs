//! An engine's prefix cache: least recently used levels go first.

use {oleandermount::policy::PrefixLevel, std::collections::BTreeMap};

/// What one engine holds.
pub struct PrefixCache {
    capacity: u64,
    used_tokens: u64,
    use_count: u64,
    /// Own tokens and last use by level. `ages` holds the same levels by last use.
    entries: BTreeMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
    /// Changes since the last [`PrefixCache::take_changes`].
    stored: Vec<u64>,
    evicted: Vec<u64>,
}

impl PrefixCache {
    /// An empty cache of `limit` tokens.
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

    /// Tokens of the longest held prefix.
    pub fn hit(&self, levels: &[PrefixLevel]) -> u32 {
        levels
            .iter()
            .take_while(|level| self.entries.contains_key(&level.hash))
            .last()
            .map_or(0, |level| level.tokens)
    }

    /// Stores or touches all `levels`. The shortest is touched last, so that no level outlives the
    /// ones it stands on.
    pub fn store(&mut self, levels: &[PrefixLevel]) {
        for index in (0..levels.len()).rev() {
            let parent_tokens = if index == 0 { 0 } else { levels[index - 1].tokens };
            self.touch(levels[index].hash, levels[index].tokens - parent_tokens);
        }
        while self.used_tokens > self.capacity {
            let (last_use, hash) =
                self.by_last_use.pop_first().expect("a used cache holds a level");
            let (tokens, entry_last_use) = self.entries.remove(&hash).expect("both maps hold it");
            debug_assert_eq!(last_use, entry_last_use);
            self.used_tokens -= u64::from(tokens);
            self.evicted.push(hash);
        }
    }

    /// Share of the cache in use.
    pub fn utilization(&self) -> f64 {
        self.used_tokens as f64 / self.capacity as f64
    }

    /// Levels stored and evicted since the last call.
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
