//! The idempotency ledger: one claim permits one run, and no time or restart frees it.

use oleandermount::{
    control::{
        Command, CommandOutcome, KeptAnswer,
        ledger::{ANSWER_BYTES, SHARD_ENTRIES},
        state::ControlState,
    },
    ids::{AttemptId, FencingNumber, Incarnation},
};

/// A ledger as the release before floors wrote it: one call running, one finished, one unknown, and
/// one given back.
const FORMER_SNAPSHOT: &[u8] = include_bytes!("snapshots/ledger-3.bin");

const DAY_MS: u64 = 24 * 3_600_000;

/// A daemon's try at the call `key`.
#[derive(Clone)]
struct TryOfCall {
    key: String,
    holder: &'static str,
    incarnation: Incarnation,
    attempt: AttemptId,
}

fn first_try() -> TryOfCall {
    TryOfCall { key: "slot-7".to_owned(), holder: "entry-a", incarnation: 1, attempt: 1 }
}

fn other_try() -> TryOfCall {
    TryOfCall { holder: "entry-b", attempt: 2, ..first_try() }
}

#[derive(Default)]
struct LedgerBench(ControlState);

impl LedgerBench {
    fn apply(&mut self, command: Command) -> CommandOutcome {
        self.0.apply(FencingNumber::default(), &command)
    }

    fn reserve(&mut self, call: &TryOfCall, now_ms: u64) -> CommandOutcome {
        self.reserve_body(call, now_ms, "one body")
    }

    fn reserve_body(&mut self, call: &TryOfCall, now_ms: u64, body: &str) -> CommandOutcome {
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

    fn finish(&mut self, call: &TryOfCall, body: Vec<u8>) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let answer = KeptAnswer { status: 201, content_type: String::new(), body };
        let attempt = call.attempt;
        self.apply(Command::Finish { organisation, key, holder, incarnation, attempt, answer })
    }

    fn release(&mut self, call: &TryOfCall) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let attempt = call.attempt;
        self.apply(Command::Release { organisation, key, holder, incarnation, attempt })
    }

    /// The daemon says that its attempts below `floor` are over.
    fn end_attempts(&mut self, call: &TryOfCall, floor: AttemptId, now_ms: u64) -> CommandOutcome {
        let (vm, incarnation) = (call.holder.to_owned(), call.incarnation);
        self.apply(Command::EndAttempts { vm, incarnation, floor, now_ms })
    }

    fn mark_unknown(&mut self, call: &TryOfCall) -> CommandOutcome {
        let (organisation, key) = ("baskets".to_owned(), call.key.clone());
        let (holder, incarnation) = (call.holder.to_owned(), call.incarnation);
        let attempt = call.attempt;
        self.apply(Command::MarkUnknown { organisation, key, holder, incarnation, attempt })
    }

    /// Two daemons whose clocks agree; one alone does not move the ledger's clock.
    fn pass_time(&mut self, now_ms: u64) {
        for (holder, attempt) in [("clock-a", 901), ("clock-b", 902)] {
            let call = TryOfCall { key: holder.to_owned(), holder, incarnation: 1, attempt };
            self.reserve(&call, now_ms);
        }
    }
}

fn running() -> CommandOutcome {
    CommandOutcome::Running { holder: "entry-a".to_owned(), incarnation: 1 }
}

/// What the caller sees: a booking sent twice runs once, and both get its answer. The claim of the
/// first daemon stands against another daemon, another try of the same daemon and another body;
/// only the identical claim, sent again after a lost reply, is granted again.
#[test]
fn one_claim_one_run() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    assert_eq!(bench.reserve(&first_try(), 2), CommandOutcome::Reserved);
    assert_eq!(bench.reserve(&other_try(), 3), running());
    assert_eq!(bench.reserve(&TryOfCall { attempt: 3, ..first_try() }, 3), running());
    assert_eq!(bench.reserve_body(&other_try(), 3, "another"), CommandOutcome::KeyReused);
    assert_eq!(bench.finish(&other_try(), vec![1]), CommandOutcome::NotHolder);
    assert_eq!(bench.finish(&first_try(), vec![1]), CommandOutcome::Noted);
    let answer = KeptAnswer { status: 201, content_type: String::new(), body: vec![1] };
    assert_eq!(bench.reserve(&other_try(), 4), CommandOutcome::Finished { answer });
    assert_eq!(bench.release(&first_try()), CommandOutcome::NotHolder, "it ran");
}

