//! Which evidence shows that a request crashes servers, and how long it counts.

use {
    oleandermount::policy::suspect::{CrashSite, SuspectList, fingerprint},
    std::time::{Duration, Instant},
};

const CRASHING: u64 = 1;
const HARMLESS: u64 = 2;
const INCARNATION: u64 = 7;

fn site(server: usize) -> CrashSite {
    CrashSite { crash: server as u64, server, incarnation: Some(INCARNATION) }
}

/// Records that both requests were in flight at the crashes of these servers.
fn record_both(list: &mut SuspectList, now: Instant, servers: &[usize]) {
    for server in servers {
        list.record_crash(now, CRASHING, site(*server), false);
        list.record_crash(now, HARMLESS, site(*server), false);
    }
}

#[test]
fn identified_server_clears_crash() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, HARMLESS, site(1), false);
    list.record_crash(now, HARMLESS, site(2), false);
    assert!(list.is_refused(now, HARMLESS));
    assert!(list.clear_crashes(now, 1, INCARNATION, now + Duration::from_millis(1)));
    assert_eq!(list.crash_count(now, HARMLESS), 1);
}

/// Guards against a response that was sent before the crash, and against one of the server's successor.
#[test]
fn other_responses_clear_nothing() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, CRASHING, site(1), false);
    assert!(!list.clear_crashes(now, 1, INCARNATION, now));
    assert!(!list.clear_crashes(now, 1, INCARNATION + 1, now + Duration::from_secs(1)));
    assert_eq!(list.crash_count(now, CRASHING), 1);
}

/// Guards against a server that returns under the same name and thereby clears its own crash.
#[test]
fn confirmed_crash_stays() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, CRASHING, site(1), false);
    assert!(list.confirm_crashes(now, 1));
    let later = now + Duration::from_secs(60);
    assert!(!list.clear_crashes(later, 1, INCARNATION, later));
    assert_eq!(list.crash_count(later, CRASHING), 1);
}

/// Connections that break without further evidence, for example at a network partition, must not refuse a
/// request for long.
#[test]
fn unconfirmed_crash_expires() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, HARMLESS, site(1), false);
    list.record_crash(now, HARMLESS, site(2), false);
    assert!(list.is_refused(now, HARMLESS));
    assert_eq!(list.crash_count(now + Duration::from_secs(10), HARMLESS), 0);
}

/// Guards against a harmless request that is refused because it ran beside a crashing one twice.
#[test]
fn third_crash_decides() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    record_both(&mut list, now, &[1, 2]);
    assert!(!list.is_refused(now, CRASHING) && !list.is_refused(now, HARMLESS));
    list.record_crash(now, CRASHING, site(3), false);
    assert!(list.is_refused(now, CRASHING));
    assert_eq!(list.crash_count(now, HARMLESS), 0);
}

/// Guards against streams that are refused because two of their servers crashed.
#[test]
fn interrupted_stream_needs_third_crash() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, HARMLESS, site(1), true);
    list.record_crash(now, HARMLESS, site(2), false);
    assert!(!list.is_refused(now, HARMLESS));
    list.record_crash(now, HARMLESS, site(3), true);
    assert!(list.is_refused(now, HARMLESS));
}

/// Guards against requests that are refused because they were sent again while many servers ended at
/// the same time.
#[test]
fn simultaneous_ends_need_third_crash() {
    for (gap_ms, is_refused) in [(20, false), (300, true)] {
        let (mut list, began) = (SuspectList::default(), Instant::now());
        let at = |number: u32| began + Duration::from_millis(gap_ms) * number;
        list.record_crash(at(0), HARMLESS, site(1), false);
        list.record_crash(at(1), HARMLESS, site(2), false);
        list.record_crash(at(2), CRASHING, site(3), false);
        assert_eq!(list.is_refused(at(2), HARMLESS), is_refused, "{gap_ms} ms");
    }
}

#[test]
fn completed_request_is_cleared() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    record_both(&mut list, now, &[1, 2]);
    list.clear(now, HARMLESS);
    assert_eq!(list.crash_count(now, HARMLESS), 0);
    assert!(list.is_refused(now, CRASHING));
}

/// Guards against daemons that repeat every interrupted request for minutes.
#[test]
fn single_crashes_are_reported_briefly() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, HARMLESS, site(1), false);
    list.record_crash(now, CRASHING, site(1), false);
    list.record_crash(now, CRASHING, site(2), false);
    list.confirm_crashes(now, 1);
    list.confirm_crashes(now, 2);
    assert_eq!(list.own_reports(now).len(), 3);
    let later = list.own_reports(now + Duration::from_secs(60));
    assert!(later.len() == 2 && later.iter().all(|report| report.fingerprint == CRASHING));
}

