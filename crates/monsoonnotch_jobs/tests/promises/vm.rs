//! A simulated VM that runs tasks under leases and refuses orders as a real VM does.

use std::collections::BTreeMap;

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

/// A running task.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) attempt: u64,
    pub(crate) allocation: Resources,
    pub(crate) ends_ms: u64,
    /// When the run ends because the other tasks of its gang have not started.
    pub(crate) gang_deadline_ms: Option<u64>,
    pub(crate) outcome: RunOutcome,
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
}

impl Vm {
    pub(crate) fn new(registration: Registration) -> Self {
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
        }
    }

    /// Returns the VM's own clock, which starts at 1,000 ms when the VM starts.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        now - self.boot_ms + 1_000
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
            ..Self::new(registration)
        };
    }

    /// Ends the runs that are due to end; returns whether there were any.
    pub(crate) fn step(&mut self, now: u64) -> bool {
        let lease_expired = self.clock(now) > self.lease_ms;
        let gang_deadline_passed = |w: &Work| w.gang_deadline_ms.is_some_and(|at| now >= at);
        let outcome_of = |w: &Work| match (lease_expired, gang_deadline_passed(w)) {
            (true, _) => Some(RunOutcome::LeaseExpired),
            (_, true) => Some(RunOutcome::GangIncomplete),
            _ => (now >= w.ends_ms).then_some(w.outcome),
        };
        let ending = self.running.iter();
        let ending: Vec<(TaskId, RunOutcome)> = ending
            .filter_map(|(t, w)| Some((*t, outcome_of(w)?)))
            .collect();
        for (task, outcome) in &ending {
            self.end(*task, *outcome);
        }
        !ending.is_empty()
    }

    fn end(&mut self, task: TaskId, outcome: RunOutcome) {
        let Some(work) = self.running.remove(&task) else {
            return;
        };
        self.highest_attempts.insert(task, work.attempt);
        self.finished.push(FinishedRun {
            number: self.next_number,
            task,
            attempt: work.attempt,
            outcome,
            checkpoint: "".into(),
        });
        self.next_number += 1;
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.running.values().for_each(|w| used.add(&w.allocation));
        used
    }

    /// Executes a start order; returns the answer and whether a new run started.
    pub(crate) fn start(
        &mut self,
        task: TaskId,
        expires_ms: u64,
        token: u64,
        work: Work,
        now: u64,
    ) -> (StartAnswer, bool) {
        if token < self.token {
            return (StartAnswer::Fenced, false);
        }
        self.token = token;
        if self.clock(now) > expires_ms {
            return (StartAnswer::Late, false);
        }
        self.lease_ms = self.lease_ms.max(expires_ms);
        match self.running.get(&task) {
            Some(w) if w.attempt == work.attempt => return (StartAnswer::Running, false),
            Some(_) => return (StartAnswer::Old, false),
            None => {}
        }
        if self
            .highest_attempts
            .get(&task)
            .is_some_and(|&a| a >= work.attempt)
        {
            return (StartAnswer::Old, false);
        }
        self.running.insert(task, work);
        (StartAnswer::Running, true)
    }

    pub(crate) fn stop(&mut self, task: TaskId, attempt: u64, token: u64) -> StopAnswer {
        if token < self.token {
            return StopAnswer::Fenced;
        }
        self.token = token;
        let highest = self.highest_attempts.entry(task).or_default();
        *highest = (*highest).max(attempt);
        if self
            .running
            .get(&task)
            .is_some_and(|w| w.attempt <= attempt)
        {
            self.end(task, RunOutcome::Stopped);
        }
        StopAnswer::Accepted
    }

    /// Renews the lease and removes the finished runs that are acknowledged.
    pub(crate) fn renew_lease(
        &mut self,
        token: u64,
        acknowledged: u64,
        until: Option<u64>,
    ) -> Result<(), PollError> {
        if token < self.token {
            return Err(PollError::Fenced);
        }
        self.token = token;
        self.lease_ms = self.lease_ms.max(until.unwrap_or(0));
        self.finished.retain(|e| e.number > acknowledged);
        Ok(())
    }

    pub(crate) fn poll_answer(&self, now: u64) -> PollAnswer {
        let row = |(task, w): (&TaskId, &Work)| RunningRun {
            task: *task,
            attempt: w.attempt,
            checkpoint: "".into(),
            percent: 50,
            latency_or_usage: 0,
        };
        PollAnswer {
            started_ms: Some(self.registration.started_ms),
            clock_ms: self.clock(now),
            running: self.running.iter().map(row).collect(),
            finished: self.finished.clone(),
            more: false,
        }
    }
}
