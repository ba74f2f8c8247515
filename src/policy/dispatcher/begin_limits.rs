//! Lets no request begin on weights that were replaced too long ago.
//!
//! Operators limit the time for which requests may begin on older weights than those that they have named
//! last. A request that is sent in time may wait inside its server until after the limit. It is therefore
//! sent to a server with older weights only if it is expected to begin there in time, and withdrawn at the
//! limit if its first token has not come.

use {
    super::{AttemptState, Dispatcher, selection::Candidate, servers::ServerState},
    crate::policy::{PolicyAction, RequestWork},
    std::time::{Duration, Instant},
};

impl Dispatcher {
    /// Returns the time before which a request must begin at a server; `None` if its weights have not been
    /// replaced.
    pub(super) fn begin_limit(&self, server: &ServerState, work: &RequestWork) -> Option<Instant> {
        let RequestWork::Model { model, .. } = work else { return None };
        let limits = self.view.begin_limits.get(model)?;
        limits.get(server.cache.weights(model)?).copied()
    }

    /// Returns whether requests must not begin on a server's weights any more. The server may have loaded newer
    /// ones that are not known here, for which it can be asked.
    pub(super) fn has_expired_weights(
        &self,
        now: Instant,
        server: &ServerState,
        work: &RequestWork,
    ) -> bool {
        self.begin_limit(server, work).is_some_and(|limit| limit <= now)
    }

    /// Returns whether a request is expected to begin at a candidate before the limit of its weights.
    pub(super) fn begins_in_time(
        &self,
        now: Instant,
        work: &RequestWork,
        candidate: &Candidate,
    ) -> bool {
        let server = &self.table.servers[candidate.server];
        let Some(limit) = self.begin_limit(server, work).filter(|limit| *limit > now) else {
            return true;
        };
        let predicted = Duration::try_from_secs_f64(candidate.cost.first_token());
        predicted.is_ok_and(|predicted| predicted < limit - now)
    }

    /// Applies changed limits to the attempts in flight.
    pub(super) fn update_begin_limits(&mut self) {
        let limit_of = |state: &AttemptState| {
            let work = &self.requests.get(&state.number)?.phase.ticket().work;
            let RequestWork::Model { model, .. } = work else { return None };
            let known = self.table.servers[state.server].cache.weights(model);
            let limits = self.view.begin_limits.get(model)?;
            let limit = limits.get(state.weights.as_ref().or(known)?).copied();
            // After the limit a server is asked for newer weights.
            limit.filter(|limit| state.sent < *limit)
        };
        let limits: Vec<_> = self.attempts.values().map(limit_of).collect();
        for (state, limit) in self.attempts.values_mut().zip(limits) {
            state.begin_before = limit;
        }
        self.schedule_withdrawal();
    }

    /// Withdraws the attempts whose first token has not come before the limit.
    pub(super) fn withdraw_late(&mut self, now: Instant) {
        if self.withdraw_at.is_none_or(|at| now < at) {
            return;
        }
        for (attempt, state) in &mut self.attempts {
            if state.withdrawal_due().is_some_and(|due| due <= now) {
                state.withdrawn = true;
                self.actions.push(PolicyAction::Withdraw { attempt: *attempt });
            }
        }
        self.schedule_withdrawal();
    }

    fn schedule_withdrawal(&mut self) {
        self.withdraw_at = self.attempts.values().filter_map(AttemptState::withdrawal_due).min();
    }
}
