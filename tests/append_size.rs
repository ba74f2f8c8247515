//! Size of an append whose entries carry documents.

use oleandermount::{
    control::{Command, LogEntry, entry::EntryPayload, replica::log::ReplicaLog},
    transport::codec::MAX_FRAME,
};

const DOCUMENT_BYTES: usize = 100 << 10;
const DOCUMENTS: u64 = 100;
const APPEND_BYTES: usize = 256 << 10;

fn put_document(number: u64) -> Command {
    Command::PutDocument { number, body: "x".repeat(DOCUMENT_BYTES) }
}

/// Guards against appends that exceed the message size: if the size of documents is not counted,
/// all documents that a returning replica lacks go into one append, which is dropped, and the
/// replica never catches up.
#[test]
fn append_counts_document_bytes() {
    let mut log = ReplicaLog::default();
    for index in 1..=DOCUMENTS {
        log.push(LogEntry { term: 1, index, payload: EntryPayload::Command(put_document(index)) });
    }
    assert!(DOCUMENT_BYTES * DOCUMENTS as usize > MAX_FRAME, "the documents exceed one message");
    assert_eq!(log.batch(1, APPEND_BYTES).len(), APPEND_BYTES / DOCUMENT_BYTES);
    assert!(log.bytes() >= DOCUMENT_BYTES * DOCUMENTS as usize);
}
