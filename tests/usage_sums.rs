//! The sum of what an organisation uses over all entries, in virtual time, with and without contact.

#[path = "fakes/cap_fleet.rs"]
mod cap_fleet;

use {
    cap_fleet::{CapFleet, FETCH, Fault, REPLY_LIMIT, WARM_UP},
    oleandermount::policy::usage_limits::UsageUnit,
};

const SIZES: [usize; 3] = [6, 67, 295];
const KINDS: [UsageUnit; 2] = [UsageUnit::Requests, UsageUnit::Tokens];

/// Runs fleets of all sizes, by requests and by tokens, at a rate of `each` requests a second an entry.
fn all_fleets(each: f64, load: f64, check: impl Fn(CapFleet)) {
    for entries in SIZES {
        for unit in KINDS {
            check(CapFleet::new(entries, each, unit, load, 7 + entries as u64));
        }
    }
}

fn check_overload(mut fleet: CapFleet, length: f64) {
    let until = WARM_UP + length;
    fleet.run(until, []);
    let entries = fleet.names.len();
    let (highest, used) =
        (fleet.highest(0.0, until, 1.0), fleet.use_of(WARM_UP + 1.0, until, 0..entries));
    println!("{entries} {:?}: highest {highest:.3}, used {used:.3}", fleet.cap.unit);
    assert!(highest <= 1.0, "{entries} entries used {highest}");
    assert!(used >= 0.95, "{entries} entries used only {used}");
}

#[test]
fn rare_overload() {
    all_fleets(0.5, 3.0, |fleet| check_overload(fleet, 16.0));
}

#[test]
fn frequent_overload() {
    all_fleets(100.0, 3.0, |fleet| {
        let length = if fleet.names.len() > 100 { 3.0 } else { 9.0 };
        check_overload(fleet, length);
    });
}

fn check_within(mut fleet: CapFleet, length: f64) {
    let until = WARM_UP + length;
    // The last requests have their replies before the end.
    fleet.closes = until - 2.0 * REPLY_LIMIT;
    fleet.run(until, []);
    let (entries, refused) = (fleet.names.len(), fleet.refused.len());
    let highest = fleet.highest(0.0, until, 1.0);
    println!(
        "{entries} {:?}: highest {highest:.3}, refused {refused}, by one bucket {}, of {}",
        fleet.cap.unit,
        fleet.ideal_refused,
        fleet.used.len()
    );
    assert!(highest <= 1.0);
    let (used, ideal) =
        (fleet.use_of(0.0, until, 0..entries), fleet.ideal_used / (fleet.cap.rate * until));
    // Where nothing is refused, all is used that was asked for.
    let is_needless = refused > 0 && (fleet.ideal_refused == 0 || used < ideal);
    assert!(!is_needless, "{entries} entries refused {refused}, used {used}, one bucket {ideal}");
}

#[test]
fn rare_within() {
    all_fleets(0.5, 0.9, |fleet| check_within(fleet, 30.0));
}

#[test]
fn frequent_within() {
    all_fleets(100.0, 0.9, |fleet| {
        let length = if fleet.names.len() > 100 { 3.0 } else { 9.0 };
        check_within(fleet, length);
    });
}

/// Runs a fleet through faults that begin at 20 s and checks the bound of all windows.
fn check_faults(fleet: &mut CapFleet, until: f64, faults: impl IntoIterator<Item = (f64, Fault)>) {
    fleet.run(until, faults);
    let highest = fleet.highest(0.0, until, 1.0);
    let entries = fleet.names.len();
    let by_time: Vec<String> = (WARM_UP as usize + 1..until as usize)
        .map(|at| format!("{:.2}", fleet.use_of(at as f64, at as f64 + 1.0, 0..entries)))
        .collect();
    println!("{entries} {:?}: highest {highest:.3}, {}", fleet.cap.unit, by_time.join(" "));
    assert!(highest <= 1.0, "{entries} entries used {highest}");
}

/// Fleets with an arbiter in the first third of the entries or outside, by requests and by tokens.
fn fault_fleets(check: impl Fn(CapFleet)) {
    use UsageUnit::{Requests, Tokens};
    for (entries, each, unit, in_first) in [
        (6, 5.0, Tokens, false),
        (6, 0.5, Requests, true),
        (67, 0.5, Tokens, true),
        (67, 3.0, Requests, false),
        (295, 0.3, Tokens, true),
    ] {
        let mut fleet = CapFleet::new(entries, each, unit, 2.0, 11 + entries as u64);
        fleet.place_arbiter(in_first);
        check(fleet);
    }
}

