//! Incarnations of the daemons that claim calls: their clocks, and which of their attempts have
//! ended.
//!
//! A daemon numbers its attempts in ascending order. An attempt has ended once nothing more will be
//! sent under it and, if something was sent, its end is recorded in the ledger. Without this record
//! a late reservation could not be distinguished from a new one and would claim a call that no
//! daemon sends.

use {
    super::{ClaimHolder, NAME_BYTES, refused},
    crate::{
        control::command::CommandOutcome,
        ids::{AttemptId, Incarnation, VmId},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of daemons; the one with the oldest clock is evicted.
pub const MAX_DAEMONS: usize = 1024;
/// Maximum number of released attempts retained per incarnation in addition to its floor. The
/// oldest is dropped; the next floor of the daemon covers it.
const MAX_RELEASED: usize = 64;

/// Latest incarnation of the daemon on a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DaemonRecord {
    /// Highest incarnation seen; only grows.
    incarnation: Incarnation,
    /// Latest clock value sent by the daemon, in milliseconds since the Unix epoch; only grows.
    clock_ms: u64,
    /// Reservations of lower attempts are refused: their records may have been dropped before this
    /// incarnation was recorded.
    first: AttemptId,
    /// Highest attempt seen, including those of earlier incarnations.
    newest: AttemptId,
    /// All attempts below it have ended; only grows within an incarnation.
    floor: AttemptId,
    /// Released attempts, none below `floor`; at most [`MAX_RELEASED`].
    #[serde(rename = "returned")]
    released: BTreeSet<AttemptId>,
}

/// Latest incarnations of all daemons.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonIncarnations {
    /// At most [`MAX_DAEMONS`].
    #[serde(rename = "lives")]
    daemons: BTreeMap<VmId, DaemonRecord>,
    /// Second latest of the daemons' clocks; only grows. Retention is measured by this clock.
    clock_ms: u64,
    /// Latest of the daemons' clocks, never below `clock_ms`; only grows. Closed calls carry this
    /// time. It is behind the true time by at most the clock skew, even while only one daemon
    /// proposes and `clock_ms` does not advance.
    latest_ms: u64,
    /// All attempts of evicted incarnations are below it; only grows.
    first: AttemptId,
}

/// Format of snapshots without attempts: the latest incarnation and clock of each VM.
pub type LegacyIncarnations = BTreeMap<VmId, (Incarnation, u64)>;

impl DaemonIncarnations {
    /// Converts the format of earlier snapshots.
    pub fn upgrade(legacy: LegacyIncarnations, clock_ms: u64, latest_ms: u64) -> Self {
        let daemons = legacy.into_iter().map(|(vm, (incarnation, clock_ms))| {
            (vm, DaemonRecord { clock_ms, ..DaemonRecord::new(incarnation, 0) })
        });
        DaemonIncarnations { daemons: daemons.collect(), clock_ms, latest_ms, first: 0 }
    }

    /// Clock by which retention is measured, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Latest clock of all daemons, in milliseconds since the Unix epoch.
    pub fn latest_ms(&self) -> u64 {
        self.latest_ms
    }

