//! What operators can ask of a control VM, without the form in which they ask.

use {
    crate::{
        control::{
            Command, CommandOutcome, ProposeError, document::NumberedDocument,
            replica::LocalProposeError,
        },
        daemon::control_driver::ControlHandle,
        ids::{DocumentNumber, ModelId, VmId, WeightsNumber},
    },
    displaydoc::Display,
};

/// Why an operator gets no answer here.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum OperatorRefusal {
    /// another control VM leads; ask it
    AskLeader(VmId),
    /// no leader with a quorum is known here; ask another control VM, or again in a second
    NoLeader,
    /// the change may or may not be in force; send it again unchanged
    OutcomeUnknown,
    /// {0}
    Refused(String),
}

impl std::error::Error for OperatorRefusal {}

/// The operators' side of one control VM.
#[derive(Clone)]
pub struct OperatorService {
    vm: VmId,
    replica: ControlHandle,
}

impl OperatorService {
    /// A desk at the replica of this VM.
    pub fn new(vm: VmId, replica: ControlHandle) -> Self {
        OperatorService { vm, replica }
    }

    /// Puts a document in force unless a later one is; done once a quorum has it on disk.
    ///
    /// # Errors
    /// All but [`OperatorRefusal::OutcomeUnknown`] promise that nothing came into force.
    pub async fn put_document(
        &self,
        number: DocumentNumber,
        body: String,
    ) -> Result<DocumentNumber, OperatorRefusal> {
        let outcome = self.propose(Command::PutDocument { number, body }).await?;
        match outcome {
            CommandOutcome::DocumentHeld { number: held } => {
                log::info!(number = number, held = held; "document acknowledged");
                Ok(held)
            }
            CommandOutcome::Refused { reason } => Err(OperatorRefusal::Refused(reason)),
            _ => Err(OperatorRefusal::OutcomeUnknown),
        }
    }

    /// Names a version of a model's weights.
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

    /// The document in force, if this VM is certain that there is no later one: it leads under a
    /// lease, so nobody else can have accepted any.
    ///
    /// # Errors
    /// [`OperatorRefusal::AskLeader`] or [`OperatorRefusal::NoLeader`].
    pub fn read_document(&self) -> Result<NumberedDocument, OperatorRefusal> {
        let documents = self.replica.documents();
        let document = documents.borrow().document().clone();
        // The lease is looked at last: it then covers the moment of the look at the document.
        if self.replica.lease_valid() { Ok(document) } else { Err(self.elsewhere()) }
    }

    fn elsewhere(&self) -> OperatorRefusal {
        let leader = self.replica.status().leader.clone();
        match leader.filter(|leader| *leader != self.vm) {
            Some(leader) => OperatorRefusal::AskLeader(leader),
            None => OperatorRefusal::NoLeader,
        }
    }

    async fn propose(&self, command: Command) -> Result<CommandOutcome, OperatorRefusal> {
        match self.replica.propose_local(command).await {
            Ok(outcome) => Ok(outcome),
            Err(LocalProposeError::NotLeader { .. }) => Err(self.elsewhere()),
            Err(error) => Err(match ProposeError::from(error) {
                ProposeError::OutcomeUnknown => OperatorRefusal::OutcomeUnknown,
                ProposeError::NoQuorum | ProposeError::Busy => OperatorRefusal::NoLeader,
            }),
        }
    }
}
