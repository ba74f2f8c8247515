//! Messages between daemons: QUIC with mutual TLS, encoded with postcard.
//!
//! A daemon connects to a peer when it has something to send. An unused connection closes after
//! [`network::IDLE_TIMEOUT`], so idle peers cause no traffic.

pub mod attachment;
pub mod codec;
pub mod config_delta;
pub mod inbound;
pub mod keys;
pub mod link;
#[cfg(feature = "link-faults")]
pub mod link_faults;
pub mod message;
pub mod network;
pub mod reset_key;
pub mod tls;
pub mod tunnel;
pub mod unauthenticated;

pub use self::{
    attachment::DocumentStream,
    codec::CodecError,
    keys::{KeyError, KeyFiles, KeyPairPem},
    message::{PeerMessage, PeerReply, PeerRequest, TunnelRefusal},
    network::{NetworkSettings, PeerHandler, PeerNetwork, TransportError, UnauthenticatedSettings},
    tunnel::{TunnelStream, TunnelTarget},
};
