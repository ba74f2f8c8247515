//! Answers what other daemons send.

use {
    super::{
        config_spread::ConfigSpread, control_driver::ControlHandle,
        membership_watch::MembershipWatch, peer_status::PeerStatus, remote_control::RemoteControl,
        server_news::ServerNews,
    },
    crate::{
        ids::{Revision, VmId},
        pipeline::PipelineCore,
        policy::PolicyInput,
        transport::{PeerHandler, PeerMessage, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    std::sync::{Arc, OnceLock},
};

/// What a daemon answers its peers with. The parts come up one after the other; until all are
/// there, peers are told to come back.
#[derive(Default)]
pub struct PeerDesk {
    parts: OnceLock<DeskParts>,
}

/// The parts behind a desk.
#[derive(Clone)]
pub struct DeskParts {
    /// The pipeline.
    pub core: Arc<PipelineCore>,
    /// The replica here, if any.
    pub replica: Option<ControlHandle>,
    /// Passes proposals on.
    pub control: Arc<RemoteControl>,
    /// The configuration.
    pub spread: ConfigSpread,
    /// The watch over backend servers.
    pub watch: MembershipWatch,
    /// What is passed on of it.
    pub news: Arc<ServerNews>,
}

impl PeerDesk {
    /// Opens the desk; a second call changes nothing.
    pub fn open(&self, parts: DeskParts) {
        if self.parts.set(parts).is_err() {
            log::error!("the desk for peers was opened twice");
        }
    }
}

impl PeerHandler for PeerDesk {
    fn message(&self, from: VmId, message: PeerMessage) {
        let Some(parts) = self.parts.get() else { return };
        match message {
            PeerMessage::Replica(message) => {
                parts.replica.iter().for_each(|replica| {
                    replica.deliver(from.clone(), (*message).clone());
                });
            }
            // A digest counts in the name that the sender's certificate proves, or one VM could call
            // another's servers dead.
            PeerMessage::Digest(digest) if digest.daemon != from => {
                log::warn!(from = from.as_str(); "a digest in another VM's name was dropped");
            }
            PeerMessage::Digest(digest) => {
                parts.watch.digest(&digest);
                parts.core.dispatcher.notify(PolicyInput::Digest(*digest));
            }
            PeerMessage::DrainServer { server } => parts.news.hold(&server),
            PeerMessage::ConfigNotice { revision } => parts.spread.notice(from, revision),
        }
    }

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let parts = self.parts.get().cloned();
        Box::pin(async move {
            match parts {
                Some(parts) => parts.answer(request).await,
                None => PeerReply::Refused("this daemon starts; ask again in a second".to_owned()),
            }
        })
    }
}

impl DeskParts {
    async fn answer(self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Propose { command, may_forward } => {
                self.control.serve(*command, may_forward).await
            }
            PeerRequest::FetchConfig { have } => self.spread.answer(have),
            PeerRequest::Explain { request } => {
                PeerReply::Explained(self.core.trace.lines(&request))
            }
            PeerRequest::Status => self.status().reply(),
            PeerRequest::Drain => {
                self.core.gate.begin_drain();
                PeerReply::Draining
            }
            PeerRequest::Follow(_) => {
                PeerReply::Refused("this daemon serves no followers; ask a control VM".to_owned())
            }
        }
    }

    /// The revision that requests here are served by; the spread may be a moment ahead of it.
    pub fn revision(&self) -> Revision {
        self.core.serving().config.revision
    }

    fn status(&self) -> PeerStatus {
        let replica = self.replica.as_ref().map(ControlHandle::status);
        PeerStatus {
            revision: self.revision(),
            serving: !self.core.gate.is_draining(),
            leader: replica.as_ref().and_then(|status| status.leader.clone()),
            voters: replica
                .map(|status| status.members.voters.keys().cloned().collect())
                .unwrap_or_default(),
        }
    }
}
