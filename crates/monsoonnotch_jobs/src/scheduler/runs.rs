//! Runs: created, confirmed, adopted and removed.

use super::parts::PartKey;
use super::*;
use crate::vm::RunOutcome;
use crate::vm::RunningRun;

/// Age of a run from which its progress counts for the slowness of its VM.
const PROGRESS_AGE_MIN: Duration = Duration::from_millis(250);

/// Key of a run; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey(pub(super) u64);

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Its task was placed before, so its start is sent only once its placement is stored.
    Planned,
    /// A predecessor may have started it; the next poll of its VM shows whether it runs.
    Inherited,
    /// Its start was sent.
    Starting,
    /// Its start was sent several times without a conclusive answer; the next poll of its
    /// VM shows whether it runs.
    Uncertain,
    /// Its VM confirmed that it runs.
    Running {
        /// When the VM confirmed it.
        since: Time,
    },
    /// It is being stopped or prevented from starting.
    Stopping {
        /// When the stop was answered; `None` until then.
        answered_at: Option<Time>,
        /// When the stop was last sent.
        sent_at: Time,
        /// Start of the incarnation that it was last sent to, in Unix milliseconds.
        vm_started_ms: u64,
        /// Number of stops that were sent.
        sends: u32,
    },
}

/// One attempt of a task on one VM.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) stage: StageKey,
    pub(super) index: u32,
    pub(super) vm: VmKey,
    pub(super) attempt: u64,
    pub(super) state: State,
    /// When the run was created, its start was first sent, or it became uncertain,
    /// whichever was last.
    pub(super) sent_at: Time,
    /// Capacity that it occupies on its VM.
    allocation: Resources,
    /// Resources that count against its account's limit.
    need: Resources,
    pub(super) account: CompactString,
    backfill: bool,
    serving: bool,
    pub(super) ticket: CompactString,
    /// Number of times its start was sent.
    pub(super) sends: u32,
    /// When its start was last sent.
    pub(super) last_sent_at: Time,
    /// Whether its VM confirmed that it began.
    pub(super) begun: bool,
    /// Whether its VM last listed it as started up and at work.
    pub(super) at_work: bool,
}

impl Run {
    /// Whether some send of its start may not have been executed yet. An answer does not show
    /// which of several sends it belongs to.
    pub(super) fn has_unanswered_send(&self) -> bool {
        self.sends > 1 || (self.sends == 1 && !self.begun)
    }
}

