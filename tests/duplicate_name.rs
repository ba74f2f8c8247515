//! Two followers that run under one name.

use {
    futures::future::BoxFuture,
    oleandermount::{
        follow::{
            ANSWER_WAIT, AnswerMode, FollowReply, FollowerKind, SharedState,
            service::EntryHandler,
            task::{FollowTask, FollowerPort},
        },
        ids::VmId,
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

const OBSERVED: Duration = Duration::from_secs(3);
/// Two followers poll about once a second each; the rest is for selections, at most one in each
/// pause of a follower between selections.
const MAX_REQUESTS: usize = 60;

/// Answers like a control VM that is up to date and has no changes.
#[derive(Default)]
struct IdleControl {
    requests: AtomicUsize,
}

impl PeerHandler for IdleControl {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let waits =
            matches!(&request, PeerRequest::Follow(request) if request.mode == AnswerMode::Wait);
        Box::pin(async move {
            if waits {
                sleep(ANSWER_WAIT).await;
            }
            let reply = FollowReply {
                fresh: true,
                failure_domain: "domain".to_owned(),
                ..FollowReply::default()
            };
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

/// The requests that a control VM receives from followers with these names.
async fn count_requests(names: [&str; 2]) -> usize {
    let control = Arc::new(IdleControl::default());
    let network = start_network("control", BTreeMap::new(), Arc::clone(&control) as Arc<_>);
    let peers = BTreeMap::from([("control".to_owned(), network.local_address())]);
    let (_candidates, candidate_watch) = watch::channel(vec!["control".to_owned()]);
    let mut tasks = JoinSet::new();
    for name in names {
        let network = start_network(name, peers.clone(), Arc::new(EntryHandler));
        let (state, _) = watch::channel(SharedState::default());
        let domain = "domain".to_owned();
        let port = Arc::new(EntryPort);
        let task = FollowTask::new(network, domain, candidate_watch.clone(), state, port);
        tasks.spawn(task.run());
    }
    assert!(timeout(OBSERVED, tasks.join_next()).await.is_err(), "followers run forever");
    control.requests.load(Ordering::Relaxed)
}

// Checks the bound of the test below with two followers that have names of their own.
#[tokio::test(flavor = "multi_thread")]
async fn own_names() {
    let requests = count_requests(["first", "second"]).await;
    assert!(requests <= MAX_REQUESTS, "{requests} requests");
}

// Guards against two processes under one name, for example a daemon that still drains and its
// successor, that close each other's connection and dial again without a pause, so that they occupy
// a control VM with handshakes.
#[tokio::test(flavor = "multi_thread")]
async fn shared_name() {
    let requests = count_requests(["entry", "entry"]).await;
    assert!(requests <= MAX_REQUESTS, "{requests} requests");
}
