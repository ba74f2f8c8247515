//! Limits what a backend server may send without a response making progress.
//!
//! The HTTP library reads interim responses and the digits of a chunk size for as long as they come,
//! without a pause in which other tasks run. A stream below the library counts the bytes that it has
//! read since the last progress: a request that was sent, a complete head, or a piece of a body. Too
//! many of them break the connection.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Bytes that may be read without progress. The head of a response and the read buffer are a few
/// kilobytes.
const MAX_UNUSED_BYTES: usize = 64 * 1024;

/// The bytes that were read from a connection since its last progress.
#[derive(Clone, Debug, Default)]
pub struct ReadMeter(Arc<AtomicUsize>);

impl ReadMeter {
    /// Records progress.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes, and returns whether they are within the limit.
    fn count(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_UNUSED_BYTES
    }
}

/// The bytes of a connection, counted by a meter. A reset that a write has met is an error to the reads
/// after it.
pub struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
    /// The first failure of a write. The system reports a reset once, so that a read after that write sees an
    /// end.
    write_failure: Option<io::ErrorKind>,
}

impl<S> MeteredStream<S> {
    /// Counts what is read from `stream`.
    pub fn new(stream: S, meter: ReadMeter) -> Self {
        MeteredStream { stream, meter, write_failure: None }
    }

    fn record_write<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &written {
            self.write_failure.get_or_insert(error.kind());
        }
        written
    }

    /// Whether an end that is read is the other side's own.
    ///
    /// # Errors
    /// The failure that broke the connection before. A broken pipe means that the other side had ended its
    /// side.
    fn check_end(&self) -> io::Result<()> {
        match self.write_failure {
            None | Some(io::ErrorKind::BrokenPipe) => Ok(()),
            Some(failure) => Err(failure.into()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let length = buffer.filled().len() - before;
        if length == 0 && buffer.remaining() > 0 {
            self.check_end()?;
        }
        match self.meter.count(length) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the backend server sends bytes that are no response",
            ))),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.record_write(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response; each piece of it is progress.
pub struct MeteredBody {
    body: Incoming,
    meter: ReadMeter,
}

impl MeteredBody {
    /// The body of a response on the connection that `meter` counts.
    pub fn new(body: Incoming, meter: ReadMeter) -> Self {
        meter.reset();
        MeteredBody { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
