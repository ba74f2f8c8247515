//! How long versions of weights have been named, as control VMs tell their followers.

use {
    oleandermount::{
        control::{Command, CommandOutcome, document::NamedWeights},
        daemon::control_driver::{ControlDriver, DriverSettings},
        fleet::watch::FleetView,
        follow::{
            AnswerMode, FollowReply, FollowRequest, VersionAges,
            service::{ControlHandler, FollowService},
        },
        transport::{PeerHandler, PeerReply, PeerRequest},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tempfile::TempDir,
    tokio::sync::mpsc,
};

const MODEL: &str = "m0";
const KNOWN: Duration = Duration::from_secs(5);

async fn ask(service: &Arc<FollowService>, mode: AnswerMode) -> FollowReply {
    let handler = ControlHandler { service: Arc::clone(service) };
    let weights = NamedWeights::from([(MODEL.to_owned(), 2)]);
    let request = FollowRequest { weights, mode, ..FollowRequest::default() };
    let reply = handler.request("entry".to_owned(), PeerRequest::Follow(Box::new(request))).await;
    let PeerReply::Followed(reply) = reply else { unreachable!("the replica runs: {reply:?}") };
    *reply
}

/// Guards against followers that know the names of weights and are never told that they have been named for
/// longer than a control VM, which had just started, has said.
#[tokio::test]
async fn follower_with_same_weights_learns_ages() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let (outbound, _messages) = mpsc::channel(16);
    let vm = "c-1".to_owned();
    let mut settings = DriverSettings::new(vm.clone(), vec![vm], folder.path(), 1);
    settings.timing.election = Duration::from_millis(20);
    let replica = ControlDriver::start(settings, outbound).expect("the folder can be used");
    let command = Command::NameWeights { model: MODEL.to_owned(), version: 2 };
    let mut status = replica.status_watch();
    assert!(status.wait_for(|status| status.is_fresh).await.is_ok(), "one replica elects itself");
    assert_eq!(replica.propose_local(command).await, Ok(CommandOutcome::Noted));
    let mut documents = replica.documents();
    let named = documents.wait_for(|state| state.weights().contains_key(MODEL)).await.is_ok();
    assert!(named, "the replica runs");
    let service = Arc::new(FollowService::new("d1".to_owned(), Arc::new(FleetView::default())));
    service.open(replica);
    for mode in [AnswerMode::Suitability, AnswerMode::Now] {
        let reply = ask(&service, mode).await;
        assert_eq!(reply.weights, None, "the follower knows them");
        assert!(reply.weights_ages[MODEL].contains_key(&2), "{reply:?}");
    }
    // The leader has known the version for longer than this VM.
    let ages = VersionAges::from([(2, KNOWN)]);
    service.record_ages(BTreeMap::from([(MODEL.to_owned(), ages)]));
    let reply = ask(&service, AnswerMode::Now).await;
    assert!(reply.weights_ages[MODEL][&2] >= KNOWN, "{reply:?}");
}
