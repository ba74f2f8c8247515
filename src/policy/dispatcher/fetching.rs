//! From which server another one fetches what it lacks of a prompt.
//!
//! Load pattern: a few prefixes of thousands of tokens are shared by all, and their servers are
//! away by turns: they load weights, crash, or are full. Without fetching, each server that stands
//! in computes the prefix anew, which takes an engine 100 to 200 ms for 6,000 tokens, and does so
//! again for each version of the weights. Engines that are linked move the same tokens in 15 to
//! 60 ms without computing.
//!
//! Only servers with the same weights count, and only while they take work: one that loads is about
//! to drop what it holds. A source that holds nothing costs a millisecond, so a guess is worth it.

use {
    super::{Dispatcher, homes::HomeSet, servers::{PoolIndex, ServerState}},
    crate::policy::{RequestWork, prefix::ServerIndex},
};

/// Seconds that a fetch takes beside the transfer: the question and its answer.
const FETCH_BASE: f64 = 0.003;

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
    /// The best source for `target`, which holds `held` tokens of the prompt.
    pub(super) fn offer_fetch(
        &self,
        pool: PoolIndex,
        work: &RequestWork,
        hits: &[(ServerIndex, u32)],
        homes: &HomeSet,
        target: ServerIndex,
        held: u32,
    ) -> Option<FetchOffer> {
        self.fetch_rate?;
        let RequestWork::Model { model, levels, .. } = work else { return None };
        let server = &self.table.servers[target];
        let weights = server.certain_weights(model)?;
        let fits = |source: ServerIndex| {
            let from: &ServerState = &self.table.servers[source];
            source != target && from.is_usable() && from.certain_weights(model) == Some(weights)
        };
        let known = hits.iter().find(|(source, tokens)| *tokens > held && fits(*source));
        if let Some((source, tokens)) = known {
            return Some(FetchOffer { source: *source, tokens: *tokens });
        }
        // Its other homes hold all of it, and whoever is next for its first level likely that.
        let first = levels.first()?;
        let mut guesses = homes.servers.iter().copied().chain(self.table.pools[pool].ring.homes(first.hash));
        let guess = guesses.find(|source| fits(*source));
        guess.map(|source| FetchOffer { source, tokens: 0 })
    }
}
