//! Logs that never hold up a request: a bounded queue before one thread that writes.
//!
//! Whoever reads standard output may stall, and a burst of refusals brings a burst of records. Without
//! the queue each record would wait for the reader, and callers with it. Routine records have a budget
//! of their own, so that what failed and what changed in the daemon's belief (warnings and errors)
//! finds room; those have a larger one, and all together one in bytes. What was left out is counted,
//! and said with the next record that is written.

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

/// How much may be logged.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Records that wait for the writer; at about 400 bytes each, 1 MB with the usual 2,048.
    pub queue: usize,
    /// Routine records (info and below) a second; a second's worth of each budget may be saved up.
    pub routine_per_second: f64,
    /// Warnings and errors a second.
    pub failures_per_second: f64,
    /// Bytes a second, all records together.
    pub bytes_per_second: f64,
}

impl Default for LogBudget {
    /// An entry of a fifth of a core serves some 20 requests a second at its peak, with one routine
    /// record each; ten times that leaves room. In its worst seconds, with engines crashing, it logged
    /// 55 warnings; 500 leave room for more. A record has about 300 bytes, so all of them fit
    /// into 256 KB a second, which bounds a flood of long ones.
    fn default() -> Self {
        LogBudget {
            queue: 2_048,
            routine_per_second: 200.0,
            failures_per_second: 500.0,
            bytes_per_second: 256.0 * 1024.0,
        }
    }
}

/// Counts records that were left out.
pub const DROPPED_RECORDS: &str = "oleandermount_log_records_dropped_total";

/// A logger in front of its writer.
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
    /// Takes one record of `bytes` out of the budgets, if it fits into all that apply.
    fn try_consume(&mut self, now: Instant, is_routine: bool, bytes: usize) -> bool {
        // The second half of the bytes is for what failed.
        let (records, reserved) = match is_routine {
            true => (&mut self.routine, self.bytes.per_second / 2.0),
            false => (&mut self.failures, 0.0),
        };
        records.has(now, 1.0) && self.bytes.has(now, bytes as f64 + reserved) && {
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

    /// Whether `amount` is left at `now`.
    fn has(&mut self, now: Instant, amount: f64) -> bool {
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
    /// A logger of records of `level` and more urgent, and the queue that its writer empties.
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

/// The writer's end of the queue.
pub struct LogWriter {
    records: Receiver<String>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Writes records until the logger is gone or nobody reads any more.
    pub fn run(self, mut out: impl Write) {
        while let Ok(line) = self.records.recv() {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            let notice = if dropped > 0 {
                dropped_records_line(dropped, SystemTime::now())
            } else {
                String::new()
            };
            if out.write_all(notice.as_bytes()).and_then(|()| writeln!(out, "{line}")).is_err() {
                return;
            }
        }
    }
}

/// What stands in the log in place of `count` records.
fn dropped_records_line(count: u64, time: SystemTime) -> String {
    let time = humantime::format_rfc3339_millis(time).to_string();
    let message = events::RECORDS_DROPPED;
    let line = json!({ "time": time, "level": "WARN", "message": message, "count": count });
    format!("{line}\n")
}

/// Logs to standard output within `budget`. A second call changes nothing.
pub fn install(level: LevelFilter, budget: LogBudget) {
    install_on(level, budget, std::io::stdout());
}

/// The same to `out`.
pub fn install_on(level: LevelFilter, budget: LogBudget, out: impl Write + Send + 'static) {
    let (log, writer) = BoundedLog::new(level, budget);
    if log::set_boxed_logger(Box::new(log)).is_err() {
        return;
    }
    log::set_max_level(level);
    let builder = thread::Builder::new().name("log-writer".to_owned());
    if let Err(error) = builder.spawn(move || writer.run(out)) {
        eprintln!("the log cannot be written: {error}; allow the process more threads");
    }
}
