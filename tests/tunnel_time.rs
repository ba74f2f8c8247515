//! How long an entry looks for another one that connects to a server.

#![allow(clippy::unwrap_used)]

use {
    futures::future::BoxFuture,
    oleandermount::{
        reverse_proxy::server_link::TunnelOpener,
        roles::{
            control_directory::ControlDirectory, tunnel_client::TunnelClient, vm_from_address,
        },
        transport::{
            PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, TunnelRefusal,
            UnauthenticatedSettings,
        },
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr, UdpSocket},
        process,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

const PORT: u16 = 7341;
/// A request says how much time is left before it is sent. Half a second later it would keep a server at work
/// for too long.
const LIMIT: Duration = Duration::from_millis(500);

/// Names entries that never reply.
struct ControlVm(Vec<String>);

impl PeerHandler for ControlVm {
    fn message(&self, _from: String, _message: PeerMessage) {}

    fn request(&self, _from: String, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        let peers = self.0.clone();
        Box::pin(async { PeerReply::TunnelPeers(peers) })
    }
}

/// An address in a subnet of the loopback network that the process id selects.
fn address(last: u8) -> SocketAddr {
    let id = process::id();
    (IpAddr::from([127, 2 + (id % 250) as u8, (id / 250 % 250) as u8, last]), PORT).into()
}

fn start_network(
    last: u8,
    peers: BTreeMap<String, SocketAddr>,
    handler: Arc<dyn PeerHandler>,
) -> PeerNetwork {
    let vm = vm_from_address(address(last).ip());
    let settings = UnauthenticatedSettings { vm, listen: address(last), peers };
    PeerNetwork::start_unauthenticated(settings, handler).unwrap()
}

/// Guards against a request that waits for one silent entry after the other and is then sent with more time than
/// its caller has left.
#[tokio::test]
async fn silent_entries_cost_little() {
    let silent: Vec<UdpSocket> =
        (3..8).map(|last| UdpSocket::bind(address(last)).unwrap()).collect();
    let names = (3..8).map(|last| vm_from_address(address(last).ip())).collect();
    let control = Arc::new(ControlVm(names));
    let _control = start_network(2, BTreeMap::new(), control.clone());
    let control_vm = vm_from_address(address(2).ip());
    let known = BTreeMap::from([(control_vm.clone(), address(2))]);
    let network = start_network(1, known.clone(), control);
    let (candidates, _) = watch::channel(Vec::new());
    let directory = Arc::new(ControlDirectory::new(network.clone(), known, candidates));
    let (_followed, followed) = watch::channel(Some(control_vm));
    let client = Arc::new(TunnelClient::new(network, directory, followed));
    for _ in 0..2 {
        let opened = timeout(LIMIT, client.clone().open("i-1".to_owned(), true)).await;
        assert_eq!(opened.ok().map(Result::err), Some(Some(TunnelRefusal::Unavailable)));
    }
    drop(silent);
}
