//! The invariants that are checked whenever a task starts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::journal::KeyedRecord;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::StageId;
use monsoonnotch_jobs::plan::TaskId;

use crate::simulation::Simulation;
use crate::vm::Began;

/// Time after which the success of a run counts as known once its VM has listed it without a
/// fault near, in milliseconds.
const LISTED_SLACK_MS: u64 = 100;

/// Time after the request of an evacuation from which nothing starts in the domain, in milliseconds.
const EVACUATION_MS: u64 = 5_000;

impl Simulation {
    /// Checks the invariants that hold whenever a task starts.
    pub(crate) fn check(&mut self, task: TaskId, id: &str, began: Began) {
        let at = format!("task {task:?} on {id} at {} ms", self.now);
        assert!(began != Began::BesideStopping, "runs twice on one VM: {at}");
        let vm = &self.vms[id];
        let used = vm.used();
        let capacity = vm.registration.capacity;
        assert!(
            capacity.fits(&used),
            "over capacity: {used:?} of {capacity:?}; {at}"
        );
        let placements = self
            .vms
            .values()
            .filter(|v| v.up && v.running.contains_key(&task));
        assert_eq!(placements.count(), 1, "runs twice: {at}");
        let submission = &self.jobs[&task.stage.job];
        let step = &submission.plan.steps[usize::from(task.stage.step)];
        if step.per_vm_max > 0 {
            let here = vm.running.keys().filter(|t| t.stage == task.stage).count();
            assert!(
                here <= step.per_vm_max as usize,
                "too many tasks of a stage on one VM: {at}"
            );
        }
        for &d in &step.after {
            let before = &submission.plan.steps[usize::from(d)];
            let is_done = |&index: &u32| {
                let mut other = task;
                other.stage.step = d;
                other.index = index;
                self.done.contains(&other)
            };
            let count = (0..before.count).filter(is_done).count();
            // The success of one task of a gang counts as that of the whole gang.
            let enough = if before.gang {
                1
            } else {
                before.count as usize
            };
            assert!(count >= enough, "started before its dependencies: {at}");
        }
        self.check_evacuation(id, &at);
        self.check_limit(task, &at);
        let stored_done = self.stored_done(&task);
        assert!(!stored_done, "started after its success was stored: {at}");
        assert!(
            !self.acknowledged.contains(&task),
            "started after its success was acknowledged: {at}"
        );
        let listed = self.link.listed_ms.get(&task);
        assert!(
            listed.is_none_or(|&ms| self.now <= ms + LISTED_SLACK_MS),
            "started after a VM had listed its success at {listed:?} ms: {at}"
        );
        self.started_ms.insert(task, self.now);
    }

    /// Checks that no task has started after a success that a VM is now told to forget.
    pub(crate) fn check_acknowledged(&mut self, ended: Vec<(TaskId, u64)>, id: &str) {
        for (task, ended_ms) in ended {
            let submission = &self.jobs[&task.stage.job];
            if submission.plan.steps[usize::from(task.stage.step)].long_lived {
                continue;
            }
            let started_ms = self.started_ms.get(&task).copied().unwrap_or(0);
            assert!(
                started_ms <= ended_ms,
                "started again at {started_ms} ms after its success at {ended_ms} ms, which {id} \
                 may forget since {} ms: {task:?}",
                self.now
            );
            self.acknowledged.insert(task);
        }
    }

    fn check_evacuation(&self, id: &str, at: &str) {
        let domain = &self.vms[id].registration.domain;
        let since = self.evacuated.get(domain);
        assert!(
            since.is_none_or(|&ms| self.now <= ms + EVACUATION_MS),
            "started in a domain that is evacuated since {since:?} ms: {at}"
        );
    }

    /// Checks that an account uses no more than its limit. If it used less than half of the limit, one task
    /// may exceed it; of a gang, which starts all at once, the last one.
    fn check_limit(&self, task: TaskId, at: &str) {
        let submission = &self.jobs[&task.stage.job];
        let limit = self.limit_in_force(&submission.account);
        if limit == 0 {
            return;
        }
        let step = &submission.plan.steps[usize::from(task.stage.step)];
        let running = self.vms.values().filter(|v| v.up).flat_map(|v| &v.running);
        let own: Vec<_> = running
            .filter(|(t, _)| self.jobs[&t.stage.job].account == submission.account)
            .collect();
        let used: u64 = own.iter().map(|(_, w)| w.allocation.cpu_milli).sum();
        let is_beside = |t: &TaskId| *t != task && !(step.gang && t.stage == task.stage);
        let beside = own.iter().filter(|(t, _)| is_beside(t));
        let beside: u64 = beside.map(|(_, w)| w.allocation.cpu_milli).sum();
        let is_one_more = used - step.need.cpu_milli <= limit && beside * 2 < limit;
        assert!(
            used <= limit || is_one_more,
            "over the limit: {used} of {limit}; {at}"
        );
    }

    /// Returns whether the success of a task is stored in the journal.
    fn stored_done(&mut self, task: &TaskId) -> bool {
        for record in &self.log[self.stored_successes.read_to..] {
            self.stored_successes.read(record);
        }
        self.stored_successes.contain(task)
    }
}

/// The successes that the journal has.
#[derive(Debug, Default)]
pub(crate) struct StoredSuccesses {
    read_to: usize,
    jobs: BTreeSet<JobId>,
    /// Jobs, and the first of their occurrences that are not complete.
    complete_to: BTreeMap<JobId, u32>,
    stages: BTreeSet<StageId>,
    tasks: BTreeSet<TaskId>,
}

impl StoredSuccesses {
    fn read(&mut self, record: &KeyedRecord) {
        self.read_to += 1;
        let Some(journal::Entry::Progressed(job, progress)) = journal::decode_entry(record) else {
            return;
        };
        if progress.outcome == Some(journal::Outcome::Completed) {
            self.jobs.insert(job);
        }
        let complete_to = self.complete_to.entry(job).or_default();
        *complete_to = progress.complete_to.max(*complete_to);
        for p in progress.stages {
            let stage = StageId {
                job,
                occurrence: p.occurrence,
                step: p.step,
            };
            if p.complete {
                self.stages.insert(stage);
            }
            let tasks = p.done.into_iter().map(|index| TaskId { stage, index });
            self.tasks.extend(tasks);
        }
    }

    fn contain(&self, task: &TaskId) -> bool {
        let job = &task.stage.job;
        let complete_to = self.complete_to.get(job).copied().unwrap_or(0);
        self.jobs.contains(job)
            || task.stage.occurrence < complete_to
            || self.stages.contains(&task.stage)
            || self.tasks.contains(task)
    }
}
