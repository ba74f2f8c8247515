//! Operators' API of a daemon on top of an in-memory log, for tests of the client.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError},
        daemon::{ConfigWatch, ControlPort},
        http_api::operator::{
            OperatorState, SourceError, StatusSource, router,
            wire::{
                ConfigChange, DaemonState, DaemonStatus, OrganisationStatus, ReplicaEntry,
                ServerStatus, VmRevision,
            },
        },
        ids::{RequestId, VmId},
        inventory::{ActiveConfig, validate::digest},
        observe::metrics,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// Outcome of all proposals to a fake daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptedOutcome {
    /// The proposal is committed and its response arrives.
    Answered,
    /// The proposal is committed and its response is lost.
    ResponseLost,
    /// No quorum is reachable.
    NoQuorum,
}

/// In-memory log shared by several fake daemons.
pub struct FakeLog {
    config: watch::Sender<Arc<ActiveConfig>>,
    outcomes: Mutex<BTreeMap<String, CommandOutcome>>,
}

impl FakeLog {
    pub fn new() -> Arc<Self> {
        let (config, _) = watch::channel(Arc::default());
        Arc::new(FakeLog { config, outcomes: Mutex::default() })
    }

    pub fn config(&self) -> Arc<ActiveConfig> {
        self.config.borrow().clone()
    }

    fn commit(&self, command: Command) -> CommandOutcome {
        let (operation, expected, body, is_register) = match command {
            Command::ApplyRegister { operation, expected, body } => {
                (operation, expected, body, true)
            }
            Command::ApplyRules { operation, expected, body } => (operation, expected, body, false),
            Command::ReplaceReplica { .. } => return CommandOutcome::MembershipChanged,
            other => panic!("operators do not propose {other:?}"),
        };
        let mut outcomes = self.outcomes.lock().expect("no test panics with the lock");
        if let Some(first) = outcomes.get(&operation) {
            return first.clone();
        }
        let mut config = (*self.config()).clone();
        if config.revision != expected {
            let winner = digest("the winner");
            return CommandOutcome::Conflict { revision: config.revision, winner };
        }
        config.revision += 1;
        if is_register {
            config.register = serde_json::from_str(&body).expect("canonical JSON");
        } else {
            config.rules = serde_json::from_str(&body).expect("canonical JSON");
        }
        let outcome = CommandOutcome::Applied { revision: config.revision };
        self.config.send_replace(Arc::new(config));
        outcomes.insert(operation, outcome.clone());
        outcome
    }
}

struct FakeControl {
    log: Arc<FakeLog>,
    outcome: ScriptedOutcome,
}

impl ControlPort for FakeControl {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async move {
            match self.outcome {
                ScriptedOutcome::Answered => Ok(self.log.commit(command)),
                ScriptedOutcome::ResponseLost => {
                    self.log.commit(command);
                    Err(ProposeError::OutcomeUnknown)
                }
                ScriptedOutcome::NoQuorum => Err(ProposeError::NoQuorum),
            }
        })
    }
}

struct FakeSource {
    state: DaemonState,
    config: ConfigWatch,
}

impl StatusSource for FakeSource {
    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            vm: "ub-north-1".to_owned(),
            failure_domain: "ub-north".to_owned(),
            role: "entry".to_owned(),
            state: self.state,
            revision: self.config.borrow().revision,
            replica: "leader".to_owned(),
            leader: Some("ub-north-1".to_owned()),
            term: 1,
            in_flight: 0,
            uptime_seconds: 60,
            version: "0".to_owned(),
        }
    }

    fn servers(&self) -> Vec<ServerStatus> {
        Vec::new()
    }

    fn organisations(&self, limit: usize) -> Vec<OrganisationStatus> {
        let row = |id: usize| OrganisationStatus {
            id: format!("organisation-{id}"),
            requests: 1,
            answered: 1,
            refused: 0,
            tokens: 1,
            in_flight: 0,
        };
        (0..limit).map(row).collect()
    }

    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaEntry>> {
        Box::pin(async { Vec::new() })
    }

    fn history(&self) -> BoxFuture<'_, Vec<ConfigChange>> {
        Box::pin(async { Vec::new() })
    }

    fn revisions(&self) -> BoxFuture<'_, Vec<VmRevision>> {
        let revision = Some(self.config.borrow().revision);
        let row = VmRevision { vm: "a".to_owned(), failure_domain: "b".to_owned(), revision };
        let unresponsive =
            VmRevision { revision: None, vm: "unresponsive".to_owned(), ..row.clone() };
        Box::pin(async move { vec![row, unresponsive] })
    }

    fn drain(&self, vm: VmId) -> BoxFuture<'_, Result<(), SourceError>> {
        Box::pin(async { Err(SourceError::UnknownVm(vm)) })
    }

    fn explain(
        &self,
        request: RequestId,
    ) -> BoxFuture<'_, Result<BTreeMap<VmId, Vec<String>>, SourceError>> {
        Box::pin(async { Err(SourceError::UnknownRequest(request)) })
    }
}

/// Serves the operators' API of one daemon until the test's runtime ends, and returns its URL.
pub async fn serve_operator(
    log: &Arc<FakeLog>,
    outcome: ScriptedOutcome,
    state: DaemonState,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let config = log.config.subscribe();
    let operator = OperatorState {
        control: Arc::new(FakeControl { log: Arc::clone(log), outcome }),
        config: config.clone(),
        source: Arc::new(FakeSource { state, config }),
        metrics: metrics::install().expect("the only recorder"),
    };
    tokio::spawn(viz::serve(listener, router(operator)).into_future());
    format!("http://{address}")
}
