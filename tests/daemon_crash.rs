//! A daemon is killed with streams and non-repeatable calls in flight. The streams must break
//! without `[DONE]`, so that a reader does not mistake a part for the complete response. Calls that
//! are retried through other daemons must run at most once, and get the response or an unknown
//! outcome, because only the killed daemon knew what it had sent.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run, http_client::OpenResponse},
    futures::future::{join, join_all},
    http_body_util::BodyExt,
};

const LONG_DEADLINE_MS: &str = "80000";
/// Too short for a response of a call whose holder was killed.
const SHORT_DEADLINE_MS: &str = "1500";

/// Reads a stream to its end; returns its text and whether it ended without an error.
async fn read_rest(mut stream: OpenResponse) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = stream.response.body_mut().frame().await {
        let Ok(frame) = frame else { return (text, false) };
        text.push_str(&String::from_utf8_lossy(frame.data_ref().expect("there are no trailers")));
    }
    (text, true)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_break_without_end_marker() {
    let mut group = DaemonGroup::start(&["a-1", "b-1", "c-1"]).await;
    let streams = join_all((0..8).map(|_| group.stream("a-1", "when?"))).await;
    let mut streams: Vec<_> = streams.into_iter().map(|stream| stream.expect("it opens")).collect();
    // The first bytes of each stream have arrived.
    let firsts = streams.iter_mut().map(|stream| stream.response.body_mut().frame());
    let firsts = group.with_timeout("streams begin", join_all(firsts)).await;
    assert!(firsts.iter().all(|first| matches!(first, Some(Ok(_)))));
    group.kill("a-1");
    for stream in streams {
        let (text, is_complete) = group.with_timeout("a stream ends", read_rest(stream)).await;
        assert!(!text.contains("[DONE]"), "{text}");
        // A clean end would look complete to a reader that ignores `[DONE]`.
        assert!(!is_complete, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_in_flight_run_at_most_once() {
    let mut group = DaemonGroup::start(&["a-1", "b-1", "c-1"]).await;
    let keys: Vec<String> = (0..40).map(|number| format!("k{number}")).collect();
    let first =
        join_all(keys.iter().map(|key| group.call_non_repeatable("a-1", key, LONG_DEADLINE_MS)));
    let killed = async {
        let runs = async || keys.iter().filter(|key| group.runs_of(key) == 1).count() >= 5;
        group.wait_until("some calls have run", runs).await;
        group.kill_process("a-1");
    };
    let (first, ()) = join(first, killed).await;
    group.kill("a-1");
    group.restart("a-1", DataFolder::Kept).await;
    // The first call of the new incarnation ends the claims of the former one.
    for key in std::iter::once("new").chain(keys.iter().map(String::as_str)) {
        group
            .wait_until(&format!("{key} has a response or an unknown outcome"), async || {
                let response = group
                    .call_non_repeatable("a-1", key, SHORT_DEADLINE_MS)
                    .await
                    .expect("a response");
                assert!(group.runs_of(key) <= 1, "{key} ran twice: {response:?}");
                did_run(&response) != "no"
            })
            .await;
    }
    for (key, first) in keys.iter().zip(&first) {
        let response =
            group.call_non_repeatable("b-1", key, LONG_DEADLINE_MS).await.expect("a response");
        let runs = group.runs_of(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        match did_run(&response).as_str() {
            "yes" => assert_eq!(runs, 1, "{key}: {response:?}"),
            "unknown" => assert_eq!(response.status, 502, "{key}: {response:?}"),
            other => panic!("{key} is reported as not run ({other}) with a quorum: {response:?}"),
        }
        let answered = first.as_ref().is_ok_and(|first| first.status == 200);
        assert!(
            !answered || response.status == 200,
            "{key} had a response but a retry did not get it: {response:?}"
        );
    }
}
