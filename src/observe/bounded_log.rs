//! Non-blocking logger: a bounded queue in front of one writer thread.
//!
//! The reader of standard output may stall, and a burst of refused requests causes a burst of
//! records. Without the queue, requests would block on logging until the reader continues. Routine
//! records have a separate rate limit, so that they cannot displace warnings and errors, which
//! report failures and changes of state. Warnings and errors have a higher limit, and all records
//! together are limited in bytes. Dropped records are counted, and the count is logged before the
//! next record that is written.

use {
    super::{events, logs::json_line},
    env_logger::Builder,
    log::{Level, LevelFilter, Log, Metadata, Record},
    serde_json::json,
    std::{
        io::Write,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Instant, SystemTime},
    },
};

/// Queue length and rate limits of the logger.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Capacity of the queue in records; the default of 2,048 takes about 1 MB at 400 bytes a
    /// record.
    pub queue: usize,
    /// Routine records (info and below) per second. Each limit allows a burst of one second's
    /// worth.
    pub routine_per_second: f64,
    /// Warnings and errors per second.
    pub failures_per_second: f64,
    /// Bytes per second of all records together.
    pub bytes_per_second: f64,
}

impl Default for LogBudget {
    /// An entry daemon with a fifth of a core serves about 20 requests per second at peak load, with
    /// one routine record each; the limit is ten times that. While engines crash it logs up to 55
    /// warnings per second; the limit of 500 leaves headroom. At about 300 bytes a record, 256 KB
    /// per second suffice for all records and bound the output if records are long.
    fn default() -> Self {
        LogBudget {
            queue: 2_048,
            routine_per_second: 200.0,
            failures_per_second: 500.0,
            bytes_per_second: 256.0 * 1024.0,
        }
    }
}

/// Name of the counter of dropped records.
pub const DROPPED_RECORDS: &str = "oleandermount_log_records_dropped_total";

/// Logger that sends formatted records to a [`LogWriter`].
pub struct BoundedLog {
    filter: env_logger::Logger,
    queue: SyncSender<String>,
    dropped: Arc<AtomicU64>,
    rate_limits: Mutex<LogRateLimits>,
}

struct LogRateLimits {
    routine: TokenBucket,
    failures: TokenBucket,
    bytes: TokenBucket,
}

impl LogRateLimits {
    /// Consumes tokens for a record of `bytes` if all applicable limits permit it.
    fn try_consume(&mut self, now: Instant, is_routine: bool, bytes: usize) -> bool {
        // Half of the bytes is reserved for warnings and errors.
        let (records, reserved) = match is_routine {
            true => (&mut self.routine, self.bytes.per_second / 2.0),
            false => (&mut self.failures, 0.0),
        };
        records.has_tokens(now, 1.0) && self.bytes.has_tokens(now, bytes as f64 + reserved) && {
            records.consume(1.0);
            self.bytes.consume(bytes as f64);
            true
        }
    }
}

struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_second: f64) -> Self {
        TokenBucket { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    /// Refills the bucket and returns whether it contains `amount` tokens.
    fn has_tokens(&mut self, now: Instant, amount: f64) -> bool {
        let refill =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = now;
        self.tokens >= amount
    }

    fn consume(&mut self, amount: f64) {
        self.tokens -= amount;
    }
}

impl BoundedLog {
    /// A logger for records of `level` and more severe ones, and the writer that empties its queue.
    pub fn new(level: LevelFilter, budget: LogBudget) -> (Self, LogWriter) {
        let (queue, records) = sync_channel(budget.queue.max(1));
        let dropped = Arc::new(AtomicU64::new(0));
        let rate_limits = LogRateLimits {
            routine: TokenBucket::new(budget.routine_per_second),
            failures: TokenBucket::new(budget.failures_per_second),
            bytes: TokenBucket::new(budget.bytes_per_second),
        };
        let log = BoundedLog {
            filter: Builder::new().filter_level(level).build(),
            queue,
            dropped: Arc::clone(&dropped),
            rate_limits: Mutex::new(rate_limits),
        };
        (log, LogWriter { records, dropped })
    }

    fn drop_record(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(DROPPED_RECORDS).increment(1);
    }
}

impl Log for BoundedLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let line = json_line(record, SystemTime::now());
        let is_routine = record.level() > Level::Warn;
        let mut rate_limits = self.rate_limits.lock().unwrap_or_else(PoisonError::into_inner);
        let granted = rate_limits.try_consume(Instant::now(), is_routine, line.len());
        drop(rate_limits);
        if !granted || self.queue.try_send(line).is_err() {
            self.drop_record();
        }
    }

    fn flush(&self) {}
}

/// Receiving end of the queue, which writes the records.
pub struct LogWriter {
    records: Receiver<String>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Writes records until the logger is dropped or writing fails.
    pub fn run(self, mut out: impl Write) {
        while let Ok(line) = self.records.recv() {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let dropped_line = if dropped > 0 {
                dropped_records_line(dropped, SystemTime::now())
            } else {
                String::new()
            };
            if out
                .write_all(dropped_line.as_bytes())
                .and_then(|()| writeln!(out, "{line}"))
                .is_err()
            {
                return;
            }
        }
    }
}

/// Log record that reports `count` dropped records.
fn dropped_records_line(count: u64, time: SystemTime) -> String {
    let time = humantime::format_rfc3339_millis(time).to_string();
    let message = events::RECORDS_DROPPED;
    let line = json!({ "time": time, "level": "WARN", "message": message, "count": count });
    format!("{line}\n")
}

/// Installs a logger to standard output within `budget`. Has no effect if a logger is installed.
pub fn install(level: LevelFilter, budget: LogBudget) {
    install_on(level, budget, std::io::stdout());
}

/// Installs a logger to `out` within `budget`. Has no effect if a logger is installed.
pub fn install_on(level: LevelFilter, budget: LogBudget, out: impl Write + Send + 'static) {
    let (log, writer) = BoundedLog::new(level, budget);
    if log::set_boxed_logger(Box::new(log)).is_err() {
        return;
    }
    log::set_max_level(level);
    let builder = thread::Builder::new().name("log-writer".to_owned());
    if let Err(error) = builder.spawn(move || writer.run(out)) {
        eprintln!("cannot start the log writer: {error}; allow the process more threads");
    }
}
