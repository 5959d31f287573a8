//! Poison tasks of the simulation: each crashes the VM that starts it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::format_compact;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::TaskId;

use crate::simulation::Msg;
use crate::simulation::START_UNIX_MS;
use crate::simulation::Simulation;
use crate::vm::Traits;
use crate::vm::Vm;

/// Time after its start at which a poison task crashes its VM, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;
/// How long a crashed VM is down, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time from the return of a VM until the members have its registration, in milliseconds.
const REGISTERED_AFTER_MS: u64 = 300;
/// Crashes under a task from which its further starts are counted.
const CRASHES_MAX: usize = 3;
/// Starts of a task after its crashes that break the rule.
const FURTHER_STARTS_MAX: u32 = 3;

/// A VM that a poison task crashed.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    pub(crate) at: u64,
    pub(crate) task: TaskId,
    pub(crate) domain: String,
    /// Whether the task had crashed a VM before.
    pub(crate) again: bool,
}

/// The poison tasks and what they did.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    pub(crate) tasks: BTreeSet<TaskId>,
    /// Whether a crashed VM comes back under the same id.
    pub(crate) same_id: bool,
    pub(crate) crashes: Vec<Crash>,
    /// Number of VMs that crashed while they ran the task, for whatever reason.
    pub(crate) under: BTreeMap<TaskId, usize>,
    /// Starts of each poison task after [`CRASHES_MAX`] crashes.
    further_starts: BTreeMap<TaskId, u32>,
    returned: u64,
}

impl Poison {
    /// Number of VMs that a task crashed.
    pub(crate) fn crashes_of(&self, task: &TaskId) -> usize {
        self.crashes.iter().filter(|c| c.task == *task).count()
    }
}

impl Simulation {
    /// Notes the start of a task; a poison task crashes its VM soon after.
    pub(crate) fn poison_started(&mut self, task: TaskId, vm: &str) {
        if !self.poison.tasks.contains(&task) {
            return;
        }
        if self.poison.crashes_of(&task) >= CRASHES_MAX {
            let starts = self.poison.further_starts.entry(task).or_default();
            *starts += 1;
            assert!(
                *starts < FURTHER_STARTS_MAX,
                "{task:?} is started again and again"
            );
        }
        let at = self.now + CRASH_AFTER_MS;
        let row = self.vms.get_mut(vm).expect("the VM has started a task");
        row.poisoned.get_or_insert((at, task));
    }

    /// Crashes the VMs whose poison task is due.
    pub(crate) fn crash_poisoned_vms(&mut self) {
        let now = self.now;
        let due = |v: &Vm| v.poisoned.filter(|(at, _)| v.up && now >= *at);
        let due = self
            .vms
            .iter()
            .filter_map(|(id, v)| Some((id.clone(), due(v)?.1)));
        for (id, task) in due.collect::<Vec<_>>() {
            println!("{now} {task:?} crashes {id}");
            let crash = Crash {
                at: now,
                task,
                domain: self.vms[&id].registration.domain.to_string(),
                again: self.poison.crashes_of(&task) > 0,
            };
            self.poison.crashes.push(crash);
            self.crash_for_a_while(&id);
        }
    }

    /// Crashes a VM, which is back after [`DOWN_MS`].
    pub(crate) fn crash_for_a_while(&mut self, id: &str) {
        let running: Vec<TaskId> = self.vms[id].running.keys().copied().collect();
        for task in running {
            *self.poison.under.entry(task).or_default() += 1;
        }
        self.crash(id);
        self.post(DOWN_MS, Msg::Return(id.to_owned()));
    }

    /// Brings a crashed VM back at its address.
    pub(crate) fn return_vm(&mut self, id: &str) {
        if self.poison.same_id {
            return self.restart(id);
        }
        self.poison.returned += 1;
        let old = self.vms.get_mut(id).expect("a crashed VM is known");
        old.replaced = true;
        let mut registration = old.registration.clone();
        registration.id = format_compact!("v{}", 900 + self.poison.returned);
        registration.started_ms = START_UNIX_MS + self.now;
        let new = registration.id.to_string();
        let mut vm = Vm::new(registration.clone(), Traits::default());
        vm.restart(self.now);
        vm.registration = registration.clone();
        self.vms.insert(new, vm);
        let last = self.members.len() - 1;
        let entries = vec![
            (id.into(), None),
            (registration.id.clone(), Some(registration)),
        ];
        self.post(REGISTERED_AFTER_MS, Msg::Event(last, Event::Vms(entries)));
    }

    /// Checks that only jobs with a task under which two VMs crashed have failed.
    pub(crate) fn check_failed_jobs(&self) {
        let failed =
            |id: &&JobId| self.outcome(**id) == Some(monsoonnotch_jobs::journal::Outcome::Failed);
        for id in self.jobs.keys().filter(failed) {
            let under = self.poison.under.iter();
            let under = under.filter(|(t, _)| t.stage.job == *id).map(|(_, n)| *n);
            assert!(under.max() >= Some(2), "{id} is shown as failed");
        }
    }
}
