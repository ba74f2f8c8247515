//! Options of logging, shutdown and disabled policy mechanisms.

use {
    super::{
        OptionFault,
        values::{duration, report_invalid, text},
    },
    crate::policy::SafeguardSet,
    bpaf::{Parser, construct},
    log::LevelFilter,
    std::time::Duration,
};

/// Long responses of slow engines take several minutes; a shutdown should not abort them.
const DEFAULT_GRACE: Duration = Duration::from_secs(300);

/// Logging, shutdown and disabled policy mechanisms of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuntimeOptions {
    /// How long a shutdown waits for requests in flight before it aborts them.
    pub grace: Duration,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Disabled policy mechanisms; empty except while an operator diagnoses a problem.
    pub disabled: SafeguardSet,
}

#[derive(Clone, Debug)]
pub(super) struct RawRuntime {
    grace: Option<String>,
    log_level: Option<String>,
    without: Option<String>,
}

pub(super) fn parser() -> impl Parser<RawRuntime> {
    let grace = text(
        "grace",
        "OLEANDERMOUNT_GRACE",
        "DURATION",
        "How long a shutdown waits for requests in flight (default 5m)",
    );
    let log_level = text(
        "log-level",
        "OLEANDERMOUNT_LOG_LEVEL",
        "LEVEL",
        "off, error, warn, info (default), debug or trace",
    );
    let without = text(
        "without",
        "OLEANDERMOUNT_WITHOUT",
        "NAMES",
        "Policy mechanisms to disable for diagnosis (default none)",
    );
    construct!(RawRuntime { grace, log_level, without })
}

pub(super) fn check(raw: RawRuntime, faults: &mut Vec<OptionFault>) -> RuntimeOptions {
    let range = Duration::ZERO..=Duration::from_secs(24 * 3600);
    let grace = duration(faults, "--grace", raw.grace, DEFAULT_GRACE, range);
    let log_level = raw.log_level.map_or(LevelFilter::Info, |given| {
        given.parse().unwrap_or_else(|_| {
            report_invalid(
                faults,
                "--log-level",
                given,
                "give off, error, warn, info, debug or trace",
            );
            LevelFilter::Info
        })
    });
    let disabled = raw.without.map_or_else(SafeguardSet::default, |given| {
        given.parse().unwrap_or_else(|error| {
            report_invalid(faults, "--without", given, error);
            SafeguardSet::default()
        })
    });
    RuntimeOptions { grace, log_level, disabled }
}
