//! Assigns an entry to each backend server that leases the server's slots, as its arbiter.

use {
    super::FleetSnapshot,
    crate::{ids::VmId, policy::slot_leases::choose_arbiter},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

/// How long an entry counts after it was last known to poll: a control VM knows the entries of others
/// from random samples, in which each entry appears after some seconds at the latest.
const ENTRY_RETENTION: Duration = Duration::from_secs(6);
/// A control VM assigns no arbiters for this time after the first entry has polled it. Until then it knows
/// too few of them, and each change of an arbiter interrupts the leases of its servers.
const WARM_UP: Duration = Duration::from_secs(3);
/// Maximum number of entries: several times the design size.
const MAX_ENTRIES: usize = 2_048;

/// The entries that can be arbiters.
#[derive(Debug, Default)]
pub struct ArbiterAssignment {
    /// When each entry was last known to poll; at most [`MAX_ENTRIES`].
    entries: BTreeMap<VmId, Instant>,
    /// When the first entry was known.
    first_known_at: Option<Instant>,
}

impl ArbiterAssignment {
    /// Records entries that poll.
    pub fn record_entries(&mut self, now: Instant, entries: impl IntoIterator<Item = VmId>) {
        self.entries.retain(|_, known_at| now - *known_at < ENTRY_RETENTION);
        for entry in entries {
            if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&entry) {
                self.entries.insert(entry, now);
                self.first_known_at.get_or_insert(now);
            }
        }
    }

    /// Assigns an entry to each server of a list, unless too few entries are known yet.
    pub fn assign(&self, now: Instant, snapshot: &mut FleetSnapshot) {
        if self.first_known_at.is_none_or(|known_at| now - known_at < WARM_UP) {
            return;
        }
        for server in &mut snapshot.servers {
            server.arbiter = choose_arbiter(&server.id, self.entries.keys()).cloned();
        }
    }
}