    /// Records the incarnation and the clock of a daemon, unless a later incarnation is known.
    pub fn record_incarnation(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> CommandOutcome {
        if let Err(outcome) = self.record(vm, incarnation, now_ms) {
            return outcome;
        }
        self.evict_oldest();
        self.advance_clock();
        CommandOutcome::Noted
    }

    /// Checks whether an attempt may claim a call; returns the outcome if it may not.
    pub fn admit(&mut self, holder: &ClaimHolder, now_ms: u64) -> Option<CommandOutcome> {
        let record = match self.record(&holder.vm, holder.incarnation, now_ms) {
            Ok(record) => record,
            Err(outcome) => return Some(outcome),
        };
        record.newest = record.newest.max(holder.attempt);
        let outcome = if record.has_ended(holder.attempt) {
            Some(CommandOutcome::Released)
        } else if holder.attempt < record.first {
            Some(CommandOutcome::Forgotten { below: record.first })
        } else {
            None
        };
        self.evict_oldest();
        self.advance_clock();
        outcome
    }

    /// Records that an attempt was released by its daemon.
    pub fn release(&mut self, holder: &ClaimHolder) {
        // A release carries no clock. If a later incarnation is known, there is nothing to record.
        let Ok(record) = self.record(&holder.vm, holder.incarnation, 0) else { return };
        record.newest = record.newest.max(holder.attempt);
        if holder.attempt >= record.floor {
            record.released.insert(holder.attempt);
        }
        if record.released.len() > MAX_RELEASED {
            record.released.pop_first();
        }
        self.evict_oldest();
    }

    /// Records that all attempts of an incarnation below `floor` have ended.
    pub fn raise_floor(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        floor: AttemptId,
        now_ms: u64,
    ) -> CommandOutcome {
        let record = match self.record(vm, incarnation, now_ms) {
            Ok(record) => record,
            Err(outcome) => return outcome,
        };
        record.newest = record.newest.max(floor);
        record.floor = record.floor.max(floor);
        record.released = record.released.split_off(&record.floor);
        self.evict_oldest();
        self.advance_clock();
        CommandOutcome::Noted
    }

    /// Whether the attempt of the holder is known to have ended.
    pub fn has_ended(&self, holder: &ClaimHolder) -> bool {
        self.daemons.get(&holder.vm).is_some_and(|record| {
            record.incarnation == holder.incarnation && record.has_ended(holder.attempt)
        })
    }

    /// Whether a later incarnation of the holder's VM is known.
    pub fn is_superseded(&self, holder: &ClaimHolder) -> bool {
        self.daemons.get(&holder.vm).is_some_and(|record| record.incarnation > holder.incarnation)
    }

    /// Returns the record of an incarnation; creates it if there is none.
    fn record(
        &mut self,
        vm: &VmId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Result<&mut DaemonRecord, CommandOutcome> {
        if vm.len() > NAME_BYTES {
            return Err(refused("the name of the VM is longer than 256 bytes; shorten it"));
        }
        let fresh = DaemonRecord::new(incarnation, self.first);
        let record = self.daemons.entry(vm.clone()).or_insert_with(|| fresh.clone());
        if record.incarnation > incarnation {
            return Err(refused("a later incarnation of this VM has proposed; restart the daemon"));
        }
        if record.incarnation < incarnation {
            let newest = record.newest.max(fresh.newest);
            *record = DaemonRecord { clock_ms: record.clock_ms, newest, ..fresh };
        }
        record.clock_ms = record.clock_ms.max(now_ms);
        Ok(record)
    }

    fn evict_oldest(&mut self) {
        while self.daemons.len() > MAX_DAEMONS {
            let oldest = self.daemons.iter().min_by_key(|(_, record)| record.clock_ms);
            let oldest = oldest.map(|(vm, _)| vm.clone()).expect("the map is not empty");
            let record = self.daemons.remove(&oldest).expect("the key was taken from the map");
            self.first = self.first.max(next_generation(record.newest));
        }
    }

    /// Updates the latest and the second latest clock.
    ///
    /// If retention were measured by the latest clock, one VM whose clock jumps ahead would expire
    /// all responses at once, and a resend would execute a call again. With the second latest
    /// clock, two VMs have to be wrong.
    fn advance_clock(&mut self) {
        let (mut latest, mut second) = (0, 0);
        for record in self.daemons.values() {
            if record.clock_ms > latest {
                (latest, second) = (record.clock_ms, latest);
            } else {
                second = second.max(record.clock_ms);
            }
        }
        self.clock_ms = self.clock_ms.max(second);
        self.latest_ms = self.latest_ms.max(latest);
    }
}

impl DaemonRecord {
    fn new(incarnation: Incarnation, first: AttemptId) -> Self {
        DaemonRecord {
            incarnation,
            clock_ms: 0,
            first,
            newest: AttemptId::from(incarnation) << 64,
            floor: 0,
            released: BTreeSet::new(),
        }
    }

    fn has_ended(&self, attempt: AttemptId) -> bool {
        attempt < self.floor || self.released.contains(&attempt)
    }
}

/// Returns the first attempt of the next generation. A daemon counts attempts in the lower 64 bits
/// and changes the upper ones only when it receives [`CommandOutcome::Forgotten`], so no attempt
/// still in transit is as high.
fn next_generation(attempt: AttemptId) -> AttemptId {
    (attempt | AttemptId::from(u64::MAX)).saturating_add(1)
}
