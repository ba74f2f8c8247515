//! A claim ends when its daemon gives it up, however late and in whatever order its messages reach
//! the ledger: daemons share a ledger whose network holds proposals back.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError, state::ControlState},
        daemon::ControlPort,
        ids::FencingNumber,
        inventory::RequestClass,
        pipeline::{
            CoreParts, DispatcherHandle, DrainGate, PipelineCore, TraceLog,
            deduplicate::{CallClaim, ClaimResult, Claimed, claim, report_attempt_floor},
            limit::CallerContext,
            send_state::SendState,
        },
        policy::{Dispatcher, DispatcherSettings, SafeguardSet},
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc,
        time::{interval, timeout},
    },
};

/// Long enough for a few questions to the ledger.
const HASTY: Duration = Duration::from_millis(400);
/// Far longer than a claim that nobody else holds takes.
const PATIENT: Duration = Duration::from_secs(20);

/// More than the pauses between two tries take to become the longest.
const LOST_ENDS: u32 = 20;
/// Between two looks at a condition.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// One ledger for all daemons.
#[derive(Default)]
struct SharedLedger {
    state: Mutex<ControlState>,
    /// First proposals that a slow network holds, in order.
    held: Mutex<Vec<Command>>,
    /// Ends of claims that got lost.
    lost: AtomicU32,
}

impl SharedLedger {
    fn apply(&self, command: &Command) -> CommandOutcome {
        self.state.lock().expect("no holder panics").apply(FencingNumber::default(), command)
    }

    /// Lets the held proposals arrive.
    fn deliver_held(&self) -> Vec<CommandOutcome> {
        let held = std::mem::take(&mut *self.held.lock().expect("no holder panics"));
        held.iter().map(|command| self.apply(command)).collect()
    }
}

/// What happens to a daemon's proposals on their way.
#[derive(Clone, Copy, Default)]
struct RouteFaults {
    /// Reservations that are held back, each with an unknown outcome.
    delays: u32,
    /// Reservations after these that are held back without any reply.
    stalls: u32,
    /// Proposals of claims' ends that get lost before they reach a replica.
    lost_ends: u32,
}

/// A daemon's way to the ledger.
struct LedgerRoute {
    ledger: Arc<SharedLedger>,
    faults: Mutex<RouteFaults>,
}

impl LedgerRoute {
    fn hold(&self, command: Command) {
        self.ledger.held.lock().expect("no holder panics").push(command);
    }
}

impl ControlPort for LedgerRoute {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        let mut faults = self.faults.lock().expect("no holder panics");
        let is_end = matches!(command, Command::Release { .. } | Command::MarkUnknown { .. });
        let outcome = match command {
            Command::Reserve { .. } if faults.delays > 0 => {
                faults.delays -= 1;
                self.hold(command);
                Err(ProposeError::OutcomeUnknown)
            }
            Command::Reserve { .. } if faults.stalls > 0 => {
                faults.stalls -= 1;
                self.hold(command);
                return Box::pin(std::future::pending());
            }
            _ if is_end && faults.lost_ends > 0 => {
                faults.lost_ends -= 1;
                self.ledger.lost.fetch_add(1, Ordering::SeqCst);
                Err(ProposeError::NoQuorum)
            }
            command => Ok(self.ledger.apply(&command)),
        };
        Box::pin(async { outcome })
    }
}

/// A daemon that reaches the ledger.
fn daemon(ledger: &Arc<SharedLedger>, vm: &str, faults: RouteFaults) -> Arc<PipelineCore> {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: vm.to_owned(),
        failure_domain: "a".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    PipelineCore::new(CoreParts {
        vm: vm.to_owned(),
        incarnation: 1,
        dispatcher: DispatcherHandle::new(dispatcher, mpsc::channel(1).0, Arc::clone(&trace)),
        control: Arc::new(LedgerRoute { ledger: Arc::clone(ledger), faults: Mutex::new(faults) }),
        gate: DrainGate::default(),
        trace,
    })
}

/// Claims the call; `None` if the deadline passes first.
async fn book(core: &Arc<PipelineCore>, wait: Duration) -> Option<ClaimResult> {
    let arrived = Instant::now();
    let terms = CallerContext {
        organisation: "firm".to_owned(),
        class: RequestClass::Interactive,
        arrived,
        deadline: arrived + wait,
    };
    let fuse = SendState::default();
    claim(core, &terms, "slot".to_owned(), "f1".to_owned(), &fuse).await.ok()
}

