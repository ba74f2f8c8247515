//! Options of the limits on callers' requests.

use {
    super::{
        OptionFault,
        values::{count, duration, text},
    },
    bpaf::{Parser, construct},
    std::time::Duration,
};

/// Typical request heads are under 2 KB; 32 KB leaves room for long cookies of the load balancer.
const DEFAULT_HEAD_BYTES: usize = 32 * 1024;
/// Minimum buffer size that hyper's parser requires.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// A prompt of a million tokens has about 4 MB; JSON escapes can double it.
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Requests of common clients have fewer than 30 headers.
const DEFAULT_HEADERS: usize = 100;
/// Memory of a small VM.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// A head fits in a few packets, so a slower sender only occupies a connection.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest body takes about half a minute at 2 Mbit/s.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits on callers' requests. Each limit is positive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum bytes of the request line and headers.
    pub max_head_bytes: usize,
    /// Maximum bytes of the body.
    pub max_body_bytes: usize,
    /// Memory of the process in bytes. Half of what is left after 24 MiB may be held for clients.
    pub max_memory_bytes: usize,
    /// Maximum number of headers.
    pub max_headers: usize,
    /// Maximum time from the connection, or from the end of the previous request, to the end of the
    /// head.
    pub head_timeout: Duration,
    /// Maximum time from the end of the head to the end of the body.
    pub body_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            max_body_bytes: DEFAULT_BODY_BYTES,
            max_memory_bytes: DEFAULT_MEMORY_BYTES,
            max_headers: DEFAULT_HEADERS,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct RawLimits {
    max_head_bytes: Option<String>,
    max_body_bytes: Option<String>,
    max_memory_bytes: Option<String>,
    max_headers: Option<String>,
    head_timeout: Option<String>,
    body_timeout: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawLimits> {
    let max_head_bytes = text(
        "max-head-bytes",
        "OLEANDERMOUNT_MAX_HEAD_BYTES",
        "BYTES",
        "Maximum bytes of the request line and headers (default 32768)",
    );
    let max_body_bytes = text(
        "max-body-bytes",
        "OLEANDERMOUNT_MAX_BODY_BYTES",
        "BYTES",
        "Maximum bytes of a request body (default 8388608)",
    );
    let max_memory_bytes = text(
        "max-memory-bytes",
        "OLEANDERMOUNT_MAX_MEMORY_BYTES",
        "BYTES",
        "Memory of the process, of which less than half may be held for clients (default 268435456)",
    );
    let max_headers = text(
        "max-headers",
        "OLEANDERMOUNT_MAX_HEADERS",
        "COUNT",
        "Maximum number of headers of a request (default 100)",
    );
    let head_timeout = text(
        "head-timeout",
        "OLEANDERMOUNT_HEAD_TIMEOUT",
        "DURATION",
        "Maximum time to send the head of a request (default 10s)",
    );
    let body_timeout = text(
        "body-timeout",
        "OLEANDERMOUNT_BODY_TIMEOUT",
        "DURATION",
        "Maximum time to send the body of a request (default 30s)",
    );
    construct!(RawLimits {
        max_head_bytes,
        max_body_bytes,
        max_memory_bytes,
        max_headers,
        head_timeout,
        body_timeout
    })
}

pub(super) fn check(raw: RawLimits, faults: &mut Vec<OptionFault>) -> RequestLimits {
    let default = RequestLimits::default();
    let range = Duration::from_millis(100)..=Duration::from_secs(600);
    RequestLimits {
        max_head_bytes: count(
            faults,
            "--max-head-bytes",
            raw.max_head_bytes,
            default.max_head_bytes,
            MIN_HEAD_BYTES..=1 << 20,
        ),
        max_body_bytes: count(
            faults,
            "--max-body-bytes",
            raw.max_body_bytes,
            default.max_body_bytes,
            1024..=1 << 30,
        ),
        max_memory_bytes: count(
            faults,
            "--max-memory-bytes",
            raw.max_memory_bytes,
            default.max_memory_bytes,
            32 << 20..=1 << 40,
        ),
        max_headers: count(faults, "--max-headers", raw.max_headers, default.max_headers, 8..=1000),
        head_timeout: duration(
            faults,
            "--head-timeout",
            raw.head_timeout,
            default.head_timeout,
            range.clone(),
        ),
        body_timeout: duration(
            faults,
            "--body-timeout",
            raw.body_timeout,
            default.body_timeout,
            range,
        ),
    }
}
