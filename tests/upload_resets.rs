//! Tests that a response whose connection is reset while its request is still sent never looks complete.

#![allow(clippy::unwrap_used)]

use {
    oleandermount::backend::{
        BackendError,
        connection::ExchangeLimits,
        read_meter::{MeteredStream, ReadMeter},
        service::{ServiceRequest, ServiceResponse, send_call},
    },
    socket2::SockRef,
    std::{
        io::{self, ErrorKind},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpListener,
        time::{Instant, sleep},
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 3 << 20;
/// Uploads for each moment of the reset.
const UPLOADS: usize = 12;

/// A connection as the system reports it: the first call after a reset gets the error, and a read after it
/// gets an end.
struct ResetStream {
    error: Option<ErrorKind>,
}

impl AsyncRead for ResetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(self.error.take().map_or(Ok(()), |kind| Err(kind.into())))
    }
}

impl AsyncWrite for ResetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let kind = self.error.take().unwrap_or(ErrorKind::BrokenPipe);
        Poll::Ready(Err(kind.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a reset that a write takes away, so that the read after it looks like the end of the response.
#[tokio::test]
async fn reset_is_not_forgotten() {
    for error in [ErrorKind::ConnectionReset, ErrorKind::TimedOut] {
        let connection = ResetStream { error: Some(error) };
        let mut stream = MeteredStream::new(connection, ReadMeter::default());
        for expected in [error, ErrorKind::BrokenPipe] {
            let written = stream.write(b"more of the request").await;
            assert_eq!(written.map_err(|error| error.kind()), Err(expected));
        }
        for _ in 0..2 {
            let read = stream.read(&mut [0; 8]).await;
            assert_eq!(read.map_err(|error| error.kind()), Err(error));
        }
    }
}

/// Guards against a server's own end that counts as a reset because the server reads no more.
#[tokio::test]
async fn end_before_failed_write_is_end() {
    let connection = ResetStream { error: Some(ErrorKind::BrokenPipe) };
    let mut stream = MeteredStream::new(connection, ReadMeter::default());
    assert!(stream.write(b"more of the request").await.is_err());
    assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0);
}

/// Uploads to a server that responds early, without a length, and then resets the connection after `pause` or
/// ends it.
async fn upload(pause: Duration, is_reset: bool) -> Result<ServiceResponse, BackendError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part")
            .await
            .unwrap();
        sleep(pause).await;
        match is_reset {
            true => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
            false => {
                stream.shutdown().await.unwrap();
                let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
            }
        }
    };
    let request = ServiceRequest {
        method: "POST".parse().unwrap(),
        path: "/upload".to_owned(),
        headers: Default::default(),
        body: vec![b'x'; UPLOAD_BYTES].into(),
    };
    let until = Instant::now() + TEST_TIMEOUT;
    let limits = ExchangeLimits { send_before: until, head_before: until };
    let (response, ()) = tokio::join!(send_call(address, 1, request, limits), serve);
    response
}

/// Guards against a part of an early response that a service's caller gets as a complete one.
#[tokio::test]
async fn early_response_that_is_reset_is_broken() {
    for pause in [0, 1, 5, 30].map(Duration::from_millis) {
        for _ in 0..UPLOADS {
            let response = upload(pause, true).await;
            assert_eq!(response.err(), Some(BackendError::Broken), "after {pause:?}");
        }
    }
}

/// An early response that ends with its connection is complete.
#[tokio::test]
async fn early_response_that_ends_is_used() {
    for pause in [0, 5].map(Duration::from_millis) {
        let response = upload(pause, false).await.unwrap();
        assert_eq!(response.body, "a part");
    }
}
