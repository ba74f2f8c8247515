//! Where a prompt's prefix is at home; see [`crate::policy::placement`] for the reasons.

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

/// Levels whose heat is counted and that can decide the home: the shared ones come first.
pub(super) const HOME_LEVELS: usize = 4;

/// Homes that a short first level has at least: the next levels choose among them, and what follows evens
/// out the better the more there are.
const LEAST_ROOT_HOMES: usize = 16;

/// A short first level has no more homes than are each asked for it within this time: a home that is asked
/// more rarely has lost it from its cache and computes it anew for each prompt.
const ROOT_INTERVAL: Duration = Duration::from_secs(3);

/// Load of a level that one home is given, as a part of a server: the rest is for others.
const HOME_FILL: f64 = 0.5;

/// Where a prompt's prefix is at home.
#[derive(Default)]
pub(super) struct HomeSet {
    /// The best first.
    pub(super) servers: Vec<ServerIndex>,
    /// Tokens of the level that decided.
    pub(super) tokens: u32,
}

impl Dispatcher {
    /// The prefix's homes, the hotter it is the more of them.
    ///
    /// They narrow from level to level: among the servers that the first level's hash names, the
    /// next level picks as many as its load needs, and so on until one is left. So the contracts of
    /// one organisation spread, while each of them has one home.
    pub(super) fn homes(
        &self,
        now: Instant,
        pool: PoolIndex,
        levels: &[PrefixLevel],
        prompt_tokens: u32,
    ) -> HomeSet {
        let state = &self.table.pools[pool];
        let Some(first) = levels.first() else { return HomeSet::default() };
        let wanted = self.root_width(now, pool, first, prompt_tokens);
        let mut homes = self.root_homes(state, first, wanted);
        let mut tokens = first.tokens;
        for level in levels.iter().take(HOME_LEVELS).skip(1) {
            if homes.len() <= 1 {
                break;
            }
            let width = self.home_width(now, pool, level, prompt_tokens);
            homes = self.best_homes(&homes, level, width);
            tokens = level.tokens;
        }
        HomeSet { servers: homes, tokens }
    }

    /// The first `wanted` usable servers of the first level on the ring.
    fn root_homes(
        &self,
        state: &PoolState,
        first: &PrefixLevel,
        wanted: usize,
    ) -> Vec<ServerIndex> {
        let mut homes = Vec::with_capacity(wanted);
        let mut seen = vec![false; self.table.servers.len()];
        for index in state.ring.homes(first.hash) {
            if homes.len() >= wanted {
                break;
            }
            let repeated = std::mem::replace(&mut seen[index], true);
            if !repeated && self.table.servers[index].is_usable() {
                homes.push(index);
            }
        }
        homes
    }

    /// The `width` homes that rank best for a level, the best first.
    fn best_homes(
        &self,
        homes: &[ServerIndex],
        level: &PrefixLevel,
        width: usize,
    ) -> Vec<ServerIndex> {
        let rank = |index: &ServerIndex| (Reverse(self.home_rank(*index, level.hash)), *index);
        let mut ranked: Vec<_> = homes.iter().map(rank).collect();
        if width < ranked.len() {
            // All but the best need no order.
            ranked.select_nth_unstable(width);
            ranked.truncate(width);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Servers that the first level is given.
    ///
    /// A first level that is longer than all that follows is what is worth holding: spread over many
    /// servers its copies push each other out, and each prompt is computed whole. It is spread by its
    /// load alone.
    fn root_width(
        &self,
        now: Instant,
        pool: PoolIndex,
        first: &PrefixLevel,
        prompt_tokens: u32,
    ) -> usize {
        let is_long = first.tokens > prompt_tokens.saturating_sub(first.tokens);
        if is_long && first.tokens < prompt_tokens {
            return self.home_width(now, pool, first, prompt_tokens);
        }
        // A rate that is too high by chance costs little here: the first level is the shorter part.
        let rate = self.heats.mean_rate(now, first.hash) * self.daemon_count();
        let asked = rate * ROOT_INTERVAL.as_secs_f64();
        let members = self.table.pools[pool].members.len();
        (asked as usize).max(LEAST_ROOT_HOMES).min(members)
    }

    /// A server's rank as a home of `hash`; a fast server is home to more prefixes.
    fn home_rank(&self, index: ServerIndex, hash: u64) -> u64 {
        let server = &self.table.servers[index];
        // Engines that can be fetched from tell nothing of their cached tokens: a speed measured from
        // a prompt that was half cached errs twofold, and daemons that each call another server
        // slow no longer agree on homes.
        let weight = if self.fetch_rate.is_some() { 1.0 } else { server.speed.home_weight() };
        placement::home_rank(server.name_hash, hash, weight)
    }

    /// Servers that a level's load needs: its part of their places, or of their time for what each
    /// prompt has beyond it.
    fn home_width(
        &self,
        now: Instant,
        pool: PoolIndex,
        level: &PrefixLevel,
        prompt_tokens: u32,
    ) -> usize {
        if !self.is_on(PolicySafeguard::PrefixReplication) {
            return 1;
        }
        let state = &self.table.pools[pool];
        let slots =
            state.members.first().map_or(1, |index| self.table.servers[*index].window.slots());
        let rate = self.heats.proven_rate(now, level.hash) * self.daemon_count();
        let load = rate * state.service / f64::from(slots.max(1));
        let beyond = f64::from(prompt_tokens.saturating_sub(level.tokens));
        let prefill = state.typical_rate.map_or(0.0, |speed| beyond / speed);
        let busy = rate * prefill;
        (1 + (load.max(busy) / HOME_FILL) as usize).min(state.members.len())
    }

    /// Daemons over which the balancer spreads callers evenly, so that what one sees stands for the others.
    fn daemon_count(&self) -> f64 {
        let daemons: usize = self.view.daemons.values().map(BTreeMap::len).sum();
        daemons.max(1) as f64
    }
}
