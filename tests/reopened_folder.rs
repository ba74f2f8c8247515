//! A replica whose disk failed for a while takes part again once the disk is sound.
//!
//! What operators saw without it: after a disk had been full for four seconds its control VM still ran,
//! answered that it knew no leader, and never voted again; when a second control VM was lost, no
//! configuration could be read or changed. Order of events: the disk refuses a write; the replica ends,
//! since it cannot keep what it promises; the disk has room again; nobody opens the folder.

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

/// A condition that does not come about in this time never will, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// A replica that is a group of its own, on `files`.
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
    ControlDriver::start_on(settings, opener, outbound).expect("the folder can be used")
}

async fn leads(handle: &ControlHandle) {
    let mut status = handle.status_watch();
    let led = status.wait_for(|status| status.role == ReplicaRole::Leader).await;
    drop(led.expect("one replica elects itself"));
}

async fn put(handle: &ControlHandle, number: u64) -> Result<CommandOutcome, LocalProposeError> {
    handle.propose_local(Command::PutDocument { number, body: format!("body {number}") }).await
}

/// Nothing acknowledged is lost or shown older meanwhile, and what was not acknowledged may or may
/// not have come in.
#[tokio::test]
async fn full_disk_comes_back() {
    let files = MemoryFiles::default();
    let handle = start(&files);
    leads(&handle).await;
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
        drop(failed.expect("the replica tells of it"));
        assert!(!handle.lease_valid());
        let refused = put(&handle, round + 2).await;
        assert_eq!(refused, Err(LocalProposeError::NotLeader { leader: None }));
        assert!(documents.borrow().document().number >= round);
        files.image().space = None;
        leads(&handle).await;
        assert_eq!(handle.status().failure, None);
        assert!(documents.borrow().document().number >= round, "nothing shown goes back");
    }
    let held = Ok(CommandOutcome::DocumentHeld { number: 99 });
    assert_eq!(put(&handle, 99).await, held);
}

/// A sync that fails tells nothing of what the file holds: the next life writes all of it anew before
/// it votes or acknowledges. Here the disk fails to sync once more while the folder is opened.
#[tokio::test]
async fn failed_sync_is_not_trusted() {
    let files = MemoryFiles::default();
    let handle = start(&files);
    leads(&handle).await;
    put(&handle, 1).await.expect("the disk is sound");
    let names = files.content().into_keys().collect::<Vec<_>>();
    files.image().sync_fails = true;
    assert_eq!(put(&handle, 2).await, Err(LocalProposeError::OutcomeUnknown));
    let mut status = handle.status_watch();
    drop(status.wait_for(|status| status.failure.is_some()).await.expect("it tells of it"));
    files.image().sync_fails = false;
    leads(&handle).await;
    let renewed = files.content().into_keys().collect::<Vec<_>>();
    assert!(names.iter().all(|name| !renewed.contains(name)), "{names:?} {renewed:?}");
    let outcome = put(&handle, 3).await;
    assert_eq!(outcome, Ok(CommandOutcome::DocumentHeld { number: 3 }));
}

/// What operators saw without it: a control VM whose disk had failed showed for as long as the disk was
/// unsound what it had believed before, and answered nobody. Order of events: the disk answers nothing;
/// changes go on until no more of them fit before the disk, and the replica waits for room; the disk
/// fails, and stays so.
#[tokio::test]
async fn failure_shows_behind_a_full_queue() {
    let files = MemoryFiles::default();
    let handle = start_reopening(&files, Duration::from_secs(3_600));
    leads(&handle).await;
    let gate = files.image().gate.clone();
    gate.set(true);
    let mut changes = JoinSet::new();
    for number in 1..=3_000 {
        let handle = handle.clone();
        changes.spawn(async move { put(&handle, number).await });
    }
    // All run on this thread: after so many turns the replica has taken in what it can.
    for _ in 0..10_000 {
        yield_now().await;
    }
    files.image().sync_fails = true;
    gate.set(false);
    let mut status = handle.status_watch();
    let failed = timeout(PATIENCE, status.wait_for(|status| status.failure.is_some())).await;
    drop(failed.expect("the failure shows").expect("the status outlives the task"));
    let refused = put(&handle, 9_999).await;
    assert_eq!(refused, Err(LocalProposeError::NotLeader { leader: None }));
}
