//! Abandoned claims must be released, however late and in whatever order the proposals of a daemon
//! reach the ledger. The daemons share a ledger, and proposals to it are delayed or lost.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError, state::ControlState},
        daemon::ControlPort,
        ids::FencingNumber,
        inventory::RequestClass,
        pipeline::{
            CoreDependencies, DispatcherHandle, DrainGate, PipelineCore, TraceLog,
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

/// Long enough for a few proposals to the ledger.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// Far longer than it takes to claim a call that no other daemon has claimed.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// More retries than it takes until the interval between them has reached its maximum.
const LOST_OUTCOMES: u32 = 20;
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The ledger that all daemons share.
#[derive(Default)]
struct SharedLedger {
    state: Mutex<ControlState>,
    /// Delayed proposals, in order.
    delayed: Mutex<Vec<Command>>,
    /// Number of lost proposals of claim outcomes.
    lost: AtomicU32,
}

impl SharedLedger {
    fn apply(&self, command: &Command) -> CommandOutcome {
        self.state.lock().expect("no holder panics").apply(FencingNumber::default(), command)
    }

    /// Applies the delayed proposals.
    fn deliver_delayed(&self) -> Vec<CommandOutcome> {
        let delayed = std::mem::take(&mut *self.delayed.lock().expect("no holder panics"));
        delayed.iter().map(|command| self.apply(command)).collect()
    }
}

/// Faults that affect the proposals of a daemon.
#[derive(Clone, Copy, Default)]
struct LedgerFaults {
    /// Number of reservations that are delayed and return an unknown outcome.
    delayed_reservations: u32,
    /// Number of further reservations that are delayed and get no reply.
    unanswered_reservations: u32,
    /// Number of proposals of claim outcomes that are lost before they reach a replica.
    lost_outcomes: u32,
}

/// A daemon's access to the ledger.
struct FaultyLedger {
    ledger: Arc<SharedLedger>,
    faults: Mutex<LedgerFaults>,
}

impl FaultyLedger {
    fn delay(&self, command: Command) {
        self.ledger.delayed.lock().expect("no holder panics").push(command);
    }
}

impl ControlPort for FaultyLedger {
    fn propose(&self, command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        let mut faults = self.faults.lock().expect("no holder panics");
        let is_outcome = matches!(command, Command::Release { .. } | Command::MarkUnknown { .. });
        let outcome = match command {
            Command::Reserve { .. } if faults.delayed_reservations > 0 => {
                faults.delayed_reservations -= 1;
                self.delay(command);
                Err(ProposeError::OutcomeUnknown)
            }
            Command::Reserve { .. } if faults.unanswered_reservations > 0 => {
                faults.unanswered_reservations -= 1;
                self.delay(command);
                return Box::pin(std::future::pending());
            }
            _ if is_outcome && faults.lost_outcomes > 0 => {
                faults.lost_outcomes -= 1;
                self.ledger.lost.fetch_add(1, Ordering::SeqCst);
                Err(ProposeError::NoQuorum)
            }
            command => Ok(self.ledger.apply(&command)),
        };
        Box::pin(async { outcome })
    }
}

/// Creates a daemon with access to the ledger.
fn daemon(ledger: &Arc<SharedLedger>, vm: &str, faults: LedgerFaults) -> Arc<PipelineCore> {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: vm.to_owned(),
        failure_domain: "a".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    PipelineCore::new(CoreDependencies {
        vm: vm.to_owned(),
        incarnation: 1,
        dispatcher: DispatcherHandle::new(dispatcher, mpsc::channel(1).0, Arc::clone(&trace)),
        control: Arc::new(FaultyLedger { ledger: Arc::clone(ledger), faults: Mutex::new(faults) }),
        gate: DrainGate::default(),
        trace,
    })
}

/// Claims the call; `None` if the deadline passes first.
async fn try_claim(core: &Arc<PipelineCore>, wait: Duration) -> Option<ClaimResult> {
    let arrived = Instant::now();
    let caller = CallerContext {
        organisation: "firm".to_owned(),
        class: RequestClass::Interactive,
        arrived,
        deadline: arrived + wait,
    };
    let send_state = SendState::default();
    claim(core, &caller, "slot".to_owned(), "f1".to_owned(), &send_state).await.ok()
}

async fn expect_claim(core: &Arc<PipelineCore>, wait: Duration) -> CallClaim<Claimed> {
    match try_claim(core, wait).await {
        Some(ClaimResult::Granted(claim)) => claim,
        Some(ClaimResult::Answered(answer)) => panic!("answered: {answer:?}"),
        None => panic!("no daemon runs the call, but it is not granted"),
    }
}

async fn wait_until(holds: impl Fn() -> bool) {
    let mut ticks = interval(POLL_INTERVAL);
    while !holds() {
        ticks.tick().await;
    }
}

// Guards against an abandoned claim by a reservation that is applied after its daemon has dropped
// the attempt.
#[tokio::test]
async fn late_reservation_of_dropped_attempt_is_released() {
    let ledger = Arc::new(SharedLedger::default());
    let [a, c] = ["a-1", "c-1"].map(|vm| daemon(&ledger, vm, LedgerFaults::default()));
    let b =
        daemon(&ledger, "b-1", LedgerFaults { delayed_reservations: 1, ..LedgerFaults::default() });
    let first = expect_claim(&a, SHORT_WAIT).await;
    assert!(try_claim(&b, SHORT_WAIT).await.is_none(), "another daemon holds the call");
    first.release();
    tokio::task::yield_now().await;
    assert_eq!(ledger.deliver_delayed(), [CommandOutcome::Released], "the attempt was dropped");
    expect_claim(&c, LONG_WAIT).await.release();
}

// Guards against an abandoned claim if in addition the release of the attempt never reaches the
// ledger.
#[tokio::test(start_paused = true)]
async fn attempt_floor_releases_late_grant() {
    let ledger = Arc::new(SharedLedger::default());
    let [a, c] = ["a-1", "c-1"].map(|vm| daemon(&ledger, vm, LedgerFaults::default()));
    let lost = LedgerFaults {
        delayed_reservations: 1,
        lost_outcomes: u32::MAX,
        ..LedgerFaults::default()
    };
    let b = daemon(&ledger, "b-1", lost);
    tokio::spawn(report_attempt_floor(Arc::clone(&b)));
    let first = expect_claim(&a, SHORT_WAIT).await;
    assert!(try_claim(&b, SHORT_WAIT).await.is_none(), "another daemon holds the call");
    first.release();
    tokio::task::yield_now().await;
    ledger.deliver_delayed();
    expect_claim(&c, LONG_WAIT).await.release();
}

// Guards against an abandoned claim if a caller's task ends while its reservation is being
// proposed.
#[tokio::test(start_paused = true)]
async fn ended_task_releases_its_reservation() {
    let ledger = Arc::new(SharedLedger::default());
    let a = daemon(
        &ledger,
        "a-1",
        LedgerFaults { unanswered_reservations: 1, ..LedgerFaults::default() },
    );
    let c = daemon(&ledger, "c-1", LedgerFaults::default());
    let ended = timeout(SHORT_WAIT, try_claim(&a, LONG_WAIT)).await;
    assert!(ended.is_err(), "the reservation has no reply");
    ledger.deliver_delayed();
    expect_claim(&c, LONG_WAIT).await.release();
}

// Guards against a second run of a sent call whose task ends before it has recorded the outcome.
#[tokio::test(start_paused = true)]
async fn ended_task_records_sent_call() {
    let ledger = Arc::new(SharedLedger::default());
    let a = daemon(
        &ledger,
        "a-1",
        LedgerFaults { lost_outcomes: LOST_OUTCOMES, ..LedgerFaults::default() },
    );
    let c = daemon(&ledger, "c-1", LedgerFaults::default());
    tokio::spawn(report_attempt_floor(Arc::clone(&a)));
    let floor = a.claims.floor();
    let sent = expect_claim(&a, SHORT_WAIT).await.send();
    drop(sent);
    wait_until(|| {
        assert_eq!(a.claims.floor(), floor, "the outcome of the call is not in the ledger yet");
        ledger.lost.load(Ordering::SeqCst) == LOST_OUTCOMES
    })
    .await;
    wait_until(|| a.claims.floor() > floor).await;
    assert!(try_claim(&c, SHORT_WAIT).await.is_none(), "the call may have run");
}

// Guards against permanently refused calls at a daemon that the ledger has evicted.
#[tokio::test(start_paused = true)]
async fn evicted_daemon_claims_again() {
    let ledger = Arc::new(SharedLedger::default());
    let a =
        daemon(&ledger, "a-1", LedgerFaults { delayed_reservations: 1, ..LedgerFaults::default() });
    expect_claim(&a, LONG_WAIT).await.release();
    tokio::task::yield_now().await;
    for number in 0..2 * 1024 {
        let (vm, now_ms) = (format!("other-{number}"), u64::MAX / 2);
        ledger.apply(&Command::NoteLife { vm, incarnation: 1, now_ms });
    }
    let late = ledger.deliver_delayed();
    assert!(matches!(late[..], [CommandOutcome::Forgotten { .. }]), "{late:?}");
    expect_claim(&a, LONG_WAIT).await.release();
}
