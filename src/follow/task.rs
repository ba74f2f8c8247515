//! Follows the control VMs from an entry, or the leader from another control VM.

use {
    super::{
        ANSWER_WAIT, AnswerMode, FollowReply, FollowRequest, FollowerKind, SharedState,
        confirmation::{AskedPeers, ConfirmationMonitor},
        control_digest,
    },
    crate::{
        ids::{DocumentNumber, FailureDomainId, VmId},
        observe::events,
        transport::{PeerNetwork, PeerReply, PeerRequest},
    },
    futures::future::join_all,
    std::{
        sync::Arc,
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// A waiting answer that is so much late is not awaited any longer: the VM or the way to it is gone.
/// With the wait itself a silent VM is left after 1.4 s, within the 2 s in which an accepted change
/// must be in force.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long the others are asked one after the other, each for an answer at once.
const QUICK_ANSWER: Duration = Duration::from_millis(300);
/// The pause when nobody answers, or nobody who is up to date.
const PAUSE: Duration = Duration::from_millis(200);
/// How often a follower that had to leave its own domain's control VM looks whether it is back.
const HOME_LOOK: Duration = Duration::from_secs(3);

/// What a follower tells of itself, and who hears what it learns.
pub trait FollowerPort: Send + Sync {
    /// Who follows.
    fn kind(&self) -> FollowerKind;

    /// The VM that is followed answered, with or without news; `state` has taken it in. What others say
    /// of themselves is not told: `state` lacks what they know.
    fn reply_received(&self, reply: &FollowReply, state: &SharedState);
}

/// A follower of the control VMs.
pub struct FollowTask {
    network: PeerNetwork,
    failure_domain: FailureDomainId,
    candidates: watch::Receiver<Vec<VmId>>,
    state: watch::Sender<SharedState>,
    port: Arc<dyn FollowerPort>,
    /// `None` for a control VM, whose replica brings its configuration.
    confirmation: Option<ConfirmationMonitor>,
}

/// How well a control VM suits: whether it is up to date, then whether it is of the own failure
/// domain. Greater is better.
pub type Suitability = (bool, bool);

/// What a follower does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowDecision {
    /// Asks the same VM again.
    Stay,
    /// Looks at all of them now.
    Reselect,
    /// Looks at all of them after a pause: this answer came without a wait.
    PauseAndReselect,
}

/// Judges an answer of a VM that suited so well `before` and `now`, after `elapsed` with it.
///
/// While no VM is up to date, followers turn to that of their own domain. When others are again, that
/// VM may still not be, because its disk was lost; a follower that stayed with it for some seconds
/// would serve by a configuration that was replaced. So it looks again at once.
pub fn decide_follow(before: Suitability, now: Suitability, elapsed: Duration) -> FollowDecision {
    if !now.0 {
        return FollowDecision::PauseAndReselect;
    }
    let away = !now.1 && elapsed > HOME_LOOK;
    if now < before || away { FollowDecision::Reselect } else { FollowDecision::Stay }
}

/// The VM that suits the daemon on `vm` best. Among equals each daemon prefers another one, by a hash of
/// both names: else all that have lost theirs would follow the same one.
pub fn best_peer(
    vm: &VmId,
    peers: impl Iterator<Item = (VmId, Suitability)>,
) -> Option<(VmId, Suitability)> {
    let seed = xxh3_64(vm.as_bytes());
    peers.max_by_key(|(peer, suits)| (*suits, xxh3_64_with_seed(peer.as_bytes(), seed)))
}

impl FollowTask {
    /// A task that asks the `candidates` and shows what it learns in `state`.
    pub fn new(
        network: PeerNetwork,
        failure_domain: FailureDomainId,
        candidates: watch::Receiver<Vec<VmId>>,
        state: watch::Sender<SharedState>,
        port: Arc<dyn FollowerPort>,
    ) -> Self {
        let is_entry = port.kind() == FollowerKind::Entry;
        let confirmation = is_entry.then(|| ConfirmationMonitor::new(StdInstant::now()));
        FollowTask { network, failure_domain, candidates, state, port, confirmation }
    }

    /// Follows for ever.
    pub async fn run(mut self) {
        loop {
            match self.choose().await {
                Some((peer, suitability)) => self.stay(&peer, suitability).await,
                None => self.pause().await,
            }
        }
    }

    /// Waits before the next look; without candidates, for the first.
    async fn pause(&self) {
        let mut candidates = self.candidates.clone();
        if candidates.borrow_and_update().is_empty() && candidates.changed().await.is_ok() {
            return;
        }
        sleep(PAUSE).await;
    }

    /// Asks all candidates at once how well they suit; the best that answers.
    async fn choose(&mut self) -> Option<(VmId, Suitability)> {
        let candidates = self.candidates.borrow().clone();
        let task = &*self;
        let asked = candidates.iter().map(|peer| async move {
            let reply = task.ask(peer, AnswerMode::Suitability, QUICK_ANSWER).await?;
            Some((task.suitability(&reply), peer.clone(), reply.held))
        });
        let answers: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
        let peers = AskedPeers { asked: candidates.len(), answered: answers.len() };
        let suiting = answers.iter().map(|(suits, peer, _)| (peer.clone(), *suits));
        let best = best_peer(self.network.vm(), suiting);
        let confirmed = best.as_ref().is_some_and(|(_, suits)| suits.0);
        if !confirmed {
            self.take_newest(&answers).await;
        }
        self.note_confirmation(confirmed, peers);
        best
    }

    /// Where nobody is up to date, takes the newest document that anybody holds: the VM that is
    /// followed may hold an older one.
    async fn take_newest(&self, answers: &[(Suitability, VmId, DocumentNumber)]) {
        let newest = answers.iter().max_by_key(|(_, _, held)| *held);
        if let Some((_, peer, held)) = newest
            && *held > self.state.borrow().document.number
        {
            self.ask(peer, AnswerMode::Now, ANSWER_WAIT).await;
        }
    }

    /// Follows one VM until it fails or another may suit better.
    async fn stay(&mut self, peer: &VmId, suitability: Suitability) {
        let since = Instant::now();
        log::info!(peer = peer.as_str(), fresh = suitability.0, own_domain = suitability.1;
            "{}", events::FOLLOWING);
        while let Some(reply) = self.ask(peer, AnswerMode::Wait, ANSWER_WAIT + ANSWER_SLACK).await {
            self.note_confirmation(reply.fresh, AskedPeers { asked: 1, answered: 1 });
            match decide_follow(suitability, self.suitability(&reply), since.elapsed()) {
                FollowDecision::Stay => {}
                FollowDecision::Reselect => return,
                FollowDecision::PauseAndReselect => return sleep(PAUSE).await,
            }
        }
        log::warn!(peer = peer.as_str(), followed_ms = since.elapsed().as_millis() as u64;
            "{}", events::FOLLOWING_LOST);
    }

    fn note_confirmation(&mut self, confirmed: bool, peers: AskedPeers) {
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.record(StdInstant::now(), confirmed, peers);
        }
    }

    fn suitability(&self, reply: &FollowReply) -> Suitability {
        (reply.fresh, reply.failure_domain == self.failure_domain)
    }

    async fn ask(&self, peer: &VmId, mode: AnswerMode, limit: Duration) -> Option<FollowReply> {
        let held = self.state.borrow().clone();
        let request = FollowRequest {
            document: held.document.number,
            weights: held.weights,
            fleet: held.fleet_digest,
            control: control_digest(&held.control),
            term: held.term,
            follower: self.port.kind(),
            mode,
            whole: held.needs_whole,
        };
        let reply = self.network.call(peer, PeerRequest::Follow(Box::new(request)), limit).await;
        match reply {
            Ok(PeerReply::Followed(reply)) => {
                let learned = FollowReply::clone(&reply);
                self.state.send_if_modified(|state| state.apply(learned));
                if mode == AnswerMode::Wait {
                    self.port.reply_received(&reply, &self.state.borrow());
                }
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
