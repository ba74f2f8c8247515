//! The highest document number is applied, and resends are acknowledged.

use oleandermount::{
    control::{Command, CommandOutcome, state::ControlState},
    ids::FencingNumber,
};

fn put(state: &mut ControlState, number: u64, body: &str) -> CommandOutcome {
    state.apply(FencingNumber::default(), &Command::PutDocument { number, body: body.to_owned() })
}

/// An operator whose acknowledgement was lost resends a change after another operator has made
/// later ones. With a conflict the operator would resend forever, and applying the older document
/// would revert acknowledged changes.
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

/// A snapshot of the release without documents is read, and a snapshot with documents is restored
/// completely.
#[test]
fn snapshots_survive() {
    let mut state = ControlState::default();
    put(&mut state, 3, "three");
    assert_eq!(ControlState::decode(&state.encode()).as_ref(), Ok(&state));
    let empty = ControlState::default().encode();
    // The version is the first byte; a document without number, body and weights takes three.
    let legacy = [&[1], &empty[1..empty.len() - 3]].concat();
    assert_eq!(ControlState::decode(&legacy), Ok(ControlState::default()));
}
