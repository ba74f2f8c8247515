//! Monitors whether the engines' shared KV cache stores are reachable.
//!
//! An engine that is directed to import from an unreachable store waits some hundred milliseconds
//! for it with every long prompt. Stores are not on the server list. Therefore each proxy process
//! holds an idle connection to each of them: the end of the connection indicates a crash at once, and
//! an accepted connection indicates that the store is reachable again.

use {
    super::{core::ProxyCore, pool::CONNECT_TIMEOUT},
    crate::observe::events,
    socket2::{SockRef, TcpKeepalive},
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        task::{AbortHandle, JoinSet},
        time::{Instant, sleep, timeout},
    },
};

/// Interval at which the configuration is checked for other stores.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between attempts to connect to an unreachable store.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// TCP keepalive time and interval; an unresponsive store is detected within about two seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection that ends sooner than this counts as refused, even if it was accepted: stores close
/// idle connections only after seconds.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(50);

/// Monitors all stores in use; never returns.
pub async fn monitor_cache_stores(core: Arc<ProxyCore>) {
    let mut monitored = BTreeMap::new();
    let mut monitors = JoinSet::new();
    loop {
        let stores = core.cache_stores();
        monitored.retain(|_, monitor: &mut AbortHandle| !monitor.is_finished());
        for store in stores.into_keys() {
            monitored
                .entry(store)
                .or_insert_with(|| monitors.spawn(monitor_store(Arc::clone(&core), store)));
        }
        while monitors.try_join_next().is_some() {}
        sleep(ADDRESS_CHECK_INTERVAL).await;
    }
}

/// Monitors a store until it is not used any more.
async fn monitor_store(core: Arc<ProxyCore>, address: SocketAddr) {
    let mut reachable = false;
    while is_used(&core, address) {
        let began = Instant::now();
        let connected = timeout(CONNECT_TIMEOUT, connect(address)).await;
        if let Ok(Ok(mut stream)) = connected {
            set_reachable(&core, &mut reachable, true, address);
            wait_closed(&core, &mut stream, address).await;
            if began.elapsed() >= MIN_CONNECTION_TIME {
                continue;
            }
        }
        set_reachable(&core, &mut reachable, false, address);
        sleep(RECONNECT_INTERVAL).await;
    }
    if reachable {
        core.set_store_reachable(address, false);
    }
}

fn is_used(core: &ProxyCore, address: SocketAddr) -> bool {
    core.cache_stores().contains_key(&address)
}

/// Waits until the connection ends or the store is not used any more.
async fn wait_closed(core: &ProxyCore, stream: &mut TcpStream, address: SocketAddr) {
    let mut bytes = [0; 1];
    loop {
        // No request was sent, so that any result of a read ends the use of the connection.
        if timeout(ADDRESS_CHECK_INTERVAL, stream.read(&mut bytes)).await.is_ok() {
            return;
        }
        if !is_used(core, address) {
            return;
        }
    }
}

fn set_reachable(core: &ProxyCore, reachable: &mut bool, is_reachable: bool, address: SocketAddr) {
    if *reachable == is_reachable {
        return;
    }
    *reachable = is_reachable;
    core.set_store_reachable(address, is_reachable);
    match is_reachable {
        true => log::info!(address:% = address; "{}", events::CACHE_STORE_RECOVERED),
        false => log::warn!(address:% = address; "{}", events::CACHE_STORE_UNAVAILABLE),
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&stream).set_tcp_keepalive(&probes.with_retries(1))?;
    Ok(stream)
}
