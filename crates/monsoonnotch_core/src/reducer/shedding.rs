//! Load shedding and retry budgets.
//!
//! A request that would wait too long is refused on arrival. Its expected wait
//! follows from the rate at which work of its team and class starts and from
//! the work queued before it. The refusal names the time after which the
//! backlog will have drained far enough. Requests of a lower priority have more
//! work before them, so they are refused first.

use std::collections::BTreeMap;

use super::Control;
use crate::call::Call;
use crate::ident::Name;
use crate::queue::Class;
use crate::time::Duration;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Shortest `retry_after` sent to a caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Thousandths of a retry that each request adds to the budget of its team.
const RETRY_CREDIT: u32 = 100;
/// Thousandths of a retry that each retry takes from the budget.
const RETRY_COST: u32 = 1_000;
/// Largest budget of a team, in thousandths of a retry; new teams begin with it.
const RETRY_BUDGET_MAX: u32 = 10_000;

/// Retry budget of each team, in thousandths of a retry.
#[derive(Debug, Default)]
pub(super) struct RetryBudgets {
    budgets: BTreeMap<Name, u32>,
}

impl RetryBudgets {
    fn earn(&mut self, team: &Name) {
        let budget = self.budgets.entry(team.clone()).or_insert(RETRY_BUDGET_MAX);
        *budget = (*budget + RETRY_CREDIT).min(RETRY_BUDGET_MAX);
    }

    /// Takes one retry from the budget of a team; returns whether the budget allowed it.
    pub(super) fn spend(&mut self, team: &Name) -> bool {
        let budget = self.budgets.entry(team.clone()).or_insert(RETRY_BUDGET_MAX);
        let may = *budget >= RETRY_COST;
        if may {
            *budget -= RETRY_COST;
        }
        may
    }
}

impl Control {
    /// Refuses a request that would expire before it starts.
    pub(super) fn check_expected_wait(&mut self, c: &Call, class: Class) -> Result<(), Refusal> {
        let team = c.team.clone().unwrap_or_default();
        self.retry_budgets.earn(&team);
        if !self.cfg.policy.shed {
            return Ok(());
        }
        let queue = &self.calls.queue;
        let wait = queue.expected_wait(self.now, &team, class, c.profile.priority);
        let longest = c.expires.since(self.now);
        match wait {
            Some(wait) if wait > longest => {
                let after = Duration(wait.0 - longest.0).max(RETRY_AFTER_MIN);
                Err(Refusal::later(Reason::QueueFull, after))
            }
            _ => Ok(()),
        }
    }

    /// Returns the `retry_after` of a refused request: the expected wait of one like it.
    pub(super) fn retry_after(&self, c: &Call, class: Class) -> Duration {
        let team = c.team.as_ref().map_or("", |t| t.as_str());
        let queue = &self.calls.queue;
        let wait = queue.expected_wait(self.now, team, class, c.profile.priority);
        wait.unwrap_or(RETRY_AFTER_MIN).max(RETRY_AFTER_MIN)
    }
}
