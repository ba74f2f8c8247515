//! Processes timers: deadlines, retry delays, probes and periodic placement.

use {
    super::{Dispatcher, lifecycle::RequestPhase},
    crate::{
        ids::{AttemptId, RequestId},
        policy::{DidRun, PolicyAction, RefusalReason},
    },
    std::time::{Duration, Instant},
};

/// Interval at which waiting requests are considered again without an input, since estimates for
/// other daemons' requests expire and the delay of overdue responses grows.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Processes all timers due at `now`, before anything is sent.
    pub(super) fn advance_time(&mut self, now: Instant) {
        while let Some((at, number)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.handle_timer(now, number);
        }
        self.withdraw_late(now);
        if self.recheck_at.is_some_and(|at| at <= now) {
            self.recheck_at = None;
            for pool in &mut self.table.pools {
                pool.dirty = true;
            }
        }
        self.send_probes(now);
    }

    /// Handles an expired deadline or retry delay of a request.
    fn handle_timer(&mut self, now: Instant, number: u64) {
        let Some(entry) = self.requests.get(&number) else { return };
        match &entry.phase {
            RequestPhase::Waiting(request) => {
                if request.ticket.deadline <= now && request.history.relayed == 0 {
                    let retry_after = self.drain_delay(entry.pool, entry.cost);
                    self.refuse_waiting(
                        now,
                        number,
                        RefusalReason::DeadlinePassed,
                        Some(retry_after),
                    );
                } else {
                    self.table.pools[entry.pool].dirty = true;
                }
            }
            RequestPhase::Running(sent) => {
                let attempt = sent.attempt();
                let request = sent.ticket().request.clone();
                self.abort_attempt(attempt, request);
            }
        }
    }

    /// Aborts an attempt without a first token whose deadline has passed, to free its slot for
    /// requests that can still be answered in time.
    fn abort_attempt(&mut self, attempt: AttemptId, request: RequestId) {
        if self.attempts.get(&attempt).is_none_or(|state| state.answered) {
            return;
        }
        if let Some(state) = self.end_attempt(attempt) {
            self.push_cancel(attempt, state.server);
            self.refuse(request, RefusalReason::DeadlinePassed, None, DidRun::Unknown);
        }
    }

    fn send_probes(&mut self, now: Instant) {
        self.ejected.retain(|index| {
            let server = &mut self.table.servers[*index];
            if server.listed && server.failures.probe_due().is_some_and(|at| at <= now) {
                server.failures.record_probe_sent();
                let server = server.id.clone();
                self.actions.push(PolicyAction::Probe { server });
            }
            server.listed && server.failures.is_ejected()
        });
    }

    /// Schedules the next periodic placement while requests wait.
    pub(super) fn schedule_recheck(&mut self, now: Instant) {
        let waiting = self.table.pools.iter().any(|pool| !pool.queue.is_empty());
        self.recheck_at = match (waiting, self.recheck_at) {
            (false, _) => None,
            (true, Some(at)) => Some(at),
            (true, None) => Some(now + RECHECK_INTERVAL),
        };
    }
}
