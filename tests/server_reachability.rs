//! When a daemon counts as partitioned from the backend servers, and by which path it connects to them.

use {
    oleandermount::policy::reachability::{
        ConnectPurpose, ReachChange, ReachMonitor, SUSPICIOUS_SERVERS, ServerPath,
    },
    std::time::{Duration, Instant},
};

const LISTED: usize = 21;
const STEP: Duration = Duration::from_millis(10);

fn server(number: usize) -> String {
    format!("i-{number}")
}

fn fail_connects(monitor: &mut ReachMonitor, now: Instant, servers: usize) {
    (0..servers).for_each(|number| monitor.record_connect_failure(now, &server(number)));
}

fn fail_responses(monitor: &mut ReachMonitor, now: Instant, servers: usize) {
    (0..servers).for_each(|number| monitor.record_no_response(now, &server(number), true));
}

/// Guards against a daemon that goes on connecting to servers that it does not reach.
#[test]
fn tunnelled_server_shows_partition() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    assert_eq!(monitor.choose_path(now, LISTED, ConnectPurpose::Request), ServerPath::Direct);
    fail_connects(&mut monitor, now, 3);
    assert_eq!(
        monitor.choose_path(now, LISTED, ConnectPurpose::Request),
        ServerPath::DirectThenTunnel
    );
    assert_eq!(monitor.record_tunnelled(now, LISTED, false), Some(ReachChange::Partitioned));
    // However long nothing is connected to.
    let later = now + Duration::from_secs(60);
    assert_eq!(monitor.choose_path(later, LISTED, ConnectPurpose::Request), ServerPath::Tunnel);
    assert_eq!(monitor.record_check(), Some(ReachChange::Reached));
    assert_eq!(monitor.choose_path(later, LISTED, ConnectPurpose::Request), ServerPath::Direct);
}

/// Guards against a daemon that waits for responses on connections that are accepted and stay silent. An
/// accepted tunnel shows nothing then; a response in it does.
#[test]
fn tunnelled_response_shows_silence() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    fail_responses(&mut monitor, now, 3);
    assert_eq!(monitor.choose_path(now, LISTED, ConnectPurpose::Request), ServerPath::Tunnel);
    assert_eq!(monitor.record_tunnelled(now, LISTED, false), None);
    // A probe waits for no response, so that it is no trial.
    let later = now + Duration::from_secs(1);
    assert_eq!(monitor.choose_path(later, LISTED, ConnectPurpose::Probe), ServerPath::Direct);
    assert_eq!(monitor.record_tunnelled(now, LISTED, true), Some(ReachChange::Partitioned));
    monitor.record_connected();
    assert!(monitor.is_partitioned(), "an accepted connection is no response");
    assert_eq!(monitor.record_response(true), Some(ReachChange::Reached));
}

/// Guards against requests that use up all kept connections, which are silent, before one is tried through
/// another daemon.
#[test]
fn silence_needs_new_connection() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    (0..3).for_each(|number| monitor.record_no_response(now, &server(number), false));
    assert!(monitor.is_trial_due(now, LISTED));
    monitor.choose_path(now, LISTED, ConnectPurpose::Request);
    assert!(!monitor.is_trial_due(now, LISTED), "one trial at a time");
    assert!(monitor.is_trial_due(now + Duration::from_secs(1), LISTED));
    monitor.record_response(false);
    assert!(!monitor.is_trial_due(now + Duration::from_secs(1), LISTED));
}

/// Guards against kept connections that respond and hide that no new ones can be opened.
#[test]
fn kept_connections_hide_nothing() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    for number in 0..3 {
        monitor.record_connect_failure(now, &server(number));
        monitor.record_response(false);
    }
    assert_eq!(
        monitor.choose_path(now, LISTED, ConnectPurpose::Request),
        ServerPath::DirectThenTunnel
    );
    monitor.record_tunnelled(now, LISTED, false);
    assert_eq!(monitor.record_response(false), None);
    assert!(monitor.is_partitioned());

    // The same if new connections are accepted and reset.
    let mut monitor = ReachMonitor::default();
    for number in 0..3 {
        monitor.record_connected();
        monitor.record_no_response(now, &server(number), true);
        monitor.record_response(false);
    }
    assert_eq!(monitor.choose_path(now, LISTED, ConnectPurpose::Request), ServerPath::Tunnel);
    assert_eq!(monitor.record_tunnelled(now, LISTED, true), Some(ReachChange::Partitioned));
    assert_eq!(monitor.record_response(false), None);
    assert_eq!(monitor.record_response(true), Some(ReachChange::Reached));
}

