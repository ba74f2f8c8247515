//! A peer that records received messages and answers each status request with the caller's name.

use {
    futures::future::BoxFuture,
    oleandermount::{
        ids::VmId,
        transport::{
            KeyFiles, NetworkSettings, PeerHandler, PeerMessage, PeerNetwork, PeerReply,
            PeerRequest,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Long enough for slow machines; no passing test waits for it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub struct EchoPeer {
    received: mpsc::Sender<(VmId, PeerMessage)>,
}

impl PeerHandler for EchoPeer {
    fn message(&self, from: VmId, message: PeerMessage) {
        self.received
            .try_send((from, message))
            .expect("the channel has room for all messages of a test");
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(async move {
            match request {
                PeerRequest::Status => PeerReply::Status(from),
                PeerRequest::Explain { .. } => std::future::pending().await,
                _ => PeerReply::Refused("ask for the status".to_owned()),
            }
        })
    }
}

/// Starts a peer on a port that the kernel chooses.
pub fn start_peer(
    vm: &str,
    keys: KeyFiles,
    peers: &[(&str, SocketAddr)],
) -> (PeerNetwork, mpsc::Receiver<(VmId, PeerMessage)>) {
    let (received, receiver) = mpsc::channel(1_024);
    let peers: BTreeMap<_, _> =
        peers.iter().map(|(peer, address)| ((*peer).to_owned(), *address)).collect();
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = NetworkSettings { vm: vm.to_owned(), listen, keys, peers };
    let network = PeerNetwork::start(settings, Arc::new(EchoPeer { received })).expect("it starts");
    (network, receiver)
}
