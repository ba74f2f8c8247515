//! What engines, membership and probes tell of backend servers.

use {
    super::Dispatcher,
    crate::{
        ids::{FailureDomainId, ServerId},
        policy::{CacheEvent, LoadReport, PolicySafeguard, ServerHealth},
    },
    std::time::Instant,
};

/// Hashes taken from one cache event; the rest of a longer one is dropped, since events are hints.
const MAX_EVENT_HASHES: usize = 256;

impl Dispatcher {
    pub(super) fn note_load(&mut self, now: Instant, report: &LoadReport) {
        let Some(index) = self.table.by_id.get(&report.server).copied() else { return };
        let checks = self.is_on(PolicySafeguard::CacheIdentity);
        let server = &mut self.table.servers[index];
        let before = server.cache.generation();
        if checks || server.cache.incarnation().is_none() {
            server.cache.note_incarnation(Some(report.incarnation));
            server.cache.note_weights(&report.weights);
        }
        if server.cache.generation() != before {
            server.reborn = Some(now);
        }
        server.in_doubt = false;
        server.leaving = report.leaving;
        let own = server.in_flight;
        server.window.note_report(now, report.running, report.waiting, own);
        let pending: u64 = server.pending_tokens.iter().sum();
        let foreign = report.waiting_tokens.saturating_sub(pending);
        server.foreign_tokens = Some((foreign, now));
        self.stir(index);
    }

    /// Cache events are hints: late and with gaps. They never bring in what was not asked for here,
    /// so their number does not matter, only their news of prefixes in use.
    pub(super) fn note_cache(&mut self, event: &CacheEvent) {
        let Some(index) = self.table.by_id.get(&event.server).copied() else { return };
        let server = &self.table.servers[index];
        if server.cache.incarnation() != Some(event.incarnation) || server.in_doubt {
            return;
        }
        for hash in event.evicted.iter().take(MAX_EVENT_HASHES) {
            self.holdings.forget_hash(*hash, index);
        }
        for hash in event.stored.iter().take(MAX_EVENT_HASHES) {
            if self.holdings.knows(*hash) {
                self.holdings.note_hash(*hash, index, &self.table.servers[index].cache);
            }
        }
    }

    pub(super) fn note_health(&mut self, now: Instant, server: &ServerId, health: ServerHealth) {
        let Some(index) = self.table.by_id.get(server).copied() else { return };
        let checks = self.is_on(PolicySafeguard::CacheIdentity);
        let state = &mut self.table.servers[index];
        let before = state.cache.generation();
        state.health = health;
        if let ServerHealth::Alive { incarnation } | ServerHealth::Reserved { incarnation } = health
        {
            let same = state.cache.incarnation() == Some(incarnation);
            if state.in_doubt && same {
                self.suspects.acquit_life(index, incarnation);
            }
            if checks || state.cache.incarnation().is_none() {
                state.cache.note_incarnation(Some(incarnation));
            }
            state.in_doubt = false;
        }
        if state.cache.generation() != before {
            state.reborn = Some(now);
        }
        self.stir(index);
    }

    pub(super) fn note_reachable(&mut self, domains: Vec<FailureDomainId>) {
        self.reachable = Some(domains.into_iter().collect());
        self.apply_reachable();
    }

    pub(super) fn apply_reachable(&mut self) {
        let Some(domains) = &self.reachable else { return };
        let checks = self.is_on(PolicySafeguard::Reachability);
        for server in &mut self.table.servers {
            server.reachable = !checks || domains.contains(&server.domain);
        }
        for pool in &mut self.table.pools {
            pool.stirred = true;
        }
    }

    pub(super) fn note_probe(&mut self, now: Instant, server: &ServerId, answered: bool) {
        let Some(index) = self.table.by_id.get(server).copied() else { return };
        self.table.servers[index].failures.note_probed(now, answered);
        self.stir(index);
    }
}
