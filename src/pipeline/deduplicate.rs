//! Non-repeatable calls run at most once: a claim in the ledger comes before the only sending.
//!
//! The life cycle of a claim is a type: only a [`Claimed`] one can be released, only a [`Sent`]
//! one can be finished, and neither state has a way to send twice. A claim that is dropped in
//! either state ends as well: given back if nothing was sent, else with an unknown outcome.

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
            metrics::{CLAIMS_RETURNED, refusal},
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

/// How long a resend waits before it asks the ledger again; doubled up to the longest.
const FIRST_POLL: Duration = Duration::from_millis(50);
/// A resend that waits longer asks this often; each question is one log entry.
const LONGEST_POLL: Duration = Duration::from_millis(800);
/// Longest pause between two tries to bring the end of a sent call into the ledger.
const LONGEST_SETTLE: Duration = Duration::from_secs(5);
/// Tries to tell the ledger of a given-back attempt; after these the floor covers it.
const RETURN_TRIES: u32 = 8;
/// How often the ledger is told which attempts are over, while there are new ones. A claim that nobody
/// holds keeps callers waiting for this long at most, unless an older attempt is still open.
const FLOOR_PERIOD: Duration = Duration::from_secs(5);
/// How long a reservation of unknown outcome is proposed again: the first may meet a leader that was
/// just killed, and the next one is elected within about a second.
const RESERVE_AGAIN: Duration = Duration::from_millis(1_500);
/// Pause between two tries to tell the ledger of this life.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(2);
/// Advised wait while no quorum is reachable: an election takes about a second.
const QUORUM_WAIT: Duration = Duration::from_secs(2);

/// Digits of a call's digest in the log.
const LOGGED_DIGITS: usize = 12;

/// An answer waits this long for its place in the ledger; a commit takes a few milliseconds.
const FINISH_WAIT: Duration = Duration::from_millis(500);

/// A state of a claim: nothing was sent.
pub struct Claimed;
/// A state of a claim: the call may have reached the backend server.
pub struct Sent;

/// The right to run one call once.
pub struct CallClaim<S> {
    subject: ClaimSubject,
    state: PhantomData<S>,
}

/// What the ledger says to a call.
pub enum ClaimResult {
    /// It may run, once.
    Granted(CallClaim<Claimed>),
    /// It ran; this is its answer.
    Answered(KeptAnswer),
}

