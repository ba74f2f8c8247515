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
    std::time::Duration,
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{Instant, timeout},
    },
};

/// Time limit of a transfer; the longest document takes less at 7.5 Mbit/s.
pub(super) const TRANSFER_TIMEOUT: Duration = Duration::from_secs(12);

/// A document whose body is being received; it is abandoned when this is dropped.
pub(super) struct DocumentTransfer {
    peer: VmId,
    number: DocumentNumber,
    /// The time at which a part of the body last arrived.
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
        let (progress, received_at) = watch::channel(Instant::now());
        let mut task = JoinSet::new();
        let sender = peer.clone();
        task.spawn(async move {
            let began = Instant::now();
            let received = || {
                progress.send_replace(Instant::now());
            };
            let took_ms = || began.elapsed().as_millis() as u64;
            match timeout(TRANSFER_TIMEOUT, stream.read(received)).await {
                Ok(Ok(body)) => {
                    log::info!(peer = sender.as_str(), document = number, bytes = body.len(),
                        took_ms = took_ms(); "{}", events::DOCUMENT_RECEIVED);
                    let document = NumberedDocument { number, body };
                    state.send_if_modified(|state| state.apply_document(document));
                }
                Ok(Err(error)) => log::warn!(peer = sender.as_str(), document = number,
                    took_ms = took_ms(), error:% = error; "{}", events::DOCUMENT_LOST),
                Err(_elapsed) => log::warn!(peer = sender.as_str(), document = number,
                    took_ms = took_ms(); "{}", events::DOCUMENT_LOST),
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

    /// The time at which a part of the body last arrived; the start of the transfer before that.
    pub(super) fn received_at(&self) -> Instant {
        *self.received_at.borrow()
    }
}
