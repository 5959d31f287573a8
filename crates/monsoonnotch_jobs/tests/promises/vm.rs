//! A simulated VM that runs tasks under leases and refuses orders as a real VM does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use monsoonnotch_core::resource::Resources;
use monsoonnotch_jobs::event::PollError;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::event::StopAnswer;
use monsoonnotch_jobs::plan::TaskId;
use monsoonnotch_jobs::vm::FinishedRun;
use monsoonnotch_jobs::vm::PollAnswer;
use monsoonnotch_jobs::vm::Registration;
use monsoonnotch_jobs::vm::RunOutcome;
use monsoonnotch_jobs::vm::RunningRun;

/// What differs between VMs, or between sites.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traits {
    /// How far the clock runs slow, in thousandths.
    pub(crate) drift_milli: u64,
    /// Longest lease; a longer one is shortened to it.
    pub(crate) lease_max_ms: u64,
    /// Longest time for which a run goes on after it was stopped.
    pub(crate) stop_grace_ms: u64,
    /// Whether runs that are stopping are listed as running.
    pub(crate) lists_stopping: bool,
    /// Whether starts are refused that exceed the capacity.
    pub(crate) enforces_capacity: bool,
    /// Number of characters of the checkpoint that a run leaves.
    pub(crate) checkpoint_chars: usize,
}

impl Default for Traits {
    fn default() -> Self {
        Self {
            drift_milli: 0,
            lease_max_ms: u64::MAX,
            stop_grace_ms: 0,
            lists_stopping: true,
            enforces_capacity: false,
            checkpoint_chars: 0,
        }
    }
}

/// A running task.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) attempt: u64,
    pub(crate) allocation: Resources,
    pub(crate) ends_ms: u64,
    /// When the run ends because the other tasks of its gang have not started.
    pub(crate) gang_deadline_ms: Option<u64>,
    pub(crate) outcome: RunOutcome,
    /// When the run ends because it was stopped.
    pub(crate) stopped_ms: Option<u64>,
}

/// What a VM did with a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Began {
    /// No run started.
    No,
    /// A run started.
    Yes,
    /// A run started while an earlier run of the task was still stopping on the VM.
    BesideStopping,
}

/// A VM; all times are in milliseconds of the simulation's clock.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) registration: Registration,
    pub(crate) up: bool,
    pub(crate) token: u64,
    pub(crate) lease_ms: u64,
    pub(crate) running: BTreeMap<TaskId, Work>,
    pub(crate) finished: Vec<FinishedRun>,
    next_number: u64,
    /// The highest attempt of each task that was stopped or has ended on this VM.
    highest_attempts: BTreeMap<TaskId, u64>,
    boot_ms: u64,
    traits: Traits,
    /// Numbers of the finished runs whose lease has expired since.
    lapsed: BTreeSet<u64>,
    /// Successful runs that the VM was told to forget, and when they ended.
    acknowledged: Vec<(TaskId, u64)>,
    /// When each listed run ended.
    ended_ms: BTreeMap<u64, u64>,
    /// When a poison task that runs there crashes the VM, and which one.
    pub(crate) poisoned: Option<(u64, TaskId)>,
    /// Whether another VM is at its address.
    pub(crate) replaced: bool,
}

impl Vm {
    pub(crate) fn new(registration: Registration, traits: Traits) -> Self {
        Self {
            registration,
            up: true,
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next_number: 1,
            highest_attempts: BTreeMap::new(),
            boot_ms: 0,
            traits,
            lapsed: BTreeSet::new(),
            acknowledged: Vec::new(),
            ended_ms: BTreeMap::new(),
            poisoned: None,
            replaced: false,
        }
    }

