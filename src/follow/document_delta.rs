//! What changed of a document, for followers that hold an earlier one.
//!
//! Load pattern: operators change a few routes of a long document, several times a minute, and hundreds of
//! daemons follow it. Sent whole to each of them, it takes so much of a control VM's processor that the
//! leader's heartbeats come too late.

use {
    crate::{
        control::document::{DOCUMENT_BYTES, NumberedDocument},
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

/// Lengths in bytes of the chunks that documents are compared by: a route takes some hundred bytes.
const CHUNK_LENGTHS: (usize, usize, usize) = (64, 256, 1_024);
/// A difference that brings more than this part of the document is not made: the whole one is held once
/// for all followers, a difference for each of them.
const MOST_NEW: usize = 8;
/// Documents kept beside the present one.
const KEPT_DOCUMENTS: usize = 16;
/// Bytes of the documents kept beside the present one.
const KEPT_BYTES: usize = 8 << 20;

/// A part of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentPart {
    /// Bytes of the former document.
    Kept {
        /// The first of them.
        start: u32,
        /// How many.
        length: u32,
    },
    /// Bytes that it does not have there.
    New(Vec<u8>),
}

/// What makes one document out of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The number of the document that it applies to.
    pub base: DocumentNumber,
    /// The number of the document that comes out.
    pub number: DocumentNumber,
    /// Its parts in order.
    pub parts: Vec<DocumentPart>,
    /// The digest of its body.
    pub digest: u64,
}

/// Why a difference was not applied.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DeltaError {
    /// the difference is to document {base}, not to {held}; ask for the whole one
    OtherBase {
        /// The base of the difference.
        base: DocumentNumber,
        /// The document held.
        held: DocumentNumber,
    },
    /// the difference does not fit the document held; ask for the whole one
    OtherBody,
}

impl std::error::Error for DeltaError {}

impl DocumentDelta {
    /// The difference from `base` to `present`; `None` if too little of it would be kept.
    pub fn between(base: &NumberedDocument, present: &NumberedDocument) -> Option<Self> {
        let (former, body) = (base.body.as_bytes(), present.body.as_bytes());
        let mut known: BTreeMap<&[u8], usize> = BTreeMap::new();
        for (start, chunk) in chunks(former) {
            known.entry(chunk).or_insert(start);
        }
        let mut parts = Vec::new();
        let mut new_bytes = 0;
        for (_, chunk) in chunks(body) {
            if keep(&mut parts, former, chunk, &known) {
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
        let is_small = new_bytes <= body.len() / MOST_NEW;
        is_small.then_some(DocumentDelta { base, number, parts, digest })
    }

    /// The document that comes out of `base`.
    ///
    /// # Errors
    /// When this is not the difference to `base`: then nothing may be made of it.
    pub fn apply(&self, base: &NumberedDocument) -> Result<NumberedDocument, DeltaError> {
        if base.number != self.base {
            return Err(DeltaError::OtherBase { base: self.base, held: base.number });
        }
        let former = base.body.as_bytes();
        let mut body = Vec::with_capacity(former.len());
        for part in &self.parts {
            match part {
                DocumentPart::Kept { start, length } => {
                    let range = *start as usize..*start as usize + *length as usize;
                    body.extend_from_slice(former.get(range).ok_or(DeltaError::OtherBody)?);
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
    let (least, usual, most) = CHUNK_LENGTHS;
    FastCDC::new(body, least, usual, most)
        .map(|chunk| (chunk.offset, &body[chunk.offset..chunk.offset + chunk.length]))
}

/// Adds a chunk that the former document has; false if it has not.
fn keep(
    parts: &mut Vec<DocumentPart>,
    former: &[u8],
    chunk: &[u8],
    known: &BTreeMap<&[u8], usize>,
) -> bool {
    if let Some(DocumentPart::Kept { start, length }) = parts.last_mut() {
        let end = (*start + *length) as usize;
        if former.get(end..end + chunk.len()) == Some(chunk) {
            *length += chunk.len() as u32;
            return true;
        }
    }
    let Some(start) = known.get(chunk) else { return false };
    parts.push(DocumentPart::Kept { start: *start as u32, length: chunk.len() as u32 });
    true
}

/// What a follower of the document lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentChange {
    /// It holds a document that is known here.
    Delta(Arc<DocumentDelta>),
    /// It holds none, or one that is not known, or that little is left of.
    Whole(NumberedDocument),
}

/// The latest documents, by number.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    /// Oldest first, the present one last; beside it at most [`KEPT_DOCUMENTS`] of [`KEPT_BYTES`].
    documents: VecDeque<NumberedDocument>,
    /// Differences to the present one by their base; `None` where none is worth it. At most one for each
    /// document that is kept.
    deltas: BTreeMap<DocumentNumber, Option<Arc<DocumentDelta>>>,
}

impl DocumentHistory {
    /// What makes `present` out of the document of number `held`.
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
            let made = self.deltas.entry(held);
            made.or_insert_with(|| DocumentDelta::between(base, present).map(Arc::new)).clone()
        });
        delta.map_or_else(|| DocumentChange::Whole(present.clone()), DocumentChange::Delta)
    }

    /// Keeps the present document, for followers that will lack the next one.
    pub fn record(&mut self, present: &NumberedDocument) {
        if self.documents.back().is_some_and(|last| last.number >= present.number) {
            return;
        }
        self.deltas.clear();
        self.documents.push_back(present.clone());
        let former = |documents: &VecDeque<NumberedDocument>| {
            let bytes: usize = documents.iter().map(|document| document.body.len()).sum();
            (documents.len() - 1, bytes - present.body.len())
        };
        let mut kept = former(&self.documents);
        while kept.0 > KEPT_DOCUMENTS || kept.1 > KEPT_BYTES {
            self.documents.pop_front();
            kept = former(&self.documents);
        }
    }
}
