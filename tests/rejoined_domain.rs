//! A failure domain is cut off from the others. Its callers go on chatting and looking up the
//! status of bookings; a booking is refused as not run, since only a quorum can keep a second van
//! away. Meanwhile the others accept a change. After the cut the domain takes it over: its
//! configuration never goes back, and a booking that was refused can be made.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run},
    std::sync::atomic::{AtomicU64, Ordering},
};

const PATIENT: &str = "80000";

#[tokio::test(flavor = "multi_thread")]
async fn cut_domain_serves_and_rejoins() {
    let mut group = DaemonGroup::start(&["a-1", "a-2", "b-1", "c-1"]).await;
    group.isolate_domain("a");
    group.wait_leader(&["b-1", "c-1"]).await;
    group.change("b-1", "rules", "third", 2, group.rules(2.0)).await;
    group.wait_ready("c-1", 3).await;
    for vm in ["a-1", "a-2"] {
        let reply = group.chat(vm, "does the swap contain nuts?").await.expect("it is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(group.look_up(vm).await.expect("it is answered").status, 200);
        let refused = group.call_once(vm, vm, PATIENT).await.expect("it is answered");
        assert_eq!((refused.status.as_u16(), refused.code().as_str()), (503, "no_quorum"));
        assert_eq!((did_run(&refused).as_str(), group.runs_of(vm)), ("no", 0));
        assert!(refused.retry_after.is_some());
        assert_eq!(group.revision(vm).await, 2);
    }
    // Its diskless daemon restarts within the cut: the domain's disk has the configuration.
    group.kill("a-2");
    group.restart("a-2", DataFolder::Kept).await;
    group.wait_ready("a-2", 2).await;
    group.heal();
    for vm in ["a-1", "a-2"] {
        let highest = AtomicU64::new(2);
        group
            .wait(&format!("{vm} has the change and books again"), async || {
                let revision = group.revision(vm).await;
                let before = highest.fetch_max(revision, Ordering::SeqCst);
                assert!(revision >= before, "{vm} went back from {before} to {revision}");
                let answer = group.call_once(vm, vm, PATIENT).await.expect("it is answered");
                let expected = if answer.status == 200 { 1 } else { 0 };
                assert_eq!(group.runs_of(vm), expected, "{answer:?}");
                revision == 3 && expected == 1
            })
            .await;
    }
    assert_eq!(group.stop("a-2").await, Some(0));
}
