//! A non-repeatable call that is retried through other daemons must run at most once, and must not
//! run after a response which states that it did not run. The tests kill, pause or partition the
//! daemon that holds the claim, or delay the service's response; the claim in the ledger must
//! outlast these failures.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run},
    futures::future::{join, join_all},
    serde_json::json,
    std::sync::Mutex,
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
/// Too short for a response that the test delays.
const SHORT_DEADLINE_MS: &str = "1500";
/// Longer than the duration of any test.
const LONG_DEADLINE_MS: &str = "80000";

/// Sends a call and checks what must hold after each response. Returns the response's `did_run`, or
/// `lost` if the connection broke. `earlier` contains the results of earlier calls with this key.
async fn call_once(
    group: &DaemonGroup,
    vm: &str,
    key: &str,
    wait: &str,
    earlier: &[&str],
) -> String {
    let response = group.call_non_repeatable(vm, key, wait).await;
    let result = response.as_ref().map_or("lost".to_owned(), did_run);
    let runs = group.runs_of(key);
    let surely_not_run = result == "no" && earlier.iter().all(|result| *result == "no");
    assert!(runs <= 1, "{key} ran {runs} times");
    assert!(
        !surely_not_run || runs == 0,
        "{key} ran, but its caller was informed that it did not: {response:?}"
    );
    assert!(
        result != "yes" || runs == 1,
        "{key} has a response but ran {runs} times: {response:?}"
    );
    result
}

/// Retries a call while it is refused as not run, which can happen during an election.
async fn retry_call(group: &DaemonGroup, vm: &str, key: &str, wait: &str) -> String {
    let result: Mutex<String> = Mutex::default();
    group
        .wait_until(&format!("{vm} does not refuse {key}"), async || {
            let response = call_once(group, vm, key, wait, &["lost"]).await;
            *result.lock().expect("no holder panics") = response.clone();
            response != "no"
        })
        .await;
    result.into_inner().expect("no holder panics")
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_leaves_the_outcome_unknown() {
    let mut group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    let sent = call_once(&group, "a-1", "k", LONG_DEADLINE_MS, &[]);
    let retried = async {
        group.wait_until("the service runs it", async || group.runs_of("k") == 1).await;
        retry_call(&group, "b-1", "k", SHORT_DEADLINE_MS).await
    };
    let killed = async {
        let result = retried.await;
        assert_eq!(result, "unknown", "the holder still runs the call");
    };
    // The first caller's connection breaks when the daemon is killed.
    tokio::select! {
        result = sent => panic!("got a response while the service delays it: {result}"),
        () = killed => {}
    }
    group.kill("a-1");
    group.release_services();
    assert_eq!(retry_call(&group, "c-1", "k", SHORT_DEADLINE_MS).await, "unknown");
    group.restart("a-1", DataFolder::Kept).await;
    group.wait_ready("a-1", 2).await;
    // The first call of the new incarnation ends the claims of the former one.
    assert_eq!(retry_call(&group, "a-1", "other", LONG_DEADLINE_MS).await, "yes");
    for vm in VMS {
        assert_eq!(retry_call(&group, vm, "k", LONG_DEADLINE_MS).await, "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_holder_sends_nothing_late() {
    let group = DaemonGroup::start(&VMS).await;
    let keys: Vec<String> = (0..40).map(|number| format!("k{number}")).collect();
    let first = join_all(
        keys.iter().map(|key| call_once(&group, "a-1", key, SHORT_DEADLINE_MS, &["lost"])),
    );
    let retries = async {
        // Some calls are claimed, some sent and some completed when the holder is paused.
        let ran = async || keys.iter().any(|key| group.runs_of(key) == 1);
        group.wait_until("a call runs", ran).await;
        group.pause("a-1");
        let retried =
            keys.iter().map(|key| call_once(&group, "b-1", key, SHORT_DEADLINE_MS, &["lost"]));
        let retried = join_all(retried).await;
        // The deadlines of the first calls have passed, because those of the retries have.
        group.resume("a-1");
        retried
    };
    let (first, retried) = join(first, retries).await;
    for (key, result) in keys.iter().zip(first.iter().zip(&retried)) {
        let earlier = [result.0.as_str(), result.1.as_str()];
        let surely_not_run = earlier == ["no", "no"];
        assert!(
            !surely_not_run || group.runs_of(key) == 0,
            "{key} ran after two responses that it did not"
        );
        retry_call(&group, "c-1", key, LONG_DEADLINE_MS).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_holder_keeps_its_claim() {
    let group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    let retries = async {
        group.wait_until("the service runs it", async || group.runs_of("k") == 1).await;
        group.isolate_domain("a");
        group.wait_leader(&["b-1", "c-1"]).await;
        assert_eq!(retry_call(&group, "b-1", "k", SHORT_DEADLINE_MS).await, "unknown");
        // Without a quorum nothing is claimed, so that the call cannot run later.
        let refused =
            group.call_non_repeatable("a-1", "new", LONG_DEADLINE_MS).await.expect("a response");
        assert_eq!((refused.status.as_u16(), refused.code().as_str()), (503, "no_quorum"));
        assert_eq!((did_run(&refused).as_str(), group.runs_of("new")), ("no", 0));
        group.release_services();
        assert_eq!(retry_call(&group, "b-1", "new", LONG_DEADLINE_MS).await, "yes");
        group.heal();
        assert_eq!(retry_call(&group, "c-1", "k", LONG_DEADLINE_MS).await, "yes");
    };
    let (result, ()) = join(call_once(&group, "a-1", "k", LONG_DEADLINE_MS, &[]), retries).await;
    assert_eq!(result, "yes", "its own caller gets the service's response");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_reaches_the_retry() {
    let group = DaemonGroup::start(&VMS).await;
    group.hold_services();
    assert_eq!(retry_call(&group, "a-1", "k", SHORT_DEADLINE_MS).await, "unknown");
    assert_eq!(retry_call(&group, "b-1", "k", SHORT_DEADLINE_MS).await, "unknown");
    group.release_services();
    let response =
        group.call_non_repeatable("c-1", "k", LONG_DEADLINE_MS).await.expect("a response");
    assert_eq!((response.status.as_u16(), &response.json()["run"]), (200, &json!(1)));
    assert_eq!(group.runs_of("k"), 1);
}
