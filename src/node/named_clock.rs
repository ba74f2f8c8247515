//! Since when versions of weights are named, as one entry has learned it.
//!
//! Servers load named weights within seconds. One that crashed meanwhile comes back with the weights
//! that it had, and is listed as ready at once; callers would get answers of weights that operators
//! replaced long ago. So after a while nothing begins on older weights than the named ones.

use {
    crate::{
        control::document::NamedWeights,
        ids::{ModelId, WeightsNumber},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// From the moment an entry learns of a version until nothing begins on older ones: what operators
/// allow is 8 s from their acknowledgement, and an entry may learn of it 1.4 s later.
pub const REQUIRED_AFTER: Duration = Duration::from_millis(6_000);
/// Versions of one model that are younger than that; operators name one every few seconds. The
/// newest replaces the last beyond it.
const MAX_YOUNG: usize = 64;

/// When each version was learned of.
#[derive(Debug, Default)]
pub struct NamedClock {
    /// The version required now, by model.
    required: NamedWeights,
    /// Later versions with the moment they were learned of, oldest first; at most [`MAX_YOUNG`]
    /// for each model.
    young: BTreeMap<ModelId, Vec<(WeightsNumber, Instant)>>,
}

impl NamedClock {
    /// Takes in the named versions and says which are required at `now`.
    pub fn note(&mut self, now: Instant, named: &NamedWeights) -> NamedWeights {
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
            young.push((*version, now));
        }
        for (model, young) in &mut self.young {
            let due = |(_, since): &(WeightsNumber, Instant)| now >= *since + REQUIRED_AFTER;
            let count = young.iter().take_while(|entry| due(entry)).count();
            if let Some((version, _)) = young.drain(..count).next_back() {
                self.required.insert(model.clone(), version);
            }
        }
        self.required.clone()
    }

    /// When the required versions change next, if nothing new is named.
    pub fn next_change(&self) -> Option<Instant> {
        let first = self.young.values().filter_map(|young| young.first());
        first.map(|(_, since)| *since + REQUIRED_AFTER).min()
    }
}
