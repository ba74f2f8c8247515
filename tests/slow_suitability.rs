//! How an entry selects a control VM if answers take long, for example because the entry has little
//! processor time or its link is busy.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::document::NumberedDocument,
        follow::{
            ANSWER_WAIT, AnswerMode, FollowReply, FollowRequest, FollowerKind, SharedState,
            service::EntryHandler,
            task::{FollowTask, FollowerPort},
        },
        ids::{DocumentNumber, VmId},
        transport::{
            PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, UnauthenticatedSettings,
        },
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// When an accepted document must be in force.
const DUE: Duration = Duration::from_secs(2);
/// How long a slow answer takes.
const SLOW: Duration = Duration::from_millis(500);
/// Answers without changes after which an entry has not left a control VM.
const POLLS: usize = 3;
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);
const OLD_DOCUMENT: DocumentNumber = 4;
const NEW_DOCUMENT: DocumentNumber = 11;
/// The failure domain of the entry.
const NEAR: &str = "near";
const FAR: &str = "far";

/// A control VM each of whose answers takes `delay`.
struct TimedControl {
    failure_domain: &'static str,
    fresh: bool,
    document: DocumentNumber,
    delay: Duration,
    suitability_requests: AtomicUsize,
    polls: watch::Sender<usize>,
}

impl TimedControl {
    fn new(
        failure_domain: &'static str,
        fresh: bool,
        document: DocumentNumber,
        delay: Duration,
    ) -> Arc<Self> {
        Arc::new(TimedControl {
            failure_domain,
            fresh,
            document,
            delay,
            suitability_requests: AtomicUsize::default(),
            polls: watch::Sender::new(0),
        })
    }

    fn reply(&self, request: &FollowRequest) -> FollowReply {
        let is_needed = request.mode != AnswerMode::Suitability
            && !request.receives_document
            && request.document < self.document;
        FollowReply {
            document: is_needed
                .then(|| NumberedDocument { number: self.document, body: "{}".into() }),
            fresh: self.fresh,
            failure_domain: self.failure_domain.to_owned(),
            held: self.document,
            ..FollowReply::default()
        }
    }
}

impl PeerHandler for TimedControl {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let PeerRequest::Follow(request) = request else { unreachable!("only followers ask") };
        if request.mode == AnswerMode::Suitability {
            self.suitability_requests.fetch_add(1, Ordering::Relaxed);
        } else {
            self.polls.send_modify(|polls| *polls += 1);
        }
        let reply = self.reply(&request);
        let waits = request.mode == AnswerMode::Wait && reply.document.is_none() && reply.fresh;
        let delay = self.delay + if waits { ANSWER_WAIT } else { Duration::ZERO };
        Box::pin(async move {
            sleep(delay).await;
            PeerReply::Followed(Box::new(reply))
        })
    }
}

struct EntryPort;

impl FollowerPort for EntryPort {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Entry
    }

    fn reply_received(&self, _reply: &FollowReply, _state: &SharedState) {}
}

fn start_network(
    vm: &str,
    peers: BTreeMap<VmId, SocketAddr>,
    handler: Arc<dyn PeerHandler>,
) -> PeerNetwork {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = UnauthenticatedSettings { vm: vm.to_owned(), listen, peers };
    PeerNetwork::start_unauthenticated(settings, handler).expect("a port is free")
}

/// An entry that follows these control VMs.
struct FollowingEntry {
    state: watch::Receiver<SharedState>,
    _networks: Vec<PeerNetwork>,
    _tasks: JoinSet<()>,
}

