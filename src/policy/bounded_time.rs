//! Durations of numbers that were computed from what clients and servers state.

use std::time::Duration;

/// Returns the duration of `seconds`, at most `longest`. A negative number, and a value that is none, gives
/// zero.
pub fn bounded(seconds: f64, longest: Duration) -> Duration {
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) => duration.min(longest),
        // Too large, or infinite.
        Err(_) if seconds > 0.0 => longest,
        Err(_) => Duration::ZERO,
    }
}
