//! Idempotency ledger: which non-repeatable calls are claimed, finished or in doubt.
//!
//! A claim permits exactly one execution. It is ended by a command of its holder (`Finish`,
//! `MarkUnknown`, or, if nothing was sent, `Release` or `EndAttempts`). It is also ended when a
//! later incarnation of the holder's VM shows that the holder has stopped; the outcome is then
//! unknown. No timeout frees a claim.

mod daemon_incarnations;
mod legacy_ledger;

pub use self::legacy_ledger::LegacyLedger;

use {
    self::daemon_incarnations::DaemonIncarnations,
    crate::{
        control::command::{CommandOutcome, KeptAnswer},
        ids::{AttemptId, DigestHex, IdempotencyKey, Incarnation, OrganisationId, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of shards. Calls are assigned by a hash of organisation and key, so that shards can be
/// distributed over several groups.
pub const LEDGER_SHARDS: usize = 64;
/// Maximum number of entries of a shard: 65,536 in all shards, about 20 MB at 300 bytes each.
pub const SHARD_ENTRIES: usize = 1024;
/// Size in bytes of the responses stored in a shard from which new claims are refused; 16 MB in all
/// shards.
pub const SHARD_BYTES: usize = 256 << 10;
/// Maximum size in bytes of the responses stored in a shard. It exceeds [`SHARD_BYTES`] because
/// calls that were already claimed may still finish. A response beyond it is not stored, and its
/// resends get `Unknown`.
const SHARD_BYTES_HARD: usize = 384 << 10;
/// Maximum size in bytes of a stored response. Resends of a call with a longer one get `Unknown`,
/// never a truncated response.
pub const ANSWER_BYTES: usize = 64 << 10;
/// Maximum length in bytes of a key, fingerprint or name.
const NAME_BYTES: usize = 256;

/// Organisation that made a call, and its idempotency key.
pub type LedgerKey = (OrganisationId, IdempotencyKey);

/// Daemon and attempt that may send a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// VM of the daemon.
    pub vm: VmId,
    /// Incarnation of the daemon; later incarnations have higher numbers.
    pub incarnation: Incarnation,
    /// Attempt that the claim permits.
    pub attempt: AttemptId,
}

/// Ledger entry of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LedgerEntry {
    fingerprint: DigestHex,
    holder: ClaimHolder,
    phase: LedgerPhase,
    /// Time on the ledger's clock at which the phase was reached; unused while running.
    closed_ms: u64,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum LedgerPhase {
    /// The call is claimed; the holder may have sent it.
    Running,
    /// The call was executed.
    Finished(KeptAnswer),
    /// The call may have been executed.
    Unknown,
}

/// Shard of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct LedgerShard {
    /// At most [`SHARD_ENTRIES`].
    entries: BTreeMap<LedgerKey, LedgerEntry>,
    /// Exactly the entries that are not running, ordered by the time at which they were closed.
    closed: BTreeSet<(u64, LedgerKey)>,
    /// Total size in bytes of the responses stored in `entries`.
    kept_bytes: usize,
}

/// Ledger of all non-repeatable calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyLedger {
    /// Always [`LEDGER_SHARDS`] of them.
    shards: Vec<LedgerShard>,
    #[serde(rename = "lives")]
    daemons: DaemonIncarnations,
}

impl Default for IdempotencyLedger {
    fn default() -> Self {
        let shards = vec![LedgerShard::default(); LEDGER_SHARDS];
        IdempotencyLedger { shards, daemons: DaemonIncarnations::default() }
    }
}

/// Request for the claim of a call.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// Organisation that made the call, and its idempotency key.
    pub key: LedgerKey,
    /// Digest of method, path and body.
    pub fingerprint: &'a DigestHex,
    /// Daemon and attempt that would send the call.
    pub holder: ClaimHolder,
    /// Clock of the proposer, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// How long closed calls are retained, in milliseconds.
    pub retention_ms: u64,
}

