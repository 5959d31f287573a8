//! Which waiting request starts next, and how much room is kept for short ones.
//!
//! Urgent requests go first, then quick ones, then long ones. Long ones leave
//! the room that quick ones were seen to need, and have a floor of their own
//! that quick ones leave to them.

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

/// Priority from which a request is urgent.
const URGENT: u8 = 9;
/// Longest mean run time of a quick request.
const QUICK_MAX: Duration = Duration::from_secs(1);
/// Run time of a request of which nothing is known.
const RUN_UNKNOWN: Duration = Duration::from_millis(100);
/// Weight of one more run in a learned mean, as a divisor.
const RUNS_MEMORY: f64 = 64.0;
/// Slots kept for quick requests at least, as one in this many: one on every second worker of eight.
pub(super) const HEADROOM_MIN_PART: u64 = 16;
/// Slots left to long work at least, as one in this many.
const LONG_FLOOR_PART: u64 = 5;
/// Weight of a sample above the mean of what quick requests want.
const GROW: f64 = 0.02;
/// Weight of a sample below it; smaller, so that the mean stays above the median.
const SHRINK: f64 = 0.01;
/// Teams whose first request is tried before a class is left.
const TEAMS_TRIED: usize = 8;
/// Pause between looks at what may be forgotten.
const TIDY_PAUSE: Duration = Duration::from_secs(10);

/// What was seen of a profile's requests.
#[derive(Debug, Default, Clone, Copy)]
struct Learned {
    runs: u32,
    mean_us: f64,
}

/// What the decisions rest on.
#[derive(Debug, Default)]
pub(super) struct Deciding {
    learned: BTreeMap<Name, Learned>,
    /// Decaying mean of the slots that urgent and quick requests want.
    want: f64,
    tidy_due: Time,
}

impl Control {
    /// Starts what waits, in fair order, as far as there is room.
    pub(super) fn start_waiting_calls(&mut self) {
        if self.calls.queue.is_empty() || !self.is_certain() {
            return;
        }
        while self.fleet.free_slots() > 0 && self.start_one() {}
    }

    /// The turn that a request waits for.
    pub(super) fn class_of(&self, priority: u8, run: Duration) -> Class {
        match priority {
            URGENT.. => Class::Urgent,
            _ if run <= QUICK_MAX => Class::Quick,
            _ => Class::Long,
        }
    }

    /// How long requests of a profile run, as far as is known.
    pub(super) fn run_of(&self, name: &str, profile: &Profile) -> Duration {
        match self.deciding.learned.get(name) {
            Some(l) if self.cfg.policy.learn_run_times => Duration(l.mean_us as u64),
            _ if profile.run_ms > 0 => Duration::from_millis(profile.run_ms),
            _ => RUN_UNKNOWN,
        }
    }

    /// A request ran; what it took corrects what was expected.
    pub(super) fn learn_run(&mut self, profile: &Name, run: Duration) {
        let l = self.deciding.learned.entry(profile.clone()).or_default();
        l.runs = l.runs.saturating_add(1);
        let weight = 1.0 / f64::from(l.runs).min(RUNS_MEMORY);
        l.mean_us += (run.0 as f64 - l.mean_us) * weight;
    }

    /// What a run of a size costs its team.
    pub(super) fn cost(&self, size: &Resources, run: Duration) -> u64 {
        let part = size.dominant_fraction(self.fleet.reference()).max(1);
        part.saturating_mul(run.0) / 1_000
    }

    /// Corrects what a team was charged for something that ended.
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

    /// Whether work that occupies its slots for long may take `slots` more.
    pub(super) fn long_may_start(&self, slots: u64) -> bool {
        let all = self.fleet.slots();
        let long = all.used.saturating_sub(self.calls.short_slots);
        long + slots <= all.total - self.headroom(all.total)
    }

    pub(super) fn tick_deciding(&mut self) {
        self.calls.queue.unpark_all();
        self.fleet.start_probes(self.now);
        self.sample_headroom();
        if self.now >= self.deciding.tidy_due {
            self.deciding.tidy_due = self.now + TIDY_PAUSE;
            self.calls.queue.prune(self.now);
            let profiles = &self.ledger.config.profiles;
            let learned = &mut self.deciding.learned;
            learned.retain(|name, _| profiles.contains_key(name));
        }
    }

    fn sample_headroom(&mut self) {
        let waiting =
            self.calls.queue.len_of(Class::Urgent) + self.calls.queue.len_of(Class::Quick);
        let want = self.calls.short_slots as f64 + waiting as f64;
        let d = &mut self.deciding;
        let off = want - d.want;
        let weight = if off > 0.0 { GROW } else { SHRINK };
        d.want += off * weight;
    }

    /// Slots that long work leaves to short requests.
    fn headroom(&self, total: u64) -> u64 {
        if !self.cfg.policy.headroom {
            return 0;
        }
        let wanted = self.deciding.want as u64;
        let floor = total.div_ceil(LONG_FLOOR_PART);
        wanted
            .max(total / HEADROOM_MIN_PART)
            .min(total - floor.min(total))
    }

    fn start_one(&mut self) -> bool {
        let all = self.fleet.slots();
        let long = all.used.saturating_sub(self.calls.short_slots);
        let owed = self.cfg.policy.headroom && long < all.total / LONG_FLOOR_PART;
        let order = match owed {
            true => [Class::Urgent, Class::Long, Class::Quick],
            false => [Class::Urgent, Class::Quick, Class::Long],
        };
        order.into_iter().any(|class| self.start_of(class))
    }

    /// Starts the first request of a class that may start and fits.
    fn start_of(&mut self, class: Class) -> bool {
        loop {
            let heads = self.calls.queue.heads(class).take(TEAMS_TRIED);
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
