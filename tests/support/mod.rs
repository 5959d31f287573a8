//! Helpers shared by the tests of `monsoonctl`.

use std::process::Output;

use monsoonnotch_standins::prelude::*;

/// The programs under test.
pub(crate) const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};

/// Returns the exit code.
pub(crate) fn code(out: &Output) -> i32 {
    out.status.code().expect("an exit code")
}

/// Returns the text written to standard error.
pub(crate) fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// Returns the arguments of a `team set` command, with a share of 1.
pub(crate) fn set_team<'a>(name: &'a str, limit: &'a str) -> Vec<&'a str> {
    let head = ["team", "set", name, "--account", "acme"];
    [&head[..], &["--share", "1", "--limit", limit]].concat()
}
