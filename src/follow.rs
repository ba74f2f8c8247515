//! Replication of the shared state to every daemon: the operators' document, the named weights and
//! the list of backend servers.
//!
//! A daemon polls one control VM at a time and sends the versions that it has (long polling): the
//! answer is delayed until there is something newer, or for a second. Changes are thereby sent
//! immediately, an idle daemon costs one small message a second, and no daemon communicates with
//! all others. A daemon prefers the control VM of its own failure domain, which keeps the traffic
//! within the domain, as long as that VM is up to date.

mod client;
pub mod confirmation;
pub mod document_delta;
pub mod entry_directory;
pub mod evidence;
pub mod origin_journal;
pub mod origin_service;
pub mod service;
pub mod stream_origins;
mod suitability;
pub mod task;
mod transfer;
pub mod weights_history;

use {
    self::document_delta::DocumentDelta,
    crate::{
        control::document::{NamedWeights, NumberedDocument},
        fleet::{FleetSnapshot, history::FleetDelta},
        ids::{DocumentNumber, FailureDomainId, ModelId, ServiceId, Term, VmId, WeightsNumber},
        policy::suspect::CrashReport,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The longest time that an answer is delayed while nothing changes.
pub const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of versions of a model whose times are known; the oldest ones are dropped.
pub const MAX_VERSIONS: usize = 64;

/// Differences between ages that are not applied: answers take some time, and each change is applied to all
/// servers.
const AGE_TOLERANCE: Duration = Duration::from_millis(50);

/// For how long versions of a model's weights have been named.
pub type VersionAges = BTreeMap<WeightsNumber, Duration>;

/// When versions of a model's weights were named.
pub type VersionTimes = BTreeMap<WeightsNumber, Instant>;

/// The role of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerKind {
    /// An entry, which needs the complete state.
    #[default]
    Entry,
    /// Another control VM, which needs only the server list: its replica provides the rest.
    Control {
        /// The number of entries that follow this control VM.
        entries: u32,
    },
}

/// The kind of answer that a follower requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerMode {
    /// The suitability of the control VM and small changes only. A follower asks many VMs at the
    /// same time before it selects the one to follow.
    #[default]
    Suitability,
    /// All changes, immediately.
    Now,
    /// All changes, delayed by up to [`ANSWER_WAIT`] until there is one.
    Wait,
}

/// A request of a follower, with the versions that it has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The number of its document; 0 before the first.
    pub document: DocumentNumber,
    /// Its named weights, in full, since there are few.
    pub weights: NamedWeights,
    /// The digest of its server list; 0 if it has none.
    pub fleet: u64,
    /// The digest of the control VMs that it knows; see [`control_digest`].
    pub control: u64,
    /// The latest term in which it learned of a leader.
    pub term: Term,
    /// The role of the follower.
    pub follower: FollowerKind,
    /// The requested kind of answer.
    pub mode: AnswerMode,
    /// Whether it needs the full document, because a delta could not be applied.
    #[serde(rename = "whole")]
    pub needs_full: bool,
    /// Whether it is receiving a document, so that it can use no other one until that has arrived.
    pub receives_document: bool,
    /// The digest of the crash reports that it received; see [`evidence::evidence_digest`].
    pub evidence: u64,
    /// The services whose servers have just named how many requests they can reject.
    pub limited_services: BTreeSet<ServiceId>,
    /// From a control VM, a sample of its entries that reach the backend servers; else empty.
    pub tunnel_peers: Vec<VmId>,
}

/// The changes for a follower; `None` where it is up to date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// The full document, if there is a newer one and no delta from the follower's.
    pub document: Option<NumberedDocument>,
    /// The delta from the follower's document, if that is known here and the delta is small.
    pub document_delta: Option<DocumentDelta>,
    /// All named weights, if they differ.
    pub weights: Option<NamedWeights>,
    /// For how long the answering VM has known recently named weights and the versions before them, or that
    /// others have. Also without `weights`: the follower may know of them from a VM that had just started.
    pub weights_ages: BTreeMap<ModelId, VersionAges>,
    /// The full server list, if it differs and the follower's is not known here.
    pub fleet: Option<Arc<FleetSnapshot>>,
    /// The delta from the follower's server list, if that is known here.
    pub fleet_delta: Option<FleetDelta>,
    /// The control VMs, if they differ.
    pub control: Option<Vec<VmId>>,
    /// Whether the answering VM has everything that the leader has committed. If not, other VMs may
    /// have later changes.
    pub fresh: bool,
    /// Whether its server list was recently read, or confirmed by the VM that reads it.
    pub list_fresh: bool,
    /// The failure domain of the answering VM.
    pub failure_domain: FailureDomainId,
    /// The total number of entries, as far as the answering VM knows; at least 1.
    pub entries: u32,
    /// The term of the answering VM's leader; 0 if it knows none.
    pub term: Term,
    /// The number of the answering VM's document.
    pub held: DocumentNumber,
    /// All crash reports, if they differ.
    pub evidence: Option<Vec<CrashReport>>,
    /// The services whose servers have just named to any entry how many requests they can reject.
    pub limited_services: BTreeSet<ServiceId>,
    /// To a control VM, a sample of all entries that reach the backend servers; else empty.
    pub tunnel_peers: Vec<VmId>,
    /// The body of `document` as one frame of zstd, if the answering VM has it.
    #[serde(skip)]
    pub packed_body: Option<Arc<[u8]>>,
}