impl IdempotencyLedger {
    /// Number of calls in the ledger.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.entries.len()).sum()
    }

    /// Whether the ledger holds no call.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Claims a call, or returns its state if it is already claimed or closed.
    pub fn reserve(&mut self, request: ClaimRequest<'_>) -> CommandOutcome {
        if !request.is_short() {
            return refused("the key or a name is longer than 256 bytes; shorten it");
        }
        if let Some(outcome) = self.daemons.admit(&request.holder, request.now_ms) {
            return outcome;
        }
        let daemons = &self.daemons;
        let shard = &mut self.shards[shard_number(&request.key)];
        shard.expire(daemons.clock_ms(), request.retention_ms);
        if let Some(outcome) = shard.outcome_of(&request, daemons) {
            return outcome;
        }
        if shard.is_full() {
            shard.make_room(daemons);
        }
        if shard.is_full() {
            return CommandOutcome::LedgerFull;
        }
        shard.put(request.key, LedgerEntry::running(request.fingerprint, request.holder));
        CommandOutcome::Reserved
    }

    /// Stores the response of an executed call, even if its outcome was already recorded as
    /// unknown: the holder has the outcome, and storing it permits no further execution.
    pub fn finish(
        &mut self,
        key: LedgerKey,
        holder: &ClaimHolder,
        answer: &KeptAnswer,
    ) -> CommandOutcome {
        let latest_ms = self.daemons.latest_ms();
        let shard = &mut self.shards[shard_number(&key)];
        let length = answer.body.len() + answer.content_type.len();
        match shard.phase_of(&key, holder) {
            Some(LedgerPhase::Finished(_)) => CommandOutcome::Noted,
            Some(LedgerPhase::Running | LedgerPhase::Unknown) => {
                let fits = length <= ANSWER_BYTES && shard.kept_bytes + length <= SHARD_BYTES_HARD;
                let phase = match fits {
                    true => LedgerPhase::Finished(answer.clone()),
                    false => LedgerPhase::Unknown,
                };
                shard.close(&key, phase, latest_ms);
                CommandOutcome::Noted
            }
            None => CommandOutcome::NotHolder,
        }
    }

    /// Releases a claim because nothing was sent.
    pub fn release(&mut self, key: LedgerKey, holder: &ClaimHolder) -> CommandOutcome {
        // The attempt is recorded even if another one holds the call, because its `Reserve` may
        // still arrive.
        self.daemons.release(holder);
        let shard = &mut self.shards[shard_number(&key)];
        if !shard.entries.contains_key(&key) {
            return CommandOutcome::Released;
        }
        match shard.phase_of(&key, holder) {
            Some(LedgerPhase::Running) => {
                shard.remove(&key);
                CommandOutcome::Released
            }
            // A claim that is finished or in doubt is never released: the call may have been
            // executed.
            Some(LedgerPhase::Finished(_) | LedgerPhase::Unknown) | None => {
                CommandOutcome::NotHolder
            }
        }
    }

    /// Records that the outcome of a sent call cannot be determined.
    pub fn mark_unknown(&mut self, key: LedgerKey, holder: &ClaimHolder) -> CommandOutcome {
        let latest_ms = self.daemons.latest_ms();
        let shard = &mut self.shards[shard_number(&key)];
        match shard.phase_of(&key, holder) {
            Some(LedgerPhase::Running) => {
                shard.close(&key, LedgerPhase::Unknown, latest_ms);
                CommandOutcome::Noted
            }
            Some(LedgerPhase::Unknown | LedgerPhase::Finished(_)) => CommandOutcome::Noted,
            None => CommandOutcome::NotHolder,
        }
    }

    /// Records the incarnation and the clock of a daemon, unless a later incarnation is known.
    pub fn record_incarnation(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> CommandOutcome {
        self.daemons.record_incarnation(vm, incarnation, now_ms)
    }

    /// Records that all attempts of a daemon's incarnation below `floor` have ended. Calls that
    /// they still hold become free.
    pub fn end_attempts(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        floor: AttemptId,
        now_ms: u64,
    ) -> CommandOutcome {
        self.daemons.raise_floor(vm, incarnation, floor, now_ms)
    }
}

impl ClaimRequest<'_> {
    fn is_short(&self) -> bool {
        [&self.key.0, &self.key.1, self.fingerprint, &self.holder.vm]
            .iter()
            .all(|name| name.len() <= NAME_BYTES)
    }
}

impl LedgerEntry {
    fn running(fingerprint: &DigestHex, holder: ClaimHolder) -> Self {
        LedgerEntry {
            fingerprint: fingerprint.clone(),
            holder,
            phase: LedgerPhase::Running,
            closed_ms: 0,
        }
    }

    fn kept_bytes(&self) -> usize {
        match &self.phase {
            LedgerPhase::Finished(answer) => answer.body.len() + answer.content_type.len(),
            LedgerPhase::Running | LedgerPhase::Unknown => 0,
        }
    }

