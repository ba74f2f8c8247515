//! How a follower receives documents that take seconds on its link.
//!
//! A document is due within 3 s of its acknowledgement, or one second after the time that the link
//! needs for it, if that is longer. It is sent once, and the control VM that sends it is not
//! abandoned meanwhile.

#[path = "fakes/udp_relay.rs"]
mod udp_relay;

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome},
        daemon::control_driver::{ControlDriver, ControlHandle, DriverSettings},
        fleet::{
            FleetSnapshot, ListedServer, MAX_SERVERS, ServerPhase,
            watch::{FleetView, publish_list},
        },
        follow::{
            AnswerMode, FollowReply, FollowRequest, FollowerKind, SharedState,
            service::{ControlHandler, EntryHandler, FollowService},
            task::{FollowTask, FollowerPort},
        },
        ids::VmId,
        transport::{
            PeerHandler, PeerMessage, PeerNetwork, PeerReply, PeerRequest, UnauthenticatedSettings,
        },
    },
    rand_xoshiro::{
        Xoshiro256PlusPlus,
        rand_core::{RngCore, SeedableRng},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tempfile::TempDir,
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, interval, sleep_until, timeout},
    },
    udp_relay::UdpRelay,
};

/// Bytes per second of the follower's link.
const LINK_RATE: u32 = 512 << 10;
/// Bytes that take a second on the link.
const SECOND_BYTES: usize = LINK_RATE as usize;
/// A packet's headers take less than its length divided by this.
const HEADER_DIVISOR: u32 = 20;
/// A moment late in the wait of a poll for changes.
const LATE_IN_WAIT: Duration = Duration::from_millis(600);
/// When a document must be in force after its acknowledgement, if the link carries it in that time.
const DUE: Duration = Duration::from_secs(3);
/// When a longer document must be in force after the time that the link needs for it.
const SLACK: Duration = Duration::from_secs(1);
/// When a change of the server list or of the named weights must have arrived.
const SHORT_DUE: Duration = Duration::from_secs(1);
/// When a follower must have left a control VM that sends nothing more, and asked another one.
const LEAVE_DUE: Duration = Duration::from_secs(2);
/// Bytes on the follower's link that show that a transfer has started.
const STARTED: u64 = 64 << 10;
/// Ends a test whose document does not arrive.
const GIVE_UP: Duration = Duration::from_secs(10);
/// How often a document changes during its transfer, and how many times.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const CHANGES: u64 = 8;
const CHANGED_BYTES: usize = 100;
const MODEL: &str = "basket-llm";
/// Bytes per second of a link that is slower than the others here, or shared with other transfers.
const SHARED_RATE: u32 = 64 << 10;
/// When a server list or a document that takes long on such a link must have arrived.
const SHARED_DUE: Duration = Duration::from_secs(25);

/// The follow requests that a control VM has received.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
    suitability: usize,
    polls: usize,
}

/// Counts follow requests and hands them on.
struct CountingHandler {
    inner: ControlHandler,
    counts: watch::Sender<RequestCounts>,
}

impl PeerHandler for CountingHandler {
    fn message(&self, from: VmId, message: PeerMessage) {
        self.inner.message(from, message);
    }

    fn request(&self, from: VmId, request: PeerRequest) -> BoxFuture<'static, PeerReply> {
        if let PeerRequest::Follow(request) = &request {
            self.counts.send_modify(|counts| match request.mode {
                AnswerMode::Suitability => counts.suitability += 1,
                AnswerMode::Wait => counts.polls += 1,
                AnswerMode::Now => {}
            });
        }
        self.inner.request(from, request)
    }
}

/// A control VM whose replica is a group of its own.
struct ControlVm {
    replica: ControlHandle,
    fleet: Arc<FleetView>,
    counts: watch::Receiver<RequestCounts>,
    network: PeerNetwork,
    _folder: TempDir,
}

impl ControlVm {
    /// Has a document accepted; returns the time of the acknowledgement.
    async fn put(&self, number: u64, body: &str) -> Instant {
        let command = Command::PutDocument { number, body: body.to_owned() };
        let outcome = self.replica.propose_local(command).await;
        assert_eq!(outcome, Ok(CommandOutcome::DocumentHeld { number }));
        let acknowledged = Instant::now();
        // The replica acknowledges a document before it publishes it.
        let mut documents = self.replica.documents();
        let published = documents.wait_for(|state| state.document().number >= number).await;
        assert!(published.is_ok(), "the replica runs");
        acknowledged
    }

