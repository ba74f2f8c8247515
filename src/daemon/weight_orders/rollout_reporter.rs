//! Tells in the log and the measures how far the leader's weight orders are.

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

/// Between two looks at what is still to do, which counts all servers.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// What the log was told last.
#[derive(Debug, Default)]
pub struct RolloutReporter {
    /// The term in which orders are given; `None` while this replica has no lease.
    term: Option<Term>,
    /// The version of each model that was told to be in force; only of models of the plan.
    in_force: BTreeMap<ModelId, WeightsVersion>,
    looked: Option<Instant>,
}

impl RolloutReporter {
    /// Takes in the term in which orders are given, if any, and the core's state.
    pub fn note(&mut self, now: Instant, term: Option<Term>, core: &OrderCore) {
        let is_due = self.looked.is_none_or(|at| now >= at + LOOK_EVERY);
        if term == self.term && (term.is_none() || !is_due) {
            return;
        }
        self.looked = Some(now);
        let pending = core.pending();
        if term != self.term {
            let count: usize = pending.values().map(|pending| pending.servers).sum();
            if let Some(term) = self.term {
                log::info!(term = term, pending = count; "{}", events::ORDERS_END);
                for model in pending.keys() {
                    metrics::gauge!(WEIGHTS_PENDING, "model" => model.clone()).set(0.0);
                }
            }
            if let Some(term) = term {
                log::info!(term = term, pending = count; "{}", events::ORDERS_BEGIN);
            }
            self.term = term;
        }
        if term.is_some() {
            self.note_pending(now, pending);
        }
    }

    fn note_pending(&mut self, now: Instant, pending: BTreeMap<ModelId, PendingServers>) {
        self.in_force.retain(|model, _| pending.contains_key(model));
        for (model, PendingServers { weights, since, servers }) in pending {
            metrics::gauge!(WEIGHTS_PENDING, "model" => model.clone()).set(servers as f64);
            if servers > 0 || self.in_force.get(&model) == Some(&weights) {
                continue;
            }
            let took_ms = now.saturating_duration_since(since).as_millis() as u64;
            log::info!(model = model.as_str(), weights = weights.as_str(), took_ms = took_ms;
                "{}", events::WEIGHTS_IN_FORCE);
            self.in_force.insert(model, weights);
        }
    }
}
