//! Answers the requests of followers at a control VM.

use {
    super::{
        ANSWER_WAIT, AnswerMode, FollowReply, FollowRequest, FollowerKind, VersionAges,
        control_digest,
        document_delta::{DocumentChange, DocumentDelta, DocumentHistory},
        entry_directory::EntryDirectory,
        evidence::SharedEvidence,
        origin_service::OriginService,
        weights_history::WeightsHistory,
    },
    crate::{
        control::{
            document::DocumentState,
            packed_document::PackedDocument,
            replica::{ReplicaRole, ReplicaStatus},
        },
        daemon::control_driver::ControlHandle,
        fleet::{
            history::{FleetChange, FleetDelta},
            watch::{FleetView, LEADER_TIMEOUT},
        },
        ids::{FailureDomainId, ModelId, ServiceId, Term, VmId},
        observe::metrics::{FOLLOW_DOCUMENTS, FOLLOW_LISTS, FOLLOWERS},
        transport::{PeerHandler, PeerMessage, PeerReply, PeerRequest},
    },
    futures::future::BoxFuture,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant as StdInstant},
    },
    tokio::time::{Instant, timeout},
};

/// A follower that sends no request for this long is no longer counted: three times the longest
/// delay of an answer.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of followers that are counted: several times the 380 daemons of the design
/// size.
const MAX_FOLLOWERS: usize = 2_048;
/// How long a service is passed on as one whose servers can reject few requests: followers report it
/// with each poll, at least once a second.
const LIMIT_REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of such services.
const MAX_LIMITED_SERVICES: usize = 256;

/// Answers followers at one control VM, once its replica runs.
pub struct FollowService {
    failure_domain: FailureDomainId,
    fleet: Arc<FleetView>,
    replica: std::sync::OnceLock<ControlHandle>,
    evidence: Arc<SharedEvidence>,
    origins: Arc<OriginService>,
    /// The entries that reach the backend servers.
    directory: EntryDirectory,
    /// When each service was last reported as one whose servers can reject few requests; at most
    /// [`MAX_LIMITED_SERVICES`].
    limited_services: Mutex<BTreeMap<ServiceId, Instant>>,
    /// The same as reported by the leader, and when. It is passed on to entries only.
    leader_limits: Mutex<Option<(Instant, BTreeSet<ServiceId>)>>,
    /// The documents that followers may have.
    documents: Mutex<DocumentHistory>,
    /// The time of each follower's last request and the number of entries that it represents; at
    /// most [`MAX_FOLLOWERS`].
    followers: Mutex<BTreeMap<VmId, (Instant, u32)>>,
    weights_history: Mutex<WeightsHistory>,
    /// The total number of entries that the leader last reported.
    total_entries: Mutex<u32>,
}

impl FollowService {
    /// A service that refuses requests until [`Self::open`].
    pub fn new(failure_domain: FailureDomainId, fleet: Arc<FleetView>) -> Self {
        FollowService {
            failure_domain,
            fleet,
            replica: std::sync::OnceLock::new(),
            evidence: Arc::default(),
            origins: Arc::default(),
            directory: EntryDirectory::default(),
            limited_services: Mutex::default(),
            leader_limits: Mutex::default(),
            documents: Mutex::default(),
            followers: Mutex::default(),
            weights_history: Mutex::default(),
            total_entries: Mutex::default(),
        }
    }

    /// Starts to serve with `replica`; a second call has no effect.
    pub fn open(&self, replica: ControlHandle) {
        if self.replica.set(replica).is_err() {
            log::error!("the follow service was opened twice");
        }
    }

    /// The crash reports of the followers and of the leader.
    pub fn evidence(&self) -> &Arc<SharedEvidence> {
        &self.evidence
    }

    /// The origins of streams.
    pub fn origins(&self) -> &Arc<OriginService> {
        &self.origins
    }

    /// The entries that reach the backend servers, as far as this VM knows.
    pub fn directory(&self) -> &EntryDirectory {
        &self.directory
    }

