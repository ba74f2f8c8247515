//! A control VM loses its disk and restarts with an empty folder. Operators replace its replica,
//! and immediately after that repair a second control VM fails.
//!
//! Every acknowledged change and non-repeatable call must survive: the empty replica must not vote
//! as if it had stored them, and after the repair it must be one of the two that store them.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run},
    serde_json::{Value, json},
    std::sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
const LONG_DEADLINE_MS: &str = "80000";

/// Sends a non-repeatable call until it succeeds; returns the body of the response.
async fn call_until_success(group: &DaemonGroup, vm: &str, key: &str) -> Value {
    let body = Mutex::default();
    group
        .wait_until(&format!("{vm} executes {key}"), async || {
            let response =
                group.call_non_repeatable(vm, key, LONG_DEADLINE_MS).await.expect("a response");
            assert_ne!(did_run(&response), "unknown", "an acknowledged call is lost: {response:?}");
            *body.lock().expect("no holder panics") = response.json();
            response.status == 200
        })
        .await;
    assert_eq!(group.runs_of(key), 1);
    body.into_inner().expect("no holder panics")
}

/// The entry of the replica on `other` in the list of `vm`; `Null` if there is none.
async fn replica_entry(group: &DaemonGroup, vm: &str, other: &str) -> Value {
    let replicas = group.read_json(vm, "/v1/replicas").await;
    let mut entries = replicas.as_array().cloned().unwrap_or_default().into_iter();
    entries.find(|entry| entry["vm"] == other).unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn second_failure_after_repair_loses_nothing() {
    let mut group = DaemonGroup::start(&VMS).await;
    let leader = group.wait_leader(&VMS).await;
    let others: Vec<&str> = VMS.into_iter().filter(|vm| *vm != leader).collect();
    let (lost, second) = (others[0], leader.as_str());
    for number in 0..5 {
        call_until_success(&group, VMS[number % 3], &format!("before-{number}")).await;
    }
    group.change(others[1], "rules", "third", 2, group.rules(3.0)).await;
    let former = replica_entry(&group, second, lost).await;
    group.kill(lost);
    call_until_success(&group, others[1], "meanwhile").await;
    group.restart(lost, DataFolder::Emptied).await;
    // The order is not repeated after it has succeeded. The repair is complete when the other
    // remaining VM also lists the new replica as a voter.
    let is_done = AtomicBool::new(false);
    group
        .wait_until("the new replica votes", async || {
            if !is_done.load(Ordering::SeqCst) {
                let order = json!({ "vm": lost });
                let sent = group
                    .send_operator_request(second, "POST", "/v1/replicas/replace", &order)
                    .await;
                let status = sent.expect("operators get a response").status;
                is_done.store(status == 200, Ordering::SeqCst);
            }
            let entry = replica_entry(&group, others[1], lost).await;
            entry["voter"] == true && entry["incarnation"] != former["incarnation"]
        })
        .await;
    group.kill(second);
    let remaining = [lost, others[1]];
    group.wait_leader(&remaining).await;
    for vm in remaining {
        for key in (0..5).map(|number| format!("before-{number}")) {
            assert_eq!(call_until_success(&group, vm, &key).await["run"], 1);
        }
        assert_eq!(call_until_success(&group, vm, "meanwhile").await["run"], 1);
        group.wait_ready(vm, 3).await;
        let weight =
            &group.read_json(vm, "/v1/config").await["rules"]["organisations"][0]["weight"];
        assert_eq!(weight, 3.0, "{vm}");
    }
    group.change(lost, "rules", "fourth", 3, group.rules(4.0)).await;
    call_until_success(&group, lost, "after").await;
}
