//! One replica that is led to the brink: what it must not commit, rely on or change.

use {
    oleandermount::{
        control::{
            Command, CommandOutcome, LogEntry, Membership, MessageBody, ReplicaMessage, SavedState,
            entry::{EntryPayload, HardState},
            replica::{
                Replica, ReplicaAction, ReplicaInput, ReplicaLimits, ReplicaRole, ReplicaSettings,
                ReplicaTiming,
            },
        },
        ids::Term,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Replica `a` of `a`, `b` and `c`, with an entry of term 2 that may or may not be committed.
struct ReplicaBench {
    replica: Replica,
    now: Instant,
    members: Membership,
}

impl ReplicaBench {
    /// The replica as leader of term 4, elected by `b`, its own log synced.
    fn leading() -> Self {
        let voters = [("a", 1), ("b", 2), ("c", 3)].map(|(vm, disk)| (vm.to_owned(), disk));
        let members = Membership { voters: voters.into(), learners: BTreeMap::new() };
        let command = Command::NoteSuspect { fingerprint: 1, strikes: 1 };
        let old = LogEntry { term: 2, index: 2, payload: EntryPayload::Command(command) };
        let saved = SavedState {
            hard_state: HardState { term: 3, vote: None, group: Some(members.group()) },
            entries: vec![members.founding_entry(), old],
            commit: 1,
            ..SavedState::empty(1)
        };
        let settings = ReplicaSettings {
            vm: "a".to_owned(),
            founders: members.voters.keys().cloned().collect(),
            seed: 1,
            timing: ReplicaTiming::default(),
            limits: ReplicaLimits::default(),
        };
        let now = Instant::now();
        let replica = Replica::new(settings, saved, now).expect("it has no snapshot");
        let mut bench = ReplicaBench { replica, now, members };
        bench.pass(Duration::from_secs(2));
        bench.receive("b", 3, MessageBody::PreVoteReply { next_term: 4, granted: true });
        bench.input(ReplicaInput::Persisted { number: 1 });
        bench.receive("b", 4, MessageBody::VoteReply { granted: true });
        bench.input(ReplicaInput::Persisted { number: 2 });
        assert_eq!(bench.replica.role(), ReplicaRole::Leader);
        bench
    }

    fn input(&mut self, input: ReplicaInput) -> Vec<ReplicaAction> {
        self.replica.handle(self.now, input)
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.input(ReplicaInput::Tick);
    }

    fn receive(&mut self, from: &str, term: Term, body: MessageBody) {
        let message = ReplicaMessage {
            group: Some(self.members.group()),
            from_incarnation: self.members.voters[from],
            to_incarnation: Some(1),
            term,
            body,
        };
        self.input(ReplicaInput::Received { from: from.to_owned(), message });
    }

    fn commit(&self) -> u64 {
        self.replica.status(self.now).commit
    }

    fn remove(&mut self, vm: &str) -> Option<CommandOutcome> {
        let command = Command::RemoveReplica { vm: vm.to_owned() };
        let actions = self.input(ReplicaInput::Propose { proposal: 1, command });
        actions.into_iter().find_map(|action| match action {
            ReplicaAction::Completed { outcome, .. } => outcome.ok(),
            _ => None,
        })
    }
}

/// What callers see otherwise: an acknowledged booking disappears. Two of three replicas hold an
/// entry of an earlier term, which a third with a later one could still replace if this leader
/// failed. It counts as committed only together with an entry of the leader's own term.
#[test]
fn older_terms_wait() {
    let mut bench = ReplicaBench::leading();
    bench.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 2 });
    assert_eq!(bench.commit(), 1, "the entry of term 2 may still be replaced");
    bench.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert_eq!(bench.commit(), 3);
}

/// What engines see otherwise: orders of two leaders. A reply was on its way for 600 ms; the
/// follower is bound since it heard the round, not since its reply came in. The lease runs from
/// the start of the round.
#[test]
fn late_replies_extend_nothing() {
    let mut bench = ReplicaBench::leading();
    let began = bench.now;
    bench.pass(Duration::from_millis(600));
    bench.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert!(bench.replica.lease_valid(began + Duration::from_millis(749)));
    assert!(!bench.replica.lease_valid(began + Duration::from_millis(750)));
    bench.pass(Duration::from_millis(400));
    assert_eq!(bench.replica.role(), ReplicaRole::Follower, "no quorum for a second");
}

/// What operators see otherwise: two groups that each go on. A leader changes the replicas only
/// after an entry of its own term is committed, and one at a time; else two leaders in a row could
/// write different changes that find quorums with no replica in common.
#[test]
fn changes_go_one_by_one() {
    let mut bench = ReplicaBench::leading();
    bench.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 2 });
    let early = bench.remove("c");
    assert!(matches!(early, Some(CommandOutcome::Refused { .. })), "{early:?}");
    bench.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert_eq!(bench.remove("c"), None, "it waits for its commit");
    let second = bench.remove("b");
    assert!(matches!(second, Some(CommandOutcome::Refused { .. })), "{second:?}");
}
