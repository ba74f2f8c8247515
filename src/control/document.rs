//! Documents that operators number themselves, and the versions of weights that they name.
//!
//! Beside the compare-and-set of [`super::configuration`]: where operators choose the numbers, the
//! highest accepted number wins, and what arrives late or twice is acknowledged and changes
//! nothing. So a resend after a lost answer never conflicts with itself.

use {
    crate::{
        control::command::CommandOutcome,
        ids::{DocumentNumber, ModelId, WeightsNumber},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The longest document: twice the several megabytes of the design size, and it still fits into
/// one message between daemons.
pub const DOCUMENT_BYTES: usize = 6 << 20;
/// Models with named weights: many times the 15 of the design size.
const NAMED_MODELS: usize = 1_024;

/// The versions that operators named last, by model.
pub type NamedWeights = BTreeMap<ModelId, WeightsNumber>;

/// An operator's document under its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedDocument {
    /// The number; 0 means that no document was ever accepted.
    pub number: DocumentNumber,
    /// The document exactly as the operator wrote it; shared, since every follower is handed it.
    pub body: Arc<str>,
}

/// The document in force and the named weights. Numbers only grow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    document: NumberedDocument,
    /// At most [`NAMED_MODELS`]; further ones are refused.
    weights: NamedWeights,
}

impl DocumentState {
    /// The document in force.
    pub fn document(&self) -> &NumberedDocument {
        &self.document
    }

    /// The named weights.
    pub fn weights(&self) -> &NamedWeights {
        &self.weights
    }

    /// Puts a document in force if its number is the highest so far.
    pub fn put(&mut self, number: DocumentNumber, body: &str) -> CommandOutcome {
        if body.len() > DOCUMENT_BYTES {
            let reason = "the document is over 6 MiB; split what it configures";
            return CommandOutcome::Refused { reason: reason.to_owned() };
        }
        if number > self.document.number {
            self.document = NumberedDocument { number, body: body.into() };
        }
        CommandOutcome::DocumentHeld { number: self.document.number }
    }

    /// Names a version if it is newer than the one named before.
    pub fn name_weights(&mut self, model: &ModelId, version: WeightsNumber) -> CommandOutcome {
        if !self.weights.contains_key(model) && self.weights.len() >= NAMED_MODELS {
            let reason = "weights of too many models are named; 1,024 is the most";
            return CommandOutcome::Refused { reason: reason.to_owned() };
        }
        let named = self.weights.entry(model.clone()).or_default();
        *named = version.max(*named);
        CommandOutcome::Noted
    }
}
