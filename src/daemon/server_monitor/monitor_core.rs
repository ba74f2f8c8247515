//! Decides which servers to probe, when, and what is held of each: without a network.
//!
//! Load pattern: 870 servers before 380 daemons. Were each daemon to probe each server twice a
//! second, a server would answer 760 probes a second. Instead three daemons of its own domain
//! watch it, one to three of each other domain look on, and the rest learn from their domain's
//! digests.

use {
    crate::{
        ids::{FailureDomainId, Incarnation, ServerId, VmId},
        inventory::ServerKind,
        policy::{LoadReport, PolicyInput, ServerHealth},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Daemons of a server's own domain that watch it: with one down and one late a third remains.
pub const LOCAL_MONITORS: usize = 3;
/// Servers of other domains that a daemon looks at, in the mean. Where the domain's daemons can
/// share them within this, as many look at each as at a near one; at the design size, with 746
/// servers to 54 daemons, it is one: requests cross domains seldom, and a failed attempt tells
/// the same.
const FAR_SHARE: usize = 16;
/// Between the starts of two probes of a server of the own domain.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(500);
/// Between the starts of two probes of a server of another domain.
const FAR_INTERVAL: Duration = Duration::from_secs(1);
/// A probe without an answer for so long is a miss.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Misses in a row that make a server of the own domain dead: three probes and one interval are
/// 2 s, which leaves a second of the three for the digest.
const NEAR_MISSES: u32 = 3;
/// The same for a server of another domain.
const FAR_MISSES: u32 = 2;
/// A digest counts for so long: three of them may be lost at one a second.
const DIGEST_LIFE: Duration = Duration::from_secs(3);
/// How long a return or a new incarnation is told in digests.
const NEWS_LIFE: Duration = Duration::from_secs(10);
/// Findings told in one digest at most, the unhealthy first.
const MOST_FINDINGS: usize = 64;
/// A daemon that did not run for so long was paused, not its servers.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);
/// The life of a server that is back and that this daemon has not spoken to: nothing is expected
/// of its cache.
pub const UNKNOWN_INCARNATION: Incarnation = 0;

/// A backend server to be watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonitoredServer {
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Where it answers.
    pub address: SocketAddr,
    /// What it does.
    pub kind: ServerKind,
}

/// Who watches what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MonitorPlan {
    /// This daemon's VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// All daemons of the domain, this one included.
    pub daemons: BTreeSet<VmId>,
    /// All backend servers, of all domains.
    pub servers: BTreeMap<ServerId, MonitoredServer>,
}

/// What a probe found.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeResult {
    /// The server answered.
    Alive {
        /// Its present life.
        incarnation: Incarnation,
        /// Whether it says that it is leaving.
        leaving: bool,
        /// Its load, if it reports one.
        report: Option<LoadReport>,
    },
    /// It did not answer in time, or refused the connection.
    NoAnswer,
}

/// What can happen.
#[derive(Clone, Debug)]
pub enum MonitorInput {
    /// The register changed.
    Configure(MonitorPlan),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// The number that [`MonitorAction::Probe`] gave.
        number: u64,
        /// What it found.
        result: ProbeResult,
    },
    /// A daemon of the domain tells its findings.
    Digest {
        /// The daemon.
        from: VmId,
        /// Its findings.
        findings: Vec<(ServerId, ServerHealth)>,
    },
    /// The platform's list says that something changed about a server. The list lags, so this
    /// only hastens the next probe.
    Hint {
        /// The server.
        server: ServerId,
    },
    /// Time passed.
    Wake,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum MonitorAction {
    /// Probe a server; exactly one `Probed` with the same number follows.
    Probe {
        /// The server.
        server: ServerId,
        /// Where it answers.
        address: SocketAddr,
        /// What it does.
        kind: ServerKind,
        /// Tells this probe from others.
        number: u64,
    },
    /// Tell the dispatcher.
    Notify(PolicyInput),
}

/// What this daemon's own probes found of one server.
struct ServerWatch {
    next_probe: Instant,
    /// The probe under way; one at a time.
    probing: Option<u64>,
    /// Misses in a row.
    misses: u32,
    /// The last finding; `None` before the first.
    finding: Option<ServerHealth>,
    /// When `finding` last changed.
    changed: Instant,
}

/// What one daemon of the domain told last.
struct HeardDigest {
    at: Instant,
    /// At most [`MOST_FINDINGS`].
    findings: BTreeMap<ServerId, ServerHealth>,
}

/// The state of one daemon's watch.
pub struct MonitorCore {
    list: MonitorPlan,
    /// How many daemons of this domain watch a server of another; follows `list`.
    far_watchers: usize,
    /// The servers that this daemon probes itself.
    watches: BTreeMap<ServerId, ServerWatch>,
    /// At most one for each daemon of the domain.
    heard: BTreeMap<VmId, HeardDigest>,
    /// What the dispatcher was told last; no entry means it takes the server for alive.
    told: BTreeMap<ServerId, ServerHealth>,
    next_number: u64,
    last_input: Instant,
    next_review: Instant,
}

