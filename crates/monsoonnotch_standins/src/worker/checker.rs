//! What the workers of one fleet saw together.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::ident::TaskId;
use monsoonnotch_core::resource::Resources;

/// Something that must never happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// A worker has more in progress than it can hold.
    OverCapacity {
        /// The worker.
        vm: String,
        /// What is in use there.
        used: Resources,
    },
    /// A task runs in two places at once.
    ConcurrentRuns {
        /// The task; the attempt is that of the second place.
        task: TaskId,
    },
    /// A request that may not be repeated ran twice.
    Duplicated {
        /// Its identity, as the caller gave it.
        id: String,
    },
    /// A team has more running than its upper limit.
    OverLimit {
        /// The team.
        team: String,
        /// What it has running.
        running: u32,
    },
}

/// What all workers share.
#[derive(Debug, Default)]
struct State {
    /// Where each task runs: its attempt and the worker.
    tasks: BTreeMap<(JobId, u32), Vec<(u32, String)>>,
    /// How often each request that names itself in `X-Once` ran.
    once: BTreeMap<String, u32>,
    /// How much of each team runs, and its limit.
    teams: BTreeMap<String, (u32, u32)>,
    violations: Vec<Violation>,
}

/// The common memory of the workers of one fleet.
#[derive(Debug, Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl Checker {
    /// All breaches so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// How often the request that names itself so ran.
    pub fn run_count(&self, once: &str) -> u32 {
        self.state().once.get(once).copied().unwrap_or(0)
    }

    /// Sets the limit against which a team's running work is checked.
    pub fn set_limit(&self, team: &str, limit: u32) {
        self.state().teams.entry(team.to_owned()).or_default().1 = limit;
    }

    /// How much of a team runs.
    pub fn team_running(&self, team: &str) -> u32 {
        self.state().teams.get(team).map_or(0, |t| t.0)
    }

    pub(crate) fn violation(&self, b: Violation) {
        self.state().violations.push(b);
    }

    pub(crate) fn request_ran(&self, once: &str) {
        let mut state = self.state();
        let n = state.once.entry(once.to_owned()).or_default();
        *n += 1;
        if *n > 1 {
            let id = once.to_owned();
            state.violations.push(Violation::Duplicated { id });
        }
    }

    pub(crate) fn team_start(&self, team: &str) {
        let mut state = self.state();
        let t = state.teams.entry(team.to_owned()).or_insert((0, u32::MAX));
        t.0 += 1;
        let (running, limit) = *t;
        if running > limit {
            let team = team.to_owned();
            state
                .violations
                .push(Violation::OverLimit { team, running });
        }
    }

    pub(crate) fn team_end(&self, team: &str) {
        if let Some(t) = self.state().teams.get_mut(team) {
            t.0 -= 1;
        }
    }

    pub(crate) fn task_start(&self, task: TaskId, vm: &str) {
        let mut state = self.state();
        let places = state.tasks.entry((task.job, task.index)).or_default();
        places.push((task.attempt, vm.to_owned()));
        if places.len() > 1 {
            state.violations.push(Violation::ConcurrentRuns { task });
        }
    }

    pub(crate) fn task_end(&self, task: TaskId, vm: &str) {
        let mut state = self.state();
        if let Some(places) = state.tasks.get_mut(&(task.job, task.index)) {
            places.retain(|(a, v)| (*a, v.as_str()) != (task.attempt, vm));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
