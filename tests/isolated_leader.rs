//! The control VM that leads is cut off and does not notice: operators and callers still reach it.
//! What it is told there must not come into force, the others elect another leader and go on, and
//! after the cut the old leader has their state. A change or booking that was said not to have
//! happened never takes effect, though the old leader had it in its log.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, did_run},
    futures::future::join,
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
const PATIENT: &str = "80000";

#[tokio::test(flavor = "multi_thread")]
async fn isolated_leader_commits_nothing() {
    let group = DaemonGroup::start(&VMS).await;
    let leader = group.wait_leader(&VMS).await;
    let others: Vec<&str> = VMS.into_iter().filter(|vm| *vm != leader).collect();
    // Asked right at the cut, while it still leads by its own lights.
    group.isolate_domain(&leader[..1]);
    let change = group.propose(&leader, "rules", "lost", 2, group.rules(9.0));
    let (change, booking) = join(change, group.call_once(&leader, "k", PATIENT)).await;
    let change = change.expect("operators are answered");
    assert!(matches!(change.status.as_u16(), 503 | 504), "{change:?}");
    let booking = booking.expect("callers are answered");
    assert_eq!((booking.status.as_u16(), did_run(&booking).as_str()), (503, "no"), "{booking:?}");
    assert_eq!(group.wait_leader(&others).await.len(), leader.len());
    // The others go on for long: several changes and a booking.
    for number in 3..8 {
        let rules = group.rules(number as f64);
        group.change(others[0], "rules", &format!("change-{number}"), number - 1, rules).await;
    }
    group
        .wait("the others book", async || {
            let answer = group.call_once(others[1], "k", PATIENT).await.expect("it is answered");
            answer.status == 200
        })
        .await;
    assert_eq!(group.runs_of("k"), 1);
    assert_eq!(group.revision(&leader).await, 2);
    let again = group.call_once(&leader, "late", PATIENT).await.expect("it is answered");
    assert_eq!((did_run(&again).as_str(), group.runs_of("late")), ("no", 0));
    group.heal();
    group.wait_ready(&leader, 7).await;
    group.wait_leader(&VMS).await;
    // Its own change lost to the others' whatever it answered, and the booking did not run again.
    for vm in VMS {
        let config = group.read(vm, "/v1/config").await;
        let weight = &config["rules"]["organisations"][0]["weight"];
        assert_eq!((&config["revision"], weight), (&7.into(), &7.0.into()), "{vm}");
        group
            .wait(&format!("{vm} gives the kept answer"), async || {
                let answer = group.call_once(vm, "k", PATIENT).await.expect("it is answered");
                answer.status == 200
            })
            .await;
        assert_eq!(group.runs_of("k"), 1);
    }
    let resent = group.propose(&leader, "rules", "lost", 2, group.rules(9.0)).await;
    assert_eq!(resent.expect("operators are answered").status, 409);
}
