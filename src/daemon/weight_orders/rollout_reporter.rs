//! Reports the progress of the leader's weight orders in the log and the metrics.

use {
    super::order_core::{OrderCore, PendingServers},
    crate::{
        ids::{ModelId, Term, WeightsVersion},
        observe::{events, metrics::WEIGHTS_PENDING},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The interval between two reports; each of them counts all servers.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The state last reported.
#[derive(Debug, Default)]
pub struct RolloutReporter {
    /// The term in which this replica sends orders; `None` while it has no lease.
    term: Option<Term>,
    /// The version of each model last reported as in force; only for models of the plan.
    in_force: BTreeMap<ModelId, WeightsVersion>,
    reported_at: Option<Instant>,
}

impl RolloutReporter {
    /// Reports a changed term and, at intervals, the pending servers. `term` is the one in which
    /// this replica sends orders; `None` without a lease.
    pub fn update(&mut self, now: Instant, term: Option<Term>, core: &OrderCore) {
        let is_due = self.reported_at.is_none_or(|at| now >= at + REPORT_INTERVAL);
        if term == self.term && (term.is_none() || !is_due) {
            return;
        }
        self.reported_at = Some(now);
        let pending = core.pending();
        if term != self.term {
            let count: usize = pending.values().map(|pending| pending.servers).sum();
            if let Some(term) = self.term {
                log::info!(term = term, pending = count; "{}", events::WEIGHT_ORDERS_ENDED);
                for model in pending.keys() {
                    metrics::gauge!(WEIGHTS_PENDING, "model" => model.clone()).set(0.0);
                }
            }
            if let Some(term) = term {
                log::info!(term = term, pending = count; "{}", events::WEIGHT_ORDERS_STARTED);
            }
            self.term = term;
        }
        if term.is_some() {
            self.report_pending(now, pending);
        }
    }

    fn report_pending(&mut self, now: Instant, pending: BTreeMap<ModelId, PendingServers>) {
        self.in_force.retain(|model, _| pending.contains_key(model));
        for (model, PendingServers { weights, since, servers }) in pending {
            metrics::gauge!(WEIGHTS_PENDING, "model" => model.clone()).set(servers as f64);
            if servers > 0 || self.in_force.get(&model) == Some(&weights) {
                continue;
            }
            let took_ms = now.saturating_duration_since(since).as_millis() as u64;
            log::info!(model = model.as_str(), weights = weights.as_str(), took_ms = took_ms;
                "{}", events::WEIGHTS_ACTIVE);
            self.in_force.insert(model, weights);
        }
    }
}
