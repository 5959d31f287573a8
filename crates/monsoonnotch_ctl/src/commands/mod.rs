//! The commands and their options.

mod job;
mod publish;

use getopts::Matches;
use getopts::Options;
use monsoonnotch_entry::settings::Settings;
use serde_json::Value;

use crate::client::Entry;
use crate::client::Error;
use crate::output;

/// The environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "MONSOONCTL_TOKEN";

/// The overview.
const HELP: &str = "\
Usage: monsoonctl [--entry IP:PORT] [--token-file FILE] [--json] COMMAND

  profile publish NAME --file FILE.toml [--replaces V]
  profile list | profile show NAME
  team set NAME --account A --share N --limit N [--replaces V]
  team list | team show NAME
  key grant TEAM | key withdraw ID | key list
  job submit --team T --profile P [--count N] [--cpu-milli N] [--memory-mib N]
             [--accelerators N] [--priority N] [--run-ms N] [--deadline-ms N]
             [--command C]
  job show ID | job cancel ID | job watch ID
  vm list
  config log
  state
  check FILE

The token is read from --token-file or from MONSOONCTL_TOKEN. The entry is an
operators' listener; the default is 127.0.0.1:7101.

Exit codes: 0 done, 2 wrong command line or input, 3 no answer, 4 conflict with
another change, 5 refused.
";

/// What every command gets.
#[derive(Debug)]
pub(crate) struct Cx {
    pub(crate) entry: Entry,
    pub(crate) json: bool,
    pub(crate) matches: Matches,
}

impl Cx {
    fn show(&self, path: &str) -> Result<(), Error> {
        let value = self.entry.get(path)?;
        output::print(&value, self.json);
        Ok(())
    }

    /// An option's value, which must be there.
    pub(crate) fn need(&self, name: &str) -> Result<String, Error> {
        let missing = || Error::Usage(format!("--{name} is missing"));
        self.matches.opt_str(name).ok_or_else(missing)
    }

    /// An option's number, if it is there.
    ///
    /// # Errors
    ///
    /// When it is not a whole number.
    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let text = self.matches.opt_str(name);
        let number = text.map(|t| t.parse().map_err(|_| ()));
        let wrong = |()| Error::Usage(format!("--{name} must be a whole number"));
        number.transpose().map_err(wrong)
    }

    pub(crate) fn print(&self, value: &Value) {
        output::print(value, self.json);
    }
}

fn options() -> Options {
    let mut opts = Options::new();
    opts.optflag("h", "help", "");
    opts.optflag("", "json", "");
    for name in [
        "entry",
        "token-file",
        "file",
        "replaces",
        "account",
        "share",
        "limit",
        "team",
        "profile",
        "count",
        "cpu-milli",
        "memory-mib",
        "accelerators",
        "priority",
        "run-ms",
        "deadline-ms",
        "command",
    ] {
        opts.optopt("", name, "", "VALUE");
    }
    opts
}

/// Runs one command.
///
/// # Errors
///
/// When the command line is wrong or the command failed.
pub fn run(args: &[String]) -> Result<(), Error> {
    let matches = options().parse(args);
    let matches = matches.map_err(|e| Error::Usage(e.to_string()))?;
    let words = matches.free.clone();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if matches.opt_present("help") || words.first().is_none_or(|w| *w == "help") {
        print!("{HELP}");
        return Ok(());
    }
    if let ["check", path] = words.as_slice() {
        return check(path);
    }
    let cx = Cx {
        entry: Entry {
            addr: matches
                .opt_str("entry")
                .unwrap_or("127.0.0.1:7101".to_owned()),
            token: token(&matches)?,
        },
        json: matches.opt_present("json"),
        matches,
    };
    command(&cx, &words)
}

fn command(cx: &Cx, words: &[&str]) -> Result<(), Error> {
    match words {
        ["profile", "publish", name] => publish::profile(cx, name),
        ["profile", "list"] => cx.show("/v1/profiles"),
        ["profile", "show", name] => cx.show(&format!("/v1/profiles/{name}")),
        ["team", "set", name] => publish::team(cx, name),
        ["team", "list"] => cx.show("/v1/teams"),
        ["team", "show", name] => cx.show(&format!("/v1/teams/{name}")),
        ["key", "grant", team] => publish::grant(cx, team),
        ["key", "withdraw", id] => publish::withdraw(cx, id),
        ["key", "list"] => publish::keys(cx),
        ["job", "submit"] => job::submit(cx),
        ["job", "show", id] => cx.show(&format!("/v1/jobs/{id}")),
        ["job", "cancel", id] => job::cancel(cx, id),
        ["job", "watch", id] => job::watch(cx, id),
        ["vm", "list"] => cx.show("/v1/vms"),
        ["config", "log"] => publish::log(cx),
        ["state"] => cx.show("/v1/state"),
        _ => Err(Error::Usage(format!(
            "no such command: {}",
            words.join(" ")
        ))),
    }
}

fn check(path: &str) -> Result<(), Error> {
    Settings::read(path).map_err(|e| Error::Input(e.to_string()))?;
    println!("{path}: the settings are sound");
    Ok(())
}

fn token(matches: &Matches) -> Result<String, Error> {
    let Some(path) = matches.opt_str("token-file") else {
        let missing = |_| Error::Usage(format!("give --token-file or set {TOKEN_VARIABLE}"));
        return std::env::var(TOKEN_VARIABLE).map_err(missing);
    };
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|e| Error::Input(format!("{path}: {e}")))?;
    Ok(text.trim().to_owned())
}
