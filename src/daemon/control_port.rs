//! What the pipeline and the operators' interface need of the replicated state.

use {
    crate::{
        control::{Command, CommandOutcome, ProposeError},
        inventory::ActiveConfig,
    },
    futures::future::BoxFuture,
    std::sync::Arc,
    tokio::sync::watch,
};

/// The configuration in force at this daemon; its revision never falls.
pub type ConfigWatch = watch::Receiver<Arc<ActiveConfig>>;

/// Proposes commands, wherever the leader is.
pub trait ControlPort: Send + Sync {
    /// Proposes `command` and waits for its outcome.
    ///
    /// # Errors
    /// `NoQuorum` and `Busy` promise that the command did not enter the log;
    /// `OutcomeUnknown` promises nothing.
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>>;
}

/// A port without replicas, for daemons that have found no control replica: nothing can be
/// decided, and callers are told so truthfully.
pub struct UnavailableControl;

impl ControlPort for UnavailableControl {
    fn propose(&self, _command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        Box::pin(async { Err(ProposeError::NoQuorum) })
    }
}
