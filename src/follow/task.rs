//! Follows a control VM from an entry, or the leader from another control VM.

use {
    super::{
        ANSWER_WAIT, AnswerMode, FollowReply, FollowerKind, SharedState,
        client::FollowClient,
        confirmation::{AskedPeers, ConfirmationMonitor},
        suitability::{SuitabilityAnswers, SuitabilityQueries},
        transfer::DocumentTransfer,
    },
    crate::{
        ids::{FailureDomainId, ServiceId, VmId},
        observe::events,
        transport::{DocumentStream, PeerNetwork},
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant as StdInstant},
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until, timeout},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// The time limit of a delayed answer beyond [`ANSWER_WAIT`], without the document that it may
/// contain. An unresponsive VM is thereby abandoned after 1.4 s, within the 2 s in which an accepted
/// change must be in force.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// The time after which a VM that sends nothing is unresponsive.
pub(super) const ANSWER_LIMIT: Duration = ANSWER_WAIT.saturating_add(ANSWER_MARGIN);
/// The time limit of an answer of which parts keep arriving; the longest server list takes less at
/// 64 KiB/s.
const LONG_ANSWER_LIMIT: Duration = Duration::from_secs(12);
/// How long the next poll is delayed for a document that is being received. Most documents arrive
/// within this time, which saves a request.
const SHORT_TRANSFER: Duration = Duration::from_millis(100);
/// The pause before the next selection when no VM answers, or none that is up to date.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a follower stays with a control VM of another domain before it checks whether one of
/// its own domain is available again.
const LOCAL_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// The role of a follower and the recipient of its updates.
pub trait FollowerPort: Send + Sync {
    /// The role of the follower.
    fn kind(&self) -> FollowerKind;

    /// The digest of the crash reports that it received.
    fn evidence_digest(&self) -> u64 {
        0
    }

    /// The services whose servers have just named how many requests they can reject.
    fn limited_services(&self) -> BTreeSet<ServiceId> {
        BTreeSet::new()
    }

    /// A sample of the entries that follow this daemon and reach the backend servers.
    fn tunnel_peers(&self) -> Vec<VmId> {
        Vec::new()
    }

    /// Called when the VM that is followed changes; `None` if there is none.
    fn followed(&self, _peer: Option<&VmId>) {}

    /// Called after each answer of the VM that is followed, with or without changes; `state`
    /// includes it. Answers to suitability requests are not reported, since they do not contain the
    /// complete state.
    fn reply_received(&self, reply: &FollowReply, state: &SharedState);
}

/// The task that follows the control VMs.
pub struct FollowTask {
    client: FollowClient,
    failure_domain: FailureDomainId,
    candidates: watch::Receiver<Vec<VmId>>,
    queries: SuitabilityQueries,
    /// How long the VM that is followed took for an immediate answer.
    answer_time: Duration,
    /// `None` on a control VM, which gets its configuration through its replica.
    confirmation: Option<ConfirmationMonitor>,
    /// The document that is being received; at most one at a time, since a later one is usually a
    /// small delta to it.
    transfer: Option<DocumentTransfer>,
}

/// How suitable a control VM is: whether it is up to date, then whether it is in the same failure
/// domain. Greater is better.
pub type Suitability = (bool, bool);

/// How a follower continues after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowDecision {
    /// Polls the same VM again.
    Stay,
    /// Selects a VM anew immediately.
    Reselect,
    /// Selects a VM anew after a pause, since this answer came without a delay.
    PauseAndReselect,
}

/// Decides how to continue with a VM of suitability `before` at its selection and `now` in its
/// answer, which has been followed for `elapsed`.
///
/// While no VM is up to date, followers select that of their own domain. When others are up to date
/// again, this VM may not be, for example because it has lost its disk. A follower that stayed with
/// it for some seconds would serve with a replaced configuration, so it selects anew after a short
/// pause.
pub fn decide_follow(before: Suitability, now: Suitability, elapsed: Duration) -> FollowDecision {
    if !now.0 {
        return FollowDecision::PauseAndReselect;
    }
    let should_check = !now.1 && elapsed > LOCAL_CHECK_INTERVAL;
    if now < before || should_check { FollowDecision::Reselect } else { FollowDecision::Stay }
}

