//! Decides whether a daemon still reaches the backend servers, and by which path it connects to them.
//!
//! The pattern: the links of one daemon, or of all daemons of a failure domain, to all servers fail,
//! while callers, other daemons and the control VMs still reach it. Connects are refused or hang, or
//! are accepted and nothing comes back; kept connections may live on while new ones fail. Without a
//! decision the daemon takes each server for failed, one after the other, and fails its callers until
//! the links are back. It can connect through another daemon instead.
//!
//! Failures at several servers without a success in between raise a suspicion, for connects, for
//! responses on new connections and for all responses separately, because connections may be accepted
//! and reset, and kept ones may still respond. After a failure other servers are checked, since the
//! requests may all use one. A suspicion alone changes little, since all servers may have failed: at
//! intervals one connection is tried through another daemon. Only if a server is reached in that way
//! while it is not reached directly does the daemon count as partitioned. A failed service, a restart
//! of all servers and a daemon with little traffic therefore cause a few trials and nothing else.

use {
    crate::ids::ServerId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Number of servers that must have failed; all of them if there are fewer.
pub const SUSPICIOUS_SERVERS: usize = 3;

/// How long a failure counts. A request tries several servers within this time, so that a daemon with
/// few requests can also become suspicious.
const FAILURE_RETENTION: Duration = Duration::from_secs(3);

/// Interval between trials of a daemon that is only suspicious.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between checks of other servers, so that a failed domain does not cause one for each
/// of its servers: a new connection costs the others something.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How a connection to a server is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPath {
    /// Directly.
    Direct,
    /// Directly, and through another daemon if that fails.
    DirectThenTunnel,
    /// Through another daemon, and directly if there is none.
    Tunnel,
}

/// What a connection is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectPurpose {
    /// A request, whose response shows that the server is reached.
    Request,
    /// A check whether the server accepts connections.
    Probe,
}

/// What a change of the monitor's state means for its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No server is reached any more except through other daemons.
    Partitioned,
    /// Servers are reached again.
    Reached,
}

/// What a failure at a server tells about the links of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// Several servers have failed without a success in between.
    Suspected,
    /// No server is reached any more except through other daemons.
    Certain,
}

/// Servers that have failed since the last success; at most [`SUSPICIOUS_SERVERS`].
#[derive(Clone, Debug, Default)]
struct FailureTrack(BTreeMap<ServerId, Instant>);

impl FailureTrack {
    fn record(&mut self, now: Instant, server: &ServerId) {
        self.0.retain(|_, failed| now.saturating_duration_since(*failed) < FAILURE_RETENTION);
        if self.0.len() < SUSPICIOUS_SERVERS || self.0.contains_key(server) {
            self.0.insert(server.clone(), now);
        }
    }

    fn is_suspicious(&self, now: Instant, listed: usize) -> bool {
        let is_recent =
            |failed: &&Instant| now.saturating_duration_since(**failed) < FAILURE_RETENTION;
        self.0.values().filter(is_recent).count() >= SUSPICIOUS_SERVERS.min(listed).max(1)
    }
}

/// Why a daemon counts as partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartitionCause {
    /// Direct connections are not accepted; kept ones may respond.
    Connects,
    /// New direct connections get no responses; kept ones may respond.
    NewConnections,
    /// No direct connection gets a response.
    Responses,
}

/// What a daemon knows of its links to all servers together.
#[derive(Clone, Debug, Default)]
pub struct ReachMonitor {
    /// Failed connects since the last accepted one.
    connects: FailureTrack,
    /// First requests of connections that got no response since the last such response.
    new_connections: FailureTrack,
    /// Requests that got no response since the last response.
    responses: FailureTrack,
    /// Set while the daemon counts as partitioned.
    partition: Option<PartitionCause>,
    last_trial: Option<Instant>,
    last_check: Option<Instant>,
}

impl ReachMonitor {
    /// Records that a server has accepted a direct connection.
    pub fn record_connected(&mut self) {
        self.connects = FailureTrack::default();
    }

    /// Records that a direct connection could not be opened.
    pub fn record_connect_failure(&mut self, now: Instant, server: &ServerId) {
        self.connects.record(now, server);
    }

