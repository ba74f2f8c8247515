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
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The minimum, average and maximum length in bytes of the chunks that documents are compared by. A
/// route takes some hundred bytes.
const CHUNK_LENGTHS: (usize, usize, usize) = (64, 256, 1_024);
/// No delta is created if more than one in this many bytes of the document is new: the full
/// document is stored once for all followers, a delta separately for each base.
const MAX_NEW_DIVISOR: usize = 8;
/// The maximum number of stored documents in addition to the present one.
const KEPT_DOCUMENTS: usize = 16;
/// The maximum total length in bytes of the stored documents in addition to the present one.
const KEPT_BYTES: usize = 8 << 20;

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
        let mut parts = Vec::new();
        let mut new_bytes = 0;
        for (_, chunk) in chunks(body) {
            if push_kept(&mut parts, base_body, chunk, &known) {
                continue;
            }
            new_bytes += chunk.len();
            match parts.last_mut() {
                Some(DocumentPart::New(bytes)) => bytes.extend_from_slice(chunk),
                Some(DocumentPart::Kept { .. }) | None => {
                    parts.push(DocumentPart::New(chunk.to_vec()));
                }
            }
        }
        let (base, number, digest) = (base.number, present.number, xxh3_64(body));
        let is_small = new_bytes <= body.len() / MAX_NEW_DIVISOR;
        is_small.then_some(DocumentDelta { base, number, parts, digest })
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

/// Adds a chunk as a copy from the base document; false if that does not contain the chunk.
fn push_kept(
    parts: &mut Vec<DocumentPart>,
    base_body: &[u8],
    chunk: &[u8],
    known: &BTreeMap<&[u8], usize>,
) -> bool {
    if let Some(DocumentPart::Kept { start, length }) = parts.last_mut() {
        let end = (*start + *length) as usize;
        if base_body.get(end..end + chunk.len()) == Some(chunk) {
            *length += chunk.len() as u32;
            return true;
        }
    }
    let Some(start) = known.get(chunk) else { return false };
    parts.push(DocumentPart::Kept { start: *start as u32, length: chunk.len() as u32 });
    true
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

/// The latest documents and the deltas to the present one.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    /// From the oldest to the present one; in addition to the present one at most
    /// [`KEPT_DOCUMENTS`] with at most [`KEPT_BYTES`].
    documents: VecDeque<NumberedDocument>,
    /// Deltas to the present document by the number of their base; `None` where the delta would be
    /// too large. At most one for each document.
    deltas: BTreeMap<DocumentNumber, Option<Arc<DocumentDelta>>>,
}

impl DocumentHistory {
    /// The update from the document with number `held` to `present`.
    pub fn change_since(
        &mut self,
        held: DocumentNumber,
        present: &NumberedDocument,
    ) -> DocumentChange {
        self.record(present);
        let is_last = self.documents.back().is_some_and(|last| last.number == present.number);
        let mut documents = self.documents.iter();
        let base = documents.find(|document| is_last && document.number == held);
        let delta = base.and_then(|base| {
            let cached = self.deltas.entry(held);
            cached.or_insert_with(|| DocumentDelta::between(base, present).map(Arc::new)).clone()
        });
        delta.map_or_else(|| DocumentChange::Full(present.clone()), DocumentChange::Delta)
    }

    /// Adds the present document as a base for later deltas.
    pub fn record(&mut self, present: &NumberedDocument) {
        if self.documents.back().is_some_and(|last| last.number >= present.number) {
            return;
        }
        self.deltas.clear();
        self.documents.push_back(present.clone());
        let former_size = |documents: &VecDeque<NumberedDocument>| {
            let bytes: usize = documents.iter().map(|document| document.body.len()).sum();
            (documents.len() - 1, bytes - present.body.len())
        };
        let mut former = former_size(&self.documents);
        while former.0 > KEPT_DOCUMENTS || former.1 > KEPT_BYTES {
            self.documents.pop_front();
            former = former_size(&self.documents);
        }
    }
}
