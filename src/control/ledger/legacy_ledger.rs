//! Ledger in the format of earlier snapshots, which stored released claims as calls.

use {
    super::{
        ClaimHolder, IdempotencyLedger, LedgerEntry, LedgerKey, LedgerPhase, LedgerShard,
        daemon_incarnations::{DaemonIncarnations, LegacyIncarnations},
    },
    crate::{control::command::KeptAnswer, ids::DigestHex},
    serde::Deserialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// Ledger of all non-repeatable calls, as earlier releases stored it.
#[derive(Debug, Deserialize)]
pub struct LegacyLedger {
    shards: Vec<LegacyShard>,
    #[serde(rename = "lives")]
    daemons: LegacyIncarnations,
    clock_ms: u64,
    latest_ms: u64,
}

/// Calls, closed calls by time and size of the stored responses. The latter two follow from the
/// calls.
type LegacyShard = (BTreeMap<LedgerKey, LegacyEntry>, BTreeSet<(u64, LedgerKey)>, usize);

#[derive(Debug, Deserialize)]
struct LegacyEntry {
    fingerprint: DigestHex,
    holder: ClaimHolder,
    phase: LegacyPhase,
    closed_ms: u64,
}

#[derive(Debug, Deserialize)]
enum LegacyPhase {
    Running,
    Finished(KeptAnswer),
    Unknown,
    Released,
}

impl From<LegacyLedger> for IdempotencyLedger {
    fn from(legacy: LegacyLedger) -> Self {
        let LegacyLedger { shards, daemons, clock_ms, latest_ms } = legacy;
        let mut daemons = DaemonIncarnations::upgrade(daemons, clock_ms, latest_ms);
        let shards = shards.into_iter().map(|(calls, ..)| upgrade(calls, &mut daemons)).collect();
        IdempotencyLedger { shards, daemons }
    }
}

fn upgrade(
    calls: BTreeMap<LedgerKey, LegacyEntry>,
    daemons: &mut DaemonIncarnations,
) -> LedgerShard {
    let mut shard = LedgerShard::default();
    for (key, entry) in calls {
        let LegacyEntry { fingerprint, holder, phase, closed_ms } = entry;
        let phase = match phase {
            LegacyPhase::Running => LedgerPhase::Running,
            LegacyPhase::Finished(answer) => LedgerPhase::Finished(answer),
            LegacyPhase::Unknown => LedgerPhase::Unknown,
            LegacyPhase::Released => {
                daemons.release(&holder);
                continue;
            }
        };
        shard.put(key, LedgerEntry { fingerprint, holder, phase, closed_ms });
    }
    shard
}
