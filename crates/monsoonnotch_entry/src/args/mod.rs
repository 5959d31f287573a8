//! Command line of the `monsoonnotch` program.

use std::process::ExitCode;

use getopts::Options;
use monsoonnotch_core::notice::Notice;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::logs;
use crate::process;
use crate::process::Entry;
use crate::settings::Settings;

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Exit code when the process cannot start.
const EXIT_STARTUP: u8 = 1;

/// Parses the command line and runs an entry until SIGTERM or SIGINT.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut opts = Options::new();
    opts.reqopt("s", "settings", "the settings file", "FILE");
    opts.optflag("c", "check", "check the settings file and exit");
    opts.optflag("h", "help", "show this help and exit");
    let brief = "Usage: monsoonnotch --settings FILE [--check]\n\
        Exit codes: 0 stopped or settings valid, 1 cannot start, 2 wrong command line or settings.";
    if args.iter().any(|a| a == "-h" || a == "--help") {
        print!("{}", opts.usage(brief));
        return ExitCode::SUCCESS;
    }
    let matches = match opts.parse(&args) {
        Ok(m) => m,
        Err(e) => {
            eprintln!("monsoonnotch: {e}; see monsoonnotch --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let path = matches.opt_str("settings").unwrap_or_default();
    let settings = match Settings::read(&path) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("monsoonnotch: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("check") {
        println!("{path}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn run(settings: Settings) -> ExitCode {
    logs::set_up();
    let metrics = process::set_up_metrics();
    let entry = match Entry::start(settings, metrics) {
        Ok(entry) => entry,
        Err(e) => {
            eprintln!("monsoonnotch: cannot start: {e}; check that the addresses are free");
            return ExitCode::from(EXIT_STARTUP);
        }
    };
    entry.runtime().block_on(wait_for_stop_signal());
    entry.stop();
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT. SIGHUP is logged and otherwise ignored.
async fn wait_for_stop_signal() {
    let handler = |kind| signal(kind).expect("signal handlers can be registered");
    let mut term = handler(SignalKind::terminate());
    let mut int = handler(SignalKind::interrupt());
    let mut hup = handler(SignalKind::hangup());
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = int.recv() => return,
            _ = hup.recv() => logs::log_notice(&Notice::SignalIgnored),
        }
    }
}
