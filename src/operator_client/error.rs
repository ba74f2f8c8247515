//! Why a command failed, and the exit code that says so.

use {
    crate::{
        gateway::operator::wire::{DidHappen, FaultBody, OperatorFault},
        ids::OperationId,
        inventory::validate::InventoryFault,
        options::USAGE_EXIT,
    },
    std::{error::Error, fmt},
};

/// Refused: it did not happen, and the same command will be refused again.
pub const REFUSED_EXIT: i32 = 1;
/// No daemon answered, or whether it happened is not known.
pub const UNKNOWN_EXIT: i32 = 3;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientError {
    /// A file or an argument cannot be used; the text names the remedy.
    Usage(String),
    /// Something on this machine failed; the text names the remedy.
    Local(String),
    /// Files have faults, each listed with its file.
    InvalidFiles(Vec<(String, InventoryFault)>),
    /// A daemon refused.
    Refused(Box<OperatorFault>),
    /// No daemon could be asked; the texts say why for each address.
    Unreachable(Vec<String>),
    /// Whether a change or an order happened is not known.
    OutcomeUnknown {
        /// The id to send again with, if it was a change.
        operation: Option<OperationId>,
        /// What was seen at each address.
        failures: Vec<String>,
    },
    /// A revision is not in force everywhere after the time given.
    RevisionPending(String),
}

impl ClientError {
    /// The process's exit code.
    pub fn exit_code(&self) -> i32 {
        match self {
            ClientError::Usage(_) => USAGE_EXIT,
            ClientError::Local(_) | ClientError::InvalidFiles(_) => REFUSED_EXIT,
            ClientError::Refused(fault) => match fault.did_happen {
                DidHappen::No => REFUSED_EXIT,
                DidHappen::Unknown => UNKNOWN_EXIT,
            },
            ClientError::Unreachable(_)
            | ClientError::OutcomeUnknown { .. }
            | ClientError::RevisionPending(_) => UNKNOWN_EXIT,
        }
    }

    /// The error as operators' scripts read it.
    pub fn to_json(&self) -> String {
        let fault = match self {
            ClientError::Refused(fault) => (**fault).clone(),
            ClientError::Usage(text) => OperatorFault::did_not_happen("usage", text),
            ClientError::Local(text) => OperatorFault::did_not_happen("local", text),
            ClientError::InvalidFiles(faults) => OperatorFault {
                faults: faults.iter().map(|(_, fault)| fault.clone()).collect(),
                ..OperatorFault::did_not_happen("faulty", self)
            },
            ClientError::Unreachable(_) => OperatorFault::did_not_happen("unreachable", self),
            ClientError::OutcomeUnknown { .. } => OperatorFault::unknown("outcome_unknown", self),
            ClientError::RevisionPending(_) => OperatorFault::unknown("still_behind", self),
        };
        serde_json::to_string(&FaultBody { error: fault }).expect("faults have string keys only")
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Usage(text) | ClientError::Local(text) => out.write_str(text),
            ClientError::InvalidFiles(faults) => {
                for (file, fault) in faults {
                    writeln!(out, "{file}: {fault}")?;
                }
                write!(out, "{} faults found; nothing was changed", faults.len())
            }
            ClientError::Refused(fault) => {
                writeln!(out, "refused ({}): {}", fault.code, fault.message)?;
                for fault in &fault.faults {
                    writeln!(out, "  {}: {}", fault.key, fault.message)?;
                }
                match fault.did_happen {
                    DidHappen::No => out.write_str("nothing was changed"),
                    DidHappen::Unknown => out.write_str("whether it happened is not known"),
                }
            }
            ClientError::Unreachable(failures) => write!(
                out,
                "no daemon answered; correct --admin or OLEANDERMOUNT_ADMIN_URLS, or look at the \
                 daemons:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::OutcomeUnknown { operation: Some(operation), failures } => write!(
                out,
                "whether the change happened is not known; send it again with --operation-id \
                 {operation}, which gets the first result:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::OutcomeUnknown { operation: None, failures } => write!(
                out,
                "whether it happened is not known; give the order again:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::RevisionPending(text) => out.write_str(text),
        }
    }
}

impl Error for ClientError {}
