//! Disk faults under the write-ahead log: torn writes, flipped bits, no space, failed syncs.

#[path = "fakes/memory_files.rs"]
mod memory_files;

use {
    memory_files::MemoryFiles,
    oleandermount::{
        control::{
            Command, DurableWrite, LogEntry, Membership, SavedState,
            entry::{EntryPayload, HardState, SavedSnapshot},
            message::SnapshotHead,
            replica::{LocalProposeError, ReplicaRole},
        },
        daemon::control_driver::{ControlDriver, DriverSettings},
        storage::{
            DiskFiles, FileSystem, LogStore, StorageError,
            frame::{FrameRead, encode_frame, read_frame},
            log_store::FORMAT_VERSION,
        },
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::sync::mpsc,
};

const INCARNATION: u64 = 11;
const NEXT_INCARNATION: u64 = 12;

fn entries(index: u64, term: u64) -> DurableWrite {
    // The last entries are longer than a disk sector.
    let weights = "w".repeat(if index > 3 { 700 } else { 7 });
    let (server, model) = (format!("server-{index}"), "model".to_owned());
    let command = Command::DesireWeights { server, model, weights };
    DurableWrite::Entries(vec![LogEntry { term, index, payload: EntryPayload::Command(command) }])
}

fn snapshot(index: u64) -> DurableWrite {
    let head = SnapshotHead { index, term: 1, membership: Membership::default() };
    DurableWrite::Snapshot(SavedSnapshot { head, data: vec![5; 300] })
}

fn writes() -> Vec<Vec<DurableWrite>> {
    let vote = Some(("b".to_owned(), 7));
    vec![
        vec![entries(1, 1), entries(2, 1)],
        vec![DurableWrite::HardState(HardState { term: 2, vote, group: Some(3) })],
        vec![snapshot(2), entries(3, 1)],
        vec![entries(4, 1), DurableWrite::Commit(3)],
        // Replaces an entry that was never committed.
        vec![entries(4, 2)],
        vec![entries(5, 2)],
    ]
}

/// Returns a folder after all writes, the state after the base of its last file, and the state
/// after each further write.
fn folder_with_writes() -> (MemoryFiles, Vec<SavedState>) {
    let files = MemoryFiles::default();
    let mut store = LogStore::open(Box::new(files.clone()), INCARNATION).expect("it opens").store;
    let mut state = SavedState::empty(INCARNATION);
    let mut states = Vec::new();
    for batch in writes() {
        store.append(batch.clone()).expect("the disk works");
        batch.into_iter().for_each(|write| assert!(state.apply(write)));
        states.push(state.clone());
    }
    (files, states.split_off(2))
}

fn log_name(content: &BTreeMap<String, Vec<u8>>) -> String {
    content.keys().find(|name| name.starts_with("log-")).expect("there is a log").clone()
}

/// Returns the state read from a folder with this content; `None` if its files were quarantined.
fn reopen(content: &BTreeMap<String, Vec<u8>>) -> Option<SavedState> {
    let files = MemoryFiles::with_files(content);
    let opened = LogStore::open(Box::new(files.clone()), NEXT_INCARNATION).expect("it opens");
    if opened.quarantined.is_some() {
        assert_eq!(
            opened.state,
            SavedState::empty(NEXT_INCARNATION),
            "no state is recovered from damaged files"
        );
        assert_eq!(files.image().quarantined.len(), content.len(), "every file is kept");
        return None;
    }
    Some(opened.state)
}

/// A replica killed at any moment of a write restarts with every synced write and without any
/// incomplete one. The log file is truncated at each byte, with and without the rest of the sector
/// filled with zeros, since a file may grow before its bytes are written.
#[test]
fn each_prefix_recovers() {
    let (files, states) = folder_with_writes();
    let content = files.content();
    let name = log_name(&content);
    let log_file = content[&name].clone();
    let mut found = Vec::new();
    for length in 0..=log_file.len() {
        let mut cut = content.clone();
        cut.insert(name.clone(), log_file[..length].to_vec());
        let state = reopen(&cut);
        let known = state.as_ref().map(|state| {
            states.iter().position(|known| known == state).expect("a state between two writes")
        });
        assert!(
            found.last().is_none_or(|last| *last <= known),
            "a longer file never holds fewer writes"
        );
        if known.is_some() {
            let mut padded = log_file[..length].to_vec();
            padded.resize(log_file.len().next_multiple_of(512), 0);
            cut.insert(name.clone(), padded);
            let padded = reopen(&cut);
            let same = padded == state;
            assert!(same || length % 512 != 0 && padded.is_none(), "zeros after byte {length}");
        }
        found.push(known);
    }
    assert_eq!(found.last(), Some(&Some(states.len() - 1)));
    found.dedup();
    let all: Vec<Option<usize>> = (0..states.len()).map(Some).collect();
    assert!(found.ends_with(&all), "each write is atomic: {found:?}");
}

/// Guards against a replica that restarts with part of its state after the disk returns wrong
/// bytes. One bit of each byte of each file is flipped. All files of the folder are quarantined,
/// and the replica is empty under a new incarnation without a vote. If the log were truncated at
/// the damage, an acknowledged call would be lost and the replica could elect a leader without it.
#[test]
fn flipped_bytes_are_quarantined() {
    let (files, _) = folder_with_writes();
    let content = files.content();
    for (name, bytes) in &content {
        for place in 0..bytes.len() {
            let mut flipped = content.clone();
            flipped.get_mut(name).expect("the file exists")[place] ^= 1 << (place % 8);
            assert_eq!(reopen(&flipped), None, "byte {place} of {name}");
        }
    }
    let mut missing = content.clone();
    missing.remove(&log_name(&content));
    assert_eq!(reopen(&missing), None, "the log is missing");
}

/// A replica without disk space stops with an error that names the remedy, and no acknowledged
/// write is lost. The disk becomes full at each byte. The write that does not fit fails, and no
/// later one is accepted, even if space becomes available.
#[test]
fn full_disk_stops() {
    for space in 0..5000 {
        let files = MemoryFiles::default();
        files.image().space = Some(space);
        let mut state = SavedState::empty(INCARNATION);
        let mut failed = None;
        if let Ok(opened) = LogStore::open(Box::new(files.clone()), INCARNATION) {
            let mut store = opened.store;
            for batch in writes() {
                match store.append(batch.clone()) {
                    Ok(()) => batch.into_iter().for_each(|write| assert!(state.apply(write))),
                    Err(error) => {
                        failed = Some(error);
                        break;
                    }
                }
            }
            if let Some(error) = &failed {
                assert!(error.to_string().contains("check space"), "{error}");
                files.image().space = None;
                let after = store.append(vec![entries(9, 9)]);
                assert!(matches!(after, Err(StorageError::Stopped)));
            }
        }
        let found = reopen(&files.content());
        let found = found.unwrap_or_else(|| panic!("quarantined with space for {space} bytes"));
        if state != SavedState::empty(INCARNATION) {
            assert_eq!(found, state, "space for {space} bytes");
        }
    }
}

/// A disk that fails to sync stops the replica. The proposer receives no acceptance, and later
/// commands are refused. A second sync may succeed although the bytes were not written, so the file
/// is not used again.
#[tokio::test]
async fn failed_sync_stops() {
    let files = MemoryFiles::default();
    let (outbound, _peers) = mpsc::channel(16);
    let mut settings = DriverSettings::new("a".to_owned(), vec!["a".to_owned()], "memory", 1);
    settings.timing.election = Duration::from_millis(20);
    settings.reopen_after = Duration::from_secs(3_600);
    let opened = files.clone();
    let opener = Box::new(move || Ok(Box::new(opened.clone()) as Box<dyn FileSystem>));
    let handle = ControlDriver::start_on(settings, opener, outbound).expect("the folder is empty");
    let mut status = handle.status_watch();
    let leads = status.wait_for(|status| status.role == ReplicaRole::Leader).await;
    drop(leads.expect("one replica elects itself"));
    files.image().sync_fails = true;
    let command = Command::NoteSuspect { fingerprint: 1, strikes: 1 };
    let refused = handle.propose_local(command.clone()).await;
    assert_eq!(refused, Err(LocalProposeError::OutcomeUnknown));
    files.image().sync_fails = false;
    let stopped = status.wait_for(|status| status.failure.is_some()).await;
    let failure = stopped.expect("the status outlives the task").failure.clone();
    assert!(failure.expect("the failure is set").contains("sync"), "the failure names the cause");
    let after = handle.propose_local(command).await;
    assert_eq!(after, Err(LocalProposeError::NotLeader { leader: None }));
}

// Guards against an upgrade that moves the data folders of the former release aside as damaged.
#[test]
fn former_version_is_read() {
    let (files, states) = folder_with_writes();
    let mut content = files.content();
    let name = log_name(&content);
    let FrameRead::Complete { payload, next } = read_frame(&content[&name], 0) else {
        panic!("the header is complete");
    };
    assert_eq!(u32::from(payload[0]), FORMAT_VERSION, "the version comes first");
    let mut header = payload.to_vec();
    header[0] -= 1;
    let former = [&encode_frame(&header), &content[&name][next..]].concat();
    content.insert(name, former);
    assert_eq!(reopen(&content).as_ref(), states.last());
}

#[test]
fn unknown_version_refused() {
    let (files, _) = folder_with_writes();
    let mut content = files.content();
    let later_version = FORMAT_VERSION + 1;
    let header = postcard::to_stdvec(&(later_version, "of a later release")).expect("it encodes");
    content.insert(log_name(&content), encode_frame(&header));
    let files = MemoryFiles::with_files(&content);
    let error = LogStore::open(Box::new(files.clone()), NEXT_INCARNATION).err();
    let Some(StorageError::UnknownVersion { found }) = error else { panic!("{error:?}") };
    assert_eq!(found, later_version);
    assert_eq!(files.content(), content, "the folder is left as it is");
}

#[test]
fn folder_has_one_user() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let first = DiskFiles::open(folder.path()).expect("it is free");
    let error = DiskFiles::open(folder.path()).expect_err("it is in use");
    assert!(error.to_string().contains("another process"), "{error}");
    drop(first);
    DiskFiles::open(folder.path()).expect("it is free again");
}
