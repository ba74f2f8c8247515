//! Decides whom to tell of a configuration, whom to fetch it from, and when: without a network.

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

/// Domain peers told of a new revision by each daemon that puts it in force: three each reach
/// nineteen in twenty of 54 daemons, and the rounds below the rest.
pub const FAN_OUT: usize = 3;
/// The mean time between two rounds, each with one random peer. With six rounds in the 13 s that
/// a change may take, a daemon missed by the fan-out learns of it in time.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// One round in so many goes outside the failure domain, from a daemon without a disk.
const FOREIGN_SHARE: u32 = 8;
/// The same from a daemon with a disk, which brings news into its domain.
const FOREIGN_SHARE_DURABLE: u32 = 2;
/// Peers asked at once by a daemon that has no configuration yet.
const COLD_PEERS: usize = 8;
/// The longest first wait of a cold daemon, for each peer in its domain: a domain that restarts
/// as a herd asks its disk replica over a second rather than in one instant.
const HERD_SPREAD: Duration = Duration::from_millis(15);
/// How long a cold daemon lets the domain's disk replica answer before it takes what others have.
const COLD_WAIT: Duration = Duration::from_millis(400);
/// How long news from outside waits for the own domain's disk replica to have it.
const ANCHOR_WAIT: Duration = Duration::from_secs(3);
/// Offers remembered; beyond it the lowest is dropped.
const MOST_OFFERS: usize = 64;

/// Whether a daemon keeps the configuration over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageKind {
    /// It forgets.
    Diskless,
    /// It has a data folder.
    Durable,
}

/// The peers of a daemon, itself not among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerView {
    /// Daemons of the same failure domain.
    pub domain: Vec<VmId>,
    /// Those of them that have a disk.
    pub durable_peers: Vec<VmId>,
    /// Daemons to ask outside: replicas and seeds.
    pub others: Vec<VmId>,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum DisseminationInput {
    /// The replica on this VM applied a configuration, or the cache file held it.
    Committed(Arc<ActiveConfig>),
    /// A peer has this revision.
    Notice {
        /// The peer.
        from: VmId,
        /// Its revision.
        revision: Revision,
    },
    /// A fetch brought this, or nothing.
    Fetched {
        /// The peer that was asked.
        from: VmId,
        /// Its configuration, if it had a newer one.
        config: Option<Arc<ActiveConfig>>,
    },
    /// The peers changed.
    Peers(PeerView),
    /// Time passed.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DisseminationAction {
    /// Put this in force.
    Adopt(Arc<ActiveConfig>),
    /// Tell a peer which revision is in force here.
    Notify {
        /// The peer.
        to: VmId,
        /// The revision.
        revision: Revision,
    },
    /// Ask a peer for what is newer; exactly one `Fetched` follows.
    Fetch {
        /// The peer.
        from: VmId,
        /// The revision in force here.
        have: Revision,
    },
}

/// The state of one daemon's spread.
pub struct DisseminationCore {
    kind: StorageKind,
    random: Xoshiro256PlusPlus,
    history: ConfigHistory,
    view: PeerView,
    /// Who said to have a later revision; at most [`MOST_OFFERS`].
    offers: BTreeMap<VmId, Revision>,
    /// Whom a fetch is under way from; one at a time, since the next may need less.
    fetching: Option<VmId>,
    next_round: Instant,
    /// Rounds without a configuration so far; lengthens the wait between them.
    cold_rounds: u32,
    /// Until when a cold daemon waits for the domain's disk replica.
    cold_until: Instant,
    /// Since when news from outside waits for the domain's disk replica.
    foreign_since: Option<Instant>,
}

