//! The order in which waiting requests start, and the headroom for short ones.
//!
//! Urgent requests start first, then quick ones, then long ones. Long requests
//! leave free the slots that short ones (urgent and quick) were measured to
//! need. In return, quick requests leave a minimum share of the slots to long
//! ones.

use std::collections::BTreeMap;

use super::Control;
use crate::call::Started;
use crate::call::Waiter;
use crate::config::Profile;
use crate::ident::Name;
use crate::queue::Class;
use crate::resource::Resources;
use crate::time::Duration;
use crate::time::Time;

/// Lowest priority of an urgent request.
const URGENT_PRIORITY_MIN: u8 = 9;
/// Longest expected run time of a quick request.
const QUICK_RUN_MAX: Duration = Duration::from_secs(1);
/// Expected run time of a request whose profile has neither samples nor a configured run time.
const RUN_DEFAULT: Duration = Duration::from_millis(100);
/// Largest divisor of the weight that a new run gets in a mean run time.
const RUN_SAMPLES_MAX: f64 = 64.0;
/// Divisor of the total slots that gives the least headroom for short requests: with eight slots
/// a worker, one slot on every second worker.
pub(super) const HEADROOM_MIN_DIVISOR: u64 = 16;
/// Divisor of the total slots that gives the least share of long work.
const LONG_FLOOR_DIVISOR: u64 = 5;
/// Weight of a sample above the mean demand of short requests.
const DEMAND_RISE_WEIGHT: f64 = 0.02;
/// Weight of a sample below the mean demand; smaller, so that the mean stays above the median.
const DEMAND_FALL_WEIGHT: f64 = 0.01;
/// Maximum number of teams whose first request is tried before the next class is tried.
const TEAMS_TRIED_MAX: usize = 8;
/// Interval between removals of outdated queue accounts and run time estimates.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Run time of the requests of one profile, estimated from completed runs.
#[derive(Debug, Default, Clone, Copy)]
struct RunEstimate {
    runs: u32,
    mean_us: f64,
}

/// Estimates that the scheduling decisions use.
#[derive(Debug, Default)]
pub(super) struct Scheduling {
    run_estimates: BTreeMap<Name, RunEstimate>,
    /// Moving mean of the slots that urgent and quick requests use or wait for.
    short_demand: f64,
    prune_due: Time,
}

impl Control {
    /// Starts waiting requests in fair order while slots are free.
    pub(super) fn start_waiting_calls(&mut self) {
        if self.calls.queue.is_empty() || !self.is_certain() {
            return;
        }
        while self.fleet.free_slots() > 0 && self.start_one() {}
    }

    /// Returns the scheduling class of a request by its priority and expected run time.
    pub(super) fn class_of(&self, priority: u8, run: Duration) -> Class {
        match priority {
            URGENT_PRIORITY_MIN.. => Class::Urgent,
            _ if run <= QUICK_RUN_MAX => Class::Quick,
            _ => Class::Long,
        }
    }

    /// Returns the expected run time of a request: the estimate, else the configured value, else
    /// a default.
    pub(super) fn expected_run_time(&self, name: &str, profile: &Profile) -> Duration {
        match self.scheduling.run_estimates.get(name) {
            Some(estimate) if self.cfg.policy.learn_run_times => Duration(estimate.mean_us as u64),
            _ if profile.run_ms > 0 => Duration::from_millis(profile.run_ms),
            _ => RUN_DEFAULT,
        }
    }

    /// Adds the run time of a completed request to the estimate of its profile.
    pub(super) fn record_run_time(&mut self, profile: &Name, run: Duration) {
        let estimate = self
            .scheduling
            .run_estimates
            .entry(profile.clone())
            .or_default();
        estimate.runs = estimate.runs.saturating_add(1);
        let weight = 1.0 / f64::from(estimate.runs).min(RUN_SAMPLES_MAX);
        estimate.mean_us += (run.0 as f64 - estimate.mean_us) * weight;
    }