    /// Waits for the next poll of the follower.
    async fn next_poll(&self) -> Instant {
        let mut counts = self.counts.clone();
        let polls = counts.borrow_and_update().polls;
        drop(counts.wait_for(|counts| counts.polls > polls).await.expect("the control VM runs"));
        Instant::now()
    }
}

struct EntryPort;

impl FollowerPort for EntryPort {
    fn kind(&self) -> FollowerKind {
        FollowerKind::Entry
    }

    fn reply_received(&self, _reply: &FollowReply, _state: &SharedState) {}
}

fn start_network(
    vm: &str,
    peers: BTreeMap<VmId, SocketAddr>,
    handler: Arc<dyn PeerHandler>,
) -> PeerNetwork {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = UnauthenticatedSettings { vm: vm.to_owned(), listen, peers };
    PeerNetwork::start_unauthenticated(settings, handler).expect("a port is free")
}

fn server_list(incarnation: u64) -> FleetSnapshot {
    FleetSnapshot::new(vec![ListedServer {
        id: "server".to_owned(),
        service: "service".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: "near".to_owned(),
        slots: 1,
        software: "v1".to_owned(),
        arbiter: None,
        phase: ServerPhase::Ready,
        incarnation,
        weights: BTreeMap::new(),
    }])
}

async fn start_control(vm: &str, domain: &str, tasks: &mut JoinSet<()>) -> ControlVm {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let (outbound, _) = mpsc::channel(16);
    let mut settings = DriverSettings::new(vm.to_owned(), vec![vm.to_owned()], folder.path(), 1);
    settings.timing.election = Duration::from_millis(20);
    let replica = ControlDriver::start(settings, outbound).expect("the folder can be used");
    let fresh = replica.status_watch().wait_for(|status| status.is_fresh).await.is_ok();
    assert!(fresh, "one replica elects itself");
    let fleet = Arc::new(FleetView::default());
    fleet.apply_reading(server_list(1));
    tasks.spawn(publish_list(Arc::clone(&fleet)));
    let service = Arc::new(FollowService::new(domain.to_owned(), Arc::clone(&fleet)));
    service.open(replica.clone());
    let (sender, counts) = watch::channel(RequestCounts::default());
    let handler = CountingHandler { inner: ControlHandler { service }, counts: sender };
    let network = start_network(vm, BTreeMap::new(), Arc::new(handler));
    ControlVm { replica, fleet, counts, network, _folder: folder }
}

/// An entry with a slow link, and two control VMs; the first is in its failure domain.
struct SlowEntry {
    relay: UdpRelay,
    near: ControlVm,
    far: ControlVm,
    network: PeerNetwork,
    state: watch::Receiver<SharedState>,
    tasks: JoinSet<()>,
}

/// How a document reached the entry.
#[derive(Debug)]
struct Delivery {
    /// From the acknowledgement; `None` if it did not arrive before [`GIVE_UP`].
    duration: Option<Duration>,
    /// The bytes that were relayed to the entry since the document was proposed.
    bytes: u64,
    /// How often the entry selected a control VM meanwhile.
    selections: usize,
}

impl SlowEntry {
    /// Starts everything but the follower.
    async fn start() -> Self {
        let mut tasks = JoinSet::new();
        let near = start_control("near", "near", &mut tasks).await;
        let far = start_control("far", "far", &mut tasks).await;
        let relay = UdpRelay::start(&["near", "far", "entry"]).await;
        let peers = ["near", "far"].map(|vm| (vm.to_owned(), relay.port(vm)));
        let network = start_network("entry", peers.into(), Arc::new(EntryHandler));
        relay.set_address("near", near.network.local_address());
        relay.set_address("far", far.network.local_address());
        relay.set_address("entry", network.local_address());
        relay.limit_rate("entry", LINK_RATE);
        let (_, state) = watch::channel(SharedState::default());
        SlowEntry { relay, near, far, network, state, tasks }
    }

    /// Starts the follower.
    fn follow(&mut self) {
        let (sender, state) = watch::channel(SharedState::default());
        let (candidates, candidate_watch) =
            watch::channel(vec!["near".to_owned(), "far".to_owned()]);
        let network = self.network.clone();
        let port = Arc::new(EntryPort);
        let task = FollowTask::new(network, "near".to_owned(), candidate_watch, sender, port);
        self.tasks.spawn(async move {
            let _candidates = candidates;
            task.run().await;
        });
        self.state = state;
    }

    /// Starts the follower and waits until it follows the near control VM.
    async fn start_following() -> Self {
        let mut entry = Self::start().await;
        entry.follow();
        entry.near.next_poll().await;
        let mut state = entry.state.clone();
        let listed = timeout(GIVE_UP, state.wait_for(|state| state.fleet.is_some())).await;
        assert!(listed.is_ok(), "the entry receives the server list");
        entry
    }

