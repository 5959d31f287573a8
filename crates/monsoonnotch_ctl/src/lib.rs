//! The operators' and submitters' command line.
//!
//! Each command is one or two requests to an entry's operators' listener.

pub mod client;
pub mod commands;
pub mod output;

use std::process::ExitCode;

use crate::client::Error;

/// Runs the command line.
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

/// The documented exit codes.
fn exit_code(e: &Error) -> u8 {
    match e {
        Error::Usage(_) | Error::Input(_) => 2,
        Error::Unreachable(_) => 3,
        Error::Refused(p) if p.is_conflict() => 4,
        Error::Refused(p) if p.may_have_run() => 6,
        Error::Refused(_) => 5,
        Error::Doubtful(_) => 6,
        Error::JobEnded(_) => 7,
    }
}
