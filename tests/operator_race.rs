//! Several operators concurrently change the rules at several daemons with the same expected
//! revision, and each of them repeats the request as after a lost response.
//!
//! Exactly one change succeeds; all others get a conflict with the digest of the winner. A repeated
//! request gets the first result again, also through another daemon and after later revisions.
//! Otherwise two operators could both consider their change in force, or a repeated request could
//! revert another change.

#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    daemon_process::DaemonGroup,
    futures::future::{join, join_all},
    serde_json::Value,
};

const VMS: [&str; 3] = ["a-1", "b-1", "c-1"];
const OPERATORS: u64 = 6;

fn vm_of_operator(number: u64) -> &'static str {
    VMS[number as usize % VMS.len()]
}

/// Sends a change until it has an outcome: status 200 or 409.
async fn change_until_decided(
    group: &DaemonGroup,
    vm: &str,
    operator: u64,
    expected: u64,
) -> (u16, Value) {
    let rules = group.rules(1.0 + operator as f64);
    let operation = format!("from-{expected}-by-{operator}");
    let outcome = async {
        loop {
            let sent = group.propose(vm, "rules", &operation, expected, rules.clone()).await;
            let response = sent.expect("operators get a response");
            match response.status.as_u16() {
                503 | 504 => tokio::task::yield_now().await,
                status => return (status, response.json()),
            }
        }
    };
    group.with_timeout("a change has an outcome", outcome).await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_change_wins_each_revision() {
    let group = DaemonGroup::start(&VMS).await;
    for expected in 2..6 {
        // Each change is sent to two daemons concurrently, as after a lost response.
        let sends = (0..OPERATORS).map(|operator| {
            let first = change_until_decided(&group, vm_of_operator(operator), operator, expected);
            join(
                first,
                change_until_decided(&group, vm_of_operator(operator + 1), operator, expected),
            )
        });
        let outcomes = join_all(sends).await;
        let winners: Vec<_> = outcomes.iter().filter(|(_, second)| second.0 == 200).collect();
        assert_eq!(winners.len(), 1, "{outcomes:#?}");
        let digest = &winners[0].1.1["digest"];
        for (operator, (first, second)) in (0..OPERATORS).zip(&outcomes) {
            assert_eq!(first, second, "a repeated request has another result");
            if second.0 == 409 {
                assert_eq!(&second.1["error"]["winner"], digest, "{second:?}");
            } else {
                assert_eq!(second.1["revision"], expected + 1);
            }
            let resent =
                change_until_decided(&group, vm_of_operator(operator + 2), operator, expected)
                    .await;
            assert_eq!(resent, *second, "a late repeated request has another result");
        }
    }
    for vm in VMS {
        group.wait_ready(vm, 6).await;
        assert_eq!(group.revision(vm).await, 6);
    }
}
