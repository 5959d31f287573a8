//! What the workers of one fleet saw together.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use monsoonnotch_core::ident::JobId;
use monsoonnotch_core::ident::TaskId;
use monsoonnotch_core::resource::Resources;

/// Something that must never happen.
#[derive(Debug, Clone, PartialEq)]
pub enum Breach {
    /// A worker has more in progress than it can hold.
    OverCapacity {
        /// The worker.
        vm: String,
        /// What is in use there.
        used: Resources,
    },
    /// A task runs in two places at once.
    TwoPlaces {
        /// The task; the attempt is that of the second place.
        task: TaskId,
    },
    /// A request that may not be repeated ran twice.
    Doubled {
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
struct Seen {
    /// Where each task runs: its attempt and the worker.
    tasks: BTreeMap<(JobId, u32), Vec<(u32, String)>>,
    /// How often each request that names itself in `X-Once` ran.
    once: BTreeMap<String, u32>,
    /// How much of each team runs, and its limit.
    teams: BTreeMap<String, (u32, u32)>,
    breaches: Vec<Breach>,
}

/// The common memory of the workers of one fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    seen: Mutex<Seen>,
}

impl Fleet {
    /// All breaches so far.
    pub fn breaches(&self) -> Vec<Breach> {
        self.seen().breaches.clone()
    }

    /// How often the request that names itself so ran.
    pub fn ran(&self, once: &str) -> u32 {
        self.seen().once.get(once).copied().unwrap_or(0)
    }

    /// Sets the limit against which a team's running work is checked.
    pub fn set_limit(&self, team: &str, limit: u32) {
        self.seen().teams.entry(team.to_owned()).or_default().1 = limit;
    }

    /// How much of a team runs.
    pub fn running(&self, team: &str) -> u32 {
        self.seen().teams.get(team).map_or(0, |t| t.0)
    }

    pub(crate) fn breach(&self, b: Breach) {
        self.seen().breaches.push(b);
    }

    pub(crate) fn request_ran(&self, once: &str) {
        let mut seen = self.seen();
        let n = seen.once.entry(once.to_owned()).or_default();
        *n += 1;
        if *n > 1 {
            let id = once.to_owned();
            seen.breaches.push(Breach::Doubled { id });
        }
    }

    pub(crate) fn team_start(&self, team: &str) {
        let mut seen = self.seen();
        let t = seen.teams.entry(team.to_owned()).or_insert((0, u32::MAX));
        t.0 += 1;
        let (running, limit) = *t;
        if running > limit {
            let team = team.to_owned();
            seen.breaches.push(Breach::OverLimit { team, running });
        }
    }

    pub(crate) fn team_end(&self, team: &str) {
        if let Some(t) = self.seen().teams.get_mut(team) {
            t.0 -= 1;
        }
    }

    pub(crate) fn task_start(&self, task: TaskId, vm: &str) {
        let mut seen = self.seen();
        let places = seen.tasks.entry((task.job, task.index)).or_default();
        places.push((task.attempt, vm.to_owned()));
        if places.len() > 1 {
            seen.breaches.push(Breach::TwoPlaces { task });
        }
    }

    pub(crate) fn task_end(&self, task: TaskId, vm: &str) {
        let mut seen = self.seen();
        if let Some(places) = seen.tasks.get_mut(&(task.job, task.index)) {
            places.retain(|(a, v)| (*a, v.as_str()) != (task.attempt, vm));
        }
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}
