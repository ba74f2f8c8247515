//! Whether a replica has what its leader has committed: one that only hears the leader may lack it.

use {
    super::{Replica, RoleState},
    crate::ids::LogIndex,
    std::time::Instant,
};

impl Replica {
    /// Takes in what this replica must have applied, as its leader says.
    pub(super) fn note_target(&mut self, now: Instant, target: LogIndex) {
        if self.applied >= target {
            self.fresh_at = Some(now);
        }
    }

    /// What followers of this leader must have applied. Before its own term's first entry is committed
    /// it may not know of all that former leaders have committed.
    pub(super) fn follower_target(&self) -> LogIndex {
        self.lead().map_or(self.commit, |lead| self.commit.max(lead.term_start))
    }

    /// Whether all that was committed until a moment ago is applied here.
    ///
    /// A follower that lacks something for less than the lease still counts: the leader's next message
    /// lets it commit what it holds, and its own followers need not look for another replica.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        if let RoleState::Leader(lead) = &self.role {
            return self.commit >= lead.term_start;
        }
        let lease = self.settings.timing.lease;
        self.leader.is_some() && self.fresh_at.is_some_and(|at| now < at + lease)
    }
}
