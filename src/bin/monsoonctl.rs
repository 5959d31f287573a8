//! The operators' and submitters' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    monsoonnotch_ctl::main()
}
