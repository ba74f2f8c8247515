//! Desired weights with their fencing numbers, and the requests suspected of crashing servers.

use {
    crate::{
        control::command::CommandOutcome,
        ids::{FencingNumber, LogIndex, ModelId, ServerId, WeightsVersion},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Maximum number of models with desired weights, many times the 15 of the design size.
pub const DESIRED_MODELS: usize = 1_024;
/// Maximum number of suspects. The one with the fewest crashes is dropped, the oldest of them
/// first.
pub const SUSPECTS: usize = 1024;

/// Desired version of each model, with the fencing number that orders its changes. All servers of a
/// model share one version, so a change costs one log entry regardless of the number of servers.
pub type DesiredWeights = BTreeMap<ModelId, (WeightsVersion, FencingNumber)>;
/// Crash counts by fingerprint of requests that crash backend servers.
pub type SuspectCrashes = BTreeMap<u64, u32>;

/// Weights that servers should load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightOrders {
    /// At most [`DESIRED_MODELS`]; versions of further models are refused.
    desired: DesiredWeights,
}

/// Desired weights in the format of earlier snapshots, which stored them per server.
#[derive(Debug, Default, Deserialize)]
pub struct LegacyWeightOrders {
    desired: BTreeMap<(ServerId, ModelId), (WeightsVersion, FencingNumber)>,
}

impl From<LegacyWeightOrders> for WeightOrders {
    /// Keeps the version with the highest fencing number, under the number of its first entry.
    fn from(legacy: LegacyWeightOrders) -> Self {
        let mut by_number: Vec<_> = legacy.desired.into_iter().collect();
        by_number.sort_by_key(|(_, (_, number))| *number);
        let mut orders = WeightOrders::default();
        for ((_server, model), (weights, number)) in by_number {
            orders.desire(&model, &weights, number);
        }
        orders
    }
}

impl WeightOrders {
    /// Desired version and fencing number of each model.
    pub fn desired(&self) -> &DesiredWeights {
        &self.desired
    }

    /// Sets the desired version under the fencing number of its log entry. An unchanged version
    /// keeps its number, so that a resend does not make a server reload the weights.
    pub fn desire(
        &mut self,
        model: &ModelId,
        weights: &WeightsVersion,
        number: FencingNumber,
    ) -> CommandOutcome {
        match self.desired.get(model) {
            Some((known, fencing)) if known == weights => {
                return CommandOutcome::Desired { fencing: *fencing };
            }
            None if self.desired.len() >= DESIRED_MODELS => {
                let reason = "too many models have desired weights; list fewer models";
                return CommandOutcome::Refused { reason: reason.to_owned() };
            }
            _ => {}
        }
        self.desired.insert(model.clone(), (weights.clone(), number));
        CommandOutcome::Desired { fencing: number }
    }
}

/// Fingerprints of requests that crash backend servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectTable {
    /// Crash count and log index of the last report, by fingerprint; at most [`SUSPECTS`].
    suspects: BTreeMap<u64, (u32, LogIndex)>,
}

impl SuspectTable {
    /// Crash counts by fingerprint.
    pub fn crashes(&self) -> SuspectCrashes {
        self.suspects.iter().map(|(fingerprint, (crashes, _))| (*fingerprint, *crashes)).collect()
    }

    /// Records a crash count reported at the log entry `index`. A lower count than the recorded one
    /// does not replace it.
    pub fn record_crashes(
        &mut self,
        fingerprint: u64,
        crashes: u32,
        index: LogIndex,
    ) -> CommandOutcome {
        let known = self.suspects.entry(fingerprint).or_default();
        *known = (known.0.max(crashes), index);
        if self.suspects.len() > SUSPECTS {
            let evicted = self.suspects.iter().min_by_key(|(_, rank)| **rank).map(|(key, _)| *key);
            evicted.map(|key| self.suspects.remove(&key));
        }
        CommandOutcome::Noted
    }
}
