//! Watches backend servers: probes this daemon's share and passes findings to the dispatcher.

pub mod monitor_core;

use {
    self::monitor_core::{
        MonitorAction, MonitorCore, MonitorInput, MonitorPlan, MonitoredServer, PROBE_TIMEOUT,
        ProbeResult,
    },
    crate::{
        ids::{ServerId, VmId},
        inventory::{ActiveConfig, ServerKind},
        policy::{DomainDigest, PolicyInput, ServerHealth},
    },
    futures::future::BoxFuture,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until, timeout},
    },
};

/// Inputs that wait for the task: one probe for each of 870 servers and a digest from each daemon
/// of a domain. Beyond it digests are lost, and the next second brings others.
const QUEUE_LENGTH: usize = 1_024;

/// Asks a backend server how it is.
pub trait ServerProbe: Send + Sync {
    /// Probes once; gives up by itself or is dropped after [`PROBE_TIMEOUT`].
    fn probe(
        &self,
        server: ServerId,
        address: SocketAddr,
        kind: ServerKind,
    ) -> BoxFuture<'_, ProbeResult>;
}

/// A handle on the watch of one daemon; clones share it.
#[derive(Clone)]
pub struct ServerMonitor {
    core: Arc<Mutex<MonitorCore>>,
    inputs: mpsc::Sender<MonitorInput>,
}

impl ServerMonitor {
    /// Starts to watch; nothing is probed before the first [`Self::configure`]. Findings and loads
    /// go to `findings`. The watch ends when the last handle is dropped.
    pub fn start(probe: Arc<dyn ServerProbe>, findings: mpsc::Sender<PolicyInput>) -> Self {
        let core = Arc::new(Mutex::new(MonitorCore::new(Instant::now().into_std())));
        let (inputs, queue) = mpsc::channel(QUEUE_LENGTH);
        let task = WatchTask { core: core.clone(), results: inputs.downgrade(), probe, findings };
        tokio::spawn(task.run(queue));
        Self { core, inputs }
    }

    /// Watches what `config` lists, as the daemon on `vm`.
    pub async fn configure(&self, vm: &VmId, config: &ActiveConfig) {
        // Without a task there is nothing to watch for.
        let _ = self.inputs.send(MonitorInput::Configure(monitor_plan(vm, config))).await;
    }

    /// Takes the findings in a domain peer's digest.
    pub fn digest(&self, digest: &DomainDigest) {
        let findings = digest.findings.clone();
        let _ =
            self.inputs.try_send(MonitorInput::Digest { from: digest.daemon.clone(), findings });
    }

    /// Probes a server at once, because the platform's list tells of a change.
    pub fn hint(&self, server: ServerId) {
        let _ = self.inputs.try_send(MonitorInput::Hint { server });
    }

    /// Findings for this daemon's own digest.
    pub fn findings(&self) -> Vec<(ServerId, ServerHealth)> {
        lock(&self.core).findings(Instant::now().into_std())
    }
}

/// Who watches what under `config`, seen from the daemon on `vm`.
pub fn monitor_plan(vm: &VmId, config: &ActiveConfig) -> MonitorPlan {
    let register = &config.register;
    let own = register.vms.iter().find(|record| record.id == *vm);
    let failure_domain = own.map(|record| record.failure_domain.clone()).unwrap_or_default();
    let daemons = register.vms.iter().filter(|record| record.failure_domain == failure_domain);
    let servers = register.servers.iter().map(|record| {
        let watched = MonitoredServer {
            failure_domain: record.failure_domain.clone(),
            address: record.address,
            kind: record.kind,
        };
        (record.id.clone(), watched)
    });
    MonitorPlan {
        vm: vm.clone(),
        daemons: daemons.map(|record| record.id.clone()).collect(),
        servers: servers.collect(),
        failure_domain,
    }
}

struct WatchTask {
    core: Arc<Mutex<MonitorCore>>,
    results: mpsc::WeakSender<MonitorInput>,
    probe: Arc<dyn ServerProbe>,
    findings: mpsc::Sender<PolicyInput>,
}

impl WatchTask {
    async fn run(self, mut inputs: mpsc::Receiver<MonitorInput>) {
        loop {
            let wakeup = Instant::from_std(lock(&self.core).next_wakeup());
            let input = tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => input,
                    None => return,
                },
                () = sleep_until(wakeup) => MonitorInput::Wake,
            };
            let actions = lock(&self.core).handle(Instant::now().into_std(), input);
            for action in actions {
                match action {
                    MonitorAction::Probe { server, address, kind, number } => {
                        self.start_probe(server, address, kind, number);
                    }
                    MonitorAction::Notify(input) => {
                        if self.findings.send(input).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }

    fn start_probe(&self, server: ServerId, address: SocketAddr, kind: ServerKind, number: u64) {
        let Some(results) = self.results.upgrade() else { return };
        let probe = self.probe.clone();
        tokio::spawn(async move {
            let asked = timeout(PROBE_TIMEOUT, probe.probe(server.clone(), address, kind));
            let result = asked.await.unwrap_or(ProbeResult::NoAnswer);
            // The watch may have ended meanwhile.
            let _ = results.send(MonitorInput::Probed { server, number, result }).await;
        });
    }
}

fn lock(core: &Mutex<MonitorCore>) -> MutexGuard<'_, MonitorCore> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}
