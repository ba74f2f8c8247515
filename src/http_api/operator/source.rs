//! The interface between the operators' API and the running daemon.

use {
    super::wire::{
        ConfigChange, DaemonStatus, OrganisationStatus, ReplicaEntry, ServerStatus, VmRevision,
    },
    crate::ids::{RequestId, VmId},
    displaydoc::Display,
    futures::future::BoxFuture,
    std::collections::BTreeMap,
};

/// Provides the state of the daemon. Methods that return no future read from memory and never block.
pub trait StatusSource: Send + Sync {
    /// The status of this daemon.
    fn status(&self) -> DaemonStatus;

    /// All backend servers of the register.
    fn servers(&self) -> Vec<ServerStatus>;

    /// The organisations with the most usage at this daemon, in descending order; at most `limit`.
    fn organisations(&self, limit: usize) -> Vec<OrganisationStatus>;

    /// The control replicas as this daemon knows them.
    fn replicas(&self) -> BoxFuture<'_, Vec<ReplicaEntry>>;

    /// The latest committed changes, newest first. The state machine bounds their number.
    fn history(&self) -> BoxFuture<'_, Vec<ConfigChange>>;

    /// The revision in force at every daemon of the register. Each daemon is queried with a timeout.
    fn revisions(&self) -> BoxFuture<'_, Vec<VmRevision>>;

    /// Makes a daemon drain; the call is idempotent.
    fn drain(&self, vm: VmId) -> BoxFuture<'_, Result<(), SourceError>>;

    /// Trace lines of a request, from every daemon that handled it.
    fn explain(
        &self,
        request: RequestId,
    ) -> BoxFuture<'_, Result<BTreeMap<VmId, Vec<String>>, SourceError>>;
}

/// Why a call to another daemon failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceError {
    /// VM "{0}" is not in the register; see `oleandermountctl config wait` for the names in force
    UnknownVm(VmId),
    /// VM "{0}" cannot be reached from this daemon; use that VM's own operators' address
    Unreachable(VmId),
    /// VM "{0}" did not confirm the request, which may have been carried out; send it again
    OutcomeUnknown(VmId),
    /// no daemon remembers request "{0}"; ask soon after the request, at a daemon of its failure domain
    UnknownRequest(RequestId),
}

impl std::error::Error for SourceError {}
