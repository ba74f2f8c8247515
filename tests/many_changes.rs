//! A control replica restarts after several hundred changes.

use {
    oleandermount::{
        control::{
            Command, CommandOutcome,
            replica::{ReplicaLimits, ReplicaRole},
        },
        daemon::control_driver::{ControlDriver, ControlHandle, DriverSettings},
        ids::Revision,
    },
    std::{fs, path::Path, time::Duration},
    tokio::sync::mpsc,
};

const CHANGES: Revision = 600;
const COMPACT_ENTRIES: u64 = 100;

fn start(folder: &Path, election: Duration) -> Option<ControlHandle> {
    let mut settings = DriverSettings::new("a".to_owned(), vec!["a".to_owned()], folder, 1);
    settings.timing.election = election;
    settings.limits = ReplicaLimits { compact_entries: COMPACT_ENTRIES, ..settings.limits };
    let (outbound, _) = mpsc::channel(16);
    ControlDriver::start(settings, outbound).ok()
}

/// Retries until the previous replica has ended and unlocked the folder.
async fn restart(folder: &Path, election: Duration) -> ControlHandle {
    loop {
        match start(folder, election) {
            Some(handle) => return handle,
            None => tokio::task::yield_now().await,
        }
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("the folder exists");
    entries.map(|entry| entry.and_then(|entry| entry.metadata()).map_or(0, |data| data.len())).sum()
}

/// After 600 changes and a restart the last one is in effect immediately, before any leader is
/// known. The folder contains one configuration and the changes since the last snapshot: each
/// change is 2 KB, so a log without compaction would take 1.2 MB.
#[tokio::test(flavor = "multi_thread")]
async fn restart_serves_last_change() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let handle = restart(folder.path(), Duration::from_millis(20)).await;
    let mut status = handle.status_watch();
    let leads = status.wait_for(|status| status.role == ReplicaRole::Leader).await;
    drop(leads.expect("one replica elects itself"));
    for expected in 0..CHANGES {
        let domain = format!("{expected:02000}");
        let body = format!(r#"{{"failure_domains":[{{"id":"{domain}"}}]}}"#);
        let operation = format!("op-{expected}");
        let command = Command::ApplyRegister { operation, expected, body };
        let outcome = handle.propose_local(command).await;
        assert_eq!(outcome, Ok(CommandOutcome::Applied { revision: expected + 1 }));
    }
    let mut config = handle.config();
    drop(config.wait_for(|config| config.revision == CHANGES).await.expect("the replica runs"));
    drop((handle, status, config));

    // With an election timeout of an hour the state can only come from the folder.
    let handle = restart(folder.path(), Duration::from_secs(3600)).await;
    assert_eq!(handle.config().borrow().revision, CHANGES);
    assert!(handle.status().commit >= CHANGES);
    assert!(folder_bytes(folder.path()) < 600_000, "{}", folder_bytes(folder.path()));
}
