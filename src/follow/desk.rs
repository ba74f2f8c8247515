//! Answers followers at a control VM.

use {
    super::{
        ANSWER_WAIT, AnswerMode, FollowReply, FollowRequest, FollowerKind, control_digest,
        document_delta::{DocumentChange, DocumentDelta, DocumentHistory},
    },
    crate::{
        control::{
            document::DocumentState,
            replica::{ReplicaRole, ReplicaStatus},
        },
        daemon::control_driver::ControlHandle,
        fleet::{
            FleetSnapshot,
            history::{FleetChange, FleetDelta},
            watch::{FleetView, LEADER_TIMEOUT},
        },
        ids::{FailureDomainId, Term, VmId},
        observe::metrics::{FOLLOW_DOCUMENTS, FOLLOW_LISTS, FOLLOWERS},
        transport::{PeerHandler, PeerMessage, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// A follower that did not ask for so long is gone: three waits for an answer.
const FOLLOWER_SILENCE: Duration = Duration::from_secs(3);
/// Followers counted: several times the 380 daemons of the design size.
const MAX_FOLLOWERS: usize = 2_048;

/// The desk of one control VM, open once its replica runs.
pub struct FollowDesk {
    failure_domain: FailureDomainId,
    board: Arc<FleetView>,
    replica: std::sync::OnceLock<ControlHandle>,
    /// The documents that followers may hold.
    documents: Mutex<DocumentHistory>,
    /// When each follower last asked, and the entries it counts; at most [`MAX_FOLLOWERS`].
    followers: Mutex<BTreeMap<VmId, (Instant, u32)>>,
    /// Entries in all, as the leader last said.
    told_entries: Mutex<u32>,
}

impl FollowDesk {
    /// A desk that answers with a refusal until [`Self::open`].
    pub fn new(failure_domain: FailureDomainId, board: Arc<FleetView>) -> Self {
        FollowDesk {
            failure_domain,
            board,
            replica: std::sync::OnceLock::new(),
            documents: Mutex::default(),
            followers: Mutex::default(),
            told_entries: Mutex::default(),
        }
    }

    /// Opens the desk; a second call changes nothing.
    pub fn open(&self, replica: ControlHandle) {
        if self.replica.set(replica).is_err() {
            log::error!("the desk for followers was opened twice");
        }
    }

    /// Notes the entries in all, as the leader counts them.
    pub fn note_entries(&self, entries: u32) {
        *self.told_entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Entries that follow this VM.
    pub fn own_entries(&self) -> u32 {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        followers.retain(|_, (asked, _)| asked.elapsed() < FOLLOWER_SILENCE);
        metrics::gauge!(FOLLOWERS).set(followers.len() as f64);
        followers.values().map(|(_, entries)| *entries).sum()
    }

    fn entries(&self, status: &ReplicaStatus) -> u32 {
        let told = *self.told_entries.lock().unwrap_or_else(PoisonError::into_inner);
        let own = self.own_entries();
        if status.role == ReplicaRole::Leader { own } else { own.max(told) }
    }

    fn note_follower(&self, from: VmId, kind: FollowerKind) {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        if followers.len() < MAX_FOLLOWERS || followers.contains_key(&from) {
            let entries = match kind {
                FollowerKind::Entry => 1,
                FollowerKind::Control { entries } => entries,
            };
            followers.insert(from, (Instant::now(), entries));
        }
    }

    async fn answer(&self, from: VmId, request: FollowRequest) -> PeerReply {
        let Some(replica) = self.replica.get() else {
            return PeerReply::Refused("this replica starts; ask another control VM".to_owned());
        };
        if request.mode != AnswerMode::Suitability {
            self.note_follower(from, request.follower);
        }
        if request.mode == AnswerMode::Wait {
            // After the wait the answer is that nothing has changed.
            let _ = timeout(ANSWER_WAIT, self.changed(replica, &request)).await;
        }
        let status = replica.status();
        let documents = replica.documents();
        let state = documents.borrow().clone();
        let mut reply = short_changes(&request, &state, &status);
        match request.mode {
            AnswerMode::Suitability => {}
            AnswerMode::Now | AnswerMode::Wait => self.add_long(&request, &state, &mut reply),
        }
        reply.held = state.document().number;
        reply.fresh = status.is_fresh;
        reply.term = leader_term(&status);
        reply.list_fresh = self.board.is_fresh(LEADER_TIMEOUT);
        reply.failure_domain.clone_from(&self.failure_domain);
        reply.entries = self.entries(&status).max(1);
        PeerReply::Followed(Box::new(reply))
    }

    /// Ends when there is something to tell.
    async fn changed(&self, replica: &ControlHandle, request: &FollowRequest) {
        let mut documents = replica.documents();
        let mut fleet = self.board.subscribe_published();
        let mut status = replica.status_watch();
        loop {
            fleet.mark_unchanged();
            let relisted = self.board.change_since(request.fleet).is_some();
            let changed = {
                let state = documents.borrow_and_update();
                is_outdated(request, &state) || is_renamed(request, &state)
            };
            let (behind, term) = {
                let status = status.borrow_and_update();
                (!status.is_fresh, leader_term(&status))
            };
            // Who leads decides how long entries wait for named weights, so it is told at once.
            let entry = request.follower == FollowerKind::Entry;
            let another = entry && term > request.term;
            if behind || another || changed || relisted {
                return;
            }
            // An ended channel means that the replica is gone; the wait then runs out.
            let ended = tokio::select! {
                changed = documents.changed() => changed.is_err(),
                changed = fleet.changed() => changed.is_err(),
                changed = status.changed() => changed.is_err(),
            };
            if ended {
                std::future::pending::<()>().await;
            }
        }
    }

    fn add_document(
        &self,
        request: &FollowRequest,
        state: &DocumentState,
        reply: &mut FollowReply,
    ) {
        let mut history = self.documents.lock().unwrap_or_else(PoisonError::into_inner);
        history.note(state.document());
        if !is_outdated(request, state) {
            return;
        }
        let held = if request.whole { 0 } else { request.document };
        let kind = match history.change_since(held, state.document()) {
            DocumentChange::Whole(document) => {
                reply.document = Some(document);
                "whole"
            }
            DocumentChange::Delta(delta) => {
                reply.document_delta = Some(DocumentDelta::clone(&delta));
                "difference"
            }
        };
        metrics::counter!(FOLLOW_DOCUMENTS, "kind" => kind).increment(1);
    }

    /// Adds what only the VM that is followed is asked for.
    fn add_long(&self, request: &FollowRequest, state: &DocumentState, reply: &mut FollowReply) {
        self.add_document(request, state, reply);
        match self.board.change_since(request.fleet) {
            Some(FleetChange::Delta(delta)) => {
                metrics::counter!(FOLLOW_LISTS, "kind" => "difference").increment(1);
                reply.fleet_delta = Some(FleetDelta::clone(&delta));
            }
            Some(FleetChange::Full(fleet)) => {
                metrics::counter!(FOLLOW_LISTS, "kind" => "whole").increment(1);
                reply.fleet = Some(FleetSnapshot::clone(&fleet));
            }
            None => {}
        }
    }
}

/// What every VM that is asked tells, since it is short: the followed one may know neither of the group
/// nor of the newest weights.
fn short_changes(
    request: &FollowRequest,
    state: &DocumentState,
    status: &ReplicaStatus,
) -> FollowReply {
    let control = control_vms(status);
    let is_news = !control.is_empty() && control_digest(&control) != request.control;
    FollowReply {
        weights: is_renamed(request, state).then(|| state.weights().clone()),
        control: is_news.then_some(control),
        ..FollowReply::default()
    }
}

/// The control VMs that a replica names to its followers. One that is not up to date names whatever
/// may lead to the group: its followers may know no other VM.
pub fn control_vms(status: &ReplicaStatus) -> Vec<VmId> {
    let mut vms: BTreeSet<&VmId> = status.members.voters.keys().collect();
    if !status.is_fresh {
        vms.extend(&status.contacts);
    }
    vms.into_iter().cloned().collect()
}

/// The term of the leader that a replica hears from; 0 if it hears from none.
fn leader_term(status: &ReplicaStatus) -> Term {
    if status.leader.is_some() { status.term } else { 0 }
}

/// Whether an entry lacks the document; a control VM's replica brings its own.
fn is_outdated(request: &FollowRequest, state: &DocumentState) -> bool {
    request.follower == FollowerKind::Entry && state.document().number > request.document
}

/// Whether an entry lacks named weights.
fn is_renamed(request: &FollowRequest, state: &DocumentState) -> bool {
    request.follower == FollowerKind::Entry
        && *state.weights() != request.weights
        && !state.weights().is_empty()
}

/// What a control VM takes from its peers.
pub struct ControlHandler {
    /// Answers followers.
    pub desk: Arc<FollowDesk>,
}

impl PeerHandler for ControlHandler {
    fn message(&self, from: VmId, message: PeerMessage) {
        if let (PeerMessage::Replica(message), Some(replica)) = (message, self.desk.replica.get()) {
            replica.deliver(from, *message);
        }
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let desk = Arc::clone(&self.desk);
        Box::pin(async move {
            match request {
                PeerRequest::Follow(request) => desk.answer(from, *request).await,
                _ => PeerReply::Refused("a control VM serves followers only".to_owned()),
            }
        })
    }
}

/// What an entry takes from its peers: nothing; it only asks.
pub struct EntryHandler;

impl PeerHandler for EntryHandler {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(async {
            PeerReply::Refused("an entry answers no peers; ask a control VM".to_owned())
        })
    }
}