    /// Starts the follower with a document of this length to receive, and waits until some of it has
    /// arrived.
    async fn start_receiving(length: usize) -> Self {
        let mut entry = Self::start().await;
        entry.near.put(1, &random_text(1, length)).await;
        entry.follow();
        entry.wait_relayed(STARTED).await;
        entry
    }

    fn relayed(&self) -> u64 {
        *self.relay.relayed_bytes("entry").borrow()
    }

    fn selections(&self) -> usize {
        self.near.counts.borrow().suitability
    }

    /// Waits until this many more bytes were relayed to the entry.
    async fn wait_relayed(&self, bytes: u64) {
        let mut relayed = self.relay.relayed_bytes("entry");
        let start = *relayed.borrow_and_update();
        let wait = relayed.wait_for(|relayed| *relayed >= start + bytes);
        let arrived = timeout(GIVE_UP, wait).await;
        assert!(arrived.is_ok(), "the transfer has started");
    }

    /// Waits until the state meets a condition; returns the time since `start`.
    async fn wait_state(
        &self,
        start: Instant,
        condition: impl FnMut(&SharedState) -> bool,
    ) -> Option<Duration> {
        let mut state = self.state.clone();
        timeout(GIVE_UP, state.wait_for(condition)).await.ok().map(|_| start.elapsed())
    }

    /// Has a document accepted at the near control VM, and waits until it is in force.
    async fn deliver(&self, number: u64, body: &str) -> Delivery {
        let (relayed, selections) = (self.relayed(), self.selections());
        let acknowledged = self.near.put(number, body).await;
        let newer = |state: &SharedState| state.document.number >= number;
        let duration = self.wait_state(acknowledged, newer).await;
        let (bytes, selections) = (self.relayed() - relayed, self.selections() - selections);
        Delivery { duration, bytes, selections }
    }
}

/// A text of this length that cannot be compressed by more than an eighth.
fn random_text(seed: u64, length: usize) -> String {
    let mut bytes = vec![0; length];
    Xoshiro256PlusPlus::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes.iter_mut().for_each(|byte| *byte &= 0x7f);
    String::from_utf8(bytes).expect("the bytes are ASCII")
}

/// Fetches the present document of the near control VM, as an entry that holds the document `held`.
async fn fetch_document(network: &PeerNetwork, held: u64) {
    let request = FollowRequest { document: held, mode: AnswerMode::Now, ..Default::default() };
    let request = PeerRequest::Follow(Box::new(request));
    let reply = network.call(&"near".to_owned(), request, GIVE_UP).await;
    let Ok(PeerReply::Followed(reply)) = reply else { panic!("no answer: {reply:?}") };
    assert!(reply.document.is_some() || reply.document_delta.is_some());
}

fn link_time(length: usize) -> Duration {
    let carried = Duration::from_secs(length as u64) / LINK_RATE;
    carried + carried / HEADER_DIVISOR
}

/// When a document of this length is due after its acknowledgement.
fn due(length: usize) -> Duration {
    DUE.max(link_time(length) + SLACK)
}

/// The bytes of one transfer, with retransmissions of lost packets.
fn once(length: usize) -> u64 {
    (length + length / 4) as u64
}

fn assert_delivered(delivery: &Delivery, length: usize) {
    assert!(delivery.duration.is_some_and(|took| took <= due(length)), "late: {delivery:?}");
    assert!(delivery.bytes <= once(length), "sent more than once: {delivery:?}");
    assert_eq!(delivery.selections, 0, "the sender was abandoned: {delivery:?}");
}

// Checks the link of these tests: it carries a document in the time that the other tests grant.
#[tokio::test(flavor = "multi_thread")]
async fn link_speed() {
    let length = 5 * SECOND_BYTES;
    let entry = SlowEntry::start().await;
    entry.near.put(1, &random_text(1, length)).await;
    let start = Instant::now();
    fetch_document(&entry.network, 0).await;
    let (took, bytes) = (start.elapsed(), entry.relayed());
    assert!(took >= Duration::from_secs(4), "the link is not limited: {took:?}");
    assert!(took <= due(length) && bytes <= once(length), "{took:?}, {bytes} bytes");
}

