//! Servers that stop in the middle of a response.

#![allow(clippy::unwrap_used, dead_code)]

use {
    socket2::SockRef,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
    },
};

/// What a server does after the part of a response that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutEnd {
    Close,
    Reset,
    Silence,
}

/// All bytes of a response up to each of its bytes, without the complete one.
pub fn cuts(response: &str) -> impl Iterator<Item = String> {
    (0..response.len()).map(|length| response[..length].to_owned())
}

/// Forms of a response of `body` whose end is marked, and whose head has these `headers`.
pub fn marked_forms(headers: &str, body: &str) -> Vec<String> {
    let length = body.len();
    let sized = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
    vec![
        sized.clone(),
        format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n{chunks}"),
        format!("HTTP/1.0 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}"),
        format!("HTTP/1.1 200\nContent-Length: {length}\n{}\n{body}", headers.replace('\r', "")),
        format!("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n{sized}"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{sized}"),
    ]
}

/// Forms whose body ends with the connection: the heads alone.
pub fn open_heads(headers: &str) -> Vec<String> {
    ["HTTP/1.1 200 OK", "HTTP/1.0 200 OK"]
        .map(|line| format!("{line}\r\n{headers}\r\n"))
        .into_iter()
        .collect()
}

/// A server that cuts its responses, until it is dropped: tests start thousands of them.
pub struct CutServer {
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Starts a server that responds to each request with `part` and then does no more.
pub async fn start_cut_server(part: String, end: CutEnd) -> CutServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, part.clone(), end));
        }
    });
    CutServer { address, _tasks: tasks }
}

async fn serve(mut stream: TcpStream, part: String, end: CutEnd) {
    let mut request = vec![0; 16 << 10];
    // The requests of the tests arrive in one piece; one without bytes is a probe.
    if !matches!(stream.read(&mut request).await, Ok(length) if length > 0) {
        return;
    }
    stream.write_all(part.as_bytes()).await.unwrap();
    match end {
        CutEnd::Close => stream.shutdown().await.unwrap_or_default(),
        CutEnd::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        CutEnd::Silence => while matches!(stream.read(&mut request).await, Ok(1..)) {},
    }
}
