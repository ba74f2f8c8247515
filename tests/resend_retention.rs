//! Guards against a second execution of a call whose resend arrives through a daemon that has not
//! claimed a call before. The ledger's clock is the second latest of the proposers' clocks. If the
//! response is recorded as closed at time zero, the first claim of the second daemon advances the
//! clock by decades and ends the retention of the response at once.

use oleandermount::{
    control::{Command, CommandOutcome, KeptAnswer, state::ControlState},
    ids::FencingNumber,
};

const NOW_MS: u64 = 1_796_000_000_000;

fn reserve(holder: &str) -> Command {
    Command::Reserve {
        organisation: "firm".to_owned(),
        key: "monday".to_owned(),
        fingerprint: "f1".to_owned(),
        holder: holder.to_owned(),
        incarnation: 1,
        attempt: 7,
        now_ms: NOW_MS,
    }
}

#[test]
fn resend_through_new_daemon_gets_response() {
    let answer = KeptAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
    };
    let finish = Command::Finish {
        organisation: "firm".to_owned(),
        key: "monday".to_owned(),
        holder: "ub-north-1".to_owned(),
        incarnation: 1,
        attempt: 7,
        answer: answer.clone(),
    };
    let mut state = ControlState::default();
    let outcomes: Vec<CommandOutcome> = [reserve("ub-north-1"), finish, reserve("ub-south-1")]
        .iter()
        .map(|command| state.apply(FencingNumber::default(), command))
        .collect();
    let expected =
        [CommandOutcome::Reserved, CommandOutcome::Noted, CommandOutcome::Finished { answer }];
    assert_eq!(outcomes, expected);
}
