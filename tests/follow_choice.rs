//! An entry leaves a control VM that hears from no leader at once.
//!
//! What a caller sees otherwise: 404 for a route that was added seconds ago. Order of events: the
//! control VM of the entry's domain loses its disk; then the others have no quorum for a moment, so
//! no VM hears from a leader and the entry turns to the one of its own domain; the others come back
//! and accept a change; the entry, still with the empty VM, does not hear of it for three seconds.

use {
    oleandermount::follow::task::{FollowDecision, best_peer, decide_follow},
    std::{collections::BTreeMap, time::Duration},
};

const SOON: Duration = Duration::from_millis(200);
const LATER: Duration = Duration::from_secs(4);

#[test]
fn leaves_without_leader() {
    for before in [(false, true), (false, false), (true, true), (true, false)] {
        for domain in [true, false] {
            let verdict = decide_follow(before, (false, domain), SOON);
            assert_eq!(verdict, FollowDecision::PauseAndReselect, "{before:?} {domain}");
        }
    }
}

#[test]
fn stays_at_home() {
    assert_eq!(decide_follow((true, true), (true, true), SOON), FollowDecision::Stay);
    assert_eq!(decide_follow((true, true), (true, true), LATER), FollowDecision::Stay);
}

#[test]
fn returns_home() {
    assert_eq!(decide_follow((true, false), (true, false), SOON), FollowDecision::Stay);
    assert_eq!(decide_follow((true, false), (true, false), LATER), FollowDecision::Reselect);
}

/// Guards against one control VM that all followers meet at when theirs are lost.
#[test]
fn equals_share_followers() {
    let mut followers: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..300 {
        let peers = ["c-1", "c-2", "c-3"].map(|peer| (peer.to_owned(), (true, false)));
        let (best, _) = best_peer(&format!("entry-{number}"), peers.into_iter()).expect("one is");
        *followers.entry(best).or_default() += 1;
    }
    assert!(followers.values().all(|count| (70..=130).contains(count)), "{followers:?}");
    assert_eq!(followers.len(), 3);
}

#[test]
fn fresh_one_first() {
    let peers = [("c-1", (false, true)), ("c-2", (true, false)), ("c-3", (false, false))];
    let peers = peers.map(|(peer, suits)| (peer.to_owned(), suits));
    let best = best_peer(&"entry-1".to_owned(), peers.into_iter());
    assert_eq!(best, Some(("c-2".to_owned(), (true, false))));
}
