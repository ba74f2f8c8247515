//! The claims of one daemon: the calls that it is at, and the oldest attempt that is not over.

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

/// Given-back attempts that the ledger is told of at a time. Further ones are covered by the floor.
const MOST_RETURNS: usize = 1024;

/// The claims of one daemon.
pub struct ActiveClaims {
    table: Mutex<ClaimTable>,
    returns: Arc<Semaphore>,
}

struct ClaimTable {
    /// The attempts that are not over, by call: of requests in flight, and of calls that were sent
    /// and whose end the ledger does not have yet. Without a quorum no call is sent, so that the
    /// drain gate bounds both.
    open: BTreeMap<LedgerKey, AttemptId>,
    /// Above every attempt so far.
    next: AttemptId,
}

impl ActiveClaims {
    /// None yet. The numbers of a later life's attempts are higher.
    pub fn new(incarnation: Incarnation) -> Self {
        let table = ClaimTable { open: BTreeMap::new(), next: AttemptId::from(incarnation) << 64 };
        ActiveClaims { table: Mutex::new(table), returns: Arc::new(Semaphore::new(MOST_RETURNS)) }
    }

    /// Begins an attempt; `None` while another one at the same call is not over.
    pub(super) fn enter(&self, key: &LedgerKey) -> Option<AttemptId> {
        let mut table = self.table();
        if table.open.contains_key(key) {
            return None;
        }
        let attempt = table.next;
        table.next += 1;
        table.open.insert(key.clone(), attempt);
        Some(attempt)
    }

    /// The attempt at this call is over: nothing will be sent under it any more, and what was sent
    /// has its end in the ledger.
    pub(super) fn leave(&self, key: &LedgerKey) {
        self.table().open.remove(key);
    }

    /// Numbers later attempts from `first` on, if they are not already.
    pub(super) fn skip_to(&self, first: AttemptId) {
        let mut table = self.table();
        table.next = table.next.max(first);
    }

    /// All attempts below this one are over; never falls.
    pub fn floor(&self) -> AttemptId {
        let table = self.table();
        table.open.values().min().copied().unwrap_or(table.next)
    }

    /// The right to tell the ledger of a given-back attempt; `None` when too many are being told.
    pub(super) fn begin_return(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.returns).try_acquire_owned().ok()
    }

    fn table(&self) -> MutexGuard<'_, ClaimTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
