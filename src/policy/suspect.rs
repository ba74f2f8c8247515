//! Isolates requests that crash backend servers.
//!
//! A request that crashes the server running it is usually sent again, by its caller or by a retry.
//! Without isolation, each resend takes down another server together with all requests in flight
//! there.
//!
//! Each request in flight when a connection breaks is recorded by its fingerprint, which is the same
//! for every resend, together with the server. A recorded fingerprint runs on a server only while no
//! other recorded one runs there, and only one request with it runs at a time. After two crashes it
//! is refused. If other fingerprints were in flight at the same two crashes, a third crash decides
//! which of them is refused. A third one is also needed where other causes are likely: if the server
//! had begun to respond, since most requests that crash servers do so at once, or if several servers
//! ended at the same time, since a request runs on one server at a time.
//!
//! A broken connection alone does not show whether the server has crashed. What is learned later
//! only ever moves the evidence forward: pending, confirmed, cleared. It is confirmed if the server
//! refuses connections, is no longer listed or has another incarnation, and cleared if the server
//! identifies itself in a later response, or if a request with the fingerprint completes. A server
//! list is no evidence, because a crashed server remains listed for seconds. Since each step is
//! final, reports of several daemons can be merged in any order.
//!
//! A daemon whose own links fail sees the connections to all servers break. It therefore reports
//! pending evidence after a delay and not while it doubts its links, and clears it once it knows that
//! they have failed. Responses on its other connections show nothing, since those may live on while new
//! ones break. A daemon that gets a response from the server itself knows that it has not ended, and
//! ignores the report.

mod parts;

pub use self::parts::{MAX_PARTS, part_fingerprints};

use {
    self::parts::{is_part, make_crash_room},
    super::prefix::ServerIndex,
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// Crashes after which a fingerprint is refused. One crash is not sufficient evidence, since other
/// requests are in flight at the same time, up to the server's slots.
pub const CRASHES_TO_REFUSE: usize = 2;

/// Crashes after which a fingerprint is refused on weaker evidence.
const WEAK_CRASHES_TO_REFUSE: usize = 3;

/// Number of servers whose end within [`SIMULTANEOUS`] has another cause than a request.
const SIMULTANEOUS_ENDS: usize = 3;

/// Time span in which the connections to servers break that end together. A request that crashes its
/// servers needs this long to end that many of them.
const SIMULTANEOUS: Duration = Duration::from_millis(200);

/// Maximum number of fingerprints; the one with the oldest crash is evicted first.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes recorded for the fingerprint of a request.
const MAX_CRASHES: usize = 4;

/// Maximum number of servers that are recorded as ended at the same time.
const MAX_ENDS: usize = 64;

/// Maximum number of reports in a digest.
pub const MAX_PUBLISHED: usize = 128;

/// Retention of evidence that is neither confirmed nor cleared: longer than a restart and the lag of
/// the server list together, since the list then shows whether the server has ended.
const PENDING_RETENTION: Duration = Duration::from_secs(10);

/// Delay of reports on pending evidence. In this time a daemon begins to doubt its links if they have
/// failed, and a refused connection confirms most crashes.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// How long pending evidence is not reported after the last doubt of the daemon's own links.
const DOUBT_TIME: Duration = Duration::from_secs(3);

/// Retention of confirmed crashes. Callers stop resending within minutes.
const CONFIRMED_RETENTION: Duration = Duration::from_secs(600);

/// How long the only crash of a fingerprint is reported. Each crash interrupts harmless requests whose
/// callers do not return, and which are therefore never cleared.
const SINGLE_REPORT_TIME: Duration = Duration::from_secs(30);

/// Retention of cleared evidence, in which all daemons learn that it is cleared.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);

/// Bits of a fingerprint that depend on the organisation alone.
const ORGANISATION_BITS: u32 = 24;

/// Returns the fingerprint of a request with these parts. Its upper bits depend on the organisation
/// alone, so that no request of one organisation can be made to collide with one of another, whose
/// requests would then be refused with it.
pub fn fingerprint(organisation: &str, parts: &[&[u8]]) -> u64 {
    let mut content = Xxh3::new();
    for part in parts {
        content.update(&(part.len() as u64).to_le_bytes());
        content.update(part);
    }
    let content_bits = u64::BITS - ORGANISATION_BITS;
    let organisation = xxh3_64(organisation.as_bytes()) >> content_bits << content_bits;
    parts::of_request(organisation | content.digest() >> ORGANISATION_BITS)
}

/// Identifier of a crash: a hash of the server and its incarnation, equal on every daemon.
pub type CrashId = u64;

/// What is known about a crash at which a request was in flight. Later states replace earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The connection broke.
    Pending,
    /// The server has ended.
    Confirmed,
    /// The server did not end, or the request was not the cause.
    Cleared,
}