    /// Sets the total number of entries that the leader reported.
    pub fn set_total_entries(&self, entries: u32) {
        *self.total_entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Records services whose servers have just named how many requests they can reject.
    pub fn record_limited_services(&self, services: &BTreeSet<ServiceId>) {
        let mut limited = self.limited_services.lock().unwrap_or_else(PoisonError::into_inner);
        for service in services {
            if limited.len() < MAX_LIMITED_SERVICES || limited.contains_key(service) {
                limited.insert(service.clone(), Instant::now());
            }
        }
    }

    /// The services that followers have just reported as such.
    pub fn limited_services(&self) -> BTreeSet<ServiceId> {
        let mut limited = self.limited_services.lock().unwrap_or_else(PoisonError::into_inner);
        limited.retain(|_, reported_at| reported_at.elapsed() < LIMIT_REPORT_TIME);
        limited.keys().cloned().collect()
    }

    /// Sets the services that the leader reported as such.
    pub fn set_leader_limits(&self, services: BTreeSet<ServiceId>) {
        let mut limits = self.leader_limits.lock().unwrap_or_else(PoisonError::into_inner);
        *limits = Some((Instant::now(), services));
    }

    fn limits_for(&self, follower: FollowerKind) -> BTreeSet<ServiceId> {
        let mut services = self.limited_services();
        let limits = self.leader_limits.lock().unwrap_or_else(PoisonError::into_inner);
        if let (FollowerKind::Entry, Some((reported_at, reported))) = (follower, &*limits)
            && reported_at.elapsed() < LIMIT_REPORT_TIME
        {
            services.extend(reported.iter().cloned());
        }
        services
    }

    /// The number of entries that follow this VM, directly or through another control VM.
    pub fn own_entries(&self) -> u32 {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        followers.retain(|_, (last_request, _)| last_request.elapsed() < FOLLOWER_TIMEOUT);
        metrics::gauge!(FOLLOWERS).set(followers.len() as f64);
        followers.values().map(|(_, entries)| *entries).sum()
    }

    /// The number of daemons that follow this VM directly.
    pub fn follower_count(&self) -> u32 {
        self.followers.lock().unwrap_or_else(PoisonError::into_inner).len() as u32
    }

    fn entries(&self, status: &ReplicaStatus) -> u32 {
        let reported = *self.total_entries.lock().unwrap_or_else(PoisonError::into_inner);
        let own = self.own_entries();
        if status.role == ReplicaRole::Leader { own } else { own.max(reported) }
    }

    fn record_follower(&self, from: VmId, kind: FollowerKind) {
        let mut followers = self.followers.lock().unwrap_or_else(PoisonError::into_inner);
        if followers.len() < MAX_FOLLOWERS || followers.contains_key(&from) {
            let entries = match kind {
                FollowerKind::Entry => 1,
                FollowerKind::Control { entries } => entries,
            };
            followers.insert(from, (Instant::now(), entries));
        }
    }

    fn record_entries(&self, from: &VmId, request: &FollowRequest) {
        let now = StdInstant::now();
        match request.follower {
            FollowerKind::Entry => self.directory.record_poll(now, from),
            FollowerKind::Control { .. } => {
                self.directory.record_sample(now, from, request.tunnel_peers.clone());
            }
        }
    }

    async fn answer(&self, from: VmId, request: FollowRequest) -> PeerReply {
        let Some(replica) = self.replica.get() else {
            return PeerReply::Refused(
                "this replica is starting; ask another control VM".to_owned(),
            );
        };
        self.record_limited_services(&request.limited_services);
        if request.mode != AnswerMode::Suitability {
            self.record_entries(&from, &request);
            self.record_follower(from, request.follower);
        }
        if request.mode == AnswerMode::Wait {
            // After a timeout the reply is sent without changes. The future is boxed, so that its memory
            // is free while the reply is sent.
            let _ = timeout(ANSWER_WAIT, Box::pin(self.changed(replica, &request))).await;
        }
        let status = replica.status();
        let documents = replica.documents();
        let state = documents.borrow().clone();
        let mut reply = small_changes(&request, &state, &status);
        reply.weights_ages = self.weights_ages(&state, reply.weights.is_some());
        match request.mode {
            AnswerMode::Suitability => {}
            AnswerMode::Now | AnswerMode::Wait => {
                self.add_large_changes(&request, &state, &mut reply);
                reply.evidence = self.evidence.reports_for(request.evidence);
                if request.follower != FollowerKind::Entry {
                    reply.tunnel_peers = self.directory.full_sample(StdInstant::now());
                }
            }
        }
        reply.limited_services = self.limits_for(request.follower);
        reply.held = state.document().number;
        reply.fresh = status.is_fresh;
        reply.term = leader_term(&status);
        reply.list_fresh = self.fleet.is_fresh(LEADER_TIMEOUT);
        reply.failure_domain.clone_from(&self.failure_domain);
        reply.entries = self.entries(&status).max(1);
        PeerReply::Followed(Box::new(reply))
    }

    /// For how long named versions are known, or only those of recently named models. Followers ask at least
    /// once a second.
    fn weights_ages(&self, state: &DocumentState, all: bool) -> BTreeMap<ModelId, VersionAges> {
        let now = StdInstant::now();
        let mut history = self.weights_history.lock().unwrap_or_else(PoisonError::into_inner);
        history.record(now, state.weights());
        if all { history.ages(now) } else { history.recent_ages(now) }
    }

    /// Records for how long the leader has known named versions, which were named before this VM started.
    pub fn record_ages(&self, ages: BTreeMap<ModelId, VersionAges>) {
        let mut history = self.weights_history.lock().unwrap_or_else(PoisonError::into_inner);
        history.merge(StdInstant::now(), ages);
    }

    /// Completes when there is a change to send.
    async fn changed(&self, replica: &ControlHandle, request: &FollowRequest) {
        let mut documents = replica.documents();
        let mut fleet_watch = self.fleet.subscribe_published();
        let mut evidence = self.evidence.subscribe();
        let mut status = replica.status_watch();
        loop {
            fleet_watch.mark_unchanged();
            let list_changed = self.fleet.change_since(request.fleet).is_some_and(|change| {
                // A follower without a list gets an empty one with its next answer.
                request.fleet != 0 || !change.is_empty()
            });
            let changed = {
                let state = documents.borrow_and_update();
                is_outdated(request, &state) || has_other_weights(request, &state)
            };
            let (behind, term) = {
                let status = status.borrow_and_update();
                (!status.is_fresh, leader_term(&status))
            };
            // How long entries wait for named weights depends on the leader, so a new one is
            // reported immediately.
            let is_entry = request.follower == FollowerKind::Entry;
            let has_new_leader = is_entry && term > request.term;
            let has_evidence = evidence.borrow_and_update().differs_from(request.evidence);
            if behind || has_new_leader || changed || list_changed || has_evidence {
                return;
            }
            // A closed channel means that the replica has ended; the request then waits for its
            // timeout.
            let ended = tokio::select! {
                changed = documents.changed() => changed.is_err(),
                changed = fleet_watch.changed() => changed.is_err(),
                changed = evidence.changed() => changed.is_err(),
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
        history.record(state.document());
        if !is_outdated(request, state) {
            return;
        }
        let held = if request.needs_full { 0 } else { request.document };
        let kind = match history.change_since(held, state.document()) {
            DocumentChange::Full(document) => {
                reply.document = Some(document);
                reply.packed_body = state.packed().map(PackedDocument::bytes);
                "whole"
            }
            DocumentChange::Delta(delta) => {
                reply.document_delta = Some(DocumentDelta::clone(&delta));
                "difference"
            }
        };
        metrics::counter!(FOLLOW_DOCUMENTS, "kind" => kind).increment(1);
    }

    /// Adds the document and the server list, which are requested only from the VM that is
    /// followed.
    fn add_large_changes(
        &self,
        request: &FollowRequest,
        state: &DocumentState,
        reply: &mut FollowReply,
    ) {
        self.add_document(request, state, reply);
        match self.fleet.change_since(request.fleet) {
            Some(FleetChange::Delta(delta)) => {
                metrics::counter!(FOLLOW_LISTS, "kind" => "difference").increment(1);
                reply.fleet_delta = Some(FleetDelta::clone(&delta));
            }
            Some(FleetChange::Full(fleet)) => {
                metrics::counter!(FOLLOW_LISTS, "kind" => "whole").increment(1);
                reply.fleet = Some(fleet);
            }
            None => {}
        }
    }
}

/// The changes that every VM sends in its answer, since they are small: the VM that is followed may
/// know neither the group nor the latest weights.
fn small_changes(
    request: &FollowRequest,
    state: &DocumentState,
    status: &ReplicaStatus,
) -> FollowReply {
    let control = control_vms(status);
    let has_other_control = !control.is_empty() && control_digest(&control) != request.control;
    FollowReply {
        weights: has_other_weights(request, state).then(|| state.weights().clone()),
        control: has_other_control.then_some(control),
        ..FollowReply::default()
    }
}

/// The control VMs that a replica reports to its followers. A replica that is not up to date adds
/// its contacts, through which its followers can reach the group: they may know no other VM.
pub fn control_vms(status: &ReplicaStatus) -> Vec<VmId> {
    let mut vms: BTreeSet<&VmId> = status.members.voters.keys().collect();
    if !status.is_fresh {
        vms.extend(&status.contacts);
    }
    vms.into_iter().cloned().collect()
}

/// The term of the replica's leader; 0 if it knows none.
fn leader_term(status: &ReplicaStatus) -> Term {
    if status.leader.is_some() { status.term } else { 0 }
}

/// Whether the present document has to be sent to an entry; a control VM gets it through its
/// replica.
fn is_outdated(request: &FollowRequest, state: &DocumentState) -> bool {
    request.follower == FollowerKind::Entry
        && !request.receives_document
        && state.document().number > request.document
}

/// Whether an entry has other named weights.
fn has_other_weights(request: &FollowRequest, state: &DocumentState) -> bool {
    request.follower == FollowerKind::Entry
        && *state.weights() != request.weights
        && !state.weights().is_empty()
}

/// Handles messages and requests of peers at a control VM.
pub struct ControlHandler {
    /// Answers the requests of followers.
    pub service: Arc<FollowService>,
}

impl PeerHandler for ControlHandler {
    fn message(&self, from: VmId, message: PeerMessage) {
        match (message, self.service.replica.get()) {
            (PeerMessage::Replica(message), Some(replica)) => replica.deliver(from, *message),
            (PeerMessage::Digest(digest), _) => self.service.evidence.merge(&digest.suspects),
            (PeerMessage::StreamOrigins { origins, is_copy }, _) => {
                self.service.origins.record(origins, is_copy);
            }
            _ => {}
        }
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let service = Arc::clone(&self.service);
        Box::pin(async move {
            match request {
                PeerRequest::Follow(request) => service.answer(from, *request).await,
                PeerRequest::StreamOrigin { service: name, stream } => {
                    PeerReply::StreamOrigin(service.origins.answer(&name, stream))
                }
                PeerRequest::TunnelPeers { is_partitioned } => {
                    let (directory, now) = (&service.directory, StdInstant::now());
                    if is_partitioned {
                        directory.record_partitioned(now, &from);
                    }
                    PeerReply::TunnelPeers(directory.peers_for(now, &from))
                }
                _ => PeerReply::Refused("a control VM serves only followers".to_owned()),
            }
        })
    }
}

/// Handles messages and requests of peers at an entry, which ignores or refuses all of them.
pub struct EntryHandler;

impl PeerHandler for EntryHandler {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(async {
            PeerReply::Refused("an entry does not answer peers; ask a control VM".to_owned())
        })
    }
}
