//! Proposes commands from any daemon: at the local replica if it leads, otherwise at the leader,
//! which the known replicas name or forward to.

use {
    crate::{
        control::{Command, CommandOutcome, ProposeError},
        daemon::{
            ControlPort,
            control_driver::{ControlHandle, LocalProposeError},
        },
        ids::VmId,
        transport::{PeerNetwork, PeerReply, PeerRequest, TransportError},
    },
    futures::future::BoxFuture,
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// How long a replica may take to commit and reply; after this the outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a replica may take to commit a claim and reply. This is shorter than [`CALL_TIMEOUT`],
/// since a claim is small and is proposed again under the same number: a killed leader does not
/// answer, and the caller of a non-repeatable call must not wait until the connection to that
/// leader times out.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long the leader may take for a command that a replica forwards. This is shorter than
/// [`CALL_TIMEOUT`], so that the reply of the forwarding replica still arrives in time.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the leader may take for a claim that a replica forwards. This is shorter than
/// [`CLAIM_TIMEOUT`], so that the reply of the forwarding replica still arrives in time.
const CLAIM_FORWARD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a proposal waits for a leader while replicas answer but know none: the time of one
/// election with a split vote. A longer wait would only delay the refusal in a domain that is cut
/// off.
const ELECTION_WAIT: Duration = Duration::from_millis(1_500);
/// The pause between two rounds over the replicas during that wait.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of replicas to ask: seven VMs for replicas, and as many that are being
/// replaced.
const MAX_VOTERS: usize = 14;

/// A replica on this VM.
pub trait ReplicaPort: Send + Sync {
    /// Proposes at this replica only; nothing is forwarded.
    fn propose_at_replica(
        &self,
        command: Command,
    ) -> BoxFuture<'_, Result<CommandOutcome, LocalProposeError>>;

    /// The voters of the group that the replica knows.
    fn known_voters(&self) -> Vec<VmId>;
}

impl ReplicaPort for ControlHandle {
    fn propose_at_replica(
        &self,
        command: Command,
    ) -> BoxFuture<'_, Result<CommandOutcome, LocalProposeError>> {
        Box::pin(self.propose_local(command))
    }

    fn known_voters(&self) -> Vec<VmId> {
        self.status().members.voters.keys().cloned().collect()
    }
}

/// Requests to replicas on other VMs.
pub trait ReplicaCalls: Send + Sync {
    /// Sends a request to one peer and waits for its reply.
    fn ask<'a>(
        &'a self,
        to: &'a VmId,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, TransportError>>;
}

impl ReplicaCalls for PeerNetwork {
    fn ask<'a>(
        &'a self,
        to: &'a VmId,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, TransportError>> {
        Box::pin(self.call(to, request, timeout))
    }
}

/// A [`ControlPort`] for any daemon.
pub struct RemoteProposer {
    vm: VmId,
    calls: Arc<dyn ReplicaCalls>,
    local: Option<Arc<dyn ReplicaPort>>,
    view: Mutex<KnownVoters>,
}

#[derive(Default)]
struct KnownVoters {
    /// At most [`MAX_VOTERS`], without this VM.
    voters: BTreeSet<VmId>,
    /// The replica where the last proposal succeeded, or the leader that a replica named.
    leader: Option<VmId>,
}

/// The result of a proposal at one peer.
enum PeerOutcome {
    /// The outcome, or the error that it is unknown.
    Final(Result<CommandOutcome, ProposeError>),
    /// The peer answered, and the command certainly did not enter its log.
    NotAccepted,
    /// The command certainly did not reach the peer.
    Unreachable,
}

impl RemoteProposer {
    /// A proposer of the daemon on `vm`; it asks `voters` until others are known.
    pub fn new(
        vm: VmId,
        calls: Arc<dyn ReplicaCalls>,
        local: Option<Arc<dyn ReplicaPort>>,
        voters: impl IntoIterator<Item = VmId>,
    ) -> Self {
        let proposer = Self { vm, calls, local, view: Mutex::default() };
        proposer.set_voters(voters);
        proposer
    }

    /// Replaces the voters to ask. An empty list is ignored, since with it no replica could be
    /// asked who the voters are.
    pub fn set_voters(&self, voters: impl IntoIterator<Item = VmId>) {
        let voters: BTreeSet<VmId> =
            voters.into_iter().filter(|vm| *vm != self.vm).take(MAX_VOTERS).collect();
        if !voters.is_empty() {
            self.view().voters = voters;
        }
    }

    /// Records the leader that another daemon reported.
    pub fn set_leader(&self, leader: VmId) {
        self.view().leader = Some(leader);
    }

