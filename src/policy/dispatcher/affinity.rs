//! Selects the affinity servers of a prompt's prefix. See [`crate::policy::placement`] for the
//! reasons.

use {
    super::{
        Dispatcher,
        servers::{PoolIndex, PoolState},
    },
    crate::policy::{PolicySafeguard, PrefixLevel, placement, prefix::ServerIndex},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Number of levels, shortest first, with a tracked request rate that can determine affinity. These
/// are the shared levels.
pub(super) const AFFINITY_LEVELS: usize = 4;

/// Minimum servers of a short first level. The next levels choose among them, and the load behind
/// it is balanced better over more servers.
const MIN_ROOT_SERVERS: usize = 16;

/// Maximum interval between two requests for a short first level at each of its servers, which
/// limits their number. After a longer interval a server has evicted the level and computes it
/// again for each prompt.
const ROOT_REUSE_INTERVAL: Duration = Duration::from_secs(3);

/// Fraction of a server's capacity that one level may use; the rest is for other prefixes.
const TARGET_FILL: f64 = 0.5;

/// The affinity servers of a prompt's prefix.
#[derive(Default)]
pub(super) struct AffinitySet {
    /// Highest rank first.
    pub(super) servers: Vec<ServerIndex>,
    /// Tokens of the level that determined them.
    pub(super) tokens: u32,
}

impl Dispatcher {
    /// Returns the affinity servers of a prefix; their number grows with its request rate.
    ///
    /// The selection narrows from level to level: among the servers selected by the hash of the
    /// first level, the next level selects as many as its load needs, and so on until one is left.
    /// Prompts with a common first level, such as those of one organisation, are distributed over
    /// several servers, while prompts that also share the next levels use the same server.
    pub(super) fn affinity_set(
        &self,
        now: Instant,
        pool: PoolIndex,
        levels: &[PrefixLevel],
        prompt_tokens: u32,
    ) -> AffinitySet {
        let state = &self.table.pools[pool];
        let Some(first) = levels.first() else { return AffinitySet::default() };
        let count = self.root_width(now, pool, first, prompt_tokens);
        let mut servers = self.root_servers(state, first, count);
        let mut tokens = first.tokens;
        for level in levels.iter().take(AFFINITY_LEVELS).skip(1) {
            if servers.len() <= 1 {
                break;
            }
            let width = self.affinity_width(now, pool, level, prompt_tokens);
            servers = self.best_ranked(&servers, level, width);
            tokens = level.tokens;
        }
        AffinitySet { servers, tokens }
    }

    /// Returns the first `count` usable servers for the first level on the ring.
    fn root_servers(
        &self,
        state: &PoolState,
        first: &PrefixLevel,
        count: usize,
    ) -> Vec<ServerIndex> {
        let mut servers = Vec::with_capacity(count);
        let mut seen = vec![false; self.table.servers.len()];
        for index in state.ring.affinity_servers(first.hash) {
            if servers.len() >= count {
                break;
            }
            let repeated = std::mem::replace(&mut seen[index], true);
            if !repeated && self.table.servers[index].is_usable() {
                servers.push(index);
            }
        }
        servers
    }

    /// Returns the `width` highest-ranked servers for a level, highest rank first.
    fn best_ranked(
        &self,
        servers: &[ServerIndex],
        level: &PrefixLevel,
        width: usize,
    ) -> Vec<ServerIndex> {
        let rank = |index: &ServerIndex| (Reverse(self.affinity_rank(*index, level.hash)), *index);
        let mut ranked: Vec<_> = servers.iter().map(rank).collect();
        if width < ranked.len() {
            // Only the selected servers need to be sorted.
            ranked.select_nth_unstable(width);
            ranked.truncate(width);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the number of servers for the first level.
    ///
    /// A first level that is longer than the rest of the prompt is most of what caching saves. If
    /// it were distributed over many servers, its copies would evict each other and each prompt
    /// would be computed completely, so its number of servers depends only on its load.
    fn root_width(
        &self,
        now: Instant,
        pool: PoolIndex,
        first: &PrefixLevel,
        prompt_tokens: u32,
    ) -> usize {
        let is_long = first.tokens > prompt_tokens.saturating_sub(first.tokens);
        if is_long && first.tokens < prompt_tokens {
            return self.affinity_width(now, pool, first, prompt_tokens);
        }
        // An overestimated rate has little effect here, since the first level is the shorter part.
        let rate = self.prefix_rates.mean_rate(now, first.hash) * self.daemon_count();
        let servers = rate * ROOT_REUSE_INTERVAL.as_secs_f64();
        let members = self.table.pools[pool].members.len();
        (servers as usize).max(MIN_ROOT_SERVERS).min(members)
    }

    /// Returns the affinity rank of a server for `hash`. Slow servers get fewer prefixes.
    fn affinity_rank(&self, index: ServerIndex, hash: u64) -> u64 {
        let server = &self.table.servers[index];
        // Engines that can fetch from each other do not report cached tokens. A speed measured from
        // a prompt that was half cached is wrong by a factor of two, and daemons that classify
        // different servers as slow would select different affinity servers.
        let weight = if self.fetch_rate.is_some() { 1.0 } else { server.speed.affinity_weight() };
        placement::affinity_rank(server.name_hash, hash, weight)
    }

    /// Returns the number of servers that a level's load needs: by the slots that its requests
    /// occupy, or by the prefill time of the tokens beyond it.
    fn affinity_width(
        &self,
        now: Instant,
        pool: PoolIndex,
        level: &PrefixLevel,
        prompt_tokens: u32,
    ) -> usize {
        if !self.is_enabled(PolicySafeguard::PrefixReplication) {
            return 1;
        }
        let state = &self.table.pools[pool];
        let slots =
            state.members.first().map_or(1, |index| self.table.servers[*index].window.slots());
        let rate = self.prefix_rates.confident_rate(now, level.hash) * self.daemon_count();
        let load = rate * state.service / f64::from(slots.max(1));
        let beyond = f64::from(prompt_tokens.saturating_sub(level.tokens));
        let prefill = state.typical_rate.map_or(0.0, |speed| beyond / speed);
        let busy = rate * prefill;
        (1 + (load.max(busy) / TARGET_FILL) as usize).min(state.members.len())
    }

    /// Returns the number of daemons. The load balancer spreads callers evenly over them, so the
    /// request rate at one daemon is multiplied by this number.
    fn daemon_count(&self) -> f64 {
        let daemons: usize = self.view.daemons.values().map(BTreeMap::len).sum();
        daemons.max(1) as f64
    }
}
