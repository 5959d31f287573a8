//! Runs an entry process, or a member in front of a platform when `--member` is given.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|a| a == "--member" || a == "-m") {
        return monsoonnotch_member::args::main(&args);
    }
    monsoonnotch_entry::args::main()
}
