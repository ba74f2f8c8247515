//! Asks control VMs for their suitability, including those whose answers take long.
//!
//! A selection waits for a short time, so that VMs that do not answer do not delay it. Answers take
//! longer if the follower has little processor time or its link is busy. They count in the next
//! selection: a follower that abandoned them would hear no VM for as long as that lasts.

use {
    super::{
        AnswerMode,
        client::FollowClient,
        task::{ANSWER_LIMIT, RETRY_PAUSE},
    },
    crate::{
        ids::{DocumentNumber, FailureDomainId, VmId},
        observe::events,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, timeout},
    },
};

/// How long a selection waits for answers.
const SELECTION_TIME: Duration = Duration::from_millis(300);
/// How long after its request an answer counts: until the end of the selection after the one in which it
/// arrives.
const ANSWER_AGE: Duration =
    ANSWER_LIMIT.saturating_add(SELECTION_TIME).saturating_add(RETRY_PAUSE);

/// The answer of a control VM.
#[derive(Clone, Debug)]
pub(super) struct SuitabilityAnswer {
    /// Whether the VM is up to date.
    pub(super) fresh: bool,
    pub(super) failure_domain: FailureDomainId,
    /// The number of its document.
    pub(super) held: DocumentNumber,
    /// The time from the request to the answer.
    pub(super) took: Duration,
    asked_at: Instant,
}

/// The answers of the control VMs that were heard.
pub(super) type SuitabilityAnswers = BTreeMap<VmId, SuitabilityAnswer>;

/// The requests to control VMs; at most one at a time to each.
#[derive(Default)]
pub(super) struct SuitabilityQueries {
    tasks: JoinSet<(VmId, Option<SuitabilityAnswer>)>,
    pending: BTreeSet<VmId>,
    answers: SuitabilityAnswers,
}

impl SuitabilityQueries {
    /// Asks the candidates that have no open request; returns all recent answers, including those to
    /// earlier requests.
    pub(super) async fn ask(
        &mut self,
        client: &FollowClient,
        candidates: &[VmId],
        receives_document: bool,
    ) -> SuitabilityAnswers {
        for peer in candidates {
            if self.pending.insert(peer.clone()) {
                self.tasks.spawn(query(client.clone(), peer.clone(), receives_document));
            }
        }
        // Requests that are still open afterwards are continued.
        let _ = timeout(SELECTION_TIME, self.collect()).await;
        self.answers.retain(|peer, answer| {
            candidates.contains(peer) && answer.asked_at.elapsed() < ANSWER_AGE
        });
        self.answers.clone()
    }

    /// Abandons all requests and answers.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Completes when no request is open.
    async fn collect(&mut self) {
        while let Some(ended) = self.tasks.join_next().await {
            let Ok((peer, answer)) = ended else { continue };
            self.pending.remove(&peer);
            match answer {
                Some(answer) => self.answers.insert(peer, answer),
                None => self.answers.remove(&peer),
            };
        }
        self.pending.clear();
    }
}

async fn query(
    client: FollowClient,
    peer: VmId,
    receives_document: bool,
) -> (VmId, Option<SuitabilityAnswer>) {
    let asked_at = Instant::now();
    let reply = client.ask(&peer, AnswerMode::Suitability, ANSWER_LIMIT, receives_document).await;
    let took = asked_at.elapsed();
    let answer = reply.map(|(reply, _)| SuitabilityAnswer {
        fresh: reply.fresh,
        failure_domain: reply.failure_domain,
        held: reply.held,
        took,
        asked_at,
    });
    if took > SELECTION_TIME && answer.is_some() {
        log::info!(peer = peer.as_str(), took_ms = took.as_millis() as u64;
            "{}", events::LATE_SUITABILITY);
    }
    (peer, answer)
}
