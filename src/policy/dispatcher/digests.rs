//! Exchange of digests between the daemons of one failure domain.
//!
//! A digest contains ejected servers, fingerprints recorded at crashes, and the holders of the most
//! requested prefixes, which load reports do not include. All of it is a hint: a daemon that
//! receives no digests relies on its own observations.

use {
    super::Dispatcher,
    crate::{
        ids::{ServerId, VmId},
        policy::{
            DomainDigest, PolicyAction, PolicySafeguard, ServerHealth,
            suspect::{CrashEvidence, CrashReport},
        },
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Interval between two digests, a fifth of a typical request time of one second, so that digests
/// are mostly current. With 54 daemons per domain and 1 KB per digest, each daemon sends about 250
/// KB/s, hence [`IDLE_PUBLISH_INTERVAL`] and the limits below.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two digests while nothing has changed.
const IDLE_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a peer's record expires, and for which its reports on a server whose cache was
/// reset are ignored.
const MAX_PEER_AGE: Duration = Duration::from_secs(3);

/// Maximum peers tracked; a failure domain is designed for 54 daemons.
const MAX_PEERS: usize = 64;

/// Maximum lengths of the lists in a digest.
const MAX_HOT: usize = 16;
const MAX_HOT_HOLDERS: usize = 4;
const MAX_UNHEALTHY: usize = 64;

#[derive(Debug)]
struct PeerRecord {
    sequence: u64,
    at: Instant,
}

/// Known peers, and the last digest sent to them.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Holds at most [`MAX_PEERS`] entries.
    peers: BTreeMap<VmId, PeerRecord>,
    sequence: u64,
    publish_at: Option<Instant>,
    /// The last digest sent, with its sequence number and the ages of its reports set to zero.
    last: DomainDigest,
    last_at: Option<Instant>,
    /// When this daemon last doubted its links to the servers.
    doubted_at: Option<Instant>,
}

impl PeerTable {
    /// Schedules a digest immediately, since a caller may resend a crashing request to another
    /// daemon.
    pub fn publish_now(&mut self, now: Instant) {
        self.publish_at = Some(now);
    }

    /// Records that the links of this daemon to the servers may have failed.
    pub fn doubt_links(&mut self, now: Instant) {
        self.doubted_at = Some(now);
    }

    /// Returns when the next digest is due; `None` before the first one and while digests are not
    /// sent.
    pub fn publish_at(&self) -> Option<Instant> {
        self.publish_at
    }
}

impl Dispatcher {
    /// Publishes a digest if one is due and it has changed, or the idle interval has passed.
    pub(super) fn publish(&mut self, now: Instant) {
        if !self.is_enabled(PolicySafeguard::Digests) || self.view.servers.is_empty() {
            // A time in the past would wake the driver in a busy loop.
            self.peers.publish_at = None;
            return;
        }
        if self.peers.publish_at.is_some_and(|at| at > now) {
            return;
        }
        self.peers.publish_at = Some(now + PUBLISH_INTERVAL);
        self.expire_peers(now);
        let digest = self.digest(now);
        let idle_due = self
            .peers
            .last_at
            .is_none_or(|at| now.saturating_duration_since(at) >= IDLE_PUBLISH_INTERVAL);
        let unaged = without_ages(&digest);
        if unaged == self.peers.last && !idle_due {
            return;
        }
        self.peers.last = unaged;
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
            suspects: self.suspects.due_reports(now, self.peers.doubted_at),
            unhealthy: unhealthy.take(MAX_UNHEALTHY).collect(),
            ..DomainDigest::default()
        }
    }

    fn hot_prefixes(&self, now: Instant) -> Vec<(u64, Vec<ServerId>)> {
        let servers = &self.table.servers;
        let holders = |hash: u64| {
            let held = self.prefix_table.holders(hash).filter(|holder| {
                let server = &servers[holder.server];
                server.listed && !server.unverified && server.cache.holds(holder)
            });
            held.take(MAX_HOT_HOLDERS).map(|holder| servers[holder.server].id.clone()).collect()
        };
        let hottest = self.prefix_rates.hottest(now, MAX_HOT);
        hottest.into_iter().map(|hash| (hash, holders(hash))).collect()
    }

    pub(super) fn merge_digest(&mut self, now: Instant, digest: DomainDigest) {
        if !self.is_enabled(PolicySafeguard::Digests) || digest.daemon == self.settings.daemon {
            return;
        }
        self.merge_crash_reports(now, &digest.suspects);
        let known = self.peers.peers.get(&digest.daemon);
        let outdated = known.is_some_and(|peer| digest.sequence <= peer.sequence);
        if outdated || (known.is_none() && self.peers.peers.len() >= MAX_PEERS) {
            return;
        }
        let record = PeerRecord { sequence: digest.sequence, at: now };
        self.merge_holders(now, &digest);
        self.merge_unhealthy(&digest);
        self.peers.peers.insert(digest.daemon, record);
    }

    /// Merges the crash reports of other daemons, except on servers that have responded to this one
    /// since.
    pub(super) fn merge_crash_reports(&mut self, now: Instant, reports: &[CrashReport]) {
        self.suspects.merge_reports(now, reports);
        if reports.iter().all(|report| report.evidence != CrashEvidence::Pending) {
            return;
        }
        for (index, server) in self.table.servers.iter().enumerate() {
            if let Some(sent) = server.responded {
                self.suspects.refute_crash(now, server.crash_site(index).crash, sent);
            }
        }
    }

    /// Records the holders that a peer reported. A report counts only if the server's incarnation
    /// is known and older than the digest can be, so that the cache of a former incarnation is not
    /// recorded again.
    fn merge_holders(&mut self, now: Instant, digest: &DomainDigest) {
        for (hash, holders) in digest.hot_prefixes.iter().take(MAX_HOT) {
            for id in holders.iter().take(MAX_HOT_HOLDERS) {
                let Some(index) = self.table.by_id.get(id).copied() else { continue };
                let server = &self.table.servers[index];
                let recently_reset = server
                    .cache_reset_at
                    .is_some_and(|at| now.saturating_duration_since(at) < MAX_PEER_AGE);
                if !recently_reset && !server.unverified && server.cache.incarnation().is_some() {
                    self.prefix_table.record_hash(*hash, index, &server.cache);
                }
            }
        }
    }

    fn merge_unhealthy(&mut self, digest: &DomainDigest) {
        for (id, _) in digest.unhealthy.iter().take(MAX_UNHEALTHY) {
            if let Some(index) = self.table.by_id.get(id) {
                self.table.servers[*index].failures.record_peer_ejection();
            }
        }
    }

    fn expire_peers(&mut self, now: Instant) {
        let is_fresh = |at| now.saturating_duration_since(at) <= MAX_PEER_AGE;
        self.peers.peers.retain(|_, peer| is_fresh(peer.at));
    }
}

fn without_ages(digest: &DomainDigest) -> DomainDigest {
    let unaged = |report: &CrashReport| CrashReport { age_tenths: 0, ..*report };
    DomainDigest { suspects: digest.suspects.iter().map(unaged).collect(), ..digest.clone() }
}
