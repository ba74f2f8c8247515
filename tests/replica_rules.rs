//! Safety rules of a single replica: what it must not commit, rely on or change.

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

/// Replica `a` of a group of `a`, `b` and `c`, with an entry of term 2 that may or may not be
/// committed.
struct ReplicaHarness {
    replica: Replica,
    now: Instant,
    members: Membership,
}

impl ReplicaHarness {
    /// Creates the replica as leader of term 4, elected by `b`, with its own log synced.
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
        let mut harness = ReplicaHarness { replica, now, members };
        harness.advance(Duration::from_secs(2));
        harness.receive("b", 3, MessageBody::PreVoteReply { next_term: 4, granted: true });
        harness.input(ReplicaInput::Persisted { number: 1 });
        harness.receive("b", 4, MessageBody::VoteReply { granted: true });
        harness.input(ReplicaInput::Persisted { number: 2 });
        assert_eq!(harness.replica.role(), ReplicaRole::Leader);
        harness
    }

    fn input(&mut self, input: ReplicaInput) -> Vec<ReplicaAction> {
        self.replica.handle(self.now, input)
    }

    fn advance(&mut self, time: Duration) {
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

/// Guards against the loss of an acknowledged call. Two of three replicas hold an entry of an
/// earlier term, which the third could still replace with one of a later term if this leader
/// failed. The entry is committed only together with an entry of the leader's own term.
#[test]
fn older_terms_are_not_committed() {
    let mut harness = ReplicaHarness::leading();
    harness.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 2 });
    assert_eq!(harness.commit(), 1, "the entry of term 2 may still be replaced");
    harness.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert_eq!(harness.commit(), 3);
}

/// Guards against orders of two leaders at the same time. A reply was delayed by 600 ms. The
/// follower withholds its vote from the time at which it received the round, not from the arrival
/// of its reply, so the lease starts with the round.
#[test]
fn late_replies_do_not_extend_lease() {
    let mut harness = ReplicaHarness::leading();
    let began = harness.now;
    harness.advance(Duration::from_millis(600));
    harness.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert!(harness.replica.lease_valid(began + Duration::from_millis(749)));
    assert!(!harness.replica.lease_valid(began + Duration::from_millis(750)));
    harness.advance(Duration::from_millis(400));
    assert_eq!(harness.replica.role(), ReplicaRole::Follower, "no quorum for a second");
}

/// Guards against two independent groups. A leader changes the membership only after an entry of
/// its own term is committed, and one change at a time. Otherwise two successive leaders could
/// write different changes whose quorums have no replica in common.
#[test]
fn membership_changes_are_sequential() {
    let mut harness = ReplicaHarness::leading();
    harness.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 2 });
    let early = harness.remove("c");
    assert!(matches!(early, Some(CommandOutcome::Refused { .. })), "{early:?}");
    harness.receive("b", 4, MessageBody::AppendReply { round: 1, matched: 3 });
    assert_eq!(harness.remove("c"), None, "it waits for its commit");
    let second = harness.remove("b");
    assert!(matches!(second, Some(CommandOutcome::Refused { .. })), "{second:?}");
}
