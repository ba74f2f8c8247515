//! A caller books, loses the answer and sends again through another daemon. That daemon sees the
//! first run in the ledger and waits for it; then the quorum is lost. It must not say that the
//! booking did not run: the run it saw may be the caller's own.

use {
    futures::future::BoxFuture,
    oleandermount::{
        control::{Command, CommandOutcome, ProposeError},
        daemon::ControlPort,
        inventory::RequestClass,
        pipeline::{
            CoreParts, DispatcherHandle, DrainGate, PipelineCore, TraceLog, deduplicate::claim,
            limit::CallerContext, send_state::SendState,
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

/// A ledger that has the call running at its first answers, and then loses its quorum.
struct FadingLedger {
    answers: AtomicU32,
}

impl ControlPort for FadingLedger {
    fn propose(&self, _command: Command) -> BoxFuture<'_, Result<CommandOutcome, ProposeError>> {
        let left = self
            .answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        let running = CommandOutcome::Running { holder: "b-1".to_owned(), incarnation: 1 };
        let outcome = left.map(|_| running).map_err(|_| ProposeError::NoQuorum);
        Box::pin(async { outcome })
    }
}

async fn refused_after(answers: u32) -> DidRun {
    let trace = Arc::new(TraceLog::default());
    let dispatcher = Dispatcher::new(DispatcherSettings {
        daemon: "a-1".to_owned(),
        failure_domain: "a".to_owned(),
        seed: 1,
        disabled: SafeguardSet::default(),
    });
    let core = PipelineCore::new(CoreParts {
        vm: "a-1".to_owned(),
        incarnation: 1,
        dispatcher: DispatcherHandle::new(dispatcher, mpsc::channel(1).0, Arc::clone(&trace)),
        control: Arc::new(FadingLedger { answers: AtomicU32::new(answers) }),
        gate: DrainGate::default(),
        trace,
    });
    let arrived = Instant::now();
    let terms = CallerContext {
        organisation: "firm".to_owned(),
        class: RequestClass::Interactive,
        arrived,
        deadline: arrived + Duration::from_secs(600),
    };
    let fuse = SendState::default();
    let claimed = claim(&core, &terms, "monday".to_owned(), "f1".to_owned(), &fuse).await;
    claimed.err().expect("no quorum is left").did_run
}

#[tokio::test]
async fn seen_run_leaves_doubt_without_a_quorum() {
    assert_eq!(refused_after(0).await, DidRun::No, "nothing was seen and nothing was sent");
    assert_eq!(refused_after(2).await, DidRun::Unknown, "a run under the key was seen");
}
