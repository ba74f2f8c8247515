//! The deadline of a non-repeatable call can pass while the daemon still claims the call or waits
//! for a server. The caller may be informed that the call did not run only if it can no longer
//! be sent, and the call must not be sent after that.

use oleandermount::pipeline::send_state::SendState;

#[test]
fn deadline_and_sending_are_exclusive() {
    let first = SendState::default();
    assert!(first.try_abandon(), "nothing was sent yet");
    assert!(!first.try_send(), "the caller was informed that nothing will be sent");
    let second = SendState::default();
    assert!(second.try_send());
    assert!(!second.try_abandon(), "the call may have run");
    second.reset();
    assert!(second.try_abandon(), "the attempt sent nothing");
}

#[test]
fn another_run_with_the_key_leaves_the_outcome_unknown() {
    let send_state = SendState::default();
    send_state.mark_uncertain();
    assert!(!send_state.try_abandon(), "the observed run may be the caller's own");
    assert!(send_state.try_send(), "the other claim was released, so this call may be sent");
}

#[test]
fn race_has_one_winner() {
    for _ in 0..200 {
        let send_state = SendState::default();
        let (sent, abandoned) = std::thread::scope(|scope| {
            let sender = scope.spawn(|| send_state.try_send());
            let abandoned = send_state.try_abandon();
            (sender.join().expect("no panic"), abandoned)
        });
        assert_ne!(sent, abandoned);
    }
}
