//! From which server another one fetches what it lacks of a prompt.
//!
//! Load pattern: a few prefixes of thousands of tokens are shared by all, and their servers are
//! away by turns: they load weights, crash, or are full. Without fetching, each server that stands
//! in computes the prefix anew, which takes an engine 160 to 200 ms for 6,000 tokens, and does so
//! again for each version of the weights. Engines that are linked move the same tokens in 15 to
//! 60 ms without computing (both from the engines' rated speeds and links).
//!
//! Only servers with the same weights count, the newest named ones, and only while they take work: one
//! that loads is about to drop what it holds. A source that holds nothing costs a millisecond, so a guess is worth it.

use {
    super::{
        Dispatcher,
        placing::{Asked, Candidate},
    },
    crate::policy::{PrefixLevel, RequestWork, placement, prefix::ServerIndex},
};

/// Seconds that a fetch takes beside the transfer: the question and its answer.
const FETCH_BASE: f64 = 0.003;

/// Prefixes shorter than this, in tokens, need no home: an engine computes them in 10 to 30 ms and
/// fetches them sooner, while a chat that waits for its home behind a long prompt there waits
/// hundreds.
const SHORT_PREFIX: u32 = 1_024;

/// What a server could fetch.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchOffer {
    pub(super) source: ServerIndex,
    /// Tokens that it is known to hold; 0 if it is a guess.
    pub(super) tokens: u32,
}

impl FetchOffer {
    /// Seconds for the tokens beyond those held already.
    pub(super) fn seconds(&self, held: u32, rate: f64) -> f64 {
        FETCH_BASE + f64::from(self.tokens.saturating_sub(held)) / rate
    }
}

impl Dispatcher {
    /// Takes into account what the candidate can fetch.
    pub(super) fn weigh_fetch(&self, asked: &Asked<'_>, candidate: &mut Candidate, rate: f64) {
        let RequestWork::Model { prompt_tokens, .. } = &asked.request.ticket.work else { return };
        if self.fetch_rate.is_some() && asked.homes.tokens < SHORT_PREFIX {
            candidate.cost.stray = false;
        }
        let offer = self.offer_fetch(asked, candidate);
        candidate.source = offer.map(|offer| offer.source);
        let Some((offer, fetch_rate)) = offer.zip(self.fetch_rate) else { return };
        let fetched = offer.tokens.min(*prompt_tokens);
        if fetched <= candidate.hit {
            return;
        }
        let computed = prompt_tokens - fetched;
        let seconds = offer.seconds(candidate.hit, fetch_rate) + f64::from(computed) / rate;
        if seconds < candidate.cost.prefill {
            candidate.cost.prefill = seconds;
            candidate.computed = computed;
            // What can be fetched need not be sent home to be spared.
            candidate.cost.stray = false;
        }
    }

    /// The best source for a candidate.
    fn offer_fetch(&self, asked: &Asked<'_>, candidate: &Candidate) -> Option<FetchOffer> {
        self.fetch_rate?;
        let RequestWork::Model { model, levels, .. } = &asked.request.ticket.work else {
            return None;
        };
        let target = candidate.server;
        let weights = self.table.servers[target].certain_weights(model)?;
        // A server with older weights than the named ones may load at any moment, also by an order
        // that comes seconds late. What it still reads then is kept under the salt of its former
        // weights, and whoever fetches it would answer on cache entries of other weights.
        if self.newest_weights.get(model).is_some_and(|newest| newest != weights) {
            return None;
        }
        let fits = |source: ServerIndex| {
            let from = &self.table.servers[source];
            source != target && from.is_usable() && from.certain_weights(model) == Some(weights)
        };
        let mut known = asked.hits.iter().filter(|(_, tokens)| *tokens > candidate.hit);
        let known = known.find(|(source, _)| fits(*source));
        let known = known.map(|(source, tokens)| FetchOffer { source: *source, tokens: *tokens });
        if known.is_some_and(|offer| offer.tokens >= asked.homes.tokens) {
            return known;
        }
        // Other daemons send the prefix home as well, so its home likely holds more than is known
        // here; and whoever is next for its first level likely holds that.
        let home = asked.homes.servers.iter().copied().find(|source| fits(*source));
        let guess = |source: ServerIndex| FetchOffer { source, tokens: 0 };
        let first = levels.first()?;
        let next = || self.table.pools[asked.pool].ring.homes(first.hash).find(|one| fits(*one));
        home.map(guess).or(known).or_else(|| next().map(guess))
    }

    /// What to import from prompt-keep, if the configuration has one.
    pub(super) fn import(
        &self,
        levels: &[PrefixLevel],
        hit: u32,
        rate: f64,
    ) -> Option<(PrefixLevel, f64)> {
        if self.keeps == 0 {
            return None;
        }
        placement::import_level(levels, hit, rate)
    }
}
