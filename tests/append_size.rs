//! What one append carries, where entries carry documents.

use oleandermount::{
    control::{Command, LogEntry, entry::EntryPayload, replica::log::ReplicaLog},
    transport::codec::MAX_FRAME,
};

const DOCUMENT_BYTES: usize = 100 << 10;
const DOCUMENTS: u64 = 100;
const APPEND_BYTES: usize = 256 << 10;

fn put(number: u64) -> Command {
    Command::PutDocument { number, body: "x".repeat(DOCUMENT_BYTES) }
}

/// A replica that was away hears the leader and never catches up: all documents that it lacks go into
/// one append, and a message of that length is dropped.
#[test]
fn documents_count() {
    let mut log = ReplicaLog::default();
    for index in 1..=DOCUMENTS {
        log.push(LogEntry { term: 1, index, payload: EntryPayload::Command(put(index)) });
    }
    assert!(DOCUMENT_BYTES * DOCUMENTS as usize > MAX_FRAME, "the load proves nothing");
    assert_eq!(log.batch(1, APPEND_BYTES).len(), APPEND_BYTES / DOCUMENT_BYTES);
    assert!(log.bytes() >= DOCUMENT_BYTES * DOCUMENTS as usize);
}
