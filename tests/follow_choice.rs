//! An entry immediately leaves a control VM that has no leader.
//!
//! Guards against status 404 for a route that was added seconds ago. The control VM of the entry's
//! domain loses its disk. Then the others have no quorum for a moment, so that no VM has a leader
//! and the entry selects the VM of its own domain. The others recover and accept a change, but the
//! entry still follows the empty VM and receives the change seconds late.

use {
    oleandermount::follow::task::{FollowDecision, best_peer, decide_follow},
    std::{collections::BTreeMap, time::Duration},
};

const SHORT_TIME: Duration = Duration::from_millis(200);
const LONG_TIME: Duration = Duration::from_secs(4);

#[test]
fn leaves_vm_without_leader() {
    for before in [(false, true), (false, false), (true, true), (true, false)] {
        for domain in [true, false] {
            let decision = decide_follow(before, (false, domain), SHORT_TIME);
            assert_eq!(decision, FollowDecision::PauseAndReselect, "{before:?} {domain}");
        }
    }
}

#[test]
fn stays_in_own_domain() {
    assert_eq!(decide_follow((true, true), (true, true), SHORT_TIME), FollowDecision::Stay);
    assert_eq!(decide_follow((true, true), (true, true), LONG_TIME), FollowDecision::Stay);
}

#[test]
fn returns_to_own_domain() {
    assert_eq!(decide_follow((true, false), (true, false), SHORT_TIME), FollowDecision::Stay);
    assert_eq!(decide_follow((true, false), (true, false), LONG_TIME), FollowDecision::Reselect);
}

/// Guards against all followers selecting the same control VM when theirs have failed.
#[test]
fn equal_vms_share_followers() {
    let mut followers: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..300 {
        let peers = ["c-1", "c-2", "c-3"].map(|peer| (peer.to_owned(), (true, false)));
        let (best, _) =
            best_peer(&format!("entry-{number}"), peers.into_iter()).expect("there are candidates");
        *followers.entry(best).or_default() += 1;
    }
    assert!(followers.values().all(|count| (70..=130).contains(count)), "{followers:?}");
    assert_eq!(followers.len(), 3);
}

#[test]
fn fresh_vm_is_preferred() {
    let peers = [("c-1", (false, true)), ("c-2", (true, false)), ("c-3", (false, false))];
    let peers = peers.map(|(peer, suitability)| (peer.to_owned(), suitability));
    let best = best_peer(&"entry-1".to_owned(), peers.into_iter());
    assert_eq!(best, Some(("c-2".to_owned(), (true, false))));
}
