//! Probes servers after a connection failure until they are reachable again.
//!
//! The dispatcher sends no requests to a server after a connection failure until a health check
//! succeeds. The server list is no such check, because a crashed server remains listed for seconds.
//! An accepted connection is one, and it costs less than a failed request. It does not show that the
//! server has not crashed: another one may have started at its address. Only a response to a later
//! request does, because servers reject requests for others.
//!
//! The failure may also be one of this process's own links. A health check of another server, or of a
//! few if it fails, tells which, before the broken connection is held against its request.

use {
    super::{
        core::ProxyCore,
        pool::{BackendTarget, ProbeResult},
    },
    crate::{
        ids::ServerId,
        observe::events,
        policy::{PolicyInput, reachability::SUSPICIOUS_SERVERS},
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant as StdInstant},
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

/// Servers to which a connection has failed. The view bounds their number.
#[derive(Default)]
pub struct RecheckList(Mutex<RecheckState>);

#[derive(Default)]
struct RecheckState {
    /// Servers that are being probed.
    probed: BTreeSet<ServerId>,
    /// Servers that have not identified themselves since a connection failed, and when it did.
    unidentified: BTreeMap<ServerId, StdInstant>,
}

impl RecheckList {
    /// Records that a server responded to a request that was sent at `sent`. Returns whether a
    /// connection had failed before that and the server has not identified itself since.
    pub fn identify(&self, server: &ServerId, sent: StdInstant) -> bool {
        let mut state = self.lock();
        let identifies = state.unidentified.get(server).is_some_and(|failed| *failed < sent);
        if identifies {
            state.unidentified.remove(server);
        }
        identifies
    }

    /// Removes the servers that have not identified themselves and are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&ServerId) -> bool) {
        self.lock().unidentified.retain(|server, _| is_listed(server));
    }

    fn lock(&self) -> MutexGuard<'_, RecheckState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProxyCore {
    /// Probes a server after a connection failure until it is reachable or no longer listed.
    pub fn recheck(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, FIRST_DELAY);
        if self.pool.links().start_check() {
            tokio::spawn(Arc::clone(self).check_other_links(server.clone()));
        }
    }

    /// Checks randomly chosen servers other than `failed` until one responds.
    async fn check_other_links(self: Arc<Self>, failed: ServerId) {
        let view = self.view();
        let first = Xoshiro256PlusPlus::from_os_rng().next_u64() as usize;
        let first = first % view.servers.len().max(1);
        let servers = view.servers.iter().cycle().skip(first).take(view.servers.len());
        // A health check takes a slot of its server, or is rejected.
        let others = servers.filter(|(server, listed)| {
            **server != failed
                && !self.limits_rejections(&listed.service)
                && self.accepts_calls(server)
        });
        for (server, listed) in others.take(SUSPICIOUS_SERVERS) {
            let target = BackendTarget { server, address: listed.address };
            if self.pool.check_direct(target, view.health_path(&listed.service)).await {
                break;
            }
        }
    }

    /// Probes a server whose identity or weights differ from the server list, after the list has
    /// been refreshed.
    pub fn recheck_after_refresh(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, REFRESH_DELAY);
    }

    fn recheck_after(self: &Arc<Self>, server: &ServerId, delay: Duration) {
        let mut state = self.recheck.lock();
        state.unidentified.insert(server.clone(), StdInstant::now());
        if state.probed.insert(server.clone()) {
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
            if !self.accepts_calls(&server) {
                sleep(PROBE_INTERVAL).await;
                continue;
            }
            let target = BackendTarget { server: &server, address: listed.address };
            match self.pool.probe(target).await {
                ProbeResult::Accepted => {
                    log::info!(server = server.as_str(),
                        away_ms = since.elapsed().as_millis() as u64;
                        "{}", events::SERVER_RECOVERED);
                    self.report_health(&server);
                    break;
                }
                ProbeResult::Refused => {
                    self.dispatcher.notify(PolicyInput::ServerEnded { server: server.clone() });
                }
                ProbeResult::Unreachable => {}
            }
            sleep(PROBE_INTERVAL).await;
        }
        self.recheck.lock().probed.remove(&server);
    }

    /// Runs a health check for the dispatcher and reports its result.
    pub async fn probe(&self, server: ServerId) {
        let address = self.view().servers.get(&server).map(|listed| listed.address);
        let answered = match address {
            Some(address) if self.accepts_calls(&server) => {
                let target = BackendTarget { server: &server, address };
                self.pool.probe(target).await == ProbeResult::Accepted
            }
            _ => false,
        };
        self.dispatcher.notify(PolicyInput::Probed { server, answered });
    }
}
