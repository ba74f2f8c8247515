//! Rules of the idempotency ledger: one claim permits one execution, and neither time nor a restart
//! frees it.

use oleandermount::{
    control::{
        Command, CommandOutcome, KeptAnswer,
        ledger::{ANSWER_BYTES, SHARD_ENTRIES},
        state::ControlState,
    },
    ids::{AttemptId, FencingNumber, Incarnation},
};

/// Snapshot of the release before floors, with one running, one finished, one unknown and one
/// released call.
const LEGACY_SNAPSHOT: &[u8] = include_bytes!("snapshots/ledger-3.bin");

const DAY_MS: u64 = 24 * 3_600_000;

/// Attempt of a daemon at the call `key`.
#[derive(Clone)]
struct CallAttempt {
    key: String,
    holder: &'static str,
    incarnation: Incarnation,
    attempt: AttemptId,
}

fn first_attempt() -> CallAttempt {
    CallAttempt { key: "slot-7".to_owned(), holder: "entry-a", incarnation: 1, attempt: 1 }
}

fn other_attempt() -> CallAttempt {
    CallAttempt { holder: "entry-b", attempt: 2, ..first_attempt() }
}

#[derive(Default)]
struct LedgerHarness(ControlState);

impl LedgerHarness {
    fn apply(&mut self, command: Command) -> CommandOutcome {
        self.0.apply(FencingNumber::default(), &command)
    }

    fn reserve(&mut self, call: &CallAttempt, now_ms: u64) -> CommandOutcome {
        self.reserve_body(call, now_ms, "one body")
    }

    fn reserve_body(&mut self, call: &CallAttempt, now_ms: u64, body: &str) -> CommandOutcome {
        self.apply(Command::Reserve {
            organisation: "baskets".to_owned(),
            key: call.key.clone(),
            fingerprint: body.to_owned(),
            holder: call.holder.to_owned(),
            incarnation: call.incarnation,
            attempt: call.attempt,
            now_ms,
        })
    }

    fn finish(&mut self, call: &CallAttempt, body: Vec<u8>) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let answer = KeptAnswer { status: 201, content_type: String::new(), body };
        let attempt = call.attempt;
        self.apply(Command::Finish { organisation, key, holder, incarnation, attempt, answer })
    }

    fn release(&mut self, call: &CallAttempt) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let attempt = call.attempt;
        self.apply(Command::Release { organisation, key, holder, incarnation, attempt })
    }

    /// Reports that the attempts of the daemon below `floor` have ended.
    fn end_attempts(
        &mut self,
        call: &CallAttempt,
        floor: AttemptId,
        now_ms: u64,
    ) -> CommandOutcome {
        let (vm, incarnation) = (call.holder.to_owned(), call.incarnation);
        self.apply(Command::EndAttempts { vm, incarnation, floor, now_ms })
    }

    fn mark_unknown(&mut self, call: &CallAttempt) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let attempt = call.attempt;
        self.apply(Command::MarkUnknown { organisation, key, holder, incarnation, attempt })
    }

    /// Advances the ledger's clock by two daemons whose clocks agree; one daemon alone does not
    /// advance it.
    fn advance_clock(&mut self, now_ms: u64) {
        for (holder, attempt) in [("clock-a", 901), ("clock-b", 902)] {
            let call = CallAttempt { key: holder.to_owned(), holder, incarnation: 1, attempt };
            self.reserve(&call, now_ms);
        }
    }
}

fn running() -> CommandOutcome {
    CommandOutcome::Running { holder: "entry-a".to_owned(), incarnation: 1 }
}