impl CrashEvidence {
    fn retention(self) -> Duration {
        match self {
            CrashEvidence::Pending => PENDING_RETENTION,
            CrashEvidence::Confirmed => CONFIRMED_RETENTION,
            CrashEvidence::Cleared => CLEARED_RETENTION,
        }
    }
}

/// Evidence as daemons report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request. As a hash it takes fewer bytes in a fixed length.
    #[serde(with = "postcard::fixint::le")]
    pub fingerprint: u64,
    /// The crash.
    #[serde(with = "postcard::fixint::le")]
    pub crash: CrashId,
    /// What is known about it.
    pub evidence: CrashEvidence,
    /// Whether another cause is likely.
    pub is_weak: bool,
    /// Time since the state of the evidence was reached, in whole tenths of a second, so that a report
    /// is small and never older than the evidence.
    pub age_tenths: u32,
}

impl CrashReport {
    /// Time since the state of the evidence was reached.
    pub fn age(&self) -> Duration {
        Duration::from_millis(100) * self.age_tenths
    }

    /// Returns the report as it is after another `elapsed`.
    #[must_use]
    pub fn aged(self, elapsed: Duration) -> Self {
        CrashReport { age_tenths: whole_tenths(self.age() + elapsed), ..self }
    }
}

fn whole_tenths(time: Duration) -> u32 {
    u32::try_from(time.as_millis() / 100).unwrap_or(u32::MAX)
}

/// The server on which a request ran when its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSite {
    /// Identifier of the crash.
    pub crash: CrashId,
    /// Index of the server.
    pub server: ServerIndex,
    /// Incarnation of the server, if known.
    pub incarnation: Option<Incarnation>,
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    evidence: CrashEvidence,
    /// When the state of the evidence was reached.
    since: Instant,
    /// Whether another cause is likely: the server had begun to respond, or several servers ended at
    /// the same time.
    is_weak: bool,
    /// The server, if this daemon observed the crash and the server is still listed.
    site: Option<CrashSite>,
    /// Whether this daemon observed the crash.
    is_own: bool,
}

impl CrashRecord {
    fn is_retained(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < self.evidence.retention()
    }

    fn counts(&self, now: Instant) -> bool {
        self.evidence != CrashEvidence::Cleared && self.is_retained(now)
    }

    /// Moves the evidence forward; returns whether it changed.
    fn advance(&mut self, now: Instant, evidence: CrashEvidence) -> bool {
        let advances = evidence > self.evidence;
        if advances {
            (self.evidence, self.since) = (evidence, now);
        }
        advances
    }
}

/// Crashes of one fingerprint; at most [`MAX_CRASHES`], or of a part
/// [`parts::MAX_CRASHES`].
type CrashMap = BTreeMap<CrashId, CrashRecord>;

/// Fingerprints of requests that were in flight when a server crashed.
#[derive(Debug, Default)]
pub struct SuspectList {
    /// Holds at most [`MAX_SUSPECTS`] entries.
    records: BTreeMap<u64, CrashMap>,
    /// Servers that ended within [`SIMULTANEOUS`], and when; at most [`MAX_ENDS`].
    ends: BTreeMap<CrashId, Instant>,
}

impl SuspectList {
    /// Returns the number of crashes that a fingerprint may have caused. Crashes that another
    /// fingerprint with more crashes explains do not count.
    pub fn crash_count(&self, now: Instant, fingerprint: u64) -> usize {
        self.unexplained(now, fingerprint).count()
    }

    /// Returns the records of the crashes that no other fingerprint explains.
    fn unexplained(&self, now: Instant, fingerprint: u64) -> impl Iterator<Item = &CrashRecord> {
        let crashes = self.records.get(&fingerprint);
        let own = crashes.map_or(0, |crashes| counted(now, crashes).count());
        let is_explained = move |crash: CrashId| {
            let is_explained = self.records.iter().any(|(key, other)| {
                // Most fingerprints have one crash, so that the lengths decide.
                !is_part(*key)
                    && other.len() > own
                    && other.get(&crash).is_some_and(|record| record.counts(now))
                    && counted(now, other).count() > own
            });
            is_explained || self.is_explained_by_part(now, crash)
        };
        crashes
            .into_iter()
            .flatten()
            .filter(move |(crash, record)| record.counts(now) && !is_explained(**crash))
            .map(|(_, record)| record)
    }

