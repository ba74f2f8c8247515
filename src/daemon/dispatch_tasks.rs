//! Background work of the dispatcher that belongs to no request: cancel calls, probes and digests.

use {
    super::{server_monitor::ServerMonitor, server_probe::probe_server},
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

/// The capacity of the queue of dispatch tasks; the dispatcher repeats tasks that are dropped.
pub const TASK_QUEUE_LENGTH: usize = 4096;
/// The maximum number of concurrent cancel calls and probes; further ones wait in the queue.
const MAX_RUNNING_TASKS: usize = 256;

/// The maximum number of attempts of one cancel call; each takes at most a second.
const MAX_CANCEL_ATTEMPTS: u32 = 3;
/// The number of daemons of each other failure domain that receive this daemon's digests. Three
/// cover all daemons of a small domain, and bound the messages at the design size to about a dozen.
const REMOTE_DIGEST_PEERS: usize = 3;

/// Performs dispatch tasks until the dispatcher closes the queue.
pub async fn run_dispatch_tasks(
    core: Arc<PipelineCore>,
    network: PeerNetwork,
    monitor: ServerMonitor,
    mut dispatch_tasks: mpsc::Receiver<DispatchTask>,
) {
    let mut running = JoinSet::new();
    while let Some(task) = dispatch_tasks.recv().await {
        if running.len() >= MAX_RUNNING_TASKS {
            running.join_next().await;
        }
        while running.try_join_next().is_some() {}
        match task {
            DispatchTask::Publish(mut digest) => {
                digest.findings = monitor.findings();
                publish_digest(&core, &network, digest);
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

/// Cancels an attempt at an engine. Closing the connection stops most engines; the cancel call
/// stops the others. It is retried when a busy engine does not respond in time, since nothing else
/// would stop the generation.
async fn cancel_attempt(address: SocketAddr, attempt: AttemptId) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match engine::cancel(address, attempt).await {
            Ok(()) | Err(BackendError::Status { .. }) => return,
            Err(error) => log::debug!(error:% = error; "cancel call failed"),
        }
    }
}

/// Sends a digest to the daemon's own failure domain and to a bounded number of daemons in each
/// other domain. Other domains need it because a request that crashes backend servers is retried
/// through daemons of all domains, and would otherwise crash two servers in each domain
/// (docs/decisions/0030).
fn publish_digest(core: &PipelineCore, network: &PeerNetwork, digest: DomainDigest) {
    let serving = core.serving();
    digest_targets(&core.vm, &serving.view.daemons).into_iter().for_each(|peer| {
        network.send(&peer, PeerMessage::Digest(Box::new(digest.clone())));
    });
}

/// The recipients of the digests of `vm`. In other domains a rendezvous hash selects them, so that
/// the digests of different daemons reach different recipients.
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
                others.truncate(REMOTE_DIGEST_PEERS);
            }
            others
        })
        .cloned()
        .collect()
}
