//! A replica whose disk failed temporarily participates again once the disk works.
//!
//! Guards against a replica that stops at a failed write, since nothing that it acknowledged would
//! be durable, and stays stopped although the disk works again. After a disk was full for four
//! seconds, its control VM continued to run without ever voting again; when a second control VM
//! failed, no configuration could be read or changed.

#[path = "fakes/memory_files.rs"]
mod memory_files;

use {
    memory_files::MemoryFiles,
    oleandermount::{
        control::{
            Command, CommandOutcome,
            replica::{LocalProposeError, ReplicaRole},
        },
        daemon::control_driver::{ControlDriver, ControlHandle, DriverSettings},
        storage::FileSystem,
    },
    std::time::Duration,
    tokio::{
        sync::mpsc,
        task::{JoinSet, yield_now},
        time::timeout,
    },
};

/// The time limit for conditions to become true; generous, for busy machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The only replica of a group, on `files`.
fn start(files: &MemoryFiles) -> ControlHandle {
    start_reopening(files, Duration::from_millis(10))
}

fn start_reopening(files: &MemoryFiles, reopen_after: Duration) -> ControlHandle {
    let (outbound, _peers) = mpsc::channel(16);
    let mut settings = DriverSettings::new("a".to_owned(), vec!["a".to_owned()], "memory", 1);
    settings.timing.election = Duration::from_millis(20);
    settings.reopen_after = reopen_after;
    let opened = files.clone();
    let opener = Box::new(move || Ok(Box::new(opened.clone()) as Box<dyn FileSystem>));
    ControlDriver::start_on(settings, opener, outbound).expect("the folder is usable")
}

async fn wait_leading(handle: &ControlHandle) {
    let mut status = handle.status_watch();
    let led = status.wait_for(|status| status.role == ReplicaRole::Leader).await;
    drop(led.expect("one replica elects itself"));
}

async fn put(handle: &ControlHandle, number: u64) -> Result<CommandOutcome, LocalProposeError> {
    handle.propose_local(Command::PutDocument { number, body: format!("body {number}") }).await
}

/// No acknowledged document is lost, and the published state never becomes older. A document that
/// was not acknowledged may or may not be in force.
#[tokio::test]
async fn replica_resumes_after_full_disk() {
    let files = MemoryFiles::default();
    let handle = start(&files);
    wait_leading(&handle).await;
    let documents = handle.documents();
    for number in 1..=3_u64 {
        let round = number * 10;
        let held = Ok(CommandOutcome::DocumentHeld { number: round });
        assert_eq!(put(&handle, round).await, held);
        files.image().space = Some(number as usize * 7);
        let refused = put(&handle, round + 1).await;
        assert_eq!(refused, Err(LocalProposeError::OutcomeUnknown));
        let mut status = handle.status_watch();
        let failed = status.wait_for(|status| status.failure.is_some()).await;
        drop(failed.expect("the replica reports the failure"));
        assert!(!handle.lease_valid());
        let refused = put(&handle, round + 2).await;
        assert_eq!(refused, Err(LocalProposeError::NotLeader { leader: None }));
        assert!(documents.borrow().document().number >= round);
        files.image().space = None;
        wait_leading(&handle).await;
        assert_eq!(handle.status().failure, None);
        assert!(
            documents.borrow().document().number >= round,
            "the published document became older"
        );
    }
    let held = Ok(CommandOutcome::DocumentHeld { number: 99 });
    assert_eq!(put(&handle, 99).await, held);
}

/// After a failed sync the content of the file on the disk is unknown: the next generation rewrites
/// all of it before it votes or acknowledges. Here another sync may fail while the folder is
/// reopened.
#[tokio::test]
async fn failed_sync_is_not_trusted() {
    let files = MemoryFiles::default();
    let handle = start(&files);
    wait_leading(&handle).await;
    put(&handle, 1).await.expect("the disk works");
    let names = files.content().into_keys().collect::<Vec<_>>();
    files.image().sync_fails = true;
    assert_eq!(put(&handle, 2).await, Err(LocalProposeError::OutcomeUnknown));
    let mut status = handle.status_watch();
    drop(
        status
            .wait_for(|status| status.failure.is_some())
            .await
            .expect("the replica reports the failure"),
    );
    files.image().sync_fails = false;
    wait_leading(&handle).await;
    let renewed = files.content().into_keys().collect::<Vec<_>>();
    assert!(names.iter().all(|name| !renewed.contains(name)), "{names:?} {renewed:?}");
    let outcome = put(&handle, 3).await;
    assert_eq!(outcome, Ok(CommandOutcome::DocumentHeld { number: 3 }));
}

/// Guards against a control VM that reports an outdated status and answers no requests while its
/// disk has failed. The disk does not respond, further changes fill the queue, and the replica
/// waits for space in it. Then the disk fails permanently.
#[tokio::test]
async fn failure_is_reported_with_full_queue() {
    let files = MemoryFiles::default();
    let handle = start_reopening(&files, Duration::from_secs(3_600));
    wait_leading(&handle).await;
    let gate = files.image().gate.clone();
    gate.set_closed(true);
    let mut changes = JoinSet::new();
    for number in 1..=3_000 {
        let handle = handle.clone();
        changes.spawn(async move { put(&handle, number).await });
    }
    // All tasks run on this thread: after this many turns the replica has accepted as much as it
    // can.
    for _ in 0..10_000 {
        yield_now().await;
    }
    files.image().sync_fails = true;
    gate.set_closed(false);
    let mut status = handle.status_watch();
    let failed = timeout(WAIT_TIMEOUT, status.wait_for(|status| status.failure.is_some())).await;
    drop(failed.expect("the failure is reported").expect("the task runs"));
    let refused = put(&handle, 9_999).await;
    assert_eq!(refused, Err(LocalProposeError::NotLeader { leader: None }));
}
