//! Lets a restarted daemon tell its peers that their connections ended with its former life.
//!
//! A process that is killed says goodbye to nobody. Its peers would go on writing to it for the
//! whole idle limit, and its next life, already up, would hear from none of them: no configuration
//! comes and no leader. QUIC answers such packets with a stateless reset (RFC 9000, section 10.3),
//! which a peer believes only from the same key; so the key must outlive the process, and is
//! derived from the one secret that does.

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

/// Sets these derivations apart from any other use of the private key.
const PURPOSE: &[u8] = b"oleandermount stateless reset";
/// Bytes of a connection id, as quinn has them.
const ID_BYTES: usize = 8;

/// Settings of an endpoint whose resets are believed after a restart with the same keys.
pub fn endpoint_settings(keys: &LoadedKeys) -> EndpointConfig {
    settings_from(keys.key.secret_der())
}

/// Settings of an endpoint in a network that is trusted as a whole: with nothing secret that
/// outlives the process, the VM's name has to do, and anyone there could forge a reset.
pub fn unauthenticated_endpoint_settings(vm: &str) -> EndpointConfig {
    settings_from(vm.as_bytes())
}

fn settings_from(lasting: &[u8]) -> EndpointConfig {
    let digest = Sha256::new().chain_update(PURPOSE).chain_update(lasting);
    let mut settings = EndpointConfig::new(Arc::new(ResetKey(digest.finalize().into())));
    settings.cid_generator(|| Box::new(PlainIds));
    settings
}

/// Signs connection ids. They all have the same length, so a digest of key and id is a proper
/// message authentication code.
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

/// Random connection ids. Those of quinn's usual generator are recognised only by the life that
/// made them, and a packet with another is dropped without the reset.
struct PlainIds;

impl ConnectionIdGenerator for PlainIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut id = [0; ID_BYTES];
        OsRng.try_fill_bytes(&mut id).expect("the kernel's random numbers are always there");
        ConnectionId::new(&id)
    }

    fn cid_len(&self) -> usize {
        ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
