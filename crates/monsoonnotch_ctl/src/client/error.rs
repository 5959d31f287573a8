//! Errors of the commands, and the problem documents of refused requests.

use std::fmt;

use quick_error::quick_error;
use serde_json::Value;

/// Reason number of a change that was refused because another change was applied first.
const CONFLICT_REASON: u64 = 109;

quick_error! {
    /// The reason why a command failed. Each variant has an exit code.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(detail: String) {
            display("{detail}; see monsoonctl help")
        }
        /// A file or value that the command needs is invalid or cannot be read, or the client
        /// cannot start.
        Input(detail: String) {
            display("{detail}")
        }
        /// No entry responded; nothing was changed. Contains the addresses that were tried.
        Unreachable(addrs: String) {
            display("no response from {addrs}; nothing was changed. Check the address and that the entry is running")
        }
        /// A change was sent, but no complete response was received from this address.
        Uncertain(addr: String) {
            display("no response from {addr}; the change may have been made. Check the current state before trying again")
        }
        /// The entry refused the request.
        Refused(problem: Problem) {
            display("{problem}")
        }
        /// The watched job ended in a phase other than `done`.
        JobNotDone(phase: String) {
            display("the job ended in phase {phase}")
        }
    }
}

/// The response to a refused request.
#[derive(Debug)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// Seconds to wait before a retry; `None` when the response does not give them.
    pub retry_after: Option<u64>,
    /// The problem document (RFC 9457); `Null` when the response body is not JSON.
    pub document: Value,
}

impl Problem {
    /// Returns whether the change was refused because another change was applied first.
    pub fn is_conflict(&self) -> bool {
        self.document["reason"].as_u64() == Some(CONFLICT_REASON)
    }

    /// Returns whether the request may have taken effect although it was refused.
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