/// The most suitable VM for the daemon on `vm`. Among equals a hash of both names decides, so that
/// followers that have lost their VM spread over the others.
pub fn best_peer(
    vm: &VmId,
    peers: impl Iterator<Item = (VmId, Suitability)>,
) -> Option<(VmId, Suitability)> {
    let seed = xxh3_64(vm.as_bytes());
    peers.max_by_key(|(peer, suitability)| (*suitability, xxh3_64_with_seed(peer.as_bytes(), seed)))
}

impl FollowTask {
    /// A task that polls one of the `candidates` and publishes the result in `state`.
    pub fn new(
        network: PeerNetwork,
        failure_domain: FailureDomainId,
        candidates: watch::Receiver<Vec<VmId>>,
        state: watch::Sender<SharedState>,
        port: Arc<dyn FollowerPort>,
    ) -> Self {
        let is_entry = port.kind() == FollowerKind::Entry;
        let confirmation = is_entry.then(|| ConfirmationMonitor::new(StdInstant::now()));
        FollowTask {
            client: FollowClient::new(network, state, port),
            failure_domain,
            candidates,
            queries: SuitabilityQueries::default(),
            answer_time: Duration::ZERO,
            confirmation,
            transfer: None,
        }
    }

    /// Runs forever.
    pub async fn run(mut self) {
        loop {
            match self.select_peer().await {
                Some((peer, suitability)) => {
                    self.client.port.followed(Some(&peer));
                    self.follow_peer(&peer, suitability).await;
                    self.client.port.followed(None);
                }
                None => self.pause().await,
            }
        }
    }

