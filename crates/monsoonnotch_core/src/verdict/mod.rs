//! What is known of a request that did not get an ordinary answer.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Duration;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of it reached an upstream; it will not run.
    NotRun,
    /// It ran, though its answer is not at hand.
    Ran,
    /// It may have run, or may still run.
    MayHaveRun,
}

impl Verdict {
    /// The text that callers see.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

/// Why a request was refused; the number is part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[repr(u16)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No key came with the request, or its text is malformed.
    KeyMissing = 101,
    /// The key is unknown or withdrawn.
    KeyRefused = 102,
    /// The profile header is missing or names no profile.
    ProfileUnknown = 103,
    /// The request is malformed; the detail says where.
    Malformed = 104,
    /// The head or the body is larger than the limit.
    TooLarge = 105,
    /// The sender was too slow.
    TooSlow = 106,
    /// No such job or other thing.
    NotFound = 107,
    /// The work fits no VM of the fleet, even an empty one.
    FitsNowhere = 108,
    /// The change names a version that is no longer the newest.
    Conflict = 109,
    /// The idempotency key is in use by a different or running request.
    KeyInUse = 110,
    /// The queue is full.
    QueueFull = 201,
    /// No slot came free before the deadline or the longest wait.
    WaitedTooLong = 202,
    /// The team is at its upper limit.
    AtLimit = 203,
    /// The entry cannot be sure that it still holds its workers.
    Uncertain = 204,
    /// The entry is stopping.
    Stopping = 205,
    /// The platform's log cannot be reached and the work must be recorded.
    #[serde(rename = "log_dark")]
    LogUnavailable = 206,
    /// The caller gave up, or the operator cancelled.
    Cancelled = 207,
    /// The upstream refused the connection.
    UpstreamRefused = 301,
    /// The upstream went silent or cut the answer.
    UpstreamCut = 302,
    /// The upstream did not answer in time.
    UpstreamTimeout = 303,
    /// The request with this idempotency key ran before.
    AlreadyRan = 304,
}

impl Reason {
    /// Every reason there is, by number.
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

    /// The stable number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The HTTP status that goes with it.
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

    /// A sentence for people.
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

/// A final answer that is not the upstream's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When to come back, if coming back helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of work that did not run and should not be sent again as it is.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of work that did not run and may be sent again after `wait`.
    pub fn later(reason: Reason, wait: Duration) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(wait),
        }
    }
}
