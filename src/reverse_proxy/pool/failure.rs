//! Why a connection was not opened, or broke.

use {crate::policy::AttemptFailure, displaydoc::Display, std::io::ErrorKind};

/// Reason for which a request got no response head.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PoolError {
    /// the connection could not be established, and no byte was sent
    NotConnected,
    /// the connection limit of the server is reached, and no byte was sent
    Full,
    /// the connection broke after bytes were sent; the server may have run the request
    Broken,
    /// the server's VM stopped acknowledging after bytes were sent; it may have run the request
    Unreachable,
}

impl std::error::Error for PoolError {}

impl PoolError {
    pub(super) fn after_sending(error: &hyper::Error) -> Self {
        match broken_attempt(error) {
            AttemptFailure::Unreachable => PoolError::Unreachable,
            _ => PoolError::Broken,
        }
    }
}

/// Returns how an attempt failed whose connection ended with this error after bytes were sent.
pub fn broken_attempt(error: &(dyn std::error::Error + 'static)) -> AttemptFailure {
    let mut source = Some(error);
    while let Some(cause) = source {
        let is_silent = |error: &std::io::Error| {
            matches!(
                error.kind(),
                ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
            )
        };
        if cause.downcast_ref::<std::io::Error>().is_some_and(is_silent) {
            return AttemptFailure::Unreachable;
        }
        source = cause.source();
    }
    AttemptFailure::Broken
}

/// Why no connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// The connection limit is reached.
    Full,
    /// Nothing listens on the address.
    Refused,
    /// Nothing was received, or the connection failed otherwise.
    Failed,
}

impl From<ConnectError> for PoolError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Full => PoolError::Full,
            ConnectError::Refused | ConnectError::Failed => PoolError::NotConnected,
        }
    }
}