    /// Records a response on a direct connection, and whether it is the first one there.
    pub fn record_response(&mut self, is_first: bool) -> Option<ReachChange> {
        self.responses = FailureTrack::default();
        if is_first {
            self.new_connections = FailureTrack::default();
        }
        let ends = match self.partition {
            Some(PartitionCause::Responses) => true,
            Some(PartitionCause::NewConnections) => is_first,
            Some(PartitionCause::Connects) | None => false,
        };
        ends.then(|| self.partition = None).map(|()| ReachChange::Reached)
    }

    /// Records that a direct connection is silent, or broke before its first response; `is_first`
    /// tells whether the request is the first one there. A kept connection that breaks is no failure,
    /// since servers close idle ones.
    pub fn record_no_response(&mut self, now: Instant, server: &ServerId, is_first: bool) {
        self.responses.record(now, server);
        if is_first {
            self.new_connections.record(now, server);
        }
    }

    /// Records that a server was reached through another daemon. `responded` tells whether it has
    /// responded there; an accepted connection is evidence only if direct ones are not accepted.
    pub fn record_tunnelled(
        &mut self,
        now: Instant,
        listed: usize,
        responded: bool,
    ) -> Option<ReachChange> {
        if self.partition.is_some() {
            return None;
        }
        if self.connects.is_suspicious(now, listed) {
            self.partition = Some(PartitionCause::Connects);
        } else if responded && self.responses.is_suspicious(now, listed) {
            self.partition = Some(PartitionCause::Responses);
        } else if responded && self.new_connections.is_suspicious(now, listed) {
            self.partition = Some(PartitionCause::NewConnections);
        }
        self.partition.map(|_| ReachChange::Partitioned)
    }

    /// Records that a server has responded to a direct check while the daemon was partitioned.
    pub fn record_check(&mut self) -> Option<ReachChange> {
        std::mem::take(self).partition.map(|_| ReachChange::Reached)
    }

    /// Whether servers are reached only through other daemons.
    pub fn is_partitioned(&self) -> bool {
        self.partition.is_some()
    }

    /// Whether a failure at one of `listed` servers may be this daemon's own.
    pub fn is_suspicious(&self, now: Instant, listed: usize) -> bool {
        self.is_partitioned()
            || self.connects.is_suspicious(now, listed)
            || self.new_connections.is_suspicious(now, listed)
            || self.responses.is_suspicious(now, listed)
    }

    /// Whether the next request has to use a new connection, because only that can show whether silent
    /// servers are reached. Without it requests would use up all kept connections first.
    pub fn is_trial_due(&self, now: Instant, listed: usize) -> bool {
        !self.is_partitioned() && self.responses.is_suspicious(now, listed) && self.may_try(now)
    }

    /// Whether other servers have to be checked after a failure at one, up to [`SUSPICIOUS_SERVERS`] and
    /// until one responds; the check then counts as started. Without it a daemon whose requests use few
    /// servers would take a failure of its links for one of a server.
    pub fn start_check(&mut self, now: Instant) -> bool {
        let since = self.last_check.map(|check| now.saturating_duration_since(check));
        let is_due = since.is_none_or(|elapsed| elapsed >= CHECK_INTERVAL);
        if is_due {
            self.last_check = Some(now);
        }
        is_due
    }

    fn may_try(&self, now: Instant) -> bool {
        let since = self.last_trial.map(|trial| now.saturating_duration_since(trial));
        since.is_none_or(|elapsed| elapsed >= TRIAL_INTERVAL)
    }

    /// Decides how to open a connection to one of `listed` servers.
    pub fn choose_path(
        &mut self,
        now: Instant,
        listed: usize,
        purpose: ConnectPurpose,
    ) -> ServerPath {
        if self.is_partitioned() {
            return ServerPath::Tunnel;
        }
        if !self.is_suspicious(now, listed) {
            return ServerPath::Direct;
        }
        let connects_fail = self.connects.is_suspicious(now, listed);
        // A probe in place of a request would delay the only trial that can show something.
        if purpose == ConnectPurpose::Probe && !connects_fail {
            return ServerPath::Direct;
        }
        if !self.may_try(now) {
            return ServerPath::Direct;
        }
        self.last_trial = Some(now);
        if connects_fail { ServerPath::DirectThenTunnel } else { ServerPath::Tunnel }
    }
}
