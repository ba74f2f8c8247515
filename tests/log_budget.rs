//! The bounded logger does not block, limits its output and reserves capacity for failures.
//!
//! Without the bounded queue, a stalled reader of standard output would block every request that
//! writes a record.

use {
    log::{Level, LevelFilter, Log, Record},
    oleandermount::observe::bounded_log::{BoundedLog, LogBudget},
    std::{
        io::{self, Write},
        sync::{Arc, Mutex},
    },
};

fn log_record(log: &BoundedLog, level: Level, text: &str) {
    log.log(&Record::builder().level(level).target("test").args(format_args!("{text}")).build());
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs more records than the queue can hold while no writer empties it. If logging blocked, this
/// test would not terminate.
#[test]
fn failures_are_kept_under_load() {
    let budget = LogBudget {
        queue: 64,
        routine_per_second: 10.0,
        failures_per_second: f64::INFINITY,
        bytes_per_second: f64::INFINITY,
    };
    let (log, writer) = BoundedLog::new(LevelFilter::Info, budget);
    for number in 0..50_000 {
        log_record(&log, Level::Info, &format!("routine {number}"));
    }
    for number in 0..20 {
        log_record(&log, Level::Warn, &format!("failed {number}"));
    }
    for number in 0..50_000 {
        log_record(&log, Level::Warn, &format!("more {number}"));
    }
    drop(log);
    let buffer = SharedBuffer::default();
    writer.run(buffer.clone());
    let bytes = buffer.0.lock().expect("no writer panics").clone();
    let text = String::from_utf8(bytes).expect("records are text");
    assert!((0..20).all(|number| text.contains(&format!("\"failed {number}\""))), "{text}");
    assert!(text.lines().count() <= 65, "the queue and the record of dropped records");
    assert!(text.contains("log records left out") && text.contains("\"count\":"), "{text}");
}

/// A write error ends the writer; logging continues without blocking.
#[test]
fn logging_continues_after_write_error() {
    struct ClosedPipe;
    impl Write for ClosedPipe {
        fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (log, writer) = BoundedLog::new(LevelFilter::Info, LogBudget::default());
    log_record(&log, Level::Warn, "one");
    writer.run(ClosedPipe);
    (0..5_000).for_each(|_| log_record(&log, Level::Warn, "more"));
}

/// Without limits, a caller that requests thousands of unknown paths per second fills the disk of the
/// log collector. Warnings are limited as well, and so are the bytes of all records, half of which
/// are reserved for warnings and errors.
#[test]
fn limits_apply_to_all_records() {
    let logged = |budget: LogBudget, level: Level, text: &str| {
        let (log, writer) = BoundedLog::new(LevelFilter::Info, budget);
        (0..1_000).for_each(|_| log_record(&log, level, text));
        log_record(&log, Level::Error, "the last failure");
        drop(log);
        let buffer = SharedBuffer::default();
        writer.run(buffer.clone());
        let bytes = buffer.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(bytes).expect("records are text");
        (text.lines().filter(|line| line.contains("test")).count(), text.len(), text)
    };
    let few = LogBudget { failures_per_second: 5.0, ..LogBudget::default() };
    let (lines, _, _) = logged(few, Level::Warn, "failed");
    // If the machine pauses for ten seconds during the test, the limit is refilled ten times.
    assert!((5..100).contains(&lines), "{lines} of 1,000 warnings");
    let short =
        LogBudget { routine_per_second: 1e6, bytes_per_second: 20_000.0, ..LogBudget::default() };
    let (_, bytes, text) = logged(short, Level::Info, &"long ".repeat(100));
    assert!(bytes < 300_000, "{bytes} of some 600,000 bytes");
    assert!(text.contains("the last failure"), "capacity is reserved for failures");
}
