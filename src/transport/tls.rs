//! TLS settings of clients and servers, and the check of a peer's name against its certificate.

use {
    super::keys::{KeyError, LoadedKeys, check_vm_name},
    crate::ids::VmId,
    quinn::{
        ClientConfig, Connection, ServerConfig, TransportConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{
        RootCertStore,
        client::{Resumption, verify_server_name},
        crypto::ring,
        server::{ParsedCertificate, WebPkiClientVerifier},
        version::TLS13,
    },
    rustls_pki_types::CertificateDer,
    std::sync::Arc,
};

/// The ALPN protocol that both ends must support. It changes with the format of frames, and with the
/// effect of commands in the replicated log: replicas that apply commands differently must not form a
/// quorum.
pub(super) const PROTOCOL: &[u8] = b"oleandermount/9";

/// TLS settings for dialling and for accepting, made from the same keys.
pub struct TlsPair {
    /// For dialling.
    pub client: ClientConfig,
    /// For accepting.
    pub server: ServerConfig,
}

/// Builds the settings for both directions. Session resumption is disabled: a resumed session skips the
/// check of the certificate, so a key of an authority that was just removed would still be accepted.
///
/// # Errors
/// [`KeyError::Unusable`].
pub fn build_pair(keys: LoadedKeys, transport: TransportConfig) -> Result<TlsPair, KeyError> {
    let transport = Arc::new(transport);
    let mut roots = RootCertStore::empty();
    for authority in keys.authorities {
        roots.add(authority).map_err(unusable)?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(ring::default_provider());
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(keys.chain.clone(), keys.key.clone_key())
        .map_err(unusable)?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    client.resumption = Resumption::disabled();
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(unusable)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(keys.chain, keys.key)
        .map_err(unusable)?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    server.send_tls13_tickets = 0;
    let mut client =
        ClientConfig::new(Arc::new(QuicClientConfig::try_from(client).map_err(unusable)?));
    client.transport_config(transport.clone());
    let mut server =
        ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server).map_err(unusable)?));
    server.transport_config(transport);
    Ok(TlsPair { client, server })
}

/// Whether the certificate that the peer authenticated with contains the name `vm`.
pub fn certificate_names_peer(connection: &Connection, vm: &VmId) -> bool {
    let Ok(name) = check_vm_name(vm) else { return false };
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(first) = chain.first() else { return false };
    ParsedCertificate::try_from(first)
        .is_ok_and(|certificate| verify_server_name(&certificate, &name).is_ok())
}

fn unusable(error: impl ToString) -> KeyError {
    KeyError::Unusable { reason: error.to_string() }
}
