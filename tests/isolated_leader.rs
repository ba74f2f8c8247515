//! The leader of the control VMs is cut off from the others, while operators and callers still
//! reach it.
//!
//! A change or call that it receives must not take effect. The others elect another leader and
//! continue, and after the partition the former leader adopts their state. A change or call that
//! was reported as not executed never takes effect, even though the former leader had it in its
//! log.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, did_run},
    futures::future::join,
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
const LONG_DEADLINE_MS: &str = "80000";

#[tokio::test(flavor = "multi_thread")]
async fn isolated_leader_commits_nothing() {
    let group = DaemonGroup::start(&VMS).await;
    let leader = group.wait_leader(&VMS).await;
    let others: Vec<&str> = VMS.into_iter().filter(|vm| *vm != leader).collect();
    // The requests follow the partition immediately, while the VM still considers itself the
    // leader.
    group.isolate_domain(&leader[..1]);
    let change = group.propose(&leader, "rules", "lost", 2, group.rules(9.0));
    let (change, call) =
        join(change, group.call_non_repeatable(&leader, "k", LONG_DEADLINE_MS)).await;
    let change = change.expect("operators are answered");
    assert!(matches!(change.status.as_u16(), 503 | 504), "{change:?}");
    let call = call.expect("callers are answered");
    assert_eq!((call.status.as_u16(), did_run(&call).as_str()), (503, "no"), "{call:?}");
    assert_eq!(group.wait_leader(&others).await.len(), leader.len());
    // The others accept several changes and a non-repeatable call.
    for number in 3..8 {
        let rules = group.rules(number as f64);
        group.change(others[0], "rules", &format!("change-{number}"), number - 1, rules).await;
    }
    group
        .wait_until("the others execute the call", async || {
            let answer = group
                .call_non_repeatable(others[1], "k", LONG_DEADLINE_MS)
                .await
                .expect("it is answered");
            answer.status == 200
        })
        .await;
    assert_eq!(group.runs_of("k"), 1);
    assert_eq!(group.revision(&leader).await, 2);
    let again =
        group.call_non_repeatable(&leader, "late", LONG_DEADLINE_MS).await.expect("it is answered");
    assert_eq!((did_run(&again).as_str(), group.runs_of("late")), ("no", 0));
    group.heal();
    group.wait_ready(&leader, 7).await;
    group.wait_leader(&VMS).await;
    // The change of the former leader has not taken effect, and the call was not executed again.
    for vm in VMS {
        let config = group.read_json(vm, "/v1/config").await;
        let weight = &config["rules"]["organisations"][0]["weight"];
        assert_eq!((&config["revision"], weight), (&7.into(), &7.0.into()), "{vm}");
        group
            .wait_until(&format!("{vm} returns the stored answer"), async || {
                let answer = group
                    .call_non_repeatable(vm, "k", LONG_DEADLINE_MS)
                    .await
                    .expect("it is answered");
                answer.status == 200
            })
            .await;
        assert_eq!(group.runs_of("k"), 1);
    }
    let resent = group.propose(&leader, "rules", "lost", 2, group.rules(9.0)).await;
    assert_eq!(resent.expect("operators are answered").status, 409);
}
