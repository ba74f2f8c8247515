//! Isolates prompt parts that crash backend servers although no two requests with the part are equal.
//!
//! Several requests are in flight at a crash, and harmless requests share most of their parts. The
//! crashing part is in flight at many crashes, and no request with it ever completes. A completed
//! request therefore clears all its parts, at all daemons. A crash does not count against a part if
//! another part has more crashes, or if one repeated request has as many.
//!
//! Requests with a suspected part run one at a time, apart from other suspected requests. A part is
//! refused after three confirmed crashes that span [`MIN_SPAN`]: servers that end at the same time
//! interrupt all parts in flight there.

use {
    super::{CrashEvidence, CrashId, CrashMap, CrashRecord, SuspectList, counted, fingerprint},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Marks the fingerprint of a part; that of a request has this bit cleared.
const PART_BIT: u64 = 1 << 63;

/// Maximum parts of a prompt that are recorded, the last ones before the request's own.
pub const MAX_PARTS: usize = 16;

/// Maximum crashes recorded for a part. The latest one is replaced.
pub(super) const MAX_CRASHES: usize = 12;

/// Confirmed crashes after which requests with a part run one at a time, and after which they are
/// refused.
const CRASHES_TO_ISOLATE: usize = 2;
const CRASHES_TO_REFUSE: usize = 3;

/// Minimum time from the first to the last crash of a part that is refused. Servers that have a common
/// cause end within less.
const MIN_SPAN: Duration = Duration::from_millis(500);

/// Age of the evidence after which a part is refused although another one was in flight at the same
/// crashes: the harmless one of them has completed a request by then, and all daemons know of it.
const AMBIGUOUS_TIME: Duration = Duration::from_secs(2);

/// Returns the fingerprints of a prompt's parts other than the last one, which is the request's own.
/// `owner` is the scope in which the names of parts are unique.
pub fn part_fingerprints<'a>(
    owner: &str,
    parts: impl DoubleEndedIterator<Item = &'a [u8]>,
) -> Vec<u64> {
    let leading = parts.rev().skip(1).take(MAX_PARTS);
    leading.map(|part| fingerprint(owner, &[part]) | PART_BIT).collect()
}

pub(super) fn is_part(fingerprint: u64) -> bool {
    fingerprint & PART_BIT != 0
}

/// Returns the fingerprint of a request, which is never that of a part.
pub(super) fn of_request(fingerprint: u64) -> u64 {
    fingerprint & !PART_BIT
}

/// Makes room for a crash; returns whether there is any.
pub(super) fn make_crash_room(crashes: &mut CrashMap, fingerprint: u64, crash: CrashId) -> bool {
    let is_part = is_part(fingerprint);
    let limit = if is_part { MAX_CRASHES } else { super::MAX_CRASHES };
    if crashes.len() < limit || crashes.contains_key(&crash) {
        return true;
    }
    if !is_part {
        return false;
    }
    let latest = crashes.iter().max_by_key(|(_, record)| record.since);
    if let Some(latest) = latest.map(|(crash, _)| *crash) {
        crashes.remove(&latest);
    }
    true
}

impl SuspectList {
    /// Returns whether requests with this part run one at a time.
    pub fn is_part_isolated(&self, now: Instant, part: u64) -> bool {
        self.part_crashes(now, part).len() >= CRASHES_TO_ISOLATE
    }

    /// Returns whether requests with this part are refused.
    pub fn is_part_refused(&self, now: Instant, part: u64) -> bool {
        let crashes = self.part_crashes(now, part);
        let times = || crashes.values().map(|record| record.since);
        let (Some(first), Some(last)) = (times().min(), times().max()) else { return false };
        let age = now.saturating_duration_since(first);
        crashes.len() >= CRASHES_TO_REFUSE
            && last.saturating_duration_since(first) >= MIN_SPAN
            && (age >= AMBIGUOUS_TIME || !self.is_part_ambiguous(now, part, &crashes))
    }

    /// Returns the confirmed crashes of a part that nothing else explains.
    fn part_crashes(&self, now: Instant, part: u64) -> BTreeMap<CrashId, CrashRecord> {
        let Some(crashes) = self.records.get(&part) else { return BTreeMap::new() };
        let own = counted(now, crashes).count();
        if own < CRASHES_TO_ISOLATE {
            return BTreeMap::new();
        }
        let explaining: Vec<_> = self
            .records
            .iter()
            .filter(|(other, _)| **other != part)
            .filter(|(other, records)| match is_part(**other) {
                true => records.len() > own && counted(now, records).count() > own,
                false => records.len() >= own && counted(now, records).count() >= own,
            })
            .collect();
        let is_explained = |crash: &CrashId| {
            explaining
                .iter()
                .any(|(_, records)| records.get(crash).is_some_and(|record| record.counts(now)))
        };
        let confirmed = crashes.iter().filter(|(crash, record)| {
            record.evidence == CrashEvidence::Confirmed
                && record.is_retained(now)
                && !is_explained(crash)
        });
        confirmed.map(|(crash, record)| (*crash, *record)).collect()
    }

    /// Returns whether another part was in flight at all these crashes.
    fn is_part_ambiguous(
        &self,
        now: Instant,
        part: u64,
        crashes: &BTreeMap<CrashId, CrashRecord>,
    ) -> bool {
        self.records.iter().any(|(other, records)| {
            let counts = |crash| records.get(crash).is_some_and(|record| record.counts(now));
            *other != part && is_part(*other) && crashes.keys().all(counts)
        })
    }

    /// Returns whether a part that is refused was in flight at a crash.
    pub(super) fn is_explained_by_part(&self, now: Instant, crash: CrashId) -> bool {
        let mut with_crash = self.records.iter().filter(|(other, records)| {
            is_part(**other) && records.get(&crash).is_some_and(|record| record.counts(now))
        });
        with_crash.any(|(part, _)| self.is_part_refused(now, *part))
    }
}
