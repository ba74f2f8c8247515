//! Long messages between daemons: short messages overtake them, and the queue for a slow or
//! unresponsive peer is bounded.

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
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    oleandermount::{
        control::{Command, LogEntry, MessageBody, ReplicaMessage, entry::EntryPayload},
        ids::VmId,
        transport::{PeerMessage, PeerNetwork, PeerRequest, link::MAX_LINK_BYTES},
    },
    tokio::{sync::mpsc, time::timeout},
};

const DOCUMENT_BYTES: usize = 3 << 20;
/// Bytes per second of a link on which a document takes three seconds.
const SLOW_LINK: u32 = 1 << 20;
/// More documents than fit in the byte budget of a link.
const DOCUMENTS: usize = 100;
const NOTICE: PeerMessage = PeerMessage::ConfigNotice { revision: 7 };

/// An append that contains one document of `length` bytes.
fn long_append(length: usize) -> PeerMessage {
    let command = Command::PutDocument { number: 1, body: "x".repeat(length) };
    let entries = vec![LogEntry { term: 1, index: 1, payload: EntryPayload::Command(command) }];
    let (round, prev_index, prev_term, commit, target) = (1, 0, 0, 0, 0);
    let body = MessageBody::Append { round, prev_index, prev_term, entries, commit, target };
    let message =
        ReplicaMessage { group: None, from_incarnation: 1, to_incarnation: None, term: 1, body };
    PeerMessage::Replica(Box::new(message))
}

struct RelayedPair {
    sender: PeerNetwork,
    received: mpsc::Receiver<(VmId, PeerMessage)>,
    relay: UdpRelay,
    /// Held to keep the receiver running.
    _receiver: PeerNetwork,
    _keys: KeyFolder,
}

impl RelayedPair {
    /// Starts two daemons and opens a connection between them.
    async fn start() -> Self {
        let keys = KeyFolder::new();
        let relay = UdpRelay::start(&["receiver", "sender"]).await;
        let (receiver, received) = start_peer("receiver", keys.files("receiver"), &[]);
        let peers = [("receiver", relay.port("receiver"))];
        let (sender, _) = start_peer("sender", keys.files("sender"), &peers);
        relay.set_address("receiver", receiver.local_address());
        relay.set_address("sender", sender.local_address());
        let status = sender.call(&"receiver".to_owned(), PeerRequest::Status, TEST_TIMEOUT).await;
        status.expect("the receiver answers");
        RelayedPair { sender, received, relay, _receiver: receiver, _keys: keys }
    }

    fn send(&self, message: PeerMessage) {
        self.sender.send(&"receiver".to_owned(), message);
    }

    async fn receive(&mut self) -> PeerMessage {
        let received =
            timeout(TEST_TIMEOUT, self.received.recv()).await.expect("a message arrives");
        received.expect("the receiver runs").1
    }
}

fn dropped(handle: &PrometheusHandle, reason: &str) -> usize {
    let start = format!("oleandermount_peer_dropped_total{{reason=\"{reason}\"}} ");
    let text = handle.render();
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.map_or(0, |number| number.parse().expect("a counter is a number"))
}

// Guards against followers that receive no heartbeats while a long document is being sent to them.
#[tokio::test(flavor = "multi_thread")]
async fn short_message_overtakes_long_one() {
    let mut pair = RelayedPair::start().await;
    pair.relay.limit_rate("receiver", SLOW_LINK);
    pair.send(long_append(DOCUMENT_BYTES));
    pair.send(NOTICE);
    assert_eq!(pair.receive().await, NOTICE);
    assert_eq!(pair.receive().await, long_append(DOCUMENT_BYTES), "the document arrives complete");
}

// Guards against memory use that grows with the messages queued for an unresponsive peer.
#[tokio::test]
async fn queued_bytes_are_bounded() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let mut pair = RelayedPair::start().await;
    pair.relay.isolate("receiver", &[]);
    for _ in 0..DOCUMENTS {
        pair.send(long_append(DOCUMENT_BYTES));
    }
    let max_queued = MAX_LINK_BYTES / DOCUMENT_BYTES;
    assert!(dropped(&handle, "queue_full") >= DOCUMENTS - max_queued, "{}", handle.render());
    pair.relay.heal();
    // The connection may have been closed in the meantime, so messages may be lost and are resent.
    let again = async {
        loop {
            pair.send(NOTICE);
            let received = timeout(TEST_TIMEOUT / 100, pair.received.recv()).await;
            if matches!(received, Ok(Some((_, PeerMessage::ConfigNotice { .. })))) {
                return;
            }
        }
    };
    timeout(TEST_TIMEOUT, again).await.expect("the link is usable again");
}
