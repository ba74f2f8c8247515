//! The highest number that an operator chose wins, and resends are acknowledged again.

use oleandermount::{
    control::{Command, CommandOutcome, state::ControlState},
    ids::FencingNumber,
};

fn put(state: &mut ControlState, number: u64, body: &str) -> CommandOutcome {
    state.apply(FencingNumber::default(), &Command::PutDocument { number, body: body.to_owned() })
}

/// An operator whose acknowledgement was lost sends its change again, while another has already
/// changed more. A conflict would make it try on for ever, and taking the older one back would undo
/// what was acknowledged.
#[test]
fn highest_number_wins() {
    let mut state = ControlState::default();
    assert_eq!(put(&mut state, 5, "five"), CommandOutcome::DocumentHeld { number: 5 });
    assert_eq!(put(&mut state, 9, "nine"), CommandOutcome::DocumentHeld { number: 9 });
    for (number, body) in [(5, "five"), (9, "other"), (9, "nine")] {
        assert_eq!(put(&mut state, number, body), CommandOutcome::DocumentHeld { number: 9 });
        assert_eq!(&*state.documents().document().body, "nine");
    }
}

#[test]
fn weights_only_grow() {
    let mut state = ControlState::default();
    for (version, held) in [(2, 2), (5, 5), (3, 5)] {
        let command = Command::NameWeights { model: "m0".to_owned(), version };
        assert_eq!(state.apply(FencingNumber::default(), &command), CommandOutcome::Noted);
        assert_eq!(state.documents().weights()["m0"], held);
    }
}

/// A snapshot of the release before documents were kept is read without them, and one that holds
/// them comes back whole.
#[test]
fn snapshots_survive() {
    let mut state = ControlState::default();
    put(&mut state, 3, "three");
    assert_eq!(ControlState::decode(&state.encode()).as_ref(), Ok(&state));
    let empty = ControlState::default().encode();
    // The version is the first byte; a document without number, body and weights takes three.
    let former = [&[1], &empty[1..empty.len() - 3]].concat();
    assert_eq!(ControlState::decode(&former), Ok(ControlState::default()));
}