    fn is_running(&self) -> bool {
        self.phase == LedgerPhase::Running
    }
}

impl LedgerShard {
    fn is_full(&self) -> bool {
        self.entries.len() >= SHARD_ENTRIES || self.kept_bytes >= SHARD_BYTES
    }

    /// Answers the request from an earlier claim under its key; `None` if the call is free.
    fn outcome_of(
        &mut self,
        request: &ClaimRequest<'_>,
        daemons: &DaemonIncarnations,
    ) -> Option<CommandOutcome> {
        let entry = self.entries.get(&request.key)?;
        if entry.is_running() && daemons.has_ended(&entry.holder) {
            self.remove(&request.key);
            return None;
        }
        if entry.fingerprint != *request.fingerprint {
            return Some(CommandOutcome::KeyReused);
        }
        if entry.is_running() && daemons.is_superseded(&entry.holder) {
            self.close(&request.key, LedgerPhase::Unknown, daemons.latest_ms());
            return Some(CommandOutcome::Unknown);
        }
        Some(match &entry.phase {
            // An identical proposal is a resend after a lost response. Another attempt of the same
            // daemon is not identical; granting it would let one claim permit two sends.
            LedgerPhase::Running if entry.holder == request.holder => CommandOutcome::Reserved,
            LedgerPhase::Running => CommandOutcome::Running {
                holder: entry.holder.vm.clone(),
                incarnation: entry.holder.incarnation,
            },
            LedgerPhase::Finished(answer) => CommandOutcome::Finished { answer: answer.clone() },
            LedgerPhase::Unknown => CommandOutcome::Unknown,
        })
    }

    /// State of the call, if this holder claimed it.
    fn phase_of(&self, key: &LedgerKey, holder: &ClaimHolder) -> Option<&LedgerPhase> {
        self.entries.get(key).filter(|entry| entry.holder == *holder).map(|entry| &entry.phase)
    }

    fn put(&mut self, key: LedgerKey, entry: LedgerEntry) {
        self.remove(&key);
        self.kept_bytes += entry.kept_bytes();
        if entry.phase != LedgerPhase::Running {
            self.closed.insert((entry.closed_ms, key.clone()));
        }
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &LedgerKey) -> Option<LedgerEntry> {
        let entry = self.entries.remove(key)?;
        self.kept_bytes -= entry.kept_bytes();
        self.closed.remove(&(entry.closed_ms, key.clone()));
        Some(entry)
    }

    fn close(&mut self, key: &LedgerKey, phase: LedgerPhase, latest_ms: u64) {
        if let Some(entry) = self.remove(key) {
            self.put(key.clone(), LedgerEntry { phase, closed_ms: latest_ms, ..entry });
        }
    }

    /// Drops closed calls whose retention has expired. Running calls stay regardless of their age,
    /// because only the holder can determine that they were not executed.
    fn expire(&mut self, clock_ms: u64, retention_ms: u64) {
        while let Some((closed_ms, key)) = self.closed.first().cloned() {
            if closed_ms.saturating_add(retention_ms) >= clock_ms {
                break;
            }
            self.remove(&key);
        }
    }

    /// Removes the calls of ended attempts and closes those whose holder has stopped, so that the
    /// retention of the latter begins.
    fn make_room(&mut self, daemons: &DaemonIncarnations) {
        let running = self.entries.iter().filter(|(_, entry)| entry.is_running());
        let (ended, others): (Vec<_>, Vec<_>) = running
            .map(|(key, entry)| (key.clone(), entry.holder.clone()))
            .partition(|(_, holder)| daemons.has_ended(holder));
        for (key, _) in ended {
            self.remove(&key);
        }
        for (key, _) in others.into_iter().filter(|(_, holder)| daemons.is_superseded(holder)) {
            self.close(&key, LedgerPhase::Unknown, daemons.latest_ms());
        }
    }
}

fn shard_number(key: &LedgerKey) -> usize {
    let mut bytes = Vec::with_capacity(key.0.len() + key.1.len() + 1);
    bytes.extend_from_slice(key.0.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.1.as_bytes());
    (xxh3_64(&bytes) % LEDGER_SHARDS as u64) as usize
}

fn refused(reason: &str) -> CommandOutcome {
    CommandOutcome::Refused { reason: reason.to_owned() }
}
