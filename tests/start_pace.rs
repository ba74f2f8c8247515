//! Servers that start or return with cold caches while requests for them wait at many entries.

#[path = "fakes/start_model.rs"]
mod start_model;

use {
    oleandermount::policy::slot_leases::ServerStart,
    start_model::{PaceMode, ServerCondition, StartCase, StartModel, StartResult},
};

/// Entries and servers.
const SIZES: [(usize, usize); 3] = [(6, 3), (82, 30), (295, 90)];
/// Slots of an engine, and of a server of a plain service.
const SLOTS: usize = 24;
const PLAIN_SLOTS: usize = 6;
/// Random seeds of each case.
const SEEDS: u64 = 5;
/// Time in which a server that bears all of its slots has to be in full use.
const FULL_USE: f64 = 3.0;

const PACED: PaceMode = PaceMode::Paced(ServerStart::Fresh);

fn case(size: (usize, usize), condition: ServerCondition) -> StartCase {
    StartCase { size, slots: SLOTS, returning: 1, load: 0.9, condition, mode: PACED }
}

/// Plays a case with each seed and returns the sum of the results. `cargo test -- --nocapture` prints it.
fn run(case: StartCase, mode: PaceMode) -> StartResult {
    let case = StartCase { mode, ..case };
    let results = (1..=SEEDS).map(|seed| StartModel::run(case, seed));
    let result = results.reduce(StartResult::merge).expect("there are seeds");
    let late = [result.started, result.in_use, result.callers].map(|count| count.late_part());
    println!("{case:?}: late {late:.3?}, full use {:.2?}", result.full_use);
    result
}

/// The bounds of each started server that answers: full use in time, no more late runs there than at the
/// servers in use, no more late requests elsewhere than while it is away.
fn assert_paced(case: StartCase, result: &StartResult) {
    assert!(result.full_use.is_some_and(|time| time <= FULL_USE), "{case:?}");
    assert!(result.started.is_as_good_as(&result.in_use), "{case:?}");
    let away = run(case, PaceMode::Away);
    assert!(result.elsewhere.is_as_good_as(&away.elsewhere), "{case:?}");
    assert!(result.callers.is_as_good_as(&away.callers), "{case:?}");
}

/// Guards against a server with cold caches that is sent as many requests as it has slots, so that all of
/// them are late, or that gets one after the other and stays idle.
#[test]
fn cold_server() {
    for size in SIZES {
        let case = case(size, ServerCondition::Cold);
        assert_paced(case, &run(case, PACED));
        let flooded = run(case, PaceMode::Flooded);
        assert!(!flooded.started.is_as_good_as(&flooded.in_use), "{case:?}");
        assert!(run(case, PaceMode::Single).full_use.is_none_or(|time| time > FULL_USE));
    }
}

/// Guards against a pace that holds back a plain service which starts slowly: its callers are on time, and
/// fewer requests at a time would not make it faster.
#[test]
fn slow_service() {
    for size in SIZES {
        let case = StartCase { slots: PLAIN_SLOTS, ..case(size, ServerCondition::Slow) };
        let paced = run(case, PACED);
        assert_paced(case, &paced);
        let thirds = StartCase { returning: size.1 / 3, ..case };
        assert_paced(thirds, &run(thirds, PACED));
        let (paced, single) = (paced.full_use, run(case, PaceMode::Single).full_use);
        assert!(
            single.is_none_or(|time| paced.is_some_and(|paced| 2.0 * paced < time)),
            "{case:?}"
        );
    }
}

/// Guards against a pace that holds back a server which is well from the first request.
#[test]
fn well_server() {
    for size in SIZES {
        let case = case(size, ServerCondition::Well);
        assert_paced(case, &run(case, PACED));
        assert!(run(case, PaceMode::Single).full_use.is_none_or(|time| time > FULL_USE));
    }
}

/// Guards against a server that comes back broken and fails as many requests as it has slots.
#[test]
fn broken_server() {
    for size in SIZES {
        let case = case(size, ServerCondition::Broken);
        let (paced, flooded) = (run(case, PACED), run(case, PaceMode::Flooded));
        assert!(paced.most_held <= SLOTS / 8, "{case:?}");
        assert_eq!(flooded.most_held, SLOTS);
        assert!(paced.started.late * 4 <= flooded.started.late, "{case:?}");
    }
}

/// Guards against a cold server that is flooded by what the others can't run.
#[test]
fn overload_start() {
    for size in SIZES {
        let case = StartCase { load: 1.6, ..case(size, ServerCondition::Cold) };
        assert_paced(case, &run(case, PACED));
        let flooded = run(case, PaceMode::Flooded);
        assert!(!flooded.started.is_as_good_as(&flooded.in_use), "{case:?}");
    }
}

/// Guards against a failure domain that comes back at once: its cold servers take the load of a third of
/// the fleet from one moment to the next. The last entry has its part of what that gains.
#[test]
fn returning_third() {
    for size in SIZES {
        let case = StartCase { returning: size.1 / 3, ..case(size, ServerCondition::Cold) };
        let paced = run(case, PACED);
        assert_paced(case, &paced);
        for mode in [PaceMode::Flooded, PaceMode::Single] {
            let other = run(case, mode);
            assert!(paced.callers.late_part() < 0.75 * other.callers.late_part(), "{mode:?}");
        }
        let all = paced.callers.late_part();
        for entry in &paced.entries {
            let error = (all * (1.0 - all) / entry.runs as f64).sqrt();
            assert!(entry.late_part() <= all + 4.0 * error, "{entry:?}");
        }
    }
}

/// Guards against an arbiter that starts together with the server and floods it because it has no earlier
/// list.
#[test]
fn arbiter_starts_too() {
    for size in SIZES {
        let case = case(size, ServerCondition::Cold);
        assert_paced(case, &run(case, PaceMode::Paced(ServerStart::Unknown)));
    }
}
