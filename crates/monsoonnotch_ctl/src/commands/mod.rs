//! Parsing of the command line, and the commands.

mod change;
mod check;
mod cx;
mod explain;
mod help;
mod job;
mod read;
mod table;

use getopts::Fail;
use getopts::Options;
use getopts::ParsingStyle;

use self::cx::Cx;
use self::table::Arg;
use self::table::COMMANDS;
use self::table::Command;
use crate::client::Error;
use crate::output;

/// Parses the command line, without the program name, and runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid or the command failed.
pub fn run(args: &[String]) -> Result<(), Error> {
    let mut opts = common();
    opts.parsing_style(ParsingStyle::StopAtFirstFree);
    let before = opts.parse(args).map_err(usage)?;
    let rest = before.free.clone();
    let words: Vec<&str> = rest.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] if before.opt_present("help") || !words.is_empty() => {
            print_help(&help::overview());
            return Ok(());
        }
        [] => return Err(Error::Usage("no command was given".to_owned())),
        ["help", topic @ ..] => return help_on(topic),
        _ => {}
    }
    let command = find(&words).ok_or_else(|| unknown_command(&words))?;
    let mut opts = common();
    for o in command.opts {
        opts.optopt("", o.name, o.help, o.hint);
    }
    let after = opts
        .parse(&rest[command.words.len()..])
        .map_err(|e| command_usage(command, &e))?;
    if before.opt_present("help") || after.opt_present("help") {
        print_help(&help::command(command));
        return Ok(());
    }
    let json = before.opt_present("json") || after.opt_present("json");
    let cx = Cx {
        json,
        before,
        after,
    };
    check_args(command, &cx)?;
    (command.run)(&cx)
}

/// Returns the options that every command accepts.
fn common() -> Options {
    let mut opts = Options::new();
    opts.optflag("h", "help", "");
    opts.optflag("", "json", "");
    opts.optmulti("", "entry", "", "IP:PORT");
    opts.optopt("", "token-file", "", "FILE");
    opts.optopt("", "operator", "", "NAME");
    opts
}

fn find(words: &[&str]) -> Option<&'static Command> {
    COMMANDS.iter().find(|c| words.starts_with(c.words))
}

fn help_on(topic: &[&str]) -> Result<(), Error> {
    let text = help::topic(topic).ok_or_else(|| unknown_command(topic))?;
    print_help(&text);
    Ok(())
}

/// Checks the number of positional arguments, that required options are given, and that names are
/// valid.
fn check_args(command: &Command, cx: &Cx) -> Result<(), Error> {
    if cx.after.free.len() != command.args.len() {
        let synopsis = help::synopsis(command);
        return Err(Error::Usage(format!("usage: monsoonctl {synopsis}")));
    }
    for o in command.opts.iter().filter(|o| o.required) {
        cx.required(o.name)?;
    }
    for (arg, given) in command.args.iter().zip(&cx.after.free) {
        if let Arg::Name(hint) = arg {
            cx::check_name(hint, given)?;
        }
    }
    Ok(())
}

fn print_help(text: &str) {
    output::print_line(text.trim_end());
}

fn usage(e: Fail) -> Error {
    Error::Usage(e.to_string())
}

/// Returns a usage error that names the command.
fn command_usage(command: &Command, e: &Fail) -> Error {
    let name = command.words.join(" ");
    Error::Usage(format!("{name}: {e}"))
}

fn unknown_command(words: &[&str]) -> Error {
    Error::Usage(format!("no such command: {}", words.join(" ")))
}
