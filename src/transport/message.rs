//! What daemons say to each other.

use {
    crate::{
        control::{Command, CommandOutcome, ProposeError, ReplicaMessage},
        follow::{FollowReply, FollowRequest},
        ids::{RequestId, Revision, ServerId},
        policy::DomainDigest,
        transport::config_delta::ConfigDelta,
    },
    serde::{Deserialize, Serialize},
};

/// A message that expects no reply and may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between control replicas.
    Replica(Box<ReplicaMessage>),
    /// Between daemons of one failure domain.
    Digest(Box<DomainDigest>),
    /// Give a server no new work until it reports other weights: it is about to load them.
    DrainServer {
        /// The server.
        server: ServerId,
    },
    /// The sender has this configuration revision; who lacks it asks for it.
    ConfigNotice {
        /// The revision.
        revision: Revision,
    },
}

/// A request that gets one reply, or fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Propose a command at the leader; the peer forwards at most once more.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Whether the peer may pass it on to the leader it knows.
        may_forward: bool,
    },
    /// Fetch the configuration if it is newer than `have`.
    FetchConfig {
        /// The revision the asker has.
        have: Revision,
    },
    /// What the peer knows of a request, for `oleandermountctl explain`.
    Explain {
        /// The request.
        request: RequestId,
    },
    /// The revision in force at the peer and whether it serves.
    Status,
    /// Take nothing new and finish what is in flight.
    Drain,
    /// What has changed of the state that every daemon follows; the reply may wait for a change.
    Follow(Box<FollowRequest>),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The result of a proposal.
    Proposed(Result<CommandOutcome, ProposeError>),
    /// The configuration as JSON, or `None` when the asker's is as new.
    Config(Option<String>),
    /// The changes since the asker's revision, oldest first; each applies to the one before.
    ConfigChanges(Vec<ConfigDelta>),
    /// Trace lines of a request, oldest first; at most 64.
    Explained(Vec<String>),
    /// The peer's state as JSON.
    Status(String),
    /// The peer drains.
    Draining,
    /// The peer cannot answer; the text names the remedy.
    Refused(String),
    /// What has changed since the asker's state.
    Followed(Box<FollowReply>),
}
