//! Frames: length, checksums and payload. Tells a write that was cut off from a damaged file.

/// Begins each frame.
const MAGIC: [u8; 4] = *b"OLM1";
/// Magic, length, checksum of the payload, checksum of the twelve bytes before it.
pub const HEADER_BYTES: usize = 16;
/// What a disk writes at once; a write that was cut off leaves whole sectors untouched.
const SECTOR_BYTES: usize = 512;

/// What stands at some place of a file.
#[derive(Debug, PartialEq)]
pub enum FrameRead<'a> {
    /// A whole frame, and where the next one begins.
    Complete {
        /// The payload.
        payload: &'a [u8],
        /// The place after the frame.
        next: usize,
    },
    /// The end of the file.
    End,
    /// The last write was cut off by a crash. It was never synced, so nobody relies on it.
    Torn,
    /// A frame that was once whole is damaged, or something follows a frame that is not.
    Damaged,
}

/// The payload as a frame.
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

/// Reads the frame at `start`.
///
/// The length has a checksum of its own: a flipped bit in it would otherwise look like a frame
/// that was cut off, and an acknowledged write would be dropped as if it had never been synced.
pub fn read_frame(file: &[u8], start: usize) -> FrameRead<'_> {
    let rest = &file[start..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        let begun = rest.iter().zip(&MAGIC).all(|(found, wanted)| found == wanted);
        return if begun { FrameRead::Torn } else { unreadable(file, start) };
    };
    let number = |at: usize| {
        u32::from_le_bytes(header[at..at + 4].try_into().expect("four bytes are taken"))
    };
    if header[..4] != MAGIC || number(12) != crc32fast::hash(&header[..12]) {
        return unreadable(file, start);
    }
    let Some(payload) = body.get(..number(4) as usize) else { return FrameRead::Torn };
    if crc32fast::hash(payload) != number(8) {
        return unreadable(file, start);
    }
    FrameRead::Complete { payload, next: start + HEADER_BYTES + payload.len() }
}

/// A crash can leave the file grown but some sectors of the last write unwritten, which read as
/// zeros. Anything else that does not add up was whole once.
fn unreadable(file: &[u8], start: usize) -> FrameRead<'static> {
    let first = start.next_multiple_of(SECTOR_BYTES);
    let unwritten = file[start..].iter().all(|byte| *byte == 0)
        || file.get(first..).is_some_and(|rest| {
            rest.chunks(SECTOR_BYTES).any(|sector| sector.iter().all(|b| *b == 0))
        });
    let follows = (start + 1..file.len().saturating_sub(HEADER_BYTES - 1))
        .any(|place| matches!(whole_at(file, place), Some(true)));
    if unwritten && !follows { FrameRead::Torn } else { FrameRead::Damaged }
}

/// Whether a whole frame stands at `place`; `None` when nothing there looks like one.
fn whole_at(file: &[u8], place: usize) -> Option<bool> {
    file[place..].starts_with(&MAGIC).then(|| {
        let header = &file[place..place + HEADER_BYTES];
        let checksum = u32::from_le_bytes(header[12..].try_into().expect("four bytes are left"));
        checksum == crc32fast::hash(&header[..12])
    })
}
