//! Authentication of daemons: keys of another authority, names of other VMs, and renewed keys.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{TEST_TIMEOUT, start_peer},
        key_folder::KeyFolder,
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    oleandermount::transport::{
        KeyError, PeerNetwork, PeerReply, PeerRequest, TransportError,
        keys::{create_certificate, load_keys},
    },
};

/// Installs a metrics recorder for this test only; a test runs all its daemons on one thread.
fn install_local_recorder() -> (metrics::LocalRecorderGuard<'static>, PrometheusHandle) {
    let recorder = Box::leak(Box::new(PrometheusBuilder::new().build_recorder()));
    let handle = recorder.handle();
    (metrics::set_default_local_recorder(recorder), handle)
}

fn rejections(handle: &PrometheusHandle, reason: &str) -> u64 {
    let start = format!("oleandermount_peer_refused_total{{reason=\"{reason}\"}} ");
    let text = handle.render();
    let line =
        text.lines().find_map(|line| line.strip_prefix(&start)).expect("the counter is registered");
    line.parse().expect("a counter is a number")
}

async fn request_status(network: &PeerNetwork, peer: &str) -> Result<PeerReply, TransportError> {
    network.call(&peer.to_owned(), PeerRequest::Status, TEST_TIMEOUT).await
}

/// Guards against trust in daemons of another deployment. A daemon with keys of another authority
/// dials this one and is dialled by it. Each side rejects the other's certificate, the rejection is
/// counted for operators, and no message is delivered.
#[tokio::test]
async fn foreign_authority_is_rejected_and_counted() {
    let (_guard, handle) = install_local_recorder();
    let (ours, theirs) = (KeyFolder::new(), KeyFolder::new());
    let (home, mut received) = start_peer("home", ours.files("home"), &[]);
    assert_eq!(rejections(&handle, "authority"), 0);

    // The foreign peer trusts our authority as well as its own, so that only our side can reject.
    let files = theirs.files("foreign");
    theirs.renew(&files, "foreign", &theirs.authority, &[&theirs.authority, &ours.authority]);
    let (foreign_peer, _) = start_peer("foreign", files, &[("home", home.local_address())]);
    let error =
        request_status(&foreign_peer, "home").await.expect_err("its authority is not trusted");
    assert!(error.definitely_not_sent(), "{error}");
    assert!(rejections(&handle, "authority") >= 1);
    assert!(received.try_recv().is_err());

    let (victim, _) = start_peer("victim", ours.files("victim"), &[]);
    victim.set_peers([("foreign".to_owned(), foreign_peer.local_address())].into());
    let error =
        request_status(&victim, "foreign").await.expect_err("the foreign authority is not trusted");
    assert!(error.definitely_not_sent(), "{error}");
}

/// Guards against daemons that act in the name of another VM. A daemon with a valid key of our
/// authority claims the name `voter`, which its certificate does not contain; its connection is closed
/// and counted.
#[tokio::test]
async fn peer_name_must_match_certificate() {
    let (_guard, handle) = install_local_recorder();
    let ours = KeyFolder::new();
    let (home, _) = start_peer("home", ours.files("home"), &[]);
    let peers = [("home", home.local_address())];
    let (impostor, _) = start_peer("voter", ours.files("other"), &peers);
    let error =
        request_status(&impostor, "home").await.expect_err("the certificate has another name");
    assert!(error.definitely_not_sent(), "{error}");
    assert_eq!(rejections(&handle, "name"), 1);
    let upper_case = create_certificate(&ours.authority, &"VM-1".to_owned());
    assert_eq!(upper_case.err(), Some(KeyError::InvalidVm { vm: "VM-1".to_owned() }));
}

/// Guards against a replacement of keys that needs a restart. Operators trust a new authority in
/// addition to the old one and make the daemon reload its keys: a peer with a key of the new authority
/// is then accepted. After the old authority is removed, a peer with one of its keys is rejected.
#[tokio::test]
async fn renewed_keys_apply_without_restart() {
    let (old, new) = (KeyFolder::new(), KeyFolder::new());
    let files = old.files("home");
    let (home, _) = start_peer("home", files.clone(), &[]);
    let peers = [("home", home.local_address())];
    let (late, _) = start_peer("late", new.files("late"), &peers);
    request_status(&late, "home").await.expect_err("the new authority is not trusted yet");

    old.renew(&files, "home", &new.authority, &[&old.authority, &new.authority]);
    home.reload_keys().expect("the key files are valid");
    let (next, _) = start_peer("next", new.files("next"), &peers);
    assert_eq!(request_status(&next, "home").await, Ok(PeerReply::Status("next".to_owned())));

    old.renew(&files, "home", &new.authority, &[&new.authority]);
    home.reload_keys().expect("the key files are valid");
    let (last, _) = start_peer("last", old.files("last"), &peers);
    request_status(&last, "home").await.expect_err("the old authority is no longer trusted");
    std::fs::write(&files.key, "not a key").expect("the folder is writable");
    let error = home.reload_keys().expect_err("the key is malformed");
    assert!(matches!(error, TransportError::Keys(KeyError::Unreadable { .. })), "{error}");
    assert!(load_keys(&files).is_err());
    let (again, _) = start_peer("again", new.files("again"), &peers);
    assert!(request_status(&again, "home").await.is_ok(), "the previous keys stay in use");
}
