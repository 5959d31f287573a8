//! The help texts.

use super::table::COMMANDS;
use super::table::Command;

/// Width in characters of the column before the description of an option.
const INDENT: usize = 26;

/// Help for the options that every command accepts.
const COMMON: &str = "\
  --entry IP:PORT         operator listener of an entry. For several entries,
                          separate the addresses by commas or repeat the
                          option. The next one is tried when one does not
                          respond to a read, or when a change could not be
                          sent to it. Default: MONSOONCTL_ENTRY, else
                          127.0.0.1:7101
  --token-file FILE       file with the operators' token. Default: the variable
                          MONSOONCTL_TOKEN
  --operator NAME         your name, stored with each change. Default:
                          MONSOONCTL_OPERATOR
  --json                  print JSON
  -h, --help              show help
";

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  2  invalid command line or input; nothing was sent
  3  no entry responded; nothing was changed
  4  another change was applied first; nothing was changed
  5  refused; nothing was changed
  6  unknown whether the change was made
  7  the watched job failed or was cancelled
";

/// Returns the overview of all commands.
pub(super) fn overview() -> String {
    let mut text = String::from("Usage: monsoonctl [OPTIONS] COMMAND\n\nCommands:\n");
    for c in COMMANDS {
        text += &format!("  {:<26}{}\n", synopsis(c), c.about);
    }
    text += &format!("\nOptions of every command:\n{COMMON}\n{EXIT_CODES}\n");
    text + "See 'monsoonctl help COMMAND' for the options of a command.\n"
}

/// Returns the list of the commands that begin with `words`, or the help for the command when only
/// one does; `None` when no command does.
pub(super) fn topic(words: &[&str]) -> Option<String> {
    let matching: Vec<&Command> = COMMANDS
        .iter()
        .filter(|c| c.words.starts_with(words))
        .collect();
    match matching.as_slice() {
        [] => None,
        [one] => Some(command(one)),
        all => {
            let lines = all
                .iter()
                .map(|c| format!("  {:<26}{}\n", synopsis(c), c.about));
            Some(format!("Commands:\n{}", lines.collect::<String>()))
        }
    }
}

/// Returns the help for one command.
pub(super) fn command(c: &Command) -> String {
    let mut usage = synopsis(c);
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

/// Returns the words of a command, followed by placeholders for its arguments.
pub(super) fn synopsis(c: &Command) -> String {
    let args = c.args.iter().map(|a| a.hint());
    let words: Vec<&str> = c.words.iter().copied().chain(args).collect();
    words.join(" ")
}
