//! The command-line client `monsoonctl`, for operators and for callers who submit jobs.
//!
//! Most commands send one or two requests to the operator listener of an entry. `job watch` polls
//! until the job ends, and `check` sends none.

pub mod client;
pub mod commands;
pub mod output;

use std::process::ExitCode;

use crate::client::Error;

/// Runs the command that the arguments of the process give, and returns its exit code.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match commands::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("monsoonctl: {e}");
            ExitCode::from(exit_code(&e))
        }
    }
}

/// Returns the exit code for an error. The help documents the exit codes.
fn exit_code(e: &Error) -> u8 {
    match e {
        Error::Usage(_) | Error::Input(_) => 2,
        Error::Unreachable(_) => 3,
        Error::Refused(p) if p.is_conflict() => 4,
        Error::Refused(p) if p.may_have_run() => 6,
        Error::Refused(_) => 5,
        Error::Uncertain(_) => 6,
        Error::JobNotDone(_) => 7,
    }
}
