//! Who a daemon is: its VM, its failure domain and its role.

use {
    super::{
        OptionFault,
        values::{report_invalid, required_name, text},
    },
    crate::ids::{FailureDomainId, VmId},
    bpaf::{Parser, construct},
};

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonRole {
    /// Serves callers; with a data folder it is a control replica too.
    Entry,
    /// Serves no callers: a VM set aside for control.
    Control,
}

/// Who a daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityOptions {
    /// The VM; unique over the system.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// What it does.
    pub role: DaemonRole,
}

#[derive(Clone, Debug)]
pub(super) struct RawIdentity {
    vm: Option<String>,
    failure_domain: Option<String>,
    role: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawIdentity> {
    let vm = text("vm", "OLEANDERMOUNT_VM", "ID", "The name of this VM, unique over the system");
    let failure_domain = text(
        "failure-domain",
        "OLEANDERMOUNT_FAILURE_DOMAIN",
        "ID",
        "The failure domain this VM stands in",
    );
    let role = text(
        "role",
        "OLEANDERMOUNT_ROLE",
        "ROLE",
        "entry (serves callers, the default) or control (set aside for control)",
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
