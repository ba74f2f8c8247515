//! The key for QUIC stateless resets, with which a restarted daemon ends the connections of its
//! previous incarnation.
//!
//! A killed process does not close its connections. Its peers would keep sending on them until the
//! idle timeout, so the next incarnation would receive neither the configuration nor messages from the
//! leader for that time. QUIC answers such packets with a stateless reset (RFC 9000, section 10.3),
//! which a peer accepts only if it was made with the same key. The key therefore has to be the same
//! after a restart, and is derived from the only secret that is: the private key.

use {
    super::keys::LoadedKeys,
    quinn::{
        ConnectionId, ConnectionIdGenerator, EndpointConfig,
        crypto::{CryptoError, HmacKey},
    },
    rand_core::{OsRng, TryRngCore},
    sha2::{Digest, Sha256},
    std::{sync::Arc, time::Duration},
};

/// Domain separation from other uses of the private key.
const PURPOSE: &[u8] = b"oleandermount stateless reset";
/// Bytes of a connection id, the same as in quinn's default.
const CONNECTION_ID_BYTES: usize = 8;

/// Settings of an endpoint whose resets are accepted after a restart with the same keys.
pub fn endpoint_settings(keys: &LoadedKeys) -> EndpointConfig {
    settings_from(keys.key.secret_der())
}

/// Settings of an endpoint in an unauthenticated network. No secret persists across restarts there, so
/// the reset key is derived from the VM's name, and any host of the network could forge a reset.
pub fn unauthenticated_endpoint_settings(vm: &str) -> EndpointConfig {
    settings_from(vm.as_bytes())
}

fn settings_from(key_material: &[u8]) -> EndpointConfig {
    let digest = Sha256::new().chain_update(PURPOSE).chain_update(key_material);
    let mut settings = EndpointConfig::new(Arc::new(ResetKey(digest.finalize().into())));
    settings.cid_generator(|| Box::new(RandomConnectionIds));
    settings
}

/// Signs connection ids. All ids have the same length, so a digest of key and id is a secure message
/// authentication code.
struct ResetKey([u8; 32]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let digest = Sha256::new().chain_update(self.0).chain_update(data).finalize();
        signature_out.copy_from_slice(&digest);
    }

    fn signature_len(&self) -> usize {
        32
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut expected = [0; 32];
        self.sign(data, &mut expected);
        if expected == signature { Ok(()) } else { Err(CryptoError) }
    }
}

/// Generates random connection ids. Ids of quinn's default generator are recognised only by the process
/// that made them, and packets with other ids are dropped without a reset.
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut id = [0; CONNECTION_ID_BYTES];
        OsRng.try_fill_bytes(&mut id).expect("the kernel's random number generator is available");
        ConnectionId::new(&id)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