impl Scheduler {
    /// Creates a run and adds it to the usage of its VM and account.
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
            sent_at: self.now,
            allocation: step.allocation(),
            need: step.need,
            account: job.account.clone(),
            backfill: step.backfill,
            serving: step.target_ms > 0,
            ticket: CompactString::default(),
            sends: 0,
            last_sent_at: Time::default(),
            begun: false,
            at_work: false,
        };
        self.next_run += 1;
        let key = RunKey(self.next_run);
        self.update_usage(&run, key, true);
        self.runs.insert(key, run);
        let now = self.now;
        let stage_state = self.stage_mut(stage).expect("a run has a stage");
        stage_state.waiting.remove(&index);
        stage_state.last_run_at = now;
        let task = &mut stage_state.tasks[index as usize];
        task.run = Some(key);
        task.last_vm = Some(vm);
        task.attempt = task.attempt.max(attempt);
        self.update_ready_queue(stage);
        self.watch_suspect(key);
        key
    }

    /// Adds a run to the usage of its VM and account, or subtracts it.
    fn update_usage(&mut self, run: &Run, key: RunKey, added: bool) {
        let usage = self.usage.entry(run.account.clone()).or_default();
        let vm = self.vms.get_mut(run.vm).expect("a run has a VM");
        if added {
            usage.add(&run.need);
            vm.used.add(&run.allocation);
            vm.runs.insert(key);
            vm.backfill_cpu_milli += if run.backfill { run.need.cpu_milli } else { 0 };
            vm.serving += u32::from(run.serving);
        } else {
            usage.subtract(&run.need);
            vm.used.subtract(&run.allocation);
            vm.runs.remove(&key);
            vm.backfill_cpu_milli -= if run.backfill { run.need.cpu_milli } else { 0 };
            vm.serving -= u32::from(run.serving);
        }
    }

    /// Confirms a run that its VM lists as running.
    pub(super) fn confirm_run(&mut self, key: RunKey, running: &RunningRun) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let inherited = run.state == State::Inherited;
        run.begun = true;
        run.at_work = running.percent >= 100;
        if matches!(
            run.state,
            State::Starting | State::Uncertain | State::Inherited
        ) {
            run.state = State::Running { since: now };
        }
        let (stage, index, vm) = (run.stage, run.index, run.vm);
        let ran = now.since(run.sent_at);
        if inherited && !self.is_needed(stage, index) {
            return self.stop_run(key, "the job is over");
        }
        if !running.checkpoint.is_empty() {
            self.set_checkpoint(stage, index, running.checkpoint.clone());
        }
        if ran >= PROGRESS_AGE_MIN && running.percent < 100 {
            self.record_progress(stage, vm, ran, running.percent);
        }
    }

    /// Adopts a running task whose placement a predecessor had not stored.
    pub(super) fn adopt_run(&mut self, stage: StageKey, vm: VmKey, running: &RunningRun) -> RunKey {
        let state = State::Running { since: self.now };
        let key = self.add_run(stage, running.task.index, vm, running.attempt, state);
        if let Some(run) = self.runs.get(&key) {
            let detail = self.describe_run(run);
            self.log(running.task.stage.job.0, "run adopted", detail);
        }
        self.add_placement(stage, running.task.index, None);
        if let Some(job) = self.jobs.get_mut(stage.job) {
            job.begun = true;
        }
        self.set_checkpoint(stage, running.task.index, running.checkpoint.clone());
        key
    }

    /// Removes a run that certainly neither runs nor will run, but was not listed as
    /// finished.
    pub(super) fn lose_run(&mut self, key: RunKey, why: &'static str) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let (stage, index) = (run.stage, run.index);
        let detail = format!("{} why={why:?}", self.describe_run(run));
        self.remove_run(key);
        let task = self.task_id(stage, index);
        self.warn(task.stage.job.0, "run lost", detail);
        self.requeue_task(stage, index, true, RunOutcome::LeaseExpired);
    }

    /// Returns what log lines say of a run: its task, attempt, VM with the start of the
    /// incarnation, state and number of sends.
    pub(super) fn describe_run(&self, run: &Run) -> String {
        let vm = self.vms.get(run.vm).map(|v| &v.registration);
        let (vm, started_ms) = vm.map_or(("", 0), |r| (r.id.as_str(), r.started_ms));
        let state = match run.state {
            State::Planned => "planned",
            State::Inherited => "inherited",
            State::Starting => "starting",
            State::Uncertain => "uncertain",
            State::Running { .. } => "running",
            State::Stopping { .. } => "stopping",
        };
        format!(
            "step={} occurrence={} index={} attempt={} vm={vm} vm_started_ms={started_ms} state={state} sends={}",
            run.stage.step, run.stage.occurrence, run.index, run.attempt, run.sends
        )
    }

    /// Requires a run to be confirmed again after a restart of its VM at an unknown time.
    ///
    /// The run was either lost with the previous incarnation or started by the new one;
    /// the next poll shows which. The new one does not refuse what the previous one was
    /// told to stop, so the stop is sent again.
    pub(super) fn mark_unconfirmed(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match &mut run.state {
            // An earlier send may still reach the new incarnation.
            State::Running { .. } if run.sends > 1 => {
                run.state = State::Uncertain;
                run.sent_at = now;
            }
            State::Running { since } => *since = now,
            State::Uncertain => run.sent_at = now,
            State::Stopping { answered_at, .. } => *answered_at = None,
            State::Planned | State::Inherited | State::Starting => {}
        }
    }

    /// Removes a run; its task waits again unless it is done.
    pub(super) fn remove_run(&mut self, key: RunKey) {
        let Some(run) = self.runs.remove(&key) else {
            return;
        };
        self.update_usage(&run, key, false);
        self.answer_times.window.closed(key);
        self.poison.remove_run(key);
        if let Some(stage) = self.stage_mut(run.stage) {
            let task = &mut stage.tasks[run.index as usize];
            task.run = None;
            let waits = !task.done;
            if waits {
                stage.waiting.insert(run.index);
            }
            self.update_ready_queue(run.stage);
            // Otherwise a successor would wait for a VM that this leader has given up.
            if waits && self.jobs.get(run.stage.job).is_some_and(|j| !j.ended()) {
                self.add_placement(run.stage, run.index, None);
            }
        }
        // The records that an ended job needs for its remaining runs can be removed now.
        let drained = |j: &job::Job| j.outcome.is_some() && j.runs().next().is_none();
        if self.jobs.get(run.stage.job).is_some_and(drained) {
            self.flush.mark_dirty(PartKey::new(run.stage.job, 0));
        }
        self.placement_needed = true;
    }
}
