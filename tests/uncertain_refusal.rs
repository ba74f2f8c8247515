//! A caller retries a call through another daemon, which finds the first run in the ledger and
//! waits for it. Then the quorum is lost. The refusal must not state that the call did not run,
//! because the observed run may be the caller's own.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError},
        daemon::ControlPort,
        inventory::RequestClass,
        pipeline::{
            CoreDependencies, DispatcherHandle, DrainGate, PipelineCore, TraceLog,
            deduplicate::claim, limit::CallerContext, send_state::SendState,
        },
        policy::{DidRun, Dispatcher, DispatcherSettings, SafeguardSet},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// A ledger that reports the call as running in its first replies and then loses its quorum.
struct LossyLedger {
    replies: AtomicU32,
}

impl ControlPort for LossyLedger {
    fn propose(&self, _command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        let left = self
            .replies
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        let running = CommandOutcome::Running { holder: "b-1".to_owned(), incarnation: 1 };
        let outcome = left.map(|_| running).map_err(|_| ProposeError::NoQuorum);
        Box::pin(async { outcome })
    }
}

async fn did_run_after(replies: u32) -> DidRun {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "a-1".to_owned(),
        failure_domain: "a".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    let core = PipelineCore::new(CoreDependencies {
        vm: "a-1".to_owned(),
        incarnation: 1,
        dispatcher: DispatcherHandle::new(dispatcher, mpsc::channel(1).0, Arc::clone(&trace)),
        control: Arc::new(LossyLedger { replies: AtomicU32::new(replies) }),
        gate: DrainGate::default(),
        trace,
    });
    let arrived = Instant::now();
    let caller = CallerContext {
        organisation: "firm".to_owned(),
        class: RequestClass::Interactive,
        arrived,
        deadline: arrived + Duration::from_secs(600),
    };
    let send_state = SendState::default();
    let claimed = claim(&core, &caller, "monday".to_owned(), "f1".to_owned(), &send_state).await;
    claimed.err().expect("a refusal without a quorum").did_run
}

#[tokio::test]
async fn observed_run_makes_refusal_uncertain() {
    assert_eq!(did_run_after(0).await, DidRun::No, "no run was observed and nothing was sent");
    assert_eq!(did_run_after(2).await, DidRun::Unknown, "a run with this key was observed");
}
