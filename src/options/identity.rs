//! Options of a daemon's identity: VM, failure domain and role.

use {
    super::{
        OptionFault,
        values::{report_invalid, required_name, text},
    },
    crate::ids::{FailureDomainId, VmId},
    bpaf::{Parser, construct},
};

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonRole {
    /// Serves callers; with a data folder, it is a control replica as well.
    Entry,
    /// Serves no callers; the VM is dedicated to control.
    Control,
}

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityOptions {
    /// Name of the VM, unique in the system.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
    /// Role of the daemon; an entry by default.
    pub role: DaemonRole,
}

#[derive(Clone, Debug)]
pub(super) struct RawIdentity {
    vm: Option<String>,
    failure_domain: Option<String>,
    role: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawIdentity> {
    let vm = text("vm", "OLEANDERMOUNT_VM", "ID", "Name of this VM, unique in the system");
    let failure_domain =
        text("failure-domain", "OLEANDERMOUNT_FAILURE_DOMAIN", "ID", "Failure domain of this VM");
    let role = text(
        "role",
        "OLEANDERMOUNT_ROLE",
        "ROLE",
        "entry (serves callers, the default) or control (dedicated to control)",
    );
    construct!(RawIdentity { vm, failure_domain, role })
}

pub(super) fn check(raw: RawIdentity, faults: &mut Vec<OptionFault>) -> IdentityOptions {
    let vm = required_name(faults, "--vm", raw.vm);
    let failure_domain = required_name(faults, "--failure-domain", raw.failure_domain);
    let role = match raw.role.as_deref() {
        None | Some("entry") => DaemonRole::Entry,
        Some("control") => DaemonRole::Control,
        Some(other) => {
            report_invalid(faults, "--role", other, "give entry or control");
            DaemonRole::Entry
        }
    };
    IdentityOptions { vm, failure_domain, role }
}
