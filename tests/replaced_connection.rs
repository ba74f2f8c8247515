//! A daemon that was killed and connects again.

use {
    futures::future::BoxFuture,
    metrics_exporter_prometheus::PrometheusBuilder,
    oleandermount::{
        ids::VmId,
        observe::memory::{PEER_LOAD, report_memory},
        transport::{
            PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, UnauthenticatedSettings,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        runtime::Builder,
        time::{Instant, interval},
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Below the idle timeout, after which a lost connection is closed anyway.
const REPLACED_WITHIN: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

struct StatusHandler;

impl PeerHandler for StatusHandler {
    fn message(&self, _from: VmId, _message: PeerMessage) {}

    fn request(&self, _from: VmId, _request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        Box::pin(std::future::ready(PeerReply::Status(String::new())))
    }
}

fn start_network(vm: &str, peers: BTreeMap<VmId, SocketAddr>) -> PeerNetwork {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = UnauthenticatedSettings { vm: vm.to_owned(), listen, peers };
    PeerNetwork::start_unauthenticated(settings, Arc::new(StatusHandler)).expect("a port is free")
}

/// Starts a daemon and connects it to the control VM.
async fn connect(vm: &str, control: SocketAddr) -> PeerNetwork {
    let network = start_network(vm, BTreeMap::from([("control".to_owned(), control)]));
    let status = network.call(&"control".to_owned(), PeerRequest::Status, TEST_TIMEOUT).await;
    assert_eq!(status, Ok(PeerReply::Status(String::new())));
    network
}

// Guards against memory that a control VM holds for connections of killed daemons beside those of
// their next processes: a connection without packets is closed only after the idle timeout.
#[tokio::test]
async fn later_connection_closes_former() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    let _guard = metrics::set_default_local_recorder(&recorder);
    tokio::spawn(report_memory());
    let open = || {
        let start = format!("{PEER_LOAD}{{kind=\"connections\"}} ");
        let text = handle.render();
        let count = text.lines().find_map(|line| line.strip_prefix(&start));
        count.and_then(|count| count.parse::<u32>().ok()).unwrap_or_default()
    };
    let wait_open = async |count: u32| {
        let start = Instant::now();
        let mut checks = interval(CHECK_INTERVAL);
        while open() != count {
            assert!(start.elapsed() < REPLACED_WITHIN, "{} connections, not {count}", open());
            checks.tick().await;
        }
    };
    let control = start_network("control", BTreeMap::new());
    let address = control.local_address();
    let _other = connect("other", address).await;
    let killed = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("it starts");
        let network = runtime.block_on(connect("entry", address));
        // No task is left that could close the connection, as after a kill.
        drop(runtime);
        network
    });
    wait_open(2).await;
    let _killed = killed.join().expect("the thread ends");
    let _running = connect("entry", address).await;
    wait_open(2).await;
    // The connection of a process that runs stays open beside a later one under the same name.
    let _later = connect("entry", address).await;
    wait_open(3).await;
    let start = Instant::now();
    let mut checks = interval(CHECK_INTERVAL);
    while start.elapsed() < REPLACED_WITHIN {
        checks.tick().await;
        assert_eq!(open(), 3);
    }
}
