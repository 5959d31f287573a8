//! Limits of accounts: what the running tasks of an account may use.
//!
//! A limit may be lowered below what accepted work needs: below a single task, or below what is left
//! beside tasks that go on for long. An account that uses less than half of its limit may therefore
//! always start one more task, and exceeds the limit by that task at most. The tasks of a gang start all
//! at once, so that the gang may exceed the limit by one of them; if it needs more, it waits for a higher
//! limit. No other start of the account may be in transit then: whichever arrives last must be the only one
//! above the limit.

use super::job::Rank;
use super::placement::milli_of;
use super::*;

/// Part of an account's limit that is reserved for its urgent tasks, in thousandths.
/// Urgent tasks take about this part of all resources at the sites.
const URGENT_LIMIT_RESERVE_MILLI: u64 = 200;

/// What an account may use of one resource, and what it uses and waits for.
#[derive(Debug, Clone, Copy)]
struct Headroom {
    /// Zero means no limit.
    limit: u64,
    used: u64,
    /// Need of the waiting urgent tasks.
    urgent: u64,
}

impl Headroom {
    /// Whether `need` fits. Tasks that are not urgent leave free what the waiting urgent tasks need and,
    /// if more than half of the limit is in use, at least a fixed part of the limit.
    fn fits(&self, need: u64, is_urgent: bool) -> bool {
        let kept = match (is_urgent, self.used <= self.limit / 2) {
            (true, _) => 0,
            (false, true) => self.urgent,
            (false, false) => {
                let reserve = milli_of(self.limit, URGENT_LIMIT_RESERVE_MILLI);
                self.urgent.max(reserve)
            }
        };
        let after = self.used.saturating_add(need).saturating_add(kept);
        self.limit == 0 || after <= self.limit
    }

    /// Whether one task may start beside `others` that start with it, whatever it needs.
    fn allows_one_more(&self, others: u64, is_urgent: bool) -> bool {
        let is_below_half = self.used < self.limit.div_ceil(2);
        let leaves_urgent = is_urgent || self.urgent == 0;
        let others_fit = self.used.saturating_add(others) <= self.limit;
        self.limit == 0 || (is_below_half && leaves_urgent && others_fit)
    }
}

impl Scheduler {
    /// Whether an account may start `count` tasks of `need` each, all at once, on top of its present usage.
    ///
    /// What is kept free for its urgent tasks keeps an account's batch jobs from delaying them.
    pub(super) fn within_limit(
        &self,
        rank: Rank,
        account: &str,
        need: &Resources,
        count: u64,
    ) -> bool {
        let Some(headroom) = self.headroom(account) else {
            return true;
        };
        let is_urgent = rank.is_urgent();
        let all = limited(&need.times(count));
        let others = limited(&need.times(count.saturating_sub(1)));
        let mut rows = headroom.iter().zip(all);
        let mut one_more = headroom.iter().zip(others);
        rows.all(|(h, need)| h.fits(need, is_urgent))
            || (one_more.all(|(h, others)| h.allows_one_more(others, is_urgent))
                && self.all_starts_confirmed(account))
    }

    /// Whether an account may start a task again that is stopped to be moved.
    pub(super) fn may_start_again(&self, rank: Rank, account: &str, need: &Resources) -> bool {
        let Some(headroom) = self.headroom(account) else {
            return true;
        };
        let mut rows = headroom.iter().zip(limited(need));
        rows.all(|(h, need)| {
            let without = Headroom {
                used: h.used.saturating_sub(need),
                ..*h
            };
            without.fits(need, rank.is_urgent())
        })
    }

    /// Whether VMs have confirmed all starts of an account, also those of a predecessor.
    fn all_starts_confirmed(&self, account: &str) -> bool {
        let uncertain = self
            .uncertain_usage
            .get(account)
            .copied()
            .unwrap_or_default();
        let mut own = self.runs.values().filter(|r| r.account == account);
        uncertain == Resources::default() && own.all(|r| r.begun)
    }

    /// Returns what an account may use of each limited resource; `None` if it has no limits.
    fn headroom(&self, account: &str) -> Option<[Headroom; 3]> {
        let limit = limited(&self.config.accounts.get(account)?.limit);
        let used = limited(&self.limited_usage(account));
        let urgent = self.urgent_demand.get(account).copied().unwrap_or_default();
        let urgent = limited(&urgent);
        let row = |i: usize| Headroom {
            limit: limit[i],
            used: used[i],
            urgent: urgent[i],
        };
        Some([row(0), row(1), row(2)])
    }

    /// Returns what counts against an account's limit: its runs, and tasks that a predecessor may have
    /// started on VMs that have not answered.
    fn limited_usage(&self, account: &str) -> Resources {
        let mut used = self.usage.get(account).copied().unwrap_or_default();
        if let Some(uncertain) = self.uncertain_usage.get(account) {
            used.add(uncertain);
        }
        used
    }

    /// Returns what a log line says of an account's limit and of what a task of a stage needs.
    pub(super) fn describe_limit(&self, key: StageKey) -> String {
        let Some(job) = self.jobs.get(key.job) else {
            return String::new();
        };
        let step = job.step(key.step);
        let account = self.config.accounts.get(&job.account);
        let limit = limited(&account.map_or(Resources::default(), |a| a.limit));
        let used = limited(&self.limited_usage(&job.account));
        let need = limited(&step.need);
        let gang = if step.gang { step.count } else { 1 };
        format!(
            " account={} limit={limit:?} used={used:?} need={need:?} at_once={gang}",
            job.account
        )
    }
}

/// Returns the resources that accounts have limits of: thousandths of a core, MiB of memory, accelerators.
fn limited(amounts: &Resources) -> [u64; 3] {
    [amounts.cpu_milli, amounts.memory_mib, amounts.accelerators]
}
