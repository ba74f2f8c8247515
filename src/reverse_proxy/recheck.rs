//! Looks whether a server is back after a connection to it broke.
//!
//! The dispatcher gives a server whose connection broke nothing until it shows a sign of life. A
//! server that died stays on the list for seconds, so the list is no such sign; an accepted
//! connection is, and it costs less than a request that fails.

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

/// Before the first look: a server that was restarted is not back sooner.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// After an answer that contradicts the list: the list is read once a second.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// Between two looks at a server that does not answer.
const NEXT_PAUSE: Duration = Duration::from_millis(700);
/// Looks at one server; after them the list has long dropped it, or asks for it anew.
const MOST_LOOKS: usize = 16;

/// Servers that are looked at now; each at most once, so it is bounded by the view.
#[derive(Default)]
pub struct RecheckList(Mutex<BTreeSet<ServerId>>);

impl ProxyCore {
    /// Looks after a server whose connection broke until it answers or leaves the list.
    pub fn recheck(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, FIRST_PAUSE);
    }

    /// Looks after a server that was not the one, or had not the weights, that the list told: by
    /// then the list tells more.
    pub fn recheck_later(self: &Arc<Self>, server: &ServerId) {
        self.recheck_after(server, LIST_PAUSE);
    }

    fn recheck_after(self: &Arc<Self>, server: &ServerId, pause: Duration) {
        let mut servers = self.recheck.0.lock().unwrap_or_else(PoisonError::into_inner);
        if servers.insert(server.clone()) {
            log::warn!(server = server.as_str(); "{}", events::SERVER_LOST);
            tokio::spawn(Arc::clone(self).run_recheck(server.clone(), pause));
        }
    }

    async fn run_recheck(self: Arc<Self>, server: ServerId, pause: Duration) {
        let since = Instant::now();
        sleep(pause).await;
        for _ in 0..MOST_LOOKS {
            let view = self.view();
            let Some(listed) = view.servers.get(&server) else { break };
            if self.pool.probe(listed.address).await {
                log::info!(server = server.as_str(), away_ms = since.elapsed().as_millis() as u64;
                    "{}", events::SERVER_BACK);
                self.dispatcher.notify(view.health_input(listed));
                break;
            }
            sleep(NEXT_PAUSE).await;
        }
        self.recheck.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&server);
    }

    /// Answers the dispatcher's question for a sign of life.
    pub async fn probe(&self, server: ServerId) {
        let address = self.view().servers.get(&server).map(|listed| listed.address);
        let answered = match address {
            Some(address) => self.pool.probe(address).await,
            None => false,
        };
        self.dispatcher.notify(PolicyInput::Probed { server, answered });
    }
}
