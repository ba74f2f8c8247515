//! The idempotency ledger: which non-repeatable calls are claimed, finished or in doubt.
//!
//! A claim permits exactly one run. It ends by the holder's word (`Finish`, `MarkUnknown`, or, when
//! nothing was sent, `Release` or `EndAttempts`) or when a later life of the holder's VM shows that
//! the holder is gone, and then the outcome is unknown. No timeout frees a claim.

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

/// Shards by hash of organisation and key, so that they can be spread over several groups.
pub const LEDGER_SHARDS: usize = 64;
/// Entries of one shard: 65,536 in all, at some 300 bytes each about 20 MB.
pub const SHARD_ENTRIES: usize = 1024;
/// Bytes of kept answers in a shard from which new claims are refused; 16 MB in all.
pub const SHARD_BYTES: usize = 256 << 10;
/// Bytes of kept answers in a shard that are never passed: calls that were claimed below
/// [`SHARD_BYTES`] may still finish. An answer past it is not kept and its resends get `Unknown`.
const SHARD_BYTES_HARD: usize = 384 << 10;
/// The longest answer kept; resends of a longer one get `Unknown`, never a part of it.
pub const ANSWER_BYTES: usize = 64 << 10;
/// The longest key, fingerprint or name.
const NAME_BYTES: usize = 256;

/// Whose call, and its key.
pub type LedgerKey = (OrganisationId, IdempotencyKey);

/// Who may send, and for which try.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The daemon's VM.
    pub vm: VmId,
    /// The life of the daemon; a later life has a higher number.
    pub incarnation: Incarnation,
    /// The try.
    pub attempt: AttemptId,
}

/// One call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LedgerEntry {
    fingerprint: DigestHex,
    holder: ClaimHolder,
    phase: LedgerPhase,
    /// The ledger's clock when the phase was reached; unused while running.
    closed_ms: u64,
}

/// How far a call is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum LedgerPhase {
    /// The holder may have sent it.
    Running,
    /// It ran.
    Finished(KeptAnswer),
    /// It may have run.
    Unknown,
}

/// A part of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct LedgerShard {
    /// At most [`SHARD_ENTRIES`].
    entries: BTreeMap<LedgerKey, LedgerEntry>,
    /// Exactly the entries that are not running, by the time they were closed.
    closed: BTreeSet<(u64, LedgerKey)>,
    /// The sum of the bodies kept in `entries`.
    kept_bytes: usize,
}

/// The whole ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyLedger {
    /// Always [`LEDGER_SHARDS`] of them.
    shards: Vec<LedgerShard>,
    lives: DaemonIncarnations,
}

impl Default for IdempotencyLedger {
    fn default() -> Self {
        let shards = vec![LedgerShard::default(); LEDGER_SHARDS];
        IdempotencyLedger { shards, lives: DaemonIncarnations::default() }
    }
}

/// A request for the only run of a call.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// Whose call, and its key.
    pub key: LedgerKey,
    /// Digest of the request.
    pub fingerprint: &'a DigestHex,
    /// Who would send it.
    pub holder: ClaimHolder,
    /// The proposer's clock.
    pub now_ms: u64,
    /// How long closed calls are kept.
    pub retention_ms: u64,
}

