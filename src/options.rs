//! Command-line flags and environment variables; each error message names a remedy.
//!
//! Every flag `--some-name` can also be set by the variable `OLEANDERMOUNT_SOME_NAME`; the flag
//! takes precedence. Values are read as text and validated together, so that all invalid values are
//! reported at once.

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

/// Exit code of a process that was started with invalid options.
pub const USAGE_EXIT: i32 = 2;

/// Complete options of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonOptions {
    /// VM, failure domain and role.
    pub identity: IdentityOptions,
    /// Listen addresses.
    pub network: NetworkOptions,
    /// Initial peers, founders and data folder.
    pub group: GroupOptions,
    /// Files of the daemon's certificate and key; always present in options returned by
    /// [`DaemonOptions::parse`].
    pub keys: Option<KeyFiles>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// Logging, shutdown and disabled policy mechanisms.
    pub runtime: RuntimeOptions,
}

/// Options as text, before validation.
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
    /// Parses the arguments and environment variables of this process.
    ///
    /// # Errors
    /// Usage errors, requests for help or version, and all invalid values.
    pub fn from_process() -> Result<DaemonOptions, OptionsError> {
        let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
        DaemonOptions::parse(&arguments)
    }

    /// Parses `arguments`, without the program name, and the environment variables of this process.
    ///
    /// # Errors
    /// Usage errors, requests for help or version, and all invalid values.
    pub fn parse(arguments: &[OsString]) -> Result<DaemonOptions, OptionsError> {
        let args = Args::from(arguments).set_name("oleandermountd");
        raw_options().run_inner(args).map_err(OptionsError::Usage).and_then(check)
    }
}

fn raw_options() -> OptionParser<RawOptions> {
    let identity = identity::parser().group_help("Identity of this daemon");
    let network = network::parser().group_help("Listen addresses");
    let group = group::parser().group_help("Peers, founders and data folder");
    let keys = keys::parser().group_help("Certificates for connections between daemons");
    let limits = limits::parser().group_help("Limits on callers' requests");
    let runtime = runtime::parser().group_help("Logging, shutdown and diagnostics");
    construct!(RawOptions { identity, network, group, keys, limits, runtime })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Routes language-model traffic with long shared prompts.")
        .footer(
            "Each flag --some-name can also be set by the variable OLEANDERMOUNT_SOME_NAME; the \
             flag takes precedence.",
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
