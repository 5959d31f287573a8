//! Verdicts and reasons: what is known of a request that got no upstream response.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Duration;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request reached an upstream; it will not run.
    NotRun,
    /// The request ran, although its response may not be available.
    Ran,
    /// The request may have run, or may still run.
    MayHaveRun,
}

impl Verdict {
    /// Returns the text that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

/// Why a request was refused.
///
/// The numbers are part of the public interface and never change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[repr(u16)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request has no team key, or its key is malformed.
    KeyMissing = 101,
    /// The team key is unknown or withdrawn.
    KeyRefused = 102,
    /// The profile header is missing or names an unknown profile.
    ProfileUnknown = 103,
    /// The request is malformed; the detail of the response says where.
    Malformed = 104,
    /// The head or the body of the request exceeds its size limit.
    TooLarge = 105,
    /// The request was not received within the time limit.
    TooSlow = 106,
    /// The named job or other resource does not exist.
    NotFound = 107,
    /// The work is larger than every VM of the fleet, even an empty one.
    FitsNowhere = 108,
    /// The change names a version that is not the current one.
    Conflict = 109,
    /// The idempotency key belongs to a different request or to one in progress.
    KeyInUse = 110,
    /// The queue has reached its maximum length.
    QueueFull = 201,
    /// No slot became free before the deadline or within the profile's maximum wait.
    WaitedTooLong = 202,
    /// The team has as many requests and tasks running as its limit allows.
    AtLimit = 203,
    /// The entry is not certain that it still holds its workers.
    Uncertain = 204,
    /// The entry is shutting down.
    Stopping = 205,
    /// The work must be recorded and the platform's log is unavailable.
    #[serde(rename = "log_dark")]
    LogUnavailable = 206,
    /// The caller disconnected, or an operator cancelled the work.
    Cancelled = 207,
    /// The upstream refused the connection.
    UpstreamRefused = 301,
    /// The upstream stopped responding or closed the connection before its response was complete.
    UpstreamCut = 302,
    /// The upstream did not respond within the profile's timeout.
    UpstreamTimeout = 303,
    /// An earlier request with this idempotency key ran.
    AlreadyRan = 304,
}

impl Reason {
    /// Every reason, in ascending order of its number.
    pub const ALL: [Self; 21] = [
        Self::KeyMissing,
        Self::KeyRefused,
        Self::ProfileUnknown,
        Self::Malformed,
        Self::TooLarge,
        Self::TooSlow,
        Self::NotFound,
        Self::FitsNowhere,
        Self::Conflict,
        Self::KeyInUse,
        Self::QueueFull,
        Self::WaitedTooLong,
        Self::AtLimit,
        Self::Uncertain,
        Self::Stopping,
        Self::LogUnavailable,
        Self::Cancelled,
        Self::UpstreamRefused,
        Self::UpstreamCut,
        Self::UpstreamTimeout,
        Self::AlreadyRan,
    ];

    /// Returns the stable number of the reason, as in problem responses and metrics.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status of a response with this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::KeyMissing | Self::KeyRefused => 401,
            Self::ProfileUnknown | Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::TooSlow => 408,
            Self::NotFound => 404,
            Self::FitsNowhere => 422,
            Self::Conflict | Self::KeyInUse | Self::AlreadyRan => 409,
            Self::AtLimit | Self::QueueFull => 429,
            Self::WaitedTooLong | Self::Uncertain | Self::Stopping => 503,
            Self::LogUnavailable | Self::Cancelled => 503,
            Self::UpstreamRefused | Self::UpstreamCut => 502,
            Self::UpstreamTimeout => 504,
        }
    }

    /// Returns a sentence that describes the reason to a caller.
    pub fn title(self) -> &'static str {
        match self {
            Self::KeyMissing => "Send a team key as 'Authorization: Bearer KEY'.",
            Self::KeyRefused => "The team key is unknown or withdrawn.",
            Self::ProfileUnknown => "Name a published profile in the 'Profile' header.",
            Self::Malformed => "The request is malformed.",
            Self::TooLarge => "The request is larger than the limit.",
            Self::TooSlow => "The request arrived too slowly.",
            Self::NotFound => "There is no such thing.",
            Self::FitsNowhere => "No VM of the fleet is large enough.",
            Self::Conflict => "Another change came first.",
            Self::KeyInUse => "A request with this idempotency key is in progress.",
            Self::QueueFull => "The queue is full.",
            Self::WaitedTooLong => "No slot came free in time.",
            Self::AtLimit => "The team is at its upper limit.",
            Self::Uncertain => "This entry cannot reach the platform or its peers.",
            Self::Stopping => "This entry is stopping.",
            Self::LogUnavailable => "The work cannot be recorded now.",
            Self::Cancelled => "The request was cancelled.",
            Self::UpstreamRefused => "The upstream refused the connection.",
            Self::UpstreamCut => "The upstream cut the connection.",
            Self::UpstreamTimeout => "The upstream did not answer in time.",
            Self::AlreadyRan => "The request with this idempotency key ran before.",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}

/// A final response that the scheduler gives instead of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Why the work was refused.
    pub reason: Reason,
    /// Time after which the caller should retry; `None` when a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of work that did not run and should not be retried unchanged.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal of work that did not run and may be retried after `wait`.
    pub fn later(reason: Reason, wait: Duration) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(wait),
        }
    }
}