    /// Returns the cost that a team is charged for occupying `size` for `run`.
    pub(super) fn cost(&self, size: &Resources, run: Duration) -> u64 {
        let part = size.dominant_fraction(self.fleet.reference()).max(1);
        part.saturating_mul(run.0) / 1_000
    }

    /// Replaces the estimated charge of ended work by its real cost.
    pub(super) fn settle_cost(&mut self, team: Option<&Name>, size: &Resources, s: &Started) {
        if s.class != Class::Long {
            let short = &mut self.calls.short_slots;
            *short = short.saturating_sub(size.slots);
        }
        if self.cfg.policy.learn_run_times {
            let cost = self.cost(size, self.now.since(s.at));
            let team = team.cloned().unwrap_or_default();
            self.calls.queue.settle(&team, s.charged, cost);
        }
    }

    /// Returns whether long work may occupy `slots` more slots without using the headroom.
    pub(super) fn long_may_start(&self, slots: u64) -> bool {
        let all = self.fleet.slots();
        let long = all.used.saturating_sub(self.calls.short_slots);
        long + slots <= all.total - self.headroom(all.total)
    }

    pub(super) fn tick_scheduling(&mut self) {
        self.calls.queue.unpark_all();
        self.fleet.start_probes(self.now);
        self.sample_short_demand();
        if self.now >= self.scheduling.prune_due {
            self.scheduling.prune_due = self.now + PRUNE_INTERVAL;
            self.calls.queue.prune(self.now);
            let profiles = &self.ledger.config.profiles;
            let run_estimates = &mut self.scheduling.run_estimates;
            run_estimates.retain(|name, _| profiles.contains_key(name));
        }
    }

    fn sample_short_demand(&mut self) {
        let waiting =
            self.calls.queue.len_of(Class::Urgent) + self.calls.queue.len_of(Class::Quick);
        let demand = self.calls.short_slots as f64 + waiting as f64;
        let d = &mut self.scheduling;
        let error = demand - d.short_demand;
        let weight = if error > 0.0 {
            DEMAND_RISE_WEIGHT
        } else {
            DEMAND_FALL_WEIGHT
        };
        d.short_demand += error * weight;
    }

    /// Returns the number of slots that long work leaves to short requests.
    fn headroom(&self, total: u64) -> u64 {
        if !self.cfg.policy.headroom {
            return 0;
        }
        let wanted = self.scheduling.short_demand as u64;
        let floor = total.div_ceil(LONG_FLOOR_DIVISOR);
        wanted
            .max(total / HEADROOM_MIN_DIVISOR)
            .min(total - floor.min(total))
    }

    fn start_one(&mut self) -> bool {
        let all = self.fleet.slots();
        let long = all.used.saturating_sub(self.calls.short_slots);
        let long_first = self.cfg.policy.headroom && long < all.total / LONG_FLOOR_DIVISOR;
        let order = match long_first {
            true => [Class::Urgent, Class::Long, Class::Quick],
            false => [Class::Urgent, Class::Quick, Class::Long],
        };
        order.into_iter().any(|class| self.start_first(class))
    }

    /// Starts the first request of a class that its team's limit allows and that fits.
    fn start_first(&mut self, class: Class) -> bool {
        loop {
            let heads = self.calls.queue.heads(class).take(TEAMS_TRIED_MAX);
            let heads: Vec<(Name, Waiter)> = heads.map(|(t, k)| (t.clone(), k)).collect();
            let mut parked = false;
            for (team, waiter) in heads {
                let open = team.is_empty();
                if !open && !self.team_may_start(Some(&team)) {
                    self.calls.queue.park(&team);
                    parked = true;
                } else if self.start_waiter(waiter, class) {
                    return true;
                }
            }
            if !parked {
                return false;
            }
        }
    }

    fn start_waiter(&mut self, waiter: Waiter, class: Class) -> bool {
        match waiter {
            Waiter::Own(call) => self.start_here(call, class),
            Waiter::Peer(from, call) => self.grant(from, call, class),
        }
    }
}
