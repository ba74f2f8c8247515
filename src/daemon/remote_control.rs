//! Proposes commands from any daemon: at the local replica if it leads, else at the leader through
//! the replicas that are known.

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

/// How long a replica may take to commit and reply. Beyond it the outcome is unknown.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// The same for a claim, which is small and is asked again under the same number: a killed leader
/// does not answer, and a caller that books must not wait for its connection to be given up.
const CLAIM_LIMIT: Duration = Duration::from_millis(1_200);
/// The same for a replica that passes a command on: shorter, so that its reply still arrives.
const FORWARD_LIMIT: Duration = Duration::from_secs(4);
const CLAIM_FORWARD_LIMIT: Duration = Duration::from_millis(1_000);
/// How long a proposal waits for a leader while replicas answer but know none: one election with
/// a split vote. Longer would only hold back the refusal of a domain that is cut off.
const ELECTION_WAIT: Duration = Duration::from_millis(1_500);
/// Between two rounds over the replicas during that wait.
const ROUND_WAIT: Duration = Duration::from_millis(100);
/// Replicas asked at most: the seven VMs that may be set aside, and as many being replaced.
const MOST_VOTERS: usize = 14;

/// A replica on this VM.
pub trait ReplicaPort: Send + Sync {
    /// Proposes at this replica alone.
    fn propose_here(
        &self,
        command: Command,
    ) -> BoxFuture<'_, Result<CommandOutcome, LocalProposeError>>;

    /// The voters that the replica knows.
    fn known_voters(&self) -> Vec<VmId>;
}

impl ReplicaPort for ControlHandle {
    fn propose_here(
        &self,
        command: Command,
    ) -> BoxFuture<'_, Result<CommandOutcome, LocalProposeError>> {
        Box::pin(self.propose_local(command))
    }

    fn known_voters(&self) -> Vec<VmId> {
        self.status().members.voters.keys().cloned().collect()
    }
}

/// The way to replicas on other VMs.
pub trait ReplicaCalls: Send + Sync {
    /// Asks one peer.
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
pub struct RemoteControl {
    vm: VmId,
    calls: Arc<dyn ReplicaCalls>,
    local: Option<Arc<dyn ReplicaPort>>,
    view: Mutex<VoterView>,
}

#[derive(Default)]
struct VoterView {
    /// At most [`MOST_VOTERS`], without this VM.
    voters: BTreeSet<VmId>,
    /// Where a proposal last succeeded, or whom a replica named.
    leader: Option<VmId>,
}

/// What one peer made of a proposal.
enum PeerVerdict {
    /// It decided, or nobody can tell whether it did.
    Final(Result<CommandOutcome, ProposeError>),
    /// It surely has not taken the command, but it answered.
    NotTaken,
    /// It surely has not seen the command.
    Unreachable,
}

impl RemoteControl {
    /// A port of the daemon on `vm`; `voters` are those to ask until others are known.
    pub fn new(
        vm: VmId,
        calls: Arc<dyn ReplicaCalls>,
        local: Option<Arc<dyn ReplicaPort>>,
        voters: impl IntoIterator<Item = VmId>,
    ) -> Self {
        let port = Self { vm, calls, local, view: Mutex::default() };
        port.set_voters(voters);
        port
    }

    /// Replaces the voters to ask; an empty list is ignored, since it could not be left again.
    pub fn set_voters(&self, voters: impl IntoIterator<Item = VmId>) {
        let voters: BTreeSet<VmId> =
            voters.into_iter().filter(|vm| *vm != self.vm).take(MOST_VOTERS).collect();
        if !voters.is_empty() {
            self.view().voters = voters;
        }
    }

    /// Notes who leads, as another daemon tells.
    pub fn note_leader(&self, leader: VmId) {
        self.view().leader = Some(leader);
    }

    /// Answers a peer's proposal: at the local replica, or once more at the leader that it names.
    pub async fn serve(&self, command: Command, may_forward: bool) -> PeerReply {
        let Some(local) = &self.local else {
            return PeerReply::Refused("this VM holds no replica; ask a control VM".to_owned());
        };
        let result = match local.propose_here(command.clone()).await {
            Err(LocalProposeError::NotLeader { leader: Some(leader) })
                if may_forward && leader != self.vm =>
            {
                match self.ask_peer(&leader, command, Forwarding::Ended).await {
                    PeerVerdict::Final(result) => result,
                    PeerVerdict::NotTaken | PeerVerdict::Unreachable => Err(ProposeError::NoQuorum),
                }
            }
            result => result.map_err(ProposeError::from),
        };
        PeerReply::Proposed(result)
    }