    /// Returns the VM's own clock, which starts at 1,000 ms when the VM starts.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.boot_ms) * (1_000 - self.traits.drift_milli) / 1_000 + 1_000
    }

    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
    }

    pub(crate) fn restart(&mut self, now: u64) {
        let mut registration = self.registration.clone();
        registration.started_ms = now;
        *self = Self {
            boot_ms: now,
            ..Self::new(registration, self.traits)
        };
    }

    /// Ends the runs that are due to end; returns whether there were any.
    pub(crate) fn step(&mut self, now: u64) -> bool {
        let lease_expired = self.clock(now) > self.lease_ms;
        if lease_expired {
            self.lapsed.extend(self.finished.iter().map(|e| e.number));
        }
        let gang_deadline_passed = |w: &Work| w.gang_deadline_ms.is_some_and(|at| now >= at);
        let outcome_of = |w: &Work| match (lease_expired, gang_deadline_passed(w)) {
            (true, _) => Some(RunOutcome::LeaseExpired),
            (_, true) => Some(RunOutcome::GangIncomplete),
            _ if now >= w.ends_ms => Some(w.outcome),
            _ => (w.stopped_ms.is_some_and(|at| now >= at)).then_some(RunOutcome::Stopped),
        };
        let ending = self.running.iter();
        let ending: Vec<(TaskId, RunOutcome)> = ending
            .filter_map(|(t, w)| Some((*t, outcome_of(w)?)))
            .collect();
        for (task, outcome) in &ending {
            self.end(*task, *outcome, now);
        }
        !ending.is_empty()
    }

    fn end(&mut self, task: TaskId, outcome: RunOutcome, now: u64) {
        let Some(work) = self.running.remove(&task) else {
            return;
        };
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(work.attempt);
        self.ended_ms.insert(self.next_number, now);
        self.finished.push(FinishedRun {
            number: self.next_number,
            task,
            attempt: work.attempt,
            outcome,
            checkpoint: "c".repeat(self.traits.checkpoint_chars).into(),
        });
        self.next_number += 1;
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.running.values().for_each(|w| used.add(&w.allocation));
        used
    }

    pub(crate) fn traits(&self) -> Traits {
        self.traits
    }

    fn extend_lease(&mut self, until_ms: u64, now: u64) {
        let longest = self.clock(now).saturating_add(self.traits.lease_max_ms);
        self.lease_ms = self.lease_ms.max(until_ms.min(longest));
    }

    /// Executes a start order; returns the answer and whether a new run started.
    pub(crate) fn start(
        &mut self,
        task: TaskId,
        expires_ms: u64,
        token: u64,
        work: Work,
        now: u64,
    ) -> (StartAnswer, Began) {
        if token < self.token {
            return (StartAnswer::Fenced, Began::No);
        }
        self.token = token;
        if self.clock(now) > expires_ms {
            return (StartAnswer::Late, Began::No);
        }
        self.extend_lease(expires_ms, now);
        let highest = self.highest_attempts.get(&task).copied().unwrap_or(0);
        let mut began = Began::Yes;
        match self.running.get(&task) {
            Some(w) if w.attempt == work.attempt => return (StartAnswer::Running, Began::No),
            Some(w) if w.stopped_ms.is_some() && work.attempt > highest => {
                began = Began::BesideStopping;
            }
            Some(_) => return (StartAnswer::Old, Began::No),
            None => {}
        }
        if highest >= work.attempt {
            return (StartAnswer::Old, Began::No);
        }
        let mut used = self.used();
        used.add(&work.allocation);
        if self.traits.enforces_capacity && !self.registration.capacity.fits(&used) {
            return (StartAnswer::NoRoom, Began::No);
        }
        self.running.insert(task, work);
        (StartAnswer::Running, began)
    }

    /// Executes a stop order; the run goes on for `grace_ms`.
    pub(crate) fn stop(
        &mut self,
        task: TaskId,
        attempt: u64,
        token: u64,
        grace_ms: u64,
        now: u64,
    ) -> StopAnswer {
        if token < self.token {
            return StopAnswer::Fenced;
        }
        self.token = token;
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
        let run = self.running.get_mut(&task);
        if let Some(work) = run.filter(|w| w.attempt <= attempt) {
            if grace_ms == 0 {
                self.end(task, RunOutcome::Stopped, now);
            } else {
                work.stopped_ms.get_or_insert(now + grace_ms);
            }
        }
        StopAnswer::Accepted
    }

    /// Renews the lease and removes the finished runs that are acknowledged.
    pub(crate) fn renew_lease(
        &mut self,
        token: u64,
        acknowledged: u64,
        until: Option<u64>,
        now: u64,
    ) -> Result<(), PollError> {
        if token < self.token {
            return Err(PollError::Fenced);
        }
        self.token = token;
        self.extend_lease(until.unwrap_or(0), now);
        let forgotten = self.finished.extract_if(.., |e| e.number <= acknowledged);
        for run in forgotten {
            let counts = run.outcome == RunOutcome::Done && !self.lapsed.contains(&run.number);
            if counts {
                let ended = self.ended_ms.get(&run.number).copied().unwrap_or(0);
                self.acknowledged.push((run.task, ended));
            }
        }
        Ok(())
    }

    /// Returns the successful runs that the VM was told to forget since the last call, and
    /// when they ended. Runs whose lease has expired since do not count.
    pub(crate) fn take_acknowledged(&mut self) -> Vec<(TaskId, u64)> {
        std::mem::take(&mut self.acknowledged)
    }

    pub(crate) fn poll_answer(&self, now: u64) -> PollAnswer {
        let row = |(task, w): (&TaskId, &Work)| RunningRun {
            task: *task,
            attempt: w.attempt,
            checkpoint: "".into(),
            // A long-lived task is at work as soon as it runs.
            percent: match w.ends_ms == u64::MAX && w.gang_deadline_ms.is_none() {
                true => 100,
                false => 50,
            },
            latency_or_usage: 0,
        };
        let listed = |w: &Work| w.stopped_ms.is_none() || self.traits.lists_stopping;
        let listed = self.running.iter().filter(|(_, w)| listed(w));
        PollAnswer {
            started_ms: Some(self.registration.started_ms),
            clock_ms: self.clock(now),
            running: listed.map(row).collect(),
            finished: self.finished.clone(),
            more: false,
        }
    }
}
