//! Deltas between documents, for followers that have an earlier one.
//!
//! Load pattern: operators change a few routes of a long document several times a minute, and
//! hundreds of daemons follow it. Sending the full document to each of them takes so much processor
//! time on a control VM that the leader's heartbeats are delayed.

use {
    crate::{
        control::{document::NumberedDocument, packed_document::DOCUMENT_BYTES},
        ids::DocumentNumber,
    },
    displaydoc::Display,
    fastcdc::v2020::FastCDC,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// The minimum, average and maximum length in bytes of the chunks that documents are compared by. A
/// route takes some hundred bytes.
const CHUNK_LENGTHS: (usize, usize, usize) = (64, 256, 1_024);
/// No delta is created if more than one in this many bytes of the document is new: the full
/// document is compressed and stored once for all followers, a delta separately for each of them.
const MAX_NEW_DIVISOR: usize = 8;
/// No delta is created if more bytes than this are new, about eighty routes.
const MAX_NEW_BYTES: usize = 16 << 10;
/// No delta is created if it has more parts than this.
const MAX_PARTS: usize = 1_024;
/// The maximum number of documents from which there is a delta to the present one: several seconds
/// of changes, in which a long document may reach a follower on a slow link.
const MAX_BASES: usize = 64;

/// A part of a document in a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentPart {
    /// Bytes copied from the base document.
    Kept {
        /// The offset of the first byte.
        start: u32,
        /// The number of bytes.
        length: u32,
    },
    /// Bytes that are not copied from the base document.
    New(Vec<u8>),
}

/// The delta from one document to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The number of the document that it applies to.
    pub base: DocumentNumber,
    /// The number of the resulting document.
    pub number: DocumentNumber,
    /// The parts of the resulting document in order.
    pub parts: Vec<DocumentPart>,
    /// The digest of the resulting document's body.
    pub digest: u64,
}

/// Why a delta was not applied.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DeltaError {
    /// the delta applies to document {base}, not to {held}; request the full document
    OtherBase {
        /// The base of the delta.
        base: DocumentNumber,
        /// The number of the follower's document.
        held: DocumentNumber,
    },
    /// the delta does not fit the body of the base document; request the full document
    OtherBody,
}

impl std::error::Error for DeltaError {}

impl DocumentDelta {
    /// The delta from `base` to `present`; `None` if too much of it would be new.
    pub fn between(base: &NumberedDocument, present: &NumberedDocument) -> Option<Self> {
        let (base_body, body) = (base.body.as_bytes(), present.body.as_bytes());
        let mut known: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (start, chunk) in chunks(base_body) {
            known.entry(chunk).or_insert(start);
        }
        let mut parts = PartList::default();
        for (_, chunk) in chunks(body) {
            match parts.next_kept(base_body, chunk).or_else(|| known.get(chunk).copied()) {
                Some(start) => parts.push_kept(start, chunk.len()),
                None => parts.push_new(chunk),
            }
        }
        let (base, number, digest) = (base.number, present.number, xxh3_64(body));
        parts.into_delta(DeltaHead { base, number, digest, length: body.len() })
    }

    /// The delta that has the effect of this one and then of `next`; `None` if too much of it would
    /// be new.
    fn then(&self, next: &DocumentDelta) -> Option<Self> {
        // The offset in the intermediate document at which each part ends.
        let ends: Vec<usize> = self
            .parts
            .iter()
            .scan(0, |end, part| {
                *end += part.length();
                Some(*end)
            })
            .collect();
        let mut parts = PartList::default();
        for part in &next.parts {
            let (start, length) = match part {
                DocumentPart::New(bytes) => {
                    parts.push_new(bytes);
                    continue;
                }
                DocumentPart::Kept { start, length } => (*start as usize, *length as usize),
            };
            let (mut from, to) = (start, start + length);
            while from < to {
                let position = ends.partition_point(|end| *end <= from);
                let (part, end) = (self.parts.get(position)?, *ends.get(position)?);
                let offset = from + part.length() - end;
                let count = end.min(to) - from;
                match part {
                    DocumentPart::Kept { start, .. } => {
                        parts.push_kept(*start as usize + offset, count);
                    }
                    DocumentPart::New(bytes) => parts.push_new(&bytes[offset..offset + count]),
                }
                from += count;
            }
        }
        let length = next.parts.iter().map(DocumentPart::length).sum();
        let (base, number, digest) = (self.base, next.number, next.digest);
        parts.into_delta(DeltaHead { base, number, digest, length })
    }

    /// Applies the delta to `base`.
    ///
    /// # Errors
    /// When `base` is not the document that the delta was created from.
    pub fn apply(&self, base: &NumberedDocument) -> Result<NumberedDocument, DeltaError> {
        if base.number != self.base {
            return Err(DeltaError::OtherBase { base: self.base, held: base.number });
        }
        let base_body = base.body.as_bytes();
        let mut body = Vec::with_capacity(base_body.len());
        for part in &self.parts {
            match part {
                DocumentPart::Kept { start, length } => {
                    let range = *start as usize..*start as usize + *length as usize;
                    body.extend_from_slice(base_body.get(range).ok_or(DeltaError::OtherBody)?);
                }
                DocumentPart::New(bytes) => body.extend_from_slice(bytes),
            }
            if body.len() > DOCUMENT_BYTES {
                return Err(DeltaError::OtherBody);
            }
        }
        if xxh3_64(&body) != self.digest {
            return Err(DeltaError::OtherBody);
        }
        let body = String::from_utf8(body).map_err(|_error| DeltaError::OtherBody)?;
        Ok(NumberedDocument { number: self.number, body: body.into() })
    }
}

