//! Daemons with keys of another authority, with another's name, and with renewed keys.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{LONG, start_peer},
        key_folder::KeyFolder,
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    oleandermount::transport::{
        KeyError, PeerNetwork, PeerReply, PeerRequest, TransportError,
        keys::{create_certificate, load_keys},
    },
};

/// Counts in this test alone: a test runs its daemons on one thread.
fn count_locally() -> (metrics::LocalRecorderGuard<'static>, PrometheusHandle) {
    let recorder = Box::leak(Box::new(PrometheusBuilder::new().build_recorder()));
    let handle = recorder.handle();
    (metrics::set_default_local_recorder(recorder), handle)
}

fn refused(handle: &PrometheusHandle, reason: &str) -> u64 {
    let start = format!("oleandermount_peer_refused_total{{reason=\"{reason}\"}} ");
    let text = handle.render();
    let line = text.lines().find_map(|line| line.strip_prefix(&start)).expect("it is registered");
    line.parse().expect("a counter is a number")
}

async fn ask(network: &PeerNetwork, peer: &str) -> Result<PeerReply, TransportError> {
    network.call(&peer.to_owned(), PeerRequest::Status, LONG).await
}

/// The operators see the refusal counter rise; the stranger gets nothing. A daemon that was set up
/// with the keys of another installation dials this one and is dialled by it; each side's TLS
/// finds that the certificate is not signed by its own authority.
#[tokio::test]
async fn foreign_authority_is_refused_and_counted() {
    let (_guard, handle) = count_locally();
    let (ours, theirs) = (KeyFolder::new(), KeyFolder::new());
    let (home, mut heard) = start_peer("home", ours.files("home"), &[]);
    assert_eq!(refused(&handle, "authority"), 0);

    // The stranger trusts our authority as well as its own, so that only our side can refuse.
    let files = theirs.files("stranger");
    theirs.renew(&files, "stranger", &theirs.authority, &[&theirs.authority, &ours.authority]);
    let (stranger, _) = start_peer("stranger", files, &[("home", home.local_address())]);
    let error = ask(&stranger, "home").await.expect_err("it must be refused");
    assert!(error.definitely_not_sent(), "{error}");
    assert!(refused(&handle, "authority") >= 1);
    assert!(heard.try_recv().is_err());

    let (victim, _) = start_peer("victim", ours.files("victim"), &[]);
    victim.set_peers([("stranger".to_owned(), stranger.local_address())].into());
    let error = ask(&victim, "stranger").await.expect_err("it must not be trusted");
    assert!(error.definitely_not_sent(), "{error}");
}

/// Nobody can act in another's name. A daemon with a valid key of our authority claims to be the
/// voter `home-1`; its certificate says otherwise, the connection is closed, and it is counted.
#[tokio::test]
async fn claimed_name_must_be_in_the_certificate() {
    let (_guard, handle) = count_locally();
    let ours = KeyFolder::new();
    let (home, _) = start_peer("home", ours.files("home"), &[]);
    let peers = [("home", home.local_address())];
    let (liar, _) = start_peer("voter", ours.files("other"), &peers);
    let error = ask(&liar, "home").await.expect_err("the name is not its own");
    assert!(error.definitely_not_sent(), "{error}");
    assert_eq!(refused(&handle, "name"), 1);
    let shouting = create_certificate(&ours.authority, &"VM-1".to_owned());
    assert_eq!(shouting.err(), Some(KeyError::InvalidVm { vm: "VM-1".to_owned() }));
}

/// Callers see nothing of a change of keys. The operators write keys of a new authority, trusted
/// beside the old one, and tell both daemons to read them; a third that has only the new
/// authority's key is then accepted, and one with the old alone no longer is once it is removed.
#[tokio::test]
async fn renewed_keys_are_taken_without_restart() {
    let (old, new) = (KeyFolder::new(), KeyFolder::new());
    let files = old.files("home");
    let (home, _) = start_peer("home", files.clone(), &[]);
    let peers = [("home", home.local_address())];
    let (late, _) = start_peer("late", new.files("late"), &peers);
    ask(&late, "home").await.expect_err("its authority is not known yet");

    old.renew(&files, "home", &new.authority, &[&old.authority, &new.authority]);
    home.reload_keys().expect("the files are whole");
    let (next, _) = start_peer("next", new.files("next"), &peers);
    assert_eq!(ask(&next, "home").await, Ok(PeerReply::Status("next".to_owned())));

    old.renew(&files, "home", &new.authority, &[&new.authority]);
    home.reload_keys().expect("the files are whole");
    let (last, _) = start_peer("last", old.files("last"), &peers);
    ask(&last, "home").await.expect_err("the old authority is gone");
    std::fs::write(&files.key, "not a key").expect("the folder is writable");
    let error = home.reload_keys().expect_err("the key is broken");
    assert!(matches!(error, TransportError::Keys(KeyError::Unreadable { .. })), "{error}");
    assert!(load_keys(&files).is_err());
    let (again, _) = start_peer("again", new.files("again"), &peers);
    assert!(ask(&again, "home").await.is_ok(), "the former keys stay in use");
}