/// Guards against a daemon that counts as partitioned though the servers have failed, all or those of one
/// service: no other daemon reaches them either, and the trials are few.
#[test]
fn failed_servers_are_no_partition() {
    let (mut monitor, began) = (ReachMonitor::default(), Instant::now());
    let mut trials = 0;
    for step in 0..500 {
        let now = began + STEP * step;
        fail_connects(&mut monitor, now, LISTED);
        fail_responses(&mut monitor, now, LISTED);
        trials += u32::from(
            monitor.choose_path(now, LISTED, ConnectPurpose::Request) != ServerPath::Direct,
        );
    }
    assert!(!monitor.is_partitioned());
    assert!((20..=26).contains(&trials), "{trials} trials in 5 s");
    monitor.record_connected();
    monitor.record_response(true);
    assert_eq!(
        monitor.choose_path(began + STEP * 500, LISTED, ConnectPurpose::Request),
        ServerPath::Direct
    );
}

/// One or two failing servers, however often they fail, are no evidence about the daemon; nor are failures
/// with a success in between, or long after each other.
#[test]
fn few_failures_are_no_evidence() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    for _ in 0..100 {
        fail_connects(&mut monitor, now, 2);
        fail_responses(&mut monitor, now, 2);
    }
    assert_eq!(monitor.choose_path(now, LISTED, ConnectPurpose::Request), ServerPath::Direct);
    monitor.record_connected();
    monitor.record_response(true);
    monitor.record_connect_failure(now, &server(2));
    monitor.record_no_response(now, &server(2), true);
    assert_eq!(monitor.choose_path(now, LISTED, ConnectPurpose::Request), ServerPath::Direct);
    let mut quiet = ReachMonitor::default();
    for number in 0..20 {
        let at = now + Duration::from_secs(4) * number as u32;
        quiet.record_connect_failure(at, &server(number));
        assert_eq!(quiet.choose_path(at, LISTED, ConnectPurpose::Request), ServerPath::Direct);
    }
}

/// With fewer servers than the number that is otherwise needed, all of them must have failed.
#[test]
fn small_fleets_need_all_servers() {
    let now = Instant::now();
    for listed in [1, 2] {
        let mut monitor = ReachMonitor::default();
        fail_connects(&mut monitor, now, listed - 1);
        assert_eq!(monitor.choose_path(now, listed, ConnectPurpose::Request), ServerPath::Direct);
        fail_connects(&mut monitor, now, listed);
        assert_eq!(
            monitor.choose_path(now, listed, ConnectPurpose::Request),
            ServerPath::DirectThenTunnel
        );
    }
}

/// Guards against a check of other servers for each server of a failed domain, and against a daemon that
/// needs failed requests at three servers to doubt its links.
#[test]
fn one_failure_leads_to_checks() {
    let (mut monitor, now) = (ReachMonitor::default(), Instant::now());
    let at = |time: u64| now + Duration::from_millis(time);
    let started = (0..50).filter(|number| monitor.start_check(at(number * 10))).count();
    assert_eq!(started, 3, "in half a second");
    fail_responses(&mut monitor, at(600), SUSPICIOUS_SERVERS - 1);
    assert!(!monitor.is_suspicious(at(600), LISTED));
    fail_responses(&mut monitor, at(600), SUSPICIOUS_SERVERS);
    assert!(monitor.is_suspicious(at(600), LISTED), "the checks suffice");
    monitor.record_response(true);
    assert!(!monitor.is_suspicious(at(600), LISTED), "one server that responds ends it");
}
