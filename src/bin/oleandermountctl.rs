//! Command-line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    oleandermount::operator_client::run(&arguments)
}
