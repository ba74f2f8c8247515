//! An entry leaves a control VM that hears from no leader at once.
//!
//! What a caller sees otherwise: 404 for a route that was added seconds ago. Order of events: the
//! control VM of the entry's domain loses its disk; then the others have no quorum for a moment, so
//! no VM hears from a leader and the entry turns to the one of its own domain; the others come back
//! and accept a change; the entry, still with the empty VM, does not hear of it for three seconds.

use {
    oleandermount::follow::task::{StayVerdict, judge_stay},
    std::time::Duration,
};

const SOON: Duration = Duration::from_millis(200);
const LATER: Duration = Duration::from_secs(4);

#[test]
fn leaves_without_leader() {
    for before in [(false, true), (false, false), (true, true), (true, false)] {
        for domain in [true, false] {
            let verdict = judge_stay(before, (false, domain), SOON);
            assert_eq!(verdict, StayVerdict::PauseAndLook, "{before:?} {domain}");
        }
    }
}

#[test]
fn stays_at_home() {
    assert_eq!(judge_stay((true, true), (true, true), SOON), StayVerdict::Stay);
    assert_eq!(judge_stay((true, true), (true, true), LATER), StayVerdict::Stay);
}

#[test]
fn returns_home() {
    assert_eq!(judge_stay((true, false), (true, false), SOON), StayVerdict::Stay);
    assert_eq!(judge_stay((true, false), (true, false), LATER), StayVerdict::LookAgain);
}
