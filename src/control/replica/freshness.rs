//! Whether a replica has applied what its leader has committed. A replica that only receives
//! heartbeats may lack entries.

use {
    super::{Replica, RoleState},
    crate::ids::LogIndex,
    std::time::Instant,
};

impl Replica {
    /// Records the target index sent by the leader.
    pub(super) fn record_target(&mut self, now: Instant, target: LogIndex) {
        if self.applied >= target {
            self.fresh_at = Some(now);
        }
    }

    /// Index that followers of this leader must have applied. Before the first entry of its own
    /// term is committed, the leader may lack the commit index that former leaders have reached.
    pub(super) fn follower_target(&self) -> LogIndex {
        self.leader_state()
            .map_or(self.commit, |leader_state| self.commit.max(leader_state.term_start))
    }

    /// Whether everything committed until recently is applied on this replica.
    ///
    /// A follower that has been behind for less than the lease still counts as fresh. The next
    /// message of the leader lets it commit the entries that it holds, and its own followers need
    /// not switch to another replica.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        if let RoleState::Leader(leader_state) = &self.role {
            return self.commit >= leader_state.term_start;
        }
        let lease = self.settings.timing.lease;
        self.leader.is_some() && self.fresh_at.is_some_and(|at| now < at + lease)
    }
}
