//! Help for people.

use super::table::COMMANDS;
use super::table::Command;

/// Columns before the explanation of an option.
const INDENT: usize = 26;

/// What every command takes.
const COMMON: &str = "\
  --entry IP:PORT         an entry's operators' listener; several may be given,
                          by commas or by repeating the option. The next one is
                          tried when one does not answer a read, or when a
                          change could not be sent to it. Default:
                          MONSOONCTL_ENTRY, else 127.0.0.1:7101
  --token-file FILE       file with the operators' token. Default: the variable
                          MONSOONCTL_TOKEN
  --operator NAME         your name, kept with what you change. Default:
                          MONSOONCTL_OPERATOR
  --json                  print JSON
  -h, --help              show help
";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  wrong command line or input; nothing was sent
  3  no entry answered; nothing was changed
  4  another change came first; nothing was changed
  5  refused; nothing was changed
  6  unknown whether the change was made
  7  the watched job failed or was cancelled
";

/// The overview.
pub(super) fn overview() -> String {
    let mut text = String::from("Usage: monsoonctl [OPTIONS] COMMAND\n\nCommands:\n");
    for c in COMMANDS {
        text += &format!("  {:<26}{}\n", call(c), c.about);
    }
    text += &format!("\nOptions of every command:\n{COMMON}\n{EXIT_CODES}\n");
    text + "See 'monsoonctl help COMMAND' for the options of a command.\n"
}

/// The commands that begin with some words, or one of them in full.
pub(super) fn topic(words: &[&str]) -> Option<String> {
    let fits: Vec<&Command> = COMMANDS
        .iter()
        .filter(|c| c.words.starts_with(words))
        .collect();
    match fits.as_slice() {
        [] => None,
        [one] => Some(command(one)),
        all => {
            let lines = all
                .iter()
                .map(|c| format!("  {:<26}{}\n", call(c), c.about));
            Some(format!("Commands:\n{}", lines.collect::<String>()))
        }
    }
}

/// One command in full.
pub(super) fn command(c: &Command) -> String {
    let mut usage = call(c);
    for o in c.opts.iter().filter(|o| o.required) {
        usage += &format!(" --{} {}", o.name, o.hint);
    }
    let mut text = format!("Usage: monsoonctl {usage} [OPTIONS]\n\n{}\n", c.about);
    if !c.opts.is_empty() {
        text += "\nOptions:\n";
    }
    for o in c.opts {
        let required = if o.required { " (required)" } else { "" };
        let left = format!("  --{} {}", o.name, o.hint);
        text += &format!("{left:<INDENT$}{}{required}\n", o.help);
    }
    text += &format!("\nOptions of every command:\n{COMMON}\n{EXIT_CODES}");
    text
}

/// The words of a command and of what it needs.
pub(super) fn call(c: &Command) -> String {
    let args = c.args.iter().map(|a| a.hint());
    let words: Vec<&str> = c.words.iter().copied().chain(args).collect();
    words.join(" ")
}
