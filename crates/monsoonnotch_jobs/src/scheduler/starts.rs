//! Starts of runs: sent, sent again, answered and refused.

use super::runs::State;
use super::*;
use crate::effect::StartOrder;
use crate::event::StartAnswer;

/// Number of times a start is sent before the run counts as uncertain. A VM that leaves
/// some orders unanswered usually answers the next one.
const START_SENDS_MAX: u32 = 4;
/// Timeouts of the first, second and further sends of a start. A VM answers in 2 ms, but
/// a leader that is short of CPU processes the answer later.
const START_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(400),
];
/// Time for which a VM gets no starts after it refused one for lack of capacity, or
/// because it is unhealthy.
const CAPACITY_PAUSE: Duration = Duration::from_millis(120);

impl Scheduler {
    /// Creates a run for a task on a VM, and sends its start unless the placement must be
    /// stored first.
    pub(super) fn start(
        &mut self,
        stage: StageKey,
        index: u32,
        vm: VmKey,
        attempt: u64,
        ticket: CompactString,
    ) {
        let task = self.stage(stage).and_then(|s| s.tasks.get(index as usize));
        let again = task.is_some_and(job::Task::was_placed);
        let key = self.add_run(stage, index, vm, attempt, State::Planned);
        self.runs
            .get_mut(&key)
            .expect("the run was just added")
            .ticket = ticket;
        self.add_placement(stage, index, again.then_some(key));
        let job = self.jobs.get_mut(stage.job).expect("a stage has a job");
        let (id, accepted_ms) = (job.id.0, job.accepted_ms);
        if !std::mem::replace(&mut job.begun, true) {
            let waited = self.unix_ms.saturating_sub(accepted_ms);
            self.log(id, "job started", format!("waited_ms={waited}"));
        }
        if !again {
            self.send_planned(key);
        }
    }

    /// Sends the start of a planned run, once its placement is stored or need not be. The VM may
    /// have shrunk since it was placed.
    pub(super) fn send_planned(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.state != State::Planned {
            return;
        }
        if self.vms.get(run.vm).is_some_and(vms::Vm::is_overcommitted) {
            return self.lose_run(key, "its VM shrank");
        }
        if self.vms.get(run.vm).is_some_and(|v| v.evacuated) {
            return self.lose_run(key, "its failure domain is evacuated");
        }
        run.state = State::Starting;
        run.sent_at = now;
        self.send_start(key);
    }

    /// Sends the start of a run, for the first time or again.
    ///
    /// This is idempotent: a VM that has the run confirms it, and one that had it refuses.
    fn send_start(&mut self, key: RunKey) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let timeout = START_TIMEOUTS[(run.sends as usize).min(START_TIMEOUTS.len() - 1)];
        let timeout = self.answer_times.timeout(timeout);
        let first = run.sends == 0;
        run.sends += 1;
        run.last_sent_at = now;
        let (stage, index, vm) = (run.stage, run.index, run.vm);
        let (attempt, ticket) = (run.attempt, run.ticket.clone());
        let task = self.task_id(stage, index);
        let Some(job) = self.jobs.get(stage.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let checkpoint = job.stages[&(stage.occurrence, stage.step)].tasks[index as usize]
            .checkpoint
            .clone();
        let valid = self.tuning.start_valid.as_millis();
        let row = self.vms.get_mut(vm).expect("a run has a VM");
        let expires_ms = row.clock_at(now).unwrap_or(0).saturating_add(valid);
        row.add_lease(now, expires_ms);
        row.unanswered_starts.insert(key, now);
        if first {
            self.answer_times.window.sent(key, now);
        }
        let to = row.target();
        let order = StartOrder {
            task,
            attempt,
            spec,
            expires_ms,
            checkpoint,
            ticket,
            timeout,
        };
        self.effects.push(Effect::Start {
            run: key,
            to,
            order: Box::new(order),
        });
    }

