//! State of a leader: replication progress of its followers and the rounds that a quorum has
//! replied to.

use {
    crate::{
        control::{
            command::CommandOutcome,
            entry::{Membership, SavedSnapshot},
            message::RoundNumber,
            replica::{reads::PendingReads, types::ProposalId},
        },
        ids::{Incarnation, LogIndex, VmId},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of rounds whose start is recorded; replies to older rounds are ignored.
const MAX_ROUNDS: usize = 64;

/// Maximum number of doublings of the retransmission delay. A long document may take seconds on a
/// slow link, and each copy delays the others.
const MAX_DOUBLINGS: u32 = 4;

/// State that only a leader has.
#[derive(Clone, Debug)]
pub struct LeaderState {
    /// Time of its election.
    pub since: Instant,
    /// Index of the no-op entry that starts its term.
    pub term_start: LogIndex,
    /// Current round.
    pub round: RoundNumber,
    /// Start times of the most recent rounds; at most `MAX_ROUNDS`.
    pub rounds: BTreeMap<RoundNumber, Instant>,
    /// Time of the next heartbeat.
    pub heartbeat_at: Instant,
    /// Progress of each other member.
    pub followers: BTreeMap<VmId, FollowerProgress>,
    /// Proposals by the index of their entry; bounded by the limit on proposals.
    pub proposals: BTreeMap<LogIndex, ProposalId>,
    /// Outcomes of committed proposals, by the index of their entry, that wait until a quorum knows of
    /// the commit. Together with `proposals` they are bounded by the limit on proposals.
    pub unconfirmed: BTreeMap<LogIndex, (ProposalId, CommandOutcome)>,
    /// Reads that wait for a quorum.
    pub reads: PendingReads,
}

/// Replication progress of a follower.
#[derive(Clone, Debug)]
pub struct FollowerProgress {
    /// Incarnation of the disk named in the membership; replies of other disks are dropped.
    pub incarnation: Incarnation,
    /// Last entry up to which the follower has synced the leader's log.
    pub matched: LogIndex,
    /// Index of the next entry to send; greater than `matched`.
    pub next: LogIndex,
    /// How entries are sent to the follower.
    pub mode: SendMode,
    /// Last indexes of the appends in flight; bounded by the limit on appends.
    pub in_flight: VecDeque<LogIndex>,
    /// Last index of an append in flight that is longer than usual. Later appends wait for it,
    /// because they would overtake it and be rejected.
    pub oversized_append: Option<LogIndex>,
    /// Time at which the first message in flight was sent, or at which the last one was confirmed.
    pub last_progress_at: Instant,
    /// Time at which entries or a snapshot chunk were last sent.
    pub sent_at: Instant,
    /// Number of retransmissions since the last progress.
    pub resends: u32,
    /// Start of the latest round that the follower has replied to; `None` before its first reply.
    pub replied_at: Option<Instant>,
    /// Latest round that the follower has replied to; 0 before its first reply.
    pub replied_round: RoundNumber,
    /// Commit indexes sent in the heartbeats of recent rounds that were not replied to; at most
    /// `MAX_ROUNDS`.
    pub sent_commits: BTreeMap<RoundNumber, LogIndex>,
    /// Commit index that the follower is known to have applied.
    pub confirmed_commit: LogIndex,
    /// Time at which this leader started to track the follower.
    pub since: Instant,
}

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
pub enum SendMode {
    /// One append at a time until one matches the follower's log.
    Probe,
    /// Several appends in flight at a time.
    Stream,
    /// The follower lacks entries that are compacted, so it receives a snapshot.
    Snapshot {
        /// Snapshot that is being sent.
        snapshot: Arc<SavedSnapshot>,
        /// Number of bytes that the follower has confirmed.
        offset: usize,
    },
}

impl FollowerProgress {
    /// Creates the progress of a follower whose log is unknown.
    pub fn new(incarnation: Incarnation, next: LogIndex, now: Instant) -> Self {
        FollowerProgress {
            incarnation,
            matched: 0,
            next,
            mode: SendMode::Probe,
            in_flight: VecDeque::new(),
            oversized_append: None,
            last_progress_at: now,
            sent_at: now,
            resends: 0,
            replied_at: None,
            replied_round: 0,
            sent_commits: BTreeMap::new(),
            confirmed_commit: 0,
            since: now,
        }
    }

    /// Records the commit index of a heartbeat that is sent to the follower.
    pub fn record_sent_commit(&mut self, round: RoundNumber, commit: LogIndex) {
        self.sent_commits.insert(round, commit);
        while self.sent_commits.len() > MAX_ROUNDS {
            self.sent_commits.pop_first();
        }
    }

    /// Records the follower's reply to the heartbeat of a round.
    pub fn confirm_commit(&mut self, round: RoundNumber) {
        let commit = self.sent_commits.remove(&round).unwrap_or_default();
        self.confirmed_commit = self.confirmed_commit.max(commit);
        self.sent_commits = self.sent_commits.split_off(&round);
    }

    /// Whether messages in flight count as lost: the follower has replied to a later round, and
    /// there was no progress for `wait`, doubled with each retransmission.
    ///
    /// Nothing is retransmitted to an unresponsive follower, because the copies would accumulate in
    /// queues.
    pub fn is_stalled(&self, now: Instant, wait: Duration) -> bool {
        let is_waiting =
            !self.in_flight.is_empty() || matches!(self.mode, SendMode::Snapshot { .. });
        let wait = wait * 2_u32.pow(self.resends.min(MAX_DOUBLINGS));
        is_waiting
            && self.replied_at.is_some_and(|at| at > self.sent_at)
            && now >= self.last_progress_at + wait
    }

    /// Resumes sending after the last confirmed entry.
    pub fn rewind(&mut self, now: Instant) {
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            self.mode = SendMode::Probe;
        }
        self.next = self.matched + 1;
        self.in_flight.clear();
        self.oversized_append = None;
        self.last_progress_at = now;
    }

    /// Records that the follower holds the log up to `matched`.
    pub fn advance(&mut self, matched: LogIndex, now: Instant) {
        if let SendMode::Snapshot { snapshot, .. } = &self.mode
            && matched < snapshot.head.index
        {
            return;
        }
        self.mode = SendMode::Stream;
        while self.in_flight.front().is_some_and(|last| *last <= matched) {
            self.in_flight.pop_front();
            self.last_progress_at = now;
        }
        if matched > self.matched {
            self.matched = matched;
            self.last_progress_at = now;
            self.resends = 0;
        }
        self.oversized_append = self.oversized_append.filter(|last| *last > matched);
        self.next = self.next.max(self.matched + 1);
    }
}

impl LeaderState {
    /// Starts a heartbeat round.
    pub fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        self.rounds.insert(self.round, now);
        while self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_first();
        }
    }

    /// Updates the set of followers to the members of a membership.
    pub fn update_followers(
        &mut self,
        membership: &Membership,
        own: &VmId,
        last: LogIndex,
        now: Instant,
    ) {
        self.followers.retain(|vm, progress| membership.is_member(vm, progress.incarnation));
        for (vm, incarnation) in membership.members() {
            if vm != own && !self.followers.contains_key(vm) {
                let progress = FollowerProgress::new(incarnation, last + 1, now);
                self.followers.insert(vm.clone(), progress);
            }
        }
    }

    /// Time at which each follower last replied or was added. A replica that was just added has had
    /// no time to reply and must not be removed as unresponsive before its first reply.
    pub fn last_replies(&self) -> BTreeMap<VmId, Instant> {
        let followers = self.followers.iter();
        followers
            .map(|(vm, progress)| (vm.clone(), progress.replied_at.unwrap_or(progress.since)))
            .collect()
    }

    /// Commit index that a quorum of `membership` has applied; `own` is that of this leader.
    pub fn quorum_commit(&self, membership: &Membership, vm: &VmId, own: LogIndex) -> LogIndex {
        self.quorum_value(membership, vm, own, |progress| progress.confirmed_commit)
    }

    /// Latest round that a quorum of `membership` has replied to, `vm` being this leader.
    pub fn quorum_round(&self, membership: &Membership, vm: &VmId) -> RoundNumber {
        self.quorum_value(membership, vm, self.round, |progress| progress.replied_round)
    }

    /// The highest number that a quorum of `membership` has reached; `own` is that of this leader, and
    /// that of a voter without progress is 0.
    fn quorum_value(
        &self,
        membership: &Membership,
        vm: &VmId,
        own: u64,
        value: impl Fn(&FollowerProgress) -> u64,
    ) -> u64 {
        let mut values: Vec<u64> = membership
            .voters
            .iter()
            .map(|(voter, incarnation)| {
                if voter == vm {
                    return own;
                }
                let progress = self.followers.get(voter);
                progress.filter(|progress| progress.incarnation == *incarnation).map_or(0, &value)
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(membership.quorum() - 1).copied().unwrap_or(0)
    }

    /// Latest time at which a quorum of `membership` is known to have accepted this leader. This is
    /// the start of a round that a quorum replied to, never the arrival of a reply.
    pub fn quorum_contact_at(
        &self,
        membership: &Membership,
        own: &VmId,
        now: Instant,
    ) -> Option<Instant> {
        let mut times: Vec<Instant> = membership
            .voters
            .iter()
            .filter_map(|(vm, incarnation)| {
                if vm == own {
                    return Some(now);
                }
                let progress = self.followers.get(vm)?;
                (progress.incarnation == *incarnation).then_some(progress.replied_at).flatten()
            })
            .collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(membership.quorum() - 1).copied()
    }
}
