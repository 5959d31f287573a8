//! The command-line client for operators and for callers who submit jobs.

use std::process::ExitCode;

fn main() -> ExitCode {
    monsoonnotch_ctl::main()
}
