//! Isolates requests that crash backend servers.
//!
//! A request that crashes the server running it is usually sent again, by its caller or by a retry.
//! Without isolation, each resend takes down another server together with all requests in flight
//! there.
//!
//! Each request in flight at a crash is recorded by its fingerprint, which is the same for every
//! resend. A recorded fingerprint runs on a server only while no other recorded one runs there, and
//! only one request with it runs at a time, so that a second crash identifies it; after two crashes
//! it is refused. A fingerprint is cleared once a request with it completes. If a broken connection
//! turns out not to be a crash, because the server reports the same incarnation again, the crash is
//! retracted. Daemons that exchange digests lose at most two servers to one request.

use {
    super::prefix::ServerIndex,
    crate::ids::Incarnation,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Crashes after which a fingerprint is refused. One crash is not sufficient evidence, since other
/// requests are in flight at the same time, up to the server's slots. The second crash happens
/// while no other recorded fingerprint runs on the server.
pub const CRASHES_TO_REFUSE: u32 = 2;

/// Maximum number of fingerprints; the one with the oldest crash is evicted first.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of fingerprints in a digest.
pub const MAX_PUBLISHED: usize = 64;

/// Retention of crashes seen by this daemon. Callers stop resending within minutes.
const OWN_RETENTION: Duration = Duration::from_secs(600);

/// Retention of crash counts below the limit that another daemon reported. It repeats them in every
/// digest until the fingerprint is cleared.
const PEER_RETENTION: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct SuspectRecord {
    /// Crashes seen by this daemon, as server and incarnation; one entry for each crash.
    crashes: Vec<(ServerIndex, Option<Incarnation>)>,
    /// When the last of them was recorded.
    last_crash_at: Option<Instant>,
    /// Crash count reported by another daemon, and when.
    peer_report: Option<(u32, Instant)>,
}

impl SuspectRecord {
    fn crash_count(&self, now: Instant) -> u32 {
        let own = match self.last_crash_at {
            Some(at) if now.saturating_duration_since(at) < OWN_RETENTION => {
                self.crashes.len() as u32
            }
            _ => 0,
        };
        let peer_report = match self.peer_report {
            Some((crash_count, at)) => {
                let retention =
                    if crash_count >= CRASHES_TO_REFUSE { OWN_RETENTION } else { PEER_RETENTION };
                if now.saturating_duration_since(at) < retention { crash_count } else { 0 }
            }
            None => 0,
        };
        own.max(peer_report)
    }
}

/// Fingerprints of requests that were in flight when a server crashed.
#[derive(Debug, Default)]
pub struct SuspectList {
    /// Holds at most [`MAX_SUSPECTS`] entries.
    records: BTreeMap<u64, SuspectRecord>,
}

impl SuspectList {
    /// Returns the number of crashes recorded for a fingerprint.
    pub fn crash_count(&self, now: Instant, fingerprint: u64) -> u32 {
        self.records.get(&fingerprint).map_or(0, |record| record.crash_count(now))
    }

    /// Records that a request was in flight when `server` appeared to crash.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: u64,
        server: ServerIndex,
        incarnation: Option<Incarnation>,
    ) {
        self.make_room(fingerprint);
        let record = self.records.entry(fingerprint).or_insert_with(|| SuspectRecord {
            crashes: Vec::new(),
            last_crash_at: None,
            peer_report: None,
        });
        if record.crashes.contains(&(server, incarnation)) || record.crashes.len() >= 8 {
            return;
        }
        // The crashes that another daemon reported are added to this one, which only this daemon
        // observed. An unknown server represents each of them.
        if let Some((crash_count, _)) = record.peer_report {
            while (record.crashes.len() as u32) < crash_count.min(CRASHES_TO_REFUSE) {
                record.crashes.push((ServerIndex::MAX, None));
            }
        }
        record.crashes.push((server, incarnation));
        record.last_crash_at = Some(now);
    }

    /// Removes the crashes of `server` with this incarnation: it still runs, so it did not crash.
    pub fn retract_crash(&mut self, server: ServerIndex, incarnation: Incarnation) {
        for record in self.records.values_mut() {
            record.crashes.retain(|crash| *crash != (server, Some(incarnation)));
        }
        self.records.retain(|_, record| !record.crashes.is_empty() || record.peer_report.is_some());
    }

    /// Removes a fingerprint after a request with it completed.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Merges crash counts reported by another daemon.
    pub fn merge_peer_report(&mut self, now: Instant, reported: &[(u64, u32)]) {
        for (fingerprint, crash_count) in reported.iter().take(MAX_PUBLISHED) {
            self.make_room(*fingerprint);
            let record = self.records.entry(*fingerprint).or_insert_with(|| SuspectRecord {
                crashes: Vec::new(),
                last_crash_at: None,
                peer_report: None,
            });
            let stronger = record.peer_report.filter(|(before, _)| {
                *before >= CRASHES_TO_REFUSE && *crash_count < CRASHES_TO_REFUSE
            });
            if stronger.is_none() {
                record.peer_report = Some((*crash_count, now));
            }
        }
    }

    /// Returns the fingerprints with crashes seen by this daemon, highest count first, for digests.
    pub fn published(&self, now: Instant) -> Vec<(u64, u32)> {
        let mut published: Vec<(u64, u32)> = self
            .records
            .iter()
            .filter(|(_, record)| record.last_crash_at.is_some() && !record.crashes.is_empty())
            .map(|(fingerprint, record)| (*fingerprint, record.crash_count(now)))
            .filter(|(_, crash_count)| *crash_count > 0)
            .collect();
        published.sort_by_key(|(fingerprint, crash_count)| {
            (std::cmp::Reverse(*crash_count), *fingerprint)
        });
        published.truncate(MAX_PUBLISHED);
        published
    }

    /// Returns whether no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn make_room(&mut self, fingerprint: u64) {
        if self.records.len() < MAX_SUSPECTS || self.records.contains_key(&fingerprint) {
            return;
        }
        let at =
            |record: &SuspectRecord| record.last_crash_at.max(record.peer_report.map(|(_, at)| at));
        let oldest = self.records.iter().min_by_key(|(_, record)| at(record));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&oldest);
        }
    }
}
