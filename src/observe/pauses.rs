//! Logs times in which this process did not run, and whether the steady clock counted them.

use {
    super::events,
    crate::clock::suspended_time,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Interval between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Shorter pauses come from the scheduling of a busy machine.
const LOGGED_PAUSE: Duration = Duration::from_millis(500);

/// Logs pauses of this process for as long as it runs. `suspended_ms` is the part of a pause that the
/// steady clock did not count.
pub async fn log_pauses() {
    let (mut measured_at, mut suspended) = (Instant::now(), suspended_time());
    loop {
        sleep(MEASURE_INTERVAL).await;
        let (now, suspended_now) = (Instant::now(), suspended_time());
        let late = now.duration_since(measured_at).saturating_sub(MEASURE_INTERVAL);
        let suspension = suspended_now.saturating_sub(suspended);
        let pause = late + suspension;
        if pause >= LOGGED_PAUSE {
            log::warn!(paused_ms = pause.as_millis() as u64,
                suspended_ms = suspension.as_millis() as u64; "{}", events::PROCESS_PAUSED);
        }
        (measured_at, suspended) = (now, suspended_now);
    }
}
