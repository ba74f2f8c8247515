//! Memory for responses that are buffered until they are complete.
//!
//! A response that never ends is held up to the limit of one response, and a server in trouble sends
//! many of them. All buffered responses share one budget, beside a small part that each may always
//! hold, so that short responses are not affected.

use {
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Maximum size of a response that is buffered until it is complete; only streams may be longer.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Size up to which a response takes nothing from the budget.
const FREE_BYTES: usize = 64 << 10;

/// Memory of all buffered responses beyond [`FREE_BYTES`] of each.
const SHARED_BYTES: usize = 8 << 20;

/// Why a response was not buffered.
#[derive(Debug, Display)]
pub enum BufferError<E> {
    /// the response broke: {0}
    Broken(E),
    /// the response is longer than 4 MiB; stream responses of this size
    TooLong,
    /// the responses that are buffered at the same time take all memory; retry later
    NoMemory,
}

/// The memory that all buffered responses of a process share; clones share it as well.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<AtomicUsize>);

impl Default for BufferBudget {
    fn default() -> Self {
        BufferBudget(Arc::new(AtomicUsize::new(SHARED_BYTES)))
    }
}

impl BufferBudget {
    /// Reads a body to its end. The memory is returned to the budget once the result is dropped.
    ///
    /// # Errors
    /// If the body breaks, is too long, or no memory is left.
    pub async fn collect<B>(&self, body: B) -> Result<Bytes, BufferError<B::Error>>
    where
        B: Body<Data = Bytes>,
    {
        let mut body = pin!(body);
        let mut buffer = ResponseBuffer { budget: self.clone(), reserved: 0, bytes: Vec::new() };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BufferError::Broken)?;
            if let Ok(data) = frame.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(Bytes::from_owner(buffer))
    }

    fn reserve(&self, bytes: usize) -> bool {
        let order = Ordering::Relaxed;
        self.0.fetch_update(order, order, |free| free.checked_sub(bytes)).is_ok()
    }
}

/// A response, and what it has taken from the budget.
struct ResponseBuffer {
    budget: BufferBudget,
    reserved: usize,
    bytes: Vec<u8>,
}

impl ResponseBuffer {
    fn push<E>(&mut self, data: &Bytes) -> Result<(), BufferError<E>> {
        let length = self.bytes.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLong);
        }
        if length > self.bytes.capacity() {
            let capacity = (self.bytes.capacity() * 2).clamp(length, MAX_RESPONSE_BYTES);
            let missing = capacity.saturating_sub(FREE_BYTES).saturating_sub(self.reserved);
            if !self.budget.reserve(missing) {
                return Err(BufferError::NoMemory);
            }
            self.reserved += missing;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl AsRef<[u8]> for ResponseBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.reserved, Ordering::Relaxed);
    }
}
