//! The table of commands, from which parsing and help are derived.

use super::Cx;
use super::change;
use super::check;
use super::explain;
use super::job;
use super::read;
use crate::client::Error;

/// A required positional argument of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arg {
    /// A name or identifier, which is checked. Contains the placeholder for the help.
    Name(&'static str),
    /// The path of a file.
    File,
}

impl Arg {
    /// Returns the placeholder for the argument in the help.
    pub(super) fn hint(self) -> &'static str {
        match self {
            Self::Name(hint) => hint,
            Self::File => "FILE",
        }
    }
}

/// An option of a command. All options take a value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Opt {
    /// Name without the leading dashes.
    pub(super) name: &'static str,
    /// Placeholder for the value in the help.
    pub(super) hint: &'static str,
    pub(super) required: bool,
    pub(super) help: &'static str,
}

/// A command and how to run it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Command {
    /// The words that select the command, such as `team set`.
    pub(super) words: &'static [&'static str],
    pub(super) args: &'static [Arg],
    pub(super) opts: &'static [Opt],
    /// One-line description for the help.
    pub(super) about: &'static str,
    pub(super) run: fn(&Cx) -> Result<(), Error>,
}

const fn required(name: &'static str, hint: &'static str, help: &'static str) -> Opt {
    Opt {
        name,
        hint,
        required: true,
        help,
    }
}

const fn optional(name: &'static str, hint: &'static str, help: &'static str) -> Opt {
    Opt {
        name,
        hint,
        required: false,
        help,
    }
}

/// Returns a command without options of its own.
const fn without_options(
    words: &'static [&'static str],
    args: &'static [Arg],
    about: &'static str,
    run: fn(&Cx) -> Result<(), Error>,
) -> Command {
    Command {
        words,
        args,
        opts: &[],
        about,
        run,
    }
}

const REPLACES: Opt = optional(
    "replaces",
    "VERSION",
    "the version that this change replaces; default: the current one",
);

/// All commands, in the order in which the help lists them.
pub(super) const COMMANDS: &[Command] = &[
    Command {
        words: &["profile", "publish"],
        args: &[Arg::Name("NAME")],
        opts: &[required("file", "FILE", "the profile as TOML"), REPLACES],
        about: "Publish a profile under a name.",
        run: change::profile,
    },
    without_options(
        &["profile", "list"],
        &[],
        "List the profiles.",
        read::profiles,
    ),
    without_options(
        &["profile", "show"],
        &[Arg::Name("NAME")],
        "Show a profile.",
        read::profile,
    ),
    Command {
        words: &["team", "set"],
        args: &[Arg::Name("NAME")],
        opts: &[
            required("account", "NAME", "the client account that it belongs to"),
            required(
                "share",
                "N",
                "its weight when the fleet is full, at least 1",
            ),
            required(
                "limit",
                "N",
                "maximum of concurrent requests and tasks, fleet-wide",
            ),
            REPLACES,
        ],
        about: "Set a team's account, share and upper limit.",
        run: change::team,
    },
    without_options(&["team", "list"], &[], "List the teams.", read::teams),
    without_options(
        &["team", "show"],
        &[Arg::Name("NAME")],
        "Show a team.",
        read::team,
    ),
    without_options(
        &["key", "grant"],
        &[Arg::Name("TEAM")],
        "Grant a key to a team; it is shown only once and stored as a hash.",
        change::grant,
    ),
    Command {
        words: &["key", "withdraw"],
        args: &[Arg::Name("ID")],
        opts: &[REPLACES],
        about: "Withdraw a key by its identifier, the part before the dot.",
        run: change::withdraw,
    },
    without_options(
        &["key", "list"],
        &[],
        "List the keys, without their secrets.",
        read::keys,
    ),
    Command {
        words: &["job", "submit"],
        args: &[],
        opts: &[
            required("team", "NAME", "the team that it runs for"),
            required("profile", "NAME", "the profile that it runs under"),
            optional("count", "N", "number of tasks; default: 1"),
            optional("cpu-milli", "N", "CPU of a task in thousandths of a core"),
            optional("memory-mib", "N", "memory of a task in MiB"),
            optional("accelerators", "N", "accelerators of a task"),
            optional("priority", "N", "priority, 0 to 9; default: 5"),
            optional("run-ms", "N", "expected run time of a task in milliseconds"),
            optional(
                "deadline-ms",
                "N",
                "maximum milliseconds from submission to the last start",
            ),
            optional("command", "TEXT", "the command that the worker runs"),
        ],
        about: "Submit a job for a team.",
        run: job::submit,
    },
    without_options(
        &["job", "show"],
        &[Arg::Name("ID")],
        "Show a job.",
        job::show,
    ),
    without_options(
        &["job", "cancel"],
        &[Arg::Name("ID")],
        "Cancel a job.",
        job::cancel,
    ),
    without_options(
        &["job", "watch"],
        &[Arg::Name("ID")],
        "Print a job whenever it changes, until it ends.",
        job::watch,
    ),
    without_options(
        &["vm", "list"],
        &[],
        "List the VMs as seen by the entry that responds.",
        read::vms,
    ),
    without_options(
        &["config", "log"],
        &[],
        "List the newest changes, including rejected ones, newest first.",
        read::history,
    ),
    without_options(
        &["state"],
        &[],
        "Show the state of the entry that responds; in full with --json.",
        read::state,
    ),
    without_options(
        &["explain", "job"],
        &[Arg::Name("ID")],
        "Explain where a submitted job's tasks would go now. --entry: metrics listener of a member.",
        explain::job,
    ),
    Command {
        words: &["explain", "file"],
        args: &[Arg::File],
        opts: &[
            required("queue", "NAME", "the queue that it would be submitted to"),
            optional("account", "NAME", "the account that would submit it"),
        ],
        about: "Explain where a job would go now, without sending it. --entry: metrics listener of a member.",
        run: explain::file,
    },
    without_options(
        &["check"],
        &[Arg::File],
        "Check a settings file, without an entry or a token.",
        check::run,
    ),
];
