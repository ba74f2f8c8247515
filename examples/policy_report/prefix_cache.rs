//! An engine's prefix cache: least recently used levels go first.

use {oleandermount::policy::PrefixLevel, std::collections::BTreeMap};

/// What one engine holds.
pub struct PrefixCache {
    limit: u64,
    used: u64,
    stamp: u64,
    /// Own tokens and last use by level. `ages` holds the same levels by last use.
    held: BTreeMap<u64, (u32, u64)>,
    ages: BTreeMap<u64, u64>,
    /// Changes since the last [`PrefixCache::take_changes`].
    stored: Vec<u64>,
    evicted: Vec<u64>,
}

impl PrefixCache {
    /// An empty cache of `limit` tokens.
    pub fn new(limit: u64) -> Self {
        PrefixCache {
            limit,
            used: 0,
            stamp: 0,
            held: BTreeMap::new(),
            ages: BTreeMap::new(),
            stored: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Tokens of the longest held prefix.
    pub fn hit(&self, levels: &[PrefixLevel]) -> u32 {
        levels
            .iter()
            .take_while(|level| self.held.contains_key(&level.hash))
            .last()
            .map_or(0, |level| level.tokens)
    }

    /// Stores or touches all `levels`. The shortest is touched last, so that no level outlives the
    /// ones it stands on.
    pub fn store(&mut self, levels: &[PrefixLevel]) {
        for index in (0..levels.len()).rev() {
            let below = if index == 0 { 0 } else { levels[index - 1].tokens };
            self.touch(levels[index].hash, levels[index].tokens - below);
        }
        while self.used > self.limit {
            let (age, hash) = self.ages.pop_first().expect("a used cache holds a level");
            let (tokens, held_age) = self.held.remove(&hash).expect("both maps hold it");
            debug_assert_eq!(age, held_age);
            self.used -= u64::from(tokens);
            self.evicted.push(hash);
        }
    }

    /// Share of the cache in use.
    pub fn utilization(&self) -> f64 {
        self.used as f64 / self.limit as f64
    }

    /// Levels stored and evicted since the last call.
    pub fn take_changes(&mut self) -> (Vec<u64>, Vec<u64>) {
        (std::mem::take(&mut self.stored), std::mem::take(&mut self.evicted))
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        self.stamp += 1;
        match self.held.insert(hash, (tokens, self.stamp)) {
            Some((_, age)) => {
                self.ages.remove(&age);
            }
            None => {
                self.used += u64::from(tokens);
                self.stored.push(hash);
            }
        }
        self.ages.insert(self.stamp, hash);
    }
}