/// What the caller sees: after a truthful "did not run" the booking can be made, and then only
/// once. Copies of the old commands come late: a `Release` of the first claim must not free the
/// second one, and a `Reserve` of the first must not claim the call for nobody.
#[test]
fn late_copies_do_nothing() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    assert_eq!(bench.release(&first_try()), CommandOutcome::Released);
    assert_eq!(bench.reserve(&first_try(), 2), CommandOutcome::Released);
    let again = TryOfCall { attempt: 5, ..first_try() };
    assert_eq!(bench.reserve(&again, 3), CommandOutcome::Reserved);
    assert_eq!(bench.release(&first_try()), CommandOutcome::NotHolder);
    assert_eq!(bench.mark_unknown(&first_try()), CommandOutcome::NotHolder);
    assert_eq!(bench.reserve(&other_try(), 4), running());
    let overtaken = TryOfCall { key: "slot-8".to_owned(), attempt: 6, ..first_try() };
    assert_eq!(bench.release(&overtaken), CommandOutcome::Released);
    assert_eq!(bench.reserve(&overtaken, 5), CommandOutcome::Released, "it was given up");
}

/// What the caller sees: "may have run", for ever, when the daemon that sent the booking died. It
/// is known to be gone only by a later life of its VM; no time that passes frees the claim, and
/// the dead life can claim nothing more.
#[test]
fn lost_holder_is_unknown() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    bench.pass_time(400 * DAY_MS);
    assert_eq!(bench.reserve(&other_try(), 400 * DAY_MS), running());
    let (vm, now_ms) = ("entry-a".to_owned(), 400 * DAY_MS);
    let life = bench.apply(Command::NoteLife { vm, incarnation: 2, now_ms });
    assert_eq!(life, CommandOutcome::Noted);
    assert_eq!(bench.reserve(&other_try(), 401 * DAY_MS), CommandOutcome::Unknown);
    let ghost = TryOfCall { key: "slot-8".to_owned(), attempt: 10, ..first_try() };
    assert!(matches!(bench.reserve(&ghost, 1), CommandOutcome::Refused { .. }));
    assert_eq!(bench.release(&first_try()), CommandOutcome::NotHolder, "it may have run");
    assert_eq!(bench.finish(&first_try(), vec![2]), CommandOutcome::Noted, "the truth comes late");
    assert!(matches!(bench.reserve(&other_try(), 1), CommandOutcome::Finished { .. }));
}

/// What the caller sees: a resend within the stated retention gets the kept answer, whatever one
/// wrong clock says. A daemon whose clock is a year ahead would otherwise end the retention of
/// all answers at once, and a resend would book a second time.
#[test]
fn retention_needs_two_clocks() {
    let mut bench = LedgerBench::default();
    bench.pass_time(DAY_MS);
    assert_eq!(bench.reserve(&first_try(), DAY_MS), CommandOutcome::Reserved);
    bench.finish(&first_try(), vec![1]);
    let ahead = TryOfCall { key: "slot-8".to_owned(), holder: "entry-c", ..other_try() };
    assert_eq!(bench.reserve(&ahead, u64::MAX), CommandOutcome::Reserved);
    bench.finish(&ahead, vec![2]);
    let resend = TryOfCall { attempt: 7, ..ahead };
    assert!(matches!(bench.reserve(&resend, 1), CommandOutcome::Finished { .. }));
    assert!(matches!(bench.reserve(&other_try(), 2 * DAY_MS), CommandOutcome::Finished { .. }));
    bench.pass_time(7 * DAY_MS);
    assert!(matches!(bench.reserve(&other_try(), 7 * DAY_MS), CommandOutcome::Finished { .. }));
    bench.pass_time(8 * DAY_MS + 1);
    assert_eq!(bench.reserve(&other_try(), 8 * DAY_MS + 1), CommandOutcome::Reserved);
    // Closed under the absurd clock: kept, not wrapped around into the past.
    assert!(matches!(bench.reserve(&resend, 8 * DAY_MS + 1), CommandOutcome::Finished { .. }));
}

