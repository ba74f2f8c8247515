//! Incremental parser for server-sent events.
//!
//! The syntax is that of the HTML standard: a line ends with LF, CRLF or CR, an empty line ends an
//! event, and a line that begins with a colon is a comment. The framing of the body does not show
//! whether a stream is complete, since a server that crashes may end it like a complete one. A stream
//! that ends inside an event is therefore incomplete, however its body ends.

use {
    bytes::{Bytes, BytesMut},
    std::ops::Range,
};

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

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Whether a value of `Content-Type` is that of an event stream.
pub fn is_event_stream(content_type: impl AsRef<str>) -> bool {
    let media_type = content_type.as_ref().split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Whether a complete body with this `Content-Type` is an event stream that ends inside an event.
pub fn is_interrupted(content_type: impl AsRef<str>, body: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    scanner.scan(body);
    is_event_stream(content_type) && scanner.is_inside_event()
}

/// Whether an event with the id `next` can come after one with the id `last`: of two numbers it has to be
/// the higher one, and other ids, which have no known order, only have to differ.
pub fn is_later(next: impl AsRef<str>, last: impl AsRef<str>) -> bool {
    let (next, last) = (next.as_ref(), last.as_ref());
    match (decimal_order(next), decimal_order(last)) {
        (Some(next), Some(last)) => next > last,
        _ => next != last,
    }
}

/// The order of decimal numbers of any length.
fn decimal_order(id: &str) -> Option<(usize, &str)> {
    let is_number = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit());
    let digits = id.trim_start_matches('0');
    is_number.then_some((digits.len(), digits))
}

/// Whether an event, given with its lines, has data. Others are not dispatched.
pub fn has_data(event: &[u8]) -> bool {
    event
        .split(|byte| matches!(byte, b'\r' | b'\n'))
        .any(|line| line == b"data" || line.starts_with(b"data:"))
}

/// What the current line of a stream contains so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineContent {
    #[default]
    Nothing,
    Comment,
    Field,
}

/// Position in an event stream; takes the same space however long an event is.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: LineContent,
    /// Whether a field has begun since the last empty line.
    inside_event: bool,
    has_event: bool,
    /// Whether the last byte was a carriage return, to which a following line feed belongs.
    after_return: bool,
    /// Set between the carriage return of an empty line and the next byte; whether an event ended.
    ended: Option<bool>,
}

/// The end of a block of lines, which an empty line marks.
struct BlockEnd {
    /// Number of scanned bytes up to the end.
    length: usize,
    /// Whether the block contains an event and not only comments.
    is_event: bool,
}

impl EventScanner {
    /// Scans all bytes.
    pub fn scan(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = self.next_end(rest) {
            rest = &rest[end.length..];
        }
    }

    /// Whether the stream would be interrupted if it ended here.
    pub fn is_inside_event(&self) -> bool {
        self.inside_event
    }

    /// Whether an event has been scanned to its end.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Scans up to the end of a block; returns `None` after all bytes if there is none.
    fn next_end(&mut self, bytes: &[u8]) -> Option<BlockEnd> {
        for (at, byte) in bytes.iter().enumerate() {
            let is_second_half = self.after_return && *byte == b'\n';
            self.after_return = *byte == b'\r';
            if let Some(is_event) = self.ended.take() {
                // The byte is scanned again as the first one of the next block.
                self.after_return = false;
                return Some(BlockEnd { length: at + usize::from(is_second_half), is_event });
            }
            match byte {
                b'\n' if is_second_half => {}
                b'\n' | b'\r' => {
                    let line = std::mem::take(&mut self.line);
                    if line != LineContent::Nothing {
                        continue;
                    }
                    let is_event = std::mem::take(&mut self.inside_event);
                    self.has_event |= is_event;
                    if *byte == b'\n' {
                        return Some(BlockEnd { length: at + 1, is_event });
                    }
                    self.ended = Some(is_event);
                }
                b':' if self.line == LineContent::Nothing => self.line = LineContent::Comment,
                _ if self.line == LineContent::Nothing => {
                    self.line = LineContent::Field;
                    self.inside_event = true;
                }
                _ => {}
            }
        }
        None
    }
}

/// Blocks of a stream that end with an empty line.
#[derive(Debug, Default)]
pub struct CompleteBlocks {
    /// The bytes of all blocks.
    pub bytes: Bytes,
    /// Where the events are in `bytes`, each with its empty line.
    pub events: Vec<Range<usize>>,
}

/// Buffers the bytes of an event stream until an event is complete.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// The bytes after the last complete block, all of which are scanned.
    incomplete: BytesMut,
    scanner: EventScanner,
}

impl EventBuffer {
    /// Appends bytes and removes the blocks that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteBlocks {
        let (mut scanned, mut complete) = (self.incomplete.len(), 0);
        self.incomplete.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.scanner.next_end(&self.incomplete[scanned..]) {
            scanned += end.length;
            if end.is_event {
                events.push(complete..scanned);
            }
            complete = scanned;
        }
        let bytes = self.incomplete.split_to(complete).freeze();
        if self.incomplete.is_empty() {
            // Releases the buffer of idle streams, since thousands of them can be open.
            self.incomplete = BytesMut::new();
        }
        CompleteBlocks { bytes, events }
    }

    /// Scans bytes that are not buffered.
    pub fn scan(&mut self, bytes: &[u8]) {
        self.scanner.scan(bytes);
    }

    /// Whether the incomplete block is longer than an event may be.
    pub fn is_too_long(&self) -> bool {
        self.incomplete.len() > MAX_EVENT_BYTES
    }

    /// The bytes of the incomplete block.
    pub fn incomplete(&self) -> &[u8] {
        &self.incomplete
    }

    /// Removes the bytes of the incomplete block, which still count for the position in the stream.
    pub fn take_incomplete(&mut self) -> Bytes {
        std::mem::take(&mut self.incomplete).freeze()
    }

    /// The position in the stream.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }
}

/// Parses the events of a stream.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: EventBuffer,
}

impl SseParser {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// `EventTooLong` if the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLong> {
        let blocks = self.buffer.push(bytes);
        if self.buffer.is_too_long() {
            return Err(EventTooLong);
        }
        let events = blocks.events.into_iter();
        Ok(events.filter_map(|range| parse_event(&blocks.bytes[range])).collect())
    }
}

fn parse_event(block: &[u8]) -> Option<SseEvent> {
    let text = String::from_utf8_lossy(block);
    let fields: Vec<(&str, &str)> = text
        .split(['\r', '\n'])
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
