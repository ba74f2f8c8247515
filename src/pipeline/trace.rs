//! What happened to recent requests, for `oleandermountctl explain`.

use {
    crate::ids::RequestId,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Mutex, PoisonError},
        time::SystemTime,
    },
};

/// Requests remembered; at the bound the oldest is forgotten. About 1 KB each.
pub const TRACED_REQUESTS: usize = 4096;
/// Lines kept of one request; later ones are dropped.
pub const TRACED_LINES: usize = 64;

/// A bounded memory of decisions by request.
#[derive(Default)]
pub struct TraceLog {
    entries: Mutex<TraceEntries>,
}

#[derive(Default)]
struct TraceEntries {
    lines: BTreeMap<RequestId, Vec<String>>,
    /// The keys of `lines` in the order of arrival.
    order: VecDeque<RequestId>,
}

impl TraceLog {
    /// Notes one line. It must hold no prompt text and no key.
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

    /// The lines of a request, oldest first; empty if it is not known here.
    pub fn lines(&self, request: &RequestId) -> Vec<String> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.lines.get(request).cloned().unwrap_or_default()
    }
}
