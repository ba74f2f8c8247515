//! How a daemon logs, what of its policy is off, and how long it waits for requests in flight when it
//! stops.

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

/// A long answer at a slow engine takes some minutes; a stop should cut none.
const DEFAULT_GRACE: Duration = Duration::from_secs(300);

/// How a daemon logs and stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuntimeOptions {
    /// How long a stopping daemon waits for requests in flight before it cuts them.
    pub grace: Duration,
    /// The least urgent level that is logged.
    pub log_level: LevelFilter,
    /// Mechanisms of the policy that are off; empty but while an operator looks for a cause.
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
        "How long a stopping daemon waits for requests in flight (default 5m)",
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
        "Mechanisms of the policy to switch off while looking for a cause (default none)",
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
