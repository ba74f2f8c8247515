//! A flood of records holds nobody up, stays within its bound, and leaves room for what failed.
//!
//! Without the bound a reader of standard output that stalls would stop every request: each record
//! would wait for it.

use {
    log::{Level, LevelFilter, Log, Record},
    oleandermount::observe::bounded_log::{BoundedLog, LogBudget},
    std::{
        io::{self, Write},
        sync::{Arc, Mutex},
    },
};

fn record(log: &BoundedLog, level: Level, text: &str) {
    log.log(&Record::builder().level(level).target("test").args(format_args!("{text}")).build());
}

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody empties the queue while all is logged: were anything to wait, this test would not end.
#[test]
fn failures_survive_a_flood() {
    let budget = LogBudget {
        queue: 64,
        routine_per_second: 10.0,
        failures_per_second: f64::INFINITY,
        bytes_per_second: f64::INFINITY,
    };
    let (log, writer) = BoundedLog::new(LevelFilter::Info, budget);
    for number in 0..50_000 {
        record(&log, Level::Info, &format!("routine {number}"));
    }
    for number in 0..20 {
        record(&log, Level::Warn, &format!("failed {number}"));
    }
    for number in 0..50_000 {
        record(&log, Level::Warn, &format!("more {number}"));
    }
    drop(log);
    let sink = Sink::default();
    writer.run(sink.clone());
    let bytes = sink.0.lock().expect("no writer panics").clone();
    let text = String::from_utf8(bytes).expect("records are text");
    assert!((0..20).all(|number| text.contains(&format!("\"failed {number}\""))), "{text}");
    assert!(text.lines().count() <= 65, "the queue and the line that tells of the gap");
    assert!(text.contains("log records left out") && text.contains("\"count\":"), "{text}");
}

/// A reader that goes away ends the writer, and logging goes on without it.
#[test]
fn reader_goes_away() {
    struct Gone;
    impl Write for Gone {
        fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (log, writer) = BoundedLog::new(LevelFilter::Info, LogBudget::default());
    record(&log, Level::Warn, "one");
    writer.run(Gone);
    (0..5_000).for_each(|_| record(&log, Level::Warn, "more"));
}

/// What operators saw without it: a caller who asked for paths that do not exist, thousands of times a
/// second, filled the disk of whoever collects the logs. Warnings have a budget too, and all records
/// together one in bytes, half of which routine records leave to what failed.
#[test]
fn budgets_bound_all_records() {
    let kept = |budget: LogBudget, level: Level, text: &str| {
        let (log, writer) = BoundedLog::new(LevelFilter::Info, budget);
        (0..1_000).for_each(|_| record(&log, level, text));
        record(&log, Level::Error, "the last failure");
        drop(log);
        let sink = Sink::default();
        writer.run(sink.clone());
        let bytes = sink.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(bytes).expect("records are text");
        (text.lines().filter(|line| line.contains("test")).count(), text.len(), text)
    };
    let few = LogBudget { failures_per_second: 5.0, ..LogBudget::default() };
    let (lines, _, _) = kept(few, Level::Warn, "failed");
    // A machine that stands still for ten seconds meanwhile earns the budget ten times more.
    assert!((5..100).contains(&lines), "{lines} of 1,000 warnings");
    let short =
        LogBudget { routine_per_second: 1e6, bytes_per_second: 20_000.0, ..LogBudget::default() };
    let (_, bytes, text) = kept(short, Level::Info, &"long ".repeat(100));
    assert!(bytes < 300_000, "{bytes} of some 600,000 bytes");
    assert!(text.contains("the last failure"), "routine records leave it room");
}
