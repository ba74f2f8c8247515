//! A steady clock that also advances while the VM is suspended.
//!
//! [`Instant::now`] stands still during a suspension, so that a lease or timeout that is judged by it
//! outlasts the suspension, whatever others have done meanwhile.

use std::time::{Duration, Instant};

#[cfg(target_os = "linux")]
use {
    rustix::time::{ClockId, clock_gettime},
    std::sync::OnceLock,
};

/// Current time, including suspensions of the VM since the first call in this process.
///
/// Compare it with other results of this function only. Timers of the runtime do not count suspensions:
/// sleep for the difference of two results, not until one of them. On systems other than Linux this is
/// [`Instant::now`].
#[cfg(target_os = "linux")]
pub fn now() -> Instant {
    static FIRST_CALL: OnceLock<(Instant, Duration)> = OnceLock::new();
    let since_boot = Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default();
    let (instant, first) = *FIRST_CALL.get_or_init(|| (Instant::now(), since_boot));
    instant + since_boot.saturating_sub(first)
}

/// Current time.
#[cfg(not(target_os = "linux"))]
pub fn now() -> Instant {
    Instant::now()
}

/// The result of [`Instant::now`] at the time at which [`now`] returned `at`, if the VM has not been
/// suspended since.
pub fn without_suspensions(at: Instant) -> Instant {
    at.checked_sub(suspended_time()).unwrap_or(at)
}

/// Time in whole milliseconds for which the VM has been suspended since the first call of [`now`] in this
/// process.
pub fn suspended_time() -> Duration {
    let with_suspensions = now();
    let difference = with_suspensions.saturating_duration_since(Instant::now());
    // The clocks are read one after the other, which takes less than a millisecond.
    Duration::from_millis(difference.as_millis() as u64)
}
