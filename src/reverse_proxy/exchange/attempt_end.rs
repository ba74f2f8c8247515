//! How the dispatcher ends an attempt before the server does.

use {
    super::{HttpExchange, ResumePosition},
    crate::{
        ids::AttemptId,
        pipeline::{DispatchDirective, dispatch::RequestHandle},
        policy::{AttemptFailure, SendOrder},
    },
};

/// How the dispatcher ends an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The request ends with it.
    Cancelled,
    /// The request may go to another server.
    Withdrawn,
}

/// Waits until the dispatcher ends an attempt. One is withdrawn only as long as it has not begun, which is
/// known only if it `tells_begin`.
pub(super) async fn wait_end(
    handle: &mut RequestHandle,
    attempt: AttemptId,
    tells_begin: bool,
) -> AttemptEnd {
    loop {
        match handle.next().await {
            DispatchDirective::Cancel(ended) if ended == attempt => return AttemptEnd::Cancelled,
            DispatchDirective::Withdraw(ended) if ended == attempt && tells_begin => {
                return AttemptEnd::Withdrawn;
            }
            _ => {}
        }
    }
}

impl HttpExchange {
    /// Ends an attempt that may have been sent.
    pub(super) fn end_attempt(
        &self,
        order: &SendOrder,
        from: &ResumePosition,
        end: AttemptEnd,
    ) -> AttemptFailure {
        match end {
            // The dispatcher's next directive ends the request.
            AttemptEnd::Cancelled => AttemptFailure::TimedOut,
            AttemptEnd::Withdrawn => self.report(order, AttemptFailure::Withdrawn, from, None),
        }
    }
}
