//! What a command is given.

use std::net::SocketAddr;

use getopts::Matches;
use monsoonnotch_core::config::is_valid_name;

use crate::client::Entries;
use crate::client::Error;

/// The environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "MONSOONCTL_TOKEN";
/// The environment variable that holds the entries.
const ENTRY_VARIABLE: &str = "MONSOONCTL_ENTRY";
/// The environment variable that holds the operator's name.
const OPERATOR_VARIABLE: &str = "MONSOONCTL_OPERATOR";
/// The entry that is asked unless another one is named.
const DEFAULT_ENTRY: &str = "127.0.0.1:7101";

/// What every command gets.
#[derive(Debug)]
pub(super) struct Cx {
    pub(super) json: bool,
    /// Options before the command.
    pub(super) before: Matches,
    /// Options after the command, and its words.
    pub(super) after: Matches,
}

impl Cx {
    /// A word that the command needs; its presence was checked.
    pub(super) fn arg(&self, i: usize) -> &str {
        &self.after.free[i]
    }

    /// An option's text, if it is there.
    pub(super) fn text(&self, name: &str) -> Option<String> {
        self.after.opt_str(name)
    }

    /// An option's text, which must be there.
    pub(super) fn need(&self, name: &str) -> Result<String, Error> {
        let missing = || Error::Usage(format!("--{name} is missing"));
        self.text(name).ok_or_else(missing)
    }

    /// An option's name of a thing, which must be there.
    pub(super) fn name(&self, name: &str) -> Result<String, Error> {
        let text = self.need(name)?;
        checked(&format!("--{name}"), &text)?;
        Ok(text)
    }

    /// An option's number, if it is there.
    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let number = self.text(name).map(|t| t.parse().map_err(|_| ()));
        let wrong = |()| Error::Usage(format!("--{name} must be a whole number"));
        number.transpose().map_err(wrong)
    }

    /// An option's number of 32 bits, which must be there.
    pub(super) fn whole(&self, name: &str, min: u32) -> Result<u32, Error> {
        let number: Option<u32> = self.need(name)?.parse().ok();
        let wrong = || {
            let max = u32::MAX;
            Error::Usage(format!(
                "--{name} must be a whole number from {min} to {max}"
            ))
        };
        number.filter(|n| *n >= min).ok_or_else(wrong)
    }

    /// The entries to ask, and what to show them.
    pub(super) fn entries(&self) -> Result<Entries, Error> {
        Ok(Entries {
            addrs: self.addrs()?,
            token: self.token()?,
            operator: self.operator()?,
        })
    }

    fn addrs(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut texts = self.before.opt_strs("entry");
        texts.extend(self.after.opt_strs("entry"));
        if texts.is_empty() {
            let default = || DEFAULT_ENTRY.to_owned();
            texts.push(std::env::var(ENTRY_VARIABLE).unwrap_or_else(|_| default()));
        }
        let parts = texts.iter().flat_map(|t| t.split(','));
        let addr = |text: &str| {
            let wrong = |_| Error::Usage(format!("--entry must be IP:PORT, not '{text}'"));
            text.trim().parse().map_err(wrong)
        };
        parts.map(addr).collect()
    }

    fn token(&self) -> Result<String, Error> {
        let Some(path) = self.either("token-file") else {
            let missing = |_| Error::Usage(format!("give --token-file or set {TOKEN_VARIABLE}"));
            return std::env::var(TOKEN_VARIABLE).map_err(missing);
        };
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|e| Error::Input(format!("{path}: cannot be read: {e}")))?;
        Ok(text.trim().to_owned())
    }

    fn operator(&self) -> Result<String, Error> {
        let given = self.either("operator");
        let given = given.or_else(|| std::env::var(OPERATOR_VARIABLE).ok());
        let name = given.unwrap_or_default();
        if !name.is_empty() {
            checked("--operator", &name)?;
        }
        Ok(name)
    }

    /// An option that may stand before or after the command.
    fn either(&self, name: &str) -> Option<String> {
        self.after
            .opt_str(name)
            .or_else(|| self.before.opt_str(name))
    }
}

/// Checks a name before anything is sent.
pub(super) fn checked(what: &str, name: &str) -> Result<(), Error> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(Error::Usage(format!(
            "{what} must have 1 to 64 letters, digits, '-', '_' or '.'"
        ))),
    }
}
