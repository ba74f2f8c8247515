//! Probes servers after a connection failure until they are reachable again.
//!
//! The dispatcher sends no requests to a server after a connection failure until a health check
//! succeeds. The server list is no such check, because a crashed server remains listed for seconds.
//! An accepted connection is one, and it costs less than a failed request.

use {
    super::core::ProxyCore,
    crate::{ids::ServerId, observe::events, policy::PolicyInput},
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Delay before the first probe; restarting a server takes at least this long.
const FIRST_DELAY: Duration = Duration::from_millis(200);
/// Delay after a response that contradicts the server list, which is refreshed once a second.
const REFRESH_DELAY: Duration = Duration::from_secs(1);
/// Interval between probes of an unreachable server.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of probes of a server. By then the server list no longer contains it, or the
/// dispatcher has requested a new probe.
const MAX_PROBES: usize = 16;

/// Servers that are being probed. Each is listed once, so that the view bounds their number.
#[derive(Default)]
pub struct RecheckList(Mutex<BTreeSet<ServerId>>);

impl ProxyCore {
    /// Probes a server after a connection failure until it is reachable or no longer listed.
    pub fn recheck(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, FIRST_DELAY);
    }

    /// Probes a server whose identity or weights differ from the server list, after the list has
    /// been refreshed.
    pub fn recheck_after_refresh(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, REFRESH_DELAY);
    }

    fn recheck_after(self: &Arc<Self>, server: &ServerId, delay: Duration) {
        let mut servers = self.recheck.0.lock().unwrap_or_else(PoisonError::into_inner);
        if servers.insert(server.clone()) {
            log::warn!(server = server.as_str(); "{}", events::SERVER_UNAVAILABLE);
            tokio::spawn(Arc::clone(self).run_recheck(server.clone(), delay));
        }
    }

    async fn run_recheck(self: Arc<Self>, server: ServerId, delay: Duration) {
        let since = Instant::now();
        sleep(delay).await;
        for _ in 0..MAX_PROBES {
            let view = self.view();
            let Some(listed) = view.servers.get(&server) else { break };
            if self.pool.probe(listed.address).await {
                log::info!(server = server.as_str(), away_ms = since.elapsed().as_millis() as u64;
                    "{}", events::SERVER_RECOVERED);
                self.dispatcher.notify(view.health_input(listed));
                break;
            }
            sleep(PROBE_INTERVAL).await;
        }
        self.recheck.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&server);
    }

    /// Runs a health check for the dispatcher and reports its result.
    pub async fn probe(&self, server: ServerId) {
        let address = self.view().servers.get(&server).map(|listed| listed.address);
        let answered = match address {
            Some(address) => self.pool.probe(address).await,
            None => false,
        };
        self.dispatcher.notify(PolicyInput::Probed { server, answered });
    }
}