// Checks that a long answer on its way does not delay short ones on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn short_answers() {
    let body = random_text(1, 3 * SECOND_BYTES);
    let entry = SlowEntry::start().await;
    entry.near.put(1, &body).await;
    let network = entry.network.clone();
    let transfer = tokio::spawn(async move { fetch_document(&network, 0).await });
    entry.wait_relayed(STARTED).await;
    let mut durations = Vec::new();
    while !transfer.is_finished() {
        let start = Instant::now();
        let request = PeerRequest::Follow(Box::default());
        let reply = entry.network.call(&"near".to_owned(), request, GIVE_UP).await;
        assert!(reply.is_ok(), "{reply:?}");
        durations.push(start.elapsed());
    }
    transfer.await.expect("the document arrives");
    let longest = durations.iter().max();
    assert!(longest.is_some_and(|took| *took <= SHORT_DUE), "{durations:?}");
    println!("{} answers, the longest after {longest:?}", durations.len());
}

// Guards against followers that wait a fixed time for an answer, however long it is on its way, and
// then abandon the control VM and fetch the same document again.
#[tokio::test(flavor = "multi_thread")]
async fn two_second_document() {
    let body = random_text(1, 2 * SECOND_BYTES);
    let entry = SlowEntry::start_following().await;
    entry.near.next_poll().await;
    assert_delivered(&entry.deliver(1, &body).await, body.len());
}

// Guards against followers that never receive a document which takes longer than an answer may.
#[tokio::test(flavor = "multi_thread")]
async fn five_second_document() {
    let body = random_text(1, 5 * SECOND_BYTES);
    let entry = SlowEntry::start_following().await;
    entry.near.next_poll().await;
    assert_delivered(&entry.deliver(1, &body).await, body.len());
}

// Guards against followers that count the wait for a change as part of the time for its transfer, so
// that a document accepted late in the wait is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn late_acceptance() {
    let body = random_text(1, SECOND_BYTES + SECOND_BYTES / 4);
    let entry = SlowEntry::start_following().await;
    let polled = entry.near.next_poll().await;
    sleep_until(polled + LATE_IN_WAIT).await;
    assert_delivered(&entry.deliver(1, &body).await, body.len());
}

/// Has a document changed in a few bytes twice a second, from the start of its transfer on, while
/// another entry with a fast link receives each change.
async fn change_meanwhile(length: usize) {
    let mut body = random_text(1, length);
    let entry = SlowEntry::start_following().await;
    let near = ("near".to_owned(), entry.near.network.local_address());
    let fast = start_network("fast", [near].into(), Arc::new(EntryHandler));
    entry.near.next_poll().await;
    let relayed = entry.relayed();
    let mut pending = JoinSet::new();
    let mut ticks = interval(CHANGE_INTERVAL);
    for number in 1..=CHANGES {
        ticks.tick().await;
        let start = length / (CHANGES as usize + 1) * number as usize;
        body.replace_range(start..start + CHANGED_BYTES, &random_text(number, CHANGED_BYTES));
        let acknowledged = entry.near.put(number, &body).await;
        fetch_document(&fast, number - 1).await;
        let mut state = entry.state.clone();
        pending.spawn(async move {
            let wait = state.wait_for(|state| state.document.number >= number);
            let arrived = timeout(GIVE_UP, wait).await.is_ok();
            (number, arrived.then(|| acknowledged.elapsed()))
        });
    }
    let delivered: BTreeMap<_, _> = pending.join_all().await.into_iter().collect();
    let (bytes, selections) = (entry.relayed() - relayed, entry.selections());
    let timely = delivered.values().all(|took| took.is_some_and(|took| took <= due(length)));
    assert!(timely, "late: {delivered:?}, {bytes} bytes, {selections} selections");
    assert!(bytes <= once(length), "sent in full more than once: {bytes} bytes");
    assert_eq!(selections, 1, "the sender was abandoned");
}

// Guards against followers of a document that changes during each transfer, so that they fetch it in
// full again and again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_meanwhile() {
    change_meanwhile(2 * SECOND_BYTES).await;
}

// Guards against control VMs that have dropped a document when its transfer ends, so that the
// follower is sent the next one in full as well.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_base() {
    change_meanwhile(4 * SECOND_BYTES).await;
}

// Guards against entries that have no routes after their start because the document takes longer
// than an answer may.
#[tokio::test(flavor = "multi_thread")]
async fn starting_follower() {
    let length = 3 * SECOND_BYTES;
    let mut entry = SlowEntry::start().await;
    entry.near.put(1, &random_text(1, length)).await;
    entry.far.put(1, &random_text(1, length)).await;
    let start = Instant::now();
    entry.follow();
    let duration = entry.wait_state(start, |state| state.document.number == 1).await;
    let (bytes, selections) = (entry.relayed(), entry.selections());
    let delivery = Delivery { duration, bytes, selections: selections - 1 };
    assert_delivered(&delivery, length);
}

