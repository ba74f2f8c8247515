//! Decides which peers to notify of a configuration, which to fetch it from, and when; does no I/O.

use {
    super::history::ConfigHistory,
    crate::{
        ids::{Revision, VmId},
        inventory::ActiveConfig,
    },
    rand_core::{RngCore, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The number of domain peers that each daemon notifies when it activates a new revision. With
/// three, the notices reach about 95% of 54 daemons; the periodic rounds reach the rest.
pub const FAN_OUT: usize = 3;
/// The mean time between two rounds, each with one random peer. It allows six rounds within the
/// 13 s in which a change must reach every daemon, for those that the fan-out missed.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// A daemon without a disk contacts a peer outside its failure domain in one round of this many.
const REMOTE_ROUND_DIVISOR: u32 = 8;
/// A daemon with a disk contacts a peer outside its failure domain in one round of this many. It
/// does so more often, since it imports new revisions into its domain.
const REMOTE_ROUND_DIVISOR_DURABLE: u32 = 2;
/// The number of domain peers that a daemon without a configuration contacts in each round.
const COLD_START_PEERS: usize = 8;
/// Upper bound of the random delay before the first round, for each peer in the domain. It spreads
/// the requests of a domain whose daemons all restart together over about a second, which avoids a
/// thundering herd at the domain's durable daemon.
const STARTUP_JITTER_PER_PEER: Duration = Duration::from_millis(15);
/// How long a daemon without a configuration waits for the domain's durable daemon before it
/// accepts the configuration of others.
const COLD_START_WAIT: Duration = Duration::from_millis(400);
/// How long a revision offered from outside the domain is held back until the domain's durable
/// daemon offers it as well.
const DURABLE_PEER_WAIT: Duration = Duration::from_secs(3);
/// The maximum number of stored offers; beyond it the one with the lowest revision is dropped.
const MAX_OFFERS: usize = 64;

/// Whether a daemon keeps its configuration across a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageKind {
    /// The daemon has no disk and starts without a configuration.
    Diskless,
    /// The daemon has a data folder and loads its last configuration from there.
    Durable,
}

/// The peers of a daemon, without the daemon itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerView {
    /// Daemons of the same failure domain.
    pub domain: Vec<VmId>,
    /// Daemons of the same failure domain that have a disk.
    pub durable_peers: Vec<VmId>,
    /// Daemons outside the failure domain; before the first register, all peers that the settings
    /// name.
    pub others: Vec<VmId>,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum DisseminationInput {
    /// The replica on this VM applied this configuration, or the cache file contained it.
    Committed(Arc<ActiveConfig>),
    /// A peer announced its revision.
    Notice {
        /// The peer.
        from: VmId,
        /// The revision in force at the peer.
        revision: Revision,
    },
    /// A fetch ended.
    Fetched {
        /// The peer that was asked.
        from: VmId,
        /// The peer's configuration; `None` if the fetch failed or the peer had no newer one.
        config: Option<Arc<ActiveConfig>>,
    },
    /// The known peers changed.
    Peers(PeerView),
    /// The time of [`DisseminationCore::next_wakeup`] has come.
    Wake,
}

/// An action that the core requests.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationAction {
    /// Activate this configuration.
    Activate(Arc<ActiveConfig>),
    /// Announce the revision in force at this daemon to a peer.
    Notify {
        /// The peer.
        to: VmId,
        /// The revision in force at this daemon.
        revision: Revision,
    },
    /// Fetch a newer configuration from a peer; exactly one `Fetched` follows.
    Fetch {
        /// The peer.
        from: VmId,
        /// The revision in force at this daemon.
        have: Revision,
    },
}

/// The state of the dissemination at one daemon.
pub struct DisseminationCore {
    kind: StorageKind,
    random: Xoshiro256PlusPlus,
    history: ConfigHistory,
    view: PeerView,
    /// Peers that announced a higher revision; at most [`MAX_OFFERS`].
    offers: BTreeMap<VmId, Revision>,
    /// The peer of the fetch in progress. There is one fetch at a time, since its result may reduce
    /// what the next one has to transfer.
    fetching: Option<VmId>,
    next_round: Instant,
    /// Rounds so far without a configuration, for the backoff between them.
    cold_rounds: u32,
    /// The end of the wait for the domain's durable daemon at a cold start.
    cold_until: Instant,
    /// The time since which a revision from outside the domain is held back.
    remote_since: Option<Instant>,
}