    /// Returns whether requests with this fingerprint are refused.
    pub fn is_refused(&self, now: Instant, fingerprint: u64) -> bool {
        let crash_count = self.crash_count(now, fingerprint);
        let strong = || self.unexplained(now, fingerprint).filter(|record| !record.is_weak);
        crash_count >= WEAK_CRASHES_TO_REFUSE
            || (crash_count >= CRASHES_TO_REFUSE
                && strong().count() >= CRASHES_TO_REFUSE
                && !self.is_ambiguous(now, fingerprint))
    }

    /// Returns whether another fingerprint was in flight at all crashes of this one.
    fn is_ambiguous(&self, now: Instant, fingerprint: u64) -> bool {
        let Some(crashes) = self.records.get(&fingerprint) else { return false };
        let was_in_flight = |other: &CrashMap| {
            other.len() >= CRASHES_TO_REFUSE
                && counted(now, crashes)
                    .all(|crash| other.get(&crash).is_some_and(|record| record.counts(now)))
        };
        self.records.iter().any(|(other, records)| {
            *other != fingerprint && !is_part(*other) && was_in_flight(records)
        })
    }

    /// Records that a request was in flight when its connection to a server broke, and whether the
    /// server had begun to respond.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: u64,
        site: CrashSite,
        responded: bool,
    ) {
        self.make_room(fingerprint);
        let crashes = self.records.entry(fingerprint).or_default();
        crashes.retain(|_, record| record.is_retained(now));
        if !make_crash_room(crashes, fingerprint, site.crash) {
            return;
        }
        let record = crashes.entry(site.crash).or_insert(CrashRecord {
            evidence: CrashEvidence::Pending,
            since: now,
            is_weak: responded,
            site: Some(site),
            is_own: true,
        });
        (record.site, record.is_own) = (Some(site), true);
        record.is_weak |= responded;
        self.ends.retain(|_, at| now.saturating_duration_since(*at) < SIMULTANEOUS);
        let is_known = self.ends.contains_key(&site.crash);
        if self.ends.len() < MAX_ENDS {
            self.ends.entry(site.crash).or_insert(now);
        }
        if self.ends.len() >= SIMULTANEOUS_ENDS {
            record.is_weak = true;
            if !is_known {
                self.weaken_simultaneous();
            }
        }
    }

    /// Marks the evidence of servers that ended at the same time as weak.
    fn weaken_simultaneous(&mut self) {
        for crashes in self.records.values_mut() {
            for (crash, record) in crashes {
                record.is_weak |= self.ends.contains_key(crash);
            }
        }
    }

    /// Confirms the crashes of a server that has ended. Returns whether any were pending.
    pub fn confirm_crashes(&mut self, now: Instant, server: ServerIndex) -> bool {
        let mut changed = false;
        for record in self.own_records(server) {
            changed |= record.advance(now, CrashEvidence::Confirmed);
            // The index may be assigned to another server.
            record.site = None;
        }
        changed
    }

    /// Clears the pending crashes of a server that has identified itself by this incarnation in the
    /// response to a request sent at `sent`: it did not end before. Returns whether there were any.
    pub fn clear_crashes(
        &mut self,
        now: Instant,
        server: ServerIndex,
        incarnation: Incarnation,
        sent: Instant,
    ) -> bool {
        let mut changed = false;
        for record in self.own_records(server) {
            let is_same = record.site.is_some_and(|site| site.incarnation == Some(incarnation));
            if is_same && record.evidence == CrashEvidence::Pending && record.since < sent {
                changed |= record.advance(now, CrashEvidence::Cleared);
            }
        }
        changed
    }

    /// Clears the pending evidence of others on a crash, because the server has responded to a request
    /// that this daemon sent at `sent`. The others are not told: they get such responses themselves.
    pub fn refute_crash(&mut self, now: Instant, crash: CrashId, sent: Instant) {
        for crashes in self.records.values_mut() {
            let record = crashes.get_mut(&crash).filter(|record| {
                !record.is_own && record.evidence == CrashEvidence::Pending && record.since < sent
            });
            if let Some(record) = record {
                record.advance(now, CrashEvidence::Cleared);
            }
        }
    }

    /// Clears a fingerprint after a request with it completed.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) {
        for record in self.records.get_mut(&fingerprint).into_iter().flatten() {
            record.1.advance(now, CrashEvidence::Cleared);
            // The other daemons may have recorded the same crash.
            record.1.is_own = true;
        }
    }

    /// Merges the reports of another daemon. Returns whether they contained anything new.
    pub fn merge_reports(&mut self, now: Instant, reports: &[CrashReport]) -> bool {
        let mut changed = false;
        for report in reports.iter().take(MAX_PUBLISHED) {
            let age = report.age();
            let Some(since) = now.checked_sub(age) else { continue };
            if age >= report.evidence.retention() {
                continue;
            }
            self.make_room(report.fingerprint);
            let crashes = self.records.entry(report.fingerprint).or_default();
            crashes.retain(|_, record| record.is_retained(now));
            if let Some(record) = crashes.get_mut(&report.crash) {
                changed |= record.advance(since, report.evidence);
                changed |= report.is_weak && !record.is_weak;
                record.is_weak |= report.is_weak;
            } else if make_crash_room(crashes, report.fingerprint, report.crash) {
                let evidence = report.evidence;
                let is_weak = report.is_weak;
                let record = CrashRecord { evidence, since, is_weak, site: None, is_own: false };
                crashes.insert(report.crash, record);
                changed = true;
            }
        }
        changed
    }

    /// Clears the pending evidence that this daemon has observed, because its links had failed and not
    /// the servers.
    pub fn clear_own(&mut self, now: Instant) {
        for record in self.records.values_mut().flat_map(BTreeMap::values_mut) {
            if record.is_own && record.evidence == CrashEvidence::Pending {
                record.advance(now, CrashEvidence::Cleared);
            }
        }
    }

    /// Returns the reports on crashes that this daemon observed.
    pub fn own_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.reports(now, |record| record.is_own)
    }

    /// Returns those of [`Self::own_reports`] that other daemons may use. `doubted` is when this one last
    /// doubted its links to the servers.
    pub fn due_reports(&self, now: Instant, doubted: Option<Instant>) -> Vec<CrashReport> {
        let elapsed = |at| now.saturating_duration_since(at);
        let is_certain = doubted.is_none_or(|doubted| elapsed(doubted) >= DOUBT_TIME);
        self.reports(now, |record| {
            let is_due = record.evidence != CrashEvidence::Pending
                || (is_certain && elapsed(record.since) >= REPORT_DELAY);
            record.is_own && is_due
        })
    }

    /// Returns the reports on all crashes.
    pub fn all_reports(&self, now: Instant) -> Vec<CrashReport> {
        self.reports(now, |_| true)
    }

    /// Returns at most [`MAX_PUBLISHED`] reports, fingerprints with the most crashes first, and then
    /// the latest.
    fn reports(&self, now: Instant, included: impl Fn(&CrashRecord) -> bool) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (fingerprint, crashes) in &self.records {
            // That a part is cleared is as important as its crashes.
            let crash_count = match is_part(*fingerprint) {
                true => crashes.len(),
                false => counted(now, crashes).count(),
            };
            for (crash, record) in crashes {
                let age = now.saturating_duration_since(record.since);
                let is_due = crash_count > 1 || age < SINGLE_REPORT_TIME;
                if included(record) && record.is_retained(now) && is_due {
                    let report = CrashReport {
                        fingerprint: *fingerprint,
                        crash: *crash,
                        evidence: record.evidence,
                        is_weak: record.is_weak,
                        age_tenths: whole_tenths(age),
                    };
                    reports.push((Reverse(crash_count), age, report));
                }
            }
        }
        reports.sort_by_key(|(rank, age, report)| (*rank, *age, report.fingerprint, report.crash));
        reports.truncate(MAX_PUBLISHED);
        let mut reports: Vec<CrashReport> =
            reports.into_iter().map(|(_, _, report)| report).collect();
        reports.sort_by_key(|report| (report.fingerprint, report.crash));
        reports
    }

    fn own_records(&mut self, server: ServerIndex) -> impl Iterator<Item = &mut CrashRecord> {
        self.records
            .values_mut()
            .flat_map(BTreeMap::values_mut)
            .filter(move |record| record.site.is_some_and(|site| site.server == server))
    }

    fn make_room(&mut self, fingerprint: u64) {
        if self.records.len() < MAX_SUSPECTS || self.records.contains_key(&fingerprint) {
            return;
        }
        let latest = |crashes: &CrashMap| crashes.values().map(|record| record.since).max();
        let oldest = self.records.iter().min_by_key(|(_, crashes)| latest(crashes));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&oldest);
        }
    }
}

fn counted(now: Instant, crashes: &CrashMap) -> impl Iterator<Item = CrashId> {
    crashes.iter().filter(move |(_, record)| record.counts(now)).map(|(crash, _)| *crash)
}
