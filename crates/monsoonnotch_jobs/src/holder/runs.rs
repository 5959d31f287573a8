//! Runs: started, confirmed, stopped, ended, and what is uncertain of them.

use super::*;
use crate::effect::StartOrder;
use crate::event::StartAnswer;
use crate::event::StopAnswer;
use crate::journal::Outcome;
use crate::vm::How;
use crate::vm::RunningRow;

/// Time after which a stop without an answer is sent again: above the timeout
/// of an order. Doubled with each further one, up to the longest.
const STOP_RETRY: Duration = Duration::from_millis(450);
/// Longest such time; leases lapse in a few seconds anyway.
const STOP_RETRY_MAX: Duration = Duration::from_millis(2_000);
/// Times that a start is sent before a look and a stop are to tell: a VM that
/// leaves some orders unanswered mostly answers the next.
const TRIES: u32 = 4;
/// How long the answer to each of them is waited for. A VM answers in 2 ms; a
/// holder short of processor takes longer to see it.
const PATIENCE: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(400),
];
/// Pause of a stage after a VM refused a start of it for want of room.
const ROOM_PAUSE: Duration = Duration::from_millis(120);
/// Runs to learn slowness from must take at least this long.
const LEARN_MIN: Duration = Duration::from_millis(50);
/// Weight of the newest run in a VM's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Weight of one look at a run at work, of which there are several.
const PROGRESS_WEIGHT: f64 = 0.15;
/// Time after which a run's progress says something of its VM.
const PROGRESS_AFTER: Duration = Duration::from_millis(250);
/// Largest slowness learnt from one run.
const SLOWNESS_MAX: f64 = 8.0;

/// Names a run; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey(u64);

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
    fills: bool,
    serves: bool,
    ticket: CompactString,
    /// Times its start was sent.
    tries: u32,
}

