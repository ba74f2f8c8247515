//! Which evidence shows that a part of prompts crashes servers, and that the others in flight do not.

use {
    oleandermount::policy::suspect::{
        CrashEvidence, CrashReport, CrashSite, SuspectList, fingerprint, part_fingerprints,
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::time::{Duration, Instant},
};

const INCARNATION: u64 = 7;

/// The fingerprints of a crashing part, and of one that harmless requests share.
fn parts() -> (u64, u64) {
    (part("crashing"), part("shared"))
}

fn part(name: &str) -> u64 {
    part_fingerprints("", [name.as_bytes(), b"own"].into_iter())[0]
}

fn request(number: u64) -> u64 {
    fingerprint("o1", &[&number.to_le_bytes()])
}

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Records a confirmed crash of a server at which requests with these fingerprints were in flight.
fn crash(list: &mut SuspectList, now: Instant, server: usize, fingerprints: &[u64]) {
    let site = CrashSite { crash: server as u64, server, incarnation: Some(INCARNATION) };
    for fingerprint in fingerprints {
        list.record_crash(now, *fingerprint, site, true);
    }
    list.confirm_crashes(now, server);
}

/// Guards against requests with one part in common, no two alike, that end server after server, and against
/// the refusal of the harmless requests beside them.
#[test]
fn completions_tell_parts_apart() {
    let (mut list, began) = (SuspectList::default(), Instant::now());
    let (crashing, shared) = parts();
    for number in 0..3 {
        let now = began + millis(400) * number;
        crash(&mut list, now, number as usize, &[crashing, shared, request(number.into())]);
        list.clear(now + millis(50), shared);
    }
    let now = began + millis(900);
    assert!(list.is_part_refused(now, crashing));
    assert!(!list.is_part_isolated(now, shared) && !list.is_part_refused(now, shared));
    assert!(
        (0..3).all(|number| list.crash_count(now, request(number)) == 0),
        "the part explains it"
    );
}

/// Guards against harmless requests that are refused until one of them has completed elsewhere.
#[test]
fn ambiguous_parts_wait() {
    let (mut list, began) = (SuspectList::default(), Instant::now());
    let (crashing, shared) = parts();
    for number in 0..4 {
        let now = began + millis(300) * number;
        crash(&mut list, now, number as usize, &[crashing, shared, request(number.into())]);
    }
    let now = began + millis(1_000);
    assert!(list.is_part_isolated(now, crashing) && !list.is_part_refused(now, crashing));
    assert!(!list.is_part_refused(now, shared));
    // No request with either completes.
    assert!(list.is_part_refused(began + millis(2_000), crashing));
}

/// Guards against a harmless part that is refused because many servers ended together, for example with
/// their failure domain.
#[test]
fn simultaneous_ends_refuse_no_part() {
    let (mut list, began) = (SuspectList::default(), Instant::now());
    for server in 0..8 {
        let now = began + millis(20) * server;
        crash(&mut list, now, server as usize, &[part("shared"), request(server.into())]);
    }
    assert!(!list.is_part_refused(began + millis(5_000), part("shared")));
}

/// Guards against parts that are refused because one request with them was sent repeatedly, and against its
/// later refusal because of them.
#[test]
fn repeated_request_explains_parts() {
    let (mut list, began) = (SuspectList::default(), Instant::now());
    let (own, shared) = (part("own subject"), part("shared"));
    for number in 0..2 {
        let now = began + millis(600) * number;
        let site =
            CrashSite { crash: number.into(), server: number as usize, incarnation: Some(1) };
        for fingerprint in [own, shared, request(1)] {
            list.record_crash(now, fingerprint, site, false);
        }
        list.confirm_crashes(now, number as usize);
    }
    let now = began + millis(700);
    assert!(list.is_refused(now, request(1)), "after two crashes, as without parts");
    crash(&mut list, now, 2, &[own, shared, request(1)]);
    assert!(!list.is_part_refused(began + millis(5_000), own));
}

/// Guards against a part that stays refused though a request with it, sent before, has completed.
#[test]
fn completion_clears_part_everywhere() {
    let (mut list, mut other, began) =
        (SuspectList::default(), SuspectList::default(), Instant::now());
    let shared = part("shared");
    for number in 0..3 {
        let now = began + millis(400) * number;
        crash(&mut list, now, number as usize, &[shared, request(number.into())]);
    }
    let now = began + millis(1_000);
    assert!(list.is_part_refused(now, shared));
    other.merge_reports(now, &list.own_reports(now));
    assert!(other.is_part_refused(now, shared));
    other.clear(now, shared);
    let reports = other.own_reports(now);
    let is_cleared = |report: &&CrashReport| report.evidence == CrashEvidence::Cleared;
    assert_eq!(reports.iter().filter(is_cleared).count(), 3, "{reports:?}");
    list.merge_reports(now, &reports);
    assert!(!list.is_part_refused(now, shared));
}

/// Parts of one scope say nothing of those of another, and the last part is the request's own.
#[test]
fn parts_are_scoped() {
    let names = ["a", "b", "c"].map(str::as_bytes);
    let shared = part_fingerprints("", names.into_iter());
    let isolated = part_fingerprints("o1", names.into_iter());
    assert_eq!(shared.len(), 2);
    assert!(shared.iter().all(|part| !isolated.contains(part)));
    assert!(part_fingerprints("", [b"a".as_slice()].into_iter()).is_empty());
}

const STEP: Duration = Duration::from_millis(50);
/// Steps that a stream runs, from an entry to its control VM, and from there to all entries.
const RUN_STEPS: usize = 8;
const STEPS_TO_CONTROL: usize = 1;
const STEPS_TO_OTHERS: usize = 12;
/// Steps after which reports are sent again.
const SHARE_STEPS: usize = 4;

/// A sound stream in flight.
struct RunningStream {
    entry: usize,
    server: usize,
    ends_at: usize,
    fingerprints: [u64; 3],
}

/// A message that arrives at a control VM, or at it and all entries that follow it.
struct DelayedReports {
    step: usize,
    domain: usize,
    to_entries: bool,
    reports: Vec<CrashReport>,
}

/// Entries, control VMs and servers in steps of virtual time: ten requests a second with the crashing part, each
/// at a random entry, and sound streams that share the other parts.
struct PartFleet {
    servers: usize,
    streams_a_step: usize,
    random: Xoshiro256PlusPlus,
    entries: Vec<SuspectList>,
    control: Vec<SuspectList>,
    sent: Vec<DelayedReports>,
    running: Vec<RunningStream>,
    ends: Vec<usize>,
    /// Sound streams by step of arrival: all, and those that were refused.
    arrived: Vec<(usize, usize)>,
}

impl PartFleet {
    fn new(entries: usize, domains: usize, servers: usize, streams_a_step: usize) -> Self {
        PartFleet {
            servers,
            streams_a_step,
            random: Xoshiro256PlusPlus::seed_from_u64(5),
            entries: (0..entries).map(|_| SuspectList::default()).collect(),
            control: (0..domains).map(|_| SuspectList::default()).collect(),
            sent: Vec::new(),
            running: Vec::new(),
            ends: Vec::new(),
            arrived: Vec::new(),
        }
    }

    fn below(&mut self, count: usize) -> usize {
        (self.random.next_u64() % count as u64) as usize
    }

    fn run(&mut self, began: Instant, steps: usize) {
        for step in 0..steps {
            let now = began + STEP * step as u32;
            self.deliver(now, step);
            self.end_streams(now, step);
            self.begin_streams(now, step);
            if step > 40 && step.is_multiple_of(2) {
                self.send_crashing(now, step);
            }
            self.share(now, step);
        }
    }

    fn deliver(&mut self, now: Instant, step: usize) {
        let domains = self.control.len();
        for message in self.sent.extract_if(.., |message| message.step <= step) {
            self.control[message.domain].merge_reports(now, &message.reports);
            if message.to_entries {
                let members = self.entries.iter_mut().skip(message.domain).step_by(domains);
                members.for_each(|entry| {
                    entry.merge_reports(now, &message.reports);
                });
            }
        }
    }

    fn end_streams(&mut self, now: Instant, step: usize) {
        for stream in self.running.extract_if(.., |stream| stream.ends_at <= step) {
            for fingerprint in stream.fingerprints {
                self.entries[stream.entry].clear(now, fingerprint);
            }
        }
    }

    fn begin_streams(&mut self, now: Instant, step: usize) {
        let mut refused = 0;
        for _ in 0..self.streams_a_step {
            let (entry, server) = (self.below(self.entries.len()), self.below(self.servers));
            let first = part(&format!("first {}", self.below(4)));
            let middle = part(&format!("middle {}", self.below(100)));
            let list = &self.entries[entry];
            if list.is_part_refused(now, first) || list.is_part_refused(now, middle) {
                refused += 1;
                continue;
            }
            let fingerprints = [first, middle, request(self.random.next_u64())];
            let ends_at = step + RUN_STEPS;
            self.running.push(RunningStream { entry, server, ends_at, fingerprints });
        }
        self.arrived.push((self.streams_a_step, refused));
    }

    /// A request with the crashing part behind a first part that sound streams share.
    fn send_crashing(&mut self, now: Instant, step: usize) {
        let (entry, server) = (self.below(self.entries.len()), self.below(self.servers));
        let crashing = part("crashing");
        if self.entries[entry].is_part_refused(now, crashing) {
            return;
        }
        self.ends.push(step);
        let crash_id = self.random.next_u64();
        let site = CrashSite { crash: crash_id, server, incarnation: Some(INCARNATION) };
        let own = [crashing, part("first 0"), request(self.random.next_u64())];
        let lost = self.running.extract_if(.., |stream| stream.server == server);
        let lost = lost.map(|stream| (stream.entry, stream.fingerprints));
        for (entry, fingerprints) in lost.chain([(entry, own)]) {
            let list = &mut self.entries[entry];
            for fingerprint in fingerprints {
                list.record_crash(now, fingerprint, site, true);
            }
            list.confirm_crashes(now, server);
        }
    }

    fn share(&mut self, now: Instant, step: usize) {
        let domains = self.control.len();
        for (entry, list) in self.entries.iter().enumerate() {
            if !(step + entry).is_multiple_of(SHARE_STEPS) {
                continue;
            }
            let reports = list.own_reports(now);
            if !reports.is_empty() {
                let (domain, step) = (entry % domains, step + STEPS_TO_CONTROL);
                self.sent.push(DelayedReports { step, domain, to_entries: false, reports });
            }
        }
        if step.is_multiple_of(SHARE_STEPS) {
            for list in &self.control {
                let reports = list.all_reports(now);
                let step = step + STEPS_TO_OTHERS;
                self.sent.extend((0..domains).map(|domain| DelayedReports {
                    step,
                    domain,
                    to_entries: true,
                    reports: reports.clone(),
                }));
            }
        }
    }
}

/// Guards against servers that end one after the other at a fleet of any size, and against sound requests
/// that are refused since they share a part with those that end them.
#[test]
fn fleet_refuses_part_soon() {
    for (entries, domains, servers, streams) in [(6, 3, 24, 2), (295, 7, 320, 40)] {
        let mut fleet = PartFleet::new(entries, domains, servers, streams);
        fleet.run(Instant::now(), 280);
        let ended = fleet.ends.len();
        let fifth = fleet.ends[4];
        // The stated aim: at most three later than three seconds after the fifth.
        let late = fleet.ends.iter().filter(|step| **step > fifth + 60).count();
        let refused: usize = fleet.arrived.iter().map(|(_, refused)| refused).sum();
        let after = fleet.arrived.iter().skip(fifth + 120);
        let refused_after: usize = after.map(|(_, refused)| refused).sum();
        println!("{entries} entries: {ended} ended, {late} late, {refused} sound streams refused");
        assert!(late <= 3, "{entries} entries: {late} of {ended}");
        assert_eq!(refused_after, 0, "{entries} entries");
        assert!(refused * 100 <= 280 * streams, "{entries} entries: {refused} refused");
    }
}
