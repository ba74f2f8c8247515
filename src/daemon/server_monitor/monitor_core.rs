//! Decides which servers to probe, when, and which health to report of each; does no I/O.
//!
//! Load pattern: 870 servers and 380 daemons. If each daemon probed each server twice a second, a
//! server would answer 760 probes a second. Instead three daemons of its own failure domain and one
//! to three daemons of each other domain probe it, and the other daemons receive the result in the
//! digests of their domain.

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

/// The number of daemons that probe a server of their own domain. If one of them is down and
/// another is delayed, the third still reports.
pub const LOCAL_MONITORS: usize = 3;
/// The number of servers of other domains that a daemon probes on average. In a small deployment a
/// remote server thereby gets as many monitors as a local one. At the design size, with 746 remote
/// servers and 54 daemons, it yields one monitor each, which suffices: requests rarely cross
/// domains, and a failed attempt gives the same information.
const REMOTE_SHARE: usize = 16;
/// The interval between the starts of two probes of a server of the own domain.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between the starts of two probes of a server of another domain.
const REMOTE_INTERVAL: Duration = Duration::from_secs(1);
/// A probe that is not answered within this time has failed.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failures after which a server of the own domain counts as dead. Three probes and one
/// interval take 2 s, which leaves one second for the digest until the limit of three seconds.
const LOCAL_FAILURES: u32 = 3;
/// Consecutive failures after which a server of another domain counts as dead.
const REMOTE_FAILURES: u32 = 2;
/// How long a digest is valid. Each daemon sends one a second, so up to three may be lost.
const DIGEST_VALIDITY: Duration = Duration::from_secs(3);
/// How long digests include a server that has recovered or has a new incarnation.
const RECOVERY_REPORT_TIME: Duration = Duration::from_secs(10);
/// The maximum number of findings in one digest; the unhealthy servers come first.
const MAX_FINDINGS: usize = 64;
/// A daemon that did not run for this long was paused itself; its failed probes say nothing about
/// the servers.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// The incarnation of a server that is alive again and that this daemon has not probed: its cache
/// is assumed to be empty.
pub const UNKNOWN_INCARNATION: Incarnation = 0;

/// A backend server to be monitored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonitoredServer {
    /// The failure domain of the server.
    pub failure_domain: FailureDomainId,
    /// The address that it is probed at.
    pub address: SocketAddr,
    /// Whether it is an engine or a service.
    pub kind: ServerKind,
}

/// The servers to monitor and the daemons that share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MonitorPlan {
    /// The VM of this daemon.
    pub vm: VmId,
    /// The failure domain of this daemon.
    pub failure_domain: FailureDomainId,
    /// All daemons of the domain, this one included.
    pub daemons: BTreeSet<VmId>,
    /// All backend servers, of all domains.
    pub servers: BTreeMap<ServerId, MonitoredServer>,
}

/// The result of a probe.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeResult {
    /// The server answered.
    Alive {
        /// Its present incarnation.
        incarnation: Incarnation,
        /// Whether it announced that it is shutting down.
        leaving: bool,
        /// Its load report; `None` if it sends none.
        report: Option<LoadReport>,
    },
    /// The server did not answer in time, or refused the connection.
    NoAnswer,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum MonitorInput {
    /// The register changed.
    Configure(MonitorPlan),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// The number from [`MonitorAction::Probe`].
        number: u64,
        /// The result of the probe.
        result: ProbeResult,
    },
    /// A daemon of the domain reported its findings.
    Digest {
        /// The daemon.
        from: VmId,
        /// Its findings.
        findings: Vec<(ServerId, ServerHealth)>,
    },
    /// The platform's list shows a change of a server. The list lags, so this only triggers the
    /// next probe earlier.
    Hint {
        /// The server.
        server: ServerId,
    },
    /// The time of [`MonitorCore::next_wakeup`] has come.
    Wake,
}

