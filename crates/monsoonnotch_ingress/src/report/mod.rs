//! Reports of clients that were limited: one line a second for each cause, with the number of cases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Pause between two reports of one cause.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed, or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// There was no place for a further connection.
    NoPlace,
    /// The connection held much and moved little while others needed room.
    Displaced,
    /// The head of a request was too large or malformed.
    HeadInvalid,
    /// The head of a request did not arrive in time, or the connection was idle.
    HeadLate,
    /// The body of a request was larger than permitted.
    BodyTooLarge,
    /// The body of a request came in too many chunks.
    BodyInChunks,
    /// The body of a request arrived too slowly for its deadline.
    BodyLate,
    /// There was no memory for a request.
    NoMemory,
    /// The client did not take the response.
    ResponseUnread,
    /// A message on a link was larger than the memory for it.
    MessageTooLarge,
}

impl Cause {
    /// Returns the name of the cause in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPlace => "no_place",
            Self::Displaced => "displaced",
            Self::HeadInvalid => "head_invalid",
            Self::HeadLate => "head_late",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyInChunks => "body_in_chunks",
            Self::BodyLate => "body_late",
            Self::NoMemory => "no_memory",
            Self::ResponseUnread => "response_unread",
            Self::MessageTooLarge => "message_too_large",
        }
    }
}

/// Cases of one cause at one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The listener.
    pub listener: &'static str,
    /// Why clients were limited.
    pub cause: Cause,
    /// Number of cases since the last report of this cause.
    pub cases: u64,
    /// Memory that is taken of the listener's budget, in bytes.
    pub memory: u64,
    /// Connections to the listener.
    pub connections: usize,
}

/// Counts cases between two reports.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    causes: BTreeMap<Cause, (Option<Instant>, u64)>,
}

impl Tally {
    /// Counts a case; returns the number of cases to report, or `None` if it is too soon for a report.
    pub(crate) fn count(&mut self, cause: Cause, now: Instant) -> Option<u64> {
        let (reported_at, cases) = self.causes.entry(cause).or_default();
        *cases += 1;
        let is_due = reported_at.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        is_due.then(|| {
            *reported_at = Some(now);
            std::mem::take(cases)
        })
    }
}
