//! Documents numbered by operators, and the weights versions that operators name.
//!
//! This is an alternative to the compare-and-set of [`super::configuration`]. Operators choose the
//! numbers and the highest accepted number wins. A late or repeated submission is acknowledged and
//! changes nothing, so a resend after a lost response never conflicts with the original.

use {
    crate::{
        control::{
            command::CommandOutcome,
            packed_document::{DOCUMENT_BYTES, PackedDocument},
        },
        ids::{DocumentNumber, ModelId, WeightsNumber},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of models with named weights, many times the 15 of the design size.
const NAMED_MODELS: usize = 1_024;

/// Weights versions that operators named last, by model.
pub type NamedWeights = BTreeMap<ModelId, WeightsNumber>;

/// Document submitted by an operator under a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedDocument {
    /// Number chosen by the operator; 0 if no document was ever accepted.
    pub number: DocumentNumber,
    /// Document exactly as submitted. It is shared, because every follower receives it.
    pub body: Arc<str>,
}

impl NumberedDocument {
    /// Digest of the body for logs; see [`body_digest`].
    pub fn digest(&self) -> String {
        body_digest(&self.body)
    }
}

/// Digest of a document's body, which tells documents of the same number apart in logs.
pub fn body_digest(body: &str) -> String {
    format!("{:016x}", xxh3_64(body.as_bytes()))
}

/// Current document and named weights. All numbers only grow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    document: NumberedDocument,
    /// At most [`NAMED_MODELS`]; versions of further models are refused.
    weights: NamedWeights,
    /// Compressed form of `document`, if that is known: snapshots do not contain it.
    #[serde(skip)]
    packed: Option<PackedDocument>,
}

impl DocumentState {
    /// Current document; its number is 0 until the first one is accepted.
    pub fn document(&self) -> &NumberedDocument {
        &self.document
    }

    /// Compressed form of the current document; `None` if the document comes from a snapshot.
    pub fn packed(&self) -> Option<&PackedDocument> {
        self.packed.as_ref()
    }

    /// Named weights versions by model.
    pub fn weights(&self) -> &NamedWeights {
        &self.weights
    }

    /// Replaces the document if the number is the highest so far.
    pub fn put(&mut self, number: DocumentNumber, body: &str) -> CommandOutcome {
        if body.len() > DOCUMENT_BYTES {
            let reason = "the document is over 6 MiB; split what it configures";
            return CommandOutcome::Refused { reason: reason.to_owned() };
        }
        if number > self.document.number {
            self.document = NumberedDocument { number, body: body.into() };
            self.packed = None;
        }
        CommandOutcome::DocumentHeld { number: self.document.number }
    }

    /// As [`Self::put`], for a compressed document.
    pub fn put_packed(
        &mut self,
        number: DocumentNumber,
        packed: &PackedDocument,
    ) -> CommandOutcome {
        if number <= self.document.number {
            return CommandOutcome::DocumentHeld { number: self.document.number };
        }
        match packed.body() {
            Some(body) => {
                let outcome = self.put(number, &body);
                self.packed = Some(packed.clone());
                outcome
            }
            None => {
                let reason = "the document is damaged or over 6 MiB; split what it configures";
                CommandOutcome::Refused { reason: reason.to_owned() }
            }
        }
    }

    /// Names a weights version if it is newer than the one named before.
    pub fn name_weights(&mut self, model: &ModelId, version: WeightsNumber) -> CommandOutcome {
        if !self.weights.contains_key(model) && self.weights.len() >= NAMED_MODELS {
            let reason = "weights of 1,024 models are named already, which is the maximum";
            return CommandOutcome::Refused { reason: reason.to_owned() };
        }
        let named = self.weights.entry(model.clone()).or_default();
        *named = version.max(*named);
        CommandOutcome::Noted
    }
}
