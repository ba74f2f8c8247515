//! Incremental parser for server-sent events.

use bytes::{Bytes, BytesMut};

/// A parsed server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `id` field, if present and a number.
    pub id: Option<u64>,
    /// Value of the `event` field; empty if absent.
    pub name: String,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// An incomplete event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Limit for one event, which contains a few tokens; a larger event is an engine fault.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct SseParser {
    /// Never longer than [`MAX_EVENT_BYTES`] after `push`.
    buffer: BytesMut,
}

impl SseParser {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// `EventTooLong` if the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some((length, separator)) = event_end(&self.buffer) {
            let block = self.buffer.split_to(length + separator).freeze();
            events.extend(parse_event(&block.slice(..length)));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        if self.buffer.is_empty() {
            // Releases the buffer of idle streams, since thousands of them can be open.
            self.buffer = BytesMut::new();
        }
        Ok(events)
    }
}

/// Length of the first event, and length of the separator after it.
fn event_end(buffer: &[u8]) -> Option<(usize, usize)> {
    (0..buffer.len()).find_map(|at| match &buffer[at..] {
        [b'\n', b'\n', ..] => Some((at, 2)),
        [b'\r', b'\n', b'\r', b'\n', ..] => Some((at, 4)),
        _ => None,
    })
}

fn parse_event(block: &Bytes) -> Option<SseEvent> {
    let text = String::from_utf8_lossy(block);
    let fields: Vec<(&str, &str)> = text
        .lines()
        .filter(|line| !line.starts_with(':'))
        .map(|line| line.split_once(':').unwrap_or((line, "")))
        .map(|(name, value)| (name, value.strip_prefix(' ').unwrap_or(value)))
        .collect();
    let value = |key: &str| fields.iter().find(|(name, _)| *name == key).map(|field| field.1);
    let data: Vec<&str> =
        fields.iter().filter(|(name, _)| *name == "data").map(|field| field.1).collect();
    if data.is_empty() && value("event").is_none() {
        return None;
    }
    Some(SseEvent {
        id: value("id").and_then(|id| id.parse().ok()),
        name: value("event").unwrap_or_default().to_owned(),
        data: data.join("\n"),
    })
}
