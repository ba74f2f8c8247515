//! Forwards the findings about backend servers to the dispatcher, except for servers that are
//! drained so that they can load weights.

use {
    super::server_table::ServerTable,
    crate::{
        backend::engine::CONTROL_TIMEOUT,
        ids::{ModelId, ServerId, WeightsVersion},
        pipeline::PipelineCore,
        policy::{LoadReport, PolicyInput, ServerHealth},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, interval},
    },
};

/// The length of the queue of findings for the dispatcher.
pub const UPDATE_QUEUE_LENGTH: usize = 1024;
/// The longest drain and the longest load together. After this the server gets work again, whatever
/// weights it has.
const HOLD_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two checks for holds that have ended.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A server that gets no new work, with the weights that it had when the hold began.
struct ServerHold {
    since: Instant,
    weights: Option<BTreeMap<ModelId, WeightsVersion>>,
}

/// Filters all updates of servers on their way to the dispatcher.
pub struct ServerUpdates {
    core: Arc<PipelineCore>,
    server_table: Arc<ServerTable>,
    /// Servers of the register that load weights or are about to; the rules limit their number.
    holds: Mutex<BTreeMap<ServerId, ServerHold>>,
}

impl ServerUpdates {
    /// A filter without holds.
    pub fn new(core: Arc<PipelineCore>, server_table: Arc<ServerTable>) -> Self {
        ServerUpdates { core, server_table, holds: Mutex::default() }
    }

    /// Withholds new work from a server until it reports other weights or `HOLD_TIMEOUT` is over.
    /// A server that is not in the register is ignored.
    pub fn hold(&self, server: &ServerId) {
        let known = self.core.serving().addresses.contains_key(server);
        if !known {
            return;
        }
        let report = self.server_table.entry(server).and_then(|entry| entry.report);
        let hold =
            ServerHold { since: Instant::now(), weights: report.map(|report| report.weights) };
        self.holds().insert(server.clone(), hold);
        let health = ServerHealth::Leaving;
        self.core.dispatcher.notify(PolicyInput::Health { server: server.clone(), health });
    }

    /// Forwards the `findings` until the monitor ends.
    pub async fn run(&self, mut findings: mpsc::Receiver<PolicyInput>) {
        let mut checks = interval(HOLD_CHECK_INTERVAL);
        loop {
            tokio::select! {
                finding = findings.recv() => match finding {
                    Some(finding) => self.forward(finding),
                    None => return,
                },
                _ = checks.tick() => self.end_holds(),
            }
        }
    }

    fn forward(&self, finding: PolicyInput) {
        self.server_table.record(&finding);
        if let PolicyInput::Load(report) = &finding {
            self.confirm_health(report);
        }
        match &finding {
            PolicyInput::Health { server, health: ServerHealth::Alive { .. } }
                if self.holds().contains_key(server) => {}
            _ => self.core.dispatcher.notify(finding),
        }
    }

    /// Repeats that a server is alive when it reports under the same incarnation, since the monitor
    /// only reports changes of health. The dispatcher then knows that a request whose connection
    /// broke did not crash the server.
    fn confirm_health(&self, report: &LoadReport) {
        let server = &report.server;
        let health = self.server_table.entry(server).and_then(|entry| entry.health);
        let same = ServerHealth::Alive { incarnation: report.incarnation };
        if health == Some(same) && !self.holds().contains_key(server) {
            self.core.dispatcher.notify_all([
                PolicyInput::Health { server: server.clone(), health: same },
                PolicyInput::ServerIdentified {
                    server: server.clone(),
                    incarnation: report.incarnation,
                    // The report was requested at most this long ago.
                    sent: (Instant::now() - CONTROL_TIMEOUT).into(),
                },
            ]);
        }
    }

    fn end_holds(&self) {
        if self.holds().is_empty() {
            return;
        }
        let states = self.server_table.snapshot();
        let has_changed = |server: &ServerId, hold: &ServerHold| {
            let report = states.get(server).and_then(|entry| entry.report.as_ref());
            let weights = report.map(|report| &report.weights);
            hold.weights.is_some() && weights.is_some() && hold.weights.as_ref() != weights
        };
        let mut ended = Vec::new();
        self.holds().retain(|server, hold| {
            let ends = hold.since.elapsed() >= HOLD_TIMEOUT || has_changed(server, hold);
            if ends {
                ended.push(server.clone());
            }
            !ends
        });
        ended.into_iter().for_each(|server| {
            let health = states.get(&server).and_then(|entry| entry.health);
            health.into_iter().for_each(|health| {
                self.core.dispatcher.notify(PolicyInput::Health { server: server.clone(), health });
            });
        });
    }

    fn holds(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerHold>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
