//! Keeps a daemon without a replica informed of who votes and who leads.

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

/// A replaced replica is known within a round over a domain's peers; until then proposals go to
/// the others, which pass them on.
const ASK_PERIOD: Duration = Duration::from_secs(10);
/// A peer that takes longer is asked again in a later turn.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Asks one peer after the other for ever. A peer that knows no voters changes nothing.
pub async fn poll_voters(
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    control: Arc<RemoteProposer>,
) {
    let mut ticks = interval(ASK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for turn in 0_usize.. {
        ticks.tick().await;
        let Some(peer) = peer_of_turn(&core, turn) else { continue };
        let reply = network.call(&peer, PeerRequest::Status, ASK_LIMIT).await;
        let Some(status) = reply.ok().as_ref().and_then(PeerStatus::read) else { continue };
        control.set_voters(status.voters);
        status.leader.into_iter().for_each(|leader| control.set_leader(leader));
    }
}

fn peer_of_turn(core: &PipelineCore, turn: usize) -> Option<VmId> {
    let serving = core.serving();
    let vms = &serving.config.register.vms;
    let others: Vec<&VmId> = vms.iter().map(|vm| &vm.id).filter(|vm| **vm != core.vm).collect();
    (!others.is_empty()).then(|| others[turn % others.len()].clone())
}