/// The daemons of one domain that watch `server`: those whose hash with it is highest, so that
/// all daemons name the same ones without a message, and a daemon that leaves moves only its own.
pub fn assigned_monitors<'a>(
    server: &str,
    daemons: impl IntoIterator<Item = &'a VmId>,
    count: usize,
) -> Vec<&'a VmId> {
    let seed = xxh3_64_with_seed(server.as_bytes(), 0);
    let mut ranked: Vec<(u64, &VmId)> =
        daemons.into_iter().map(|vm| (xxh3_64_with_seed(vm.as_bytes(), seed), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, vm)| vm).collect()
}

impl MonitorPlan {
    fn is_near(&self, watched: &MonitoredServer) -> bool {
        watched.failure_domain == self.failure_domain
    }

    /// How many daemons of this domain watch each server of another.
    fn far_watchers(&self) -> usize {
        let far = self.servers.values().filter(|other| !self.is_near(other)).count();
        (self.daemons.len() * FAR_SHARE / far.max(1)).clamp(1, LOCAL_MONITORS)
    }
}

impl MonitorCore {
    /// A watch without servers.
    pub fn new(now: Instant) -> Self {
        Self {
            list: MonitorPlan::default(),
            far_watchers: LOCAL_MONITORS,
            watches: BTreeMap::new(),
            heard: BTreeMap::new(),
            told: BTreeMap::new(),
            next_number: 0,
            last_input: now,
            next_review: now + LOCAL_INTERVAL,
        }
    }

    /// When `Wake` is wanted next.
    pub fn next_wakeup(&self) -> Instant {
        let idle = self.watches.values().filter(|watch| watch.probing.is_none());
        idle.map(|watch| watch.next_probe).fold(self.next_review, Instant::min)
    }

    /// This daemon's findings for its next digest: the unhealthy, then returns and new lives.
    pub fn findings(&self, now: Instant) -> Vec<(ServerId, ServerHealth)> {
        let found = self.watches.iter().filter_map(|(server, watch)| {
            let health = watch.finding?;
            let alive = matches!(health, ServerHealth::Alive { .. });
            let told = !alive || now.saturating_duration_since(watch.changed) < NEWS_LIFE;
            told.then(|| (alive, server.clone(), health))
        });
        let mut found: Vec<_> = found.collect();
        found.sort_by_key(|(alive, ..)| *alive);
        found.into_iter().take(MOST_FINDINGS).map(|(_, server, health)| (server, health)).collect()
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Instant, input: MonitorInput) -> Vec<MonitorAction> {
        self.forget_pause(now);
        let mut actions = Vec::new();
        match input {
            MonitorInput::Configure(list) => self.configure(now, list),
            MonitorInput::Probed { server, number, result } => {
                self.take_probe(now, &server, number, result, &mut actions);
                self.review(now, &server, &mut actions);
            }
            MonitorInput::Digest { from, findings } => {
                self.take_digest(now, from, findings, &mut actions);
            }
            MonitorInput::Hint { server } => {
                if let Some(watch) = self.watches.get_mut(&server) {
                    watch.next_probe = now;
                }
            }
            MonitorInput::Wake => {}
        }
        if now >= self.next_review {
            self.next_review = now + LOCAL_INTERVAL;
            for server in self.told.keys().cloned().collect::<Vec<_>>() {
                self.review(now, &server, &mut actions);
            }
        }
        self.start_probes(now, &mut actions);
        actions
    }

