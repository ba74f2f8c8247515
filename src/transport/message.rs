//! Messages, requests and replies between daemons.

use {
    crate::{
        control::{Command, CommandOutcome, ProposeError, ReplicaMessage},
        follow::{
            FollowReply, FollowRequest,
            stream_origins::{OriginAnswer, OriginReport, StreamKey},
        },
        ids::{LeaseId, OrganisationId, RequestId, Revision, ServerId, ServiceId, VmId},
        policy::{
            DomainDigest,
            slot_leases::{LeaseDemand, LeaseGrant, LeaseRefusal, LeaseReport},
            usage_limits::{ShareGrant, ShareReport, UsageReply, UsageRequest},
        },
        transport::config_delta::ConfigDelta,
    },
    serde::{Deserialize, Serialize},
};

/// A message that expects no reply and may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message between control replicas.
    Replica(Box<ReplicaMessage>),
    /// A digest of the sender's state, sent to the daemons of its failure domain and to a few
    /// daemons of each other domain.
    Digest(Box<DomainDigest>),
    /// Send a server no new requests until it reports other weights, because it is about to load them.
    DrainServer {
        /// The server to drain.
        server: ServerId,
    },
    /// The sender has this configuration revision. A receiver with an older one fetches it.
    ConfigNotice {
        /// The revision in force at the sender.
        revision: Revision,
    },
    /// Keeps a connection with tunnels open, on which no bytes may be sent for a while.
    KeepAlive,
    /// A lease of a server's slot, or the request for one, has ended.
    EndLease {
        /// The server.
        server: ServerId,
        /// The lease.
        lease: LeaseId,
        /// What the sender has not told yet of the request.
        report: Option<LeaseReport>,
    },
    /// All leases that the sender has of the receiver.
    HeldLeases(Vec<(ServerId, LeaseId)>),
    /// Where streams have begun.
    StreamOrigins {
        /// The streams by origin.
        origins: Vec<OriginReport>,
        /// Whether another control VM sends what an entry has reported.
        is_copy: bool,
    },
    /// The server had no room for the request of a lease, which ends by that.
    LeaseRejected {
        /// The server.
        server: ServerId,
        /// The lease.
        lease: LeaseId,
    },
    /// Units that the receiver granted and the sender did not use; negative ones were used in excess.
    ReturnUsage(Vec<(OrganisationId, f64)>),
    /// The sender stops and uses none of its shares of usage limits any more.
    ReleaseUsage,
    /// The server has read the prompt of a lease.
    LeaseProgress {
        /// The server.
        server: ServerId,
        /// The lease.
        lease: LeaseId,
        /// What the sender knows of the request.
        report: LeaseReport,
    },
}

/// A request that gets exactly one reply, or fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Propose a command to the leader. The peer forwards it at most once.
    Propose {
        /// The command to propose.
        command: Box<Command>,
        /// Whether the peer may forward the command to the leader that it knows.
        may_forward: bool,
    },
    /// Fetch the configuration if it is newer than `have`.
    FetchConfig {
        /// The revision that the caller has.
        have: Revision,
    },
    /// Return the peer's trace of a request, for `oleandermountctl explain`.
    Explain {
        /// The id of the traced request.
        request: RequestId,
    },
    /// Return the revision in force at the peer, and whether the peer serves.
    Status,
    /// Accept no new requests and complete those in flight.
    Drain,
    /// Return changes of the state that every daemon follows; the peer may wait for a change before it
    /// replies.
    Follow(Box<FollowRequest>),
    /// Return entries that reach the backend servers.
    TunnelPeers {
        /// Whether it is certain that the caller reaches none itself.
        is_partitioned: bool,
    },
    /// Connect to a server. After the reply the stream carries the bytes of the connection.
    OpenTunnel {
        /// The server, which must be in the peer's server list.
        server: ServerId,
    },
    /// Lease a slot of a server, of which the peer is the arbiter.
    LeaseSlot {
        /// The server.
        server: ServerId,
        /// The identifier of the lease.
        lease: LeaseId,
        /// What the request needs, and how long it can wait.
        demand: LeaseDemand,
    },
    /// Return where a stream began.
    StreamOrigin {
        /// The service that a request to resume it would be sent to.
        service: ServiceId,
        /// The stream.
        stream: StreamKey,
    },
    /// Grant units of the usage limit of an organisation, of which the peer is the arbiter.
    AcquireUsage(Box<UsageRequest>),
    /// Renew the sender's shares of usage limits.
    RenewUsage(Vec<ShareReport>),
}

/// Why a peer did not open a tunnel; nothing was sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// Nothing listens on the server's address.
    ServerRefused,
    /// The server did not accept the connection in time.
    ServerUnreachable,
    /// The peer opens no tunnel now: it does not list the server, reaches no server either, drains, or
    /// has too many tunnels.
    Unavailable,
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The result of a proposal.
    Proposed(Result<CommandOutcome, ProposeError>),
    /// The configuration as JSON, or `None` if the caller has the latest revision.
    Config(Option<String>),
    /// The changes since the caller's revision, oldest first; each applies to the result of the
    /// previous one.
    ConfigChanges(Vec<ConfigDelta>),
    /// Trace lines of a request, oldest first; at most 64.
    Explained(Vec<String>),
    /// The peer's state as JSON.
    Status(String),
    /// The peer has started to drain.
    Draining,
    /// The peer cannot answer; the text contains the remedy.
    Refused(String),
    /// The changes since the state that the caller reported.
    Followed(Box<FollowReply>),
    /// Entries that probably reach the backend servers.
    TunnelPeers(Vec<VmId>),
    /// Whether the tunnel is open.
    TunnelOpened(Result<(), TunnelRefusal>),
    /// Whether the slot is leased.
    SlotLeased(Result<LeaseGrant, LeaseRefusal>),
    /// What the peer knows of a stream.
    StreamOrigin(OriginAnswer),
    /// Whether units were granted.
    UsageAcquired(UsageReply),
    /// The caller's shares from now on.
    UsageRenewed(Vec<ShareGrant>),
}
