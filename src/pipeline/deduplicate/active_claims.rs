//! Open claims of a daemon: the calls that it runs, and the lowest open attempt number.

use {
    crate::{
        control::ledger::LedgerKey,
        ids::{AttemptId, Incarnation},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Maximum number of concurrent release proposals; the attempt floor covers further releases.
const MAX_RELEASES: usize = 1024;

/// Open claims of a daemon.
pub struct ActiveClaims {
    table: Mutex<ClaimTable>,
    release_permits: Arc<Semaphore>,
}

struct ClaimTable {
    /// Open attempts by call: those of requests in flight, and those of sent calls whose outcome is
    /// not in the ledger yet. Since no call is sent without a quorum, the drain gate bounds both.
    open: BTreeMap<LedgerKey, AttemptId>,
    /// The next attempt number, higher than all earlier ones.
    next: AttemptId,
}

impl ActiveClaims {
    /// Creates an empty table. A later incarnation uses higher attempt numbers.
    pub fn new(incarnation: Incarnation) -> Self {
        let table = ClaimTable { open: BTreeMap::new(), next: AttemptId::from(incarnation) << 64 };
        ActiveClaims {
            table: Mutex::new(table),
            release_permits: Arc::new(Semaphore::new(MAX_RELEASES)),
        }
    }

    /// Begins an attempt; `None` while another attempt at the same call is open.
    pub(super) fn begin_attempt(&self, key: &LedgerKey) -> Option<AttemptId> {
        let mut table = self.table();
        if table.open.contains_key(key) {
            return None;
        }
        let attempt = table.next;
        table.next += 1;
        table.open.insert(key.clone(), attempt);
        Some(attempt)
    }

    /// Ends the attempt at this call. Nothing more may be sent under it, and the outcome of a sent
    /// call must be in the ledger.
    pub(super) fn end_attempt(&self, key: &LedgerKey) {
        self.table().open.remove(key);
    }

    /// Raises the next attempt number to at least `first`.
    pub(super) fn raise_next(&self, first: AttemptId) {
        let mut table = self.table();
        table.next = table.next.max(first);
    }

    /// The attempt floor: all attempts with lower numbers have ended. It never decreases.
    pub fn floor(&self) -> AttemptId {
        let table = self.table();
        table.open.values().min().copied().unwrap_or(table.next)
    }

    /// Reserves one of the concurrent release proposals; `None` if all are in use.
    pub(super) fn begin_release(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.release_permits).try_acquire_owned().ok()
    }

    fn table(&self) -> MutexGuard<'_, ClaimTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
