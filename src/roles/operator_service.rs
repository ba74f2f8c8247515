//! Operators' requests to a control VM, independent of the wire format.

use {
    crate::{
        control::{
            Command, CommandOutcome,
            document::{NumberedDocument, body_digest},
            packed_document::PackedDocument,
            replica::LocalProposeError,
        },
        daemon::control_driver::ControlHandle,
        ids::{DocumentNumber, ModelId, VmId, WeightsNumber},
        observe::events,
    },
    displaydoc::Display,
    std::time::Instant,
};

/// Why a control VM refuses an operator's request.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum OperatorRefusal {
    /// another control VM is the leader; send the request to it
    AskLeader(VmId),
    /// no leader with a quorum is known here; try another control VM, or retry in a second
    NoLeader,
    /// the change may or may not be in force; send it again unchanged
    OutcomeUnknown,
    /// {0}
    Refused(String),
}

impl std::error::Error for OperatorRefusal {}

/// A valid document that an operator sent.
#[derive(Clone, Debug)]
pub struct SubmittedDocument {
    number: DocumentNumber,
    digest: String,
    packed: PackedDocument,
}

impl SubmittedDocument {
    /// Packs a document that was validated.
    pub fn new(number: DocumentNumber, body: &str) -> Self {
        SubmittedDocument { number, digest: body_digest(body), packed: PackedDocument::new(body) }
    }
}

/// Handles operators' requests on one control VM.
#[derive(Clone)]
pub struct OperatorService {
    vm: VmId,
    replica: ControlHandle,
}

impl OperatorService {
    /// Creates the service for the replica of this VM.
    pub fn new(vm: VmId, replica: ControlHandle) -> Self {
        OperatorService { vm, replica }
    }

    /// Puts a document in force unless a later one is. Returns, once a quorum has the document on
    /// disk, the number of the document in force.
    ///
    /// # Errors
    /// All but [`OperatorRefusal::OutcomeUnknown`] guarantee that nothing came into force.
    pub async fn put_document(
        &self,
        submitted: SubmittedDocument,
    ) -> Result<DocumentNumber, OperatorRefusal> {
        let SubmittedDocument { number, digest, packed } = submitted;
        let outcome = self.propose(Command::PutPackedDocument { number, packed }).await?;
        match outcome {
            CommandOutcome::DocumentHeld { number: held } => {
                log::info!(number = number, held = held, digest = digest.as_str();
                    "{}", events::DOCUMENT_ACKNOWLEDGED);
                self.log_other_content(number, &digest);
                Ok(held)
            }
            CommandOutcome::Refused { reason } => Err(OperatorRefusal::Refused(reason)),
            _ => Err(OperatorRefusal::OutcomeUnknown),
        }
    }

    /// Names the version of a model's weights that engines have to load.
    ///
    /// # Errors
    /// As [`Self::put_document`].
    pub async fn name_weights(
        &self,
        model: ModelId,
        version: WeightsNumber,
    ) -> Result<(), OperatorRefusal> {
        log::info!(model = model.as_str(), version = version; "weights named");
        match self.propose(Command::NameWeights { model, version }).await? {
            CommandOutcome::Refused { reason } => Err(OperatorRefusal::Refused(reason)),
            _ => Ok(()),
        }
    }

    /// The document in force, if this VM leads and a quorum confirms it. No other VM can have accepted
    /// a later document before the call.
    ///
    /// # Errors
    /// [`OperatorRefusal::AskLeader`] or [`OperatorRefusal::NoLeader`].
    pub async fn read_document(&self) -> Result<NumberedDocument, OperatorRefusal> {
        let asked_at = Instant::now();
        let document =
            self.replica.read_document().await.map_err(|error| self.propose_refusal(error))?;
        log::info!(document = document.number, digest = document.digest(),
            term = self.replica.status().term, waited_ms = asked_at.elapsed().as_millis() as u64;
            "{}", events::DOCUMENT_READ);
        Ok(document)
    }

    /// Logs that the document in force has the number of an acknowledged one, but another content:
    /// the first document under a number wins, and an operator who sent a later one is not told.
    fn log_other_content(&self, number: DocumentNumber, digest: &str) {
        let documents = self.replica.documents();
        let in_force = documents.borrow().document().clone();
        if in_force.number == number && in_force.digest() != digest {
            log::warn!(document = number, digest = in_force.digest(), ignored = digest;
                "{}", events::DOCUMENT_IGNORED);
        }
    }

    fn not_leader_refusal(&self) -> OperatorRefusal {
        let leader = self.replica.status().leader.clone();
        match leader.filter(|leader| *leader != self.vm) {
            Some(leader) => OperatorRefusal::AskLeader(leader),
            None => OperatorRefusal::NoLeader,
        }
    }

    async fn propose(&self, command: Command) -> Result<CommandOutcome, OperatorRefusal> {
        let outcome = self.replica.propose_local(command).await;
        outcome.map_err(|error| self.propose_refusal(error))
    }

    fn propose_refusal(&self, error: LocalProposeError) -> OperatorRefusal {
        match error {
            LocalProposeError::NotLeader { .. } => self.not_leader_refusal(),
            LocalProposeError::OutcomeUnknown => OperatorRefusal::OutcomeUnknown,
            LocalProposeError::NoQuorum | LocalProposeError::Busy => OperatorRefusal::NoLeader,
        }
    }
}
