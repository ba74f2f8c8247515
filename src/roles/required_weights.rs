//! When named versions of weights become required, as seen by one entry.
//!
//! Servers load named weights within seconds. A server that crashes meanwhile restarts with its
//! previous weights and is listed as ready at once; callers would get answers from weights that
//! operators replaced long ago. Therefore, after a delay, no request is sent to a server whose weights
//! are older than the named ones.

use {
    crate::{
        control::document::NamedWeights,
        follow::VersionTimes,
        ids::{ModelId, Term, WeightsNumber},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Delay from the moment a version is named until no request starts on older ones. Operators allow 8 s from
/// their acknowledgement, and requests may wait inside a server.
pub const REQUIRED_AFTER: Duration = Duration::from_millis(6_000);
/// The delay from the moment an entry learns of a new leader. A new leader sends no orders for the
/// first 3 s; the 8 s that operators allow start again 3 s after the previous leader failed, and the
/// new one is elected within 2.2 s of that failure.
pub const REQUIRED_AFTER_ELECTION: Duration = Duration::from_millis(8_000);
/// The maximum number of versions of one model that are not required yet; operators name one every
/// few seconds. Beyond it a new version replaces the latest pending one.
const MAX_PENDING: usize = 64;

/// Tracks when each named version becomes required.
#[derive(Debug, Default)]
pub struct RequiredWeights {
    /// The currently required version of each model.
    required: NamedWeights,
    /// Later versions with the time from which they are required, oldest version first; at most
    /// [`MAX_PENDING`] for each model. The times never decrease.
    pending: BTreeMap<ModelId, Vec<(WeightsNumber, Instant)>>,
    /// The latest known term of a leader; 0 before the first.
    term: Term,
}

impl RequiredWeights {
    /// Adds the named versions and the leader's term, and returns the versions required at `now`. The time of
    /// a version counts from when it was named, also for an entry that has just started.
    ///
    /// A leader that fails may not have sent its orders. If its versions became required at the
    /// original time, the first server to load one would get all requests, and callers would wait or
    /// be refused while most servers are idle. A new term therefore postpones all pending versions.
    pub fn update(
        &mut self,
        now: Instant,
        named: &BTreeMap<ModelId, VersionTimes>,
        term: Term,
    ) -> NamedWeights {
        if term > self.term {
            if self.term > 0 {
                self.postpone(now + REQUIRED_AFTER_ELECTION);
            }
            self.term = term;
        }
        for (model, times) in named {
            for (version, named_at) in times {
                self.add(model, *version, *named_at + REQUIRED_AFTER);
            }
        }
        for (model, pending) in &mut self.pending {
            let count = pending.iter().take_while(|(_, due)| now >= *due).count();
            if let Some((version, _)) = pending.drain(..count).next_back() {
                self.required.insert(model.clone(), version);
            }
        }
        self.required.clone()
    }

    /// Adds a version that is required from `due` on, but not before an earlier one.
    fn add(&mut self, model: &ModelId, version: WeightsNumber, due: Instant) {
        let pending = self.pending.entry(model.clone()).or_default();
        let newest = pending.last().map(|(newest, _)| *newest);
        let known = newest.max(self.required.get(model).copied());
        if known.is_some_and(|known| known >= version) {
            return;
        }
        if pending.len() >= MAX_PENDING {
            pending.pop();
        }
        let before = pending.last().map(|(_, due)| *due);
        pending.push((version, before.map_or(due, |before| before.max(due))));
    }

    fn postpone(&mut self, due: Instant) {
        for (_, later) in self.pending.values_mut().flatten() {
            *later = due.max(*later);
        }
    }

    /// When the required versions change next; `None` if no version is pending.
    pub fn next_change(&self) -> Option<Instant> {
        let first = self.pending.values().filter_map(|pending| pending.first());
        first.map(|(_, due)| *due).min()
    }
}
