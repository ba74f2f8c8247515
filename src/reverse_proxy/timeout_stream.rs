//! Bounds how long a caller may take for a head, and how long its connection may stay idle.
//!
//! The HTTP library cuts a slow head off without an answer. The guard sits below it, sees which
//! bytes come when, and answers 408 itself, so that the caller learns that nothing ran. It looks at
//! the time only while the library waits for a head; a request in progress is never cut here.

use {
    super::raw_head::RawHead,
    crate::{
        observe::{events, metrics::refusal},
        pipeline::counters::count_refusal,
    },
    hyper_util::rt::TokioIo,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
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

/// What a caller whose head does not end is told.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

const IDLE: u32 = 0;
const HEAD: u32 = 1;
const BUSY: u32 = 2;
/// The bits that hold one of the three; the others count the changes, so that a phase that came
/// back between two looks is not taken for the one before.
const PHASE_BITS: u32 = 2;
const PHASE_MASK: u32 = (1 << PHASE_BITS) - 1;

/// Where a connection is between two requests; shared by the guard and the service above it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPhase(Arc<AtomicU32>);

impl ConnectionPhase {
    /// A whole head has arrived.
    pub fn begin_request(&self) {
        self.change(BUSY);
    }

    /// The answer has left.
    pub fn end_request(&self) {
        self.change(IDLE);
    }

    fn change(&self, phase: u32) {
        let changes = (self.0.load(Ordering::Relaxed) >> PHASE_BITS).wrapping_add(1);
        self.0.store((changes << PHASE_BITS) | phase, Ordering::Relaxed);
    }

    /// The phase with its count.
    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How long a caller may take.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// From the first byte of a head to its last.
    pub head: Duration,
    /// Without a byte between two requests.
    pub idle: Duration,
    /// The longest head, in bytes.
    pub head_bytes: usize,
}

/// A caller's connection under guard.
pub struct TimeoutStream {
    stream: TcpStream,
    phase: ConnectionPhase,
    raw: RawHead,
    limits: StreamTimeouts,
    /// Since when the present phase lasts, as far as reads have shown.
    seen: (u32, Instant),
    /// Runs while the library waits for a head.
    timer: Option<Pin<Box<Sleep>>>,
}

impl TimeoutStream {
    /// A guarded connection in the library's form.
    pub fn wrap(
        stream: TcpStream,
        phase: ConnectionPhase,
        raw: RawHead,
        limits: StreamTimeouts,
    ) -> TokioIo<TimeoutStream> {
        let seen = (IDLE, Instant::now());
        TokioIo::new(TimeoutStream { stream, phase, raw, limits, seen, timer: None })
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
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
        if this.seen.0 != phase {
            this.seen = (phase, Instant::now());
            this.timer = None;
        }
        let limit = match phase & PHASE_MASK {
            HEAD => this.limits.head,
            IDLE => this.limits.idle,
            _ => return Poll::Pending,
        };
        let due = this.seen.1 + limit;
        let timer = this.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        // Looking at the timer registers the wake-up.
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        if phase & PHASE_MASK == HEAD {
            count_refusal(refusal::HEAD_TIMEOUT);
            log::info!(reason = refusal::HEAD_TIMEOUT, status = 408, sent_to = 0;
                "{}", events::REQUEST_REFUSED);
            // A full send buffer means that the caller does not read either.
            let _ = this.stream.try_write(HEAD_TOO_SLOW);
        }
        // An empty read ends the connection for the library above.
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
