//! Sends the body of a document as a separate frame after its reply.
//!
//! After a restart, hundreds of daemons fetch the same document of several megabytes from a few
//! control VMs. If it were encoded into each reply, several copies for each daemon would stay in
//! memory until the slowest daemon has read its reply. A separate frame shares one copy among all
//! daemons.

use {
    super::{
        codec::{self, CodecError, HEADER_LENGTH},
        message::PeerReply,
    },
    crate::{
        ids::{DocumentNumber, VmId},
        observe::events,
    },
    bytes::Bytes,
    quinn::{RecvStream, SendStream, WriteError},
    std::sync::Arc,
    tokio::time::Instant,
};

/// The body of a document as bytes that several streams share.
struct SharedText(Arc<str>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

/// Removes the body of the document from a reply; `None` if the reply contains no document.
pub fn detach_body(reply: &mut PeerReply) -> Option<Arc<str>> {
    let PeerReply::Followed(reply) = reply else { return None };
    reply.document.as_mut().map(|document| std::mem::replace(&mut document.body, "".into()))
}

/// Writes a body that [`detach_body`] removed, after the frame of its reply.
///
/// # Errors
/// When the stream or its connection is closed.
pub async fn write_body(stream: &mut SendStream, body: Arc<str>) -> Result<(), WriteError> {
    let Ok(header) = codec::frame_header(body.len()) else {
        log::error!(bytes = body.len(); "a document exceeds the frame limit and was not sent; make it smaller");
        return Ok(());
    };
    stream.write_all(&header).await?;
    stream.write_chunk(Bytes::from_owner(SharedText(body))).await
}

/// Reads the body that follows a reply, if the reply contains a document. `requested` is the time at
/// which `peer` was sent the request.
///
/// # Errors
/// Any [`CodecError`].
pub async fn attach_body(
    reply: &mut PeerReply,
    stream: &mut RecvStream,
    peer: &VmId,
    requested: Instant,
) -> Result<(), CodecError> {
    let PeerReply::Followed(reply) = reply else { return Ok(()) };
    let Some(document) = reply.document.as_mut() else { return Ok(()) };
    let mut transfer = BodyTransfer::begin(peer, document.number, requested);
    let body = transfer.read(stream).await?;
    let text = String::from_utf8(body).map_err(|_error| CodecError::Malformed)?;
    document.body = text.into();
    Ok(())
}

/// The transfer of a document. Its end is logged when it is dropped, since a call that times out
/// drops it unfinished.
struct BodyTransfer<'a> {
    peer: &'a VmId,
    document: DocumentNumber,
    requested: Instant,
    began: Instant,
    /// The length of the body; 0 until its header has arrived.
    length: usize,
    /// The number of bytes that have arrived; at most `length`.
    received: usize,
    is_complete: bool,
}

impl<'a> BodyTransfer<'a> {
    fn begin(peer: &'a VmId, document: DocumentNumber, requested: Instant) -> Self {
        let began = Instant::now();
        BodyTransfer {
            peer,
            document,
            requested,
            began,
            length: 0,
            received: 0,
            is_complete: false,
        }
    }

    async fn read(&mut self, stream: &mut RecvStream) -> Result<Vec<u8>, CodecError> {
        let mut header = [0; HEADER_LENGTH];
        stream.read_exact(&mut header).await.map_err(|_error| CodecError::Truncated)?;
        self.length = codec::frame_length(header)?;
        let mut body = vec![0; self.length];
        while self.received < self.length {
            match stream.read(&mut body[self.received..]).await {
                Ok(Some(bytes)) => self.received += bytes,
                Ok(None) | Err(_) => return Err(CodecError::Truncated),
            }
        }
        self.is_complete = true;
        Ok(body)
    }
}

impl Drop for BodyTransfer<'_> {
    fn drop(&mut self) {
        let peer = self.peer.as_str();
        let reply_ms = (self.began - self.requested).as_millis() as u64;
        let transfer_ms = self.began.elapsed().as_millis() as u64;
        if self.is_complete {
            log::info!(peer, document = self.document, bytes = self.length, reply_ms, transfer_ms;
                "{}", events::DOCUMENT_RECEIVED);
        } else {
            log::warn!(peer, document = self.document, bytes = self.length,
                received = self.received, reply_ms, transfer_ms;
                "{}", events::DOCUMENT_ABANDONED);
        }
    }
}
