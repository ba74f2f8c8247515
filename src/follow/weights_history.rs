//! Since when a control VM knows the named versions of weights.

use {
    super::{MAX_VERSIONS, VersionAges, VersionTimes, merge_ages},
    crate::{control::document::NamedWeights, ids::ModelId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long the time of a named version is kept: longer than any version is named and not required.
pub const VERSION_TIME: Duration = Duration::from_secs(30);

/// The times of recent versions, by model; the operators' named weights bound the models.
#[derive(Clone, Debug, Default)]
pub struct WeightsHistory {
    /// At most [`MAX_VERSIONS`] of each model; of those that are known for longer than [`VERSION_TIME`] the
    /// newest one.
    models: BTreeMap<ModelId, VersionTimes>,
}

impl WeightsHistory {
    /// Records the versions that are named at `now`.
    pub fn record(&mut self, now: Instant, named: &NamedWeights) {
        for (model, version) in named {
            let times = self.models.entry(model.clone()).or_default();
            times.entry(*version).or_insert(now);
            let is_old = |at: &Instant| now.duration_since(*at) >= VERSION_TIME;
            while times.len() > MAX_VERSIONS || times.values().nth(1).is_some_and(is_old) {
                times.pop_first();
            }
        }
    }

    /// Merges the ages that another control VM knows at `now`.
    pub fn merge(&mut self, now: Instant, ages: BTreeMap<ModelId, VersionAges>) {
        for (model, ages) in ages {
            // Versions that are not named here yet count from when they are.
            if let Some(times) = self.models.get_mut(&model) {
                let newest = times.last_key_value().map(|(version, _)| *version);
                let named = ages.into_iter().filter(|(version, _)| Some(*version) <= newest);
                merge_ages(times, now, named.collect());
            }
        }
    }

    /// For how long each version is known at `now`, of models with one that was named recently.
    pub fn recent_ages(&self, now: Instant) -> BTreeMap<ModelId, VersionAges> {
        let mut ages = self.ages(now);
        ages.retain(|_, ages| ages.values().any(|age| *age < VERSION_TIME));
        ages
    }

    /// For how long each version is known at `now`.
    pub fn ages(&self, now: Instant) -> BTreeMap<ModelId, VersionAges> {
        let ages = |times: &VersionTimes| {
            times.iter().map(|(version, at)| (*version, now.duration_since(*at))).collect()
        };
        self.models.iter().map(|(model, times)| (model.clone(), ages(times))).collect()
    }
}
