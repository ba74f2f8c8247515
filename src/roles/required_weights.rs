//! Since when versions of weights are named, as one entry has learned it.
//!
//! Servers load named weights within seconds. One that crashed meanwhile comes back with the weights
//! that it had, and is listed as ready at once; callers would get answers of weights that operators
//! replaced long ago. So after a while nothing begins on older weights than the named ones.

use {
    crate::{
        control::document::NamedWeights,
        ids::{ModelId, Term, WeightsNumber},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// From the moment an entry learns of a version until nothing begins on older ones: what operators
/// allow is 8 s from their acknowledgement, and an entry may learn of it 1.4 s later.
pub const REQUIRED_AFTER: Duration = Duration::from_millis(6_000);
/// The same from the moment an entry learns of a new leader. The new one gives no orders for the first
/// three seconds; operators' 8 s count anew from 3 s after its predecessor failed, and it is elected
/// within 2.2 s of that.
pub const REQUIRED_AFTER_ELECTION: Duration = Duration::from_millis(8_000);
/// Versions of one model that are younger than that; operators name one every few seconds. The
/// newest replaces the last beyond it.
const MAX_YOUNG: usize = 64;

/// When each version becomes required.
#[derive(Debug, Default)]
pub struct RequiredWeights {
    /// The version required now, by model.
    required: NamedWeights,
    /// Later versions with the moment from which they are required, oldest first; at most
    /// [`MAX_YOUNG`] for each model. The moments do not fall.
    young: BTreeMap<ModelId, Vec<(WeightsNumber, Instant)>>,
    /// The latest term in which a leader was heard of; 0 before the first.
    term: Term,
}

impl RequiredWeights {
    /// Takes in the named versions and the leader's term, and says which versions are required at
    /// `now`.
    ///
    /// A leader that fails leaves its orders ungiven. If its versions became required all the same,
    /// the first server to load one would get the work of all, and callers would wait or be refused
    /// while most servers are idle: so a new leader is given time of its own.
    pub fn update(&mut self, now: Instant, named: &NamedWeights, term: Term) -> NamedWeights {
        if term > self.term {
            if self.term > 0 {
                self.postpone(now + REQUIRED_AFTER_ELECTION);
            }
            self.term = term;
        }
        for (model, version) in named {
            let young = self.young.entry(model.clone()).or_default();
            let newest = young.last().map(|(newest, _)| *newest);
            let known = newest.max(self.required.get(model).copied());
            if known.is_some_and(|known| known >= *version) {
                continue;
            }
            if young.len() >= MAX_YOUNG {
                young.pop();
            }
            let before = young.last().map(|(_, due)| *due);
            young.push((*version, before.unwrap_or(now).max(now + REQUIRED_AFTER)));
        }
        for (model, young) in &mut self.young {
            let count = young.iter().take_while(|(_, due)| now >= *due).count();
            if let Some((version, _)) = young.drain(..count).next_back() {
                self.required.insert(model.clone(), version);
            }
        }
        self.required.clone()
    }

    fn postpone(&mut self, due: Instant) {
        for (_, later) in self.young.values_mut().flatten() {
            *later = due.max(*later);
        }
    }

    /// When the required versions change next, if nothing new is named.
    pub fn next_change(&self) -> Option<Instant> {
        let first = self.young.values().filter_map(|young| young.first());
        first.map(|(_, due)| *due).min()
    }
}
