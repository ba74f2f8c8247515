//! Timeouts for request heads and for idle connections of callers.
//!
//! The HTTP library closes the connection of a slow head without a response. This stream below the
//! library tracks the arrival of bytes and responds with 408 itself, so that the caller learns that
//! nothing ran. Timeouts apply only while the library waits for a head, never to a request in
//! progress.

use {
    super::raw_head::RawHead,
    crate::{
        observe::{events, metrics::refusal},
        pipeline::counters::count_refusal,
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep_until},
    },
};

/// Response to a head that is not complete in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

const IDLE: u32 = 0;
const HEAD: u32 = 1;
const BUSY: u32 = 2;
/// Number of bits that hold the phase. The other bits count changes, so that a phase that was left
/// and entered again between two checks is not mistaken for the earlier one.
const PHASE_BITS: u32 = 2;
const PHASE_MASK: u32 = (1 << PHASE_BITS) - 1;

/// The phase of a connection: idle, receiving a head, or processing a request. It is shared by the
/// stream and the service above it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPhase(Arc<PhaseCells>);

#[derive(Debug, Default)]
struct PhaseCells {
    /// The phase with the count of changes.
    phase: AtomicU32,
    /// Whether the connection is reset when it ends.
    is_reset: AtomicBool,
}

impl ConnectionPhase {
    /// Marks that a complete head has arrived.
    pub fn begin_request(&self) {
        self.change(BUSY);
    }

    /// Marks that the response has been sent.
    pub fn end_request(&self) {
        self.change(IDLE);
    }

    /// Marks that the connection is reset when it ends. A body that ends with its connection would
    /// look complete if the connection were closed.
    pub fn reset_at_end(&self) {
        self.0.is_reset.store(true, Ordering::Relaxed);
    }

    /// Marks that the connection is closed when it ends.
    pub fn close_at_end(&self) {
        self.0.is_reset.store(false, Ordering::Relaxed);
    }

    fn change(&self, phase: u32) {
        let changes = (self.get() >> PHASE_BITS).wrapping_add(1);
        self.0.phase.store((changes << PHASE_BITS) | phase, Ordering::Relaxed);
    }

    /// The phase with the count of changes.
    fn get(&self) -> u32 {
        self.0.phase.load(Ordering::Relaxed)
    }
}

/// Timeouts and limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Maximum time from the first byte of a head to its last.
    pub head: Duration,
    /// Maximum time without a byte between two requests.
    pub idle: Duration,
    /// Maximum length of a head in bytes.
    pub head_bytes: usize,
}

/// A caller's connection with timeouts.
pub struct TimeoutStream {
    stream: TcpStream,
    phase: ConnectionPhase,
    raw: RawHead,
    limits: StreamTimeouts,
    /// The phase at the last read, and when it was first observed.
    observed: (u32, Instant),
    /// Runs while the library waits for a head.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the socket is set to reset the connection when it is closed.
    is_reset: bool,
}

impl TimeoutStream {
    /// Wraps a connection for use by the HTTP library.
    pub fn wrap(
        stream: TcpStream,
        phase: ConnectionPhase,
        raw: RawHead,
        limits: StreamTimeouts,
    ) -> TokioIo<TimeoutStream> {
        let observed = (IDLE, Instant::now());
        let (timer, is_reset) = (None, false);
        TokioIo::new(TimeoutStream { stream, phase, raw, limits, observed, timer, is_reset })
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }

    /// Sets how the socket ends the connection before any byte of a body that ends with it is sent,
    /// because the kernel closes the socket if the process is killed.
    fn set_linger(&mut self) {
        let is_reset = self.phase.0.is_reset.load(Ordering::Relaxed);
        if is_reset != self.is_reset {
            self.is_reset = is_reset;
            // A failure leaves a closed connection, as for callers of later versions.
            let _ = SockRef::from(&self.stream).set_linger(is_reset.then_some(Duration::ZERO));
        }
    }
}

impl Drop for TimeoutStream {
    fn drop(&mut self) {
        self.set_linger();
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if let Poll::Ready(result) = polled {
            let arrived = &buffer.filled()[before..];
            if !arrived.is_empty() && this.phase.get() & PHASE_MASK != BUSY {
                if this.phase.get() & PHASE_MASK == IDLE {
                    this.phase.change(HEAD);
                }
                this.raw.push(arrived, this.limits.head_bytes);
            }
            return Poll::Ready(result);
        }
        let phase = this.phase.get();
        if this.observed.0 != phase {
            this.observed = (phase, Instant::now());
            this.timer = None;
        }
        let limit = match phase & PHASE_MASK {
            HEAD => this.limits.head,
            IDLE => this.limits.idle,
            _ => return Poll::Pending,
        };
        let expires = this.observed.1 + limit;
        let timer = this.timer.get_or_insert_with(|| Box::pin(sleep_until(expires)));
        // Polling the timer registers the wakeup.
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        if phase & PHASE_MASK == HEAD {
            count_refusal(refusal::HEAD_TIMEOUT);
            log::info!(reason = refusal::HEAD_TIMEOUT, status = 408, sent_to = 0;
                "{}", events::REQUEST_REFUSED);
            // The write can be lost only if the send buffer is full, that is if the caller does not
            // read either.
            let _ = this.stream.try_write(HEAD_TIMEOUT_RESPONSE);
        }
        // An empty read makes the HTTP library close the connection.
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_linger();
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_linger();
        self.stream().poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_linger();
        self.stream().poll_shutdown(context)
    }
}
