//! Sends the body of a document as a separate frame after its reply.
//!
//! After a restart, hundreds of daemons fetch the same document of several megabytes from a few
//! control VMs. If it were encoded into each reply, several copies for each daemon would stay in
//! memory until the slowest daemon has read its reply. A separate frame shares one copy among all
//! daemons.

use {
    super::{
        codec::{self, CodecError},
        message::PeerReply,
    },
    bytes::Bytes,
    quinn::{RecvStream, SendStream, WriteError},
    std::sync::Arc,
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

/// Reads the body that follows a reply, if the reply contains a document.
///
/// # Errors
/// Any [`CodecError`].
pub async fn attach_body(reply: &mut PeerReply, stream: &mut RecvStream) -> Result<(), CodecError> {
    let PeerReply::Followed(reply) = reply else { return Ok(()) };
    let Some(document) = reply.document.as_mut() else { return Ok(()) };
    let body = codec::read_body(stream).await?;
    let text = String::from_utf8(body).map_err(|_error| CodecError::Malformed)?;
    document.body = text.into();
    Ok(())
}
