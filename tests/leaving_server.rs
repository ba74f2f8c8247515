//! A leaving or dead backend server gets no new work after three seconds.

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
        checks_fencing: false,
    }));
    config
}

/// Answers as the test last set it; servers without an entry stay silent.
#[derive(Default)]
struct FakeProbe(Mutex<BTreeMap<ServerId, ProbeResult>>);

impl FakeProbe {
    fn set(&self, server: &str, result: ProbeResult) {
        self.0.lock().expect("no test panics inside").insert(server.to_owned(), result);
    }
}

impl ServerProbe for FakeProbe {
    fn probe(&self, server: ServerId, _: SocketAddr, _: ServerKind) -> BoxFuture<'_, ProbeResult> {
        let result = self.0.lock().expect("no test panics inside").get(&server).cloned();
        Box::pin(async move {
            match result {
                Some(result) => result,
                None => std::future::pending().await,
            }
        })
    }
}

fn answer(leaving: bool) -> ProbeResult {
    ProbeResult::Alive { incarnation: 1, leaving, report: None }
}

async fn next_health(findings: &mut mpsc::Receiver<PolicyInput>) -> ServerHealth {
    loop {
        match findings.recv().await.expect("the watch runs") {
            PolicyInput::Health { health, .. } => return health,
            _ => continue,
        }
    }
}

/// Callers' requests stop going to a server within three seconds of virtual time, whether it says
/// that it leaves or falls silent, and go there again once it is back. The platform's list, which
/// lags, is not needed.
#[tokio::test(start_paused = true)]
async fn leaving_and_silent_servers_are_found_in_time() {
    let probe = Arc::new(FakeProbe::default());
    probe.set("s", answer(false));
    let (sender, mut findings) = mpsc::channel(16);
    let watch = ServerMonitor::start(probe.clone(), sender);
    watch.configure(&"a1".to_owned(), &config(&["a1"], &[("s", "a")])).await;
    assert_eq!(next_health(&mut findings).await, ALIVE);
    for (result, expected) in [
        (Some(answer(true)), ServerHealth::Leaving),
        (Some(answer(false)), ALIVE),
        (None, ServerHealth::Dead),
        (Some(answer(false)), ALIVE),
        (Some(ProbeResult::NoAnswer), ServerHealth::Dead),
    ] {
        match result {
            Some(result) => probe.set("s", result),
            None => drop(probe.0.lock().expect("no test panics inside").remove("s")),
        }
        let since = tokio::time::Instant::now();
        assert_eq!(next_health(&mut findings).await, expected);
        assert!(since.elapsed() <= Duration::from_secs(2), "a second is left for the digest");
    }
    assert_eq!(watch.findings(), [("s".to_owned(), ServerHealth::Dead)]);
}

fn health_of(actions: &[MonitorAction]) -> Vec<ServerHealth> {
    let health = |action: &MonitorAction| match action {
        MonitorAction::Notify(PolicyInput::Health { health, .. }) => Some(*health),
        _ => None,
    };
    actions.iter().filter_map(health).collect()
}

/// A daemon that does not watch a server itself stops sending work to it as soon as its watchers
/// tell. One of three calling it dead may have a bad line and is not enough; one calling it
/// leaving repeats the server's own words.
#[test]
fn others_learn_from_the_watchers() {
    let start = Instant::now();
    let config = config(&["a1", "a2", "a3", "a4", "a5"], &[("s", "a")]);
    let daemons: BTreeSet<VmId> = config.register.vms.iter().map(|vm| vm.id.clone()).collect();
    let watching = assigned_monitors("s", &daemons, LOCAL_MONITORS);
    let outsider = daemons.iter().find(|vm| !watching.contains(vm)).expect("two do not watch");
    let mut core = MonitorCore::new(start);
    let actions = core.handle(start, MonitorInput::Configure(monitor_plan(outsider, &config)));
    assert!(actions.is_empty(), "it probes nothing");
    let mut tell = |watcher: usize, health: Option<ServerHealth>| {
        let findings = health.map(|health| ("s".to_owned(), health)).into_iter().collect();
        let from = watching[watcher].clone();
        health_of(&core.handle(start, MonitorInput::Digest { from, findings }))
    };
    assert!(tell(0, None).is_empty() && tell(1, None).is_empty() && tell(2, None).is_empty());
    assert_eq!(tell(0, Some(ServerHealth::Dead)), []);
    assert_eq!(tell(1, Some(ServerHealth::Dead)), [ServerHealth::Dead]);
    assert_eq!(tell(0, Some(ALIVE)), [ALIVE]);
    assert_eq!(tell(2, Some(ServerHealth::Leaving)), [ServerHealth::Leaving]);
    // Watchers that fall silent no longer count: the server is taken for back, its life unknown.
    let late = core.handle(start + Duration::from_secs(1), MonitorInput::Wake);
    assert!(health_of(&late).is_empty());
    for second in 2..4 {
        let late = core.handle(start + Duration::from_secs(second), MonitorInput::Wake);
        let back = ServerHealth::Alive { incarnation: UNKNOWN_INCARNATION };
        assert_eq!(health_of(&late), if second == 3 { vec![back] } else { vec![] });
    }
}

/// Callers lose no server because their daemon was frozen. The daemon stops with probes under way,
/// wakes half a minute later, and finds all of them out of time at once; they count for nothing.
#[test]
fn own_pause_makes_no_server_dead() {
    let start = Instant::now();
    let mut core = MonitorCore::new(start);
    let list = monitor_plan(&"a1".to_owned(), &config(&["a1"], &[("s", "a")]));
    let mut actions = core.handle(start, MonitorInput::Configure(list));
    for pause in 1..=10u32 {
        let woken = start + Duration::from_secs(30) * pause;
        let MonitorAction::Probe { number, .. } = actions[0] else { panic!("it probes") };
        let result = ProbeResult::NoAnswer;
        let late = MonitorInput::Probed { server: "s".to_owned(), number, result };
        actions = core.handle(woken, late);
        assert!(health_of(&actions).is_empty());
    }
}

#[test]
fn each_server_has_its_watchers_and_the_load_is_shared() {
    let names: Vec<String> = (0..54).map(|n| format!("a{n}")).collect();
    let servers: Vec<String> = (0..124).map(|n| format!("s{n}")).collect();
    let mut load: BTreeMap<&VmId, usize> = BTreeMap::new();
    for server in &servers {
        let watching = assigned_monitors(server, &names, LOCAL_MONITORS);
        assert_eq!(watching.len(), LOCAL_MONITORS);
        watching.into_iter().for_each(|vm| *load.entry(vm).or_default() += 1);
    }
    let most = load.values().max().copied().unwrap_or_default();
    assert!(most <= 3 * 124 * LOCAL_MONITORS / 54, "{most} of 124 servers at one daemon");
}
