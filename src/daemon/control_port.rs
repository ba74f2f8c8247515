//! The interface of the replicated state for the pipeline and the operators' API.

use {
    crate::{
        control::{Command, CommandOutcome, ProposeError},
        inventory::ActiveConfig,
    },
    futures::future::BoxFuture,
    std::sync::Arc,
    tokio::sync::watch,
};

/// The configuration in force at this daemon; its revision never decreases.
pub type ConfigWatch = watch::Receiver<Arc<ActiveConfig>>;

/// Proposes commands to the leader, on whichever VM it runs.
pub trait ControlPort: Send + Sync {
    /// Proposes `command` and waits for its outcome.
    ///
    /// # Errors
    /// `NoQuorum` and `Busy` guarantee that the command did not enter the log; after
    /// `OutcomeUnknown` it may have.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>>;
}

/// A port for daemons that have found no control replica: each proposal fails with `NoQuorum`,
/// which guarantees that it was not executed.
pub struct UnavailableControl;

impl ControlPort for UnavailableControl {
    fn propose(&self, _command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async { Err(ProposeError::NoQuorum) })
    }
}
