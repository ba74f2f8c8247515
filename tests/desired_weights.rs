//! The desired weights in the replicated state.

use {
    oleandermount::{
        control::{Command, CommandOutcome, state::ControlState},
        ids::{FencingNumber, LogIndex},
    },
    std::collections::BTreeMap,
};

const MODEL: &str = "basket-llm";

fn fencing_number(index: LogIndex) -> FencingNumber {
    FencingNumber { term: 1, index }
}

fn set_desired(state: &mut ControlState, index: LogIndex, weights: &str) -> CommandOutcome {
    let command = Command::DesireModel { model: MODEL.to_owned(), weights: weights.to_owned() };
    state.apply(fencing_number(index), &command)
}

#[test]
fn resend_keeps_number() {
    let mut state = ControlState::default();
    let first = CommandOutcome::Desired { fencing: fencing_number(1) };
    assert_eq!(set_desired(&mut state, 1, "2"), first);
    assert_eq!(set_desired(&mut state, 2, "2"), first);
    assert_eq!(
        set_desired(&mut state, 3, "3"),
        CommandOutcome::Desired { fencing: fencing_number(3) }
    );
}

/// Guards against an upgrade that loses the desired weights: earlier releases stored them per
/// server.
#[test]
fn legacy_snapshot_is_read() {
    let empty = ControlState::default().encode();
    // The version is the first byte. Empty weights and suspects take one byte each, an empty
    // document and no named weights take three. Earlier ledgers lacked the first attempt, which
    // takes one byte.
    let (head, tail) = (&empty[1..empty.len() - 6], &empty[empty.len() - 4..]);
    let server_and_model = |server: &str| (server.to_owned(), MODEL.to_owned());
    let desired = BTreeMap::from([
        (server_and_model("s0"), ("3".to_owned(), fencing_number(8))),
        (server_and_model("s1"), ("2".to_owned(), fencing_number(5))),
        (server_and_model("s2"), ("3".to_owned(), fencing_number(7))),
    ]);
    let desired = postcard::to_stdvec(&desired).expect("a map encodes");
    let legacy = [&[2], head, &desired, tail].concat();
    let state = ControlState::decode(&legacy).expect("it is read");
    let expected = BTreeMap::from([(MODEL.to_owned(), ("3".to_owned(), fencing_number(7)))]);
    assert_eq!(*state.orders().desired(), expected);
}

/// Guards against a log that cannot be read after an upgrade: earlier releases wrote one entry per
/// server.
#[test]
fn legacy_log_is_read() {
    let mut state = ControlState::default();
    for (index, server) in [(4, "s0"), (5, "s1")] {
        let (server, model) = (server.to_owned(), MODEL.to_owned());
        let command = Command::DesireWeights { server, model, weights: "2".to_owned() };
        let outcome = state.apply(fencing_number(index), &command);
        assert_eq!(outcome, CommandOutcome::Desired { fencing: fencing_number(4) });
    }
}