/// The arbiter's process ends and another one starts on its VM at once, or much later.
#[test]
fn killed_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Kill(arbiter)), (24.0, Fault::Kill(arbiter))];
        check_faults(&mut fleet, 40.0, faults);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 40.0, 0..entries) > 0.7);
    });
}

/// The arbiter's VM freezes for longer than the control VMs wait, and wakes with all that waits for it.
#[test]
fn frozen_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        check_faults(&mut fleet, 48.0, [(20.0, Fault::Freeze(arbiter, 12.0))]);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 48.0, 0..entries) > 0.7);
    });
}

/// The arbiter alone reaches nobody, but has callers.
#[test]
fn isolated_arbiter() {
    fault_fleets(|mut fleet| {
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Isolate(arbiter)), (38.0, Fault::Heal)];
        check_faults(&mut fleet, 48.0, faults);
        let entries = fleet.names.len();
        assert!(fleet.use_of(21.0, 48.0, 0..entries) > 0.7);
    });
}

/// A failure domain is cut off and comes back, with and without the arbiter in it; it goes on being served.
#[test]
fn cut_domain() {
    fault_fleets(|mut fleet| {
        check_faults(&mut fleet, 48.0, [(20.0, Fault::Cut), (36.0, Fault::Heal)]);
        let (third, entries) = (fleet.names.len() / 3, fleet.names.len());
        let inside = fleet.use_of(21.0, 28.0, 0..third);
        let outside = fleet.use_of(21.0, 36.0, third..entries);
        let after = fleet.use_of(38.0, 48.0, 0..entries);
        println!("  inside {inside:.3}, outside {outside:.3}, after {after:.3}");
        assert!(inside > 0.2 && outside > 0.5 && after > 0.9);
    });
}

/// All entries stop and start in turn, so that arbiters and shares move all the time.
#[test]
fn rolling_restart() {
    fault_fleets(|mut fleet| {
        let entries = fleet.names.len();
        let step = 20.0 / entries as f64;
        let faults = (0..entries).map(|entry| (18.0 + step * entry as f64, Fault::Kill(entry)));
        check_faults(&mut fleet, 44.0, faults.collect::<Vec<_>>());
        assert!(fleet.use_of(18.0, 44.0, 0..entries) > 0.6);
    });
}

/// Nine tenths of the connections are at one entry, which is cut off with its domain.
#[test]
fn skewed_callers() {
    fault_fleets(|mut fleet| {
        fleet.skew = 0.9;
        check_faults(&mut fleet, 40.0, [(24.0, Fault::Cut), (30.0, Fault::Heal)]);
        let entries = fleet.names.len();
        assert!(fleet.use_of(WARM_UP + 1.0, 24.0, 0..entries) > 0.95);
        assert!(fleet.use_of(25.0, 30.0, 0..entries) > 0.5);
    });
}

/// The cap falls to a tenth and rises again; the lower one binds a window after all entries have it.
#[test]
fn changed_cap() {
    fault_fleets(|mut fleet| {
        check_faults(&mut fleet, 50.0, [(16.0, Fault::Cap(0.1)), (36.0, Fault::Cap(1.0))]);
        let entries = fleet.names.len();
        let low = fleet.highest(16.0 + FETCH, 36.0, 0.1);
        let used =
            (fleet.use_of(18.0, 36.0, 0..entries) * 10.0, fleet.use_of(38.0, 50.0, 0..entries));
        println!("  low {low:.3}, used {:.3} {:.3}", used.0, used.1);
        assert!(low <= 1.0 && used.0 > 0.9 && used.1 > 0.9);
    });
}

/// The lists of some entries lag while the arbiter is lost and comes back, so that two act at once.
#[test]
fn lagging_lists() {
    fault_fleets(|mut fleet| {
        fleet.lag = 3.0;
        let arbiter = fleet.arbiter();
        let faults = [(20.0, Fault::Isolate(arbiter)), (28.0, Fault::Heal)];
        check_faults(&mut fleet, 48.0, faults);
    });
}

/// One message in twenty is lost.
#[test]
fn lost_replies() {
    fault_fleets(|mut fleet| {
        fleet.loss = 0.05;
        check_faults(&mut fleet, 30.0, []);
        let entries = fleet.names.len();
        assert!(fleet.use_of(WARM_UP + 1.0, 30.0, 0..entries) > 0.8);
    });
}
