//! What a server's figure of its work time is worth by its age, and what a wrong one does.

use {
    oleandermount::policy::work_time::{FigureDecay, WorkTimeRecord},
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::time::{Duration, Instant},
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn expected(
    record: &WorkTimeRecord,
    now: Instant,
    age: Duration,
    decay: &FigureDecay,
) -> Option<f64> {
    record.expected(now + age, Duration::ZERO, decay)
}

#[test]
fn silent_server_has_no_ratio() {
    let (record, decay, now) = (WorkTimeRecord::default(), FigureDecay::default(), Instant::now());
    assert_eq!(record.expected(now, millis(100), &decay), None);
    assert_eq!(record.held(now, millis(100), &decay), None);
}

#[test]
fn figure_is_worth_less_with_age() {
    let (mut record, mut decay, now) =
        (WorkTimeRecord::default(), FigureDecay::default(), Instant::now());
    record.record(now, 2.5, &mut decay);
    let at = |age| expected(&record, now, millis(age), &decay).expect("a figure was stated");
    assert!(at(50) > 2.2, "{}", at(50));
    assert!(at(200) > at(400) && at(50) > at(200));
    assert!(at(700) < 1.5, "{}", at(700));
    assert_eq!(at(700), at(5_000));
}

// Guards against long work that is predicted from a slow moment that ends soon.
#[test]
fn long_work_takes_mean_ratio() {
    let (mut record, mut decay, now) =
        (WorkTimeRecord::default(), FigureDecay::default(), Instant::now());
    record.record(now, 2.5, &mut decay);
    let over = |length| record.expected(now, millis(length), &decay).expect("a figure was stated");
    assert!(over(100) > 2.2);
    assert_eq!(Some(over(4_000)), expected(&record, now, millis(4_000), &decay));
}

// Guards against a decay that is assumed: figures of machines that change every 100 ms are worth
// nothing after 300 ms, those of machines that change every 2 s nearly everything.
#[test]
fn worth_follows_observed_changes() {
    let observe = |hold: u64| {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(hold);
        let (mut record, mut decay) = (WorkTimeRecord::default(), FigureDecay::default());
        let (now, mut at, mut ratio, mut changes_at) = (Instant::now(), 0, 1.0, 0);
        for _ in 0..4_000 {
            at += random.next_u64() % 300;
            while at >= changes_at {
                ratio = if random.next_u64().is_multiple_of(4) { 2.5 } else { 0.9 };
                changes_at += hold;
            }
            record.record(now + millis(at), ratio, &mut decay);
        }
        decay
    };
    let (short, long) = (observe(100), observe(2_000));
    assert!(long.worth(millis(70)) > 0.9, "{}", long.worth(millis(70)));
    assert!(short.worth(millis(300)) < 0.3, "{}", short.worth(millis(300)));
    assert!(short.worth(millis(70)) < long.worth(millis(70)));
}

// Guards against a server that is never used again, or gets everything, after a wrong figure.
#[test]
fn wrong_figures_are_bounded() {
    let (mut decay, now) = (FigureDecay::default(), Instant::now());
    for (stated, believed) in [(1e9, 8.0), (1e-9, 0.125)] {
        let mut record = WorkTimeRecord::default();
        record.record(now, stated, &mut decay);
        assert_eq!(expected(&record, now, Duration::ZERO, &decay), Some(believed));
    }
    let mut record = WorkTimeRecord::default();
    for invalid in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        record.record(now, invalid, &mut decay);
    }
    assert!(!record.is_stated(now));
}

// Guards against a server that keeps its last figure after it has left the shared machine.
#[test]
fn old_figure_is_forgotten() {
    let (mut record, mut decay, now) =
        (WorkTimeRecord::default(), FigureDecay::default(), Instant::now());
    record.record(now, 2.5, &mut decay);
    assert!(record.is_stated(now + millis(20_000)));
    assert_eq!(expected(&record, now, millis(40_000), &decay), None);
}

// Guards against a burst of responses at one slow moment that counts as many observations of the
// server's mean.
#[test]
fn burst_is_one_observation() {
    let (mut record, mut decay, now) =
        (WorkTimeRecord::default(), FigureDecay::default(), Instant::now());
    for at in 0..50 {
        record.record(now + millis(at), 2.5, &mut decay);
    }
    let mean = expected(&record, now, millis(10_000), &decay).expect("a figure was stated");
    assert!(mean < 1.8, "{mean}");
}
