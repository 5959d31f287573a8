//! The checker, which records violations of invariants across all workers of a fleet.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::ident::TaskId;
use monsoonnotch_core::resource::Resources;

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// Requests and tasks on a worker use more resources than it has.
    OverCapacity {
        /// Name of the worker.
        vm: String,
        /// Resources in use on the worker.
        used: Resources,
    },
    /// A task runs more than once at the same time.
    ConcurrentRuns {
        /// The task, with the attempt of the later run.
        task: TaskId,
    },
    /// A request with an `X-Once` header ran more than once.
    Duplicated {
        /// ID of the request, from the header.
        id: String,
    },
    /// More requests and tasks of a team run than its limit allows.
    OverLimit {
        /// Name of the team.
        team: String,
        /// Number of its requests and tasks that run.
        running: u32,
    },
}

/// The state of a checker.
#[derive(Debug, Default)]
struct State {
    /// The runs of each task, by job and index: the attempt and the name of the worker.
    tasks: BTreeMap<(JobId, u32), Vec<(u32, String)>>,
    /// Number of runs of each request, by the ID in its `X-Once` header.
    run_counts: BTreeMap<String, u32>,
    /// Number of running requests and tasks of each team, and its limit.
    teams: BTreeMap<String, (u32, u32)>,
    violations: Vec<Violation>,
}

/// A record of what runs on the workers of a fleet, and of the violations found.
#[derive(Debug, Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl Checker {
    /// Returns all violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Returns how often the request with this ID in its `X-Once` header ran.
    pub fn run_count(&self, id: &str) -> u32 {
        self.state().run_counts.get(id).copied().unwrap_or(0)
    }

    /// Sets the limit of running requests and tasks for a team. Without it, none is checked.
    pub fn set_limit(&self, team: &str, limit: u32) {
        self.state().teams.entry(team.to_owned()).or_default().1 = limit;
    }

    /// Returns the number of running requests and tasks of a team.
    pub fn team_running(&self, team: &str) -> u32 {
        self.state().teams.get(team).map_or(0, |t| t.0)
    }

    pub(crate) fn record_violation(&self, violation: Violation) {
        self.state().violations.push(violation);
    }

    pub(crate) fn request_ran(&self, id: &str) {
        let mut state = self.state();
        let n = state.run_counts.entry(id.to_owned()).or_default();
        *n += 1;
        if *n > 1 {
            let id = id.to_owned();
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
        let runs = state.tasks.entry((task.job, task.index)).or_default();
        runs.push((task.attempt, vm.to_owned()));
        if runs.len() > 1 {
            state.violations.push(Violation::ConcurrentRuns { task });
        }
    }

    pub(crate) fn task_end(&self, task: TaskId, vm: &str) {
        let mut state = self.state();
        if let Some(runs) = state.tasks.get_mut(&(task.job, task.index)) {
            runs.retain(|(a, v)| (*a, v.as_str()) != (task.attempt, vm));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
