//! Refusing early what would wait too long, and bounding retries.
//!
//! What a request would wait follows from the rate at which its team's work
//! of its kind starts and from what goes before it. The answer names the time
//! by which the backlog will have drained far enough. Requests of a lower
//! priority have more before them, so they are refused first.

use std::collections::BTreeMap;

use super::Control;
use crate::call::Call;
use crate::ident::Name;
use crate::queue::Class;
use crate::time::Duration;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Shortest pause told to a caller.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Thousandths of a retry that each request earns its team.
const EARNED: u32 = 100;
/// Thousandths of a retry that each retry takes.
const SPENT: u32 = 1_000;
/// Most thousandths of retries that a team saves up.
const SAVED_MAX: u32 = 10_000;

/// Retries that each team may still make, in thousandths.
#[derive(Debug, Default)]
pub(super) struct Retries {
    left: BTreeMap<Name, u32>,
}

impl Retries {
    fn earn(&mut self, team: &Name) {
        let left = self.left.entry(team.clone()).or_insert(SAVED_MAX);
        *left = (*left + EARNED).min(SAVED_MAX);
    }

    /// Whether a team may retry once more; takes it from its budget.
    pub(super) fn spend(&mut self, team: &Name) -> bool {
        let left = self.left.entry(team.clone()).or_insert(SAVED_MAX);
        let may = *left >= SPENT;
        if may {
            *left -= SPENT;
        }
        may
    }
}

impl Control {
    /// Refuses a request that would be given up before its turn.
    pub(super) fn admit_wait(&mut self, c: &Call, class: Class) -> Result<(), Refusal> {
        let team = c.team.clone().unwrap_or_default();
        self.retries.earn(&team);
        if !self.cfg.policy.shed {
            return Ok(());
        }
        let queue = &self.calls.queue;
        let wait = queue.expected_wait(self.now, &team, class, c.profile.priority);
        let longest = c.expires.since(self.now);
        match wait {
            Some(wait) if wait > longest => {
                let after = Duration(wait.0 - longest.0).max(RETRY_MIN);
                Err(Refusal::later(Reason::QueueFull, after))
            }
            _ => Ok(()),
        }
    }

    /// When a request of a team that is refused now would find its turn.
    pub(super) fn retry_after(&self, c: &Call, class: Class) -> Duration {
        let team = c.team.as_ref().map_or("", |t| t.as_str());
        let queue = &self.calls.queue;
        let wait = queue.expected_wait(self.now, team, class, c.profile.priority);
        wait.unwrap_or(RETRY_MIN).max(RETRY_MIN)
    }
}
