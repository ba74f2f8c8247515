//! The body of a document behind the reply that brings it.
//!
//! Load pattern: after a restart hundreds of daemons fetch the same document, megabytes long, from a
//! few control VMs. Encoded into each reply it would be held several times for each of them until the
//! slowest has read it. As a part of its own it is held once, however many read it.

use {
    super::{
        codec::{self, CodecError},
        message::PeerReply,
    },
    bytes::Bytes,
    quinn::{RecvStream, SendStream, WriteError},
    std::sync::Arc,
};

/// A document's body as bytes that many streams share.
struct SharedText(Arc<str>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

/// Takes the document's body out of a reply, if it brings one.
pub fn detach(reply: &mut PeerReply) -> Option<Arc<str>> {
    let PeerReply::Followed(reply) = reply else { return None };
    reply.document.as_mut().map(|document| std::mem::replace(&mut document.body, "".into()))
}

/// Writes a body that [`detach`] took out, behind the frame of its reply.
///
/// # Errors
/// When the stream or its connection is gone.
pub async fn write(stream: &mut SendStream, body: Arc<str>) -> Result<(), WriteError> {
    let Ok(header) = codec::frame_header(body.len()) else {
        log::error!(bytes = body.len(); "a document is too long to be sent; split it");
        return Ok(());
    };
    stream.write_all(&header).await?;
    stream.write_chunk(Bytes::from_owner(SharedText(body))).await
}

/// Reads the body that follows a reply, if the reply brings a document.
///
/// # Errors
/// Any [`CodecError`].
pub async fn attach(reply: &mut PeerReply, stream: &mut RecvStream) -> Result<(), CodecError> {
    let PeerReply::Followed(reply) = reply else { return Ok(()) };
    let Some(document) = reply.document.as_mut() else { return Ok(()) };
    let body = codec::read_body(stream).await?;
    let text = String::from_utf8(body).map_err(|_error| CodecError::Malformed)?;
    document.body = text.into();
    Ok(())
}
