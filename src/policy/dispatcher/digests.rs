//! What daemons of one failure domain tell each other, and what is made of it.
//!
//! Load reports lag, so each daemon also tells how many requests it has at each server, who crashed
//! servers, and who holds its hottest prefixes. All of it is a hint: a daemon that hears nothing
//! goes on with its own findings.

use {
    super::Dispatcher,
    crate::{
        ids::{ServerId, VmId},
        policy::{DomainDigest, PolicyAction, PolicySafeguard, ServerHealth},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The pause between two digests. Requests take about a second, so a fifth of it keeps what is
/// told mostly true; at 54 daemons a domain and 1 KB a digest it sends about 250 KB/s, hence
/// [`REST_PAUSE`] and the bounds below.
const PUBLISH_PAUSE: Duration = Duration::from_millis(200);

/// The pause while nothing has changed.
const REST_PAUSE: Duration = Duration::from_secs(1);

/// What a peer told counts this long.
const PEER_LIFE: Duration = Duration::from_secs(3);

/// Peers listened to: a domain of the design size has 54.
const MAX_PEERS: usize = 64;

/// Bounds of the digest's lists.
const MAX_HOT: usize = 16;
const MAX_HOT_HOLDERS: usize = 4;
const MAX_UNHEALTHY: usize = 64;

#[derive(Debug)]
struct PeerRecord {
    sequence: u64,
    at: Instant,
}

/// What was heard of peers, and what was last told them.
#[derive(Debug, Default)]
pub struct PeerBook {
    /// At most [`MAX_PEERS`].
    peers: BTreeMap<VmId, PeerRecord>,
    sequence: u64,
    publish_at: Option<Instant>,
    /// The last digest sent, its sequence set to zero.
    last: DomainDigest,
    last_at: Option<Instant>,
}

impl PeerBook {
    /// Makes a digest due at once: a caller may send a crashing request again at another daemon.
    pub fn hurry(&mut self, now: Instant) {
        self.publish_at = Some(now);
    }

    /// When a digest is due.
    pub fn publish_at(&self) -> Option<Instant> {
        self.publish_at
    }
}

impl Dispatcher {
    /// Sends a digest if one is due and says something new.
    pub(super) fn publish(&mut self, now: Instant) {
        if !self.is_on(PolicySafeguard::Digests) || self.view.servers.is_empty() {
            // A moment that has passed and stays noted would wake the driver without end.
            self.peers.publish_at = None;
            return;
        }
        if self.peers.publish_at.is_some_and(|at| at > now) {
            return;
        }
        self.peers.publish_at = Some(now + PUBLISH_PAUSE);
        self.forget_peers(now);
        let digest = self.digest(now);
        let rested =
            self.peers.last_at.is_none_or(|at| now.saturating_duration_since(at) >= REST_PAUSE);
        if digest == self.peers.last && !rested {
            return;
        }
        self.peers.last = digest.clone();
        self.peers.last_at = Some(now);
        self.peers.sequence += 1;
        let sequence = self.peers.sequence;
        self.actions.push(PolicyAction::Publish(DomainDigest { sequence, ..digest }));
    }

    fn digest(&self, now: Instant) -> DomainDigest {
        let servers = &self.table.servers;
        let unhealthy = self.ejected.iter().map(|index| &servers[*index]);
        let unhealthy = unhealthy.map(|server| (server.id.clone(), ServerHealth::Dead));
        DomainDigest {
            daemon: self.settings.daemon.clone(),
            hot_prefixes: self.hot_prefixes(now),
            suspects: self.suspects.shared(now),
            unhealthy: unhealthy.take(MAX_UNHEALTHY).collect(),
            ..DomainDigest::default()
        }
    }

    fn hot_prefixes(&self, now: Instant) -> Vec<(u64, Vec<ServerId>)> {
        let servers = &self.table.servers;
        let holders = |hash: u64| {
            let held = self.holdings.holders(hash).filter(|holding| {
                let server = &servers[holding.server];
                server.listed && !server.in_doubt && server.cache.holds(holding)
            });
            held.take(MAX_HOT_HOLDERS).map(|holding| servers[holding.server].id.clone()).collect()
        };
        let hottest = self.heats.hottest(now, MAX_HOT);
        hottest.into_iter().map(|hash| (hash, holders(hash))).collect()
    }

    pub(super) fn hear_digest(&mut self, now: Instant, digest: DomainDigest) {
        if !self.is_on(PolicySafeguard::Digests) || digest.daemon == self.settings.daemon {
            return;
        }
        self.suspects.hear(now, &digest.suspects);
        let known = self.peers.peers.get(&digest.daemon);
        let outdated = known.is_some_and(|peer| digest.sequence <= peer.sequence);
        if outdated || (known.is_none() && self.peers.peers.len() >= MAX_PEERS) {
            return;
        }
        let record = PeerRecord { sequence: digest.sequence, at: now };
        self.hear_holders(now, &digest);
        self.hear_unhealthy(&digest);
        self.peers.peers.insert(digest.daemon, record);
    }

    /// A peer's holdings count only where the server's life is known and older than the digest can
    /// be, so that no holding of a dead engine comes back by rumour.
    fn hear_holders(&mut self, now: Instant, digest: &DomainDigest) {
        for (hash, holders) in digest.hot_prefixes.iter().take(MAX_HOT) {
            for id in holders.iter().take(MAX_HOT_HOLDERS) {
                let Some(index) = self.table.by_id.get(id).copied() else { continue };
                let server = &self.table.servers[index];
                let young =
                    server.reborn.is_some_and(|at| now.saturating_duration_since(at) < PEER_LIFE);
                if !young && !server.in_doubt && server.cache.incarnation().is_some() {
                    self.holdings.note_hash(*hash, index, &server.cache);
                }
            }
        }
    }

    fn hear_unhealthy(&mut self, digest: &DomainDigest) {
        for (id, _) in digest.unhealthy.iter().take(MAX_UNHEALTHY) {
            if let Some(index) = self.table.by_id.get(id) {
                self.table.servers[*index].failures.note_rumour();
            }
        }
    }

    fn forget_peers(&mut self, now: Instant) {
        let heard = |at| now.saturating_duration_since(at) <= PEER_LIFE;
        self.peers.peers.retain(|_, peer| heard(peer.at));
    }
}
