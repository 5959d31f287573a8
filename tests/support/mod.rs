//! What the tests of `monsoonctl` share.

use std::process::Output;

use monsoonnotch_standins::prelude::*;

/// The programs under test.
pub(crate) const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};

/// The exit code.
pub(crate) fn code(out: &Output) -> i32 {
    out.status.code().expect("an exit code")
}

/// What it said was wrong.
pub(crate) fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// The arguments that set a team.
pub(crate) fn set_team<'a>(name: &'a str, limit: &'a str) -> Vec<&'a str> {
    let head = ["team", "set", name, "--account", "acme"];
    [&head[..], &["--share", "1", "--limit", limit]].concat()
}