/// A non-repeatable call that is sent twice is executed once, and both requests receive its
/// response. The claim of the first daemon excludes other daemons, other attempts of the same
/// daemon and other bodies. Only the identical claim, resent after a lost reply, is granted again.
#[test]
fn one_claim_one_run() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    assert_eq!(ledger.reserve(&first_attempt(), 2), CommandOutcome::Reserved);
    assert_eq!(ledger.reserve(&other_attempt(), 3), running());
    assert_eq!(ledger.reserve(&CallAttempt { attempt: 3, ..first_attempt() }, 3), running());
    assert_eq!(ledger.reserve_body(&other_attempt(), 3, "another"), CommandOutcome::KeyReused);
    assert_eq!(ledger.finish(&other_attempt(), vec![1]), CommandOutcome::NotHolder);
    assert_eq!(ledger.finish(&first_attempt(), vec![1]), CommandOutcome::Noted);
    let answer = KeptAnswer { status: 201, content_type: String::new(), body: vec![1] };
    assert_eq!(ledger.reserve(&other_attempt(), 4), CommandOutcome::Finished { answer });
    assert_eq!(
        ledger.release(&first_attempt()),
        CommandOutcome::NotHolder,
        "the call was executed"
    );
}

/// After a "did not run" response the call can be executed, but only once. Copies of the earlier
/// commands arrive late: a `Release` of the first claim must not free the second one, and a
/// `Reserve` of the first must not claim the call again.
#[test]
fn late_copies_have_no_effect() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    assert_eq!(ledger.release(&first_attempt()), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&first_attempt(), 2), CommandOutcome::Released);
    let again = CallAttempt { attempt: 5, ..first_attempt() };
    assert_eq!(ledger.reserve(&again, 3), CommandOutcome::Reserved);
    assert_eq!(ledger.release(&first_attempt()), CommandOutcome::NotHolder);
    assert_eq!(ledger.mark_unknown(&first_attempt()), CommandOutcome::NotHolder);
    assert_eq!(ledger.reserve(&other_attempt(), 4), running());
    let overtaken = CallAttempt { key: "slot-8".to_owned(), attempt: 6, ..first_attempt() };
    assert_eq!(ledger.release(&overtaken), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&overtaken, 5), CommandOutcome::Released, "the attempt was released");
}

/// The outcome of a call stays unknown if the daemon that sent it has stopped. Only a later
/// incarnation of its VM shows this. No elapsed time frees the claim, and the earlier incarnation
/// can claim nothing more.
#[test]
fn lost_holder_is_unknown() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    ledger.advance_clock(400 * DAY_MS);
    assert_eq!(ledger.reserve(&other_attempt(), 400 * DAY_MS), running());
    let (vm, now_ms) = ("entry-a".to_owned(), 400 * DAY_MS);
    let noted = ledger.apply(Command::NoteLife { vm, incarnation: 2, now_ms });
    assert_eq!(noted, CommandOutcome::Noted);
    assert_eq!(ledger.reserve(&other_attempt(), 401 * DAY_MS), CommandOutcome::Unknown);
    let superseded = CallAttempt { key: "slot-8".to_owned(), attempt: 10, ..first_attempt() };
    assert!(matches!(ledger.reserve(&superseded, 1), CommandOutcome::Refused { .. }));
    assert_eq!(
        ledger.release(&first_attempt()),
        CommandOutcome::NotHolder,
        "the call may have been executed"
    );
    assert_eq!(
        ledger.finish(&first_attempt(), vec![2]),
        CommandOutcome::Noted,
        "the response arrives late"
    );
    assert!(matches!(ledger.reserve(&other_attempt(), 1), CommandOutcome::Finished { .. }));
}

/// A resend within the retention receives the stored response, even if one clock is wrong. If a
/// single daemon whose clock is a year ahead could advance the ledger's clock, the retention of all
/// responses would end at once, and a resend would execute the call again.
#[test]
fn retention_needs_two_clocks() {
    let mut ledger = LedgerHarness::default();
    ledger.advance_clock(DAY_MS);
    assert_eq!(ledger.reserve(&first_attempt(), DAY_MS), CommandOutcome::Reserved);
    ledger.finish(&first_attempt(), vec![1]);
    let ahead = CallAttempt { key: "slot-8".to_owned(), holder: "entry-c", ..other_attempt() };
    assert_eq!(ledger.reserve(&ahead, u64::MAX), CommandOutcome::Reserved);
    ledger.finish(&ahead, vec![2]);
    let resend = CallAttempt { attempt: 7, ..ahead };
    assert!(matches!(ledger.reserve(&resend, 1), CommandOutcome::Finished { .. }));
    assert!(matches!(
        ledger.reserve(&other_attempt(), 2 * DAY_MS),
        CommandOutcome::Finished { .. }
    ));
    ledger.advance_clock(7 * DAY_MS);
    assert!(matches!(
        ledger.reserve(&other_attempt(), 7 * DAY_MS),
        CommandOutcome::Finished { .. }
    ));
    ledger.advance_clock(8 * DAY_MS + 1);
    assert_eq!(ledger.reserve(&other_attempt(), 8 * DAY_MS + 1), CommandOutcome::Reserved);
    // The call closed under the wrong clock is still retained; its time has not wrapped around.
    assert!(matches!(ledger.reserve(&resend, 8 * DAY_MS + 1), CommandOutcome::Finished { .. }));
}

