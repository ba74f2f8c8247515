//! Receives the body of a document while the follower keeps polling.
//!
//! A document of several megabytes takes seconds on a slow link. A follower that waited for it as
//! for any other reply would miss changes of the server list, and would take a control VM that is
//! sending for an unresponsive one.

use {
    super::SharedState,
    crate::{
        control::document::NumberedDocument,
        ids::{DocumentNumber, VmId},
        observe::events,
        transport::DocumentStream,
    },
    quinn::Connection,
    std::time::Duration,
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// A transfer is abandoned if no part of the body arrives for this long. It has no other time limit:
/// how long it takes depends on the document, the links and the number of followers.
const STALL_LIMIT: Duration = Duration::from_secs(12);
/// The interval at which the arrival of packets is checked.
const PACKET_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A document whose body is being received; it is abandoned when this is dropped.
pub(super) struct DocumentTransfer {
    peer: VmId,
    number: DocumentNumber,
    /// The time at which a packet of the connection last arrived. Parts of the body may be delayed by
    /// a lost packet while others arrive.
    received_at: watch::Receiver<Instant>,
    /// Aborts the task when it is dropped.
    _task: JoinSet<()>,
}

impl DocumentTransfer {
    /// Starts to receive the body of document `number` from `peer`; it is applied to `state` when
    /// it is complete.
    pub(super) fn start(
        peer: VmId,
        number: DocumentNumber,
        stream: DocumentStream,
        state: watch::Sender<SharedState>,
    ) -> Self {
        let (packets, received_at) = watch::channel(Instant::now());
        let mut task = JoinSet::new();
        let sender = peer.clone();
        task.spawn(async move {
            let began = Instant::now();
            let connection = stream.connection();
            let progress = watch::channel(began).0;
            let received = || {
                progress.send_replace(Instant::now());
            };
            let took_ms = || began.elapsed().as_millis() as u64;
            let body = tokio::select! {
                body = stream.read(received) => body.map_err(|error| error.to_string()),
                () = stall(progress.subscribe()) => Err("it has stalled".to_owned()),
                () = record_packets(&connection, &packets) => unreachable!("it never completes"),
            };
            match body {
                Ok(body) => {
                    log::info!(peer = sender.as_str(), document = number, bytes = body.len(),
                        took_ms = took_ms(); "{}", events::DOCUMENT_RECEIVED);
                    let document = NumberedDocument { number, body };
                    state.send_if_modified(|state| state.apply_document(document));
                }
                Err(error) => log::warn!(peer = sender.as_str(), document = number,
                    took_ms = took_ms(), error = error; "{}", events::DOCUMENT_LOST),
            }
        });
        DocumentTransfer { peer, number, received_at, _task: task }
    }

    /// The VM that sends the document.
    pub(super) fn peer(&self) -> &VmId {
        &self.peer
    }

    /// The number of the document.
    pub(super) fn number(&self) -> DocumentNumber {
        self.number
    }

    /// Completes when the transfer has ended, with or without success.
    pub(super) async fn ended(&self) {
        let mut received_at = self.received_at.clone();
        // The task drops the sender when it ends.
        while received_at.changed().await.is_ok() {}
    }

    /// The time at which a packet of the sender last arrived; the start of the transfer before that.
    pub(super) fn received_at(&self) -> Instant {
        *self.received_at.borrow()
    }
}

/// Completes when no part of a body has arrived for [`STALL_LIMIT`].
async fn stall(received_at: watch::Receiver<Instant>) {
    loop {
        let limit = *received_at.borrow() + STALL_LIMIT;
        if limit <= Instant::now() {
            return;
        }
        sleep_until(limit).await;
    }
}

/// Records the time at which packets arrive; never completes.
async fn record_packets(connection: &Connection, received_at: &watch::Sender<Instant>) {
    let mut count = 0;
    loop {
        let received = connection.stats().udp_rx.datagrams;
        if received != count {
            count = received;
            received_at.send_replace(Instant::now());
        }
        sleep(PACKET_CHECK_INTERVAL).await;
    }
}
