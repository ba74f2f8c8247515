//! What a daemon may say of a proposal that brought no outcome.

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

/// Peers with one fixed reply each; notes who was asked and whether they may pass it on.
struct FixedPeers {
    replies: BTreeMap<VmId, Reply>,
    asked: Mutex<Vec<(VmId, bool)>>,
}

impl ReplicaCalls for FixedPeers {
    fn ask<'a>(&'a self, to: &'a VmId, request: PeerRequest, _: Duration) -> BoxFuture<'a, Reply> {
        let PeerRequest::Propose { may_forward, .. } = request else { panic!("only proposals") };
        self.asked.lock().expect("no test panics inside").push((to.clone(), may_forward));
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

fn names(peers: &FixedPeers) -> Vec<String> {
    peers.asked.lock().expect("no test panics inside").iter().map(|(vm, _)| vm.clone()).collect()
}

fn not_sent() -> Reply {
    Err(TransportError::NotSent { peer: String::new(), reason: String::new() })
}

fn lost() -> Reply {
    Err(TransportError::Unknown { peer: String::new(), reason: String::new() })
}

fn no_quorum() -> Reply {
    Ok(PeerReply::Proposed(Err(ProposeError::NoQuorum)))
}

const NOTE: Command = Command::NoteSuspect { fingerprint: 1, strikes: 1 };

fn entry(peers: &Arc<FixedPeers>) -> RemoteProposer {
    let voters = peers.replies.keys().cloned().collect::<Vec<_>>();
    RemoteProposer::new("entry".to_owned(), peers.clone(), None, voters)
}

/// The caller of a booking is told "did not run" or "unknown", and the former must be true. The
/// first replica takes the command and its reply is lost; whatever the others would say, asking
/// them could not make the first answer untrue, so the outcome is unknown and nobody else is asked.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_never_called_no_quorum() {
    let peers = peers(&[("a", not_sent()), ("b", lost()), ("c", no_quorum())]);
    assert_eq!(entry(&peers).propose(NOTE).await, Err(ProposeError::OutcomeUnknown));
    assert_eq!(names(&peers), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn unreachable_replicas_are_no_quorum_at_once() {
    let peers = peers(&[("a", not_sent()), ("b", not_sent())]);
    assert_eq!(entry(&peers).propose(NOTE).await, Err(ProposeError::NoQuorum));
    assert_eq!(names(&peers), ["a", "b"], "one round: nothing answers, so nothing is waited for");
}

#[tokio::test(start_paused = true)]
async fn next_replica_is_asked_and_the_leader_remembered() {
    let noted = Ok(PeerReply::Proposed(Ok(CommandOutcome::Noted)));
    let refused = Ok(PeerReply::Refused("no replica".to_owned()));
    let peers = peers(&[("a", refused), ("b", no_quorum()), ("c", noted)]);
    let entry = entry(&peers);
    assert_eq!(entry.propose(NOTE).await, Ok(CommandOutcome::Noted));
    assert_eq!(entry.propose(NOTE).await, Ok(CommandOutcome::Noted));
    assert_eq!(names(&peers), ["a", "b", "c", "c"]);
}

/// Two replicas that each believe the other leads must not pass a command to and fro for ever. A
/// follower forwards what came from an entry once, and answers what was forwarded by itself.
#[tokio::test(start_paused = true)]
async fn command_is_forwarded_once() {
    let peers = peers(&[("b", no_quorum())]);
    let leader = Some("b".to_owned());
    let replica = Arc::new(FixedReplica(LocalProposeError::NotLeader { leader }));
    let follower = RemoteProposer::new("a".to_owned(), peers.clone(), Some(replica), []);
    let answer = PeerReply::Proposed(Err(ProposeError::NoQuorum));
    assert_eq!(follower.serve(NOTE, true).await, answer);
    assert_eq!(*peers.asked.lock().expect("no test panics inside"), [("b".to_owned(), false)]);
    assert_eq!(follower.serve(NOTE, false).await, answer);
    assert_eq!(peers.asked.lock().expect("no test panics inside").len(), 1);
}