impl Holder {
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
            room: step.room(),
            need: step.need,
            account: job.account.clone(),
            fills: step.fills,
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
            vm.filling += if run.fills { run.need.cpu_milli } else { 0 };
            vm.serving += u32::from(run.serves);
        } else {
            usage.take(&run.need);
            vm.used.take(&run.room);
            vm.runs.remove(&key);
            vm.filling -= if run.fills { run.need.cpu_milli } else { 0 };
            vm.serving -= u32::from(run.serves);
        }
    }

    /// Starts a task on a VM.
    pub(super) fn start(
        &mut self,
        stage: StageKey,
        index: u32,
        vm: VmKey,
        attempt: u64,
        ticket: CompactString,
    ) {
        let task = self.stage(stage).and_then(|s| s.tasks.get(index as usize));
        let again = task.is_some_and(|t| t.placed);
        let key = self.add_run(stage, index, vm, attempt, State::Planned);
        self.runs.get_mut(&key).expect("just made").ticket = ticket;
        self.flush.place(stage.job, again.then_some(key));
        let job = self.jobs.get_mut(stage.job).expect("a stage has a job");
        let (id, taken_ms) = (job.id.0, job.taken_ms);
        if !std::mem::replace(&mut job.begun, true) {
            let waited = self.unix_ms.saturating_sub(taken_ms);
            self.note(id, "job begun", format!("waited_ms={waited}"));
        }
        if !again {
            self.send_planned(key);
        }
    }

    /// Starts a run whose place is stored, or need not be before.
    pub(super) fn send_planned(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.state == State::Planned {
            run.state = State::Starting;
            run.sent = now;
            self.send_start(key);
        }
    }

    /// Sends the start of a run, for the first time or again: a VM that has the
    /// run says so, and one that had it refuses.
    fn send_start(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let patience = PATIENCE[(run.tries as usize).min(PATIENCE.len() - 1)];
        run.tries += 1;
        let (stage, index, vm) = (run.stage, run.index, run.vm);
        let (attempt, ticket) = (run.attempt, run.ticket.clone());
        let task = self.task_id(stage, index);
        let Some(job) = self.jobs.get(stage.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let saved = job.stages[&(stage.occurrence, stage.step)].tasks[index as usize]
            .saved
            .clone();
        let valid = self.tuning.start_valid.as_millis();
        let row = self.vms.get_mut(vm).expect("a run has a VM");
        let expires_ms = row.clock_at(now).unwrap_or(0) + valid;
        row.lease_until_ms = row.lease_until_ms.max(expires_ms);
        let to = row.target();
        let order = StartOrder {
            task,
            attempt,
            spec,
            expires_ms,
            saved,
            ticket,
            patience,
        };
        self.fx.push(Effect::Start {
            run: key,
            to,
            order: Box::new(order),
        });
    }

    /// Takes in the answer to a start.
    pub(super) fn start_answered(&mut self, key: RunKey, answer: StartAnswer) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let (vm, stage, index) = (run.vm, run.stage, run.index);
        let starting = matches!(run.state, State::Starting | State::Unsure);
        let wanted = self.is_wanted(stage, index);
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match answer {
            StartAnswer::Running if starting => {
                run.state = State::Running { since: now };
                if run.tries > 1 {
                    self.muted.count(now);
                }
            }
            StartAnswer::Running => {}
            StartAnswer::Fenced => self.step_down(),
            StartAnswer::OtherIncarnation => self.other_incarnation(vm),
            StartAnswer::Unknown if starting && !wanted => self.stop_run(key, "not wanted"),
            StartAnswer::Unknown if starting && run.tries < TRIES => self.send_start(key),
            // A run there was not lower: this one, sent before, may have ended well.
            StartAnswer::Old | StartAnswer::Unknown if starting => {
                run.state = State::Unsure;
                run.sent = now;
                self.look_now(vm);
            }
            StartAnswer::Old | StartAnswer::Unknown => {}
            refused => self.start_refused(key, stage, index, vm, refused),
        }
    }

    /// Whether a task still has to run.
    fn is_wanted(&self, stage: StageKey, index: u32) -> bool {
        let ended = self.jobs.get(stage.job).is_none_or(job::Job::ended);
        let task = self.stage(stage).and_then(|s| s.tasks.get(index as usize));
        !ended && task.is_some_and(|t| !t.done)
    }

    fn start_refused(
        &mut self,
        key: RunKey,
        stage: StageKey,
        index: u32,
        vm: VmKey,
        answer: StartAnswer,
    ) {
        let now = self.now;
        let task = self.task_id(stage, index);
        let (id, clock) = match self.vms.get(vm) {
            Some(vm) => (vm.report.id.clone(), vm.clock),
            None => Default::default(),
        };
        let age = clock.map_or(0, |(at, _)| now.since(at).as_millis());
        let note = format!(
            "step={} index={index} vm={id} answer={answer:?} clock_age_ms={age}",
            stage.step
        );
        self.note(task.stage.job.0, "start refused", note);
        match answer {
            StartAnswer::Unapproved => self.ticket_refused(stage, vm),
            StartAnswer::Late => self.look_now(vm),
            StartAnswer::NoRoom => {
                if let Some(row) = self.vms.get_mut(vm) {
                    row.health.aside_until = row.health.aside_until.max(now + ROOM_PAUSE);
                }
                self.look_now(vm);
            }
            StartAnswer::Unhealthy | StartAnswer::NotSent | StartAnswer::Invalid => {
                self.judge(vm, false);
                if let Some(row) = self.vms.get_mut(vm) {
                    row.health.aside_until = row.health.aside_until.max(now + ROOM_PAUSE);
                }
            }
            _ => {}
        }
        self.run_gone(key, "start refused");
    }

    /// A run is listed by its VM.
    pub(super) fn run_confirmed(&mut self, key: RunKey, row: &RunningRow) {
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
        if !row.saved.is_empty() {
            self.keep_saved(stage, index, row.saved.clone());
        }
        if ran >= PROGRESS_AFTER && row.percent < 100 {
            self.learn_progress(stage, vm, ran, row.percent);
        }
    }

    /// Learns from a run at work how slow its VM is: one that crawls would say so
    /// by its end only much later.
    fn learn_progress(&mut self, key: StageKey, vm: VmKey, ran: Duration, percent: u64) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let step = job.step(key.step);
        if step.lasting || step.fills || step.estimate_ms == 0 {
            return;
        }
        let usual = self.learnt.get(&job.queue).map_or(1.0, |l| l.ratio);
        let done_ms = step.estimate_ms as f64 * usual * percent.max(1) as f64 / 100.0;
        let seen = (ran.as_millis() as f64 / done_ms.max(1.0)).min(SLOWNESS_MAX);
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.health.learn_slowness(seen, PROGRESS_WEIGHT);
        }
    }

    /// Takes over a run whose place a former holder had not stored yet.
    pub(super) fn run_adopted(&mut self, stage: StageKey, vm: VmKey, row: &RunningRow) -> RunKey {
        let state = State::Running { since: self.now };
        let key = self.add_run(stage, row.task.index, vm, row.attempt, state);
        self.flush.place(stage.job, None);
        if let Some(job) = self.jobs.get_mut(stage.job) {
            job.begun = true;
        }
        self.keep_saved(stage, row.task.index, row.saved.clone());
        key
    }

    /// Stops a run that no task of ours has.
    pub(super) fn stop_unknown(&mut self, vm: VmKey, row: &RunningRow) {
        let Some(to) = self.vms.get(vm).map(vms::Vm::target) else {
            return;
        };
        // Nothing waits for the answer: while it is listed it is stopped again.
        let run = RunKey(0);
        self.fx.push(Effect::Stop {
            run,
            to,
            task: row.task,
            attempt: row.attempt,
        });
    }

    /// A look that was sent at `sent` does not list a run.
    pub(super) fn run_not_seen(&mut self, key: RunKey, sent: Time) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        match run.state {
            State::Planned | State::Starting => {}
            State::Former => self.run_gone(key, "not started before"),
            State::Unsure if sent > run.sent => self.stop_run(key, "start unanswered"),
            State::Unsure => {}
            State::Running { since } if sent > since => self.run_gone(key, "not listed"),
            State::Running { .. } => {}
            State::Ending { voided, .. } => {
                if voided.is_some_and(|at| sent > at) {
                    self.run_gone(key, "stopped before it began");
                }
            }
        }
    }

    /// Stops a run, or keeps it from starting.
    pub(super) fn stop_run(&mut self, key: RunKey, why: &'static str) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let mut sent = 0;
        match run.state {
            State::Planned => return self.run_gone(key, "not sent"),
            // Its VM tells whether there is anything to stop.
            State::Former => return,
            _ => {}
        }
        if let State::Ending {
            voided,
            asked,
            times,
        } = run.state
        {
            if voided.is_some() || now < stop_again_at(asked, times) {
                return;
            }
            sent = times;
        }
        run.state = State::Ending {
            voided: None,
            asked: now,
            times: sent + 1,
        };
        let (vm, attempt, stage, index) = (run.vm, run.attempt, run.stage, run.index);
        let task = self.task_id(stage, index);
        let Some(vm) = self.vms.get(vm) else { return };
        let (to, id) = (vm.target(), vm.report.id.clone());
        self.fx.push(Effect::Stop {
            run: key,
            to,
            task,
            attempt,
        });
        let note = format!(
            "step={} index={index} attempt={attempt} vm={id} why={why:?}",
            stage.step
        );
        self.note(task.stage.job.0, "run stopped", note);
    }

    /// Takes in the answer to a stop.
    pub(super) fn stop_answered(&mut self, key: RunKey, answer: StopAnswer) {
        let now = self.now;
        if answer == StopAnswer::Fenced {
            return self.step_down();
        }
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let State::Ending { voided, .. } = &mut run.state else {
            return;
        };
        match answer {
            StopAnswer::Void => {
                *voided = Some(now);
                let vm = run.vm;
                self.look_now(vm);
            }
            StopAnswer::OtherIncarnation => {
                let vm = run.vm;
                self.other_incarnation(vm);
            }
            StopAnswer::Fenced | StopAnswer::Unknown => {}
        }
    }

    /// Sends stops again that were not answered.
    pub(super) fn scan_runs(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        let mut lapsed = Vec::new();
        for (&key, run) in &self.runs {
            let due = match run.state {
                State::Ending {
                    voided,
                    asked,
                    times,
                } => voided.is_none() && now >= stop_again_at(asked, times),
                State::Unsure => now >= run.sent + STOP_RETRY,
                State::Planned | State::Former | State::Starting | State::Running { .. } => false,
            };
            let vm = self.vms.get(run.vm);
            let unheard = vm.is_some_and(|v| !v.answered);
            if run.state == State::Former && unheard && now >= self.settle_at {
                lapsed.push(key);
            }
            // To a VM that does not answer nothing is sent; its leases lapse.
            let silent = vm.is_some_and(|v| v.looks.silent > 1);
            if due && !silent {
                again.push(key);
            }
        }
        for key in again {
            self.stop_run(key, "unanswered");
        }
        for key in lapsed {
            self.run_gone(key, "lease of a former holder lapsed");
        }
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
        self.task_again(stage, index, true, How::Lapsed);
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

    pub(super) fn keep_saved(&mut self, key: StageKey, index: u32, saved: CompactString) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let gang = job.step(key.step).gang;
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        if gang {
            // One member's progress is good for all, and all must go on from the same.
            stage.tasks.iter_mut().for_each(|t| t.saved = saved.clone());
        } else if let Some(task) = stage.tasks.get_mut(index as usize) {
            task.saved = saved;
        }
    }

    /// A task ended well.
    pub(super) fn task_done(&mut self, key: StageKey, index: u32, vm: VmKey, sent: Option<Time>) {
        self.judge(vm, true);
        if let Some(sent) = sent {
            self.learn_run(key, vm, sent);
            let took = self.now.since(sent).as_millis();
            if let Some(stage) = self.stage_mut(key) {
                stage.slowest_ms = stage.slowest_ms.max(took);
            }
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let (gang, lasting) = (job.step(key.step).gang, job.step(key.step).lasting);
        if lasting {
            return self.task_again(key, index, true, How::Done);
        }
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        let count = u32::try_from(stage.tasks.len()).unwrap_or(0);
        let ended: Vec<u32> = if gang {
            (0..count).collect()
        } else {
            vec![index]
        };
        let mut others = Vec::new();
        for i in ended {
            let task = &mut stage.tasks[i as usize];
            if !task.done {
                task.done = true;
                stage.done += 1;
                stage.waiting.remove(&i);
            }
            // A member of a gang ends with it; another run of a task is not needed.
            others.extend(task.run.filter(|_| !gang));
        }
        self.flush.dirty(key.job);
        for run in others {
            self.stop_run(run, "the task is done");
        }
        self.line_up(key);
        if let Some(stage) = self.stage(key).filter(|s| s.whole()) {
            let note = format!(
                "step={} occurrence={} ms={} slowest_ms={}",
                key.step,
                key.occurrence,
                self.now.since(stage.ready_at).as_millis(),
                stage.slowest_ms
            );
            let id = self.task_id(key, 0).stage.job.0;
            self.note(id, "step done", note);
            self.advance(key.job);
        }
    }

    fn learn_run(&mut self, key: StageKey, vm: VmKey, sent: Time) {
        let took = self.now.since(sent);
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let step = job.step(key.step);
        if took < LEARN_MIN || step.estimate_ms == 0 || step.lasting {
            return;
        }
        let queue = job.queue.clone();
        let ratio = took.as_millis() as f64 / step.estimate_ms as f64;
        let usual = self.learnt.get(&queue).map_or(1.0, |l| l.ratio);
        self.learn_time(&queue, ratio);
        if let Some(vm) = self.vms.get_mut(vm) {
            let seen = ratio / usual.max(0.05);
            vm.health
                .learn_slowness(seen.min(SLOWNESS_MAX), SLOWNESS_WEIGHT);
        }
    }

    /// A task failed, by its own fault or its VM's.
    pub(super) fn task_failed(&mut self, key: StageKey, index: u32, vm: VmKey, attempt: u64) {
        self.judge(vm, false);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let id = job.id.0;
        let step = job.step(key.step);
        let (gang, lasting) = (step.gang, step.lasting);
        let queue = job.queue.clone();
        let Some(stage) = job.stages.get_mut(&(key.occurrence, key.step)) else {
            return;
        };
        let Some(task) = stage.tasks.get_mut(index as usize) else {
            return;
        };
        if !task.failed.insert(attempt) {
            return;
        }
        stage.gang_failed.insert(attempt);
        let fails = if gang {
            stage.gang_failed.len()
        } else {
            task.failed.len()
        };
        let done = task.done;
        let most = self.queue(&queue).map_or(u32::MAX, |q| q.attempts_max);
        let note = format!("step={} index={index} fails={fails} most={most}", key.step);
        self.note(id, "run failed", note);
        if lasting {
            return self.task_again(key, index, true, How::Failed);
        }
        self.flush.dirty(key.job);
        if !done && most > 0 && fails >= most as usize {
            return self.end_job(key.job, Outcome::Failed);
        }
        self.task_again(key, index, true, How::Failed);
    }

    /// A task without a run waits for its next.
    pub(super) fn task_again(&mut self, key: StageKey, index: u32, ours: bool, how: How) {
        let gang = self
            .jobs
            .get(key.job)
            .is_some_and(|j| j.step(key.step).gang);
        if gang && ours {
            self.gang_broken(key, how);
        }
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        let Some(task) = stage.tasks.get(index as usize) else {
            return;
        };
        if task.run.is_none() && !task.done {
            stage.waiting.insert(index);
        }
        self.line_up(key);
    }
}

/// When a stop that was not answered is sent again.
fn stop_again_at(asked: Time, times: u32) -> Time {
    let factor = 1 << times.saturating_sub(1).min(4);
    asked + STOP_RETRY.times(factor).min(STOP_RETRY_MAX)
}
