//! Long messages between daemons: what waits for a slow or silent peer, and what overtakes them.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
    pub mod udp_relay;
}

use {
    fakes::{
        echo_peer::{LONG, start_peer},
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

/// A long document, and a link on which it takes three seconds.
const DOCUMENT_BYTES: usize = 3 << 20;
const SLOW_LINK: u32 = 1 << 20;
/// More documents than a link may hold.
const DOCUMENTS: usize = 100;
const NOTICE: PeerMessage = PeerMessage::ConfigNotice { revision: 7 };

/// An append that carries one document of `length` bytes.
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
    heard: mpsc::Receiver<(VmId, PeerMessage)>,
    relay: UdpRelay,
    /// Keep it running.
    _receiver: PeerNetwork,
    _keys: KeyFolder,
}

impl RelayedPair {
    /// Two daemons whose connection is up.
    async fn start() -> Self {
        let keys = KeyFolder::new();
        let relay = UdpRelay::start(&["receiver", "sender"]).await;
        let (receiver, heard) = start_peer("receiver", keys.files("receiver"), &[]);
        let peers = [("receiver", relay.port("receiver"))];
        let (sender, _) = start_peer("sender", keys.files("sender"), &peers);
        relay.place("receiver", receiver.local_address());
        relay.place("sender", sender.local_address());
        let status = sender.call(&"receiver".to_owned(), PeerRequest::Status, LONG).await;
        status.expect("the receiver answers");
        RelayedPair { sender, heard, relay, _receiver: receiver, _keys: keys }
    }

    fn send(&self, message: PeerMessage) {
        self.sender.send(&"receiver".to_owned(), message);
    }

    async fn hear(&mut self) -> PeerMessage {
        let heard = timeout(LONG, self.heard.recv()).await.expect("a message comes");
        heard.expect("the receiver runs").1
    }
}

fn dropped(handle: &PrometheusHandle, reason: &str) -> usize {
    let start = format!("oleandermount_peer_dropped_total{{reason=\"{reason}\"}} ");
    let text = handle.render();
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.map_or(0, |number| number.parse().expect("a counter is a number"))
}

// Guards against followers that hear no heartbeat while a long document is on its way to them.
#[tokio::test(flavor = "multi_thread")]
async fn short_one_overtakes() {
    let mut pair = RelayedPair::start().await;
    pair.relay.slow("receiver", SLOW_LINK);
    pair.send(long_append(DOCUMENT_BYTES));
    pair.send(NOTICE);
    assert_eq!(pair.hear().await, NOTICE);
    assert_eq!(pair.hear().await, long_append(DOCUMENT_BYTES), "it arrives whole");
}

// Guards against memory that grows with the messages that wait for a silent peer.
#[tokio::test]
async fn unread_ones_are_bounded() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let mut pair = RelayedPair::start().await;
    pair.relay.isolate("receiver", &[]);
    for _ in 0..DOCUMENTS {
        pair.send(long_append(DOCUMENT_BYTES));
    }
    let most = MAX_LINK_BYTES / DOCUMENT_BYTES;
    assert!(dropped(&handle, "queue_full") >= DOCUMENTS - most, "{}", handle.render());
    pair.relay.heal();
    // The connection may have been given up meanwhile; messages may be lost, and are sent again.
    let again = async {
        loop {
            pair.send(NOTICE);
            let heard = timeout(LONG / 100, pair.heard.recv()).await;
            if matches!(heard, Ok(Some((_, PeerMessage::ConfigNotice { .. })))) {
                return;
            }
        }
    };
    timeout(LONG, again).await.expect("the link is usable again");
}