/// A full ledger refuses a call with "did not run" instead of dropping a claim. Running calls are
/// never dropped; those of a stopped daemon are dropped once their retention is over.
#[test]
fn full_ledger_refuses() {
    let mut ledger = LedgerHarness::default();
    let call = |number: u64| CallAttempt {
        key: format!("call-{number}"),
        attempt: AttemptId::from(number),
        ..first_attempt()
    };
    let most = 2 * 64 * SHARD_ENTRIES as u64;
    let full =
        (0..most).find(|number| ledger.reserve(&call(*number), 1) != CommandOutcome::Reserved);
    let full = full.expect("the ledger is bounded");
    assert_eq!(ledger.reserve(&call(full), 2), CommandOutcome::LedgerFull);
    assert_eq!(ledger.reserve(&call(0), 2), CommandOutcome::Reserved, "the claim is kept");
    ledger.advance_clock(DAY_MS);
    let restarted = CallAttempt { incarnation: 2, ..call(full) };
    assert_eq!(ledger.reserve(&restarted, DAY_MS), CommandOutcome::LedgerFull);
    ledger.advance_clock(9 * DAY_MS);
    assert_eq!(ledger.reserve(&restarted, 9 * DAY_MS), CommandOutcome::Reserved);
}

#[test]
fn long_responses_are_not_truncated() {
    let mut ledger = LedgerHarness::default();
    ledger.reserve(&first_attempt(), 1);
    assert_eq!(ledger.finish(&first_attempt(), vec![0; ANSWER_BYTES + 1]), CommandOutcome::Noted);
    assert_eq!(ledger.reserve(&other_attempt(), 1), CommandOutcome::Unknown);
    let copy = ControlState::decode(&ledger.0.encode()).expect("it decodes");
    assert_eq!(copy, ledger.0, "a snapshot carries all of it");
}

// Guards against an abandoned claim by a `Reserve` that arrives after its own `Release` and another
// claim.
#[test]
fn late_reserve_claims_nothing() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.release(&first_attempt()), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&other_attempt(), 1), CommandOutcome::Reserved);
    assert_eq!(ledger.release(&other_attempt()), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&first_attempt(), 2), CommandOutcome::Released);
}

// Guards against an abandoned claim by a late `Reserve` whose `Release` arrived while another
// daemon held the call.
#[test]
fn late_reserve_after_refused_release() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&other_attempt(), 1), CommandOutcome::Reserved);
    ledger.release(&first_attempt());
    assert_eq!(ledger.release(&other_attempt()), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&first_attempt(), 2), CommandOutcome::Released);
}

// Guards against callers that wait for the claim of an abandoned attempt.
#[test]
fn floor_frees_calls() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    assert_eq!(ledger.end_attempts(&first_attempt(), 1, 2), CommandOutcome::Noted);
    assert_eq!(
        ledger.reserve(&other_attempt(), 3),
        running(),
        "attempt 1 itself may not have ended"
    );
    assert_eq!(ledger.end_attempts(&first_attempt(), 2, 4), CommandOutcome::Noted);
    assert_eq!(ledger.end_attempts(&first_attempt(), 1, 4), CommandOutcome::Noted, "a late copy");
    assert_eq!(ledger.reserve_body(&other_attempt(), 5, "another"), CommandOutcome::Reserved);
    assert_eq!(ledger.reserve(&first_attempt(), 6), CommandOutcome::Released);
    assert_eq!(ledger.release(&other_attempt()), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&first_attempt(), 7), CommandOutcome::Released);
}