    /// Applies the answer to a start.
    pub(super) fn start_answered(&mut self, key: RunKey, answer: StartAnswer) {
        let now = self.now;
        if answer == StartAnswer::Fenced {
            self.order_fenced(self.runs.get(&key).map(|run| run.vm));
            if self.stopped {
                return;
            }
        }
        let Some(run) = self.runs.get_mut(&key) else {
            if answer == StartAnswer::Running {
                self.start_confirmed_late(key);
            }
            return;
        };
        run.begun |= answer == StartAnswer::Running;
        let (vm, stage, index) = (run.vm, run.stage, run.index);
        let starting = matches!(run.state, State::Starting | State::Uncertain);
        let (only_send, sent_at) = (run.sends == 1, run.sent_at);
        let answered = !matches!(
            answer,
            StartAnswer::Unknown | StartAnswer::NotSent | StartAnswer::OtherIncarnation
        );
        // The answer to one of several sends does not show which one was answered.
        let is_responsive = self.vms.get(vm).is_some_and(|v| v.polls.unanswered == 0);
        if only_send && (answered || is_responsive && answer == StartAnswer::Unknown) {
            self.answer_times.record(now.since(sent_at), now);
        }
        if answered {
            self.answer_times.window.closed(key);
        }
        if answered && let Some(row) = self.vms.get_mut(vm) {
            row.unanswered_starts.remove(&key);
            row.alive_at = row.alive_at.max(Some(sent_at).filter(|_| only_send));
        }
        let needed = self.is_needed(stage, index);
        let evacuated = self.is_evacuated(vm);
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        match answer {
            StartAnswer::Running if starting => {
                run.state = State::Running { since: now };
                if run.sends > 1 {
                    self.unanswered_orders.record(now);
                }
            }
            StartAnswer::Running => {}
            // The poll that follows shows which incarnation is at the VM's address, and
            // whether it has the run.
            StartAnswer::OtherIncarnation if starting => self.mark_uncertain(key, answer),
            StartAnswer::OtherIncarnation => self.poll_now(vm),
            StartAnswer::Unknown if starting && !needed => self.stop_run(key, "no longer needed"),
            StartAnswer::Unknown if starting && evacuated => {
                self.stop_run(key, "its failure domain is evacuated");
            }
            StartAnswer::Unknown if starting && run.sends < START_SENDS_MAX => self.send_start(key),
            // The VM had this attempt or a higher one before, so the run may have been
            // started by an earlier send and may even have succeeded.
            StartAnswer::Old | StartAnswer::Unknown if starting => self.mark_uncertain(key, answer),
            StartAnswer::Old | StartAnswer::Unknown => {}
            refused => self.start_refused(key, refused),
        }
    }

    /// Marks a run as uncertain until the next poll of its VM shows whether it runs.
    fn mark_uncertain(&mut self, key: RunKey, answer: StartAnswer) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        run.state = State::Uncertain;
        run.sent_at = now;
        let (vm, stage, index) = (run.vm, run.stage, run.index);
        if let Some(run) = self.runs.get(&key) {
            let detail = format!("{} answer={answer:?}", self.describe_run(run));
            let id = self.task_id(stage, index).stage.job.0;
            self.warn(id, "run uncertain", detail);
        }
        self.poll_now(vm);
    }

    /// Whether a task still has to run.
    pub(super) fn is_needed(&self, stage: StageKey, index: u32) -> bool {
        let ended = self.jobs.get(stage.job).is_none_or(job::Job::ended);
        let task = self.stage(stage).and_then(|s| s.tasks.get(index as usize));
        !ended && task.is_some_and(|t| !t.done)
    }

    /// Applies a refusal of one send of a start.
    ///
    /// A refusal says that this send has no effect. Earlier sends had no answer and may
    /// still take effect, so that the run ends only if there was none.
    fn start_refused(&mut self, key: RunKey, answer: StartAnswer) {
        let now = self.now;
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let (vm, stage, index) = (run.vm, run.stage, run.index);
        let (state, only_send) = (run.state, run.sends == 1);
        let task = self.task_id(stage, index);
        let clock = self.vms.get(vm).and_then(|v| v.clock);
        let age = clock.map_or(0, |(at, _)| now.since(at).as_millis());
        let detail = format!(
            "{} answer={answer:?} clock_age_ms={age}",
            self.describe_run(run)
        );
        self.warn(task.stage.job.0, "start refused", detail);
        match answer {
            StartAnswer::Unapproved => self.invalidate_ticket(stage, vm),
            StartAnswer::Late => self.poll_now(vm),
            StartAnswer::NoRoom => {
                if let Some(row) = self.vms.get_mut(vm) {
                    row.health.quarantined_until =
                        row.health.quarantined_until.max(now + CAPACITY_PAUSE);
                }
                self.poll_now(vm);
            }
            StartAnswer::Unhealthy | StartAnswer::NotSent | StartAnswer::Invalid => {
                self.record_health(vm, false);
                if let Some(row) = self.vms.get_mut(vm) {
                    row.health.quarantined_until =
                        row.health.quarantined_until.max(now + CAPACITY_PAUSE);
                }
            }
            _ => {}
        }
        match state {
            State::Running { .. } => {}
            _ if only_send => self.lose_run(key, "start refused"),
            State::Starting | State::Uncertain => self.mark_uncertain(key, answer),
            State::Stopping { .. } | State::Planned | State::Inherited => {}
        }
    }
}
