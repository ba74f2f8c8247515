//! Leases at engines that share their machines: a burst of long prompts, more than the memory of the
//! engines holds, while a third of them crash and return with empty caches, and short requests beside.

#[path = "fakes/shared_fleet.rs"]
mod shared_fleet;

use shared_fleet::{EntryFailure, ORGANISATIONS, Outcomes, SharedFleet};

/// Guards against a fleet that sends into full engines for seconds, and lets requests wait there until their
/// deadline.
#[test]
fn burst_of_long_prompts_is_bounded() {
    let mut blind = SharedFleet::new(21, EntryFailure::None, false);
    blind.run();
    blind.print("without leases");
    assert!(blind.total.queued * 50 > blind.total.asked, "the load is more than the engines hold");
    let mut fleet = SharedFleet::new(21, EntryFailure::None, true);
    fleet.run();
    fleet.print("leased");
    let total = &fleet.total;
    assert!(total.rejected * 50 < total.asked, "{total:?}");
    assert!(total.queued * 50 < total.asked, "{total:?}");
    assert!(total.expired * 100 < total.asked, "{total:?}");
    assert!(total.refused_beside_free * 100 < total.asked, "{total:?}");
    let short = &fleet.kinds[0];
    assert!(short.late * 20 < short.asked, "{short:?}");
    let after = &fleet.spans[24..26];
    let (in_time, asked) = after
        .iter()
        .fold((0, 0), |(in_time, asked), span| (in_time + span.in_time, asked + span.asked));
    assert!(in_time * 2 >= asked, "two seconds after the burst: {in_time} of {asked}");
    let parts = fleet.organisations.iter().map(|outcomes| {
        f64::from(outcomes.in_time + outcomes.late) / f64::from(outcomes.asked.max(1))
    });
    let mut parts: Vec<f64> = parts.collect();
    parts.sort_by(f64::total_cmp);
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    let worst = parts[..ORGANISATIONS / 10].iter().sum::<f64>() / (ORGANISATIONS / 10) as f64;
    assert!(worst >= mean / 2.0, "{worst:.3} of {mean:.3}");
}

/// Runs a fleet in which entries fail; returns the part of the requests that are answered, by those with all
/// entries.
fn compare(failure: EntryFailure) -> (f64, Outcomes) {
    let mut sound = SharedFleet::new(22, EntryFailure::None, true);
    sound.run();
    let mut fleet = SharedFleet::new(22, failure, true);
    fleet.run();
    fleet.print(&format!("{failure:?}"));
    let part = |outcomes: &Outcomes| f64::from(outcomes.in_time) / f64::from(outcomes.asked);
    (part(&fleet.total) / part(&sound.total), fleet.total)
}

/// Guards against engines that are overrun, or left, while their arbiters are gone and others take over.
#[test]
fn killed_arbiters_are_replaced() {
    let (part, total) = compare(EntryFailure::Killed);
    assert!(total.rejected * 50 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.8, "{part:.3}");
}

/// Guards against requests that wait for arbiters which stand still.
#[test]
fn frozen_arbiters_are_left_alone() {
    let (part, total) = compare(EntryFailure::Frozen);
    assert!(total.expired * 100 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.9, "{part:.3}");
}

/// Guards against engines that are overrun after a part of the entries was cut off from their arbiters.
#[test]
fn cut_off_entries_return() {
    let (part, total) = compare(EntryFailure::CutOff);
    assert!(total.expired * 100 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.6, "{part:.3}");
}

/// Guards against slots that are leased twice by entries that start in turn.
#[test]
fn restarted_arbiters_settle() {
    let (part, total) = compare(EntryFailure::Restarted);
    assert!(total.rejected * 50 < total.asked && total.queued * 50 < total.asked, "{total:?}");
    assert!(part >= 0.8, "{part:.3}");
}

/// Guards against entries that use up their tries at engines which the list still has.
#[test]
fn lagging_lists_cost_little() {
    let (part, total) = compare(EntryFailure::LaggingList);
    assert!(total.expired * 100 < total.asked, "{total:?}");
    assert!(part >= 0.9, "{part:.3}");
}
