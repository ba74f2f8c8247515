//! Sends the requests of a follower and applies the small changes in the replies.

use {
    super::{
        AnswerMode, FollowReply, FollowRequest, SharedState, control_digest, task::FollowerPort,
    },
    crate::{
        ids::VmId,
        transport::{DocumentStream, PeerNetwork, PeerReply, PeerRequest},
    },
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::Instant},
};

/// Asks control VMs for a follower.
#[derive(Clone)]
pub(super) struct FollowClient {
    pub(super) network: PeerNetwork,
    pub(super) state: watch::Sender<SharedState>,
    pub(super) port: Arc<dyn FollowerPort>,
    /// The time at which a part of a server list last arrived.
    pub(super) list_received_at: watch::Sender<Instant>,
}

impl FollowClient {
    /// A client that publishes what it receives in `state`.
    pub(super) fn new(
        network: PeerNetwork,
        state: watch::Sender<SharedState>,
        port: Arc<dyn FollowerPort>,
    ) -> Self {
        let list_received_at = watch::channel(Instant::now()).0;
        FollowClient { network, state, port, list_received_at }
    }

    /// Sends a request; `None` if there is no answer within `limit`. The document of the answer has
    /// to be received from the stream.
    pub(super) async fn ask(
        &self,
        peer: &VmId,
        mode: AnswerMode,
        limit: Duration,
        receives_document: bool,
    ) -> Option<(FollowReply, Option<DocumentStream>)> {
        let request = PeerRequest::Follow(Box::new(self.request(mode, receives_document)));
        let received = || {
            self.list_received_at.send_replace(Instant::now());
        };
        match self.network.call_streamed(peer, request, limit, received).await {
            Ok((PeerReply::Followed(reply), stream)) => {
                // The document is applied when its body has arrived.
                let applied = FollowReply { document: None, ..FollowReply::clone(&reply) };
                self.state.send_if_modified(|state| state.apply(applied));
                if mode == AnswerMode::Wait {
                    self.port.reply_received(&reply, &self.state.borrow());
                }
                Some((*reply, stream))
            }
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = peer.as_str(); "follow request failed: {error}");
                None
            }
        }
    }

    fn request(&self, mode: AnswerMode, receives_document: bool) -> FollowRequest {
        let held = self.state.borrow().clone();
        FollowRequest {
            document: held.document.number,
            weights: held.weights,
            fleet: held.fleet_digest,
            control: control_digest(&held.control),
            term: held.term,
            follower: self.port.kind(),
            mode,
            needs_full: held.needs_full,
            receives_document,
            evidence: self.port.evidence_digest(),
            limited_services: self.port.limited_services(),
            tunnel_peers: self.port.tunnel_peers(),
        }
    }
}
