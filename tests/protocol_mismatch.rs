//! A daemon of an older release, which may apply the same commands differently.

mod fakes {
    pub mod echo_peer;
    pub mod key_folder;
}

use {
    fakes::{
        echo_peer::{TEST_TIMEOUT, start_peer},
        key_folder::KeyFolder,
    },
    metrics_exporter_prometheus::PrometheusBuilder,
    oleandermount::transport::{KeyFiles, keys::load_keys},
    quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig},
    rustls::{RootCertStore, crypto::ring, version::TLS13},
    std::sync::Arc,
    tokio::time::timeout,
};

/// A client with valid keys that uses the protocol version before the present one.
fn older_client(files: &KeyFiles) -> ClientConfig {
    let keys = load_keys(files).expect("the key files are valid");
    let mut roots = RootCertStore::empty();
    for authority in keys.authorities {
        roots.add(authority).expect("the authority is a valid certificate");
    }
    let mut client =
        rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&[&TLS13])
            .expect("the provider supports TLS 1.3")
            .with_root_certificates(roots)
            .with_client_auth_cert(keys.chain, keys.key)
            .expect("the key belongs to the certificate");
    client.alpn_protocols = vec![b"oleandermount/1".to_vec()];
    ClientConfig::new(Arc::new(
        QuicClientConfig::try_from(client).expect("the client uses TLS 1.3"),
    ))
}

// Guards against a quorum of voters that reach different states from the same log.
#[tokio::test]
async fn older_protocol_is_rejected() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let keys = KeyFolder::new();
    let (home, _received) = start_peer("home", keys.files("home"), &[]);
    let endpoint = Endpoint::client(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let client = older_client(&keys.files("former"));
    let dial =
        endpoint.connect_with(client, home.local_address(), "home").expect("the dial starts");
    let result = timeout(TEST_TIMEOUT, dial).await.expect("the connection is rejected at once");
    result.expect_err("both ends have no protocol in common");
    endpoint.wait_idle().await;
    let counted = "oleandermount_peer_refused_total{reason=\"release\"} 1";
    assert!(handle.render().contains(counted), "{}", handle.render());
}
