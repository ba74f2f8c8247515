//! Errors of commands and their exit codes.

use {
    crate::{
        http_api::operator::wire::{DidHappen, ErrorBody, OperatorError},
        ids::OperationId,
        inventory::validate::InventoryFault,
        options::USAGE_EXIT,
    },
    std::{error::Error, fmt},
};

/// Exit code if the command was refused and had no effect; a retry would be refused as well.
pub const REFUSED_EXIT: i32 = 1;
/// Exit code if no daemon responded or the outcome is unknown.
pub const UNKNOWN_EXIT: i32 = 3;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientError {
    /// A file or an argument is invalid; the text names the remedy.
    Usage(String),
    /// A local operation failed; the text gives the cause.
    Local(String),
    /// Files have faults; each fault is listed with its file.
    InvalidFiles(Vec<(String, InventoryFault)>),
    /// A daemon refused the command.
    Refused(Box<OperatorError>),
    /// No daemon is reachable; the texts give the cause for each address.
    Unreachable(Vec<String>),
    /// It is unknown whether a change or an order was executed.
    OutcomeUnknown {
        /// Operation id for a resend; `None` for orders.
        operation: Option<OperationId>,
        /// Failure at each address.
        failures: Vec<String>,
    },
    /// A revision is not active on all VMs at the end of the timeout.
    RevisionPending(String),
}

impl ClientError {
    /// Exit code of the process.
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

    /// JSON form of the error for scripts.
    pub fn to_json(&self) -> String {
        let fault = match self {
            ClientError::Refused(fault) => (**fault).clone(),
            ClientError::Usage(text) => OperatorError::did_not_happen("usage", text),
            ClientError::Local(text) => OperatorError::did_not_happen("local", text),
            ClientError::InvalidFiles(faults) => OperatorError {
                faults: faults.iter().map(|(_, fault)| fault.clone()).collect(),
                ..OperatorError::did_not_happen("faulty", self)
            },
            ClientError::Unreachable(_) => OperatorError::did_not_happen("unreachable", self),
            ClientError::OutcomeUnknown { .. } => OperatorError::unknown("outcome_unknown", self),
            ClientError::RevisionPending(_) => OperatorError::unknown("still_behind", self),
        };
        serde_json::to_string(&ErrorBody { error: fault }).expect("faults have string keys only")
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
                    DidHappen::Unknown => out.write_str("the outcome is unknown"),
                }
            }
            ClientError::Unreachable(failures) => write!(
                out,
                "no daemon responded; correct --admin or OLEANDERMOUNT_ADMIN_URLS, or check the \
                 daemons:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::OutcomeUnknown { operation: Some(operation), failures } => write!(
                out,
                "the outcome of the change is unknown; resend it with --operation-id {operation}, \
                 which returns the original result:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::OutcomeUnknown { operation: None, failures } => write!(
                out,
                "the outcome is unknown; repeat the command:\n  {}",
                failures.join("\n  ")
            ),
            ClientError::RevisionPending(text) => out.write_str(text),
        }
    }
}

impl Error for ClientError {}
