//! Handles messages and requests of other daemons.

use {
    super::{
        config_dissemination::ConfigDissemination, control_driver::ControlHandle,
        peer_status::PeerStatus, remote_proposer::RemoteProposer, server_monitor::ServerMonitor,
        server_updates::ServerUpdates,
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

/// Handles messages and requests of peers. The components of a daemon start one after the other;
/// until all are running, messages are dropped and requests are refused with a hint to retry.
#[derive(Default)]
pub struct PeerService {
    components: OnceLock<DaemonComponents>,
}

/// The components of a daemon that requests of peers and operators need.
#[derive(Clone)]
pub struct DaemonComponents {
    /// The request pipeline.
    pub core: Arc<PipelineCore>,
    /// The replica on this VM, if any.
    pub replica: Option<ControlHandle>,
    /// Proposes commands to the leader.
    pub control: Arc<RemoteProposer>,
    /// The dissemination of configurations.
    pub dissemination: ConfigDissemination,
    /// The health monitor of backend servers.
    pub monitor: ServerMonitor,
    /// The filter between the health monitor and the dispatcher.
    pub updates: Arc<ServerUpdates>,
}

impl PeerService {
    /// Starts to serve with `components`; a second call has no effect.
    pub fn open(&self, components: DaemonComponents) {
        if self.components.set(components).is_err() {
            log::error!("the peer service was opened twice");
        }
    }
}

impl PeerHandler for PeerService {
    fn message(&self, from: VmId, message: PeerMessage) {
        let Some(components) = self.components.get() else { return };
        match message {
            PeerMessage::Replica(message) => {
                components.replica.iter().for_each(|replica| {
                    replica.deliver(from.clone(), (*message).clone());
                });
            }
            // The sender is the VM that its certificate proves. Without this check one VM could
            // report another's servers as dead.
            PeerMessage::Digest(digest) if digest.daemon != from => {
                log::warn!(from = from.as_str(); "digest dropped: it names another VM as its sender");
            }
            PeerMessage::Digest(digest) => {
                components.monitor.handle_digest(&digest);
                components.core.dispatcher.notify(PolicyInput::Digest(*digest));
            }
            PeerMessage::DrainServer { server } => components.updates.hold(&server),
            PeerMessage::ConfigNotice { revision } => {
                components.dissemination.handle_notice(from, revision)
            }
            PeerMessage::KeepAlive
            | PeerMessage::EndLease { .. }
            | PeerMessage::LeaseProgress { .. }
            | PeerMessage::LeaseRejected { .. }
            | PeerMessage::HeldLeases(_)
            | PeerMessage::StreamOrigins { .. }
            | PeerMessage::ReturnUsage(_)
            | PeerMessage::ReleaseUsage => {}
        }
    }

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let components = self.components.get().cloned();
        Box::pin(async move {
            match components {
                Some(components) => components.answer(request).await,
                None => PeerReply::Refused("this daemon is starting; retry in a second".to_owned()),
            }
        })
    }
}

impl DaemonComponents {
    async fn answer(self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Propose { command, may_forward } => {
                self.control.serve(*command, may_forward).await
            }
            PeerRequest::FetchConfig { have } => self.dissemination.answer(have),
            PeerRequest::Explain { request } => {
                PeerReply::Explained(self.core.trace.lines(&request))
            }
            PeerRequest::Status => self.status().to_reply(),
            PeerRequest::Drain => {
                self.core.gate.begin_drain();
                PeerReply::Draining
            }
            PeerRequest::Follow(_)
            | PeerRequest::TunnelPeers { .. }
            | PeerRequest::OpenTunnel { .. }
            | PeerRequest::LeaseSlot { .. }
            | PeerRequest::StreamOrigin { .. }
            | PeerRequest::AcquireUsage(_)
            | PeerRequest::RenewUsage(_) => PeerReply::Refused(
                "this daemon does not serve followers; ask a control VM".to_owned(),
            ),
        }
    }

    /// The revision that requests are served with; the dissemination may be slightly ahead of it.
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
