//! Errors in options and their output.

use {
    super::USAGE_EXIT,
    bpaf::ParseFailure,
    displaydoc::Display,
    std::{error::Error, fmt},
};

/// An option with an invalid value or without one.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OptionFault {
    /// {option} has the value "{value}": {remedy}
    Invalid {
        /// Flag, with its leading dashes.
        option: String,
        /// Invalid value.
        value: String,
        /// Description of valid values.
        remedy: String,
    },
    /// {option} is missing: {remedy}
    Missing {
        /// Flag, with its leading dashes.
        option: String,
        /// Description of valid values.
        remedy: String,
    },
}

impl Error for OptionFault {}

impl OptionFault {
    /// Flag with the fault, with its leading dashes.
    pub fn option(&self) -> &str {
        match self {
            OptionFault::Invalid { option, .. } | OptionFault::Missing { option, .. } => option,
        }
    }
}

/// Why options cannot be used.
#[derive(Clone, Debug)]
pub enum OptionsError {
    /// The command line is malformed, or asks for help or the version.
    Usage(ParseFailure),
    /// Values are invalid or missing; all of them are listed.
    Invalid(Vec<OptionFault>),
}

impl OptionsError {
    /// Prints help to standard output or errors to standard error, and returns the exit code.
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

/// Width of help texts in columns; fits a typical terminal.
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
