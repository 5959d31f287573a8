//! The commands there are.

use super::Cx;
use super::check;
use super::job;
use super::look;
use super::publish;
use crate::client::Error;

/// A word that a command needs besides its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arg {
    /// A name or identifier.
    Name(&'static str),
    /// The path of a file.
    File,
}

impl Arg {
    pub(super) fn hint(self) -> &'static str {
        match self {
            Self::Name(hint) => hint,
            Self::File => "FILE",
        }
    }
}

/// An option of a command; all take a value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Opt {
    pub(super) name: &'static str,
    pub(super) hint: &'static str,
    pub(super) required: bool,
    pub(super) help: &'static str,
}

/// A command.
#[derive(Debug, Clone, Copy)]
pub(super) struct Command {
    pub(super) words: &'static [&'static str],
    pub(super) args: &'static [Arg],
    pub(super) opts: &'static [Opt],
    pub(super) about: &'static str,
    pub(super) run: fn(&Cx) -> Result<(), Error>,
}

const fn must(name: &'static str, hint: &'static str, help: &'static str) -> Opt {
    Opt {
        name,
        hint,
        required: true,
        help,
    }
}

const fn may(name: &'static str, hint: &'static str, help: &'static str) -> Opt {
    Opt {
        name,
        hint,
        required: false,
        help,
    }
}

const fn plain(
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

const REPLACES: Opt = may(
    "replaces",
    "VERSION",
    "the version that this change replaces; the present one if left out",
);

/// Every command, in the order of the help.
pub(super) const COMMANDS: &[Command] = &[
    Command {
        words: &["profile", "publish"],
        args: &[Arg::Name("NAME")],
        opts: &[must("file", "FILE", "the profile as TOML"), REPLACES],
        about: "Publish a profile under a name.",
        run: publish::profile,
    },
    plain(
        &["profile", "list"],
        &[],
        "List the profiles.",
        look::profiles,
    ),
    plain(
        &["profile", "show"],
        &[Arg::Name("NAME")],
        "Show a profile.",
        look::profile,
    ),
    Command {
        words: &["team", "set"],
        args: &[Arg::Name("NAME")],
        opts: &[
            must("account", "NAME", "the client account that it belongs to"),
            must("share", "N", "its weight when the fleet is full, from 1"),
            must("limit", "N", "most requests and tasks at once, fleet-wide"),
            REPLACES,
        ],
        about: "Set a team's account, share and upper limit.",
        run: publish::team,
    },
    plain(&["team", "list"], &[], "List the teams.", look::teams),
    plain(
        &["team", "show"],
        &[Arg::Name("NAME")],
        "Show a team.",
        look::team,
    ),
    plain(
        &["key", "grant"],
        &[Arg::Name("TEAM")],
        "Grant a key to a team; it is shown this once and kept as a hash only.",
        publish::grant,
    ),
    Command {
        words: &["key", "withdraw"],
        args: &[Arg::Name("ID")],
        opts: &[REPLACES],
        about: "Withdraw a key by its identifier, the part before the dot.",
        run: publish::withdraw,
    },
    plain(
        &["key", "list"],
        &[],
        "List the keys, without their secrets.",
        look::keys,
    ),
    Command {
        words: &["job", "submit"],
        args: &[],
        opts: &[
            must("team", "NAME", "the team that it runs for"),
            must("profile", "NAME", "the profile that it runs under"),
            may("count", "N", "number of tasks; 1"),
            may(
                "cpu-milli",
                "N",
                "processors of a task in thousandths of a core",
            ),
            may("memory-mib", "N", "memory of a task in MiB"),
            may("accelerators", "N", "accelerators of a task"),
            may("priority", "N", "importance, 0 to 9; 5"),
            may("run-ms", "N", "expected run time of a task in milliseconds"),
            may("deadline-ms", "N", "most milliseconds until the last start"),
            may("command", "TEXT", "what the worker is told to run"),
        ],
        about: "Submit a job for a team.",
        run: job::submit,
    },
    plain(
        &["job", "show"],
        &[Arg::Name("ID")],
        "Show a job.",
        job::show,
    ),
    plain(
        &["job", "cancel"],
        &[Arg::Name("ID")],
        "Cancel a job.",
        job::cancel,
    ),
    plain(
        &["job", "watch"],
        &[Arg::Name("ID")],
        "Print a job each time that it changes, until it ends.",
        job::watch,
    ),
    plain(
        &["vm", "list"],
        &[],
        "List the VMs as the entry that answers sees them.",
        look::vms,
    ),
    plain(
        &["config", "log"],
        &[],
        "List the newest changes, lost ones included, newest first.",
        look::history,
    ),
    plain(
        &["state"],
        &[],
        "Show the state of the entry that answers; --json has all of it.",
        look::state,
    ),
    plain(
        &["check"],
        &[Arg::File],
        "Check a settings file; needs no entry and no token.",
        check::run,
    ),
];
