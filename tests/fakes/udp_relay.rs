//! A UDP relay between daemons, which simulates network partitions and slow links.
#![allow(dead_code)] // Each test file uses only some of its items.
//!
//! Each daemon has one port on the relay. The source address of a packet identifies the sending
//! daemon. Each pair of daemons has a separate socket to the receiver, so that replies can be
//! relayed back.

use {
    std::{
        collections::{BTreeMap, BTreeSet, btree_map::Entry},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// How far a rate-limited link may catch up after the relay's timer was late.
const CATCH_UP: Duration = Duration::from_millis(50);
/// More than the maximum length of a UDP packet.
const PACKET_BYTES: usize = 65_536;

#[derive(Default)]
struct RelayTable {
    /// The address of each daemon; packets from other addresses are dropped.
    daemons: BTreeMap<String, SocketAddr>,
    /// Pairs of daemons that cannot reach each other, each in both orders.
    blocked_links: BTreeSet<(String, String)>,
    /// Rate limits of the links to daemons; links without an entry are unlimited.
    rates: BTreeMap<String, LinkRate>,
    /// The bytes of packets that were relayed to each daemon.
    relayed: BTreeMap<String, watch::Sender<u64>>,
}

/// The rate limit of the link to a daemon, which all its peers share.
struct LinkRate {
    bytes_per_second: u32,
    /// When the last packet has passed.
    free_at: Instant,
}

/// The relays of all daemons.
pub struct UdpRelay {
    table: Arc<Mutex<RelayTable>>,
    ports: BTreeMap<String, SocketAddr>,
    _tasks: JoinSet<()>,
}

impl UdpRelay {
    /// Opens a port for each daemon.
    pub async fn start(vms: &[&str]) -> Self {
        let table: Arc<Mutex<RelayTable>> = Arc::default();
        let mut ports = BTreeMap::new();
        let mut tasks = JoinSet::new();
        for vm in vms {
            let port = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port is free"));
            ports.insert((*vm).to_owned(), port.local_addr().expect("the port is bound"));
            lock(&table).relayed.insert((*vm).to_owned(), watch::channel(0).0);
            tasks.spawn(relay_to((*vm).to_owned(), port, Arc::clone(&table)));
        }
        UdpRelay { table, ports, _tasks: tasks }
    }

    /// The relay's address of `vm` for other daemons.
    pub fn port(&self, vm: &str) -> SocketAddr {
        self.ports[vm]
    }

    /// Sets the address of a daemon that has started.
    pub fn set_address(&self, vm: &str, address: SocketAddr) {
        lock(&self.table).daemons.insert(vm.to_owned(), address);
    }

    /// Cuts `vm` off from all other daemons except `reachable`.
    pub fn isolate(&self, vm: &str, reachable: &[&str]) {
        let others = self.ports.keys().filter(|other| *other != vm);
        for other in others.filter(|other| !reachable.contains(&other.as_str())) {
            let pair = (vm.to_owned(), other.clone());
            lock(&self.table).blocked_links.extend([(pair.1.clone(), pair.0.clone()), pair]);
        }
    }

    /// Limits the link to `vm` to this rate, in packets and replies of all other daemons together.
    pub fn limit_rate(&self, vm: &str, bytes_per_second: u32) {
        let rate = LinkRate { bytes_per_second, free_at: Instant::now() };
        lock(&self.table).rates.insert(vm.to_owned(), rate);
    }

    /// The bytes that were relayed to `vm`.
    pub fn relayed_bytes(&self, vm: &str) -> watch::Receiver<u64> {
        lock(&self.table).relayed[vm].subscribe()
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        lock(&self.table).blocked_links.clear();
    }
}

fn lock(table: &Mutex<RelayTable>) -> MutexGuard<'_, RelayTable> {
    table.lock().expect("the mutex is not poisoned")
}

/// The destination of a packet from `source` to `to`; `None` if they are cut off from each other.
fn destination(table: &Mutex<RelayTable>, source: SocketAddr, to: &str) -> Option<SocketAddr> {
    let table = lock(table);
    let (from, _) = table.daemons.iter().find(|(_, address)| **address == source)?;
    let is_blocked = table.blocked_links.contains(&(from.clone(), to.to_owned()));
    table.daemons.get(to).copied().filter(|_| !is_blocked)
}

async fn relay_to(to: String, port: Arc<UdpSocket>, table: Arc<Mutex<RelayTable>>) {
    let mut senders: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut replies = JoinSet::new();
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok((length, source)) = port.recv_from(&mut packet).await else { continue };
        let Some(address) = destination(&table, source, &to) else { continue };
        if let Entry::Vacant(vacant) = senders.entry(source) {
            let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
            let sender = Arc::clone(vacant.insert(Arc::new(sender)));
            let (port, table) = (Arc::clone(&port), Arc::clone(&table));
            replies.spawn(relay_back(source, to.clone(), sender, port, table));
        }
        pass_link(&table, &to, length).await;
        // A packet that cannot be sent is lost, as on a real network.
        let _ = senders[&source].send_to(&packet[..length], address).await;
    }
}

/// Waits until a packet has passed the link to `vm`. Further packets wait in the receive buffer of
/// the socket, and are lost when it is full.
async fn pass_link(table: &Mutex<RelayTable>, vm: &str, length: usize) {
    let passed = lock(table).rates.get_mut(vm).map(|rate| {
        let seconds = length as f64 / f64::from(rate.bytes_per_second);
        let start = rate.free_at.max(Instant::now() - CATCH_UP);
        rate.free_at = start + Duration::from_secs_f64(seconds);
        rate.free_at
    });
    if let Some(passed) = passed {
        sleep_until(passed).await;
    }
    lock(table).relayed[vm].send_modify(|bytes| *bytes += length as u64);
}

/// The daemon with this address.
fn daemon_at(table: &Mutex<RelayTable>, address: SocketAddr) -> Option<String> {
    let table = lock(table);
    let mut daemons = table.daemons.iter();
    daemons.find(|(_, known)| **known == address).map(|(vm, _)| vm.clone())
}

async fn relay_back(
    source: SocketAddr,
    to: String,
    sender: Arc<UdpSocket>,
    port: Arc<UdpSocket>,
    table: Arc<Mutex<RelayTable>>,
) {
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok((length, _)) = sender.recv_from(&mut packet).await else { continue };
        if destination(&table, source, &to).is_some()
            && let Some(receiver) = daemon_at(&table, source)
        {
            pass_link(&table, &receiver, length).await;
            let _ = port.send_to(&packet[..length], source).await;
        }
    }
}
