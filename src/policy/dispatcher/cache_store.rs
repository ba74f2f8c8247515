//! Decides which prompts export their shared prefix to the engines' shared KV cache store, and
//! import it from there.
//!
//! Long prefixes are shared by many callers and requested every few seconds. Engine caches retain
//! only a few seconds of traffic, engines crash, and new weights invalidate their caches. A prefix
//! is computed again if it was evicted everywhere, was lost in a crash, or is held by another
//! engine than the one named as a source. A store survives evictions and crashes and needs no
//! knowledge of which engine holds what (see docs/decisions/0051).
//!
//! Short prefixes are not stored: they are so numerous that they would evict the long ones and
//! saturate the link.

use {
    super::{
        Dispatcher,
        lifecycle::{Admitted, StagedRequest},
        selection::Candidate,
    },
    crate::{
        ids::WeightsVersion,
        policy::{CacheStoreUse, PrefixLevel, RequestWork},
    },
    std::time::Instant,
};

/// Minimum tokens of a shared prefix that is stored; an engine computes a shorter one in 10 to 30
/// ms.
const MIN_STORED_TOKENS: u32 = 1_024;

/// Burst of the link's token bucket, in seconds at its rate. A transfer that would wait longer is
/// not made at all.
const BURST_SECONDS: f64 = 2.0;

/// Maximum predicted first-token time in seconds of a prompt that exports its blocks. What a server
/// computes after a change of weights must not be stored under the salt of its former weights,
/// where all daemons would use it. A server that loads weights refuses requests that it has not
/// started, so only a prompt that starts late could cause this, and prompts sent to a busy server
/// export nothing.
const EXPORT_WITHIN: f64 = 0.5;

/// Factor by which a daemon may exceed its even share of the link, since callers are spread
/// unevenly.
const LINK_OVERCOMMIT: f64 = 2.0;

/// Token bucket for this daemon's use of the store's link.
#[derive(Debug)]
pub(super) struct StoreLink {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Tokens that may be transferred now; at most [`BURST_SECONDS`] at the refill rate.
    available: f64,
    at: Option<Instant>,
}

impl StoreLink {
    pub(super) fn new(share: f64) -> Self {
        let rate = share * LINK_OVERCOMMIT;
        StoreLink { rate, available: rate * BURST_SECONDS, at: None }
    }

    /// Returns the bucket with another rate, for example after the number of daemons changed.
    pub(super) fn with_rate(self, share: f64) -> Self {
        let rate = share * LINK_OVERCOMMIT;
        StoreLink { rate, available: self.available.min(rate * BURST_SECONDS), at: self.at }
    }

    /// Takes `tokens` if all of them are available, and returns whether they were.
    fn withdraw(&mut self, now: Instant, tokens: f64) -> bool {
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.available = (self.available + passed * self.rate).min(self.rate * BURST_SECONDS);
        let fits = tokens <= self.available;
        if fits {
            self.available -= tokens;
        }
        fits
    }
}

impl Dispatcher {
    /// Decides how a request that is sent to `best` uses the store.
    ///
    /// As with fetching from engines, only the newest weights count: what a server still computes
    /// while it loads other weights would be stored under the salt of its former ones.
    pub(super) fn plan_store_use(
        &mut self,
        now: Instant,
        request: &StagedRequest<Admitted>,
        best: &Candidate,
        weights: Option<&WeightsVersion>,
    ) -> Option<CacheStoreUse> {
        let RequestWork::Model { model, levels, .. } = &request.ticket.work else { return None };
        let shared = shared_tokens(levels);
        let newest = self.newest_weights.get(model);
        let current = weights.is_some() && newest.is_none_or(|newest| Some(newest) == weights);
        if shared < MIN_STORED_TOKENS || !current {
            return None;
        }
        let missing = shared.saturating_sub(best.hit);
        let exports = missing > 0 && best.cost.first_token() <= EXPORT_WITHIN;
        let link = self.store_link.as_mut()?;
        let granted = link.withdraw(now, f64::from(missing));
        granted.then_some(if exports { CacheStoreUse::TakeAndBring } else { CacheStoreUse::Take })
    }
}

/// Returns the prompt's tokens that other prompts may share: all levels but the last.
fn shared_tokens(levels: &[PrefixLevel]) -> u32 {
    levels.iter().rev().nth(1).map_or(0, |level| level.tokens)
}
