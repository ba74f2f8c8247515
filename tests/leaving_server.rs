//! A leaving or unresponsive backend server gets no new work after three seconds.

use {
    futures::future::BoxFuture,
    oleandermount::{
        daemon::server_monitor::{ServerMonitor, ServerProbe, monitor_core::*, monitor_plan},
        ids::{ServerId, VmId},
        inventory::{ActiveConfig, ServerKind, ServerRecord, VmRecord},
        policy::{PolicyInput, ServerHealth},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

const ALIVE: ServerHealth = ServerHealth::Alive { incarnation: 1 };

fn config(daemons: &[&str], servers: &[(&str, &str)]) -> ActiveConfig {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut config = ActiveConfig::default();
    config.register.vms.extend(daemons.iter().map(|id| VmRecord {
        id: (*id).to_owned(),
        failure_domain: id[..1].to_owned(),
        peer_address: address,
        capacity: 1.0,
    }));
    config.register.servers.extend(servers.iter().map(|(id, domain)| ServerRecord {
        id: (*id).to_owned(),
        failure_domain: (*domain).to_owned(),
        address,
        kind: ServerKind::Engine,
        models: Vec::new(),
        service: None,
        slots: 1,
        software: String::new(),
        checks_fencing: false,
    }));
    config
}

/// Returns the results that the test has set; probes of servers without an entry never complete.
#[derive(Default)]
struct FakeProbe(Mutex<BTreeMap<ServerId, ProbeResult>>);

impl FakeProbe {
    fn set(&self, server: &str, result: ProbeResult) {
        self.0.lock().expect("the mutex is not poisoned").insert(server.to_owned(), result);
    }
}

impl ServerProbe for FakeProbe {
    fn probe(&self, server: ServerId, _: SocketAddr, _: ServerKind) -> BoxFuture<'_, ProbeResult> {
        let result = self.0.lock().expect("the mutex is not poisoned").get(&server).cloned();
        Box::pin(async move {
            match result {
                Some(result) => result,
                None => std::future::pending().await,
            }
        })
    }
}

fn alive_result(leaving: bool) -> ProbeResult {
    ProbeResult::Alive { incarnation: 1, leaving, report: None }
}

async fn next_health(findings: &mut mpsc::Receiver<PolicyInput>) -> ServerHealth {
    loop {
        match findings.recv().await.expect("the monitor runs") {
            PolicyInput::Health { health, .. } => return health,
            _ => continue,
        }
    }
}

/// A leaving, unresponsive or recovered server is reported in time for requests to be redirected
/// within three seconds of virtual time. The platform's list, which lags, is not needed.
#[tokio::test(start_paused = true)]
async fn leaving_and_unresponsive_servers_are_detected_in_time() {
    let probe = Arc::new(FakeProbe::default());
    probe.set("s", alive_result(false));
    let (sender, mut findings) = mpsc::channel(16);
    let monitor = ServerMonitor::start(probe.clone(), sender);
    monitor.configure(&"a1".to_owned(), &config(&["a1"], &[("s", "a")])).await;
    assert_eq!(next_health(&mut findings).await, ALIVE);
    for (result, expected) in [
        (Some(alive_result(true)), ServerHealth::Leaving),
        (Some(alive_result(false)), ALIVE),
        (None, ServerHealth::Dead),
        (Some(alive_result(false)), ALIVE),
        (Some(ProbeResult::NoAnswer), ServerHealth::Dead),
    ] {
        match result {
            Some(result) => probe.set("s", result),
            None => drop(probe.0.lock().expect("the mutex is not poisoned").remove("s")),
        }
        let since = tokio::time::Instant::now();
        assert_eq!(next_health(&mut findings).await, expected);
        assert!(
            since.elapsed() <= Duration::from_secs(2),
            "one second must be left for the digest"
        );
    }
    assert_eq!(monitor.findings(), [("s".to_owned(), ServerHealth::Dead)]);
}

fn health_of(actions: &[MonitorAction]) -> Vec<ServerHealth> {
    let health = |action: &MonitorAction| match action {
        MonitorAction::Notify(PolicyInput::Health { health, .. }) => Some(*health),
        _ => None,
    };
    actions.iter().filter_map(health).collect()
}

/// A daemon that does not probe a server itself learns its health from the digests of the server's
/// monitors. One of three that reports it as dead is not enough, since that daemon may have a bad
/// link; one that reports it as leaving is, since the server announced that itself.
#[test]
fn other_daemons_learn_from_monitors() {
    let start = Instant::now();
    let config = config(&["a1", "a2", "a3", "a4", "a5"], &[("s", "a")]);
    let daemons: BTreeSet<VmId> = config.register.vms.iter().map(|vm| vm.id.clone()).collect();
    let monitors = assigned_monitors("s", &daemons, LOCAL_MONITORS);
    let outsider =
        daemons.iter().find(|vm| !monitors.contains(vm)).expect("two daemons are not assigned");
    let mut core = MonitorCore::new(start);
    let actions = core.handle(start, MonitorInput::Configure(monitor_plan(outsider, &config)));
    assert!(actions.is_empty(), "the daemon probes no server");
    let mut report = |monitor: usize, health: Option<ServerHealth>| {
        let findings = health.map(|health| ("s".to_owned(), health)).into_iter().collect();
        let from = monitors[monitor].clone();
        health_of(&core.handle(start, MonitorInput::Digest { from, findings }))
    };
    assert!(report(0, None).is_empty() && report(1, None).is_empty() && report(2, None).is_empty());
    assert_eq!(report(0, Some(ServerHealth::Dead)), []);
    assert_eq!(report(1, Some(ServerHealth::Dead)), [ServerHealth::Dead]);
    assert_eq!(report(0, Some(ALIVE)), [ALIVE]);
    assert_eq!(report(2, Some(ServerHealth::Leaving)), [ServerHealth::Leaving]);
    // Digests expire: without valid ones the server counts as alive under an unknown incarnation.
    let late = core.handle(start + Duration::from_secs(1), MonitorInput::Wake);
    assert!(health_of(&late).is_empty());
    for second in 2..4 {
        let late = core.handle(start + Duration::from_secs(second), MonitorInput::Wake);
        let recovered = ServerHealth::Alive { incarnation: UNKNOWN_INCARNATION };
        assert_eq!(health_of(&late), if second == 3 { vec![recovered] } else { vec![] });
    }
}

/// Guards against a daemon that considers its servers dead because it was paused itself. The
/// process is paused with probes in progress and resumes half a minute later, when all of them have
/// timed out.
#[test]
fn paused_daemon_keeps_its_servers() {
    let start = Instant::now();
    let mut core = MonitorCore::new(start);
    let list = monitor_plan(&"a1".to_owned(), &config(&["a1"], &[("s", "a")]));
    let mut actions = core.handle(start, MonitorInput::Configure(list));
    for pause in 1..=10u32 {
        let resumed = start + Duration::from_secs(30) * pause;
        let MonitorAction::Probe { number, .. } = actions[0] else { panic!("a probe is due") };
        let result = ProbeResult::NoAnswer;
        let late = MonitorInput::Probed { server: "s".to_owned(), number, result };
        actions = core.handle(resumed, late);
        assert!(health_of(&actions).is_empty());
    }
}

#[test]
fn monitors_share_the_probes() {
    let names: Vec<String> = (0..54).map(|n| format!("a{n}")).collect();
    let servers: Vec<String> = (0..124).map(|n| format!("s{n}")).collect();
    let mut load: BTreeMap<&VmId, usize> = BTreeMap::new();
    for server in &servers {
        let monitors = assigned_monitors(server, &names, LOCAL_MONITORS);
        assert_eq!(monitors.len(), LOCAL_MONITORS);
        monitors.into_iter().for_each(|vm| *load.entry(vm).or_default() += 1);
    }
    let most = load.values().max().copied().unwrap_or_default();
    assert!(most <= 3 * 124 * LOCAL_MONITORS / 54, "one daemon monitors {most} of 124 servers");
}
