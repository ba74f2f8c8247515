//! Monitors the health of backend servers: probes this daemon's share of them and reports the
//! findings to the dispatcher.

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

/// The length of the input queue: one probe for each of 870 servers and a digest from each daemon
/// of a domain. Digests that find it full are dropped; each daemon sends another one every second.
const QUEUE_LENGTH: usize = 1_024;

/// Health checks of backend servers.
pub trait ServerProbe: Send + Sync {
    /// Probes a server once; the future is dropped after [`PROBE_TIMEOUT`].
    fn probe(
        &self,
        server: ServerId,
        address: SocketAddr,
        kind: ServerKind,
    ) -> BoxFuture<'_, ProbeResult>;
}

/// A handle to the monitor of one daemon; clones share the monitor.
#[derive(Clone)]
pub struct ServerMonitor {
    core: Arc<Mutex<MonitorCore>>,
    inputs: mpsc::Sender<MonitorInput>,
}

impl ServerMonitor {
    /// Starts the monitor; nothing is probed before the first [`Self::configure`]. Health findings
    /// and load reports are sent to `findings`. The monitor ends when the last handle is dropped.
    pub fn start(probe: Arc<dyn ServerProbe>, findings: mpsc::Sender<PolicyInput>) -> Self {
        let core = Arc::new(Mutex::new(MonitorCore::new(Instant::now().into_std())));
        let (inputs, queue) = mpsc::channel(QUEUE_LENGTH);
        let task = MonitorTask { core: core.clone(), results: inputs.downgrade(), probe, findings };
        tokio::spawn(task.run(queue));
        Self { core, inputs }
    }

    /// Monitors the servers that `config` lists, as the daemon on `vm`.
    pub async fn configure(&self, vm: &VmId, config: &ActiveConfig) {
        // Fails only when the task has ended.
        let _ = self.inputs.send(MonitorInput::Configure(monitor_plan(vm, config))).await;
    }

    /// Handles the findings in a digest; those of daemons of other domains are ignored.
    pub fn handle_digest(&self, digest: &DomainDigest) {
        let findings = digest.findings.clone();
        let _ =
            self.inputs.try_send(MonitorInput::Digest { from: digest.daemon.clone(), findings });
    }

    /// Probes a server immediately, since the platform's list shows a change of it.
    pub fn hint(&self, server: ServerId) {
        let _ = self.inputs.try_send(MonitorInput::Hint { server });
    }

    /// The findings for this daemon's next digest.
    pub fn findings(&self) -> Vec<(ServerId, ServerHealth)> {
        lock(&self.core).findings(Instant::now().into_std())
    }
}

/// The servers and daemons of `config`, as the monitor of the daemon on `vm` needs them.
pub fn monitor_plan(vm: &VmId, config: &ActiveConfig) -> MonitorPlan {
    let register = &config.register;
    let own = register.vms.iter().find(|record| record.id == *vm);
    let failure_domain = own.map(|record| record.failure_domain.clone()).unwrap_or_default();
    let daemons = register.vms.iter().filter(|record| record.failure_domain == failure_domain);
    let servers = register.servers.iter().map(|record| {
        let monitored = MonitoredServer {
            failure_domain: record.failure_domain.clone(),
            address: record.address,
            kind: record.kind,
        };
        (record.id.clone(), monitored)
    });
    MonitorPlan {
        vm: vm.clone(),
        daemons: daemons.map(|record| record.id.clone()).collect(),
        servers: servers.collect(),
        failure_domain,
    }
}

struct MonitorTask {
    core: Arc<Mutex<MonitorCore>>,
    results: mpsc::WeakSender<MonitorInput>,
    probe: Arc<dyn ServerProbe>,
    findings: mpsc::Sender<PolicyInput>,
}

impl MonitorTask {
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
            let probed = timeout(PROBE_TIMEOUT, probe.probe(server.clone(), address, kind));
            let result = probed.await.unwrap_or(ProbeResult::NoAnswer);
            // Fails only when the monitor has ended.
            let _ = results.send(MonitorInput::Probed { server, number, result }).await;
        });
    }
}

fn lock(core: &Mutex<MonitorCore>) -> MutexGuard<'_, MonitorCore> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}
