//! A daemon that was killed and connects again.

use {
    futures::future::BoxFuture,
    oleandermount::{
        ids::VmId,
        transport::{
            PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, TransportError,
            UnauthenticatedSettings,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, timeout},
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Below the idle timeout, after which a lost connection is closed anyway.
const REPLACED_WITHIN: Duration = Duration::from_secs(2);

/// Answers requests for the status, and never those for a trace.
#[derive(Default)]
struct PartialHandler {
    waiting: Notify,
}

impl PeerHandler for PartialHandler {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        if let PeerRequest::Status = request {
            return Box::pin(std::future::ready(PeerReply::Status(String::new())));
        }
        self.waiting.notify_one();
        Box::pin(std::future::pending())
    }
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

// Guards against memory that a control VM holds for connections of killed daemons beside those of
// their next processes: a connection without packets is closed only after the idle timeout.
#[tokio::test]
async fn later_connection_closes_former() {
    let handler = Arc::new(PartialHandler::default());
    let control = start_network("control", BTreeMap::new(), Arc::clone(&handler) as Arc<_>);
    let peers = BTreeMap::from([("control".to_owned(), control.local_address())]);
    let entry = |vm: &str| start_network(vm, peers.clone(), Arc::new(PartialHandler::default()));
    let (former, other, later) = (entry("entry"), entry("other"), entry("entry"));
    let call = |network: &PeerNetwork, request| {
        let network = network.clone();
        tokio::spawn(
            async move { network.call(&"control".to_owned(), request, TEST_TIMEOUT).await },
        )
    };
    let trace = || PeerRequest::Explain { request: "r".to_owned() };
    let pending = call(&former, trace());
    timeout(TEST_TIMEOUT, handler.waiting.notified()).await.expect("the request arrives");
    let unrelated = call(&other, trace());
    timeout(TEST_TIMEOUT, handler.waiting.notified()).await.expect("the request arrives");
    let start = Instant::now();
    let status = call(&later, PeerRequest::Status).await.expect("the task ends");
    assert_eq!(status, Ok(PeerReply::Status(String::new())));
    let ended = pending.await.expect("the task ends");
    assert!(matches!(ended, Err(TransportError::Unknown { .. })), "{ended:?}");
    assert!(start.elapsed() < REPLACED_WITHIN, "after {:?}", start.elapsed());
    let status = call(&later, PeerRequest::Status).await.expect("the task ends");
    assert_eq!(status, Ok(PeerReply::Status(String::new())));
    assert!(!unrelated.is_finished(), "connections of other daemons stay open");
    unrelated.abort();
}
