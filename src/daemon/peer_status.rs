//! The status that a daemon reports to its peers, and the collection of the statuses of all
//! daemons.

use {
    crate::{
        ids::{Revision, VmId},
        transport::{PeerNetwork, PeerReply, PeerRequest},
    },
    futures::{StreamExt, stream},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Concurrent status requests; 380 peers take a few round trips.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// A peer that takes longer counts as unresponsive.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of one daemon, as its peers see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The revision in force at the daemon.
    pub revision: Revision,
    /// Whether it accepts new requests.
    pub serving: bool,
    /// The leader that its replica knows; `None` without one.
    #[serde(default)]
    pub leader: Option<VmId>,
    /// The voters that its replica knows; empty without a replica.
    #[serde(default)]
    pub voters: Vec<VmId>,
}

impl PeerStatus {
    /// The status as a reply to [`PeerRequest::Status`].
    pub fn to_reply(&self) -> PeerReply {
        PeerReply::Status(serde_json::to_string(self).expect("a status always encodes"))
    }

    /// Decodes a reply; `None` if it is not a status.
    pub fn from_reply(reply: &PeerReply) -> Option<Self> {
        let PeerReply::Status(text) = reply else { return None };
        serde_json::from_str(text).ok()
    }
}

/// Requests the status of each peer, at most `MAX_CONCURRENT_REQUESTS` at a time; `None` for
/// those that did not answer.
pub async fn fetch_statuses(
    network: &PeerNetwork,
    peers: impl IntoIterator<Item = VmId>,
) -> BTreeMap<VmId, Option<PeerStatus>> {
    stream::iter(peers)
        .map(|peer| async move {
            let reply = network.call(&peer, PeerRequest::Status, STATUS_TIMEOUT).await;
            let status = reply.ok().as_ref().and_then(PeerStatus::from_reply);
            (peer, status)
        })
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}