// Guards against a second execution of a call that was sent before the floor passed its attempt.
#[test]
fn floor_keeps_ended_call() {
    let mut ledger = LedgerHarness::default();
    let lost = CallAttempt { key: "slot-8".to_owned(), attempt: 2, ..first_attempt() };
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    assert_eq!(ledger.reserve(&lost, 1), CommandOutcome::Reserved);
    ledger.finish(&first_attempt(), vec![1]);
    ledger.mark_unknown(&lost);
    ledger.end_attempts(&first_attempt(), 9, 2);
    assert!(matches!(ledger.reserve(&other_attempt(), 3), CommandOutcome::Finished { .. }));
    let resend = CallAttempt { key: lost.key.clone(), attempt: 3, ..other_attempt() };
    assert_eq!(ledger.reserve(&resend, 3), CommandOutcome::Unknown);
}

// Guards against a floor of an earlier incarnation that ends attempts of a later one.
#[test]
fn floor_applies_to_one_incarnation() {
    let mut ledger = LedgerHarness::default();
    let later = CallAttempt { incarnation: 2, attempt: 3, ..first_attempt() };
    assert_eq!(ledger.reserve(&later, 1), CommandOutcome::Reserved);
    assert!(matches!(ledger.end_attempts(&first_attempt(), 9, 2), CommandOutcome::Refused { .. }));
    let holds = CommandOutcome::Running { holder: "entry-a".to_owned(), incarnation: 2 };
    assert_eq!(ledger.reserve(&other_attempt(), 3), holds);
}

// Guards against a second execution of a call that an earlier incarnation may have sent, caused by
// the floor of the next one.
#[test]
fn floor_keeps_lost_call() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.reserve(&first_attempt(), 1), CommandOutcome::Reserved);
    let later = CallAttempt { incarnation: 2, ..first_attempt() };
    assert_eq!(ledger.end_attempts(&later, 9, 2), CommandOutcome::Noted);
    assert_eq!(ledger.reserve(&other_attempt(), 3), CommandOutcome::Unknown);
}

// Guards against an abandoned claim by a late reservation of a daemon that was evicted from the
// ledger.
#[test]
fn evicted_daemon_claims_again() {
    let mut ledger = LedgerHarness::default();
    assert_eq!(ledger.release(&first_attempt()), CommandOutcome::Released);
    for number in 0..2 * 1024 {
        let (vm, now_ms) = (format!("other-{number}"), DAY_MS);
        ledger.apply(Command::NoteLife { vm, incarnation: 1, now_ms });
    }
    let outcome = ledger.reserve(&first_attempt(), 1);
    let CommandOutcome::Forgotten { below } = outcome else { panic!("{outcome:?}") };
    let newer = CallAttempt { attempt: below, ..first_attempt() };
    assert_eq!(ledger.reserve(&newer, 2 * DAY_MS), CommandOutcome::Reserved);
}

// Guards against an upgrade that loses claims, responses or released attempts.
#[test]
fn legacy_snapshot_is_read() {
    let mut ledger = LedgerHarness(ControlState::decode(LEGACY_SNAPSHOT).expect("it is read"));
    let now_ms = DAY_MS;
    let resend = |key: &str| CallAttempt { key: key.to_owned(), attempt: 9, ..other_attempt() };
    let released = CallAttempt { attempt: 4, ..resend("released") };
    assert_eq!(ledger.reserve(&released, now_ms), CommandOutcome::Released);
    assert_eq!(ledger.reserve(&resend("released"), now_ms), CommandOutcome::Reserved);
    assert_eq!(ledger.reserve(&resend("running"), now_ms), running());
    assert_eq!(ledger.reserve(&resend("unknown"), now_ms), CommandOutcome::Unknown);
    let answer = KeptAnswer { status: 201, content_type: String::new(), body: vec![1] };
    assert_eq!(ledger.reserve(&resend("finished"), now_ms), CommandOutcome::Finished { answer });
    // An abandoned claim granted by the earlier release is freed by the floor of its daemon.
    ledger.end_attempts(&first_attempt(), 5, now_ms);
    assert_eq!(ledger.reserve(&resend("running"), now_ms), CommandOutcome::Reserved);
}
