//! Bounds on the queues of a replica that is busy or whose disk is unresponsive, while long
//! documents change.

#[path = "fakes/memory_files.rs"]
mod memory_files;

use {
    memory_files::MemoryFiles,
    metrics_exporter_prometheus::PrometheusBuilder,
    oleandermount::{
        control::{
            Command, LogEntry, MessageBody, ReplicaMessage,
            entry::EntryPayload,
            replica::{LocalProposeError, ReplicaRole},
        },
        daemon::control_driver::{
            BATCH_BYTES, ControlDriver, ControlHandle, DriverSettings, INPUT_BYTES,
        },
        storage::FileSystem,
    },
    std::time::Duration,
    tokio::{sync::mpsc, task::JoinSet},
};

const DOCUMENT_BYTES: usize = 3 << 20;
/// More than all queues can hold together.
const DOCUMENTS: u64 = 40;

const LOST: &str = "oleandermount_control_messages_lost_total ";

/// Starts a replica that forms a group alone, on `files`.
async fn start_leader(files: &MemoryFiles) -> ControlHandle {
    let (outbound, _peers) = mpsc::channel(16);
    let mut settings = DriverSettings::new("a".to_owned(), vec!["a".to_owned()], "memory", 1);
    settings.timing.election = Duration::from_millis(20);
    let opened = files.clone();
    let opener = Box::new(move || Ok(Box::new(opened.clone()) as Box<dyn FileSystem>));
    let handle =
        ControlDriver::start_on(settings, opener, outbound).expect("the folder can be used");
    let mut status = handle.status_watch();
    let led = status.wait_for(|status| status.role == ReplicaRole::Leader).await;
    drop(led.expect("one replica elects itself"));
    handle
}

fn put(number: u64) -> Command {
    Command::PutDocument { number, body: "x".repeat(DOCUMENT_BYTES) }
}

/// Append of a leader that the replica does not know.
fn long_append(index: u64) -> ReplicaMessage {
    let entries = vec![LogEntry { term: 1, index, payload: EntryPayload::Command(put(index)) }];
    let (round, prev_index, prev_term, commit, target) = (1, index - 1, 0, 0, 0);
    let body = MessageBody::Append { round, prev_index, prev_term, entries, commit, target };
    ReplicaMessage { group: None, from_incarnation: 1, to_incarnation: None, term: 1, body }
}

// Guards against unbounded memory for documents that are proposed while the disk is unresponsive.
#[tokio::test]
async fn proposals_are_bounded() {
    let files = MemoryFiles::default();
    let handle = start_leader(&files).await;
    let gate = files.image().gate.clone();
    gate.set_closed(true);
    let mut proposals = JoinSet::new();
    for number in 1..=DOCUMENTS {
        let handle = handle.clone();
        proposals.spawn(async move { handle.propose_local(put(number)).await });
    }
    let mut busy = 0;
    while let Some(outcome) = proposals.join_next().await {
        busy += usize::from(outcome.expect("it ends") == Err(LocalProposeError::Busy));
    }
    gate.set_closed(false);
    // One document is being written, and one waits for room in the queue.
    let most = (INPUT_BYTES + BATCH_BYTES) / DOCUMENT_BYTES + 2;
    assert!(busy + most >= DOCUMENTS as usize, "{busy} of {DOCUMENTS} were refused");
}

// Guards against unbounded memory for messages that arrive faster than the replica processes them.
#[tokio::test]
async fn messages_are_bounded() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let rendered = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let files = MemoryFiles::default();
    let handle = start_leader(&files).await;
    for index in 1..=DOCUMENTS {
        handle.deliver("b".to_owned(), long_append(index));
    }
    let text = rendered.render();
    let lost = text.lines().find_map(|line| line.strip_prefix(LOST)).unwrap_or("0");
    let lost: usize = lost.parse().expect("a counter is a number");
    let most = INPUT_BYTES / DOCUMENT_BYTES;
    assert!(lost + most >= DOCUMENTS as usize, "{lost} of {DOCUMENTS} were dropped");
}
