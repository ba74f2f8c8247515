//! Decision traces of recent requests, shown by `oleandermountctl explain`.

use {
    crate::ids::RequestId,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Mutex, PoisonError},
        time::SystemTime,
    },
};

/// Maximum number of traced requests, of about 1 KB each; beyond it the oldest trace is dropped.
pub const TRACED_REQUESTS: usize = 4096;
/// Maximum number of lines per request; further lines are dropped.
pub const TRACED_LINES: usize = 64;

/// Bounded log of decisions by request.
#[derive(Default)]
pub struct TraceLog {
    entries: Mutex<TraceEntries>,
}

#[derive(Default)]
struct TraceEntries {
    lines: BTreeMap<RequestId, Vec<String>>,
    /// The keys of `lines`, oldest first.
    order: VecDeque<RequestId>,
}

impl TraceLog {
    /// Adds a line to the trace of a request; it must not contain prompt text or keys.
    pub fn record(&self, request: &RequestId, line: impl Into<String>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if !entries.lines.contains_key(request) {
            if entries.order.len() == TRACED_REQUESTS
                && let Some(oldest) = entries.order.pop_front()
            {
                entries.lines.remove(&oldest);
            }
            entries.order.push_back(request.clone());
        }
        let lines = entries.lines.entry(request.clone()).or_default();
        if lines.len() < TRACED_LINES {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            lines.push(format!("{time} {}", line.into()));
        }
    }

    /// The lines of a request, oldest first; empty if this daemon has no trace of it.
    pub fn lines(&self, request: &RequestId) -> Vec<String> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.lines.get(request).cloned().unwrap_or_default()
    }
}
