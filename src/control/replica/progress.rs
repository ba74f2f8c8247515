//! What a leader knows of its followers, and since when a quorum has been with it.

use {
    crate::{
        control::{
            entry::{Membership, SavedSnapshot},
            message::RoundNumber,
            replica::types::ProposalId,
        },
        ids::{Incarnation, LogIndex, VmId},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Rounds whose start is remembered; a reply to an older one proves nothing any more.
const ROUNDS: usize = 64;

/// Doublings of the wait before the same is sent again: a long document may take seconds on a slow
/// link, and each copy slows down the others.
const MOST_DOUBLINGS: u32 = 4;

/// A leader's own matters.
#[derive(Clone, Debug)]
pub struct LeaderState {
    /// When it was elected.
    pub since: Instant,
    /// The entry that opens its term.
    pub term_start: LogIndex,
    /// The present round.
    pub round: RoundNumber,
    /// When the last rounds began; at most [`ROUNDS`].
    pub rounds: BTreeMap<RoundNumber, Instant>,
    /// The next heartbeat.
    pub heartbeat_at: Instant,
    /// One for each other member.
    pub followers: BTreeMap<VmId, FollowerProgress>,
    /// Proposals by the entry that carries them; bounded by the limit on proposals.
    pub proposals: BTreeMap<LogIndex, ProposalId>,
}

/// How far a follower is.
#[derive(Clone, Debug)]
pub struct FollowerProgress {
    /// The disk that the membership names; replies of another are dropped.
    pub incarnation: Incarnation,
    /// It holds the leader's log up to here, synced.
    pub matched: LogIndex,
    /// The next entry to send; above `matched`.
    pub next: LogIndex,
    /// How entries are sent.
    pub mode: SendMode,
    /// The last entries of the appends on their way; bounded by the limit on appends.
    pub in_flight: VecDeque<LogIndex>,
    /// The last entry of an append on its way that is longer than appends usually are. Whatever
    /// follows waits for it, since it would overtake it and be rejected.
    pub oversized_append: Option<LogIndex>,
    /// When something was first sent without anything on its way, or last got through.
    pub last_progress_at: Instant,
    /// When entries or a piece of a snapshot were last sent.
    pub sent_at: Instant,
    /// Times that the same was sent again, without anything getting through.
    pub resends: u32,
    /// The start of the latest round that it has replied to.
    pub replied_at: Option<Instant>,
    /// Since when this leader follows it up.
    pub since: Instant,
}

/// How entries are sent to a follower.
#[derive(Clone, Debug)]
pub enum SendMode {
    /// One append at a time until one matches.
    Probe,
    /// Several appends at a time.
    Stream,
    /// The follower lacks entries that are gone; it gets a snapshot.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<SavedSnapshot>,
        /// Bytes that the follower has.
        offset: usize,
    },
}

impl FollowerProgress {
    /// A follower of which nothing is known.
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
            since: now,
        }
    }

    /// Whether what is on its way counts as lost: the follower has replied to a later round, and for
    /// `wait`, doubled with each time that the same was sent again, nothing has got through.
    ///
    /// Nothing is sent again to a silent follower, since it would only pile up in queues.
    pub fn is_stalled(&self, now: Instant, wait: Duration) -> bool {
        let waits = !self.in_flight.is_empty() || matches!(self.mode, SendMode::Snapshot { .. });
        let wait = wait * 2_u32.pow(self.resends.min(MOST_DOUBLINGS));
        waits
            && self.replied_at.is_some_and(|at| at > self.sent_at)
            && now >= self.last_progress_at + wait
    }

    /// Starts again after what is known to have arrived.
    pub fn rewind(&mut self, now: Instant) {
        if !matches!(self.mode, SendMode::Snapshot { .. }) {
            self.mode = SendMode::Probe;
        }
        self.next = self.matched + 1;
        self.in_flight.clear();
        self.oversized_append = None;
        self.last_progress_at = now;
    }

    /// Takes in that the follower holds the log up to `matched`.
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
    /// Begins a round.
    pub fn begin_round(&mut self, now: Instant) {
        self.round += 1;
        self.rounds.insert(self.round, now);
        while self.rounds.len() > ROUNDS {
            self.rounds.pop_first();
        }
    }

    /// Makes the followers those of a membership.
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

    /// When each follower last replied, or became one: a replica that was just taken in has had no
    /// time to reply, and would else be taken out as silent before its first reply.
    pub fn last_replies(&self) -> BTreeMap<VmId, Instant> {
        let followers = self.followers.iter();
        followers
            .map(|(vm, progress)| (vm.clone(), progress.replied_at.unwrap_or(progress.since)))
            .collect()
    }

    /// The latest time at which a quorum of `membership` is known to have followed this leader:
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
