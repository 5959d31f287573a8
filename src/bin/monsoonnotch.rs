//! The entry process.

use std::process::ExitCode;

fn main() -> ExitCode {
    monsoonnotch_entry::args::main()
}