    /// Handles a peer's proposal: proposes at the local replica, or forwards it to the leader that
    /// this replica names, at most once.
    pub async fn serve(&self, command: Command, may_forward: bool) -> PeerReply {
        let Some(local) = &self.local else {
            return PeerReply::Refused("this VM has no replica; ask a control VM".to_owned());
        };
        let result = match local.propose_at_replica(command.clone()).await {
            Err(LocalProposeError::NotLeader { leader: Some(leader) })
                if may_forward && leader != self.vm =>
            {
                match self.ask_peer(&leader, command, Forwarding::Forbidden).await {
                    PeerOutcome::Final(result) => result,
                    PeerOutcome::NotAccepted | PeerOutcome::Unreachable => {
                        Err(ProposeError::NoQuorum)
                    }
                }
            }
            result => result.map_err(ProposeError::from),
        };
        PeerReply::Proposed(result)
    }

    async fn propose_at_leader(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let started = Instant::now();
        loop {
            let mut answered = self.local.is_some();
            if let PeerOutcome::Final(result) = self.ask_local(command.clone()).await {
                return result;
            }
            for peer in self.candidates() {
                match self.ask_peer(&peer, command.clone(), Forwarding::Allowed).await {
                    PeerOutcome::Final(result) => {
                        if result.is_ok() {
                            self.set_leader(peer);
                        }
                        return result;
                    }
                    PeerOutcome::NotAccepted => answered = true,
                    PeerOutcome::Unreachable => {}
                }
            }
            if !answered || started.elapsed() >= ELECTION_WAIT {
                return Err(ProposeError::NoQuorum);
            }
            sleep(ROUND_INTERVAL).await;
        }
    }

    async fn ask_local(&self, command: Command) -> PeerOutcome {
        let Some(local) = &self.local else { return PeerOutcome::NotAccepted };
        let limit = call_timeout(&command, &Forwarding::Allowed);
        let proposed = timeout(limit, local.propose_at_replica(command)).await;
        match proposed.unwrap_or(Err(LocalProposeError::OutcomeUnknown)) {
            Ok(outcome) => PeerOutcome::Final(Ok(outcome)),
            Err(LocalProposeError::NotLeader { leader }) => {
                self.set_voters(local.known_voters());
                self.view().leader = leader;
                PeerOutcome::NotAccepted
            }
            Err(LocalProposeError::NoQuorum) => PeerOutcome::NotAccepted,
            Err(error @ (LocalProposeError::Busy | LocalProposeError::OutcomeUnknown)) => {
                PeerOutcome::Final(Err(error.into()))
            }
        }
    }

    /// Proposes at one peer. Unless it is certain that the command did not enter the log there, no
    /// other peer may be asked: the command could be proposed twice, and a caller that received a
    /// refusal might run a call whose claim is committed meanwhile.
    async fn ask_peer(&self, peer: &VmId, command: Command, forwarding: Forwarding) -> PeerOutcome {
        let may_forward = matches!(forwarding, Forwarding::Allowed);
        let limit = call_timeout(&command, &forwarding);
        let request = PeerRequest::Propose { command: Box::new(command), may_forward };
        match self.calls.ask(peer, request, limit).await {
            Ok(PeerReply::Proposed(Err(ProposeError::NoQuorum))) => PeerOutcome::NotAccepted,
            Ok(PeerReply::Proposed(result)) => PeerOutcome::Final(result),
            Ok(PeerReply::Refused(_)) => PeerOutcome::NotAccepted,
            Err(error) if error.definitely_not_sent() => PeerOutcome::Unreachable,
            Ok(_) | Err(_) => {
                self.forget_leader(peer);
                PeerOutcome::Final(Err(ProposeError::OutcomeUnknown))
            }
        }
    }

    /// Forgets a leader that did not answer and may have failed, so that the next proposal asks the
    /// others first.
    fn forget_leader(&self, peer: &VmId) {
        let mut view = self.view();
        if view.leader.as_ref() == Some(peer) {
            view.leader = None;
        }
    }

    /// The replicas to ask in order: the leader first, then the other voters.
    fn candidates(&self) -> Vec<VmId> {
        let view = self.view();
        let leader = view.leader.iter().filter(|leader| **leader != self.vm);
        let others = view.voters.iter().filter(|vm| Some(*vm) != view.leader.as_ref());
        leader.chain(others).cloned().collect()
    }

    fn view(&self) -> std::sync::MutexGuard<'_, KnownVoters> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_timeout(command: &Command, forwarding: &Forwarding) -> Duration {
    let is_claim = matches!(
        command,
        Command::Reserve { .. }
            | Command::Finish { .. }
            | Command::Release { .. }
            | Command::MarkUnknown { .. }
    );
    match (is_claim, forwarding) {
        (true, Forwarding::Allowed) => CLAIM_TIMEOUT,
        (true, Forwarding::Forbidden) => CLAIM_FORWARD_TIMEOUT,
        (false, Forwarding::Allowed) => CALL_TIMEOUT,
        (false, Forwarding::Forbidden) => FORWARD_TIMEOUT,
    }
}

/// Whether a peer may forward a command to the leader.
enum Forwarding {
    Allowed,
    Forbidden,
}

impl ControlPort for RemoteProposer {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(self.propose_at_leader(command))
    }
}
