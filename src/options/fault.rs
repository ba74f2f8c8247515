//! What can be wrong with options, and how that is shown.

use {
    super::USAGE_EXIT,
    bpaf::ParseFailure,
    displaydoc::Display,
    std::{error::Error, fmt},
};

/// One option with a wrong value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OptionFault {
    /// {option} has the value "{value}": {remedy}
    Invalid {
        /// The flag, with its dashes.
        option: String,
        /// What was given.
        value: String,
        /// What to give instead.
        remedy: String,
    },
    /// {option} is missing: {remedy}
    Missing {
        /// The flag, with its dashes.
        option: String,
        /// What to give.
        remedy: String,
    },
}

impl Error for OptionFault {}

impl OptionFault {
    /// The flag at fault, with its dashes.
    pub fn option(&self) -> &str {
        match self {
            OptionFault::Invalid { option, .. } | OptionFault::Missing { option, .. } => option,
        }
    }
}

/// Why a process does not start.
#[derive(Clone, Debug)]
pub enum OptionsError {
    /// The command line has an unknown form, or asks for help or the version.
    Usage(ParseFailure),
    /// Values are wrong; all of them are listed.
    Invalid(Vec<OptionFault>),
}

impl OptionsError {
    /// Prints what is to be said, help to standard output and faults to standard error, and gives
    /// the exit code.
    pub fn report(&self) -> i32 {
        match self {
            OptionsError::Usage(failure) => {
                failure.print_message(HELP_WIDTH);
                if failure.clone().exit_code() == 0 { 0 } else { USAGE_EXIT }
            }
            OptionsError::Invalid(_) => {
                eprintln!("{self}");
                USAGE_EXIT
            }
        }
    }
}

/// Columns of a usual terminal.
pub const HELP_WIDTH: usize = 100;

impl fmt::Display for OptionsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OptionsError::Usage(ParseFailure::Stderr(text) | ParseFailure::Stdout(text, _)) => {
                out.write_str(&text.monochrome(true))
            }
            OptionsError::Usage(ParseFailure::Completion(text)) => out.write_str(text),
            OptionsError::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(OptionFault::to_string).collect();
                out.write_str(&lines.join("\n"))
            }
        }
    }
}

impl Error for OptionsError {}
