//! Appends of compressed documents on a link on which they take a second.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
    pub mod udp_relay;
}

use {
    fakes::{
        echo_peer::{TEST_TIMEOUT, start_peer},
        key_folder::KeyFolder,
        udp_relay::UdpRelay,
    },
    oleandermount::{
        control::{
            Command, LogEntry, MessageBody, ReplicaMessage, entry::EntryPayload,
            packed_document::PackedDocument, replica::ReplicaTiming,
        },
        transport::{PeerMessage, PeerRequest},
    },
    rand_xoshiro::{
        Xoshiro256PlusPlus,
        rand_core::{RngCore, SeedableRng},
    },
    tokio::time::{Instant, timeout},
};

const DOCUMENT_BYTES: usize = 4 << 20;
/// The part of the document that cannot be compressed by more than an eighth.
const RANDOM_BYTES: usize = 560_000;
/// Bytes per second of the link, as in document_transfer.rs.
const LINK_RATE: u32 = 512 << 10;
const NOTICE: PeerMessage = PeerMessage::ConfigNotice { revision: 7 };

/// A document of several megabytes, which compression shortens to about an eighth.
fn document() -> String {
    let mut bytes = vec![0; RANDOM_BYTES];
    Xoshiro256PlusPlus::seed_from_u64(1).fill_bytes(&mut bytes);
    bytes.iter_mut().for_each(|byte| *byte &= 0x7f);
    bytes.resize(DOCUMENT_BYTES, b'x');
    String::from_utf8(bytes).expect("the bytes are ASCII")
}

fn append(command: Command) -> PeerMessage {
    let entries = vec![LogEntry { term: 1, index: 1, payload: EntryPayload::Command(command) }];
    let (round, prev_index, prev_term, commit, target) = (1, 0, 0, 0, 0);
    let body = MessageBody::Append { round, prev_index, prev_term, entries, commit, target };
    let message =
        ReplicaMessage { group: None, from_incarnation: 1, to_incarnation: None, term: 1, body };
    PeerMessage::Replica(Box::new(message))
}

/// Sends a command and then a short message, which must arrive before the lease of a leader ends.
async fn assert_timely(command: Command) {
    let keys = KeyFolder::new();
    let relay = UdpRelay::start(&["receiver", "sender"]).await;
    let (receiver, mut received) = start_peer("receiver", keys.files("receiver"), &[]);
    let peers = [("receiver", relay.port("receiver"))];
    let (sender, _) = start_peer("sender", keys.files("sender"), &peers);
    relay.set_address("receiver", receiver.local_address());
    relay.set_address("sender", sender.local_address());
    let to = "receiver".to_owned();
    sender.call(&to, PeerRequest::Status, TEST_TIMEOUT).await.expect("the receiver answers");
    relay.limit_rate("receiver", LINK_RATE);
    let start = Instant::now();
    sender.send(&to, append(command));
    sender.send(&to, NOTICE);
    let notice = async { while received.recv().await.expect("the receiver runs").1 != NOTICE {} };
    timeout(TEST_TIMEOUT, notice).await.expect("the short message arrives");
    let (took, lease) = (start.elapsed(), ReplicaTiming::default().lease);
    println!("the short message arrived after {took:?}");
    assert!(took < lease, "a heartbeat would take {took:?}, the lease is {lease:?}");
}

// Checks the bound of the test below with the same document in the uncompressed form.
#[tokio::test(flavor = "multi_thread")]
async fn plain_document() {
    assert_timely(Command::PutDocument { number: 1, body: document() }).await;
}

// Guards against heartbeats that wait behind a document because its compressed form is below the
// length from which messages have a stream of their own.
#[tokio::test(flavor = "multi_thread")]
async fn packed_document() {
    let packed = PackedDocument::new(&document());
    println!("{} bytes compressed", packed.len());
    assert_timely(Command::PutPackedDocument { number: 1, packed }).await;
}