fn chunks(body: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let (minimum, average, maximum) = CHUNK_LENGTHS;
    FastCDC::new(body, minimum, average, maximum)
        .map(|chunk| (chunk.offset, &body[chunk.offset..chunk.offset + chunk.length]))
}

impl DocumentPart {
    fn length(&self) -> usize {
        match self {
            DocumentPart::Kept { length, .. } => *length as usize,
            DocumentPart::New(bytes) => bytes.len(),
        }
    }
}

/// The fields of a delta other than its parts.
struct DeltaHead {
    base: DocumentNumber,
    number: DocumentNumber,
    digest: u64,
    /// The length in bytes of the resulting document.
    length: usize,
}

/// The parts of a delta that is being created. Adjacent parts of the same kind are joined.
#[derive(Default)]
struct PartList {
    parts: Vec<DocumentPart>,
    /// The number of bytes that are not copied from the base document.
    new_bytes: usize,
}

impl PartList {
    /// The offset of `chunk` in the base document if it follows the last part there.
    fn next_kept(&self, base_body: &[u8], chunk: &[u8]) -> Option<usize> {
        let Some(DocumentPart::Kept { start, length }) = self.parts.last() else { return None };
        let end = (*start + *length) as usize;
        (base_body.get(end..end + chunk.len()) == Some(chunk)).then_some(end)
    }

    fn push_kept(&mut self, from: usize, count: usize) {
        match self.parts.last_mut() {
            Some(DocumentPart::Kept { start, length }) if (*start + *length) as usize == from => {
                *length += count as u32;
            }
            _ => self.parts.push(DocumentPart::Kept { start: from as u32, length: count as u32 }),
        }
    }

    fn push_new(&mut self, bytes: &[u8]) {
        self.new_bytes += bytes.len();
        match self.parts.last_mut() {
            Some(DocumentPart::New(last)) => last.extend_from_slice(bytes),
            _ => self.parts.push(DocumentPart::New(bytes.to_vec())),
        }
    }

    /// The delta; `None` if it would be too large.
    fn into_delta(self, head: DeltaHead) -> Option<DocumentDelta> {
        let DeltaHead { base, number, digest, length } = head;
        let max_new = MAX_NEW_BYTES.min(length / MAX_NEW_DIVISOR);
        let is_small = self.new_bytes <= max_new && self.parts.len() <= MAX_PARTS;
        is_small.then_some(DocumentDelta { base, number, parts: self.parts, digest })
    }
}

/// The update of a follower to the present document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentChange {
    /// The delta from the follower's document.
    Delta(Arc<DocumentDelta>),
    /// The full document: the follower has none, or an unknown one, or the delta would be too
    /// large.
    Full(NumberedDocument),
}

/// The present document and the deltas to it from earlier ones.
///
/// The earlier documents are not stored. When a document follows, each delta is combined with the
/// delta to that document, so a follower whose transfer of a long document has taken seconds still
/// receives the changes since then as a delta.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    /// `None` before the first document.
    present: Option<NumberedDocument>,
    /// Deltas to the present document by the number of their base; at most [`MAX_BASES`].
    deltas: BTreeMap<DocumentNumber, Arc<DocumentDelta>>,
}

impl DocumentHistory {
    /// The update from the document with number `held` to `present`.
    pub fn change_since(
        &mut self,
        held: DocumentNumber,
        present: &NumberedDocument,
    ) -> DocumentChange {
        self.record(present);
        let is_present = |known: &NumberedDocument| known.number == present.number;
        let delta =
            self.deltas.get(&held).filter(|_| self.present.as_ref().is_some_and(is_present));
        delta.map_or_else(
            || DocumentChange::Full(present.clone()),
            |delta| DocumentChange::Delta(Arc::clone(delta)),
        )
    }

    /// Sets the present document unless it is older than the recorded one.
    pub fn record(&mut self, present: &NumberedDocument) {
        let Some(former) = &self.present else {
            self.present = Some(present.clone());
            return;
        };
        if former.number >= present.number {
            return;
        }
        match DocumentDelta::between(former, present) {
            Some(step) => {
                let deltas = std::mem::take(&mut self.deltas).into_iter();
                let combined =
                    deltas.filter_map(|(base, delta)| Some((base, Arc::new(delta.then(&step)?))));
                self.deltas = combined.collect();
                self.deltas.insert(former.number, Arc::new(step));
                while self.deltas.len() > MAX_BASES {
                    self.deltas.pop_first();
                }
            }
            None => self.deltas.clear(),
        }
        self.present = Some(present.clone());
    }
}
