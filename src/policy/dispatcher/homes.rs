//! Where a prompt's prefix is at home; see [`crate::policy::placement`] for the reasons.

use {
    super::{Dispatcher, PolicySafeguard, servers::PoolIndex},
    crate::policy::{PrefixLevel, placement, prefix::ServerIndex},
    std::{cmp::Reverse, time::Instant},
};

/// Levels whose heat is counted and that can decide the home: the shared ones come first.
pub(super) const HOME_LEVELS: usize = 4;

/// Servers among which the first level's hash lets the next levels choose. What follows the first
/// level is mostly longer than it and evens out the better the more servers share it; beyond 16
/// the first level itself would be computed too often.
const ROOT_HOMES: usize = 16;

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
    pub(super) fn homes(&self, now: Instant, pool: PoolIndex, levels: &[PrefixLevel]) -> HomeSet {
        let state = &self.table.pools[pool];
        let Some(first) = levels.first() else { return HomeSet::default() };
        let wanted = state.members.len().min(ROOT_HOMES);
        let (mut homes, mut tokens) = (Vec::with_capacity(wanted), first.tokens);
        for index in state.ring.homes(first.hash) {
            if homes.len() >= wanted {
                break;
            }
            if !homes.contains(&index) {
                homes.push(index);
            }
        }
        homes.retain(|index| self.table.servers[*index].is_usable());
        for level in levels.iter().take(HOME_LEVELS).skip(1) {
            if homes.len() <= 1 {
                break;
            }
            let width = self.home_width(now, pool, level);
            homes.sort_by_cached_key(|index| Reverse(self.home_rank(*index, level.hash)));
            homes.truncate(width);
            tokens = level.tokens;
        }
        HomeSet { servers: homes, tokens }
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

    fn home_width(&self, now: Instant, pool: PoolIndex, level: &PrefixLevel) -> usize {
        if !self.is_on(PolicySafeguard::HotHomes) {
            return 1;
        }
        let state = &self.table.pools[pool];
        let daemons = self.view.daemons.values().map(|domain| domain.len()).sum();
        let slots =
            state.members.first().map_or(1, |index| self.table.servers[*index].window.slots());
        let rate = self.heats.rate(now, level.hash);
        let load = placement::prefix_load(rate, state.service, slots, daemons);
        (1 + (load / HOME_FILL) as usize).min(state.members.len())
    }
}
