//! A booking's deadline comes while the daemon still asks the ledger or waits for a server. The
//! caller must hear "did not run" only if the task can no longer send, and the task must not send
//! once the caller has heard it, in whatever order the two come.

use oleandermount::pipeline::send_state::SendState;

#[test]
fn deadline_and_sending_exclude_each_other() {
    let early = SendState::default();
    assert!(early.try_give_up(), "nothing was sent yet");
    assert!(!early.try_send(), "the caller was told that nothing will be sent");
    let late = SendState::default();
    assert!(late.try_send());
    assert!(!late.try_give_up(), "it may have run");
    late.reset();
    assert!(late.try_give_up(), "the attempt that was allowed sent nothing");
}

#[test]
fn another_run_under_the_key_leaves_doubt() {
    let fuse = SendState::default();
    fuse.mark_uncertain();
    assert!(!fuse.try_give_up(), "the run that was seen may be the caller's own");
    assert!(fuse.try_send(), "it ended without a run, so this call may go out");
}

#[test]
fn race_has_one_winner() {
    for _ in 0..200 {
        let fuse = SendState::default();
        let (sent, gave_up) = std::thread::scope(|scope| {
            let sender = scope.spawn(|| fuse.try_send());
            let gave_up = fuse.try_give_up();
            (sender.join().expect("no panic"), gave_up)
        });
        assert_ne!(sent, gave_up);
    }
}
