//! A control VM that answers requests for its suitability and refuses polls.

use {
    futures::future::BoxFuture,
    oleandermount::{
        follow::{
            AnswerMode, FollowReply, FollowerKind, SharedState,
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
    tokio::{sync::watch, time::timeout},
};

const OBSERVED: Duration = Duration::from_secs(3);
/// One selection and one poll in each pause of 200 ms.
const MAX_REQUESTS: usize = 40;

#[derive(Default)]
struct RefusingControl {
    requests: AtomicUsize,
}

impl PeerHandler for RefusingControl {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let reply = match request {
            PeerRequest::Follow(request) if request.mode == AnswerMode::Suitability => {
                PeerReply::Followed(Box::new(FollowReply { fresh: true, ..FollowReply::default() }))
            }
            _ => PeerReply::Refused("a part of the reply is too long".to_owned()),
        };
        Box::pin(std::future::ready(reply))
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

// Guards against followers that request without a pause when each poll fails immediately, for
// example because the reply exceeds the frame limit or cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn refused_polls() {
    let control = Arc::new(RefusingControl::default());
    let network = start_network("control", BTreeMap::new(), Arc::clone(&control) as Arc<_>);
    let peers = BTreeMap::from([("control".to_owned(), network.local_address())]);
    let (_candidates, candidate_watch) = watch::channel(vec!["control".to_owned()]);
    let entry = start_network("entry", peers, Arc::new(EntryHandler));
    let (state, _) = watch::channel(SharedState::default());
    let task =
        FollowTask::new(entry, "domain".to_owned(), candidate_watch, state, Arc::new(EntryPort));
    assert!(timeout(OBSERVED, task.run()).await.is_err(), "a follower runs forever");
    let requests = control.requests.load(Ordering::Relaxed);
    assert!(requests <= MAX_REQUESTS, "{requests} requests");
}
