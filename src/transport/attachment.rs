//! Sends the large parts of a reply as separate frames after it, compressed.
//!
//! After a restart, hundreds of daemons fetch the same document of several megabytes and the same
//! server list from a few control VMs. Each part is encoded and compressed once and shared by all
//! replies, so the memory and the processor time that they take do not depend on the number of
//! daemons.

use {
    super::{
        codec::{self, CodecError, MAX_FRAME},
        message::PeerReply,
    },
    crate::fleet::FleetSnapshot,
    bytes::Bytes,
    quinn::{Connection, RecvStream, SendStream, WriteError},
    std::sync::{Arc, Mutex, PoisonError},
};

/// The level of zstd, its fastest: the text of documents is regular, and higher levels delay the
/// heartbeats of a leader more than they shorten the transfer.
const COMPRESSION_LEVEL: i32 = 1;
/// Priority of a stream while it sends a document, below that of replies and messages.
const DOCUMENT_PRIORITY: i32 = -1;

/// The compressed forms of the latest document and server list.
#[derive(Default)]
pub struct BodyPacker {
    document: Mutex<Option<(Arc<str>, Bytes)>>,
    list: Mutex<Option<(Arc<FleetSnapshot>, Bytes)>>,
}

/// The compressed parts that follow a reply; `None` where the reply has no such part.
pub struct PackedParts {
    list: Option<Bytes>,
    document: Option<Bytes>,
}

impl BodyPacker {
    /// Removes the large parts of a reply and returns them compressed.
    ///
    /// # Errors
    /// [`CodecError::Oversize`] when a part exceeds the frame limit.
    pub fn detach(&self, reply: &mut PeerReply) -> Result<PackedParts, CodecError> {
        let PeerReply::Followed(reply) = reply else {
            return Ok(PackedParts { list: None, document: None });
        };
        let list = reply.fleet.as_mut().map(std::mem::take);
        let body = reply.document.as_mut();
        let body = body.map(|document| std::mem::replace(&mut document.body, "".into()));
        let known = reply.packed_body.take().map(Bytes::from_owner);
        let encode = |list: &FleetSnapshot| {
            compress(&postcard::to_stdvec(list).map_err(|_error| CodecError::Malformed)?)
        };
        Ok(PackedParts {
            list: list.map(|list| pack(&self.list, list, encode)).transpose()?,
            document: match (known, body) {
                (Some(known), Some(_)) => Some(known),
                (_, body) => body
                    .map(|body| pack(&self.document, body, |body| compress(body.as_bytes())))
                    .transpose()?,
            },
        })
    }
}

/// Returns the packed form of `content`, which is computed only if the content is another one than
/// before.
fn pack<T: ?Sized>(
    latest: &Mutex<Option<(Arc<T>, Bytes)>>,
    content: Arc<T>,
    compress: impl Fn(&T) -> Result<Bytes, CodecError>,
) -> Result<Bytes, CodecError> {
    let mut latest = latest.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((known, packed)) = &*latest
        && Arc::ptr_eq(known, &content)
    {
        return Ok(packed.clone());
    }
    let packed = compress(&content)?;
    *latest = Some((content, packed.clone()));
    Ok(packed)
}

fn compress(content: &[u8]) -> Result<Bytes, CodecError> {
    if content.len() > MAX_FRAME {
        return Err(CodecError::Oversize { length: content.len() });
    }
    let mut packed =
        zstd::bulk::compress(content, COMPRESSION_LEVEL).map_err(|_error| CodecError::Malformed)?;
    packed.shrink_to_fit();
    Ok(packed.into())
}

fn decompress(packed: &[u8]) -> Result<Vec<u8>, CodecError> {
    zstd::bulk::decompress(packed, MAX_FRAME).map_err(|_error| CodecError::Malformed)
}

impl PackedParts {
    /// Writes the parts after the frame of their reply.
    ///
    /// # Errors
    /// When the stream or its connection is closed.
    pub async fn write(self, stream: &mut SendStream) -> Result<(), WriteError> {
        if let Some(list) = self.list {
            write_part(stream, list).await?;
        }
        if let Some(document) = self.document {
            // Fails only for a stream that is closed, which the write reports.
            let _ = stream.set_priority(DOCUMENT_PRIORITY);
            write_part(stream, document).await?;
        }
        Ok(())
    }
}

async fn write_part(stream: &mut SendStream, part: Bytes) -> Result<(), WriteError> {
    let Ok(header) = codec::frame_header(part.len()) else {
        log::error!(bytes = part.len(); "a document exceeds the frame limit and was not sent; make it smaller");
        return Ok(());
    };
    stream.write_all(&header).await?;
    stream.write_chunk(part).await
}

/// Reads the server list that follows a reply, if the reply contains one. Calls `received` whenever a
/// part of it has arrived.
///
/// # Errors
/// Any [`CodecError`].
pub async fn attach_list(
    reply: &mut PeerReply,
    stream: &mut RecvStream,
    received: impl FnMut(),
) -> Result<(), CodecError> {
    let PeerReply::Followed(reply) = reply else { return Ok(()) };
    let Some(list) = reply.fleet.as_mut() else { return Ok(()) };
    let encoded = decompress(&codec::read_parts(stream, received).await?)?;
    *list = Arc::new(codec::decode(&encoded)?);
    Ok(())
}

/// The body of a document that follows a reply and has not been read yet.
pub struct DocumentStream {
    stream: RecvStream,
    connection: Connection,
}

impl DocumentStream {
    /// The body that follows `reply` on `stream`; `None` if the reply contains no document.
    pub(super) fn after(
        reply: &PeerReply,
        stream: RecvStream,
        connection: Connection,
    ) -> Option<Self> {
        let PeerReply::Followed(reply) = reply else { return None };
        reply.document.is_some().then_some(DocumentStream { stream, connection })
    }

    /// The connection on which the body arrives.
    pub fn connection(&self) -> Connection {
        self.connection.clone()
    }

    /// Reads the body. Calls `received` whenever a part of it has arrived.
    ///
    /// # Errors
    /// Any [`CodecError`].
    pub async fn read(mut self, received: impl FnMut()) -> Result<Arc<str>, CodecError> {
        let packed = codec::read_parts(&mut self.stream, received).await?;
        let body = decompress(&packed)?;
        drop(packed);
        let text = String::from_utf8(body).map_err(|_error| CodecError::Malformed)?;
        Ok(text.into())
    }
}

/// Adds the body of its document to a reply.
pub(super) fn attach_body(reply: &mut PeerReply, body: Arc<str>) {
    if let PeerReply::Followed(reply) = reply
        && let Some(document) = reply.document.as_mut()
    {
        document.body = body;
    }
}
