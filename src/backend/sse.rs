//! Server-sent events, cut out of a byte stream as they complete.

use bytes::{Bytes, BytesMut};

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, if any.
    pub id: Option<u64>,
    /// The `event` field; empty for plain data.
    pub name: String,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// An event that grew past [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// One event holds a few tokens; an engine that sends more in one event is at fault.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct SseParser {
    /// Never longer than [`MAX_EVENT_BYTES`] after `push`.
    buffer: BytesMut,
}

impl SseParser {
    /// Takes more bytes and returns the events that they complete.
    ///
    /// # Errors
    /// `EventTooLong` if the unfinished event exceeds [`MAX_EVENT_BYTES`].
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
            // Idle streams hold no buffer: thousands of them are open at once.
            self.buffer = BytesMut::new();
        }
        Ok(events)
    }
}

/// Where the first event ends, and how long its blank line is.
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
    let value = |wanted: &str| fields.iter().find(|(name, _)| *name == wanted).map(|field| field.1);
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
