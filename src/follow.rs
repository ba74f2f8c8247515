//! How every daemon follows the state that all share: the operators' document, the named weights
//! and the list of backend servers.
//!
//! A daemon asks one control VM at a time and says what it holds; the answer waits until there is
//! something newer, or a second has passed. So a change is on its way at once, an idle daemon costs
//! one small message a second, and no daemon speaks to all others. Each prefers the control VM of
//! its own failure domain, which keeps the traffic inside the domain, as long as that VM itself
//! is up to date.

pub mod confirmation;
pub mod desk;
pub mod document_delta;
pub mod task;

use {
    self::document_delta::DocumentDelta,
    crate::{
        control::document::{NamedWeights, NumberedDocument},
        fleet::{FleetSnapshot, history::FleetDelta},
        ids::{DocumentNumber, FailureDomainId, Term, VmId},
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// How long an answer waits for a change.
pub const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Who follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowerKind {
    /// An entry, which needs everything.
    #[default]
    Entry,
    /// Another control VM, which needs the server list alone: its replica brings the rest.
    Control {
        /// Entries that follow it.
        entries: u32,
    },
}

/// What a follower asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerMode {
    /// How well the VM suits, and short news: many are asked at once, and one of them is followed.
    #[default]
    Suitability,
    /// What has changed, at once.
    Now,
    /// What has changed, as soon as something has.
    Wait,
}

/// What a follower holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The number of its document.
    pub document: DocumentNumber,
    /// Its named weights; few, so they go whole.
    pub weights: NamedWeights,
    /// The digest of its server list.
    pub fleet: u64,
    /// The digest of the control VMs that it knows.
    pub control: u64,
    /// The latest term in which it heard of a leader.
    pub term: Term,
    /// Who asks.
    pub follower: FollowerKind,
    /// What it asks for.
    pub mode: AnswerMode,
    /// Whether it needs the document whole: a difference did not fit.
    pub whole: bool,
}

/// What has changed; `None` where the asker is up to date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// The document, if a newer one is in force and the asker's is not known.
    pub document: Option<NumberedDocument>,
    /// What makes it out of the asker's document, if that is known and much of it is kept.
    pub document_delta: Option<DocumentDelta>,
    /// All named weights, if they differ.
    pub weights: Option<NamedWeights>,
    /// The server list, if it differs and the asker's is not known.
    pub fleet: Option<FleetSnapshot>,
    /// What has changed of the asker's server list, if that is known.
    pub fleet_delta: Option<FleetDelta>,
    /// The control VMs, if they differ.
    pub control: Option<Vec<VmId>>,
    /// Whether the answering VM has what the leader has committed: if not, others may know of later
    /// changes.
    pub fresh: bool,
    /// Whether its server list was read, or confirmed by who reads it, just now.
    pub list_fresh: bool,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Entries in all, as far as it knows; at least 1.
    pub entries: u32,
    /// The term of the leader that the answering VM hears from; 0 if it hears from none.
    pub term: Term,
    /// The number of the document that the answering VM holds.
    pub held: DocumentNumber,
}

/// What a follower has learned; numbers never go back within a daemon's life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedState {
    /// The operators' document.
    pub document: NumberedDocument,
    /// The named weights.
    pub weights: NamedWeights,
    /// The server list; `None` before the first.
    pub fleet: Option<Arc<FleetSnapshot>>,
    /// The digest of the list as it was received: who sent it must not take what was kept of an
    /// earlier one for a change, and send the same list again and again.
    pub fleet_digest: u64,
    /// The control VMs, as the replicas' membership names them; empty before the first answer.
    pub control: Vec<VmId>,
    /// Entries that share the servers; at least 1 once known.
    pub entries: u32,
    /// The latest term in which a leader was heard of; it changes with each new leader.
    pub term: Term,
    /// Whether a difference did not fit the document, so that the next one is needed whole.
    pub needs_whole: bool,
}

/// Tells lists of control VMs apart; 0 for the empty one.
pub fn control_digest(control: &[VmId]) -> u64 {
    if control.is_empty() { 0 } else { xxh3_64(control.join("\n").as_bytes()).max(1) }
}

impl SharedState {
    /// Takes over what is newer; true if anything was.
    pub fn take(&mut self, reply: FollowReply) -> bool {
        let before = self.clone();
        if let Some(document) = reply.document
            && document.number > self.document.number
        {
            self.document = document;
            self.needs_whole = false;
        }
        if let Some(delta) = reply.document_delta {
            self.take_delta(&delta);
        }
        for (model, version) in reply.weights.into_iter().flatten() {
            let known = self.weights.entry(model).or_default();
            *known = version.max(*known);
        }
        if let Some(fleet) = reply.fleet {
            let digest = fleet.digest();
            self.take_fleet(fleet, digest);
        }
        if let Some(delta) = reply.fleet_delta
            && delta.base == self.fleet_digest
        {
            let former = self.fleet.clone().unwrap_or_default();
            self.take_fleet(former.apply(&delta), delta.digest);
        }
        if let Some(control) = reply.control {
            self.control = control;
        }
        self.entries = reply.entries.max(1);
        self.term = self.term.max(reply.term);
        *self != before
    }

    fn take_delta(&mut self, delta: &DocumentDelta) {
        if delta.number <= self.document.number {
            return;
        }
        match delta.apply(&self.document) {
            Ok(document) => self.document = document,
            Err(error) => {
                log::warn!(document = self.document.number, error:% = error;
                    "a changed document was not taken");
                self.needs_whole = true;
            }
        }
    }

    fn take_fleet(&mut self, mut fleet: FleetSnapshot, digest: u64) {
        self.fleet_digest = digest;
        if let Some(former) = &self.fleet {
            fleet.keep_draining(former);
        }
        self.fleet = Some(Arc::new(fleet));
    }
}
