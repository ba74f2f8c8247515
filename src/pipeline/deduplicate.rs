//! At-most-once execution of non-repeatable calls: each call is claimed in the ledger before it is
//! sent.
//!
//! The state of a claim is a type parameter: only a [`Claimed`] claim can be released, only a
//! [`Sent`] claim can be finished, and neither can be sent twice. Dropping a claim ends it as well:
//! it is released if nothing was sent, and otherwise recorded with an unknown outcome.

mod active_claims;

pub use self::active_claims::ActiveClaims;

use {
    super::{
        core::PipelineCore, limit::CallerContext, refusal::CallerRefusal, send_state::SendState,
    },
    crate::{
        control::{Command, CommandOutcome, KeptAnswer, ProposeError, ledger::LedgerKey},
        ids::{AttemptId, DigestHex, IdempotencyKey, Incarnation, VmId},
        observe::{
            events,
            metrics::{CLAIMS_RELEASED, refusal},
        },
        policy::DidRun,
    },
    std::{
        marker::PhantomData,
        mem,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime::Handle,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Initial interval at which a retried call queries the ledger; doubled up to
/// [`MAX_POLL_INTERVAL`].
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between two queries, each of which adds an entry to the replicated log.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum interval between two proposals of the outcome of a sent call.
const MAX_SETTLE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of proposals to release an attempt; afterwards the attempt floor covers it.
const MAX_RELEASE_PROPOSALS: u32 = 8;
/// Interval at which a changed attempt floor is reported to the ledger. An abandoned claim delays
/// callers by at most this time, unless an older attempt is still open.
const FLOOR_INTERVAL: Duration = Duration::from_secs(5);
/// How long a reservation with an unknown outcome is retried: after a crash of the leader, a new
/// one is elected within about a second.
const RESERVE_RETRY_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two proposals that announce the incarnation.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// `Retry-After` while no quorum is reachable: an election takes about a second.
const QUORUM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of digits of a call's digest in log records.
const LOGGED_DIGEST_DIGITS: usize = 12;
/// How long a response waits until it is recorded in the ledger; a commit takes a few milliseconds.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a claim whose call has not been sent.
pub struct Claimed;
/// State of a claim whose call may have reached the backend server.
pub struct Sent;

/// The exclusive right to run a non-repeatable call once.
pub struct CallClaim<S> {
    subject: ClaimSubject,
    state: PhantomData<S>,
}

/// Result of claiming a call.
pub enum ClaimResult {
    /// The call may run once under this claim.
    Granted(CallClaim<Claimed>),
    /// The call has already run with this response.
    Answered(KeptAnswer),
}

/// Announces this incarnation of the daemon to the ledger, with retries until the proposal
/// succeeds. The ledger then marks open calls of former incarnations as unknown at once, instead of
/// when this daemon claims its next call.
pub async fn announce_incarnation(core: Arc<PipelineCore>) {
    let (vm, incarnation) = (core.vm.clone(), core.incarnation);
    let command = Command::NoteLife { vm, incarnation, now_ms: now_ms() };
    while core.control.propose(command.clone()).await.is_err() {
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Periodically reports the attempt floor of this incarnation to the ledger.
///
/// A reservation whose proposal was abandoned may still be committed later. The ledger rejects
/// reservations below the floor and releases calls that such a reservation has claimed.
pub async fn report_attempt_floor(core: Arc<PipelineCore>) {
    let mut reported = core.claims.floor();
    loop {
        sleep(FLOOR_INTERVAL).await;
        let floor = core.claims.floor();
        if floor <= reported {
            continue;
        }
        let (vm, incarnation) = (core.vm.clone(), core.incarnation);
        let command = Command::EndAttempts { vm, incarnation, floor, now_ms: now_ms() };
        match core.control.propose(command).await {
            Ok(CommandOutcome::Noted) => reported = floor,
            Ok(outcome) => log::warn!("the ledger rejected the attempt floor: {outcome:?}"),
            Err(error) => log::debug!(error:% = error; "failed to report the attempt floor"),
        }
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Claims the execution of a call, or waits for the response if the call is already claimed.
///
/// # Errors
/// 409 if the key was used for another request, 503 without a quorum, 504 if the other execution
/// does not end before the deadline, 502 if its outcome is lost.
pub async fn claim(
    core: &Arc<PipelineCore>,
    caller: &CallerContext,
    key: IdempotencyKey,
    fingerprint: DigestHex,
    send_state: &SendState,
) -> Result<ClaimResult, CallerRefusal> {
    let key = (caller.organisation.clone(), key);
    let mut interval = MIN_POLL_INTERVAL;
    let mut may_have_run = DidRun::No;
    let mut waiting_for = None;
    while Instant::now() < caller.deadline {
        if let Some(claim) = CallClaim::begin(core, &key) {
            let status = try_claim(claim, &fingerprint).await;
            match status.map_err(|refusal| with_possible_run(refusal, may_have_run))? {
                CallStatus::Settled(result) => return Ok(result),
                CallStatus::Forgotten { below } => {
                    core.claims.raise_next(below);
                    continue;
                }
                CallStatus::Running { holder, incarnation } => {
                    let found = (holder, incarnation);
                    if waiting_for.as_ref() != Some(&found) {
                        log_waiting(&fingerprint, &found);
                        waiting_for = Some(found);
                    }
                }
            }
        }
        // A call with this key runs on this daemon or on another one.
        may_have_run = DidRun::Unknown;
        send_state.mark_uncertain();
        sleep(interval.min(caller.deadline.saturating_duration_since(Instant::now()))).await;
        interval = (interval * 2).min(MAX_POLL_INTERVAL);
    }
    let message = "another call with this key is still running; send it again with the same key";
    let mut refusal = CallerRefusal::before_run(504, refusal::OUTCOME_UNKNOWN, message);
    refusal.did_run = may_have_run;
    Err(refusal)
}

/// Adjusts a refusal if another call with the same key was found running. That may be an earlier
/// attempt of the same caller, so the refusal must not state that the call did not run, although
/// this daemon sent nothing.
fn with_possible_run(refusal: CallerRefusal, may_have_run: DidRun) -> CallerRefusal {
    match may_have_run {
        DidRun::No => refusal,
        DidRun::Unknown | DidRun::Yes => CallerRefusal { did_run: DidRun::Unknown, ..refusal },
    }
}

/// Identifies a call in log records, which must not contain its key.
fn logged_call(fingerprint: &DigestHex) -> &str {
    &fingerprint[..fingerprint.len().min(LOGGED_DIGEST_DIGITS)]
}

/// Logs which daemon holds the claim that a retried call waits for.
fn log_waiting(fingerprint: &DigestHex, (holder, incarnation): &(VmId, Incarnation)) {
    log::info!(call = logged_call(fingerprint), holder = holder.as_str(),
        incarnation = incarnation; "{}", events::CALL_WAITING);
}

/// Status of a call in the ledger.
enum CallStatus {
    Settled(ClaimResult),
    /// Another attempt holds the claim.
    Running {
        holder: VmId,
        incarnation: Incarnation,
    },
    /// The ledger rejects attempts below this number.
    Forgotten {
        below: AttemptId,
    },
}

/// Proposes one reservation and evaluates its outcome.
async fn try_claim(
    mut claim: CallClaim<Claimed>,
    fingerprint: &DigestHex,
) -> Result<CallStatus, CallerRefusal> {
    match reserve(&mut claim, fingerprint).await {
        Ok(CommandOutcome::Reserved) => Ok(CallStatus::Settled(ClaimResult::Granted(claim))),
        Ok(CommandOutcome::Finished { answer }) => {
            Ok(CallStatus::Settled(ClaimResult::Answered(answer)))
        }
        // The holder may be this incarnation of this daemon: the reservation of an earlier attempt
        // was committed after the attempt had been released. That release is proposed as well.
        Ok(CommandOutcome::Running { holder, incarnation }) => {
            Ok(CallStatus::Running { holder, incarnation })
        }
        Ok(CommandOutcome::Forgotten { below }) => Ok(CallStatus::Forgotten { below }),
        Ok(CommandOutcome::KeyReused) => Err(CallerRefusal::before_run(
            409,
            refusal::KEY_REUSED,
            "this Idempotency-Key was used for another request; use a new key",
        )),
        Ok(CommandOutcome::Unknown) => Err(unknown_outcome()),
        Ok(CommandOutcome::LedgerFull) => {
            let message = "the ledger of non-repeatable calls is full; try again later";
            let refusal = CallerRefusal::before_run(503, refusal::LEDGER_FULL, message);
            Err(refusal.retry_after(QUORUM_RETRY_AFTER))
        }
        Ok(outcome) => {
            log::warn!("the ledger rejected a claim: {outcome:?}");
            Err(no_quorum())
        }
        Err(ProposeError::OutcomeUnknown | ProposeError::NoQuorum | ProposeError::Busy) => {
            Err(no_quorum())
        }
    }
}

/// Proposes the reservation, and retries it while its outcome is unknown. Retries carry the same
/// attempt number, so that several commits grant a single execution.
async fn reserve(
    claim: &mut CallClaim<Claimed>,
    fingerprint: &DigestHex,
) -> Result<CommandOutcome, ProposeError> {
    let started = Instant::now();
    let command = claim.reserve(fingerprint);
    let core = Arc::clone(&claim.subject.core);
    claim.subject.stage = ClaimStage::MayBeReserved;
    let mut outcome = core.control.propose(command.clone()).await;
    let is_certain = outcome != Err(ProposeError::OutcomeUnknown);
    while outcome == Err(ProposeError::OutcomeUnknown) && started.elapsed() < RESERVE_RETRY_TIME {
        sleep(MIN_POLL_INTERVAL).await;
        outcome = match core.control.propose(command.clone()).await {
            // An earlier proposal may still be committed, also if this one has failed.
            Err(_) => Err(ProposeError::OutcomeUnknown),
            decided => decided,
        };
    }
    log::debug!(call = logged_call(fingerprint), attempt:% = claim.subject.attempt,
        outcome:? = outcome; "claim proposed");
    if is_certain && outcome != Ok(CommandOutcome::Reserved) {
        claim.subject.stage = ClaimStage::Unreserved;
    }
    outcome
}

fn no_quorum() -> CallerRefusal {
    let message = "non-repeatable calls need a quorum of control replicas; this call did not run, \
                   but an earlier one with the same key may have: retry with the same key";
    CallerRefusal::before_run(503, refusal::NO_QUORUM, message).retry_after(QUORUM_RETRY_AFTER)
}

fn unknown_outcome() -> CallerRefusal {
    let message = "the daemon that ran this call failed before it had the response; \
                   check with the service whether the call ran before you use a new key";
    CallerRefusal::after_send(502, refusal::OUTCOME_UNKNOWN, message)
}

/// What has to be proposed to the ledger when a claim ends.
enum ClaimStage {
    /// Nothing, because no reservation can have been granted.
    Unreserved,
    /// A release, because a reservation was or may still be granted and nothing was sent.
    MayBeReserved,
    /// The outcome of the call.
    Sent,
    /// Nothing more: the outcome has been or is being proposed.
    Closed,
}

/// The call and the attempt of a claim. All states of the claim share it, so that the key stays
/// reserved between them.
struct ClaimSubject {
    core: Arc<PipelineCore>,
    key: LedgerKey,
    attempt: AttemptId,
    stage: ClaimStage,
}

impl Drop for ClaimSubject {
    fn drop(&mut self) {
        match mem::replace(&mut self.stage, ClaimStage::Closed) {
            ClaimStage::Unreserved => self.core.claims.end_attempt(&self.key),
            ClaimStage::MayBeReserved => {
                // The attempt has ended even if its release does not reach the ledger.
                self.core.claims.end_attempt(&self.key);
                self.propose_release();
            }
            // The task continues after its handle is dropped.
            ClaimStage::Sent => drop(self.record_outcome(self.unknown_command())),
            ClaimStage::Closed => {}
        }
    }
}

impl ClaimSubject {
    fn release_command(&self) -> Command {
        Command::Release {
            organisation: self.key.0.clone(),
            key: self.key.1.clone(),
            holder: self.core.vm.clone(),
            incarnation: self.core.incarnation,
            attempt: self.attempt,
        }
    }

    fn unknown_command(&self) -> Command {
        Command::MarkUnknown {
            organisation: self.key.0.clone(),
            key: self.key.1.clone(),
            holder: self.core.vm.clone(),
            incarnation: self.core.incarnation,
            attempt: self.attempt,
        }
    }

    /// Proposes the release of the attempt, so that other callers do not have to wait until the
    /// attempt floor covers it.
    fn propose_release(&self) {
        metrics::counter!(CLAIMS_RELEASED).increment(1);
        let Some(permit) = self.core.claims.begin_release() else { return };
        let (core, attempt) = (Arc::clone(&self.core), self.attempt);
        let command = self.release_command();
        spawn_detached(async move {
            for _ in 0..MAX_RELEASE_PROPOSALS {
                match core.control.propose(command.clone()).await {
                    Ok(_) => {
                        log::debug!(attempt:% = attempt; "claim released");
                        break;
                    }
                    Err(error) => log::debug!(error:% = error; "failed to release a claim"),
                }
                sleep(MAX_POLL_INTERVAL).await;
            }
            drop(permit);
        });
    }

    /// Records the outcome of a sent call in the ledger, in a background task without a limit of
    /// retries: retried calls wait for the outcome, and the attempt stays open until then.
    fn record_outcome(&self, command: Command) -> Option<JoinHandle<()>> {
        let (core, key) = (Arc::clone(&self.core), self.key.clone());
        spawn_detached(async move {
            let mut interval = MIN_POLL_INTERVAL;
            loop {
                match core.control.propose(command.clone()).await {
                    Ok(CommandOutcome::NotHolder) => {
                        log::error!("the ledger has no claim for a call that was sent");
                        break;
                    }
                    Ok(_) => break,
                    Err(error) => {
                        log::debug!(error:% = error; "failed to record the outcome of a call")
                    }
                }
                sleep(interval).await;
                interval = (interval * 2).min(MAX_SETTLE_INTERVAL);
            }
            core.claims.end_attempt(&key);
        })
    }
}

/// Runs the end of a claim in the background. Without a runtime the process is about to exit, and
/// the next incarnation of the daemon informs the ledger.
fn spawn_detached(end: impl Future<Output = ()> + Send + 'static) -> Option<JoinHandle<()>> {
    Handle::try_current().ok().map(|runtime| runtime.spawn(end))
}

impl<S> CallClaim<S> {
    fn into_stage<T>(mut self, stage: ClaimStage) -> CallClaim<T> {
        self.subject.stage = stage;
        CallClaim { subject: self.subject, state: PhantomData }
    }
}

impl CallClaim<Claimed> {
    fn begin(core: &Arc<PipelineCore>, key: &LedgerKey) -> Option<Self> {
        let attempt = core.claims.begin_attempt(key)?;
        let (core, key, stage) = (Arc::clone(core), key.clone(), ClaimStage::Unreserved);
        let subject = ClaimSubject { core, key, attempt, stage };
        Some(CallClaim { subject, state: PhantomData })
    }

    fn reserve(&self, fingerprint: &DigestHex) -> Command {
        Command::Reserve {
            organisation: self.subject.key.0.clone(),
            key: self.subject.key.1.clone(),
            fingerprint: fingerprint.clone(),
            holder: self.subject.core.vm.clone(),
            incarnation: self.subject.core.incarnation,
            attempt: self.subject.attempt,
            now_ms: now_ms(),
        }
    }

    /// Releases the claim, because nothing was sent.
    pub fn release(self) {
        drop(self);
    }

    /// Uses the claim up; the call is sent now.
    pub fn send(self) -> CallClaim<Sent> {
        self.into_stage(ClaimStage::Sent)
    }
}

impl CallClaim<Sent> {
    /// Restores the claim, because sending failed before the first byte was written.
    pub fn restore_unsent(self) -> CallClaim<Claimed> {
        self.into_stage(ClaimStage::MayBeReserved)
    }

    /// Records the response in the ledger for retried calls. Waits briefly for the commit, so that
    /// a retry after the response finds it, and otherwise continues in the background.
    pub async fn finish(mut self, answer: KeptAnswer) {
        self.subject.stage = ClaimStage::Closed;
        let command = Command::Finish {
            organisation: self.subject.key.0.clone(),
            key: self.subject.key.1.clone(),
            holder: self.subject.core.vm.clone(),
            incarnation: self.subject.core.incarnation,
            attempt: self.subject.attempt,
            answer,
        };
        let Some(recorded) = self.subject.record_outcome(command) else { return };
        if timeout(FINISH_TIMEOUT, recorded).await.is_err() {
            log::warn!("response sent to the caller before it was committed to the ledger");
        }
    }

    /// Records the outcome as unknown, because the response was lost.
    pub fn mark_unknown(self) {
        drop(self);
    }
}
