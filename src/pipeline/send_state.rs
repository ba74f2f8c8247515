//! Settles between a caller's deadline and the task that runs its call whether anything was sent.

use std::sync::atomic::{AtomicU8, Ordering};

const UNSENT: u8 = 0;
const DOUBTFUL: u8 = 1;
const SENT: u8 = 2;
const GIVEN_UP: u8 = 3;

/// One non-repeatable call's answer to "can it have run?".
///
/// The deadline and the sending race: without one place to settle it, a caller is told that its
/// booking did not run a moment before it goes out, or is left in doubt about one that never will.
#[derive(Debug, Default)]
pub struct SendState {
    state: AtomicU8,
}

impl SendState {
    /// Another call under the same key was seen running: it may be the caller's own earlier send.
    pub fn mark_uncertain(&self) {
        self.change(UNSENT, DOUBTFUL);
    }

    /// Asks to send now. `false` means that the caller was told that nothing will be sent.
    #[must_use]
    pub fn try_send(&self) -> bool {
        self.change(UNSENT, SENT) || self.change(DOUBTFUL, SENT)
    }

    /// The attempt that burned the fuse has sent nothing, so another may.
    pub fn reset(&self) {
        self.change(SENT, UNSENT);
    }

    /// The caller's time is over. `true` means that nothing was sent and nothing will be.
    #[must_use]
    pub fn try_give_up(&self) -> bool {
        self.change(UNSENT, GIVEN_UP)
    }

    fn change(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