    /// After a pause every probe under way has run out of time, although the servers answered;
    /// taken as misses they would make this daemon drop all its servers at once. So probes from
    /// before the pause no longer count, nor do earlier misses or digests.
    fn forget_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_input) >= PAUSE_LIMIT;
        self.last_input = now;
        if paused {
            self.heard.clear();
            for watch in self.watches.values_mut() {
                watch.misses = 0;
                watch.probing = None;
                watch.next_probe = now;
            }
        }
    }

    fn configure(&mut self, now: Instant, list: MonitorPlan) {
        let far_watchers = list.far_watchers();
        let mine = |server: &ServerId, watched: &MonitoredServer| {
            let count = if list.is_near(watched) { LOCAL_MONITORS } else { far_watchers };
            assigned_monitors(server, &list.daemons, count).contains(&&list.vm)
        };
        let moved = |server: &ServerId| self.list.servers.get(server) != list.servers.get(server);
        self.watches.retain(|server, _| {
            !moved(server) && list.servers.get(server).is_some_and(|watched| mine(server, watched))
        });
        for (server, watched) in &list.servers {
            if mine(server, watched) && !self.watches.contains_key(server) {
                let watch = ServerWatch {
                    next_probe: now,
                    probing: None,
                    misses: 0,
                    finding: None,
                    changed: now,
                };
                self.watches.insert(server.clone(), watch);
            }
        }
        self.told.retain(|server, _| list.servers.contains_key(server));
        self.heard.retain(|vm, _| list.daemons.contains(vm));
        self.far_watchers = far_watchers;
        self.list = list;
    }

    fn take_probe(
        &mut self,
        now: Instant,
        server: &ServerId,
        number: u64,
        result: ProbeResult,
        actions: &mut Vec<MonitorAction>,
    ) {
        let near = self.is_near(server);
        let Some(watch) = self.watches.get_mut(server) else { return };
        // An answer to a probe that no longer counts may tell of a former life.
        if watch.probing != Some(number) {
            return;
        }
        watch.probing = None;
        let finding = match result {
            ProbeResult::Alive { incarnation, leaving, report } => {
                watch.misses = 0;
                let report = report.map(PolicyInput::Load);
                actions.extend(report.map(MonitorAction::Notify));
                match leaving {
                    true => Some(ServerHealth::Leaving),
                    false => Some(ServerHealth::Alive { incarnation }),
                }
            }
            ProbeResult::NoAnswer => {
                watch.misses = watch.misses.saturating_add(1);
                let limit = if near { NEAR_MISSES } else { FAR_MISSES };
                if watch.misses >= limit { Some(ServerHealth::Dead) } else { watch.finding }
            }
        };
        if watch.finding != finding {
            watch.finding = finding;
            watch.changed = now;
        }
    }

    fn take_digest(
        &mut self,
        now: Instant,
        from: VmId,
        findings: Vec<(ServerId, ServerHealth)>,
        actions: &mut Vec<MonitorAction>,
    ) {
        if !self.list.daemons.contains(&from) || from == self.list.vm {
            return;
        }
        let findings = findings.into_iter().take(MOST_FINDINGS).collect();
        let former = self.heard.insert(from.clone(), HeardDigest { at: now, findings });
        let mut touched: BTreeSet<ServerId> =
            former.into_iter().flat_map(|digest| digest.findings.into_keys()).collect();
        touched.extend(self.heard[&from].findings.keys().cloned());
        for server in touched {
            self.review(now, &server, actions);
        }
    }

    /// Tells the dispatcher when what is held of a server changed.
    fn review(&mut self, now: Instant, server: &ServerId, actions: &mut Vec<MonitorAction>) {
        if !self.list.servers.contains_key(server) {
            return;
        }
        let own = self.watches.get(server).and_then(|watch| watch.finding);
        let health = match own.or_else(|| self.heard_health(now, server)) {
            Some(health) => health,
            // Nobody calls it unhealthy any more: it is back, in a life not known here.
            None => match self.told.get(server) {
                Some(ServerHealth::Dead | ServerHealth::Leaving) => {
                    ServerHealth::Alive { incarnation: UNKNOWN_INCARNATION }
                }
                Some(ServerHealth::Alive { .. } | ServerHealth::Reserved { .. }) | None => return,
            },
        };
        if self.told.insert(server.clone(), health) != Some(health) {
            let server = server.clone();
            actions.push(MonitorAction::Notify(PolicyInput::Health { server, health }));
        }
    }

    /// What the server's watchers in this domain tell. One that calls it leaving is enough, for
    /// the server said so itself; dead it is when half of the watchers heard say so, since a
    /// single daemon on a bad line would otherwise take servers from the whole domain.
    fn heard_health(&self, now: Instant, server: &ServerId) -> Option<ServerHealth> {
        if !self.heard.values().any(|digest| digest.findings.contains_key(server)) {
            return None;
        }
        let count = if self.is_near(server) { LOCAL_MONITORS } else { self.far_watchers };
        let told: Vec<Option<ServerHealth>> = assigned_monitors(server, &self.list.daemons, count)
            .into_iter()
            .filter_map(|vm| self.heard.get(vm))
            .filter(|digest| now.saturating_duration_since(digest.at) < DIGEST_LIFE)
            .map(|digest| digest.findings.get(server).copied())
            .collect();
        if told.contains(&Some(ServerHealth::Leaving)) {
            return Some(ServerHealth::Leaving);
        }
        let dead = told.iter().filter(|health| **health == Some(ServerHealth::Dead)).count();
        if dead > 0 && dead * 2 >= told.len() {
            return Some(ServerHealth::Dead);
        }
        told.into_iter().flatten().filter(|health| *health != ServerHealth::Dead).max()
    }

    fn start_probes(&mut self, now: Instant, actions: &mut Vec<MonitorAction>) {
        for (server, watch) in &mut self.watches {
            if watch.probing.is_some() || now < watch.next_probe {
                continue;
            }
            let watched = &self.list.servers[server];
            let near = self.list.is_near(watched);
            self.next_number += 1;
            watch.probing = Some(self.next_number);
            watch.next_probe = now + if near { LOCAL_INTERVAL } else { FAR_INTERVAL };
            actions.push(MonitorAction::Probe {
                server: server.clone(),
                address: watched.address,
                kind: watched.kind,
                number: self.next_number,
            });
        }
    }

    fn is_near(&self, server: &ServerId) -> bool {
        let watched = self.list.servers.get(server);
        watched.is_some_and(|watched| self.list.is_near(watched))
    }
}
