//! Flags and environment variables, checked: each error names the remedy.
//!
//! Every flag `--some-name` is also the variable `OLEANDERMOUNT_SOME_NAME`; the flag wins. Values
//! are taken as text first and checked together, so that one start shows every wrong value.

pub mod fault;
pub mod group;
pub mod identity;
pub mod keys;
pub mod limits;
pub mod network;
pub mod runtime;
pub mod values;

pub use self::{
    fault::{OptionFault, OptionsError},
    group::GroupOptions,
    identity::{DaemonRole, IdentityOptions},
    limits::RequestLimits,
    network::NetworkOptions,
    runtime::RuntimeOptions,
};

use {
    crate::transport::keys::KeyFiles,
    bpaf::{Args, OptionParser, Parser, construct},
    std::ffi::OsString,
};

/// The exit code of a process that was started with wrong options.
pub const USAGE_EXIT: i32 = 2;

/// Everything a daemon is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonOptions {
    /// Who this daemon is.
    pub identity: IdentityOptions,
    /// Where it listens.
    pub network: NetworkOptions,
    /// The daemons it starts from and the state it keeps.
    pub group: GroupOptions,
    /// The files that prove who it is to other daemons. Options that were read always have them.
    pub keys: Option<KeyFiles>,
    /// What a caller may send.
    pub limits: RequestLimits,
    /// How it logs and stops.
    pub runtime: RuntimeOptions,
}

/// The options as text, before any check.
#[derive(Clone, Debug)]
struct RawOptions {
    identity: identity::RawIdentity,
    network: network::RawNetwork,
    group: group::RawGroup,
    keys: keys::RawKeys,
    limits: limits::RawLimits,
    runtime: runtime::RawRuntime,
}

impl DaemonOptions {
    /// Reads the process's own arguments and variables.
    ///
    /// # Errors
    /// Usage errors, requests for help, and all values that are wrong.
    pub fn from_process() -> Result<DaemonOptions, OptionsError> {
        let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
        DaemonOptions::parse(&arguments)
    }

    /// Reads `arguments`, which do not include the program's name, and the process's variables.
    ///
    /// # Errors
    /// Usage errors, requests for help, and all values that are wrong.
    pub fn parse(arguments: &[OsString]) -> Result<DaemonOptions, OptionsError> {
        let args = Args::from(arguments).set_name("oleandermountd");
        raw_options().run_inner(args).map_err(OptionsError::Usage).and_then(check)
    }
}

fn raw_options() -> OptionParser<RawOptions> {
    let identity = identity::parser().group_help("Who this daemon is");
    let network = network::parser().group_help("Where it listens");
    let group = group::parser().group_help("The daemons it starts from and the state it keeps");
    let keys = keys::parser().group_help("Keys between daemons");
    let limits = limits::parser().group_help("What a caller may send");
    let runtime = runtime::parser().group_help("How it logs and stops");
    construct!(RawOptions { identity, network, group, keys, limits, runtime })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes language-model traffic with long shared prompts.")
        .footer(
            "Each flag --some-name is also the variable OLEANDERMOUNT_SOME_NAME; the flag wins.",
        )
}

fn check(raw: RawOptions) -> Result<DaemonOptions, OptionsError> {
    let mut faults = Vec::new();
    let identity = identity::check(raw.identity, &mut faults);
    let network = network::check(raw.network, &mut faults);
    let group = group::check(raw.group, &identity, &mut faults);
    let keys = keys::check(raw.keys, &identity, &mut faults);
    let limits = limits::check(raw.limits, &mut faults);
    let runtime = runtime::check(raw.runtime, &mut faults);
    if faults.is_empty() {
        Ok(DaemonOptions { identity, network, group, keys, limits, runtime })
    } else {
        Err(OptionsError::Invalid(faults))
    }
}