// Guards against followers that wait for the rest of a document from a control VM that is no longer
// reachable.
#[tokio::test(flavor = "multi_thread")]
async fn cut_transfer() {
    let length = 3 * SECOND_BYTES;
    let entry = SlowEntry::start_receiving(length).await;
    entry.far.put(1, &random_text(1, length)).await;
    entry.relay.isolate("near", &[]);
    let start = Instant::now();
    let next = timeout(GIVE_UP, entry.far.next_poll()).await;
    let left = next.expect("the follower asks another control VM") - start;
    let duration = entry.wait_state(start, |state| state.document.number == 1).await;
    assert!(left <= LEAVE_DUE, "the follower left after {left:?}");
    let latest = LEAVE_DUE + due(length);
    assert!(duration.is_some_and(|took| took <= latest), "late: {duration:?}, left {left:?}");
}

// Guards against followers that learn of removed servers only after a long document has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn list_meanwhile() {
    let entry = SlowEntry::start_receiving(5 * SECOND_BYTES).await;
    let list = server_list(2);
    entry.near.fleet.apply_reading(list.clone());
    let has_list = |state: &SharedState| state.fleet.as_deref() == Some(&list);
    let took = entry.wait_state(Instant::now(), has_list).await;
    assert!(took.is_some_and(|took| took <= SHORT_DUE), "late: {took:?}");
}

// Guards against followers that learn of named weights only after a long document has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn weights_meanwhile() {
    let entry = SlowEntry::start_receiving(5 * SECOND_BYTES).await;
    let command = Command::NameWeights { model: MODEL.to_owned(), version: 7 };
    assert_eq!(entry.near.replica.propose_local(command).await, Ok(CommandOutcome::Noted));
    let has_weights = |state: &SharedState| state.weights.get(MODEL) == Some(&7);
    let took = entry.wait_state(Instant::now(), has_weights).await;
    assert!(took.is_some_and(|took| took <= SHORT_DUE), "late: {took:?}");
}

/// The longest server list, with names that cannot be compressed to less than half.
fn long_list() -> FleetSnapshot {
    let template = server_list(1).servers.remove(0);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut name = || (0..4).map(|_| format!("{:016x}", random.next_u64())).collect::<String>();
    FleetSnapshot::new(
        (0..MAX_SERVERS).map(|_| ListedServer { id: name(), ..template.clone() }).collect(),
    )
}

// Guards against followers that take a control VM for an unresponsive one while it sends a long
// server list, and then request the same list again and again.
#[tokio::test(flavor = "multi_thread")]
async fn shared_link_list() {
    let mut entry = SlowEntry::start().await;
    let list = long_list();
    for control in [&entry.near, &entry.far] {
        control.fleet.apply_reading(list.clone());
        let mut published = control.fleet.subscribe_published();
        let wait = timeout(GIVE_UP, async {
            while control.fleet.change_since(FleetSnapshot::default().digest()).is_none() {
                if published.changed().await.is_err() {
                    return;
                }
            }
        });
        assert!(wait.await.is_ok(), "the list is published");
    }
    entry.relay.limit_rate("entry", SHARED_RATE);
    let start = Instant::now();
    entry.follow();
    let mut state = entry.state.clone();
    let has_list = |state: &SharedState| state.fleet.as_deref() == Some(&list);
    let arrived = timeout(SHARED_DUE, state.wait_for(has_list)).await.is_ok();
    let (took, bytes, selections) = (start.elapsed(), entry.relayed(), entry.selections());
    assert!(arrived, "not within {took:?}: {bytes} bytes, {selections} selections");
    assert_eq!(selections, 1, "the sender was abandoned: {took:?}, {bytes} bytes");
}

// Guards against followers that abandon a document whose parts keep arriving because a fixed time
// has passed, and then request it again and again.
#[tokio::test(flavor = "multi_thread")]
async fn shared_link_document() {
    let length = 16 * SHARED_RATE as usize;
    let mut entry = SlowEntry::start().await;
    entry.near.put(1, &random_text(1, length)).await;
    entry.relay.limit_rate("entry", SHARED_RATE);
    let start = Instant::now();
    entry.follow();
    let mut state = entry.state.clone();
    let arrived = timeout(SHARED_DUE, state.wait_for(|state| state.document.number == 1)).await;
    let (took, bytes) = (start.elapsed(), entry.relayed());
    assert!(arrived.is_ok(), "not within {took:?}: {bytes} bytes for a document of {length}");
    assert!(bytes <= once(length), "sent more than once: {took:?}, {bytes} bytes");
}
