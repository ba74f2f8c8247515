//! Responses without end of engines and services that the asset register names.

use {
    bytes::Bytes,
    http::Request,
    http_body_util::{BodyExt, Full},
    oleandermount::backend::connection::{ExchangeLimits, exchange},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, timeout},
    },
};

/// Bytes that the kernel may hold of a connection beside those that are read.
const KERNEL_BYTES: usize = 8 << 20;
/// How long a response may be read, far longer than it takes to reach the limit.
const READ_TIME: Duration = Duration::from_secs(4);
/// Heads of responses, and what follows again and again without any progress.
const FORMS: [(&str, &str); 4] = [
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "bbbb"),
    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
];

async fn respond(mut stream: TcpStream, form: (&str, &str), sent: Arc<AtomicUsize>) {
    let mut request = [0; 4096];
    if stream.read(&mut request).await.is_err()
        || stream.write_all(form.0.as_bytes()).await.is_err()
    {
        return;
    }
    let repeated = form.1.repeat((16 << 10) / form.1.len());
    while let Ok(written) = stream.write(repeated.as_bytes()).await {
        sent.fetch_add(written, Ordering::Relaxed);
    }
}

async fn read_response(address: SocketAddr) {
    let now = Instant::now();
    let limits = ExchangeLimits { send_before: now + READ_TIME, head_before: now + READ_TIME };
    let request = Request::new(Full::new(Bytes::new()));
    if let Ok(mut open) = exchange(address, 1, request, limits).await {
        while let Some(Ok(_)) = open.response.body_mut().frame().await {}
    }
}

/// Guards against a daemon that reads a response without end for as long as it comes, and does nothing else
/// meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn endless_response_is_cut_off() {
    for form in FORMS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let sent = Arc::new(AtomicUsize::new(0));
        let sent_bytes = Arc::clone(&sent);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                respond(stream, form, Arc::clone(&sent_bytes)).await;
            }
        });
        // A response that is not cut off is abandoned, and its bytes tell.
        let _ = timeout(READ_TIME, tokio::spawn(read_response(address))).await;
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < KERNEL_BYTES, "{sent} bytes of {form:?}");
    }
}
