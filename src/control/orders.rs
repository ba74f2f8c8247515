//! Desired weights with the fencing numbers that order them, and the suspects shared by all.

use {
    crate::{
        control::command::CommandOutcome,
        ids::{FencingNumber, LogIndex, ModelId, ServerId, WeightsVersion},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Models with a desired version: many times the 15 of the design size.
pub const DESIRED_MODELS: usize = 1_024;
/// Suspects kept; the one with the fewest strikes, then the oldest, falls out.
pub const SUSPECTS: usize = 1024;

/// The desired version of each model, with the number that orders its changes. All servers of a model
/// are to have the same one, so a change costs one log entry however many servers there are.
pub type DesiredWeights = BTreeMap<ModelId, (WeightsVersion, FencingNumber)>;
/// Strikes by fingerprint of requests that crash backend servers.
pub type SuspectCrashes = BTreeMap<u64, u32>;

/// The weights that servers should load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightOrders {
    /// At most [`DESIRED_MODELS`]; further ones are refused.
    desired: DesiredWeights,
}

/// The desired weights in the form of earlier snapshots: for each server by itself.
#[derive(Debug, Default, Deserialize)]
pub struct LegacyWeightOrders {
    desired: BTreeMap<(ServerId, ModelId), (WeightsVersion, FencingNumber)>,
}

impl From<LegacyWeightOrders> for WeightOrders {
    /// Keeps the version that was noted last, under the number of its first note.
    fn from(former: LegacyWeightOrders) -> Self {
        let mut noted: Vec<_> = former.desired.into_iter().collect();
        noted.sort_by_key(|(_, (_, number))| *number);
        let mut orders = WeightOrders::default();
        for ((_server, model), (weights, number)) in noted {
            orders.desire(&model, &weights, number);
        }
        orders
    }
}

impl WeightOrders {
    /// The desired weights.
    pub fn desired(&self) -> &DesiredWeights {
        &self.desired
    }

    /// Notes the desired version under the number of its log entry; the same version again keeps
    /// its number, so that a resend does not make a server load twice.
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
    /// Strikes, and when the last was noted; at most [`SUSPECTS`].
    suspects: BTreeMap<u64, (u32, LogIndex)>,
}

impl SuspectTable {
    /// The strikes by fingerprint.
    pub fn crashes(&self) -> SuspectCrashes {
        self.suspects.iter().map(|(fingerprint, (strikes, _))| (*fingerprint, *strikes)).collect()
    }

    /// Notes strikes; a lower count than the known one changes nothing.
    pub fn note(&mut self, fingerprint: u64, strikes: u32, index: LogIndex) -> CommandOutcome {
        let known = self.suspects.entry(fingerprint).or_default();
        *known = (known.0.max(strikes), index);
        if self.suspects.len() > SUSPECTS {
            let weakest = self.suspects.iter().min_by_key(|(_, rank)| **rank).map(|(key, _)| *key);
            weakest.map(|key| self.suspects.remove(&key));
        }
        CommandOutcome::Noted
    }
}
