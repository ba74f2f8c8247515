//! What daemons know of servers that end if they have to reject too many requests.

use {
    oleandermount::reverse_proxy::rejection_limits::{LimitChange, RejectionLimits},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "app";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn services() -> BTreeSet<String> {
    BTreeSet::from([SERVICE.to_owned()])
}

#[test]
fn limit_begins_and_ends() {
    let (limits, now, service) = (RejectionLimits::default(), Instant::now(), SERVICE.to_owned());
    let record = |at, sent, limit| limits.record(now + at, &service, now + sent, limit, true);
    assert_eq!(record(millis(0), millis(0), None), None);
    assert_eq!(record(millis(10), millis(0), Some(3)), Some(LimitChange::Named(3)));
    assert_eq!(record(millis(20), millis(0), Some(3)), None);
    assert!(limits.is_limited(now + millis(20), &service));
    assert_eq!(record(millis(900), millis(300), None), None, "it was sent before the limit ended");
    assert_eq!(record(millis(900), millis(600), None), Some(LimitChange::Ended));
    assert!(!limits.is_limited(now + millis(900), &service));
}

/// Guards against a limit that ends with a rejection, which may omit it.
#[test]
fn rejections_end_no_limit() {
    let (limits, now, service) = (RejectionLimits::default(), Instant::now(), SERVICE.to_owned());
    limits.record(now, &service, now, Some(3), true);
    let later = now + millis(2_000);
    assert_eq!(limits.record(later, &service, later, None, false), None);
    assert!(limits.is_limited(later, &service));
}

/// Guards against a daemon that has sent nothing yet and overruns the servers with its first requests.
#[test]
fn others_are_believed() {
    let (limits, now, service) = (RejectionLimits::default(), Instant::now(), SERVICE.to_owned());
    assert_eq!(limits.record_report(now, &service), Some(LimitChange::Reported));
    assert_eq!(limits.record_report(now + millis(500), &service), None);
    assert!(limits.is_limited(now + millis(6_000), &service));
    assert!(!limits.is_limited(now + millis(6_500), &service), "no report for six seconds");
}

/// Guards against daemons that keep a limit alive by reporting it to each other.
#[test]
fn reports_do_not_circulate() {
    let (limits, now, service) = (RejectionLimits::default(), Instant::now(), SERVICE.to_owned());
    limits.record_report(now, &service);
    assert_eq!(limits.reports(now), BTreeSet::new());
    limits.record(now, &service, now, Some(3), true);
    assert_eq!(limits.reports(now + millis(1_900)), services());
    assert_eq!(limits.reports(now + millis(2_000)), BTreeSet::new());
    let later = now + millis(3_000);
    limits.record(later, &service, later, None, true);
    assert_eq!(limits.record_report(later + millis(100), &service), None, "it has ended");
    assert!(!limits.is_limited(later + millis(100), &service));
}