/// What the caller sees: a refusal that says "did not run" when the ledger is full, instead of a
/// forgotten claim. Calls that run are never dropped; what a dead daemon held is, once its
/// retention is over.
#[test]
fn full_ledger_refuses() {
    let mut bench = LedgerBench::default();
    let call = |number: u64| TryOfCall {
        key: format!("call-{number}"),
        attempt: AttemptId::from(number),
        ..first_try()
    };
    let most = 2 * 64 * SHARD_ENTRIES as u64;
    let full =
        (0..most).find(|number| bench.reserve(&call(*number), 1) != CommandOutcome::Reserved);
    let full = full.expect("the ledger is bounded");
    assert_eq!(bench.reserve(&call(full), 2), CommandOutcome::LedgerFull);
    assert_eq!(bench.reserve(&call(0), 2), CommandOutcome::Reserved, "the claim stands");
    bench.pass_time(DAY_MS);
    let reborn = TryOfCall { incarnation: 2, ..call(full) };
    assert_eq!(bench.reserve(&reborn, DAY_MS), CommandOutcome::LedgerFull);
    bench.pass_time(9 * DAY_MS);
    assert_eq!(bench.reserve(&reborn, 9 * DAY_MS), CommandOutcome::Reserved);
}

#[test]
fn long_answers_not_cut() {
    let mut bench = LedgerBench::default();
    bench.reserve(&first_try(), 1);
    assert_eq!(bench.finish(&first_try(), vec![0; ANSWER_BYTES + 1]), CommandOutcome::Noted);
    assert_eq!(bench.reserve(&other_try(), 1), CommandOutcome::Unknown);
    let copy = ControlState::decode(&bench.0.encode()).expect("it decodes");
    assert_eq!(copy, bench.0, "a snapshot carries all of it");
}

// Guards against a claim for nobody by a `Reserve` that comes after its own `Release` and another claim.
#[test]
fn late_reserve_claims_nothing() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.release(&first_try()), CommandOutcome::Released);
    assert_eq!(bench.reserve(&other_try(), 1), CommandOutcome::Reserved);
    assert_eq!(bench.release(&other_try()), CommandOutcome::Released);
    assert_eq!(bench.reserve(&first_try(), 2), CommandOutcome::Released);
}

// Guards against the same where the `Release` comes while another daemon holds the call.
#[test]
fn late_reserve_after_a_refused_release() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&other_try(), 1), CommandOutcome::Reserved);
    bench.release(&first_try());
    assert_eq!(bench.release(&other_try()), CommandOutcome::Released);
    assert_eq!(bench.reserve(&first_try(), 2), CommandOutcome::Released);
}

// Guards against callers who wait for a claim of an attempt that its daemon has given up.
#[test]
fn floor_frees_calls() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    assert_eq!(bench.end_attempts(&first_try(), 1, 2), CommandOutcome::Noted);
    assert_eq!(bench.reserve(&other_try(), 3), running(), "attempt 1 itself may not be over");
    assert_eq!(bench.end_attempts(&first_try(), 2, 4), CommandOutcome::Noted);
    assert_eq!(bench.end_attempts(&first_try(), 1, 4), CommandOutcome::Noted, "a late copy");
    assert_eq!(bench.reserve_body(&other_try(), 5, "another"), CommandOutcome::Reserved);
    assert_eq!(bench.reserve(&first_try(), 6), CommandOutcome::Released);
    assert_eq!(bench.release(&other_try()), CommandOutcome::Released);
    assert_eq!(bench.reserve(&first_try(), 7), CommandOutcome::Released);
}

