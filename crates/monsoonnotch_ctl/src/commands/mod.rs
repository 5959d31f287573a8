//! The commands and their options.

mod check;
mod cx;
mod help;
mod job;
mod look;
mod publish;
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

/// Runs one command.
///
/// # Errors
///
/// When the command line is wrong or the command failed.
pub fn run(args: &[String]) -> Result<(), Error> {
    let mut opts = common();
    opts.parsing_style(ParsingStyle::StopAtFirstFree);
    let before = opts.parse(args).map_err(usage)?;
    let rest = before.free.clone();
    let words: Vec<&str> = rest.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] if before.opt_present("help") || !words.is_empty() => {
            show(&help::overview());
            return Ok(());
        }
        [] => return Err(Error::Usage("no command was given".to_owned())),
        ["help", topic @ ..] => return help_on(topic),
        _ => {}
    }
    let command = find(&words).ok_or_else(|| unknown(&words))?;
    let mut opts = common();
    for o in command.opts {
        opts.optopt("", o.name, o.help, o.hint);
    }
    let after = opts
        .parse(&rest[command.words.len()..])
        .map_err(|e| of_command(command, &e))?;
    if before.opt_present("help") || after.opt_present("help") {
        show(&help::command(command));
        return Ok(());
    }
    let json = before.opt_present("json") || after.opt_present("json");
    let cx = Cx {
        json,
        before,
        after,
    };
    check_words(command, &cx)?;
    (command.run)(&cx)
}

/// The options of every command.
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
    let text = help::topic(topic).ok_or_else(|| unknown(topic))?;
    show(&text);
    Ok(())
}

/// Checks number and form of the words that follow the command.
fn check_words(command: &Command, cx: &Cx) -> Result<(), Error> {
    if cx.after.free.len() != command.args.len() {
        let call = help::call(command);
        return Err(Error::Usage(format!("write 'monsoonctl {call}'")));
    }
    for o in command.opts.iter().filter(|o| o.required) {
        cx.need(o.name)?;
    }
    for (arg, given) in command.args.iter().zip(&cx.after.free) {
        if let Arg::Name(hint) = arg {
            cx::checked(hint, given)?;
        }
    }
    Ok(())
}

fn show(text: &str) {
    output::line(text.trim_end());
}

fn usage(e: Fail) -> Error {
    Error::Usage(e.to_string())
}

fn of_command(command: &Command, e: &Fail) -> Error {
    let name = command.words.join(" ");
    Error::Usage(format!("{name}: {e}"))
}

fn unknown(words: &[&str]) -> Error {
    Error::Usage(format!("no such command: {}", words.join(" ")))
}