impl DisseminationCore {
    /// The state of a daemon that has just started without a configuration.
    pub fn new(now: Instant, kind: StorageKind, view: PeerView, seed: u64) -> Self {
        let mut core = Self {
            kind,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            history: ConfigHistory::default(),
            view,
            offers: BTreeMap::new(),
            fetching: None,
            next_round: now,
            cold_rounds: 0,
            cold_until: now,
            remote_since: None,
        };
        let peers = u32::try_from(core.view.domain.len()).unwrap_or(u32::MAX);
        core.next_round = now + core.random_delay(STARTUP_JITTER_PER_PEER.saturating_mul(peers));
        core.cold_until = core.next_round + COLD_START_WAIT;
        core
    }

    /// The configuration in force and its latest changes.
    pub fn history(&self) -> &ConfigHistory {
        &self.history
    }

    /// The time at which the next `Wake` is due.
    pub fn next_wakeup(&self) -> Instant {
        // An offer without a fetch in progress is being held back until the time below; otherwise
        // its fetch would have begun.
        let waits = !self.offers.is_empty() && self.fetching.is_none();
        let due = match self.revision() {
            0 => Some(self.cold_until),
            _ => self.remote_since.map(|since| since + DURABLE_PEER_WAIT),
        };
        due.filter(|_| waits).map_or(self.next_round, |due| due.min(self.next_round))
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, input: DisseminationInput) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        match input {
            DisseminationInput::Committed(config) => self.activate(None, config, &mut actions),
            DisseminationInput::Notice { from, revision } => {
                self.handle_notice(now, from, revision, &mut actions);
            }
            DisseminationInput::Fetched { from, config } => {
                self.fetching = None;
                self.offers.remove(&from);
                if let Some(config) = config {
                    self.activate(Some(&from), config, &mut actions);
                }
            }
            DisseminationInput::Peers(view) => self.view = view,
            DisseminationInput::Wake => self.run_round(now, &mut actions),
        }
        self.fetch_next(now, &mut actions);
        actions
    }

    fn revision(&self) -> Revision {
        self.history.current().revision
    }

    fn activate(
        &mut self,
        source: Option<&VmId>,
        config: Arc<ActiveConfig>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if !self.history.advance(config.clone()) {
            return;
        }
        let revision = config.revision;
        actions.push(DisseminationAction::Activate(config));
        self.offers.retain(|_, offered| *offered > revision);
        self.remote_since = None;
        let mut targets = self.view.domain.clone();
        targets.retain(|vm| Some(vm) != source);
        for to in self.pick_random(targets, FAN_OUT) {
            actions.push(DisseminationAction::Notify { to, revision });
        }
    }

    fn handle_notice(
        &mut self,
        now: Instant,
        from: VmId,
        revision: Revision,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if revision < self.revision() {
            actions.push(DisseminationAction::Notify { to: from, revision: self.revision() });
        } else if revision > self.revision() {
            if !self.is_local(&from) {
                self.remote_since.get_or_insert(now);
            }
            self.offers.insert(from, revision);
            if self.offers.len() > MAX_OFFERS {
                let lowest = self.offers.iter().min_by_key(|(_, offered)| **offered);
                if let Some(vm) = lowest.map(|(vm, _)| vm.clone()) {
                    self.offers.remove(&vm);
                }
            }
        }
    }

    fn run_round(&mut self, now: Instant, actions: &mut Vec<DisseminationAction>) {
        if now < self.next_round {
            return;
        }
        let revision = self.revision();
        let targets = if revision == 0 { self.cold_targets() } else { self.round_target() };
        actions.extend(targets.into_iter().map(|to| DisseminationAction::Notify { to, revision }));
        let mean = match revision {
            0 => ROUND_INTERVAL.mul_f64(0.125 * f64::from(1 << self.cold_rounds.min(3))),
            _ => ROUND_INTERVAL,
        };
        self.next_round = now + mean / 2 + self.random_delay(mean);
    }

    /// The domain's durable daemons, some of its other daemons and two from outside.
    fn cold_targets(&mut self) -> Vec<VmId> {
        self.cold_rounds = self.cold_rounds.saturating_add(1);
        let mut targets = self.view.durable_peers.clone();
        let mut domain = self.view.domain.clone();
        domain.retain(|vm| !targets.contains(vm));
        targets.extend(self.pick_random(domain, COLD_START_PEERS));
        let others = self.view.others.clone();
        targets.extend(self.pick_random(others, 2));
        targets
    }

    fn round_target(&mut self) -> Vec<VmId> {
        let share = match self.kind {
            StorageKind::Diskless => REMOTE_ROUND_DIVISOR,
            StorageKind::Durable => REMOTE_ROUND_DIVISOR_DURABLE,
        };
        let is_remote = self.random.next_u32().is_multiple_of(share);
        let outside = self.view.domain.is_empty() || (is_remote && !self.view.others.is_empty());
        let targets = if outside { self.view.others.clone() } else { self.view.domain.clone() };
        self.pick_random(targets, 1)
    }

    /// Starts to fetch the highest offered revision, from a random peer among those that offer it.
    fn fetch_next(&mut self, now: Instant, actions: &mut Vec<DisseminationAction>) {
        if self.fetching.is_some() {
            return;
        }
        let have = self.revision();
        self.offers.retain(|_, offered| *offered > have);
        if self.offers.is_empty() {
            self.remote_since = None;
            return;
        }
        let usable: Vec<(VmId, Revision)> = self
            .offers
            .iter()
            .filter(|(vm, _)| self.may_use(now, vm))
            .map(|(vm, offered)| (vm.clone(), *offered))
            .collect();
        let Some(highest) = usable.iter().map(|(_, offered)| *offered).max() else { return };
        let best = usable.into_iter().filter(|(_, offered)| *offered == highest);
        let best = best.map(|(vm, _)| vm).collect();
        if let Some(from) = self.pick_random(best, 1).pop() {
            self.fetching = Some(from.clone());
            actions.push(DisseminationAction::Fetch { from, have });
        }
    }

    /// Whether a daemon may fetch a configuration from `vm` now.
    ///
    /// A daemon without a disk loses its configuration when it restarts. If it activated a revision
    /// from outside that no daemon of its domain stores, and the domain were then cut off, it would
    /// restart with an older one: callers would see an accepted change reverted. So it fetches from
    /// its own domain, where the durable daemon is first, and from outside only if that daemon has
    /// not offered the revision within [`DURABLE_PEER_WAIT`]. After a restart it waits for an
    /// answer of the durable daemon before it accepts the configuration of others.
    fn may_use(&self, now: Instant, vm: &VmId) -> bool {
        if self.kind == StorageKind::Durable || self.view.durable_peers.is_empty() {
            return true;
        }
        if self.revision() == 0 {
            return now >= self.cold_until || self.has_durable_offer();
        }
        self.is_local(vm) || self.remote_since.is_some_and(|since| now >= since + DURABLE_PEER_WAIT)
    }

    fn has_durable_offer(&self) -> bool {
        self.view.durable_peers.iter().any(|vm| self.offers.contains_key(vm))
    }

    fn is_local(&self, vm: &VmId) -> bool {
        self.view.domain.contains(vm) || self.view.durable_peers.contains(vm)
    }

    /// Up to `count` random elements of `targets`.
    fn pick_random(&mut self, mut targets: Vec<VmId>, count: usize) -> Vec<VmId> {
        let mut picked = Vec::new();
        while picked.len() < count && !targets.is_empty() {
            let index = self.random.next_u64() % targets.len() as u64;
            picked.push(targets.swap_remove(index as usize));
        }
        picked
    }

    fn random_delay(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }
}
