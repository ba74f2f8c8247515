//! The errors that a daemon may report for a proposal without an outcome.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError},
        daemon::{
            ControlPort,
            control_driver::LocalProposeError,
            remote_proposer::{RemoteProposer, ReplicaCalls, ReplicaPort},
        },
        ids::VmId,
        transport::{PeerReply, PeerRequest, TransportError},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

type Reply = Result<PeerReply, TransportError>;

/// Peers with one fixed reply each; records which were asked and whether they may forward the
/// command.
struct FixedPeers {
    replies: BTreeMap<VmId, Reply>,
    asked: Mutex<Vec<(VmId, bool)>>,
}

impl ReplicaCalls for FixedPeers {
    fn ask<'a>(&'a self, to: &'a VmId, request: PeerRequest, _: Duration) -> BoxFuture<'a, Reply> {
        let PeerRequest::Propose { may_forward, .. } = request else {
            panic!("only proposals are expected")
        };
        self.asked.lock().expect("the mutex is not poisoned").push((to.clone(), may_forward));
        Box::pin(std::future::ready(self.replies[to].clone()))
    }
}

struct FixedReplica(LocalProposeError);

impl ReplicaPort for FixedReplica {
    fn propose_at_replica(
        &self,
        _: Command,
    ) -> BoxFuture<'_, Result<CommandOutcome, LocalProposeError>> {
        Box::pin(std::future::ready(Err(self.0.clone())))
    }

    fn known_voters(&self) -> Vec<VmId> {
        vec!["a".to_owned(), "b".to_owned(), "c".to_owned()]
    }
}

fn peers(replies: &[(&str, Reply)]) -> Arc<FixedPeers> {
    let replies = replies.iter().map(|(vm, reply)| ((*vm).to_owned(), reply.clone())).collect();
    Arc::new(FixedPeers { replies, asked: Mutex::default() })
}

fn asked_peers(peers: &FixedPeers) -> Vec<String> {
    peers
        .asked
        .lock()
        .expect("the mutex is not poisoned")
        .iter()
        .map(|(vm, _)| vm.clone())
        .collect()
}

fn unsent_error() -> Reply {
    Err(TransportError::NotSent { peer: String::new(), reason: String::new() })
}

fn lost_reply() -> Reply {
    Err(TransportError::Unknown { peer: String::new(), reason: String::new() })
}

fn no_quorum_reply() -> Reply {
    Ok(PeerReply::Proposed(Err(ProposeError::NoQuorum)))
}

const NOTE: Command = Command::NoteSuspect { fingerprint: 1, strikes: 1 };

fn entry_proposer(peers: &Arc<FixedPeers>) -> RemoteProposer {
    let voters = peers.replies.keys().cloned().collect::<Vec<_>>();
    RemoteProposer::new("entry".to_owned(), peers.clone(), None, voters)
}

/// Guards against reporting a command as not executed that may be committed. The reply of a replica
/// that may have accepted the command is lost. No answer of another replica could rule that out, so
/// the outcome is unknown and no other replica is asked.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_an_unknown_outcome() {
    let peers = peers(&[("a", unsent_error()), ("b", lost_reply()), ("c", no_quorum_reply())]);
    assert_eq!(entry_proposer(&peers).propose(NOTE).await, Err(ProposeError::OutcomeUnknown));
    assert_eq!(asked_peers(&peers), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn unreachable_replicas_are_no_quorum_immediately() {
    let peers = peers(&[("a", unsent_error()), ("b", unsent_error())]);
    assert_eq!(entry_proposer(&peers).propose(NOTE).await, Err(ProposeError::NoQuorum));
    assert_eq!(asked_peers(&peers), ["a", "b"], "there is only one round when no replica answers");
}

#[tokio::test(start_paused = true)]
async fn next_replica_is_asked_and_leader_remembered() {
    let noted = Ok(PeerReply::Proposed(Ok(CommandOutcome::Noted)));
    let refused = Ok(PeerReply::Refused("no replica".to_owned()));
    let peers = peers(&[("a", refused), ("b", no_quorum_reply()), ("c", noted)]);
    let entry_proposer = entry_proposer(&peers);
    assert_eq!(entry_proposer.propose(NOTE).await, Ok(CommandOutcome::Noted));
    assert_eq!(entry_proposer.propose(NOTE).await, Ok(CommandOutcome::Noted));
    assert_eq!(asked_peers(&peers), ["a", "b", "c", "c"]);
}

/// Guards against two replicas that each consider the other the leader and forward a command back
/// and forth. A follower forwards a command of an entry once, and never forwards a forwarded
/// command.
#[tokio::test(start_paused = true)]
async fn command_is_forwarded_once() {
    let peers = peers(&[("b", no_quorum_reply())]);
    let leader = Some("b".to_owned());
    let replica = Arc::new(FixedReplica(LocalProposeError::NotLeader { leader }));
    let follower = RemoteProposer::new("a".to_owned(), peers.clone(), Some(replica), []);
    let answer = PeerReply::Proposed(Err(ProposeError::NoQuorum));
    assert_eq!(follower.serve(NOTE, true).await, answer);
    assert_eq!(*peers.asked.lock().expect("the mutex is not poisoned"), [("b".to_owned(), false)]);
    assert_eq!(follower.serve(NOTE, false).await, answer);
    assert_eq!(peers.asked.lock().expect("the mutex is not poisoned").len(), 1);
}