/// Guards against harmless requests that all daemons refuse because one of them has lost its links, at which
/// its connections to all servers broke.
#[test]
fn own_links_are_no_evidence() {
    let (mut list, mut other, now) =
        (SuspectList::default(), SuspectList::default(), Instant::now());
    let at = |time: u64| now + Duration::from_millis(time);
    list.record_crash(at(0), HARMLESS, site(1), false);
    list.record_crash(at(300), HARMLESS, site(2), false);
    assert_eq!(list.due_reports(at(400), None), []);
    assert_eq!(list.due_reports(at(700), None).len(), 1);
    assert_eq!(list.due_reports(at(900), Some(at(600))), [], "the links are in doubt");
    assert_eq!(list.due_reports(at(3_700), Some(at(600))).len(), 2, "a doubt ends");
    assert_eq!(list.due_reports(at(900), None).len(), 2);
    other.merge_reports(at(900), &list.due_reports(at(900), None));
    assert!(other.is_refused(at(900), HARMLESS));
    list.clear_own(at(1_000));
    assert!(!list.is_refused(at(1_000), HARMLESS));
    other.merge_reports(at(1_000), &list.due_reports(at(1_000), None));
    assert!(!other.is_refused(at(1_000), HARMLESS));
}

/// A daemon to which the server has responded since knows better than the one whose connection broke.
#[test]
fn responses_refute_reports() {
    let (mut list, mut other, now) =
        (SuspectList::default(), SuspectList::default(), Instant::now());
    let at = |time: u64| now + Duration::from_millis(time);
    list.record_crash(at(0), HARMLESS, site(1), false);
    list.record_crash(at(50), HARMLESS, site(2), false);
    list.confirm_crashes(at(100), 2);
    other.merge_reports(at(1_050), &list.due_reports(at(1_050), None));
    assert!(other.is_refused(at(1_050), HARMLESS));
    other.refute_crash(at(1_060), 1, at(0));
    assert!(other.is_refused(at(1_060), HARMLESS), "the request was sent before the break");
    other.refute_crash(at(1_060), 2, at(1_055));
    assert!(other.is_refused(at(1_060), HARMLESS), "a confirmed crash stays");
    other.refute_crash(at(1_060), 1, at(101));
    assert_eq!(other.crash_count(at(1_060), HARMLESS), 1);
    other.merge_reports(at(1_070), &list.due_reports(at(1_070), None));
    assert_eq!(other.crash_count(at(1_070), HARMLESS), 1, "a repeated report changes nothing");
    list.refute_crash(at(1_080), 1, at(1_075));
    assert!(list.is_refused(at(1_080), HARMLESS), "own evidence needs the server's identity");
}

/// What a server's end has confirmed is reported at once and outlasts a failure of the own links.
#[test]
fn confirmed_crashes_outlast_lost_links() {
    let (mut list, now) = (SuspectList::default(), Instant::now());
    list.record_crash(now, CRASHING, site(1), false);
    list.record_crash(now, CRASHING, site(2), false);
    list.confirm_crashes(now, 1);
    list.confirm_crashes(now, 2);
    assert_eq!(list.due_reports(now, None).len(), 2);
    list.clear_own(now);
    assert!(list.is_refused(now, CRASHING));
}

/// Guards against a request that is refused because of one of another organisation, or because its parts
/// read the same when they are joined.
#[test]
fn fingerprints_tell_requests_apart() {
    let parts: [&[u8]; 4] = [b"POST", b"/a", b"b", b"body"];
    let of_first = fingerprint("first", &parts);
    assert_eq!(of_first, fingerprint("first", &parts));
    assert_ne!(of_first, fingerprint("first", &[b"POST", b"/ab", b"", b"body"]));
    assert_ne!(of_first, fingerprint("firstP", &[b"OST", b"/a", b"b", b"body"]));
    // Whatever the requests are, those of two organisations differ.
    let organisation_of = |fingerprint: u64| fingerprint >> 40;
    for number in 0..1_000_u32 {
        let parts: [&[u8]; 1] = [&number.to_le_bytes()];
        assert_eq!(organisation_of(fingerprint("first", &parts)), organisation_of(of_first));
        assert_ne!(organisation_of(fingerprint("second", &parts)), organisation_of(of_first));
    }
}

/// The evidence is bounded, and the oldest is dropped first.
#[test]
fn records_are_bounded() {
    let (mut list, began) = (SuspectList::default(), Instant::now());
    for fingerprint in 0..5_000 {
        let now = began + Duration::from_millis(fingerprint);
        (0..10).for_each(|server| list.record_crash(now, fingerprint, site(server), false));
    }
    let now = began + Duration::from_secs(5);
    let recorded = (0..5_000).filter(|fingerprint| list.crash_count(now, *fingerprint) > 0);
    assert_eq!(recorded.collect::<Vec<_>>(), (5_000 - 1_024..5_000).collect::<Vec<_>>());
    assert!(list.own_reports(now).len() <= 128);
}
