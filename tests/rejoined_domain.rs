//! A failure domain is cut off from the others and rejoins them.
//!
//! While it is isolated it answers chat requests and repeatable calls. Non-repeatable calls are
//! refused as not executed, since only a quorum can exclude a second execution. Meanwhile the other
//! domains accept a change. After the partition has healed, the domain adopts the change, its
//! revision never decreases, and the refused calls can be made.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run},
    std::sync::atomic::{AtomicU64, Ordering},
};

const LONG_DEADLINE_MS: &str = "80000";

#[tokio::test(flavor = "multi_thread")]
async fn isolated_domain_serves_and_rejoins() {
    let mut group = DaemonGroup::start(&["a-1", "a-2", "b-1", "c-1"]).await;
    group.isolate_domain("a");
    group.wait_leader(&["b-1", "c-1"]).await;
    group.change("b-1", "rules", "third", 2, group.rules(2.0)).await;
    group.wait_ready("c-1", 3).await;
    for vm in ["a-1", "a-2"] {
        let reply = group.chat(vm, "does the swap contain nuts?").await.expect("it is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(group.call_repeatable(vm).await.expect("it is answered").status, 200);
        let refused =
            group.call_non_repeatable(vm, vm, LONG_DEADLINE_MS).await.expect("it is answered");
        assert_eq!((refused.status.as_u16(), refused.code().as_str()), (503, "no_quorum"));
        assert_eq!((did_run(&refused).as_str(), group.runs_of(vm)), ("no", 0));
        assert!(refused.retry_after.is_some());
        assert_eq!(group.revision(vm).await, 2);
    }
    // The diskless daemon restarts while isolated: the domain's durable daemon has the
    // configuration.
    group.kill("a-2");
    group.restart("a-2", DataFolder::Kept).await;
    group.wait_ready("a-2", 2).await;
    group.heal();
    for vm in ["a-1", "a-2"] {
        let highest = AtomicU64::new(2);
        group
            .wait_until(&format!("{vm} has the change and executes the call"), async || {
                let revision = group.revision(vm).await;
                let before = highest.fetch_max(revision, Ordering::SeqCst);
                assert!(
                    revision >= before,
                    "the revision of {vm} decreased from {before} to {revision}"
                );
                let answer = group
                    .call_non_repeatable(vm, vm, LONG_DEADLINE_MS)
                    .await
                    .expect("it is answered");
                let expected = if answer.status == 200 { 1 } else { 0 };
                assert_eq!(group.runs_of(vm), expected, "{answer:?}");
                revision == 3 && expected == 1
            })
            .await;
    }
    assert_eq!(group.stop("a-2").await, Some(0));
}