/// The state that a follower has received; numbers never decrease while the daemon runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// The operators' document.
    pub document: NumberedDocument,
    /// The named weights.
    pub weights: NamedWeights,
    /// When `weights` and the versions before them were named, as far as the answering VMs knew.
    pub weights_named_at: BTreeMap<ModelId, VersionTimes>,
    /// The server list; `None` before the first one.
    pub fleet: Option<Arc<FleetSnapshot>>,
    /// The digest of the list as it was received. `fleet` may retain servers of an earlier list; a
    /// digest of it would differ from the sender's, which would then send the same list repeatedly.
    pub fleet_digest: u64,
    /// The control VMs according to the replicas' membership; empty before the first answer.
    pub control: Vec<VmId>,
    /// The number of entries that share the servers; 0 before the first answer.
    pub entries: u32,
    /// The latest term in which a leader was known; it increases with each new leader.
    pub term: Term,
    /// Whether a delta could not be applied, so that the next document must be sent in full.
    pub needs_full: bool,
}

/// Merges the ages of versions, as known at `now`, into their times: the longest time counts. Of more than
/// [`MAX_VERSIONS`] the oldest ones are dropped.
fn merge_ages(times: &mut VersionTimes, now: Instant, ages: VersionAges) {
    for (version, age) in ages {
        let named_at = now.checked_sub(age).unwrap_or(now);
        let known = times.entry(version).or_insert(named_at);
        if named_at + AGE_TOLERANCE < *known {
            *known = named_at;
        }
    }
    while times.len() > MAX_VERSIONS {
        times.pop_first();
    }
}

/// The digest of a list of control VMs; 0 for the empty list.
pub fn control_digest(control: &[VmId]) -> u64 {
    if control.is_empty() { 0 } else { xxh3_64(control.join("\n").as_bytes()).max(1) }
}

impl SharedState {
    /// Applies everything in the reply that is newer; returns whether the state has changed.
    pub fn apply(&mut self, reply: FollowReply) -> bool {
        let before = self.clone();
        if let Some(document) = reply.document {
            self.apply_document(document);
        }
        if let Some(delta) = reply.document_delta {
            self.apply_document_delta(&delta);
        }
        for (model, version) in reply.weights.into_iter().flatten() {
            let known = self.weights.entry(model.clone()).or_default();
            *known = version.max(*known);
            if !reply.weights_ages.contains_key(&model) {
                self.apply_ages(model, [(version, Duration::ZERO)].into());
            }
        }
        for (model, ages) in reply.weights_ages {
            self.apply_ages(model, ages);
        }
        if let Some(fleet) = reply.fleet {
            let digest = fleet.digest();
            self.set_fleet(fleet, digest);
        }
        if let Some(delta) = reply.fleet_delta
            && delta.base == self.fleet_digest
        {
            let former = self.fleet.clone().unwrap_or_default();
            self.set_fleet(Arc::new(former.apply(&delta)), delta.digest);
        }
        if let Some(control) = reply.control {
            self.control = control;
        }
        self.entries = reply.entries.max(1);
        self.term = self.term.max(reply.term);
        *self != before
    }

    /// Of several answers about a version, the one of the VM that has known it for longest counts.
    fn apply_ages(&mut self, model: ModelId, ages: VersionAges) {
        let times = self.weights_named_at.entry(model).or_default();
        merge_ages(times, Instant::now(), ages);
    }

    /// Replaces the document by a full one if that is newer; returns whether it is.
    pub fn apply_document(&mut self, document: NumberedDocument) -> bool {
        let is_newer = document.number > self.document.number;
        if is_newer {
            self.document = document;
            self.needs_full = false;
        }
        is_newer
    }

    fn apply_document_delta(&mut self, delta: &DocumentDelta) {
        if delta.number <= self.document.number {
            return;
        }
        match delta.apply(&self.document) {
            Ok(document) => self.document = document,
            Err(error) => {
                log::warn!(document = self.document.number, error:% = error;
                    "cannot apply a document delta; requesting the full document");
                self.needs_full = true;
            }
        }
    }

    fn set_fleet(&mut self, mut fleet: Arc<FleetSnapshot>, digest: u64) {
        self.fleet_digest = digest;
        if let Some(former) = &self.fleet {
            Arc::make_mut(&mut fleet).keep_known(former);
        }
        self.fleet = Some(fleet);
    }
}
