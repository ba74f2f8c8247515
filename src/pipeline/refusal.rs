//! Error responses to callers.

use {
    super::counters::count_refusal,
    crate::policy::{DidRun, RefusalReason},
    serde::Serialize,
    std::time::Duration,
};

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRefusal {
    /// HTTP status.
    pub status: u16,
    /// A stable error code, which is also the label of the refusal counter.
    pub code: &'static str,
    /// What happened, and what the caller can do about it.
    pub message: String,
    /// Whether the request ran. `No` only if no byte of it can have reached a backend server.
    pub did_run: DidRun,
    /// When the caller may retry, if that can succeed.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: &'a str,
    message: &'a str,
    did_run: DidRun,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl CallerRefusal {
    /// Creates a refusal of a request that did not run, and counts it.
    pub fn before_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        count_refusal(code);
        CallerRefusal {
            status,
            code,
            message: message.into(),
            did_run: DidRun::No,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run, and counts it.
    pub fn after_send(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        count_refusal(code);
        CallerRefusal {
            status,
            code,
            message: message.into(),
            did_run: DidRun::Unknown,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Creates a refusal that the dispatcher decided, and counts it.
    pub fn from_policy(
        reason: RefusalReason,
        did_run: DidRun,
        retry_after: Option<Duration>,
    ) -> Self {
        count_refusal(reason.as_str());
        let (status, message) = status_and_message(reason);
        CallerRefusal {
            status,
            code: reason.as_str(),
            message: message.to_owned(),
            did_run,
            retry_after,
        }
    }

    /// The JSON body of the response.
    pub fn body(&self) -> String {
        let error = ErrorBody {
            code: self.code,
            message: &self.message,
            did_run: self.did_run,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
        };
        serde_json::to_string(&ErrorEnvelope { error }).expect("strings and numbers serialize")
    }

    /// The value of `Retry-After` in seconds, rounded up so that callers do not retry too early.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|wait| wait.as_millis().div_ceil(1000) as u64)
    }
}

fn status_and_message(reason: RefusalReason) -> (u16, &'static str) {
    match reason {
        RefusalReason::DeadlineUnreachable => (
            504,
            "the deadline cannot be met; allow more time or retry after the time in Retry-After",
        ),
        RefusalReason::DeadlinePassed => {
            (504, "the deadline passed before a backend server began to respond")
        }
        RefusalReason::QueueFull => (503, "the queue is full; retry after the time in Retry-After"),
        RefusalReason::OverShare => {
            (429, "the organisation exceeds its share; retry after the time in Retry-After")
        }
        RefusalReason::NoServer => (
            503,
            "no backend server for this request is reachable; retry after the time in Retry-After",
        ),
        RefusalReason::CrashesServers => {
            (422, "this request has crashed backend servers; change it before you send it again")
        }
        RefusalReason::RetriesExhausted => {
            (502, "backend servers failed and the retry budget is exhausted")
        }
        RefusalReason::ServerFailed => {
            (502, "the backend server failed while it processed the request")
        }
        RefusalReason::NotResumable => {
            (502, "the stream broke and no backend server can continue it with the same weights")
        }
        RefusalReason::ServersLimited => {
            (503, "all backend servers limit their requests; retry after the time in Retry-After")
        }
        RefusalReason::ServersResting => (
            503,
            "all backend servers have asked not to be used; retry after the time in Retry-After",
        ),
        RefusalReason::NoSlot => {
            (503, "the backend servers have no free slot; retry after the time in Retry-After")
        }
    }
}