impl FollowingEntry {
    fn start(controls: &[Arc<TimedControl>]) -> Self {
        let names = (0..controls.len()).map(|number| format!("control-{number}"));
        let names: Vec<VmId> = names.collect();
        let networks = names.iter().zip(controls).map(|(name, control)| {
            start_network(name, BTreeMap::new(), Arc::clone(control) as Arc<_>)
        });
        let networks: Vec<_> = networks.collect();
        let addresses = networks.iter().map(PeerNetwork::local_address);
        let peers = names.iter().cloned().zip(addresses).collect();
        let entry = start_network("entry", peers, Arc::new(EntryHandler));
        let (candidates, candidate_watch) = watch::channel(names);
        let (sender, state) = watch::channel(SharedState::default());
        let port = Arc::new(EntryPort);
        let task = FollowTask::new(entry, NEAR.to_owned(), candidate_watch, sender, port);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let _candidates = candidates;
            task.run().await;
        });
        FollowingEntry { state, _networks: networks, _tasks: tasks }
    }

    /// Waits until this document is in force; returns whether it is at last.
    async fn has_document(&self, number: DocumentNumber, due: Duration) -> bool {
        let mut state = self.state.clone();
        timeout(due, state.wait_for(|state| state.document.number >= number)).await.is_ok()
    }
}

// Guards against an entry that keeps a replaced document while the only control VM that answers fast
// is behind, because it takes others whose answers take longer for unresponsive ones.
#[tokio::test(flavor = "multi_thread")]
async fn slow_answer_beats_old_document() {
    let near = TimedControl::new(NEAR, false, OLD_DOCUMENT, Duration::ZERO);
    let far = TimedControl::new(FAR, true, NEW_DOCUMENT, SLOW);
    let entry = FollowingEntry::start(&[near, Arc::clone(&far), far]);
    assert!(entry.has_document(NEW_DOCUMENT, DUE).await, "{:?}", entry.state.borrow().document);
}

// Guards against an entry that hears none of the control VMs because the answers of all take longer
// than a selection.
#[tokio::test(flavor = "multi_thread")]
async fn slow_answers_are_heard() {
    let control = TimedControl::new(FAR, true, NEW_DOCUMENT, SLOW);
    let entry = FollowingEntry::start(&[Arc::clone(&control), Arc::clone(&control), control]);
    assert!(entry.has_document(NEW_DOCUMENT, DUE).await, "it has heard no control VM");
}

// Guards against an entry without routes that waits for a silent control VM although another one,
// which may be behind, has a document.
#[tokio::test(flavor = "multi_thread")]
async fn old_document_beats_none() {
    let near = TimedControl::new(NEAR, false, OLD_DOCUMENT, Duration::ZERO);
    let silent = TimedControl::new(FAR, true, NEW_DOCUMENT, NEVER);
    let entry = FollowingEntry::start(&[near, silent]);
    assert!(entry.has_document(OLD_DOCUMENT, SLOW * 2).await, "it has no document");
}

// Guards against more and more open requests to control VMs whose answers are late.
#[tokio::test(flavor = "multi_thread")]
async fn silent_vm_is_asked_once_at_a_time() {
    let silent = TimedControl::new(FAR, true, NEW_DOCUMENT, NEVER);
    let entry = FollowingEntry::start(&[Arc::clone(&silent)]);
    assert!(!entry.has_document(NEW_DOCUMENT, DUE * 2).await);
    let requests = silent.suitability_requests.load(Ordering::Relaxed);
    assert!((1..=4).contains(&requests), "{requests} requests in {:?}", DUE * 2);
}

// Guards against an entry that leaves a control VM after each poll because an answer without changes
// takes longer than the wait for a change and a fixed margin.
#[tokio::test(flavor = "multi_thread")]
async fn slow_vm_is_kept() {
    let control = TimedControl::new(NEAR, true, NEW_DOCUMENT, SLOW);
    let entry = FollowingEntry::start(&[Arc::clone(&control)]);
    assert!(entry.has_document(NEW_DOCUMENT, DUE).await, "it has heard no control VM");
    let before = control.suitability_requests.load(Ordering::Relaxed);
    let mut polls = control.polls.subscribe();
    let enough = *polls.borrow() + POLLS;
    let polled = timeout(DUE * 5, polls.wait_for(|polls| *polls >= enough)).await;
    assert!(polled.is_ok(), "the control VM is not polled any more");
    let requests = control.suitability_requests.load(Ordering::Relaxed) - before;
    assert_eq!(requests, 0, "the control VM was abandoned");
}