/// An action that the core requests.
#[derive(Clone, Debug)]
pub enum MonitorAction {
    /// Probe a server; exactly one `Probed` with the same number follows.
    Probe {
        /// The server.
        server: ServerId,
        /// The address of the server.
        address: SocketAddr,
        /// Whether it is an engine or a service.
        kind: ServerKind,
        /// Identifies this probe.
        number: u64,
    },
    /// Notify the dispatcher.
    Notify(PolicyInput),
}

/// The state of this daemon's own probes of one server.
struct ProbeState {
    next_probe: Instant,
    /// The number of the probe in progress; there is one at a time.
    probing: Option<u64>,
    /// Consecutive failed probes.
    failures: u32,
    /// The health that the probes show; `None` before the first result.
    finding: Option<ServerHealth>,
    /// The time of the last change of `finding`.
    changed: Instant,
}

/// The last digest of one daemon of the domain.
struct PeerDigest {
    at: Instant,
    /// At most [`MAX_FINDINGS`].
    findings: BTreeMap<ServerId, ServerHealth>,
}

/// The state of the monitor at one daemon.
pub struct MonitorCore {
    plan: MonitorPlan,
    /// The number of daemons of this domain that probe each server of another; derived from `plan`.
    remote_monitors: usize,
    /// The servers that this daemon probes itself.
    probes: BTreeMap<ServerId, ProbeState>,
    /// At most one for each daemon of the domain.
    digests: BTreeMap<VmId, PeerDigest>,
    /// The health last reported to the dispatcher; it considers a server without an entry alive.
    reported: BTreeMap<ServerId, ServerHealth>,
    next_number: u64,
    last_input: Instant,
    next_review: Instant,
}

/// The `count` daemons of one domain that probe `server`, by rendezvous hashing: all daemons
/// compute the same ones without communication, and when a daemon is removed only its servers are
/// reassigned.
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
    fn is_local(&self, monitored: &MonitoredServer) -> bool {
        monitored.failure_domain == self.failure_domain
    }

    /// The number of daemons of this domain that probe each server of another.
    fn remote_monitors(&self) -> usize {
        let remote = self.servers.values().filter(|other| !self.is_local(other)).count();
        (self.daemons.len() * REMOTE_SHARE / remote.max(1)).clamp(1, LOCAL_MONITORS)
    }
}

impl MonitorCore {
    /// A monitor without servers.
    pub fn new(now: Instant) -> Self {
        Self {
            plan: MonitorPlan::default(),
            remote_monitors: LOCAL_MONITORS,
            probes: BTreeMap::new(),
            digests: BTreeMap::new(),
            reported: BTreeMap::new(),
            next_number: 0,
            last_input: now,
            next_review: now + LOCAL_INTERVAL,
        }
    }

    /// The time at which the next `Wake` is due.
    pub fn next_wakeup(&self) -> Instant {
        let idle = self.probes.values().filter(|probe| probe.probing.is_none());
        idle.map(|probe| probe.next_probe).fold(self.next_review, Instant::min)
    }

    /// This daemon's findings for its next digest: first unhealthy servers, then those that
    /// recovered or have a new incarnation.
    pub fn findings(&self, now: Instant) -> Vec<(ServerId, ServerHealth)> {
        let found = self.probes.iter().filter_map(|(server, probe)| {
            let health = probe.finding?;
            let alive = matches!(health, ServerHealth::Alive { .. });
            let is_included =
                !alive || now.saturating_duration_since(probe.changed) < RECOVERY_REPORT_TIME;
            is_included.then(|| (alive, server.clone(), health))
        });
        let mut found: Vec<_> = found.collect();
        found.sort_by_key(|(alive, ..)| *alive);
        found.into_iter().take(MAX_FINDINGS).map(|(_, server, health)| (server, health)).collect()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, input: MonitorInput) -> Vec<MonitorAction> {
        self.reset_after_pause(now);
        let mut actions = Vec::new();
        match input {
            MonitorInput::Configure(plan) => self.configure(now, plan),
            MonitorInput::Probed { server, number, result } => {
                self.handle_result(now, &server, number, result, &mut actions);
                self.review(now, &server, &mut actions);
            }
            MonitorInput::Digest { from, findings } => {
                self.handle_digest(now, from, findings, &mut actions);
            }
            MonitorInput::Hint { server } => {
                if let Some(probe) = self.probes.get_mut(&server) {
                    probe.next_probe = now;
                }
            }
            MonitorInput::Wake => {}
        }
        if now >= self.next_review {
            self.next_review = now + LOCAL_INTERVAL;
            for server in self.reported.keys().cloned().collect::<Vec<_>>() {
                self.review(now, &server, &mut actions);
            }
        }
        self.start_probes(now, &mut actions);
        actions
    }