impl IdempotencyLedger {
    /// How many calls are kept.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.entries.len()).sum()
    }

    /// Whether no call is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Claims the only run of a call, or tells how it stands.
    pub fn reserve(&mut self, request: ClaimRequest<'_>) -> CommandOutcome {
        if !request.is_short() {
            return refused("the key or a name is longer than 256 bytes; shorten it");
        }
        if let Some(outcome) = self.lives.admit(&request.holder, request.now_ms) {
            return outcome;
        }
        let lives = &self.lives;
        let shard = &mut self.shards[shard_number(&request.key)];
        shard.expire(lives.clock_ms(), request.retention_ms);
        if let Some(outcome) = shard.standing(&request, lives) {
            return outcome;
        }
        if shard.is_full() {
            shard.make_room(lives);
        }
        if shard.is_full() {
            return CommandOutcome::LedgerFull;
        }
        shard.put(request.key, LedgerEntry::running(request.fingerprint, request.holder));
        CommandOutcome::Reserved
    }

    /// Keeps the answer of a call that ran. Also after its outcome was given up as unknown: the
    /// holder's word is the truth, and it permits no further run.
    pub fn finish(
        &mut self,
        key: LedgerKey,
        holder: &ClaimHolder,
        answer: &KeptAnswer,
    ) -> CommandOutcome {
        let latest_ms = self.lives.latest_ms();
        let shard = &mut self.shards[shard_number(&key)];
        let length = answer.body.len() + answer.content_type.len();
        match shard.held(&key, holder) {
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

    /// Gives a claim back when nothing was sent.
    pub fn release(&mut self, key: LedgerKey, holder: &ClaimHolder) -> CommandOutcome {
        // Also where another attempt holds the call: the `Reserve` may still be on its way.
        self.lives.give_back(holder);
        let shard = &mut self.shards[shard_number(&key)];
        if !shard.entries.contains_key(&key) {
            return CommandOutcome::Released;
        }
        match shard.held(&key, holder) {
            Some(LedgerPhase::Running) => {
                shard.remove(&key);
                CommandOutcome::Released
            }
            // A claim once in doubt or finished is never freed: it may have run.
            Some(LedgerPhase::Finished(_) | LedgerPhase::Unknown) | None => {
                CommandOutcome::NotHolder
            }
        }
    }

    /// Notes that the outcome of a sent call will never be known.
    pub fn mark_unknown(&mut self, key: LedgerKey, holder: &ClaimHolder) -> CommandOutcome {
        let latest_ms = self.lives.latest_ms();
        let shard = &mut self.shards[shard_number(&key)];
        match shard.held(&key, holder) {
            Some(LedgerPhase::Running) => {
                shard.close(&key, LedgerPhase::Unknown, latest_ms);
                CommandOutcome::Noted
            }
            Some(LedgerPhase::Unknown | LedgerPhase::Finished(_)) => CommandOutcome::Noted,
            None => CommandOutcome::NotHolder,
        }
    }

    /// Notes the life and the clock of a daemon, unless a later life is known.
    pub fn note_incarnation(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> CommandOutcome {
        self.lives.note(vm, incarnation, now_ms)
    }

    /// Notes that all attempts of a daemon's life below `floor` are over; calls that they still
    /// hold are free.
    pub fn end_attempts(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        floor: AttemptId,
        now_ms: u64,
    ) -> CommandOutcome {
        self.lives.raise_floor(vm, incarnation, floor, now_ms)
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

    /// How an earlier claim under the key answers this one; `None` when the call is free.
    fn standing(
        &mut self,
        request: &ClaimRequest<'_>,
        lives: &DaemonIncarnations,
    ) -> Option<CommandOutcome> {
        let entry = self.entries.get(&request.key)?;
        if entry.is_running() && lives.is_over(&entry.holder) {
            self.remove(&request.key);
            return None;
        }
        if entry.fingerprint != *request.fingerprint {
            return Some(CommandOutcome::KeyReused);
        }
        if entry.is_running() && lives.is_gone(&entry.holder) {
            self.close(&request.key, LedgerPhase::Unknown, lives.latest_ms());
            return Some(CommandOutcome::Unknown);
        }
        Some(match &entry.phase {
            // The identical proposal after a lost answer; another try of the same daemon is not
            // identical, or one claim would permit two sends.
            LedgerPhase::Running if entry.holder == request.holder => CommandOutcome::Reserved,
            LedgerPhase::Running => CommandOutcome::Running {
                holder: entry.holder.vm.clone(),
                incarnation: entry.holder.incarnation,
            },
            LedgerPhase::Finished(answer) => CommandOutcome::Finished { answer: answer.clone() },
            LedgerPhase::Unknown => CommandOutcome::Unknown,
        })
    }

    /// The phase of the call, if this holder claimed it.
    fn held(&self, key: &LedgerKey, holder: &ClaimHolder) -> Option<&LedgerPhase> {
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

    /// Drops closed calls whose retention is over. Running ones stay, whatever their age: nobody
    /// but the holder can tell that they did not run.
    fn expire(&mut self, clock_ms: u64, retention_ms: u64) {
        while let Some((closed_ms, key)) = self.closed.first().cloned() {
            if closed_ms.saturating_add(retention_ms) >= clock_ms {
                break;
            }
            self.remove(&key);
        }
    }

    /// Frees the calls of attempts that are over, and closes those whose holder is gone, so that
    /// the retention of the latter begins.
    fn make_room(&mut self, lives: &DaemonIncarnations) {
        let running = self.entries.iter().filter(|(_, entry)| entry.is_running());
        let (over, others): (Vec<_>, Vec<_>) = running
            .map(|(key, entry)| (key.clone(), entry.holder.clone()))
            .partition(|(_, holder)| lives.is_over(holder));
        for (key, _) in over {
            self.remove(&key);
        }
        for (key, _) in others.into_iter().filter(|(_, holder)| lives.is_gone(holder)) {
            self.close(&key, LedgerPhase::Unknown, lives.latest_ms());
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
