//! A VM that runs tasks under leases and checks what it is told to start.

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

/// A task at work.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) attempt: u64,
    pub(crate) room: Resources,
    pub(crate) ends_ms: u64,
    /// When it ends because the others of its gang have not come.
    pub(crate) alone_ms: Option<u64>,
    pub(crate) how: RunOutcome,
}

/// A VM; all times are milliseconds of the world.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) report: Registration,
    pub(crate) up: bool,
    pub(crate) token: u64,
    pub(crate) lease_ms: u64,
    pub(crate) running: BTreeMap<TaskId, Work>,
    pub(crate) ended: Vec<FinishedRun>,
    next_end: u64,
    /// The highest attempt of a task that was stopped or ended here.
    past: BTreeMap<TaskId, u64>,
    began_ms: u64,
}

impl Vm {
    pub(crate) fn new(report: Registration) -> Self {
        Self {
            report,
            up: true,
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            past: BTreeMap::new(),
            began_ms: 0,
        }
    }

    /// The VM's own clock, which starts at its birth.
    pub(crate) fn clock(&self, now: u64) -> u64 {
        now - self.began_ms + 1_000
    }

    pub(crate) fn crash(&mut self) {
        self.up = false;
        self.running.clear();
    }

    pub(crate) fn reborn(&mut self, now: u64) {
        let mut report = self.report.clone();
        report.started_ms = now;
        *self = Self {
            began_ms: now,
            ..Self::new(report)
        };
    }

    /// Ends what is over; says whether anything ended.
    pub(crate) fn step(&mut self, now: u64) -> bool {
        let lapsed = self.clock(now) > self.lease_ms;
        let alone = |w: &Work| w.alone_ms.is_some_and(|at| now >= at);
        let how = |w: &Work| match (lapsed, alone(w)) {
            (true, _) => Some(RunOutcome::LeaseExpired),
            (_, true) => Some(RunOutcome::GangIncomplete),
            _ => (now >= w.ends_ms).then_some(w.how),
        };
        let over = self.running.iter();
        let over: Vec<(TaskId, RunOutcome)> =
            over.filter_map(|(t, w)| Some((*t, how(w)?))).collect();
        for (task, how) in &over {
            self.end(*task, *how);
        }
        !over.is_empty()
    }

    fn end(&mut self, task: TaskId, how: RunOutcome) {
        let Some(work) = self.running.remove(&task) else {
            return;
        };
        self.past.insert(task, work.attempt);
        self.ended.push(FinishedRun {
            number: self.next_end,
            task,
            attempt: work.attempt,
            outcome: how,
            checkpoint: "".into(),
        });
        self.next_end += 1;
    }

    pub(crate) fn used(&self) -> Resources {
        let mut used = Resources::default();
        self.running.values().for_each(|w| used.add(&w.room));
        used
    }

    /// Takes a start; `None` when it did nothing new.
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
        if self.past.get(&task).is_some_and(|&a| a >= work.attempt) {
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
        let past = self.past.entry(task).or_default();
        *past = (*past).max(attempt);
        if self
            .running
            .get(&task)
            .is_some_and(|w| w.attempt <= attempt)
        {
            self.end(task, RunOutcome::Stopped);
        }
        StopAnswer::Accepted
    }

    /// Renews the lease and forgets ends that were seen.
    pub(crate) fn hold(
        &mut self,
        token: u64,
        seen: u64,
        until: Option<u64>,
    ) -> Result<(), PollError> {
        if token < self.token {
            return Err(PollError::Fenced);
        }
        self.token = token;
        self.lease_ms = self.lease_ms.max(until.unwrap_or(0));
        self.ended.retain(|e| e.number > seen);
        Ok(())
    }

    pub(crate) fn look(&self, now: u64) -> PollAnswer {
        let row = |(task, w): (&TaskId, &Work)| RunningRun {
            task: *task,
            attempt: w.attempt,
            checkpoint: "".into(),
            percent: 50,
            latency_or_usage: 0,
        };
        PollAnswer {
            started_ms: Some(self.report.started_ms),
            clock_ms: self.clock(now),
            running: self.running.iter().map(row).collect(),
            finished: self.ended.clone(),
            more: false,
        }
    }
}
