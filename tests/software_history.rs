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

/// Guards against streams that are refused for half a minute after all daemons have started, and against
/// streams that an entry which has just started lets go on at any version.
#[test]
fn started_entry_believes_others() {
    use VersionState::{One, Several, Unknown};
    assert_eq!(unknown_target(Unknown, &[Unknown, Unknown], 3), ResumeTarget::AnyServer);
    assert_eq!(unknown_target(Unknown, &[One, Unknown], 3), ResumeTarget::AnyServer);
    assert_eq!(unknown_target(Unknown, &[One, Several], 3), ResumeTarget::Unknown);
    assert_eq!(unknown_target(One, &[Several], 1), ResumeTarget::Unknown);
    assert_eq!(unknown_target(Several, &[One, One, One], 3), ResumeTarget::Unknown);
}

/// Guards against an entry that is out of step during a release and lets a stream go on at the only version
/// that it knows: what begun the stream may be known to those alone that it does not hear.
#[test]
fn minority_knows_no_versions() {
    use VersionState::{One, Unknown};
    for own in [One, Unknown] {
        for (answers, asked) in [(0, 0), (0, 3), (1, 3), (1, 2), (2, 5), (3, 7)] {
            let target = unknown_target(own, &vec![One; answers], asked);
            assert_eq!(target, ResumeTarget::Unknown, "{own:?}, {answers} of {asked}");
        }
        for (answers, asked) in [(1, 1), (2, 3), (3, 5), (4, 7)] {
            let target = unknown_target(own, &vec![One; answers], asked);
            assert_eq!(target, ResumeTarget::AnyServer, "{own:?}, {answers} of {asked}");
        }
    }
}
