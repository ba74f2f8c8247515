//! Concurrent changes of the configuration with equal expected revisions, and their resends.

use oleandermount::{
    control::{
        Command, CommandOutcome,
        configuration::{RETAINED_OPERATIONS, digest_hex},
        state::ControlState,
    },
    ids::{FencingNumber, Revision},
};

fn register(domain: &str) -> String {
    format!(r#"{{"failure_domains":[{{"id":"{domain}"}}]}}"#)
}

fn change(
    state: &mut ControlState,
    operation: &str,
    expected: Revision,
    body: &str,
) -> CommandOutcome {
    let (operation, body) = (operation.to_owned(), body.to_owned());
    let command = Command::ApplyRegister { operation, expected, body };
    state.apply(FencingNumber::default(), &command)
}

/// Of two changes with the same expected revision the one committed first is applied, and the other
/// receives the digest of the applied one. A resend after a lost response receives the first result
/// even if more changes followed. It is never applied twice and never conflicts with itself.
#[test]
fn equal_revisions_and_resends() {
    let mut state = ControlState::default();
    let (one, two) = (register("ub-north"), register("ub-south"));
    let applied = CommandOutcome::Applied { revision: 1 };
    let lost = CommandOutcome::Conflict { revision: 1, winner: digest_hex(&one) };
    assert_eq!(change(&mut state, "op-one", 0, &one), applied);
    assert_eq!(change(&mut state, "op-two", 0, &two), lost);
    assert_eq!(change(&mut state, "op-one", 0, &one), applied);
    assert_eq!(
        change(&mut state, "op-one", 0, &two),
        lost,
        "the id cannot be used for another change"
    );
    let second = CommandOutcome::Applied { revision: 2 };
    assert_eq!(change(&mut state, "op-three", 1, &two), second);
    assert_eq!(change(&mut state, "op-one", 0, &one), applied);
    assert_eq!(change(&mut state, "op-two", 0, &two), lost);
    assert_eq!(state.configuration().active().register.failure_domains[0].id, "ub-south");
    let copy = ControlState::decode(&state.encode()).expect("it decodes");
    assert_eq!(copy, state, "a snapshot carries the results too");
}

/// A change that cannot be parsed is refused and changes nothing.
#[test]
fn unreadable_body_refused() {
    let mut state = ControlState::default();
    let outcome = change(&mut state, "op", 0, "{\"no_such_part\":1}");
    assert!(matches!(outcome, CommandOutcome::Refused { .. }), "{outcome:?}");
    assert_eq!(state.configuration().active().revision, 0);
}

/// A resend whose result is no longer retained receives a conflict and is not applied again.
#[test]
fn late_resend_conflicts() {
    let mut state = ControlState::default();
    let body = register("ub-north");
    for revision in 0..=RETAINED_OPERATIONS as u64 {
        let applied = CommandOutcome::Applied { revision: revision + 1 };
        assert_eq!(change(&mut state, &format!("op-{revision}"), revision, &body), applied);
    }
    let late = change(&mut state, "op-0", 0, &body);
    assert!(matches!(late, CommandOutcome::Conflict { .. }), "{late:?}");
}