// Guards against a second run of a call that was sent before the floor rose past its attempt.
#[test]
fn floor_frees_no_ended_call() {
    let mut bench = LedgerBench::default();
    let lost = TryOfCall { key: "slot-8".to_owned(), attempt: 2, ..first_try() };
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    assert_eq!(bench.reserve(&lost, 1), CommandOutcome::Reserved);
    bench.finish(&first_try(), vec![1]);
    bench.mark_unknown(&lost);
    bench.end_attempts(&first_try(), 9, 2);
    assert!(matches!(bench.reserve(&other_try(), 3), CommandOutcome::Finished { .. }));
    let resend = TryOfCall { key: lost.key.clone(), attempt: 3, ..other_try() };
    assert_eq!(bench.reserve(&resend, 3), CommandOutcome::Unknown);
}

// Guards against a floor of a former life that ends the attempts of a later one.
#[test]
fn floor_belongs_to_a_life() {
    let mut bench = LedgerBench::default();
    let later = TryOfCall { incarnation: 2, attempt: 3, ..first_try() };
    assert_eq!(bench.reserve(&later, 1), CommandOutcome::Reserved);
    assert!(matches!(bench.end_attempts(&first_try(), 9, 2), CommandOutcome::Refused { .. }));
    let holds = CommandOutcome::Running { holder: "entry-a".to_owned(), incarnation: 2 };
    assert_eq!(bench.reserve(&other_try(), 3), holds);
}

// Guards against a second run of a call that a lost life may have sent, by the floor of the next one.
#[test]
fn floor_frees_no_lost_call() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.reserve(&first_try(), 1), CommandOutcome::Reserved);
    let later = TryOfCall { incarnation: 2, ..first_try() };
    assert_eq!(bench.end_attempts(&later, 9, 2), CommandOutcome::Noted);
    assert_eq!(bench.reserve(&other_try(), 3), CommandOutcome::Unknown);
}

// Guards against a claim for nobody by a late reservation of a daemon that fell out of the ledger.
#[test]
fn forgotten_daemon_claims_anew() {
    let mut bench = LedgerBench::default();
    assert_eq!(bench.release(&first_try()), CommandOutcome::Released);
    for number in 0..2 * 1024 {
        let (vm, now_ms) = (format!("other-{number}"), DAY_MS);
        bench.apply(Command::NoteLife { vm, incarnation: 1, now_ms });
    }
    let outcome = bench.reserve(&first_try(), 1);
    let CommandOutcome::Forgotten { below } = outcome else { panic!("{outcome:?}") };
    let newer = TryOfCall { attempt: below, ..first_try() };
    assert_eq!(bench.reserve(&newer, 2 * DAY_MS), CommandOutcome::Reserved);
}

// Guards against an upgrade that loses claims, answers, or which attempts were given back.
#[test]
fn former_snapshot_read() {
    let mut bench = LedgerBench(ControlState::decode(FORMER_SNAPSHOT).expect("it is read"));
    let now_ms = DAY_MS;
    let resend = |key: &str| TryOfCall { key: key.to_owned(), attempt: 9, ..other_try() };
    let given_back = TryOfCall { attempt: 4, ..resend("released") };
    assert_eq!(bench.reserve(&given_back, now_ms), CommandOutcome::Released);
    assert_eq!(bench.reserve(&resend("released"), now_ms), CommandOutcome::Reserved);
    assert_eq!(bench.reserve(&resend("running"), now_ms), running());
    assert_eq!(bench.reserve(&resend("unknown"), now_ms), CommandOutcome::Unknown);
    let answer = KeptAnswer { status: 201, content_type: String::new(), body: vec![1] };
    assert_eq!(bench.reserve(&resend("finished"), now_ms), CommandOutcome::Finished { answer });
    // A claim for nobody that the former release granted is freed by its daemon's floor.
    bench.end_attempts(&first_try(), 5, now_ms);
    assert_eq!(bench.reserve(&resend("running"), now_ms), CommandOutcome::Reserved);
}
