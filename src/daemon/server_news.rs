//! Passes findings about backend servers to the dispatcher, less those that are held back from
//! new work so that they may load weights.

use {
    super::server_board::ServerBoard,
    crate::{
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

/// Findings that wait for the dispatcher.
pub const NEWS_BOUND: usize = 1024;
/// The longest drain and the longest load together; then the server serves again, whatever it has.
const HOLD_LIMIT: Duration = Duration::from_secs(20);
/// How often ended holds are looked for.
const HOLD_LOOK: Duration = Duration::from_millis(500);

/// What a server had loaded when it was held back, and since when it is.
struct ServerHold {
    since: Instant,
    weights: Option<BTreeMap<ModelId, WeightsVersion>>,
}

/// The desk that all news of servers passes.
pub struct ServerNews {
    core: Arc<PipelineCore>,
    board: Arc<ServerBoard>,
    /// Servers of the register that load or are about to; a few at a time, by the rules.
    holds: Mutex<BTreeMap<ServerId, ServerHold>>,
}

impl ServerNews {
    /// A desk without holds.
    pub fn new(core: Arc<PipelineCore>, board: Arc<ServerBoard>) -> Self {
        ServerNews { core, board, holds: Mutex::default() }
    }

    /// Gives a server no new work until it reports other weights or [`HOLD_LIMIT`] is over.
    pub fn hold(&self, server: &ServerId) {
        let known = self.core.serving().addresses.contains_key(server);
        if !known {
            return;
        }
        let report = self.board.entry(server).and_then(|entry| entry.report);
        let hold =
            ServerHold { since: Instant::now(), weights: report.map(|report| report.weights) };
        self.holds().insert(server.clone(), hold);
        let health = ServerHealth::Leaving;
        self.core.dispatcher.notify(PolicyInput::Health { server: server.clone(), health });
    }

    /// Passes on what comes through `findings` until the watch ends.
    pub async fn run(&self, mut findings: mpsc::Receiver<PolicyInput>) {
        let mut looks = interval(HOLD_LOOK);
        loop {
            tokio::select! {
                finding = findings.recv() => match finding {
                    Some(finding) => self.pass(finding),
                    None => return,
                },
                _ = looks.tick() => self.end_holds(),
            }
        }
    }

    fn pass(&self, finding: PolicyInput) {
        self.board.note(&finding);
        if let PolicyInput::Load(report) = &finding {
            self.confirm_life(report);
        }
        match &finding {
            PolicyInput::Health { server, health: ServerHealth::Alive { .. } }
                if self.holds().contains_key(server) => {}
            _ => self.core.dispatcher.notify(finding),
        }
    }

    /// The watch tells a server's health when it changes; a report of the same life says again that
    /// it lives, so that a request whose connection broke is acquitted of having crashed it.
    fn confirm_life(&self, report: &LoadReport) {
        let server = &report.server;
        let health = self.board.entry(server).and_then(|entry| entry.health);
        let same = ServerHealth::Alive { incarnation: report.incarnation };
        if health == Some(same) && !self.holds().contains_key(server) {
            let server = server.clone();
            self.core.dispatcher.notify(PolicyInput::Health { server, health: same });
        }
    }

    fn end_holds(&self) {
        if self.holds().is_empty() {
            return;
        }
        let board = self.board.snapshot();
        let has_changed = |server: &ServerId, hold: &ServerHold| {
            let report = board.get(server).and_then(|entry| entry.report.as_ref());
            let weights = report.map(|report| &report.weights);
            hold.weights.is_some() && weights.is_some() && hold.weights.as_ref() != weights
        };
        let mut ended = Vec::new();
        self.holds().retain(|server, hold| {
            let ends = hold.since.elapsed() >= HOLD_LIMIT || has_changed(server, hold);
            if ends {
                ended.push(server.clone());
            }
            !ends
        });
        ended.into_iter().for_each(|server| {
            let health = board.get(&server).and_then(|entry| entry.health);
            health.into_iter().for_each(|health| {
                self.core.dispatcher.notify(PolicyInput::Health { server: server.clone(), health });
            });
        });
    }

    fn holds(&self) -> MutexGuard<'_, BTreeMap<ServerId, ServerHold>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
