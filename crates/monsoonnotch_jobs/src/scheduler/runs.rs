//! Runs: made, confirmed, and given up.

use super::*;
use crate::vm::RunOutcome;
use crate::vm::RunningRun;

/// Time after which a run's progress says something of its VM.
const PROGRESS_AFTER: Duration = Duration::from_millis(250);

/// Names a run; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey(pub(super) u64);

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Its task was sent elsewhere before: its start goes out once its place is stored.
    Planned,
    /// A former holder may have started it; its VM will tell.
    Former,
    /// Its start is on its way.
    Starting,
    /// Its start was sent again and again without an answer; a look will tell.
    Unsure,
    /// It runs.
    Running {
        /// When that was learnt.
        since: Time,
    },
    /// It is being stopped, or kept from starting.
    Ending {
        /// When the stop was answered.
        voided: Option<Time>,
        /// When the stop was last sent.
        asked: Time,
        /// Stops that were sent.
        times: u32,
    },
}

/// One attempt at one task on one VM.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) stage: StageKey,
    pub(super) index: u32,
    pub(super) vm: VmKey,
    pub(super) attempt: u64,
    pub(super) state: State,
    /// When its start was sent.
    pub(super) sent: Time,
    /// Room that it takes on its VM.
    room: Resources,
    /// What counts against its account's limit.
    need: Resources,
    account: CompactString,
    backfill: bool,
    serves: bool,
    pub(super) ticket: CompactString,
    /// Times its start was sent.
    pub(super) tries: u32,
}

impl Scheduler {
    /// Makes a run and accounts for it.
    pub(super) fn add_run(
        &mut self,
        stage: StageKey,
        index: u32,
        vm: VmKey,
        attempt: u64,
        state: State,
    ) -> RunKey {
        let job = self.jobs.get(stage.job).expect("a stage has a job");
        let step = job.step(stage.step);
        let run = Run {
            stage,
            index,
            vm,
            attempt,
            state,
            sent: self.now,
            room: step.allocation(),
            need: step.need,
            account: job.account.clone(),
            backfill: step.backfill,
            serves: step.target_ms > 0,
            ticket: CompactString::default(),
            tries: 0,
        };
        self.next_run += 1;
        let key = RunKey(self.next_run);
        self.account(&run, key, true);
        self.runs.insert(key, run);
        let now = self.now;
        let stage_row = self.stage_mut(stage).expect("a run has a stage");
        stage_row.waiting.remove(&index);
        stage_row.started_at = now;
        let task = &mut stage_row.tasks[index as usize];
        task.run = Some(key);
        task.placed = true;
        task.attempt = task.attempt.max(attempt);
        self.line_up(stage);
        key
    }

    /// Counts a run in, or out, where it takes something.
    fn account(&mut self, run: &Run, key: RunKey, enters: bool) {
        let usage = self.usage.entry(run.account.clone()).or_default();
        let vm = self.vms.get_mut(run.vm).expect("a run has a VM");
        if enters {
            usage.add(&run.need);
            vm.used.add(&run.room);
            vm.runs.insert(key);
            vm.filling += if run.backfill { run.need.cpu_milli } else { 0 };
            vm.serving += u32::from(run.serves);
        } else {
            usage.subtract(&run.need);
            vm.used.subtract(&run.room);
            vm.runs.remove(&key);
            vm.filling -= if run.backfill { run.need.cpu_milli } else { 0 };
            vm.serving -= u32::from(run.serves);
        }
    }

    /// A run is listed by its VM.
    pub(super) fn run_confirmed(&mut self, key: RunKey, row: &RunningRun) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let former = run.state == State::Former;
        if matches!(run.state, State::Starting | State::Unsure | State::Former) {
            run.state = State::Running { since: now };
        }
        let (stage, index, vm) = (run.stage, run.index, run.vm);
        let ran = now.since(run.sent);
        if former && !self.is_wanted(stage, index) {
            return self.stop_run(key, "the job is over");
        }
        if !row.checkpoint.is_empty() {
            self.keep_saved(stage, index, row.checkpoint.clone());
        }
        if ran >= PROGRESS_AFTER && row.percent < 100 {
            self.learn_progress(stage, vm, ran, row.percent);
        }
    }

    /// Takes over a run whose place a former holder had not stored yet.
    pub(super) fn run_adopted(&mut self, stage: StageKey, vm: VmKey, row: &RunningRun) -> RunKey {
        let state = State::Running { since: self.now };
        let key = self.add_run(stage, row.task.index, vm, row.attempt, state);
        self.flush.place(stage.job, None);
        if let Some(job) = self.jobs.get_mut(stage.job) {
            job.begun = true;
        }
        self.keep_saved(stage, row.task.index, row.checkpoint.clone());
        key
    }

    /// A run is certain to be over without an end that says how.
    pub(super) fn run_gone(&mut self, key: RunKey, why: &'static str) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let (stage, index, attempt) = (run.stage, run.index, run.attempt);
        let vm = self.vms.get(run.vm).map(|v| v.report.id.clone());
        self.forget_run(key);
        let task = self.task_id(stage, index);
        let note = format!(
            "step={} index={index} attempt={attempt} vm={} why={why:?}",
            stage.step,
            vm.unwrap_or_default()
        );
        self.note(task.stage.job.0, "run gone", note);
        self.task_again(stage, index, true, RunOutcome::LeaseExpired);
    }

    /// The VM of a run began anew, at a time not known: the run was lost with the
    /// former incarnation, or was started by the new one. The next look tells.
    pub(super) fn doubt_run(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if let State::Running { since } = &mut run.state {
            *since = now;
        }
    }

    /// Takes a run out of all accounts.
    pub(super) fn forget_run(&mut self, key: RunKey) {
        let Some(run) = self.runs.remove(&key) else {
            return;
        };
        self.account(&run, key, false);
        if let Some(stage) = self.stage_mut(run.stage) {
            let task = &mut stage.tasks[run.index as usize];
            task.run = None;
            if !task.done {
                stage.waiting.insert(run.index);
            }
            self.line_up(run.stage);
        }
        // What is kept for what still runs of an ended job can be dropped then.
        let over = |j: &job::Job| j.outcome.is_some() && j.runs().next().is_none();
        if self.jobs.get(run.stage.job).is_some_and(over) {
            self.flush.dirty(run.stage.job);
        }
        self.changed = true;
    }
}
