//! Engine memory (KV cache) that leased requests take. A prompt part that several of them share counts
//! once.

use {
    crate::policy::PrefixLevel,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Maximum leading parts of a prompt that a request for a lease names.
pub const MAX_PARTS: usize = 8;

/// Tokens of an engine's memory that a request needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryDemand {
    /// The leading parts of the prompt with their tokens. Requests with the same part share it. At most
    /// [`MAX_PARTS`].
    pub parts: Vec<(PartHash, u32)>,
    /// The rest of the prompt and the longest possible output.
    pub own_tokens: u32,
}

impl MemoryDemand {
    /// What a request with these prompt levels needs. The last level is its own.
    pub fn new(levels: &[PrefixLevel], prompt_tokens: u32, max_output_tokens: u32) -> Self {
        let shared = &levels[..levels.len().saturating_sub(1).min(MAX_PARTS)];
        let mut counted = 0;
        let parts = shared.iter().map(|level| {
            let tokens = level.tokens.saturating_sub(counted);
            counted = counted.max(level.tokens);
            (level.hash, tokens)
        });
        let parts = parts.collect();
        let rest = prompt_tokens.saturating_sub(counted);
        MemoryDemand { parts, own_tokens: rest.saturating_add(max_output_tokens) }
    }
}

/// Hash of a prompt's part and all parts before it.
pub type PartHash = u64;

/// The memory of an engine that leases take.
#[derive(Clone, Debug, Default)]
pub(super) struct LeasedMemory {
    /// `None` for a plain service.
    pub(super) capacity: Option<u64>,
    /// The parts in use, with their tokens and the number of leases; bounded by the leases.
    parts: BTreeMap<PartHash, (u32, usize)>,
    /// Sum of the tokens that are not shared.
    own_tokens: u64,
}

impl LeasedMemory {
    pub(super) fn used(&self) -> u64 {
        let shared = self.parts.values().map(|(tokens, _)| u64::from(*tokens));
        self.own_tokens + shared.sum::<u64>()
    }

    /// Whether a request fits beside the others within `limit` tokens; `None` is unlimited. A single
    /// request always fits, because only the server can tell that it is too large.
    pub(super) fn fits(&self, demand: &MemoryDemand, limit: Option<u64>) -> bool {
        let Some(limit) = limit else { return true };
        let used = self.used();
        let missing = demand.parts.iter().filter(|(part, _)| !self.parts.contains_key(part));
        let missing = missing.map(|(_, tokens)| u64::from(*tokens)).sum::<u64>();
        used == 0 || used + missing + u64::from(demand.own_tokens) <= limit
    }

    pub(super) fn take(&mut self, demand: &MemoryDemand) {
        self.own_tokens += u64::from(demand.own_tokens);
        for (part, tokens) in &demand.parts {
            self.parts.entry(*part).or_insert((*tokens, 0)).1 += 1;
        }
    }

    pub(super) fn free(&mut self, demand: &MemoryDemand) {
        self.own_tokens = self.own_tokens.saturating_sub(u64::from(demand.own_tokens));
        for (part, _) in &demand.parts {
            if let Some((_, leases)) = self.parts.get_mut(part) {
                *leases -= 1;
                if *leases == 0 {
                    self.parts.remove(part);
                }
            }
        }
    }
}
