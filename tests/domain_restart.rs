//! All daemons of a failure domain restart at the same time while the domain is cut off from the
//! control quorum.
//!
//! Each must serve as soon as it has started, with the highest committed configuration in the
//! domain, which is stored on its only disk. There is no quorum to ask, and an older configuration
//! would revert a change that callers have seen.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use daemon_process::{DaemonGroup, DataFolder};

const RESTARTED: [&str; 3] = ["a-1", "a-2", "a-3"];

#[tokio::test(flavor = "multi_thread")]
async fn restarted_domain_serves_highest_revision() {
    let mut group = DaemonGroup::start(&["a-1", "a-2", "a-3", "b-1", "c-1"]).await;
    group.change("a-2", "rules", "third", 2, group.rules(3.0)).await;
    for vm in RESTARTED {
        group.wait_ready(vm, 3).await;
    }
    group.isolate_domain("a");
    group.wait_leader(&["b-1", "c-1"]).await;
    // A change committed outside: the isolated daemons cannot know it and must not wait for it.
    group.change("b-1", "rules", "fourth", 3, group.rules(4.0)).await;
    RESTARTED.iter().for_each(|vm| group.kill(vm));
    for vm in RESTARTED {
        group.restart(vm, DataFolder::Kept).await;
    }
    for vm in RESTARTED {
        group
            .wait_until(&format!("{vm} serves"), async || {
                let revision = group.revision(vm).await;
                assert!(revision == 0 || revision == 3, "{vm} activated revision {revision}");
                let reply = group.chat(vm, "is the basket on its way?").await;
                reply.expect("it is answered").status == 200 && revision == 3
            })
            .await;
        assert_eq!(group.call_repeatable(vm).await.expect("it is answered").status, 200);
    }
    group.heal();
    for vm in RESTARTED {
        group.wait_ready(vm, 4).await;
    }
}
