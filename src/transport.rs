//! Messages between daemons: QUIC with mutual TLS, encoded with postcard.
//!
//! Each daemon dials the peers that it has something to tell. A connection that carries nothing
//! closes after [`network::IDLE_TIMEOUT`], so an idle peer costs no bytes.

pub mod attachment;
pub mod codec;
pub mod config_delta;
pub mod inbound;
pub mod keys;
pub mod link;
pub mod message;
pub mod network;
pub mod reset_key;
pub mod tls;
pub mod unauthenticated;

pub use self::{
    codec::CodecError,
    keys::{KeyError, KeyFiles, KeyPairPem},
    message::{PeerMessage, PeerReply, PeerRequest},
    network::{NetworkSettings, PeerHandler, PeerNetwork, TransportError, UnauthenticatedSettings},
};