async fn granted(core: &Arc<PipelineCore>, wait: Duration) -> CallClaim<Claimed> {
    match book(core, wait).await {
        Some(ClaimResult::Granted(claim)) => claim,
        Some(ClaimResult::Answered(answer)) => panic!("answered: {answer:?}"),
        None => panic!("nobody runs the call, and it is not granted"),
    }
}

async fn until(holds: impl Fn() -> bool) {
    let mut ticks = interval(LOOK_AGAIN);
    while !holds() {
        ticks.tick().await;
    }
}

// Guards against a claim for nobody by a reservation that arrives after its daemon has dropped it.
#[tokio::test]
async fn dropped_attempt_claims_nothing() {
    let ledger = Arc::new(SharedLedger::default());
    let [a, c] = ["a-1", "c-1"].map(|vm| daemon(&ledger, vm, RouteFaults::default()));
    let b = daemon(&ledger, "b-1", RouteFaults { delays: 1, ..RouteFaults::default() });
    let first = granted(&a, HASTY).await;
    assert!(book(&b, HASTY).await.is_none(), "another daemon holds the call");
    first.release();
    tokio::task::yield_now().await;
    assert_eq!(ledger.deliver_held(), [CommandOutcome::Released], "nobody waits for this grant");
    granted(&c, PATIENT).await.release();
}

// Guards against the same where the ledger is never told that the attempt was given back.
#[tokio::test(start_paused = true)]
async fn floor_frees_late_grant() {
    let ledger = Arc::new(SharedLedger::default());
    let [a, c] = ["a-1", "c-1"].map(|vm| daemon(&ledger, vm, RouteFaults::default()));
    let lost = RouteFaults { delays: 1, lost_ends: u32::MAX, ..RouteFaults::default() };
    let b = daemon(&ledger, "b-1", lost);
    tokio::spawn(report_attempt_floor(Arc::clone(&b)));
    let first = granted(&a, HASTY).await;
    assert!(book(&b, HASTY).await.is_none(), "another daemon holds the call");
    first.release();
    tokio::task::yield_now().await;
    ledger.deliver_held();
    granted(&c, PATIENT).await.release();
}

// Guards against a claim for nobody when a caller's task ends while its reservation is under way.
#[tokio::test(start_paused = true)]
async fn ended_task_claims_nothing() {
    let ledger = Arc::new(SharedLedger::default());
    let a = daemon(&ledger, "a-1", RouteFaults { stalls: 1, ..RouteFaults::default() });
    let c = daemon(&ledger, "c-1", RouteFaults::default());
    let ended = timeout(HASTY, book(&a, PATIENT)).await;
    assert!(ended.is_err(), "the reservation has no reply");
    ledger.deliver_held();
    granted(&c, PATIENT).await.release();
}

// Guards against a second run of a sent call whose task ends before it tells what became of it.
#[tokio::test(start_paused = true)]
async fn ended_task_keeps_sent_call() {
    let ledger = Arc::new(SharedLedger::default());
    let a = daemon(&ledger, "a-1", RouteFaults { lost_ends: LOST_ENDS, ..RouteFaults::default() });
    let c = daemon(&ledger, "c-1", RouteFaults::default());
    tokio::spawn(report_attempt_floor(Arc::clone(&a)));
    let floor = a.claims.floor();
    let sent = granted(&a, HASTY).await.send();
    drop(sent);
    until(|| {
        assert_eq!(a.claims.floor(), floor, "the ledger does not know yet what became of the call");
        ledger.lost.load(Ordering::SeqCst) == LOST_ENDS
    })
    .await;
    until(|| a.claims.floor() > floor).await;
    assert!(book(&c, HASTY).await.is_none(), "it may have run");
}

// Guards against bookings refused for good at a daemon that the ledger has forgotten.
#[tokio::test(start_paused = true)]
async fn forgotten_daemon_books_again() {
    let ledger = Arc::new(SharedLedger::default());
    let a = daemon(&ledger, "a-1", RouteFaults { delays: 1, ..RouteFaults::default() });
    granted(&a, PATIENT).await.release();
    tokio::task::yield_now().await;
    for number in 0..2 * 1024 {
        let (vm, now_ms) = (format!("other-{number}"), u64::MAX / 2);
        ledger.apply(&Command::NoteLife { vm, incarnation: 1, now_ms });
    }
    let late = ledger.deliver_held();
    assert!(matches!(late[..], [CommandOutcome::Forgotten { .. }]), "{late:?}");
    granted(&a, PATIENT).await.release();
}
