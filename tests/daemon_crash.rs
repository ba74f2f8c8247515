//! A daemon is killed with streams and bookings in flight. The reader of a stream sees it break
//! off and never a `[DONE]`, so that it does not take a part of an answer for the whole. Bookings
//! are sent again through the other daemons: each has run once at most, and is answered or told
//! to be unknown, since the killed daemon took the knowledge of what it had sent with it.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::{DaemonGroup, DataFolder, did_run, http_client::OpenResponse},
    futures::future::{join, join_all},
    http_body_util::BodyExt,
};

const PATIENT: &str = "80000";
/// Too short for an answer that nobody is left to give.
const HASTY: &str = "1500";

/// Reads a stream to its end: the text, and whether it ended as if it were whole.
async fn read_rest(mut stream: OpenResponse) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = stream.response.body_mut().frame().await {
        let Ok(frame) = frame else { return (text, false) };
        text.push_str(&String::from_utf8_lossy(frame.data_ref().expect("there are no trailers")));
    }
    (text, true)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_break_without_done() {
    let mut group = DaemonGroup::start(&["a-1", "b-1", "c-1"]).await;
    let streams = join_all((0..8).map(|_| group.stream("a-1", "when?"))).await;
    let mut streams: Vec<_> = streams.into_iter().map(|stream| stream.expect("it opens")).collect();
    // Each has begun for its reader.
    let firsts = streams.iter_mut().map(|stream| stream.response.body_mut().frame());
    let firsts = group.bounded("streams begin", join_all(firsts)).await;
    assert!(firsts.iter().all(|first| matches!(first, Some(Ok(_)))));
    group.kill("a-1");
    for stream in streams {
        let (text, is_whole) = group.bounded("a stream ends", read_rest(stream)).await;
        assert!(!text.contains("[DONE]"), "{text}");
        // A clean end would look whole to a reader that does not know `[DONE]`.
        assert!(!is_whole, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_in_flight_run_once() {
    let mut group = DaemonGroup::start(&["a-1", "b-1", "c-1"]).await;
    let keys: Vec<String> = (0..40).map(|number| format!("k{number}")).collect();
    let first = join_all(keys.iter().map(|key| group.book("a-1", key, PATIENT)));
    let killed = async {
        let runs = async || keys.iter().filter(|key| group.runs_of(key) == 1).count() >= 5;
        group.wait("some bookings have run", runs).await;
        group.strike("a-1");
    };
    let (first, ()) = join(first, killed).await;
    group.kill("a-1");
    group.restart("a-1", DataFolder::Kept).await;
    // Its first booking in the new life ends the claims of the former one.
    for key in std::iter::once("new").chain(keys.iter().map(String::as_str)) {
        group
            .wait(&format!("{key} is answered or unknown"), async || {
                let answer = group.book("a-1", key, HASTY).await.expect("it is answered");
                assert!(group.runs_of(key) <= 1, "{key} ran twice: {answer:?}");
                did_run(&answer) != "no"
            })
            .await;
    }
    for (key, first) in keys.iter().zip(&first) {
        let answer = group.book("b-1", key, PATIENT).await.expect("it is answered");
        let runs = group.runs_of(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        match did_run(&answer).as_str() {
            "yes" => assert_eq!(runs, 1, "{key}: {answer:?}"),
            "unknown" => assert_eq!(answer.status, 502, "{key}: {answer:?}"),
            other => panic!("{key} was said not to have run ({other}), with a quorum: {answer:?}"),
        }
        let answered = first.as_ref().is_ok_and(|first| first.status == 200);
        assert!(!answered || answer.status == 200, "{key} had an answer and lost it: {answer:?}");
    }
}
