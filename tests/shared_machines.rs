//! What daemons know of servers that share their machines with others.

use {
    oleandermount::reverse_proxy::shared_machines::SharedMachines,
    std::time::{Duration, Instant},
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn mark_begins_and_ends() {
    let (machines, now, service) =
        (SharedMachines::default(), Instant::now(), "engines".to_owned());
    let record = |at, sent, shared| machines.record(now + at, &service, now + sent, shared, true);
    assert_eq!(record(millis(0), millis(0), false), None);
    assert_eq!(record(millis(10), millis(0), true), Some(true));
    assert_eq!(record(millis(20), millis(0), true), None);
    assert_eq!(record(millis(900), millis(300), false), None, "it was sent before the last mark");
    assert!(machines.contains(&service));
    assert_eq!(record(millis(900), millis(600), false), Some(false));
    assert!(!machines.contains(&service));
}

/// Guards against leases that end with a rejection, which may omit the mark.
#[test]
fn rejections_end_no_mark() {
    let (machines, now, service) =
        (SharedMachines::default(), Instant::now(), "engines".to_owned());
    machines.record(now, &service, now, true, true);
    let later = now + millis(2_000);
    assert_eq!(machines.record(later, &service, later, false, false), None);
    assert!(machines.contains(&service));
}
