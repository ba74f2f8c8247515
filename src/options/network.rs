//! Options of the listen addresses for callers, operators and other daemons.

use {
    super::{
        OptionFault,
        values::{address, report_invalid, text},
    },
    bpaf::{Parser, construct},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Ports of the default addresses, which are on the loopback interface, so that omitting an option
/// exposes nothing to the network.
const DEFAULT_PORTS: [u16; 3] = [8080, 8081, 8082];

/// Listen addresses of a daemon. The two HTTP addresses differ unless the port is 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkOptions {
    /// TCP address of the HTTP API for callers.
    pub listen: SocketAddr,
    /// TCP address of the HTTP API for operators.
    pub admin_listen: SocketAddr,
    /// UDP address for QUIC connections of other daemons.
    pub peer_listen: SocketAddr,
}

#[derive(Clone, Debug)]
pub(super) struct RawNetwork {
    listen: Option<String>,
    admin_listen: Option<String>,
    peer_listen: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawNetwork> {
    let listen = text(
        "listen",
        "OLEANDERMOUNT_LISTEN",
        "IP:PORT",
        "Address of the HTTP API for callers (default 127.0.0.1:8080)",
    );
    let admin_listen = text(
        "admin-listen",
        "OLEANDERMOUNT_ADMIN_LISTEN",
        "IP:PORT",
        "Address of the HTTP API for operators (default 127.0.0.1:8081); it has no authentication, \
         so use a network that only operators can access",
    );
    let peer_listen = text(
        "peer-listen",
        "OLEANDERMOUNT_PEER_LISTEN",
        "IP:PORT",
        "UDP address for QUIC connections of other daemons (default 127.0.0.1:8082)",
    );
    construct!(RawNetwork { listen, admin_listen, peer_listen })
}

pub(super) fn check(raw: RawNetwork, faults: &mut Vec<OptionFault>) -> NetworkOptions {
    let [listen, admin_listen, peer_listen] =
        DEFAULT_PORTS.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let listen = address(faults, "--listen", raw.listen, listen);
    let admin_listen = address(faults, "--admin-listen", raw.admin_listen, admin_listen);
    let peer_listen = address(faults, "--peer-listen", raw.peer_listen, peer_listen);
    if listen == admin_listen && listen.port() != 0 {
        let remedy = "callers and operators need different addresses; change the port";
        report_invalid(faults, "--admin-listen", admin_listen, remedy);
    }
    NetworkOptions { listen, admin_listen, peer_listen }
}