impl DisseminationCore {
    /// A daemon that has just started and holds nothing.
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
            foreign_since: None,
        };
        let peers = u32::try_from(core.view.domain.len()).unwrap_or(u32::MAX);
        core.next_round = now + core.chance_of(HERD_SPREAD.saturating_mul(peers));
        core.cold_until = core.next_round + COLD_WAIT;
        core
    }

    /// The configuration in force and its latest changes.
    pub fn history(&self) -> &ConfigHistory {
        &self.history
    }

    /// When `Wake` is wanted next.
    pub fn next_wakeup(&self) -> Instant {
        // An offer that no fetch follows waits for one of these; with none it would be under way.
        let waits = !self.offers.is_empty() && self.fetching.is_none();
        let due = match self.revision() {
            0 => Some(self.cold_until),
            _ => self.foreign_since.map(|since| since + ANCHOR_WAIT),
        };
        due.filter(|_| waits).map_or(self.next_round, |due| due.min(self.next_round))
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Instant, input: DisseminationInput) -> Vec<DisseminationAction> {
        let mut actions = Vec::new();
        match input {
            DisseminationInput::Committed(config) => self.adopt(None, config, &mut actions),
            DisseminationInput::Notice { from, revision } => {
                self.hear(now, from, revision, &mut actions);
            }
            DisseminationInput::Fetched { from, config } => {
                self.fetching = None;
                self.offers.remove(&from);
                if let Some(config) = config {
                    self.adopt(Some(&from), config, &mut actions);
                }
            }
            DisseminationInput::Peers(view) => self.view = view,
            DisseminationInput::Wake => self.round(now, &mut actions),
        }
        self.fetch_next(now, &mut actions);
        actions
    }

    fn revision(&self) -> Revision {
        self.history.current().revision
    }

    fn adopt(
        &mut self,
        source: Option<&VmId>,
        config: Arc<ActiveConfig>,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if !self.history.advance(config.clone()) {
            return;
        }
        let revision = config.revision;
        actions.push(DisseminationAction::Adopt(config));
        self.offers.retain(|_, offered| *offered > revision);
        self.foreign_since = None;
        let mut targets = self.view.domain.clone();
        targets.retain(|vm| Some(vm) != source);
        for to in self.pick_some(targets, FAN_OUT) {
            actions.push(DisseminationAction::Notify { to, revision });
        }
    }

    fn hear(
        &mut self,
        now: Instant,
        from: VmId,
        revision: Revision,
        actions: &mut Vec<DisseminationAction>,
    ) {
        if revision < self.revision() {
            actions.push(DisseminationAction::Notify { to: from, revision: self.revision() });
        } else if revision > self.revision() {
            if !self.is_near(&from) {
                self.foreign_since.get_or_insert(now);
            }
            self.offers.insert(from, revision);
            if self.offers.len() > MOST_OFFERS {
                let lowest = self.offers.iter().min_by_key(|(_, offered)| **offered);
                if let Some(vm) = lowest.map(|(vm, _)| vm.clone()) {
                    self.offers.remove(&vm);
                }
            }
        }
    }

    fn round(&mut self, now: Instant, actions: &mut Vec<DisseminationAction>) {
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
        self.next_round = now + mean / 2 + self.chance_of(mean);
    }

    /// The domain's disk replicas, some of its daemons and two from outside.
    fn cold_targets(&mut self) -> Vec<VmId> {
        self.cold_rounds = self.cold_rounds.saturating_add(1);
        let mut targets = self.view.durable_peers.clone();
        let mut domain = self.view.domain.clone();
        domain.retain(|vm| !targets.contains(vm));
        targets.extend(self.pick_some(domain, COLD_PEERS));
        let others = self.view.others.clone();
        targets.extend(self.pick_some(others, 2));
        targets
    }

    fn round_target(&mut self) -> Vec<VmId> {
        let share = match self.kind {
            StorageKind::Diskless => FOREIGN_SHARE,
            StorageKind::Durable => FOREIGN_SHARE_DURABLE,
        };
        let foreign = self.random.next_u32().is_multiple_of(share);
        let outside = self.view.domain.is_empty() || (foreign && !self.view.others.is_empty());
        let targets = if outside { self.view.others.clone() } else { self.view.domain.clone() };
        self.pick_some(targets, 1)
    }

    /// Fetches the highest revision on offer, from one of those that offer it.
    fn fetch_next(&mut self, now: Instant, actions: &mut Vec<DisseminationAction>) {
        if self.fetching.is_some() {
            return;
        }
        let have = self.revision();
        self.offers.retain(|_, offered| *offered > have);
        if self.offers.is_empty() {
            self.foreign_since = None;
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
        if let Some(from) = self.pick_some(best, 1).pop() {
            self.fetching = Some(from.clone());
            actions.push(DisseminationAction::Fetch { from, have });
        }
    }

    /// Whether a daemon may take a configuration from `vm` now.
    ///
    /// A daemon without a disk forgets when it restarts. Had it taken a revision from outside that
    /// nothing in its domain keeps, and the domain were then cut off, the restart would come up
    /// with an older one: callers would see an accepted change undone. So it takes news from
    /// its domain, where the disk replica was first, and from outside only when that replica has
    /// not followed in [`ANCHOR_WAIT`]. After a restart it hears the disk replica out before it
    /// takes what others have.
    fn may_use(&self, now: Instant, vm: &VmId) -> bool {
        if self.kind == StorageKind::Durable || self.view.durable_peers.is_empty() {
            return true;
        }
        if self.revision() == 0 {
            return now >= self.cold_until || self.anchor_offers();
        }
        self.is_near(vm) || self.foreign_since.is_some_and(|since| now >= since + ANCHOR_WAIT)
    }

    fn anchor_offers(&self) -> bool {
        self.view.durable_peers.iter().any(|vm| self.offers.contains_key(vm))
    }

    fn is_near(&self, vm: &VmId) -> bool {
        self.view.domain.contains(vm) || self.view.durable_peers.contains(vm)
    }

    /// Up to `count` of `targets`, at random.
    fn pick_some(&mut self, mut targets: Vec<VmId>, count: usize) -> Vec<VmId> {
        let mut picked = Vec::new();
        while picked.len() < count && !targets.is_empty() {
            let index = self.random.next_u64() % targets.len() as u64;
            picked.push(targets.swap_remove(index as usize));
        }
        picked
    }

    fn chance_of(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }
}
