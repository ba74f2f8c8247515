//! Documents in the compressed form in which the log carries them.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Maximum size of a document. It is twice the several megabytes of the design size and still fits
/// into one message between daemons.
pub const DOCUMENT_BYTES: usize = 6 << 20;
/// The level of zstd at which documents are compressed, its fastest.
const COMPRESSION_LEVEL: i32 = 1;

/// Document compressed for the log.
///
/// A control replica holds a change several times: in its log, in batches for its disk and in
/// appends to the other replicas. Documents are regular text, which compression shortens to about a
/// tenth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    /// Body of the document as one frame of zstd.
    bytes: Arc<[u8]>,
}

impl PackedDocument {
    /// Compresses the body of a document.
    pub fn new(body: &str) -> Self {
        let bytes = zstd::bulk::compress(body.as_bytes(), COMPRESSION_LEVEL)
            .expect("a compression into a buffer of sufficient size does not fail");
        PackedDocument { bytes: bytes.into() }
    }

    /// Size in bytes of the compressed body.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no compressed body; never true of a document made by [`Self::new`].
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Compressed body, as one frame of zstd.
    pub fn bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }

    /// Body of the document; `None` if it is damaged or over [`DOCUMENT_BYTES`].
    pub fn body(&self) -> Option<String> {
        let body = zstd::bulk::decompress(&self.bytes, DOCUMENT_BYTES).ok()?;
        String::from_utf8(body).ok()
    }
}
