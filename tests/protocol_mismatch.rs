//! A daemon of another release, which may decide otherwise on the same commands.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{LONG, start_peer},
        key_folder::KeyFolder,
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    oleandermount::transport::{KeyFiles, keys::load_keys},
    quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig},
    rustls::{RootCertStore, crypto::ring, version::TLS13},
    std::sync::Arc,
    tokio::time::timeout,
};

/// A client with valid keys that speaks the protocol of the release before.
fn former_client(files: &KeyFiles) -> ClientConfig {
    let keys = load_keys(files).expect("the files are whole");
    let mut roots = RootCertStore::empty();
    for authority in keys.authorities {
        roots.add(authority).expect("it is a certificate");
    }
    let mut client =
        rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&[&TLS13])
            .expect("the provider has it")
            .with_root_certificates(roots)
            .with_client_auth_cert(keys.chain, keys.key)
            .expect("the key fits");
    client.alpn_protocols = vec![b"oleandermount/1".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(client).expect("it is TLS 1.3")))
}

// Guards against a quorum of voters that come to different states by the same log.
#[tokio::test]
async fn former_protocol_is_refused() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let keys = KeyFolder::new();
    let (home, _heard) = start_peer("home", keys.files("home"), &[]);
    let endpoint = Endpoint::client(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let client = former_client(&keys.files("former"));
    let dial = endpoint.connect_with(client, home.local_address(), "home").expect("it is dialled");
    let dialled = timeout(LONG, dial).await.expect("it is refused at once");
    dialled.expect_err("the ends share no protocol");
    endpoint.wait_idle().await;
    let counted = "oleandermount_peer_refused_total{reason=\"release\"} 1";
    assert!(handle.render().contains(counted), "{}", handle.render());
}
