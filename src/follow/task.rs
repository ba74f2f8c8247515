//! Follows the control VMs from an entry, or the leader from another control VM.

use {
    super::{ANSWER_WAIT, FollowReply, FollowRequest, FollowerKind, SharedState},
    crate::{
        ids::{FailureDomainId, VmId},
        transport::{PeerNetwork, PeerReply, PeerRequest},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// A waiting answer that is so much late is not awaited any longer: the VM or the way to it is gone.
/// With the wait itself a silent VM is left after 1.4 s, within the 2 s in which an accepted change
/// must be in force.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long the others are asked one after the other, each for an answer at once.
const QUICK_ANSWER: Duration = Duration::from_millis(300);
/// The pause when nobody answers.
const PAUSE: Duration = Duration::from_millis(100);
/// How often a follower that had to leave its own domain's control VM looks whether it is back.
const HOME_LOOK: Duration = Duration::from_secs(3);

/// What a follower tells of itself, and who hears what it learns.
pub trait FollowerPort: Send + Sync {
    /// Who follows.
    fn kind(&self) -> FollowerKind;

    /// An answer came, with or without news.
    fn heard(&self, reply: &FollowReply);
}

/// A follower of the control VMs.
pub struct FollowTask {
    network: PeerNetwork,
    failure_domain: FailureDomainId,
    candidates: watch::Receiver<Vec<VmId>>,
    state: watch::Sender<SharedState>,
    port: Arc<dyn FollowerPort>,
}

/// How well a control VM suits; greater is better.
type Suitability = (bool, bool);

impl FollowTask {
    /// A task that asks the `candidates` and shows what it learns in `state`.
    pub fn new(
        network: PeerNetwork,
        failure_domain: FailureDomainId,
        candidates: watch::Receiver<Vec<VmId>>,
        state: watch::Sender<SharedState>,
        port: Arc<dyn FollowerPort>,
    ) -> Self {
        FollowTask { network, failure_domain, candidates, state, port }
    }

    /// Follows for ever.
    pub async fn run(self) {
        loop {
            match self.choose().await {
                Some((peer, suitability)) => self.stay(&peer, suitability).await,
                None => sleep(PAUSE).await,
            }
        }
    }

    /// Asks all candidates at once; the best that answers.
    async fn choose(&self) -> Option<(VmId, Suitability)> {
        let candidates = self.candidates.borrow().clone();
        let asked = candidates.iter().map(|peer| async move {
            let reply = self.ask(peer, false, QUICK_ANSWER).await?;
            Some((self.suitability(&reply), peer.clone()))
        });
        let answers = futures::future::join_all(asked).await;
        let best = answers.into_iter().flatten().max_by_key(|(suits, _)| *suits)?;
        Some((best.1, best.0))
    }

    /// Follows one VM until it fails or another may suit better.
    async fn stay(&self, peer: &VmId, suitability: Suitability) {
        let since = Instant::now();
        log::info!(peer = peer.as_str(), fresh = suitability.0, own_domain = suitability.1;
            "following a control VM");
        while let Some(reply) = self.ask(peer, true, ANSWER_WAIT + ANSWER_SLACK).await {
            let now = self.suitability(&reply);
            if now < suitability || (now != (true, true) && since.elapsed() > HOME_LOOK) {
                if !now.0 {
                    // It hears from no leader: it answers at once, so ask it less often.
                    sleep(PAUSE).await;
                }
                return;
            }
        }
        log::warn!(peer = peer.as_str(); "a control VM does not answer its follower");
    }

    fn suitability(&self, reply: &FollowReply) -> Suitability {
        (reply.fresh, reply.failure_domain == self.failure_domain)
    }

    async fn ask(&self, peer: &VmId, wait: bool, limit: Duration) -> Option<FollowReply> {
        let held = self.state.borrow().clone();
        let request = FollowRequest {
            document: held.document.number,
            weights: held.weights,
            fleet: held.fleet.map_or(0, |fleet| fleet.digest()),
            follower: self.port.kind(),
            wait,
        };
        let reply = self.network.call(peer, PeerRequest::Follow(Box::new(request)), limit).await;
        match reply {
            Ok(PeerReply::Followed(reply)) => {
                self.port.heard(&reply);
                let learned = FollowReply::clone(&reply);
                self.state.send_if_modified(|state| state.take(learned));
                Some(*reply)
            }
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = peer.as_str(); "not followed: {error}");
                None
            }
        }
    }
}
