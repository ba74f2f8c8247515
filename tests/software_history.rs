//! What is known of the software versions of a service.

use {
    oleandermount::{
        ids::{ServiceId, SoftwareVersion},
        policy::software_history::{STREAM_TIME, SoftwareHistory, VersionState},
        reverse_proxy::stream_origin::ResumeTarget,
        roles::origin_client::unknown_target,
    },
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

fn record(history: &mut SoftwareHistory, now: Instant, versions: &[&str]) {
    let service = "llm".to_owned();
    let versions: Vec<SoftwareVersion> = versions.iter().map(|text| (*text).to_owned()).collect();
    history.record(now, versions.iter().map(|software| (&service, software)));
}

fn state(history: &SoftwareHistory, now: Instant) -> VersionState {
    let service: ServiceId = "llm".to_owned();
    history.state(now, &service)
}

#[test]
fn long_known_version_is_one() {
    let (mut history, now) = (SoftwareHistory::default(), Instant::now());
    assert_eq!(state(&history, now), VersionState::Unknown);
    record(&mut history, now, &["v1", "v1"]);
    assert_eq!(state(&history, now + STREAM_TIME - SECOND), VersionState::Unknown);
    assert_eq!(state(&history, now + STREAM_TIME), VersionState::One);
}

/// Streams of the older version can be resumed for a while after its last server.
#[test]
fn replaced_version_counts_on() {
    let (mut history, start) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, start, &["v1"]);
    let now = start + STREAM_TIME;
    record(&mut history, now, &["v1", "v2"]);
    assert_eq!(state(&history, now), VersionState::Several);
    record(&mut history, now + SECOND, &["v2"]);
    assert_eq!(state(&history, now + STREAM_TIME), VersionState::Several);
    assert_eq!(state(&history, now + SECOND + STREAM_TIME), VersionState::One);
}

/// Guards against a version that replaces another one without an overlap.
#[test]
fn changed_version_counts_as_several() {
    let (mut history, now) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, now, &["v1"]);
    record(&mut history, now + SECOND, &[]);
    record(&mut history, now + 2 * SECOND, &["v2"]);
    assert_eq!(state(&history, now + 2 * SECOND), VersionState::Several);
}

/// Guards against streams that an entry which has just started lets go on at any version, or refuses although
/// others know of one.
#[test]
fn started_entry_believes_others() {
    use VersionState::{One, Several, Unknown};
    for is_named in [true, false] {
        let target = |own, control: &[_]| unknown_target(own, control, 3, is_named);
        assert_eq!(target(Unknown, &[One, Unknown]), ResumeTarget::AnyServer);
        assert_eq!(target(One, &[Unknown, Unknown]), ResumeTarget::AnyServer);
        assert_eq!(target(Unknown, &[One, Several]), ResumeTarget::Unknown);
        assert_eq!(target(One, &[Several, One]), ResumeTarget::Unknown);
        assert_eq!(target(Several, &[One, One, One]), ResumeTarget::Unknown);
    }
}

/// Guards against streams that go on at another version after everything has restarted during a release,
/// when nobody knows which versions there were before; and against streams without a name that are refused
/// for half a minute then.
#[test]
fn restarted_group_knows_no_versions() {
    use VersionState::Unknown;
    assert_eq!(unknown_target(Unknown, &[Unknown; 3], 3, true), ResumeTarget::Unknown);
    assert_eq!(unknown_target(Unknown, &[Unknown; 2], 3, true), ResumeTarget::Unknown);
    assert_eq!(unknown_target(Unknown, &[Unknown; 2], 3, false), ResumeTarget::AnyServer);
}

/// Guards against an entry that is out of step during a release and lets a stream go on at the only version
/// that it knows: what began the stream may be known to those alone that it does not hear.
#[test]
fn minority_knows_no_versions() {
    use VersionState::{One, Unknown};
    for (own, is_named) in [(One, true), (One, false), (Unknown, true), (Unknown, false)] {
        for (answers, asked) in [(0, 0), (0, 3), (1, 3), (1, 2), (2, 5), (3, 7)] {
            let target = unknown_target(own, &vec![One; answers], asked, is_named);
            assert_eq!(target, ResumeTarget::Unknown, "{own:?}, {answers} of {asked}");
        }
        for (answers, asked) in [(1, 1), (2, 3), (3, 5), (4, 7)] {
            let target = unknown_target(own, &vec![One; answers], asked, is_named);
            assert_eq!(target, ResumeTarget::AnyServer, "{own:?}, {answers} of {asked}");
        }
    }
}

fn restarted(now: Instant, age: Duration, history: &SoftwareHistory) -> SoftwareHistory {
    let mut restarted = SoftwareHistory::default();
    restarted.restore(now + age, age, &history.records(now));
    restarted
}

/// Guards against streams that nobody lets go on since all VMs have restarted, although the service has had
/// one version for long.
#[test]
fn one_version_outlasts_restart() {
    let (mut history, start) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, start, &["v1"]);
    let now = start + STREAM_TIME;
    record(&mut history, now, &["v1"]);
    let mut restarted = restarted(now, SECOND, &history);
    let now = now + SECOND;
    assert_eq!(state(&restarted, now), VersionState::Unknown, "no list names the service");
    record(&mut restarted, now, &["v1"]);
    assert_eq!(state(&restarted, now), VersionState::One);
}

/// Guards against a stream that goes on at a version which has replaced its own while all VMs were down.
#[test]
fn version_replaced_during_restart_is_seen() {
    let (mut history, start) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, start, &["v1"]);
    let now = start + STREAM_TIME;
    record(&mut history, now, &["v1"]);
    for listed in [&["v2"][..], &["v1", "v2"]] {
        let mut restarted = restarted(now, SECOND, &history);
        record(&mut restarted, now + SECOND, listed);
        assert_eq!(state(&restarted, now + SECOND), VersionState::Several);
    }
}

/// Guards against a restart that forgets a version which has left just before, and against one that counts it
/// for longer than its streams can be resumed.
#[test]
fn several_versions_outlast_restart() {
    let (mut history, start) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, start, &["v1", "v2"]);
    let now = start + SECOND;
    record(&mut history, now, &["v2"]);
    let mut restarted = restarted(now, SECOND, &history);
    record(&mut restarted, now + SECOND, &["v2"]);
    assert_eq!(state(&restarted, now + SECOND), VersionState::Several);
    assert_eq!(state(&restarted, now + STREAM_TIME), VersionState::One);
}

/// Guards against versions of another time that count after a long pause, in which others may have come and
/// gone.
#[test]
fn old_record_is_ignored() {
    let (mut history, start) = (SoftwareHistory::default(), Instant::now());
    record(&mut history, start, &["v1"]);
    let now = start + STREAM_TIME;
    record(&mut history, now, &["v1"]);
    let mut restarted = restarted(now, STREAM_TIME, &history);
    record(&mut restarted, now + STREAM_TIME, &["v1"]);
    assert_eq!(state(&restarted, now + STREAM_TIME), VersionState::Unknown);
}
