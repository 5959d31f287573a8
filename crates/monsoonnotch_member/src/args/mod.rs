//! The command line of a member.

use std::process::ExitCode;

use getopts::Options;

use crate::logs;
use crate::process;
use crate::settings::Settings;

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;
/// Exit code when the process cannot start, for example because an address is in use.
const EXIT_START: u8 = 1;
/// Environment variable with the path of the settings file, read when `--settings` is absent.
const SETTINGS_VAR: &str = "MONSOONNOTCH_NODE_FILE";

/// Runs a member until it stops, and returns its exit code.
///
/// `args` are the command-line arguments without the program's name.
pub fn main(args: &[String]) -> ExitCode {
    let mut opts = Options::new();
    opts.optflag("m", "member", "run as a member in front of a platform");
    opts.optopt("s", "settings", "the settings file", "FILE");
    opts.optflag("c", "check", "check the settings file and exit");
    opts.optflag("h", "help", "show this help and exit");
    let brief = format!(
        "Usage: monsoonnotch --member [--settings FILE] [--check]\n\
         Without --settings the variable {SETTINGS_VAR} names the file.\n\
         Exit codes: 0 stopped or settings valid, 1 cannot start, 2 wrong command line or settings."
    );
    let matches = match opts.parse(args) {
        Ok(m) => m,
        Err(e) => {
            eprintln!("monsoonnotch: {e}; see monsoonnotch --member --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage(&brief));
        return ExitCode::SUCCESS;
    }
    let path = matches.opt_str("settings");
    let path = path.or_else(|| std::env::var(SETTINGS_VAR).ok());
    let Some(path) = path else {
        eprintln!("monsoonnotch: no settings file; give --settings or set {SETTINGS_VAR}");
        return ExitCode::from(EXIT_USAGE);
    };
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
    logs::set_up(settings.tuning.log_lines_per_s);
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = rt.and_then(|rt| rt.block_on(process::run(settings)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("monsoonnotch: cannot start: {e}; check that the addresses are free");
            ExitCode::from(EXIT_START)
        }
    }
}
