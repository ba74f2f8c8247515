//! What a daemon tells its peers about itself, and how the revisions in force are gathered.

use {
    crate::{
        ids::{Revision, VmId},
        transport::{PeerNetwork, PeerReply, PeerRequest},
    },
    futures::{StreamExt, stream},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Peers asked at the same time; all 380 are heard in a few round trips.
const ASKED_TOGETHER: usize = 32;
/// A peer that takes longer counts as silent.
const STATUS_LIMIT: Duration = Duration::from_secs(2);

/// The state of one daemon, as its peers see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The revision in force there.
    pub revision: Revision,
    /// Whether it takes new requests.
    pub serving: bool,
    /// The leader it knows.
    #[serde(default)]
    pub leader: Option<VmId>,
    /// The voters it knows.
    #[serde(default)]
    pub voters: Vec<VmId>,
}

impl PeerStatus {
    /// The reply that carries it.
    pub fn reply(&self) -> PeerReply {
        PeerReply::Status(serde_json::to_string(self).expect("a status always encodes"))
    }

    /// Reads a reply; `None` if it is not a status.
    pub fn read(reply: &PeerReply) -> Option<Self> {
        let PeerReply::Status(text) = reply else { return None };
        serde_json::from_str(text).ok()
    }
}

/// Asks each of `peers` for its status, at most [`ASKED_TOGETHER`] at a time; `None` stands for
/// those that did not answer.
pub async fn fetch_statuses(
    network: &PeerNetwork,
    peers: impl IntoIterator<Item = VmId>,
) -> BTreeMap<VmId, Option<PeerStatus>> {
    stream::iter(peers)
        .map(|peer| async move {
            let reply = network.call(&peer, PeerRequest::Status, STATUS_LIMIT).await;
            let status = reply.ok().as_ref().and_then(PeerStatus::read);
            (peer, status)
        })
        .buffer_unordered(ASKED_TOGETHER)
        .collect()
        .await
}
