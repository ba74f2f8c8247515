//! Tests who makes room when clients hold as much memory, or as many connections, as a process has.

use {
    oleandermount::policy::caller_memory::{
        BodyLength, CONNECTION_BYTES, CallerLedger, HoldLimits, HoldOutcome, HoldPhase,
        HoldPurpose, HolderId, PortKind, retry_delay,
    },
    quickcheck::{TestResult, quickcheck},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Length of the longest body.
const BODY_BYTES: usize = 4 << 20;
/// Length of the pieces in which bodies arrive.
const PIECE_BYTES: usize = 256 << 10;
const CALLERS: usize = 100;

fn limits() -> HoldLimits {
    HoldLimits { bytes: 32 << 20, callers: CALLERS, operators: 4, pages: 4 }
}

/// How long a client waits for room before its request is refused.
const WAIT_TIME: Duration = Duration::from_millis(2_500);

/// A ledger, and the connections that it has told to close. These close at the next step.
struct LedgerPlay {
    ledger: CallerLedger,
    now: Instant,
    closing: BTreeSet<HolderId>,
    closed: BTreeSet<HolderId>,
    /// Since when clients wait for room.
    waiting: BTreeMap<HolderId, Instant>,
}

impl LedgerPlay {
    fn new() -> Self {
        LedgerPlay {
            ledger: CallerLedger::new(limits()),
            now: Instant::now(),
            closing: BTreeSet::new(),
            closed: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn step(&mut self, time: Duration) {
        self.now += time;
        let refused = self.waiting.iter().filter(|(_, since)| self.now >= **since + WAIT_TIME);
        self.closing.extend(refused.map(|(holder, _)| *holder));
        for holder in std::mem::take(&mut self.closing) {
            self.waiting.remove(&holder);
            self.ledger.remove(holder);
            self.closed.insert(holder);
        }
    }

    /// Admits a connection; `None` if it has to wait.
    fn admit(&mut self, port: PortKind) -> Option<HolderId> {
        for _ in 0..3 {
            match self.ledger.admit(port, self.now) {
                Ok(holder) => return Some(holder),
                Err(closing) => self.closing.extend(closing),
            }
            self.step(Duration::ZERO);
        }
        None
    }

    /// Admits a caller that begins to send a request.
    fn caller(&mut self) -> HolderId {
        let caller = self.admit(PortKind::Callers).expect("there is room for a connection");
        self.ledger.set_phase(caller, HoldPhase::Receiving, self.now);
        caller
    }

    /// Receives a piece of a body; returns whether there is room for it.
    fn receive(&mut self, holder: HolderId, bytes: usize) -> bool {
        self.ledger.record_progress(holder, bytes, self.now);
        self.grow(holder, HoldPurpose::Request, bytes)
    }

    fn grow(&mut self, holder: HolderId, purpose: HoldPurpose, bytes: usize) -> bool {
        let body = BodyLength { longest: BODY_BYTES, remaining: PIECE_BYTES };
        for _ in 0..3 {
            match self.ledger.grow(holder, purpose, bytes, body, self.now) {
                HoldOutcome::Granted => {
                    self.waiting.remove(&holder);
                    return true;
                }
                HoldOutcome::Short(closing) => self.closing.extend(closing),
            }
            self.step(Duration::ZERO);
        }
        self.waiting.entry(holder).or_insert(self.now);
        false
    }

    /// Lets `count` callers send all but the last piece of a body at once.
    fn crowd(&mut self, count: usize) -> Vec<HolderId> {
        let callers: Vec<HolderId> = (0..count).map(|_| self.caller()).collect();
        for _ in 1..BODY_BYTES / PIECE_BYTES {
            self.step(Duration::from_millis(1));
            for caller in &callers {
                if !self.closed.contains(caller) {
                    self.receive(*caller, PIECE_BYTES);
                }
            }
        }
        callers
    }
}

/// Guards against a crowd of bodies that takes more memory than the process has.
#[test]
fn crowds_share_the_budget() {
    let mut play = LedgerPlay::new();
    play.crowd(64);
    assert!(play.ledger.used() <= limits().bytes, "{} bytes", play.ledger.used());
}

/// Guards against stalled bodies that keep out one that makes progress, however slowly.
#[test]
fn stalled_bodies_make_room() {
    let mut play = LedgerPlay::new();
    let crowd = play.crowd(64);
    play.step(Duration::from_secs(3));
    let slow = play.caller();
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        play.step(Duration::from_millis(500));
        assert!(play.receive(slow, PIECE_BYTES), "there is room for each piece");
    }
    assert!(!play.closed.contains(&slow));
    assert!(crowd.iter().any(|caller| play.closed.contains(caller)));
}

/// Guards against a body that never gets to its end, since others of its kind wait for its room.
#[test]
fn one_of_many_bodies_ends() {
    let mut play = LedgerPlay::new();
    let callers = play.crowd(64);
    let began = play.now;
    let mut ended = 0;
    while play.now < began + WAIT_TIME / 2 {
        play.step(Duration::from_millis(20));
        let open = callers.iter().filter(|caller| !play.closed.contains(caller));
        for caller in open.copied().collect::<Vec<_>>() {
            if play.grow(caller, HoldPurpose::Request, PIECE_BYTES) {
                play.ledger.set_phase(caller, HoldPhase::Running, play.now);
                play.closing.insert(caller);
                ended += 1;
            }
        }
    }
    assert!(ended >= 4, "{ended} bodies ended");
}

/// Guards against clients that are chosen to make room and never told so, whose memory is not released.
#[test]
fn chosen_clients_are_told() {
    let mut play = LedgerPlay::new();
    let running = play.caller();
    assert!(play.receive(running, BODY_BYTES * 9 / 2));
    play.ledger.set_phase(running, HoldPhase::Running, play.now);
    let slower = play.caller();
    assert!(play.receive(slower, PIECE_BYTES));
    let faster = play.caller();
    assert!(!play.receive(faster, BODY_BYTES));
    assert!(play.receive(slower, PIECE_BYTES), "it may still grow");
    play.step(Duration::from_secs(4));
    let other = play.caller();
    assert!(!play.receive(other, BODY_BYTES));
    assert!(play.closed.contains(&slower), "it has stalled and makes room");
}

/// Guards against a response that is lost, since its caller was chosen to make room just before its request
/// was complete.
#[test]
fn complete_requests_stay() {
    let mut play = LedgerPlay::new();
    let caller = play.caller();
    assert!(play.receive(caller, BODY_BYTES));
    play.step(Duration::from_secs(3));
    let others: Vec<HolderId> = (0..8).map(|_| play.caller()).collect();
    let body = BodyLength { longest: BODY_BYTES, remaining: 0 };
    let chosen = others.iter().any(|other| {
        let outcome = play.ledger.grow(*other, HoldPurpose::Request, BODY_BYTES, body, play.now);
        matches!(outcome, HoldOutcome::Short(closing) if closing.contains(&caller))
    });
    assert!(chosen, "the stalled caller is chosen");
    play.ledger.set_phase(caller, HoldPhase::Running, play.now);
    assert!(play.grow(caller, HoldPurpose::Response, PIECE_BYTES));
}

/// Guards against short requests that are refused because long ones take all memory, also of requests that
/// servers hold.
#[test]
fn connections_have_room_of_their_own() {
    let mut play = LedgerPlay::new();
    let mut held = 0;
    loop {
        let caller = play.caller();
        if !play.receive(caller, BODY_BYTES) {
            break;
        }
        play.ledger.set_phase(caller, HoldPhase::Running, play.now);
        held += 1;
    }
    assert!(held >= 2, "{held} bodies");
    for _ in 0..CALLERS / 2 {
        play.caller();
    }
    assert!(play.closed.is_empty(), "no connection was closed");
}

/// Guards against a response that is lost because bodies of other callers take all memory.
#[test]
fn responses_go_before_bodies() {
    let mut play = LedgerPlay::new();
    let caller = play.caller();
    play.ledger.set_phase(caller, HoldPhase::Running, play.now);
    play.crowd(64);
    for _ in 0..4 {
        assert!(play.grow(caller, HoldPurpose::Response, 2 << 20));
    }
}

/// Guards against uploads of a byte now and then that keep other callers out.
#[test]
fn stalled_requests_yield_connections() {
    let mut play = LedgerPlay::new();
    let idle = play.admit(PortKind::Callers).expect("there is room");
    let slow: Vec<HolderId> = (1..CALLERS).map(|_| play.caller()).collect();
    for _ in 0..4 {
        play.step(Duration::from_millis(450));
        slow.iter().for_each(|caller| play.ledger.record_progress(*caller, 1, play.now));
    }
    for _ in 0..CALLERS / 2 {
        play.caller();
    }
    assert!(!play.closed.contains(&idle), "an idle connection goes after stalled requests");
    assert_eq!(play.closed.len(), CALLERS / 2);
}

/// Guards against requests that are broken off while they run, and against new connections that are closed
/// before their requests can arrive.
#[test]
fn running_and_new_connections_stay() {
    let mut play = LedgerPlay::new();
    let running: Vec<HolderId> = (0..CALLERS / 2).map(|_| play.caller()).collect();
    for caller in &running {
        play.ledger.set_phase(*caller, HoldPhase::Running, play.now);
    }
    play.step(Duration::from_secs(60));
    for _ in CALLERS / 2..CALLERS {
        play.caller();
    }
    assert_eq!(play.admit(PortKind::Callers), None);
    assert!(play.closed.is_empty());
    play.step(Duration::from_secs(2));
    assert!(play.admit(PortKind::Callers).is_some());
    assert!(running.iter().all(|caller| !play.closed.contains(caller)));
}

/// Guards against a crowd that is refused together and returns at one moment.
#[test]
fn refused_clients_return_in_turn() {
    let mut returning: BTreeMap<Duration, usize> = BTreeMap::new();
    for holder in 0..64 {
        *returning.entry(retry_delay(holder)).or_default() += 1;
    }
    assert!(returning.values().all(|count| *count <= 7), "{returning:?}");
}

/// Guards against callers that take the connections of health checks.
#[test]
fn ports_have_connections_of_their_own() {
    let mut play = LedgerPlay::new();
    for _ in 0..CALLERS {
        let caller = play.caller();
        play.ledger.set_phase(caller, HoldPhase::Running, play.now);
    }
    assert!(play.admit(PortKind::Pages).is_some());
    assert!(play.admit(PortKind::Operators).is_some());
}

/// Whatever clients do, the sum is that of what they hold, and within the limit.
fn sum_holds(steps: Vec<(u8, u8, u16)>) -> TestResult {
    let mut play = LedgerPlay::new();
    let mut callers = Vec::new();
    for (action, number, amount) in steps {
        play.step(Duration::from_millis(u64::from(amount % 700)));
        callers.retain(|(caller, _)| !play.closed.contains(caller));
        let count = callers.len().max(1);
        let chosen = callers.get_mut(usize::from(number) % count);
        match (action % 5, chosen) {
            (0, _) => callers.extend(play.admit(PortKind::Callers).map(|caller| (caller, 0))),
            (1 | 2, Some((caller, held))) => {
                let bytes = usize::from(amount) << 6;
                if play.receive(*caller, bytes) {
                    *held += bytes;
                }
            }
            (3, Some((caller, _))) => {
                let phases = [HoldPhase::Idle, HoldPhase::Receiving, HoldPhase::Running];
                let phase = phases[usize::from(amount) % phases.len()];
                play.ledger.set_phase(*caller, phase, play.now);
            }
            (4, Some((caller, held))) => {
                play.ledger.release(*caller, *held);
                *held = 0;
            }
            _ => {}
        }
        if play.ledger.used() > limits().bytes {
            return TestResult::failed();
        }
    }
    play.step(Duration::ZERO);
    callers.retain(|(caller, _)| !play.closed.contains(caller));
    let sum: usize = callers.iter().map(|(_, held)| held + CONNECTION_BYTES).sum();
    TestResult::from_bool(sum == play.ledger.used())
}

#[test]
fn sums_are_exact() {
    quickcheck(sum_holds as fn(Vec<(u8, u8, u16)>) -> TestResult);
}
