//! Work of the dispatcher that belongs to no request: cancel calls, probes and digests.

use {
    super::{membership_watch::MembershipWatch, server_probe::probe_server},
    crate::{
        backend::{BackendError, engine},
        ids::{AttemptId, FailureDomainId, VmId},
        pipeline::{PipelineCore, dispatch::DispatchTask},
        policy::{DomainDigest, PolicyInput},
        transport::{PeerMessage, PeerNetwork},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::{sync::mpsc, task::JoinSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Duties that wait; the dispatcher gives those again that are dropped.
pub const DUTY_BOUND: usize = 4096;
/// Cancel calls and probes under way at once; further ones wait in the queue.
const RUNNING_DUTIES: usize = 256;

/// Tries of one cancel call; each waits a second at the most.
const CANCEL_TRIES: u32 = 3;
/// Daemons of each other domain that hear this one's digests: all of today's three, and at the
/// design size a dozen in all.
const FAR_DIGESTS: usize = 3;

/// Carries out duties until the dispatcher's port is gone.
pub async fn run_duties(
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    watch: MembershipWatch,
    mut duties: mpsc::Receiver<DispatchTask>,
) {
    let mut running = JoinSet::new();
    while let Some(duty) = duties.recv().await {
        if running.len() >= RUNNING_DUTIES {
            running.join_next().await;
        }
        while running.try_join_next().is_some() {}
        match duty {
            DispatchTask::Publish(mut digest) => {
                digest.findings = watch.findings();
                publish(&core, &network, digest);
            }
            DispatchTask::Probe { server } => {
                let core = Arc::clone(&core);
                running.spawn(async move {
                    let Some(address) = core.address(&server) else { return };
                    let answered = probe_server(server.clone(), address).await.is_ok();
                    core.dispatcher.notify(PolicyInput::Probed { server, answered });
                });
            }
            DispatchTask::Cancel { attempt, server } => {
                let Some(address) = core.address(&server) else { continue };
                running.spawn(cancel_attempt(address, attempt));
            }
        }
    }
}

/// Closing the connection stops most engines; the call stops those that generate on. It is made
/// again when a busy engine does not answer in time, since nothing else would stop such a one.
async fn cancel_attempt(address: SocketAddr, attempt: AttemptId) {
    for _ in 0..CANCEL_TRIES {
        match engine::cancel(address, attempt).await {
            Ok(()) | Err(BackendError::Status { .. }) => return,
            Err(error) => log::debug!(error:% = error; "the engine did not take the cancel call"),
        }
    }
}

/// Sends a digest to the own failure domain and to a bounded number of daemons in each other one:
/// a request that crashes backend servers is sent again through daemons of all domains, and each
/// domain would lose its own two servers to it (docs/decisions/0030).
fn publish(core: &PipelineCore, network: &PeerNetwork, digest: DomainDigest) {
    let serving = core.serving();
    digest_targets(&core.vm, &serving.view.daemons).into_iter().for_each(|peer| {
        network.send(&peer, PeerMessage::Digest(Box::new(digest.clone())));
    });
}

/// Who gets the digests of `vm`. In other domains those that a rendezvous hash picks, so that the
/// digests of different daemons reach different ones.
pub fn digest_targets(
    vm: &VmId,
    daemons: &BTreeMap<FailureDomainId, BTreeMap<VmId, f64>>,
) -> Vec<VmId> {
    let rank = |other: &VmId| xxh3_64(format!("{vm} {other}").as_bytes());
    daemons
        .values()
        .flat_map(|domain| {
            let mut others: Vec<&VmId> = domain.keys().filter(|other| *other != vm).collect();
            if !domain.contains_key(vm) {
                others.sort_by_key(|other| rank(other));
                others.truncate(FAR_DIGESTS);
            }
            others
        })
        .cloned()
        .collect()
}