    /// Waits before the next selection; without candidates, until there is one.
    async fn pause(&self) {
        let mut candidates = self.candidates.clone();
        if candidates.borrow_and_update().is_empty() && candidates.changed().await.is_ok() {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }

    /// Requests the suitability of all candidates concurrently; returns the best that answers.
    async fn select_peer(&mut self) -> Option<(VmId, Suitability)> {
        let candidates = self.candidates.borrow().clone();
        let is_receiving = self.transfer.is_some();
        let answers = self.queries.ask(&self.client, &candidates, is_receiving).await;
        let peers = AskedPeers { asked: candidates.len(), answered: answers.len() };
        let suitable = answers.iter().map(|(peer, answer)| {
            let is_near = answer.failure_domain == self.failure_domain;
            (peer.clone(), (answer.fresh, is_near))
        });
        let best = best_peer(self.client.network.vm(), suitable);
        let best_answer = best.as_ref().and_then(|(peer, _)| answers.get(peer));
        self.answer_time = best_answer.map_or(Duration::ZERO, |answer| answer.took);
        let confirmed = best.as_ref().is_some_and(|(_, suitability)| suitability.0);
        if confirmed {
            self.queries.clear();
        } else {
            self.fetch_newest(&answers).await;
        }
        self.record_confirmation(confirmed, peers);
        best
    }

    /// Fetches the newest document among all answers. Needed when no VM is up to date, since the VM
    /// that is followed may have an older one.
    async fn fetch_newest(&mut self, answers: &SuitabilityAnswers) {
        let newest = answers.iter().max_by_key(|(_, answer)| answer.held);
        if let Some((peer, answer)) = newest
            && answer.held > self.client.state.borrow().document.number
            && let Some((reply, stream)) = self.ask(peer, AnswerMode::Now, ANSWER_WAIT).await
        {
            self.receive_document(peer, &reply, stream).await;
        }
    }

    /// Receives the document of a reply in the background.
    async fn receive_document(
        &mut self,
        peer: &VmId,
        reply: &FollowReply,
        stream: Option<DocumentStream>,
    ) {
        let (Some(document), Some(stream)) = (&reply.document, stream) else { return };
        let state = self.client.state.clone();
        let transfer = DocumentTransfer::start(peer.clone(), document.number, stream, state);
        let transfer = self.transfer.insert(transfer);
        if timeout(SHORT_TRANSFER, transfer.ended()).await.is_ok() {
            self.end_transfer().await;
        }
    }

    /// Polls a VM; `None` if it is unresponsive: its answer is due and it sends no document either,
    /// which could delay the answer.
    async fn poll(&mut self, peer: &VmId) -> Option<FollowReply> {
        loop {
            let began = Instant::now();
            let answer = tokio::select! {
                answer = self.ask(peer, AnswerMode::Wait, LONG_ANSWER_LIMIT) => answer,
                // The next poll reports the document that has arrived.
                () = self.transfer_ended() => {
                    self.end_transfer().await;
                    continue;
                }
                () = self.silence(peer, began) => None,
            };
            let Some((reply, stream)) = answer else {
                self.transfer = self.transfer.take().filter(|transfer| transfer.peer() != peer);
                // A VM that refuses polls immediately must not be selected again without a pause.
                sleep_until(began + RETRY_PAUSE).await;
                return None;
            };
            self.record_answer_time(began.elapsed());
            self.drop_silent_transfer(peer);
            self.receive_document(peer, &reply, stream).await;
            return Some(reply);
        }
    }

    /// Completes when a VM has sent nothing for [`ANSWER_LIMIT`] since it was polled, and for the time that
    /// an immediate answer took, which may be long for reasons of this daemon or its link.
    async fn silence(&self, peer: &VmId, polled_at: Instant) {
        loop {
            let transfer = self.transfer.as_ref().filter(|transfer| transfer.peer() == peer);
            let document_at = transfer.map_or(polled_at, DocumentTransfer::received_at);
            let received_at = document_at.max(*self.client.list_received_at.borrow());
            let limit = received_at.max(polled_at) + ANSWER_LIMIT + self.answer_time;
            if limit <= Instant::now() {
                return;
            }
            sleep_until(limit).await;
        }
    }

    /// Records that a poll took `elapsed`, including the wait for a change.
    fn record_answer_time(&mut self, elapsed: Duration) {
        self.answer_time = match elapsed.checked_sub(ANSWER_WAIT) {
            Some(beyond_wait) => beyond_wait.min(ANSWER_LIMIT),
            None => self.answer_time.min(elapsed),
        };
    }

    /// Completes when the transfer in progress has ended; never without one.
    async fn transfer_ended(&self) {
        match &self.transfer {
            Some(transfer) => transfer.ended().await,
            None => std::future::pending().await,
        }
    }

    /// Removes a transfer that has ended. After a failure the next one starts after a pause.
    async fn end_transfer(&mut self) {
        let held = self.client.state.borrow().document.number;
        if self.transfer.take().is_some_and(|transfer| transfer.number() > held) {
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Abandons a document that another VM than `peer` has stopped sending, so that `peer` sends
    /// its own.
    fn drop_silent_transfer(&mut self, peer: &VmId) {
        let is_silent = |transfer: &DocumentTransfer| {
            transfer.peer() != peer && transfer.received_at().elapsed() >= ANSWER_LIMIT
        };
        if self.transfer.as_ref().is_some_and(is_silent) {
            self.transfer = None;
        }
    }

    /// Follows one VM until it fails or another may be more suitable.
    async fn follow_peer(&mut self, peer: &VmId, suitability: Suitability) {
        let since = Instant::now();
        log::info!(peer = peer.as_str(), fresh = suitability.0, own_domain = suitability.1;
            "{}", events::FOLLOWING);
        while let Some(reply) = self.poll(peer).await {
            self.record_confirmation(reply.fresh, AskedPeers { asked: 1, answered: 1 });
            match decide_follow(suitability, self.suitability(&reply), since.elapsed()) {
                FollowDecision::Stay => {}
                FollowDecision::Reselect => return,
                FollowDecision::PauseAndReselect => return sleep(RETRY_PAUSE).await,
            }
        }
        log::warn!(peer = peer.as_str(), followed_ms = since.elapsed().as_millis() as u64;
            "{}", events::CONTROL_UNRESPONSIVE);
    }

    fn record_confirmation(&mut self, confirmed: bool, peers: AskedPeers) {
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.record(StdInstant::now(), confirmed, peers);
        }
    }

    fn suitability(&self, reply: &FollowReply) -> Suitability {
        (reply.fresh, reply.failure_domain == self.failure_domain)
    }

    async fn ask(
        &self,
        peer: &VmId,
        mode: AnswerMode,
        limit: Duration,
    ) -> Option<(FollowReply, Option<DocumentStream>)> {
        self.client.ask(peer, mode, limit, self.transfer.is_some()).await
    }
}