    async fn propose_anywhere(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let started = Instant::now();
        loop {
            let mut answered = self.local.is_some();
            if let PeerVerdict::Final(result) = self.ask_local(command.clone()).await {
                return result;
            }
            for peer in self.candidates() {
                match self.ask_peer(&peer, command.clone(), Forwarding::Allowed).await {
                    PeerVerdict::Final(result) => {
                        if result.is_ok() {
                            self.note_leader(peer);
                        }
                        return result;
                    }
                    PeerVerdict::NotTaken => answered = true,
                    PeerVerdict::Unreachable => {}
                }
            }
            if !answered || started.elapsed() >= ELECTION_WAIT {
                return Err(ProposeError::NoQuorum);
            }
            sleep(ROUND_WAIT).await;
        }
    }

    async fn ask_local(&self, command: Command) -> PeerVerdict {
        let Some(local) = &self.local else { return PeerVerdict::NotTaken };
        let limit = call_limit(&command, &Forwarding::Allowed);
        let proposed = timeout(limit, local.propose_here(command)).await;
        match proposed.unwrap_or(Err(LocalProposeError::OutcomeUnknown)) {
            Ok(outcome) => PeerVerdict::Final(Ok(outcome)),
            Err(LocalProposeError::NotLeader { leader }) => {
                self.set_voters(local.known_voters());
                self.view().leader = leader;
                PeerVerdict::NotTaken
            }
            Err(LocalProposeError::NoQuorum) => PeerVerdict::NotTaken,
            Err(error @ (LocalProposeError::Busy | LocalProposeError::OutcomeUnknown)) => {
                PeerVerdict::Final(Err(error.into()))
            }
        }
    }

    /// Asks one peer, and tells whether it can have taken the command. Where that is not ruled out
    /// no other peer is asked: the command would be proposed twice, and a caller told that it did
    /// not enter the log might run a call whose claim was committed by then.
    async fn ask_peer(&self, peer: &VmId, command: Command, forwarding: Forwarding) -> PeerVerdict {
        let may_forward = matches!(forwarding, Forwarding::Allowed);
        let limit = call_limit(&command, &forwarding);
        let request = PeerRequest::Propose { command: Box::new(command), may_forward };
        match self.calls.ask(peer, request, limit).await {
            Ok(PeerReply::Proposed(Err(ProposeError::NoQuorum))) => PeerVerdict::NotTaken,
            Ok(PeerReply::Proposed(result)) => PeerVerdict::Final(result),
            Ok(PeerReply::Refused(_)) => PeerVerdict::NotTaken,
            Err(error) if error.definitely_not_sent() => PeerVerdict::Unreachable,
            Ok(_) | Err(_) => {
                self.doubt_leader(peer);
                PeerVerdict::Final(Err(ProposeError::OutcomeUnknown))
            }
        }
    }

    /// A leader that did not answer may be dead: the next proposal asks the others first.
    fn doubt_leader(&self, peer: &VmId) {
        let mut view = self.view();
        if view.leader.as_ref() == Some(peer) {
            view.leader = None;
        }
    }

    /// The leader first, then the other voters.
    fn candidates(&self) -> Vec<VmId> {
        let view = self.view();
        let leader = view.leader.iter().filter(|leader| **leader != self.vm);
        let others = view.voters.iter().filter(|vm| Some(*vm) != view.leader.as_ref());
        leader.chain(others).cloned().collect()
    }

    fn view(&self) -> std::sync::MutexGuard<'_, VoterView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_limit(command: &Command, forwarding: &Forwarding) -> Duration {
    let is_claim = matches!(
        command,
        Command::Reserve { .. }
            | Command::Finish { .. }
            | Command::Release { .. }
            | Command::MarkUnknown { .. }
    );
    match (is_claim, forwarding) {
        (true, Forwarding::Allowed) => CLAIM_LIMIT,
        (true, Forwarding::Ended) => CLAIM_FORWARD_LIMIT,
        (false, Forwarding::Allowed) => CALL_LIMIT,
        (false, Forwarding::Ended) => FORWARD_LIMIT,
    }
}

/// Whether a peer may pass a command on.
enum Forwarding {
    Allowed,
    Ended,
}

impl ControlPort for RemoteControl {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(self.propose_anywhere(command))
    }
}
