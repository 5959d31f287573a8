//! Profiles: the scheduling parameters of a kind of work.

use serde::Deserialize;
use serde::Serialize;

use crate::resource::Resources;
use crate::time::Duration;

/// The kind of work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lane {
    /// HTTP requests; each occupies a slot until its response is complete.
    #[default]
    Short,
    /// Tasks that start independently of each other.
    Batch,
    /// Tasks of a gang, which start together or not at all.
    AllAtOnce,
    /// Tasks that run until they are stopped.
    LongLived,
}

/// How the tasks of a job are distributed over the fleet.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Placed on the fullest workers that fit, to avoid fragmentation.
    #[default]
    Pack,
    /// Spread over racks.
    Racks,
    /// Spread over failure domains.
    FailureDomains,
}

/// The scheduling parameters of a kind of work; published under a name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The kind of work.
    pub lane: Lane,
    /// Whether a request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// Whether callers may omit a team key.
    pub open: bool,
    /// Priority, 0 to 9; a higher one is scheduled first and shed last.
    pub priority: u8,
    /// Resources of one request or task that does not state its own.
    pub size: Resources,
    /// Maximum wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Maximum time from dispatch to the end of the response, in milliseconds.
    pub timeout_ms: u64,
    /// Expected run time in milliseconds, used until one is measured; zero when unknown.
    pub run_ms: u64,
    /// Maximum attempts at one task or repeatable request.
    pub max_attempts: u32,
    /// How tasks are distributed over the fleet.
    pub spread: Spread,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            lane: Lane::Short,
            repeatable: false,
            open: false,
            priority: 5,
            size: Resources::one_request(),
            max_wait_ms: 2_000,
            timeout_ms: 30_000,
            run_ms: 0,
            max_attempts: 3,
            spread: Spread::Pack,
        }
    }
}

impl Profile {
    /// Returns `max_wait_ms` as a span.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }

    /// Returns `timeout_ms` as a span.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns a sentence that says why the profile is invalid; `None` when it is valid.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        match self {
            p if p.priority > 9 => Some("'priority' must be 0 to 9."),
            p if p.size.slots == 0 => Some("'size.slots' must be at least 1."),
            p if p.max_attempts == 0 => Some("'max_attempts' must be at least 1."),
            p if p.timeout_ms == 0 => Some("'timeout_ms' must be at least 1."),
            p if p.spread != Spread::Pack => Some(
                "'spread' must be 'pack'; spreading over racks or domains is not supported yet.",
            ),
            _ => None,
        }
    }
}
