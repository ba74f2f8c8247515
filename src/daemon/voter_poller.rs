//! Polls the peers of a daemon without a replica for the voters and the leader of the control
//! group.

use {
    super::{peer_status::PeerStatus, remote_proposer::RemoteProposer},
    crate::{
        ids::VmId,
        pipeline::PipelineCore,
        transport::{PeerNetwork, PeerRequest},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// The interval between two polls. A replaced replica becomes known within one round over the
/// peers; until then proposals go to the other replicas, which forward them.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// A peer that takes longer is skipped until the next round.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls one peer after the other, forever. The answer of a peer that knows no voters is ignored.
pub async fn poll_voters(
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    control: Arc<RemoteProposer>,
) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for turn in 0_usize.. {
        ticks.tick().await;
        let Some(peer) = next_peer(&core, turn) else { continue };
        let reply = network.call(&peer, PeerRequest::Status, POLL_TIMEOUT).await;
        let Some(status) = reply.ok().as_ref().and_then(PeerStatus::from_reply) else { continue };
        control.set_voters(status.voters);
        status.leader.into_iter().for_each(|leader| control.set_leader(leader));
    }
}

fn next_peer(core: &PipelineCore, turn: usize) -> Option<VmId> {
    let serving = core.serving();
    let vms = &serving.config.register.vms;
    let others: Vec<&VmId> = vms.iter().map(|vm| &vm.id).filter(|vm| **vm != core.vm).collect();
    (!others.is_empty()).then(|| others[turn % others.len()].clone())
}
