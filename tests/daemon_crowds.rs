//! Tests that crowds of misbehaving clients take no more memory of a daemon than it has, and that ordinary
//! callers are served beside them.

#[path = "fakes/client_crowd.rs"]
mod client_crowd;
#[path = "fakes/daemon_process.rs"]
mod daemon_process;

use {
    client_crowd::{ClientCrowd, ClientForm, ProcessMeter, chunks, run_alone},
    daemon_process::DaemonGroup,
    std::collections::BTreeMap,
};

const VM: &str = "a-1";
/// Memory of the daemon in bytes, as its settings name it.
const MEMORY: u64 = 96 << 20;
/// Length of the bodies of a crowd.
const BODY_BYTES: usize = 4 << 20;
/// Clients of a crowd.
const CROWD: usize = 64;

/// The ports of a daemon.
#[derive(Clone, Copy)]
enum DaemonPort {
    Callers,
    Operators,
}

/// Lets a crowd loose on a daemon, and checks it beside the crowd and after it.
async fn withstand(port: DaemonPort, form: ClientForm) {
    let _alone = run_alone().await;
    let variable = ("OLEANDERMOUNT_MAX_MEMORY_BYTES".to_owned(), MEMORY.to_string());
    let group = DaemonGroup::start_with(&[VM], BTreeMap::from([variable])).await;
    let (callers, operators) = group.addresses(VM);
    let address = match port {
        DaemonPort::Callers => callers,
        DaemonPort::Operators => operators,
    };
    let meter = ProcessMeter::start(group.process_id(VM), address);
    let crowd = ClientCrowd::start(address, CROWD, &form);
    crowd.wait_settled().await;
    let beside = group.chat(VM, "beside the crowd").await.map(|reply| reply.status.as_u16());
    let sent = crowd.sent();
    drop(crowd);
    let after =
        group.chat(VM, &"x".repeat(BODY_BYTES / 2)).await.map(|reply| reply.status.as_u16());
    let most = meter.most();
    println!("{sent} bytes sent; {} MiB; {beside:?} beside, {after:?} after", most.memory >> 20);
    assert!(most.memory <= MEMORY, "{} bytes of memory", most.memory);
    assert_eq!(beside.ok(), Some(200), "an ordinary request beside the crowd");
    assert_eq!(after.ok(), Some(200), "a long request in calm");
}

fn upload(framing: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer firm-key\r\n\
         Content-Type: application/json\r\n{framing}\r\n\r\n"
    )
}

fn sized(length: usize) -> String {
    upload(&format!("Content-Length: {length}"))
}

fn chunked() -> String {
    upload("Transfer-Encoding: chunked")
}

/// Guards against memory that grows with the number of whole bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies() {
    let form = ClientForm::body(sized(BODY_BYTES), vec![b'x'; BODY_BYTES], 1);
    withstand(DaemonPort::Callers, form).await;
}

/// Guards against memory that grows with the number of bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_bodies() {
    let form = ClientForm::body(sized(BODY_BYTES), vec![b'x'; BODY_BYTES - 1], 1);
    withstand(DaemonPort::Callers, form).await;
}

/// Guards against memory that grows with the number of chunked bodies whose last chunk is missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks() {
    let size = 64 << 10;
    let form = ClientForm::body(chunked(), chunks(size, 1), BODY_BYTES / size);
    withstand(DaemonPort::Callers, form).await;
}

/// Guards against chunks of one byte that are kept one by one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_chunks() {
    withstand(DaemonPort::Callers, ClientForm::body(chunked(), chunks(1, 1 << 10), 64)).await;
}

/// Guards against bodies that are announced and sent far over the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_excess() {
    let form = ClientForm::endless(sized(1 << 30), vec![b'x'; 64 << 10]);
    withstand(DaemonPort::Callers, form).await;
}

/// Guards against chunked bodies without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_chunks() {
    withstand(DaemonPort::Callers, ClientForm::endless(chunked(), chunks(64 << 10, 1))).await;
}

/// Guards against bodies of operators that stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_operator_bodies() {
    let head = format!(
        "PUT /v1/register HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let form = ClientForm::body(head, vec![b' '; BODY_BYTES - 1], 1);
    withstand(DaemonPort::Operators, form).await;
}
