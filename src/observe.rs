//! Metrics and logs in JSON Lines format.

pub mod bounded_log;
pub mod events;
pub mod log_files;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod pauses;
