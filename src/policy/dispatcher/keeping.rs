//! Which prompts bring their shared prefix to a store of KV cache, and take it from there.
//!
//! Load pattern: long prefixes are shared by all, each asked for every few seconds, by engines whose
//! caches hold a few seconds of traffic, which crash, and which forget all with each new version of the
//! weights. What an engine computes again was evicted everywhere, lost in a crash, or lies in another
//! engine than the one named as a source. A store outlives the engines' evictions and crashes, and needs
//! no knowledge of who holds what (docs/decisions/0051).
//!
//! Short prefixes do not go there: their number pushes the long ones out, and the link fills up.

use {
    super::{
        Dispatcher,
        lifecycle::{Admitted, LiveRequest},
        placing::Candidate,
    },
    crate::{
        ids::WeightsVersion,
        policy::{CacheStoreUse, PrefixLevel, RequestWork},
    },
    std::time::Instant,
};

/// Shared prefixes of fewer tokens are not kept: an engine computes them in 10 to 30 ms.
const LONG_PREFIX: u32 = 1_024;

/// Seconds of the link's time that may be asked for at once: what would wait longer than this is not
/// transferred at all.
const LINK_SECONDS: f64 = 2.0;

/// Seconds within which a prompt must be expected to be read for its parts to be brought to the store.
/// What a server reads after it has changed weights must not be kept, for all daemons, under the salt of
/// the former ones. A server that loads refuses what it has not begun to answer, so only a prompt that
/// it takes up late could do that; what is sent to a crowded server is therefore not brought.
const BRING_WITHIN: f64 = 0.5;

/// How far past its even part of the link a daemon may go, as a factor: callers are spread unevenly.
const UNEVEN: f64 = 2.0;

/// The store, as this daemon may use it.
#[derive(Debug)]
pub(super) struct KeepLink {
    /// Tokens a second of its link that this daemon may ask for.
    rate: f64,
    /// Tokens that may be asked for now; at most [`LINK_SECONDS`] of them.
    left: f64,
    at: Option<Instant>,
}

impl KeepLink {
    pub(super) fn new(part: f64) -> Self {
        let rate = part * UNEVEN;
        KeepLink { rate, left: rate * LINK_SECONDS, at: None }
    }

    /// The same with another rate, as when daemons come and go.
    pub(super) fn paced(self, part: f64) -> Self {
        let rate = part * UNEVEN;
        KeepLink { rate, left: self.left.min(rate * LINK_SECONDS), at: self.at }
    }

    /// Takes `tokens` out of the allowance if all of them fit.
    fn withdraw(&mut self, now: Instant, tokens: f64) -> bool {
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.left = (self.left + passed * self.rate).min(self.rate * LINK_SECONDS);
        let fits = tokens <= self.left;
        if fits {
            self.left -= tokens;
        }
        fits
    }
}

impl Dispatcher {
    /// Whether a request that goes to `best` uses the store.
    ///
    /// As with fetching from engines, only the newest weights count: what a server still reads while
    /// it loads others would be kept under the salt of its former ones.
    pub(super) fn use_keep(
        &mut self,
        now: Instant,
        request: &LiveRequest<Admitted>,
        best: &Candidate,
        weights: Option<&WeightsVersion>,
    ) -> Option<CacheStoreUse> {
        let RequestWork::Model { model, levels, .. } = &request.ticket.work else { return None };
        let shared = shared_tokens(levels);
        let newest = self.newest_weights.get(model);
        let current = weights.is_some() && newest.is_none_or(|newest| Some(newest) == weights);
        if shared < LONG_PREFIX || !current {
            return None;
        }
        let missing = shared.saturating_sub(best.hit);
        let brings = missing > 0 && best.cost.first_token() <= BRING_WITHIN;
        let link = self.keep_link.as_mut()?;
        let granted = link.withdraw(now, f64::from(missing));
        granted.then_some(if brings { CacheStoreUse::TakeAndBring } else { CacheStoreUse::Take })
    }
}

/// Tokens that other prompts may begin with as well: all but the last part, which is the prompt's own.
fn shared_tokens(levels: &[PrefixLevel]) -> u32 {
    levels.iter().rev().nth(1).map_or(0, |level| level.tokens)
}
