//! Selects the server from which another one fetches missing parts of a prompt.
//!
//! A few prefixes of thousands of tokens are shared by most requests, and their servers are
//! unavailable in turn while they load weights, crash or are full. Without fetching, each
//! substitute computes the prefix again, which takes an engine 160 to 200 ms for 6,000 tokens, and
//! repeats this for each version of the weights. Linked engines transfer the same tokens in 15 to
//! 60 ms (both according to the rated speed of engines and links).
//!
//! A source needs the same weights, which have to be the newest named ones, and has to accept
//! requests, since a server that loads weights is about to drop its cache. A source that does not
//! hold the prefix costs only a millisecond, so a guess is worthwhile.

use {
    super::{
        Dispatcher,
        selection::{Candidate, PlacementQuery},
    },
    crate::policy::{PrefixLevel, RequestWork, placement, prefix::ServerIndex},
    std::time::Instant,
};

/// Fixed time of a fetch in seconds: the request and its response.
const FETCH_BASE: f64 = 0.003;

/// Prefixes of fewer tokens may spill over at no cost if engines can fetch from each other. An
/// engine computes them in 10 to 30 ms and fetches them faster, while waiting for an affinity
/// server behind a long prompt takes hundreds of milliseconds.
pub(super) const MIN_AFFINITY_TOKENS: u32 = 1_024;

/// A source for a fetch.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchSource {
    pub(super) server: ServerIndex,
    /// Tokens that it is known to hold; 0 for a guess.
    pub(super) tokens: u32,
}

impl FetchSource {
    /// Returns the seconds to fetch the tokens beyond those already held.
    pub(super) fn seconds(&self, held: u32, rate: f64) -> f64 {
        FETCH_BASE + f64::from(self.tokens.saturating_sub(held)) / rate
    }
}

impl Dispatcher {
    /// Adjusts the cost of a candidate for what it can fetch.
    pub(super) fn estimate_fetch(
        &self,
        now: Instant,
        query: &PlacementQuery<'_>,
        candidate: &mut Candidate,
        rate: f64,
    ) {
        let RequestWork::Model { prompt_tokens, .. } = &query.request.ticket.work else { return };
        if self.fetch_rate.is_some() && query.affinity.tokens < MIN_AFFINITY_TOKENS {
            candidate.cost.spillover = false;
        }
        let source = self.find_fetch_source(now, query, candidate);
        candidate.source = source.map(|source| source.server);
        let Some((source, fetch_rate)) = source.zip(self.fetch_rate) else { return };
        let fetched = source.tokens.min(*prompt_tokens);
        if fetched <= candidate.hit {
            return;
        }
        let computed = prompt_tokens - fetched;
        let seconds = source.seconds(candidate.hit, fetch_rate) + f64::from(computed) / rate;
        if seconds < candidate.cost.prefill {
            candidate.cost.prefill = seconds;
            candidate.computed = computed;
            // A prefix that can be fetched needs no affinity.
            candidate.cost.spillover = false;
        }
    }

    /// Returns the best source for a candidate.
    fn find_fetch_source(
        &self,
        now: Instant,
        query: &PlacementQuery<'_>,
        candidate: &Candidate,
    ) -> Option<FetchSource> {
        self.fetch_rate?;
        let RequestWork::Model { model, levels, .. } = &query.request.ticket.work else {
            return None;
        };
        let target = candidate.server;
        let weights = self.table.servers[target].certain_weights(model)?;
        // A server with other than the newest named weights may load at any time, even by an order
        // that arrives seconds late. What it still computes then is cached under the salt of its
        // former weights, and a server that fetched it would generate its response from cache
        // entries of other weights.
        if self.newest_weights.get(model).is_some_and(|newest| newest != weights) {
            return None;
        }
        let is_valid_source = |source: ServerIndex| {
            let from = &self.table.servers[source];
            source != target
                && from.is_usable()
                && !from.rest.is_active(now)
                && from.certain_weights(model) == Some(weights)
        };
        let mut known = query.hits.iter().filter(|(_, tokens)| *tokens > candidate.hit);
        let known = known.find(|(source, _)| is_valid_source(*source));
        let known = known.map(|(source, tokens)| FetchSource { server: *source, tokens: *tokens });
        if known.is_some_and(|source| source.tokens >= query.affinity.tokens) {
            return known;
        }
        // Other daemons send the prefix to the same affinity server, which is likely to hold more
        // than this daemon knows. The next server on the ring for the first level is likely to hold
        // that level.
        let affinity_server =
            query.affinity.servers.iter().copied().find(|source| is_valid_source(*source));
        let guess = |source: ServerIndex| FetchSource { server: source, tokens: 0 };
        let first = levels.first()?;
        let next = || {
            self.table.pools[query.pool]
                .ring
                .affinity_servers(first.hash)
                .find(|server| is_valid_source(*server))
        };
        affinity_server.map(guess).or(known).or_else(|| next().map(guess))
    }

    /// Returns the prefix to import from a prompt-keep server and the seconds that it takes, if the
    /// configuration lists one.
    pub(super) fn import(
        &self,
        levels: &[PrefixLevel],
        hit: u32,
        rate: f64,
    ) -> Option<(PrefixLevel, f64)> {
        if self.prompt_keeps == 0 {
            return None;
        }
        placement::import_level(levels, hit, rate)
    }
}
