//! Metrics and JSON-lines logs.

pub mod bounded_log;
pub mod logs;
pub mod metrics;
