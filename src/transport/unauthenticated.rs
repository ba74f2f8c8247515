//! Connections without authentication, for networks in which every host is trusted.
//!
//! Some deployments do not provide daemons with keys. Each process then creates a self-signed
//! certificate for its VM's name. The traffic is encrypted and protected against modification, but
//! any host that reaches the port can claim any name. The mode has to be chosen explicitly, and a
//! daemon that starts in it logs a warning.

use {
    super::{
        keys::{KeyError, LoadedKeys, check_vm_name},
        tls::{PROTOCOL, TlsPair},
    },
    crate::ids::VmId,
    quinn::{
        ClientConfig, ServerConfig, TransportConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rcgen::{CertificateParams, KeyPair},
    rustls::{
        DigitallySignedStruct, DistinguishedName, Error, SignatureScheme,
        client::{
            Resumption,
            danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
            verify_server_name,
        },
        crypto::{CryptoProvider, ring, verify_tls13_signature},
        server::{
            ParsedCertificate,
            danger::{ClientCertVerified, ClientCertVerifier},
        },
        version::TLS13,
    },
    rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
    std::sync::Arc,
};

/// Creates the identity of one process: a self-signed certificate and its key.
///
/// # Errors
/// [`KeyError::InvalidVm`] or [`KeyError::Creation`].
pub fn self_signed_identity(vm: &VmId) -> Result<LoadedKeys, KeyError> {
    check_vm_name(vm)?;
    let creation_error = |error: rcgen::Error| KeyError::Creation { reason: error.to_string() };
    let key = KeyPair::generate().map_err(creation_error)?;
    let params = CertificateParams::new(vec![vm.clone()]).map_err(creation_error)?;
    let certificate = params.self_signed(&key).map_err(creation_error)?;
    Ok(LoadedKeys {
        authorities: Vec::new(),
        chain: vec![certificate.der().clone()],
        key: PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der())),
    })
}

/// Builds TLS settings for dialling and accepting that trust any certificate whose owner proves to have
/// its private key.
///
/// # Errors
/// [`KeyError::Unusable`].
pub fn build_unauthenticated_pair(
    keys: LoadedKeys,
    transport: TransportConfig,
) -> Result<TlsPair, KeyError> {
    let unusable = |error: Error| KeyError::Unusable { reason: error.to_string() };
    let no_cipher = |error: quinn::crypto::rustls::NoInitialCipherSuite| KeyError::Unusable {
        reason: error.to_string(),
    };
    let transport = Arc::new(transport);
    let provider = Arc::new(ring::default_provider());
    let verifier = Arc::new(AnyCertificate { provider: Arc::clone(&provider) });
    let mut client = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .dangerous()
        .with_custom_certificate_verifier(verifier.clone())
        .with_client_auth_cert(keys.chain.clone(), keys.key.clone_key())
        .map_err(unusable)?;
    client.alpn_protocols = vec![PROTOCOL.to_vec()];
    client.resumption = Resumption::disabled();
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(keys.chain, keys.key)
        .map_err(unusable)?;
    server.alpn_protocols = vec![PROTOCOL.to_vec()];
    server.send_tls13_tickets = 0;
    let client = QuicClientConfig::try_from(client).map_err(no_cipher)?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(Arc::clone(&transport));
    let server = QuicServerConfig::try_from(server).map_err(no_cipher)?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport);
    Ok(TlsPair { client, server })
}

/// Accepts any certificate whose owner proves to have its private key. The certificate of a server must
/// contain the name that was dialled.
#[derive(Debug)]
struct AnyCertificate {
    provider: Arc<CryptoProvider>,
}

impl AnyCertificate {
    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }
}

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        name: &ServerName<'_>,
        _ocsp: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let parsed = ParsedCertificate::try_from(certificate)?;
        verify_server_name(&parsed, name)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("daemons support only TLS 1.3".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for AnyCertificate {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        _certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        // The name is checked against the certificate when the peer sends its greeting.
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::General("daemons support only TLS 1.3".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.verify_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}