    /// Discards probes in progress, earlier failures and digests after a pause of this process. All
    /// probes in progress have timed out by then, although the servers answered; counted as
    /// failures they would make this daemon drop all its servers at the same time.
    fn reset_after_pause(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_input) >= PAUSE_THRESHOLD;
        self.last_input = now;
        if paused {
            self.digests.clear();
            for probe in self.probes.values_mut() {
                probe.failures = 0;
                probe.probing = None;
                probe.next_probe = now;
            }
        }
    }

    fn configure(&mut self, now: Instant, plan: MonitorPlan) {
        let remote_monitors = plan.remote_monitors();
        let is_assigned = |server: &ServerId, monitored: &MonitoredServer| {
            let count = if plan.is_local(monitored) { LOCAL_MONITORS } else { remote_monitors };
            assigned_monitors(server, &plan.daemons, count).contains(&&plan.vm)
        };
        let has_changed =
            |server: &ServerId| self.plan.servers.get(server) != plan.servers.get(server);
        self.probes.retain(|server, _| {
            !has_changed(server)
                && plan.servers.get(server).is_some_and(|monitored| is_assigned(server, monitored))
        });
        for (server, monitored) in &plan.servers {
            if is_assigned(server, monitored) && !self.probes.contains_key(server) {
                let probe = ProbeState {
                    next_probe: now,
                    probing: None,
                    failures: 0,
                    finding: None,
                    changed: now,
                };
                self.probes.insert(server.clone(), probe);
            }
        }
        self.reported.retain(|server, _| plan.servers.contains_key(server));
        self.digests.retain(|vm, _| plan.daemons.contains(vm));
        self.remote_monitors = remote_monitors;
        self.plan = plan;
    }

    fn handle_result(
        &mut self,
        now: Instant,
        server: &ServerId,
        number: u64,
        result: ProbeResult,
        actions: &mut Vec<MonitorAction>,
    ) {
        let is_local = self.is_local(server);
        let Some(probe) = self.probes.get_mut(server) else { return };
        // The result of a discarded probe may belong to an earlier incarnation of the server.
        if probe.probing != Some(number) {
            return;
        }
        probe.probing = None;
        let finding = match result {
            ProbeResult::Alive { incarnation, leaving, report } => {
                probe.failures = 0;
                let report = report.map(PolicyInput::Load);
                actions.extend(report.map(MonitorAction::Notify));
                match leaving {
                    true => Some(ServerHealth::Leaving),
                    false => Some(ServerHealth::Alive { incarnation }),
                }
            }
            ProbeResult::NoAnswer => {
                probe.failures = probe.failures.saturating_add(1);
                let limit = if is_local { LOCAL_FAILURES } else { REMOTE_FAILURES };
                if probe.failures >= limit { Some(ServerHealth::Dead) } else { probe.finding }
            }
        };
        if probe.finding != finding {
            probe.finding = finding;
            probe.changed = now;
        }
    }

    fn handle_digest(
        &mut self,
        now: Instant,
        from: VmId,
        findings: Vec<(ServerId, ServerHealth)>,
        actions: &mut Vec<MonitorAction>,
    ) {
        if !self.plan.daemons.contains(&from) || from == self.plan.vm {
            return;
        }
        let findings = findings.into_iter().take(MAX_FINDINGS).collect();
        let former = self.digests.insert(from.clone(), PeerDigest { at: now, findings });
        let mut affected: BTreeSet<ServerId> =
            former.into_iter().flat_map(|digest| digest.findings.into_keys()).collect();
        affected.extend(self.digests[&from].findings.keys().cloned());
        for server in affected {
            self.review(now, &server, actions);
        }
    }

    /// Notifies the dispatcher if the known health of a server has changed.
    fn review(&mut self, now: Instant, server: &ServerId, actions: &mut Vec<MonitorAction>) {
        if !self.plan.servers.contains_key(server) {
            return;
        }
        let own = self.probes.get(server).and_then(|probe| probe.finding);
        let health = match own.or_else(|| self.digest_health(now, server)) {
            Some(health) => health,
            // No monitor reports it as unhealthy any more: it is alive under an unknown
            // incarnation.
            None => match self.reported.get(server) {
                Some(ServerHealth::Dead | ServerHealth::Leaving) => {
                    ServerHealth::Alive { incarnation: UNKNOWN_INCARNATION }
                }
                Some(ServerHealth::Alive { .. } | ServerHealth::Reserved { .. }) | None => return,
            },
        };
        if self.reported.insert(server.clone(), health) != Some(health) {
            let server = server.clone();
            actions.push(MonitorAction::Notify(PolicyInput::Health { server, health }));
        }
    }

    /// The health of a server according to the digests of its monitors in this domain. One monitor
    /// that reports it as leaving is enough, since the server announced that itself. It counts as
    /// dead when at least half of the monitors with a valid digest report so; otherwise a single
    /// daemon with a bad link would take servers from the whole domain.
    fn digest_health(&self, now: Instant, server: &ServerId) -> Option<ServerHealth> {
        if !self.digests.values().any(|digest| digest.findings.contains_key(server)) {
            return None;
        }
        let count = if self.is_local(server) { LOCAL_MONITORS } else { self.remote_monitors };
        let findings: Vec<Option<ServerHealth>> =
            assigned_monitors(server, &self.plan.daemons, count)
                .into_iter()
                .filter_map(|vm| self.digests.get(vm))
                .filter(|digest| now.saturating_duration_since(digest.at) < DIGEST_VALIDITY)
                .map(|digest| digest.findings.get(server).copied())
                .collect();
        if findings.contains(&Some(ServerHealth::Leaving)) {
            return Some(ServerHealth::Leaving);
        }
        let dead = findings.iter().filter(|health| **health == Some(ServerHealth::Dead)).count();
        if dead > 0 && dead * 2 >= findings.len() {
            return Some(ServerHealth::Dead);
        }
        findings.into_iter().flatten().filter(|health| *health != ServerHealth::Dead).max()
    }

    fn start_probes(&mut self, now: Instant, actions: &mut Vec<MonitorAction>) {
        for (server, probe) in &mut self.probes {
            if probe.probing.is_some() || now < probe.next_probe {
                continue;
            }
            let monitored = &self.plan.servers[server];
            let is_local = self.plan.is_local(monitored);
            self.next_number += 1;
            probe.probing = Some(self.next_number);
            probe.next_probe = now + if is_local { LOCAL_INTERVAL } else { REMOTE_INTERVAL };
            actions.push(MonitorAction::Probe {
                server: server.clone(),
                address: monitored.address,
                kind: monitored.kind,
                number: self.next_number,
            });
        }
    }

    fn is_local(&self, server: &ServerId) -> bool {
        let monitored = self.plan.servers.get(server);
        monitored.is_some_and(|monitored| self.plan.is_local(monitored))
    }
}
