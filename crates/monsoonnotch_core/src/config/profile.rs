//! How a kind of work is treated.

use serde::Deserialize;
use serde::Serialize;

use crate::resource::Resources;
use crate::time::Duration;

/// The kind of work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lane {
    /// HTTP requests; a slot is held until the answer is complete.
    #[default]
    Short,
    /// Tasks that start one by one.
    Batch,
    /// Tasks that start together or not at all.
    AllAtOnce,
    /// Tasks without an end of their own.
    LongLived,
}

/// How the tasks of a job lie on the fleet.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// Wherever they pack best.
    #[default]
    Pack,
    /// Over racks.
    Racks,
    /// Over failure domains.
    FailureDomains,
}

/// A named way of treating work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Profile {
    /// The kind of work.
    pub lane: Lane,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether callers need no key.
    pub open: bool,
    /// Importance: a higher one goes first and is shed last; 0 to 9.
    pub priority: u8,
    /// What one request or task takes unless it says otherwise.
    pub size: Resources,
    /// Longest wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Longest time from dispatch to the end of the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Expected run time in milliseconds, until it has been seen; zero when unknown.
    pub run_ms: u64,
    /// Most attempts at one task or repeatable request.
    pub max_attempts: u32,
    /// How tasks lie on the fleet.
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
    /// Longest wait for a slot.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }

    /// Longest time from dispatch to the end of the answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// What is wrong with the profile, as a sentence; `None` when it is sound.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        match self {
            p if p.priority > 9 => Some("'priority' must be 0 to 9."),
            p if p.size.slots == 0 => Some("'size.slots' must be at least 1."),
            p if p.max_attempts == 0 => Some("'max_attempts' must be at least 1."),
            p if p.timeout_ms == 0 => Some("'timeout_ms' must be at least 1."),
            p if p.spread != Spread::Pack => {
                Some("'spread' must be 'pack'; spreading over racks or domains is not built yet.")
            }
            _ => None,
        }
    }
}
