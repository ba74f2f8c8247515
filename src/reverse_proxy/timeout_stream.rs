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
        pipeline::{caller_budget::ClientHold, counters::count_refusal, drain::OpenRequest},
        policy::caller_memory::{CONNECTION_BYTES, HoldPhase},
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{
        future::Future,
        io,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        task::{Context, Poll, ready},
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

/// Part of a connection's share of memory that a head may take.
const HEAD_SHARE: usize = CONNECTION_BYTES / 4;
/// How long a connection is kept to read what the caller still sends after the response. Unread bytes
/// would reset the connection, and the caller would not get the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The most that is read and discarded: about the longest body.
const LINGER_BYTES: usize = 4 << 20;
/// Size of the pieces in which bytes are read and discarded.
const DISCARD_BYTES: usize = 8 << 10;

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
    /// Whether the caller may still be sending when the connection ends.
    lingers: AtomicBool,
    /// The request whose response the HTTP library has taken and the socket has not.
    unsent: Mutex<Option<OpenRequest>>,
    /// What the process holds for the client; `None` if it does not count.
    hold: Option<ClientHold>,
}

impl ConnectionPhase {
    /// The phase of a new connection of a client.
    pub fn new(hold: ClientHold) -> Self {
        ConnectionPhase(Arc::new(PhaseCells { hold: Some(hold), ..PhaseCells::default() }))
    }

    /// What the process holds for the client.
    pub fn hold(&self) -> Option<&ClientHold> {
        self.0.hold.as_ref()
    }

    /// Marks that a complete head has arrived. The body may follow.
    pub fn begin_request(&self) {
        self.change(BUSY);
    }

    /// Marks that the body of a request has arrived.
    pub fn begin_run(&self) {
        if let Some(hold) = self.hold() {
            hold.set_phase(HoldPhase::Running);
        }
    }

    /// Marks that the caller may still be sending when the connection ends.
    pub fn linger_at_end(&self) {
        self.0.lingers.store(true, Ordering::Relaxed);
    }

    /// Marks that the HTTP library has taken the response.
    pub fn end_request(&self) {
        self.change(IDLE);
    }

    /// Keeps a request open until the socket has taken all bytes of its response, or the connection has
    /// ended.
    pub fn keep_until_sent(&self, open: OpenRequest) {
        // An earlier response is sent before this one.
        self.lock_unsent().replace(open);
    }

    /// Marks that the socket has taken all bytes that the HTTP library had.
    fn record_sent(&self) {
        drop(self.lock_unsent().take());
    }

    fn lock_unsent(&self) -> MutexGuard<'_, Option<OpenRequest>> {
        self.0.unsent.lock().unwrap_or_else(PoisonError::into_inner)
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
        if let Some(hold) = self.hold() {
            hold.set_phase(if phase == IDLE { HoldPhase::Idle } else { HoldPhase::Receiving });
        }
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
    /// Bytes of heads that count against the memory for clients.
    head_held: usize,
    /// Runs while the rest of what the caller sends is discarded.
    linger: Option<Pin<Box<Sleep>>>,
    /// Bytes that were discarded.
    discarded: usize,
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
        TokioIo::new(TimeoutStream {
            stream,
            phase,
            raw,
            limits,
            observed,
            timer: None,
            is_reset: false,
            head_held: 0,
            linger: None,
            discarded: 0,
        })
    }

    /// Counts bytes that have arrived; returns whether there is memory for the head that they belong to.
    fn hold_arrived(&mut self, bytes: usize, is_head: bool) -> bool {
        let Some(hold) = self.phase.hold() else { return true };
        hold.record_progress(bytes);
        if !is_head {
            return true;
        }
        // Besides the raw bytes the HTTP library holds them in a buffer.
        let needed = (2 * self.raw.len()).saturating_sub(HEAD_SHARE);
        let missing = needed.saturating_sub(self.head_held);
        self.head_held += missing;
        missing == 0 || hold.add_head(missing).is_ok()
    }

    /// Ends a connection that waits for a head and is closed to make room for others.
    fn end_to_make_room(&mut self, phase: u32) {
        if phase & PHASE_MASK == HEAD {
            count_refusal(refusal::NO_MEMORY);
            log::info!(reason = refusal::NO_MEMORY, status = 503, sent_to = 0;
                "{}", events::REQUEST_REFUSED);
            // As with a head that is too slow.
            let _ = self.stream.try_write(no_memory_response(self.phase.hold()).as_bytes());
        }
    }

    /// Reads and discards what the caller still sends, until it closes the connection, for [`LINGER_TIME`]
    /// or up to [`LINGER_BYTES`].
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.phase.0.lingers.load(Ordering::Relaxed) {
            return Poll::Ready(());
        }
        let is_closing =
            self.phase.hold().is_some_and(|hold| hold.poll_closing(context).is_ready());
        let linger =
            self.linger.get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + LINGER_TIME)));
        loop {
            let is_over = is_closing || self.discarded >= LINGER_BYTES;
            if is_over || linger.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
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
        self.phase.record_sent();
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
            let (bytes, phase) = (arrived.len(), this.phase.get());
            if !this.hold_arrived(bytes, phase & PHASE_MASK == HEAD) {
                this.end_to_make_room(phase);
                buffer.set_filled(before);
            }
            return Poll::Ready(result);
        }
        let phase = this.phase.get();
        let is_closing =
            this.phase.hold().is_some_and(|hold| hold.poll_closing(context).is_ready());
        if is_closing && phase & PHASE_MASK != BUSY {
            this.end_to_make_room(phase);
            return Poll::Ready(Ok(()));
        }
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
        let phase = self.phase.clone();
        let written = self.stream().poll_write(context, bytes);
        check_written(&phase, context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_linger();
        let phase = self.phase.clone();
        let written = self.stream().poll_write_vectored(context, buffers);
        check_written(&phase, context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library calls this when it has written all of its bytes.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.phase.record_sent();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_linger();
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        }
        this.poll_discard(context).map(Ok)
    }
}

/// Response to a head for which the process has no memory.
fn no_memory_response(hold: Option<&ClientHold>) -> String {
    let delay = hold.map(ClientHold::retry_after).unwrap_or_default().as_secs_f64();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {delay}\r\ncontent-length: 0\r\n\
         connection: close\r\n\r\n"
    )
}

/// Records the progress of a response; ends a connection that is closed to make room while its caller does
/// not read the response.
fn check_written(
    phase: &ConnectionPhase,
    context: &mut Context<'_>,
    written: Poll<io::Result<usize>>,
) -> Poll<io::Result<usize>> {
    let Some(hold) = phase.hold() else { return written };
    match written {
        Poll::Ready(Ok(bytes)) => hold.record_progress(bytes),
        Poll::Pending
            if phase.get() & PHASE_MASK == IDLE && hold.poll_closing(context).is_ready() =>
        {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Err(_)) | Poll::Pending => {}
    }
    written
}
