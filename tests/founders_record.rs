//! Tests that a disk remembers the founders of its deployment's first start, and only for as long as it has lost
//! nothing.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::storage::{DiskFiles, LogStore, OpenedStore},
    std::{fs, path::Path},
    tempfile::TempDir,
};

fn open(folder: &Path, incarnation: u64) -> OpenedStore {
    LogStore::open(Box::new(DiskFiles::open(folder).unwrap()), incarnation).unwrap()
}

fn founders() -> Vec<String> {
    vec!["a".to_owned(), "b".to_owned()]
}

/// Records the founders in a new folder, as the disk of incarnation 1.
fn recorded_folder() -> TempDir {
    let folder = TempDir::new().unwrap();
    let mut opened = open(folder.path(), 1);
    assert_eq!(opened.store.founders().unwrap(), None);
    opened.store.record_founders(founders()).unwrap();
    folder
}

/// Guards against a disk that forgets the first start at the next one.
#[test]
fn founders_are_remembered() {
    let folder = recorded_folder();
    for start in 2..5 {
        let opened = open(folder.path(), start);
        assert_eq!(opened.store.founders().unwrap(), Some(founders()));
        assert_eq!(opened.quarantined, None);
    }
}

/// Guards against a second group that is founded by a disk which has lost what it knew of the first one.
#[test]
fn damaged_log_ends_the_record() {
    let folder = recorded_folder();
    let log = fs::read_dir(folder.path()).unwrap().map(|entry| entry.unwrap().path());
    let log = log.into_iter().find(|path| path.to_string_lossy().contains("/log-")).unwrap();
    fs::write(log, "damaged").unwrap();
    let opened = open(folder.path(), 2);
    assert!(opened.quarantined.is_some());
    assert_eq!(opened.store.founders().unwrap(), None);
}

/// Guards against founders that are read from a torn record.
#[test]
fn damaged_record_is_not_used() {
    let folder = recorded_folder();
    let path = folder.path().join("founders");
    let record = fs::read(&path).unwrap();
    for length in 0..record.len() {
        fs::write(&path, &record[..length]).unwrap();
        assert_eq!(open(folder.path(), 2).store.founders().unwrap(), None, "{length} bytes");
    }
    for index in 0..record.len() {
        let mut changed = record.clone();
        changed[index] ^= 1;
        fs::write(&path, &changed).unwrap();
        assert_eq!(open(folder.path(), 2).store.founders().unwrap(), None, "byte {index}");
    }
}
