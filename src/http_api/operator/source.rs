//! What the operators' interface asks the running daemon for.

use {
    super::wire::{
        ConfigChange, DaemonStatus, OrganisationStatus, ReplicaEntry, ServerStatus, VmRevision,
    },
    crate::ids::{RequestId, VmId},
    displaydoc::Display,
    futures::future::BoxFuture,
    std::collections::BTreeMap,
};

/// Answers for the daemon; the calls without a future come from memory and never wait.
pub trait StatusSource: Send + Sync {
    /// The daemon's account of itself.
    fn status(&self) -> DaemonStatus;

    /// All backend servers of the register.
    fn servers(&self) -> Vec<ServerStatus>;

    /// The organisations that used this daemon most, the heaviest first; at most `limit`.
    fn organisations(&self, limit: usize) -> Vec<OrganisationStatus>;

    /// The control replicas.
    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaEntry>>;

    /// The latest committed changes, the newest first; bounded by the state machine.
    fn history(&self) -> BoxFuture<'_, Vec<ConfigChange>>;

    /// The revision in force at every daemon of the register, asked now, with a time limit each.
    fn revisions(&self) -> BoxFuture<'_, Vec<VmRevision>>;

    /// Makes a daemon drain; the order is idempotent.
    fn drain(&self, vm: VmId) -> BoxFuture<'_, Result<(), SourceError>>;

    /// Trace lines of a request, from every daemon that worked on it.
    fn explain(
        &self,
        request: RequestId,
    ) -> BoxFuture<'_, Result<BTreeMap<VmId, Vec<String>>, SourceError>>;
}

/// Why an order or a question to another daemon failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceError {
    /// VM "{0}" is not in the register; see `oleandermountctl config wait` for the names in force
    UnknownVm(VmId),
    /// VM "{0}" cannot be reached from here; ask at its own operators' address
    Unreachable(VmId),
    /// VM "{0}" did not answer whether it took the order; give the order again
    OutcomeUnknown(VmId),
    /// no daemon remembers request "{0}"; ask soon after the request, at a daemon of its failure domain
    UnknownRequest(RequestId),
}

impl std::error::Error for SourceError {}
