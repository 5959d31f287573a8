//! Why a command failed.

use std::fmt;

use quick_error::quick_error;
use serde_json::Value;

/// The number of the reason for a lost race.
const CONFLICT: u64 = 109;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(what: String) {
            display("{what}; see monsoonctl help")
        }
        /// A file or value given is wrong.
        Input(what: String) {
            display("{what}")
        }
        /// No entry answered; nothing was changed.
        Unreachable(addrs: String) {
            display("no answer from {addrs}; nothing was changed. Check the address and that the entry is up")
        }
        /// A change was sent and no answer came.
        Doubtful(addr: String) {
            display("no answer from {addr}; the change may have been made. Look before trying again")
        }
        /// The entry refused.
        Refused(problem: Problem) {
            display("{problem}")
        }
        /// The watched job did not end well.
        JobEnded(phase: String) {
            display("the job ended as {phase}")
        }
    }
}

/// The problem document of a refusal.
#[derive(Debug)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// Seconds after which trying again may help.
    pub retry_after: Option<u64>,
    /// The document; null when the answer was none.
    pub document: Value,
}

impl Problem {
    /// Whether another change came first.
    pub fn is_conflict(&self) -> bool {
        self.document["reason"].as_u64() == Some(CONFLICT)
    }

    /// Whether the work may have run all the same.
    pub fn may_have_run(&self) -> bool {
        self.document["verdict"].as_str() != Some("not_run") && self.status >= 500
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |name: &str| self.document[name].as_str();
        let Some(title) = text("title") else {
            return write!(f, "refused with HTTP status {}", self.status);
        };
        write!(f, "{title}")?;
        if let Some(detail) = text("detail") {
            write!(f, " {}.", detail.trim_end_matches('.'))?;
        }
        if self.may_have_run() {
            write!(f, " It may have taken effect; look before trying again.")?;
        }
        if let Some(secs) = self.retry_after {
            write!(f, " Try again in {secs} s.")?;
        }
        write!(f, " (reason {})", self.document["reason"])
    }
}
