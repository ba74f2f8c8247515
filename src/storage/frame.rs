//! Frames of a log file: length, checksums and payload. They distinguish a torn write from a
//! damaged file.

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"OLM1";
/// Size of a frame header: magic, payload length, checksum of the payload, checksum of the
/// preceding twelve bytes.
pub const HEADER_BYTES: usize = 16;
/// Unit of a disk write. A torn write leaves one or more complete sectors unwritten.
const SECTOR_BYTES: usize = 512;

/// Result of reading a frame at an offset of a file.
#[derive(Debug, PartialEq)]
pub enum FrameRead<'a> {
    /// Complete frame.
    Complete {
        /// Payload of the frame.
        payload: &'a [u8],
        /// Offset of the next frame.
        next: usize,
    },
    /// End of the file.
    End,
    /// The last write was interrupted by a crash. It was never synced, so nothing relies on it.
    Torn,
    /// A frame that was once complete is damaged, or data follows an incomplete frame.
    Damaged,
}

/// Encodes a payload as a frame.
pub fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("payloads are far shorter than 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&frame);
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads the frame at offset `start`.
///
/// The length has its own checksum. Otherwise a flipped bit in the length would look like a torn
/// write, and an acknowledged write would be dropped as if it had never been synced.
pub fn read_frame(file: &[u8], start: usize) -> FrameRead<'_> {
    let rest = &file[start..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        let begun = rest.iter().zip(&MAGIC).all(|(found, expected)| found == expected);
        return if begun { FrameRead::Torn } else { classify_unreadable(file, start) };
    };
    let number = |at: usize| {
        u32::from_le_bytes(header[at..at + 4].try_into().expect("the slice has four bytes"))
    };
    if header[..4] != MAGIC || number(12) != crc32fast::hash(&header[..12]) {
        return classify_unreadable(file, start);
    }
    let Some(payload) = body.get(..number(4) as usize) else { return FrameRead::Torn };
    if crc32fast::hash(payload) != number(8) {
        return classify_unreadable(file, start);
    }
    FrameRead::Complete { payload, next: start + HEADER_BYTES + payload.len() }
}

/// Classifies a frame that cannot be read. After a crash the file may have grown while some sectors
/// of the last write remain unwritten, which read as zeros. Any other inconsistency is damage to a
/// frame that was complete.
fn classify_unreadable(file: &[u8], start: usize) -> FrameRead<'static> {
    let first = start.next_multiple_of(SECTOR_BYTES);
    let unwritten = file[start..].iter().all(|byte| *byte == 0)
        || file.get(first..).is_some_and(|rest| {
            rest.chunks(SECTOR_BYTES).any(|sector| sector.iter().all(|b| *b == 0))
        });
    let follows = (start + 1..file.len().saturating_sub(HEADER_BYTES - 1))
        .any(|offset| matches!(has_valid_header(file, offset), Some(true)));
    if unwritten && !follows { FrameRead::Torn } else { FrameRead::Damaged }
}

/// Whether a valid frame header starts at `offset`; `None` if there is no magic.
fn has_valid_header(file: &[u8], offset: usize) -> Option<bool> {
    file[offset..].starts_with(&MAGIC).then(|| {
        let header = &file[offset..offset + HEADER_BYTES];
        let checksum = u32::from_le_bytes(header[12..].try_into().expect("four bytes remain"));
        checksum == crc32fast::hash(&header[..12])
    })
}
