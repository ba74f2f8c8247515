//! Resolves the race between a caller's deadline and the task that sends its call.

use std::sync::atomic::{AtomicU8, Ordering};

const UNSENT: u8 = 0;
const UNCERTAIN: u8 = 1;
const SENT: u8 = 2;
const ABANDONED: u8 = 3;

/// Tracks whether a non-repeatable call may have run.
///
/// The deadline and the task that sends the call race. An atomic state ensures that a call is not
/// sent after its caller was informed that it did not run, and that the outcome of a call that will
/// never be sent is not reported as unknown.
#[derive(Debug, Default)]
pub struct SendState {
    state: AtomicU8,
}

impl SendState {
    /// Records that another call with the same key is running, which may be an earlier attempt of
    /// the same caller.
    pub fn mark_uncertain(&self) {
        self.change(UNSENT, UNCERTAIN);
    }

    /// Marks the call as sent. Returns `false` if the call must not be sent, because its caller was
    /// informed that it did not run.
    #[must_use]
    pub fn try_send(&self) -> bool {
        self.change(UNSENT, SENT) || self.change(UNCERTAIN, SENT)
    }

    /// Marks the call as unsent again, after an attempt has failed before it sent a byte.
    pub fn reset(&self) {
        self.change(SENT, UNSENT);
    }

    /// Ends the call at its deadline. Returns `true` if nothing was sent and nothing will be sent.
    #[must_use]
    pub fn try_abandon(&self) -> bool {
        self.change(UNSENT, ABANDONED)
    }

    fn change(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
