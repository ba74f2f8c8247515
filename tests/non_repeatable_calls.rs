//! An office books a delivery slot, hears nothing, and sends the booking again through other
//! daemons. Two vans must never come, and none must come after an answer that said that nothing
//! ran. Meanwhile the daemon that holds the claim is killed, frozen and thawed, or cut off, or the
//! service answers late; the claim in the ledger outlives all of these.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run},
    futures::future::{join, join_all},
    serde_json::json,
    std::sync::Mutex,
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
/// Too short for an answer that the test holds back.
const HASTY: &str = "1500";
/// Longer than any test waits.
const PATIENT: &str = "80000";

/// Books and checks what holds after each answer; `lost` when the connection broke. `earlier` are
/// the answers before this one under the same key.
async fn book(group: &DaemonGroup, vm: &str, key: &str, wait: &str, earlier: &[&str]) -> String {
    let answer = group.book(vm, key, wait).await;
    let told = answer.as_ref().map_or("lost".to_owned(), did_run);
    let runs = group.runs_of(key);
    let is_sure = told == "no" && earlier.iter().all(|told| *told == "no");
    assert!(runs <= 1, "{key} ran {runs} times");
    assert!(!is_sure || runs == 0, "{key} ran, but its caller heard that it did not: {answer:?}");
    assert!(told != "yes" || runs == 1, "{key} has an answer but ran {runs} times: {answer:?}");
    told
}

/// Sends a booking again while it is refused as not run, as an election may do for a moment.
async fn insist(group: &DaemonGroup, vm: &str, key: &str, wait: &str) -> String {
    let told: Mutex<String> = Mutex::default();
    group
        .wait(&format!("{vm} does not refuse {key}"), async || {
            let answer = book(group, vm, key, wait, &["lost"]).await;
            *told.lock().expect("no holder panics") = answer.clone();
            answer != "no"
        })
        .await;
    told.into_inner().expect("no holder panics")
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_leaves_it_unknown() {
    let mut group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    let sent = book(&group, "a-1", "k", PATIENT, &[]);
    let resent = async {
        group.wait("the service runs it", async || group.runs_of("k") == 1).await;
        insist(&group, "b-1", "k", HASTY).await
    };
    let killed = async {
        let told = resent.await;
        assert_eq!(told, "unknown", "the holder is still at it");
    };
    // The first caller's connection ends with the daemon.
    tokio::select! {
        told = sent => panic!("the service holds its answer back: {told}"),
        () = killed => {}
    }
    group.kill("a-1");
    group.release_services();
    assert_eq!(insist(&group, "c-1", "k", HASTY).await, "unknown");
    group.restart("a-1", DataFolder::Kept).await;
    group.wait_ready("a-1", 2).await;
    // The first booking of its new life tells the others that the old one is over.
    assert_eq!(insist(&group, "a-1", "other", PATIENT).await, "yes");
    for vm in VMS {
        assert_eq!(insist(&group, vm, "k", PATIENT).await, "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn thawed_holder_sends_nothing_late() {
    let group = DaemonGroup::start(&VMS).await;
    let keys: Vec<String> = (0..40).map(|number| format!("k{number}")).collect();
    let first = join_all(keys.iter().map(|key| book(&group, "a-1", key, HASTY, &["lost"])));
    let resends = async {
        // Some are claimed, some sent, some answered when time stops for the holder.
        let ran = async || keys.iter().any(|key| group.runs_of(key) == 1);
        group.wait("a booking runs", ran).await;
        group.freeze("a-1");
        let resent = keys.iter().map(|key| book(&group, "b-1", key, HASTY, &["lost"]));
        let resent = join_all(resent).await;
        // The deadlines of the first sends are over, since those of the resends are.
        group.thaw("a-1");
        resent
    };
    let (first, resent) = join(first, resends).await;
    for (key, told) in keys.iter().zip(first.iter().zip(&resent)) {
        let earlier = [told.0.as_str(), told.1.as_str()];
        let is_sure = earlier == ["no", "no"];
        assert!(!is_sure || group.runs_of(key) == 0, "{key} ran after two answers that deny it");
        insist(&group, "c-1", key, PATIENT).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_holder_keeps_its_claim() {
    let group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    let resends = async {
        group.wait("the service runs it", async || group.runs_of("k") == 1).await;
        group.cut_domain("a");
        group.wait_leader(&["b-1", "c-1"]).await;
        assert_eq!(insist(&group, "b-1", "k", HASTY).await, "unknown");
        // Without a quorum nothing is claimed, and the refusal is true for good.
        let refused = group.book("a-1", "new", PATIENT).await.expect("it is answered");
        assert_eq!((refused.status.as_u16(), refused.code().as_str()), (503, "no_quorum"));
        assert_eq!((did_run(&refused).as_str(), group.runs_of("new")), ("no", 0));
        group.release_services();
        assert_eq!(insist(&group, "b-1", "new", PATIENT).await, "yes");
        group.heal();
        assert_eq!(insist(&group, "c-1", "k", PATIENT).await, "yes");
    };
    let (told, ()) = join(book(&group, "a-1", "k", PATIENT, &[]), resends).await;
    assert_eq!(told, "yes", "its own caller gets the service's answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_reaches_the_resend() {
    let group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    assert_eq!(insist(&group, "a-1", "k", HASTY).await, "unknown");
    assert_eq!(insist(&group, "b-1", "k", HASTY).await, "unknown");
    group.release_services();
    let answer = group.book("c-1", "k", PATIENT).await.expect("it is answered");
    assert_eq!((answer.status.as_u16(), &answer.json()["run"]), (200, &json!(1)));
    assert_eq!(group.runs_of("k"), 1);
}
