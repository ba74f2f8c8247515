//! The ledger in the form of earlier snapshots, which kept given-back claims among the calls.

use {
    super::{
        ClaimHolder, IdempotencyLedger, LedgerEntry, LedgerKey, LedgerPhase, LedgerShard,
        daemon_incarnations::{DaemonIncarnations, FormerLives},
    },
    crate::{control::command::KeptAnswer, ids::DigestHex},
    serde::Deserialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// The whole ledger.
#[derive(Debug, Deserialize)]
pub struct LegacyLedger {
    shards: Vec<FormerShard>,
    lives: FormerLives,
    clock_ms: u64,
    latest_ms: u64,
}

/// The calls; then the closed ones by time and the bytes kept, which follow from the calls.
type FormerShard = (BTreeMap<LedgerKey, FormerEntry>, BTreeSet<(u64, LedgerKey)>, usize);

#[derive(Debug, Deserialize)]
struct FormerEntry {
    fingerprint: DigestHex,
    holder: ClaimHolder,
    phase: FormerPhase,
    closed_ms: u64,
}

#[derive(Debug, Deserialize)]
enum FormerPhase {
    Running,
    Finished(KeptAnswer),
    Unknown,
    Released,
}

impl From<LegacyLedger> for IdempotencyLedger {
    fn from(former: LegacyLedger) -> Self {
        let LegacyLedger { shards, lives, clock_ms, latest_ms } = former;
        let mut lives = DaemonIncarnations::upgrade(lives, clock_ms, latest_ms);
        let shards = shards.into_iter().map(|(calls, ..)| upgrade(calls, &mut lives)).collect();
        IdempotencyLedger { shards, lives }
    }
}

fn upgrade(calls: BTreeMap<LedgerKey, FormerEntry>, lives: &mut DaemonIncarnations) -> LedgerShard {
    let mut shard = LedgerShard::default();
    for (key, entry) in calls {
        let FormerEntry { fingerprint, holder, phase, closed_ms } = entry;
        let phase = match phase {
            FormerPhase::Running => LedgerPhase::Running,
            FormerPhase::Finished(answer) => LedgerPhase::Finished(answer),
            FormerPhase::Unknown => LedgerPhase::Unknown,
            FormerPhase::Released => {
                lives.give_back(&holder);
                continue;
            }
        };
        shard.put(key, LedgerEntry { fingerprint, holder, phase, closed_ms });
    }
    shard
}
