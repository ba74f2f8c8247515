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
    let budget = LogBudget { queue: 64, routine_per_second: 10.0 };
    let (log, drain) = BoundedLog::new(LevelFilter::Info, budget);
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
    drain.run(sink.clone());
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
    let (log, drain) = BoundedLog::new(LevelFilter::Info, LogBudget::default());
    record(&log, Level::Warn, "one");
    drain.run(Gone);
    (0..5_000).for_each(|_| record(&log, Level::Warn, "more"));
}
