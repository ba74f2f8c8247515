//! The sum of the requests of many daemons to a server that limits them.

use {
    oleandermount::policy::pacing::{DaemonCount, ServerPace},
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(60);
const SEEDS: u64 = 10;

/// Which daemons have requests for the server at a time since the beginning.
type Demand = fn(daemon: usize, elapsed: Duration) -> bool;

/// Returns the number of requests in the worst window, and in a second on average.
fn simulate(daemons: usize, limit: f64, seed: u64, demand: Demand) -> (usize, f64) {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut unit = || (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let began = Instant::now();
    let mut paces: Vec<ServerPace> =
        (0..daemons).map(|_| ServerPace::new(began, limit, daemons, unit())).collect();
    let mut sent: Vec<Duration> = Vec::new();
    for step in 0..(LENGTH.as_millis() / STEP.as_millis()) as u32 {
        let elapsed = STEP * step;
        let now = began + elapsed;
        for (daemon, pace) in paces.iter_mut().enumerate() {
            if demand(daemon, elapsed) {
                pace.record_want(now, unit());
                while pace.is_open(now) {
                    pace.spend(now);
                    sent.push(elapsed);
                }
            }
        }
    }
    let in_window =
        |start: &Duration| sent.iter().filter(|at| (*start..*start + WINDOW).contains(*at)).count();
    let worst = sent.iter().map(in_window).max().unwrap_or_default();
    (worst, sent.len() as f64 / LENGTH.as_secs_f64())
}

fn allowed(limit: f64) -> usize {
    (1.5 * WINDOW.as_secs_f64() * limit) as usize + 5
}

/// Guards against daemons that learn of a limit at the same time and spend their first credit together.
#[test]
fn sum_keeps_to_limit() {
    for (daemons, limit) in [(1, 1.0), (6, 1.0), (9, 0.3), (88, 2.0), (295, 1.0), (295, 40.0)] {
        for seed in 0..SEEDS {
            let (worst, mean) = simulate(daemons, limit, seed, |_, _| true);
            let case = format!("{daemons} daemons, limit {limit}, seed {seed}");
            assert!(worst <= allowed(limit), "{case}: {worst} in {WINDOW:?}");
            assert!(mean <= limit && mean >= 0.5 * limit - 0.1, "{case}: {mean} a second");
        }
    }
}

/// Guards against daemons that save credit while they are idle and spend it in the same second.
#[test]
fn idle_daemons_save_nothing() {
    let demand: Demand = |_, elapsed| elapsed.as_secs() % 20 >= 15;
    for seed in 0..SEEDS {
        for (daemons, limit) in [(6, 1.0), (295, 1.0), (295, 4.0)] {
            let (worst, _) = simulate(daemons, limit, seed, demand);
            assert!(worst <= allowed(limit), "{daemons}, {limit}, seed {seed}: {worst}");
        }
    }
}

/// Guards against daemons whose requests are so rare that they never earn the credit for one.
#[test]
fn rare_requests_are_sent() {
    let demand: Demand = |daemon, elapsed| elapsed.as_millis() as usize / 20 % 250 == daemon % 250;
    for seed in 0..SEEDS {
        let (worst, mean) = simulate(295, 40.0, seed, demand);
        assert!(worst <= allowed(40.0) && mean >= 8.0, "seed {seed}: {worst}, {mean} a second");
    }
}

/// The number of daemons falls for a moment when they look for another control VM.
#[test]
fn short_decrease_is_ignored() {
    let (mut count, began) = (DaemonCount::default(), Instant::now());
    let at = |seconds| began + Duration::from_secs(seconds);
    assert_eq!(count.update(at(0), 295), 295);
    assert_eq!(count.update(at(1), 3), 295);
    assert_eq!(count.update(at(2), 295), 295);
    assert_eq!(count.update(at(3), 200), 295);
    assert_eq!(count.update(at(9), 180), 200);
    assert_eq!(count.update(at(10), 300), 300);
}
