//! The parsed command line that a command runs with.

use std::net::SocketAddr;

use getopts::Matches;
use monsoonnotch_core::config::is_valid_name;

use crate::client::Entries;
use crate::client::Error;

/// The environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "MONSOONCTL_TOKEN";
/// The environment variable with the addresses of the entries, separated by commas.
const ENTRY_VARIABLE: &str = "MONSOONCTL_ENTRY";
/// The environment variable with the operator's name.
const OPERATOR_VARIABLE: &str = "MONSOONCTL_OPERATOR";
/// Address of the entry to use when neither an option nor the environment gives one.
const DEFAULT_ENTRY: &str = "127.0.0.1:7101";

/// The parsed options and arguments of one invocation.
#[derive(Debug)]
pub(super) struct Cx {
    pub(super) json: bool,
    /// Options before the words of the command.
    pub(super) before: Matches,
    /// Options and arguments after the words of the command.
    pub(super) after: Matches,
}

impl Cx {
    /// Returns the positional argument at index `i`. `check_args` has checked that it is there.
    pub(super) fn arg(&self, i: usize) -> &str {
        &self.after.free[i]
    }

    /// Returns the value of an option, or `None` when the option is not given.
    pub(super) fn opt(&self, name: &str) -> Option<String> {
        self.after.opt_str(name)
    }

    /// Returns the value of a required option.
    pub(super) fn required(&self, name: &str) -> Result<String, Error> {
        let missing = || Error::Usage(format!("--{name} is missing"));
        self.opt(name).ok_or_else(missing)
    }

    /// Returns the value of a required option that must be a valid name.
    pub(super) fn required_name(&self, name: &str) -> Result<String, Error> {
        let text = self.required(name)?;
        check_name(&format!("--{name}"), &text)?;
        Ok(text)
    }

    /// Returns the value of a numeric option, or `None` when the option is not given.
    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let number = self.opt(name).map(|t| t.parse().map_err(|_| ()));
        let invalid = |()| Error::Usage(format!("--{name} must be a whole number"));
        number.transpose().map_err(invalid)
    }

    /// Returns the value of a required 32-bit numeric option that must be at least `min`.
    pub(super) fn required_u32(&self, name: &str, min: u32) -> Result<u32, Error> {
        let number: Option<u32> = self.required(name)?.parse().ok();
        let invalid = || {
            let max = u32::MAX;
            Error::Usage(format!(
                "--{name} must be a whole number from {min} to {max}"
            ))
        };
        number.filter(|n| *n >= min).ok_or_else(invalid)
    }

    /// Returns a client of the entries that the options and the environment name.
    pub(super) fn entries(&self) -> Result<Entries, Error> {
        Ok(Entries {
            addrs: self.addrs()?,
            token: self.token()?,
            operator: self.operator()?,
        })
    }

    /// Returns the addresses of the entries that the options and the environment name.
    pub(super) fn addrs(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut texts = self.before.opt_strs("entry");
        texts.extend(self.after.opt_strs("entry"));
        if texts.is_empty() {
            let default = || DEFAULT_ENTRY.to_owned();
            texts.push(std::env::var(ENTRY_VARIABLE).unwrap_or_else(|_| default()));
        }
        let parts = texts.iter().flat_map(|t| t.split(','));
        let addr = |text: &str| {
            let invalid = |_| Error::Usage(format!("--entry must be IP:PORT, not '{text}'"));
            text.trim().parse().map_err(invalid)
        };
        parts.map(addr).collect()
    }

    fn token(&self) -> Result<String, Error> {
        let Some(path) = self.before_or_after("token-file") else {
            let missing = |_| Error::Usage(format!("give --token-file or set {TOKEN_VARIABLE}"));
            return std::env::var(TOKEN_VARIABLE).map_err(missing);
        };
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|e| Error::Input(format!("{path}: cannot be read: {e}")))?;
        Ok(text.trim().to_owned())
    }

    fn operator(&self) -> Result<String, Error> {
        let given = self.before_or_after("operator");
        let given = given.or_else(|| std::env::var(OPERATOR_VARIABLE).ok());
        let name = given.unwrap_or_default();
        if !name.is_empty() {
            check_name("--operator", &name)?;
        }
        Ok(name)
    }

    /// Returns the value of an option that may be given before or after the command. The one after
    /// the command takes precedence.
    fn before_or_after(&self, name: &str) -> Option<String> {
        self.after
            .opt_str(name)
            .or_else(|| self.before.opt_str(name))
    }
}

/// Checks that `name` is a valid name. `argument` is the argument to mention in the error.
pub(super) fn check_name(argument: &str, name: &str) -> Result<(), Error> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(Error::Usage(format!(
            "{argument} must have 1 to 64 letters, digits, '-', '_' or '.'"
        ))),
    }
}