/// Tells the ledger that this life of the daemon has begun, until it knows: calls that a former life
/// held are then answered as unknown at once, not only when this daemon next claims one.
pub async fn announce_incarnation(core: Arc<PipelineCore>) {
    let (vm, incarnation) = (core.vm.clone(), core.incarnation);
    let command = Command::NoteLife { vm, incarnation, now_ms: now_ms() };
    while core.control.propose(command.clone()).await.is_err() {
        sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Tells the ledger again and again which attempts of this life are over.
///
/// A reservation whose proposal was given up here may still arrive and claim its call for nobody;
/// the floor refuses it, or frees the call.
pub async fn report_attempt_floor(core: Arc<PipelineCore>) {
    let mut told = core.claims.floor();
    loop {
        sleep(FLOOR_PERIOD).await;
        let floor = core.claims.floor();
        if floor <= told {
            continue;
        }
        let (vm, incarnation) = (core.vm.clone(), core.incarnation);
        let command = Command::EndAttempts { vm, incarnation, floor, now_ms: now_ms() };
        match core.control.propose(command).await {
            Ok(CommandOutcome::Noted) => told = floor,
            Ok(outcome) => log::warn!("the ledger does not take the floor: {outcome:?}"),
            Err(error) => log::debug!(error:% = error; "the floor is not told yet"),
        }
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Claims the only run of a call, or waits for the answer of the run that another has claimed.
///
/// # Errors
/// 409 for a key that was used for another request, 503 without a quorum, 504 if the other run
/// does not end in time, 502 if its outcome will not be known.
pub async fn claim(
    core: &Arc<PipelineCore>,
    caller: &CallerContext,
    key: IdempotencyKey,
    fingerprint: DigestHex,
    fuse: &SendState,
) -> Result<ClaimResult, CallerRefusal> {
    let key = (caller.organisation.clone(), key);
    let mut pause = FIRST_POLL;
    let mut may_have_run = DidRun::No;
    let mut waits_for = None;
    while Instant::now() < caller.deadline {
        if let Some(claim) = CallClaim::enter(core, &key) {
            let standing = ask(claim, &fingerprint).await;
            match standing.map_err(|refusal| doubted(refusal, may_have_run))? {
                CallStanding::Settled(result) => return Ok(result),
                CallStanding::Forgotten { below } => {
                    core.claims.skip_to(below);
                    continue;
                }
                CallStanding::Running { holder, incarnation } => {
                    let found = (holder, incarnation);
                    if waits_for.as_ref() != Some(&found) {
                        log_wait(&fingerprint, &found);
                        waits_for = Some(found);
                    }
                }
            }
        }
        // Another call under this key runs, here or elsewhere.
        may_have_run = DidRun::Unknown;
        fuse.mark_uncertain();
        sleep(pause.min(caller.deadline.saturating_duration_since(Instant::now()))).await;
        pause = (pause * 2).min(LONGEST_POLL);
    }
    let message = "another call under this key still runs; ask again with the same key";
    let mut answer = CallerRefusal::before_run(504, refusal::OUTCOME_UNKNOWN, message);
    answer.did_run = may_have_run;
    Err(answer)
}

/// A refusal after a run under the key was seen: that run may be the caller's own earlier send, so
/// "did not run" could be false although this daemon sent nothing.
fn doubted(refusal: CallerRefusal, may_have_run: DidRun) -> CallerRefusal {
    match may_have_run {
        DidRun::No => refusal,
        DidRun::Unknown | DidRun::Yes => CallerRefusal { did_run: DidRun::Unknown, ..refusal },
    }
}

/// How a call is named in the log, where its key never stands.
fn logged_call(fingerprint: &DigestHex) -> &str {
    &fingerprint[..fingerprint.len().min(LOGGED_DIGITS)]
}

/// Says whose run a resend waits for.
fn log_wait(fingerprint: &DigestHex, (holder, incarnation): &(VmId, Incarnation)) {
    log::info!(call = logged_call(fingerprint), holder = holder.as_str(),
        incarnation = incarnation; "{}", events::CALL_WAITS);
}

/// What the ledger knows of a call.
enum CallStanding {
    Settled(ClaimResult),
    /// Another attempt holds the call.
    Running {
        holder: VmId,
        incarnation: Incarnation,
    },
    /// Attempts below this number can't claim it.
    Forgotten {
        below: AttemptId,
    },
}

/// Asks the ledger once.
async fn ask(
    mut claim: CallClaim<Claimed>,
    fingerprint: &DigestHex,
) -> Result<CallStanding, CallerRefusal> {
    match reserve(&mut claim, fingerprint).await {
        Ok(CommandOutcome::Reserved) => Ok(CallStanding::Settled(ClaimResult::Granted(claim))),
        Ok(CommandOutcome::Finished { answer }) => {
            Ok(CallStanding::Settled(ClaimResult::Answered(answer)))
        }
        // Also when this life of this daemon is the holder: an earlier attempt whose reservation
        // came after it was given back, and which the ledger is told of.
        Ok(CommandOutcome::Running { holder, incarnation }) => {
            Ok(CallStanding::Running { holder, incarnation })
        }
        Ok(CommandOutcome::Forgotten { below }) => Ok(CallStanding::Forgotten { below }),
        Ok(CommandOutcome::KeyReused) => Err(CallerRefusal::before_run(
            409,
            refusal::KEY_REUSED,
            "this Idempotency-Key was used for another request; take a new one",
        )),
        Ok(CommandOutcome::Unknown) => Err(unknown_outcome()),
        Ok(CommandOutcome::LedgerFull) => {
            let message = "the ledger of non-repeatable calls is full; come back later";
            let answer = CallerRefusal::before_run(503, refusal::LEDGER_FULL, message);
            Err(answer.retry_after(QUORUM_WAIT))
        }
        Ok(outcome) => {
            log::warn!("a claim was not taken: {outcome:?}");
            Err(no_quorum())
        }
        Err(ProposeError::OutcomeUnknown | ProposeError::NoQuorum | ProposeError::Busy) => {
            Err(no_quorum())
        }
    }
}

/// Proposes the reservation, and the same one again while its outcome is unknown: it carries one
/// attempt number, so however often it commits, it grants one run.
async fn reserve(
    claim: &mut CallClaim<Claimed>,
    fingerprint: &DigestHex,
) -> Result<CommandOutcome, ProposeError> {
    let started = Instant::now();
    let command = claim.reserve(fingerprint);
    let core = Arc::clone(&claim.subject.core);
    claim.subject.stage = ClaimStage::Asked;
    let mut outcome = core.control.propose(command.clone()).await;
    let is_certain = outcome != Err(ProposeError::OutcomeUnknown);
    while outcome == Err(ProposeError::OutcomeUnknown) && started.elapsed() < RESERVE_AGAIN {
        sleep(FIRST_POLL).await;
        outcome = match core.control.propose(command.clone()).await {
            // The earlier proposal may still commit, whatever became of this one.
            Err(_) => Err(ProposeError::OutcomeUnknown),
            decided => decided,
        };
    }
    log::debug!(call = logged_call(fingerprint), attempt:% = claim.subject.attempt,
        outcome:? = outcome; "a claim was asked for");
    if is_certain && outcome != Ok(CommandOutcome::Reserved) {
        claim.subject.stage = ClaimStage::Unasked;
    }
    outcome
}

fn no_quorum() -> CallerRefusal {
    let message = "non-repeatable calls need a quorum of control replicas; this send did not \
                   run, an earlier one under the key may have: come back with the same key";
    CallerRefusal::before_run(503, refusal::NO_QUORUM, message).retry_after(QUORUM_WAIT)
}

fn unknown_outcome() -> CallerRefusal {
    let message = "the daemon that ran this call was lost before it had the answer; \
                   ask the service whether it ran before you use a new key";
    CallerRefusal::after_send(502, refusal::OUTCOME_UNKNOWN, message)
}

/// What an end of the claim has to tell the ledger.
enum ClaimStage {
    /// Nothing: no reservation can be granted.
    Unasked,
    /// That nothing was sent: a reservation was granted, or may be.
    Asked,
    /// What became of the call.
    Sent,
    /// It is told, or being told.
    Ended,
}

/// What a claim is about; shared by its states, so that the key stays taken between them.
struct ClaimSubject {
    core: Arc<PipelineCore>,
    key: LedgerKey,
    attempt: AttemptId,
    stage: ClaimStage,
}

impl Drop for ClaimSubject {
    fn drop(&mut self) {
        match mem::replace(&mut self.stage, ClaimStage::Ended) {
            ClaimStage::Unasked => self.core.claims.leave(&self.key),
            ClaimStage::Asked => {
                // Nothing will be sent, whatever the ledger hears of it.
                self.core.claims.leave(&self.key);
                self.give_back();
            }
            // The task goes on without its handle.
            ClaimStage::Sent => drop(self.settle(self.unknown())),
            ClaimStage::Ended => {}
        }
    }
}

impl ClaimSubject {
    fn released(&self) -> Command {
        Command::Release {
            organisation: self.key.0.clone(),
            key: self.key.1.clone(),
            holder: self.core.vm.clone(),
            incarnation: self.core.incarnation,
            attempt: self.attempt,
        }
    }

    fn unknown(&self) -> Command {
        Command::MarkUnknown {
            organisation: self.key.0.clone(),
            key: self.key.1.clone(),
            holder: self.core.vm.clone(),
            incarnation: self.core.incarnation,
            attempt: self.attempt,
        }
    }

    /// Tells the ledger that the attempt is over, so that nobody has to wait for the floor.
    fn give_back(&self) {
        metrics::counter!(CLAIMS_RETURNED).increment(1);
        let Some(permit) = self.core.claims.begin_return() else { return };
        let (core, attempt) = (Arc::clone(&self.core), self.attempt);
        let command = self.released();
        spawn_end(async move {
            for _ in 0..RETURN_TRIES {
                match core.control.propose(command.clone()).await {
                    Ok(_) => {
                        log::debug!(attempt:% = attempt; "a claim was given back");
                        break;
                    }
                    Err(error) => log::debug!(error:% = error; "a claim is not given back yet"),
                }
                sleep(LONGEST_POLL).await;
            }
            drop(permit);
        });
    }

    /// Brings the end of a sent call into the ledger, in the background and for as long as it
    /// takes: resends wait for it, and until then the attempt is not over.
    fn settle(&self, command: Command) -> Option<JoinHandle<()>> {
        let (core, key) = (Arc::clone(&self.core), self.key.clone());
        spawn_end(async move {
            let mut pause = FIRST_POLL;
            loop {
                match core.control.propose(command.clone()).await {
                    Ok(CommandOutcome::NotHolder) => {
                        log::error!("the ledger does not know of a call that was sent");
                        break;
                    }
                    Ok(_) => break,
                    Err(error) => log::debug!(error:% = error; "a claim is not settled yet"),
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_SETTLE);
            }
            core.claims.leave(&key);
        })
    }
}

/// Runs the end of a claim in the background; without a runtime the process ends, and the daemon's
/// next life tells the ledger.
fn spawn_end(end: impl Future<Output = ()> + Send + 'static) -> Option<JoinHandle<()>> {
    Handle::try_current().ok().map(|runtime| runtime.spawn(end))
}

impl<S> CallClaim<S> {
    fn turn<T>(mut self, stage: ClaimStage) -> CallClaim<T> {
        self.subject.stage = stage;
        CallClaim { subject: self.subject, state: PhantomData }
    }
}

impl CallClaim<Claimed> {
    fn enter(core: &Arc<PipelineCore>, key: &LedgerKey) -> Option<Self> {
        let attempt = core.claims.enter(key)?;
        let (core, key, stage) = (Arc::clone(core), key.clone(), ClaimStage::Unasked);
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

    /// Gives the claim back: nothing was sent.
    pub fn release(self) {
        drop(self);
    }

    /// The claim is used up: the call goes out now.
    pub fn send(self) -> CallClaim<Sent> {
        self.turn(ClaimStage::Sent)
    }
}

impl CallClaim<Sent> {
    /// The connection was not made or the sending was given up before its first byte.
    pub fn nothing_sent(self) -> CallClaim<Claimed> {
        self.turn(ClaimStage::Asked)
    }

    /// Keeps the answer for resends. Waits a moment for the quorum, so that a resend that follows
    /// the answer finds it, and goes on in the background if that is not enough.
    pub async fn finish(mut self, answer: KeptAnswer) {
        self.subject.stage = ClaimStage::Ended;
        let command = Command::Finish {
            organisation: self.subject.key.0.clone(),
            key: self.subject.key.1.clone(),
            holder: self.subject.core.vm.clone(),
            incarnation: self.subject.core.incarnation,
            attempt: self.subject.attempt,
            answer,
        };
        let Some(settled) = self.subject.settle(command) else { return };
        if timeout(FINISH_WAIT, settled).await.is_err() {
            log::warn!("an answer is given before a quorum keeps it");
        }
    }

    /// The call went out and its outcome will not be known.
    pub fn mark_unknown(self) {
        drop(self);
    }
}
