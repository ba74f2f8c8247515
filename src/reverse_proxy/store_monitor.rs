//! Watches whether the engines' common store of KV cache can be reached.
//!
//! An engine that is told to fetch from a store that is away waits some hundred milliseconds for it,
//! with every long prompt. The store is on no list, so an entry keeps one idle connection to it: its
//! end shows at once that the store has crashed, and an accepted connection that it is back.

use {
    super::{core::ProxyCore, pool::CONNECT_LIMIT},
    crate::observe::events,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        time::{Instant, sleep, timeout},
    },
};

/// Between two looks whether the configuration names a store, or another one.
const ADDRESS_LOOK: Duration = Duration::from_secs(1);
/// Between two tries to reach a store that is away.
const AWAY_LOOK: Duration = Duration::from_millis(500);
/// A store that falls silent without closing is found within about two seconds.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// A connection that ends sooner than this was refused, whatever its beginning looked like: stores
/// close idle ones after seconds.
const LEAST_LIFE: Duration = Duration::from_millis(50);

/// Watches the store for as long as the task runs.
pub async fn monitor_cache_store(core: Arc<ProxyCore>) {
    let mut reached = false;
    loop {
        let Some((address, _)) = core.view().cache_store() else {
            if std::mem::take(&mut reached) {
                core.set_store_reachable(false);
            }
            sleep(ADDRESS_LOOK).await;
            continue;
        };
        let began = Instant::now();
        let connected = timeout(CONNECT_LIMIT, connect(address)).await;
        if let Ok(Ok(mut stream)) = connected {
            note(&core, &mut reached, true, address);
            stay(&core, &mut stream, address).await;
            if began.elapsed() >= LEAST_LIFE {
                continue;
            }
        }
        note(&core, &mut reached, false, address);
        sleep(AWAY_LOOK).await;
    }
}

/// Waits until the connection ends, or the configuration names another store.
async fn stay(core: &ProxyCore, stream: &mut TcpStream, address: SocketAddr) {
    let mut bytes = [0; 1];
    loop {
        // Nothing was asked, so whatever is read ends the connection's use.
        if timeout(ADDRESS_LOOK, stream.read(&mut bytes)).await.is_ok() {
            return;
        }
        if core.view().cache_store().is_none_or(|(named, _)| named != address) {
            return;
        }
    }
}

fn note(core: &ProxyCore, reached: &mut bool, now: bool, address: SocketAddr) {
    if *reached == now {
        return;
    }
    *reached = now;
    core.set_store_reachable(now);
    match now {
        true => log::info!(address:% = address; "{}", events::KEEP_BACK),
        false => log::warn!(address:% = address; "{}", events::KEEP_LOST),
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    SockRef::from(&stream).set_tcp_keepalive(&probes.with_retries(1))?;
    Ok(stream)
}
