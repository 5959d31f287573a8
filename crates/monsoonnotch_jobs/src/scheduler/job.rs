//! Jobs, their stages and tasks, and how stages become ready and jobs end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::approvals::Approvals;
use super::failures::Failures;
use super::parts::Division;
use super::parts::PartKey;
use super::*;
use crate::journal::CRASHES_KEPT_MAX;
use crate::journal::Outcome;
use crate::journal::StageProgress;
use crate::plan::PLAN_TASKS_MAX;
use crate::plan::STEPS_MAX;
use crate::plan::StageId;
use crate::site::Queue;

/// A stage that waits this long is logged, and again each time this period passes; so is a VM that
/// is awaited.
pub(super) const WAIT_LOG_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum number of occurrences of a job that are open at a time.
const OCCURRENCES_OPEN_MAX: u32 = 64;
/// Memory of an entry of an ordered map or set beside its content, in bytes.
const NODE_BYTES: usize = 32;
/// Number of ordered maps and sets that know a task or its run.
const TASK_NODES: usize = 4;
/// Weight of the newest sample in the moving averages of [`QueueStats`]; shares of approved
/// VMs count twice.
const STATS_WEIGHT: f64 = 0.1;

/// Key of a job in the scheduler's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(u32);

impl Key for JobKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds fewer than 2^32 items"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Key of a stage inside the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u16,
}

/// Position of a stage in the ready queue, compared field by field; lower ranks go first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Priority of the queue, plus a part if the job is too late to be useful.
    pub(super) class: u32,
    /// Whether the account submits more than its entitled share.
    pub(super) over_share: bool,
    /// Whether the job will miss its objective; jobs that can still meet it go first.
    pub(super) misses_objective: bool,
    /// Position among the others, see [`order::position_ms`](crate::order::position_ms).
    pub(super) position_ms: u64,
}

impl Rank {
    /// Whether the queue has the highest priority and the work is still useful, even if
    /// its account submits more than its entitled share.
    pub(super) fn is_urgent(&self) -> bool {
        self.class == placement::URGENT_PRIORITY
    }
}

/// Moving averages over the runs and approval requests of a queue.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct QueueStats {
    /// Run time divided by the estimate.
    pub(super) runtime_ratio: f64,
    /// Share of the requested VMs that were approved, from 0 to 1.
    pub(super) approved_share: f64,
}

/// A job that is open, or has ended and is still kept for queries.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) queue: CompactString,
    pub(super) account: CompactString,
    pub(super) pool: CompactString,
    pub(super) spec: Arc<str>,
    pub(super) plan: Plan,
    pub(super) accepted_ms: u64,
    /// Whether it was submitted in this term, so that no predecessor can have started it.
    pub(super) new_in_term: bool,
    /// Upper bound of the attempt numbers that a predecessor can have used.
    pub(super) attempt_base: u64,
    /// Whether its account was above its entitled share when the job was accepted.
    pub(super) over_share: bool,
    pub(super) cancelled: bool,
    pub(super) outcome: Option<Outcome>,
    /// The outcome as stored in the journal; callers see only this one.
    pub(super) stored_outcome: Option<Outcome>,
    /// Whether any of its tasks has been started.
    pub(super) begun: bool,
    pub(super) ended_at: Option<Time>,
    /// The stages of the occurrences that are open.
    pub(super) stages: BTreeMap<(u32, u16), Stage>,
    /// The first occurrence that is not open yet.
    pub(super) next_occurrence: u32,
    /// Occurrences before this one are complete; they have no stages any more.
    pub(super) complete_to: u32,
    /// How its tasks are divided into the parts that share a record.
    pub(super) division: Division,
    /// Parts but for part 0 that may have records.
    pub(super) stored_parts: BTreeSet<u64>,
    /// Memory that the job counts for, in bytes.
    pub(super) memory: u64,
}

/// One step of one occurrence of a job.
#[derive(Debug, Default)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    /// Tasks without a run that have not succeeded.
    pub(super) waiting: BTreeSet<u32>,
    /// Number of tasks that have succeeded.
    pub(super) done: u32,
    /// Whether all steps that it depends on are complete.
    pub(super) ready: bool,
    pub(super) ready_at: Time,
    pub(super) rank: Rank,
    /// When its rank changes, because its job can no longer meet its objective or be of use, in
    /// Unix milliseconds.
    pub(super) rank_until_ms: u64,
    pub(super) approvals: Approvals,
    /// Failed attempts of any of its tasks; a gang fails as a unit.
    pub(super) gang_failed: Failures,
    /// No task of the stage starts before this time.
    pub(super) not_before: Time,
    /// When its last run was created.
    pub(super) last_run_at: Time,
    /// Longest duration of its successful runs, in milliseconds.
    pub(super) slowest_ms: u64,
    /// The reason why its waiting tasks could not start in the last placement pass.
    pub(super) blocked: Blocked,
    /// When the wait was last logged.
    pub(super) logged_at: Time,
}

/// The reason why waiting tasks cannot start. Written to the log through `Debug`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Blocked {
    /// No reason was found.
    #[default]
    No,
    /// A predecessor may have started them on a VM that has not answered a poll.
    Unsettled,
    /// The account is at its limit.
    Limit,
    /// The account is above its share of the pool, and others wait.
    Share,
    /// The remaining capacity is reserved for the highest priority.
    Reserve,
    /// No eligible VM has enough free capacity.
    Room,
    /// A broken gang still has runs, or its restart pause is not over.
    Gang,
    /// Too many starts have no answer yet, because this member is saturated.
    Saturated,
    /// The job has fresh runs on as many VMs as it may crash at a time.
    Fresh,
    /// A suspect waits for a VM on which it can be told apart.
    Suspect,
    /// The store refuses records of the job for good.
    Refused,
}

/// One task of a stage.
#[derive(Debug, Default, Clone)]
pub(super) struct Task {
    pub(super) run: Option<RunKey>,
    pub(super) done: bool,
    pub(super) failed: Failures,
    /// VMs that crashed under the task since it was last cleared, by attempt: the last ones.
    pub(super) crashes: BTreeMap<u64, CompactString>,
    /// Attempts among them whose crash a poison task explains. They count, but make no suspect.
    pub(super) explained: BTreeSet<u64>,
    /// Highest attempt number used so far.
    pub(super) attempt: u64,
    /// The VM that it was placed on last.
    pub(super) last_vm: Option<VmKey>,
    pub(super) checkpoint: CompactString,
}

impl Task {
    /// Whether it was placed on a VM before.
    pub(super) fn was_placed(&self) -> bool {
        self.last_vm.is_some()
    }

    /// Forgets all crashes but the last ones.
    pub(super) fn forget_old_crashes(&mut self) {
        while self.crashes.len() > CRASHES_KEPT_MAX
            && let Some((attempt, _)) = self.crashes.pop_first()
        {
            self.explained.remove(&attempt);
        }
    }
}

impl Stage {
    fn new(count: u32, attempt: u64) -> Self {
        let task = Task {
            attempt,
            ..Task::default()
        };
        Self {
            tasks: vec![task; count as usize],
            waiting: (0..count).collect(),
            ..Self::default()
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the runs of the stage that may still exist.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.tasks.iter().filter_map(|t| t.run)
    }
}

impl Job {
    /// Creates a job that was accepted at `accepted_ms`, in Unix milliseconds.
    pub(super) fn new(
        id: JobId,
        queue: CompactString,
        account: CompactString,
        pool: CompactString,
        plan: Plan,
        accepted_ms: u64,
    ) -> Self {
        Self {
            id,
            queue,
            account,
            pool,
            spec: plan.spec.as_str().into(),
            division: Division::new(&plan),
            stored_parts: BTreeSet::new(),
            plan,
            accepted_ms,
            new_in_term: false,
            attempt_base: 0,
            over_share: false,
            cancelled: false,
            outcome: None,
            stored_outcome: None,
            begun: false,
            ended_at: None,
            stages: BTreeMap::new(),
            next_occurrence: 0,
            complete_to: 0,
            memory: 0,
        }
    }

    pub(super) fn step(&self, step: u16) -> &Step {
        &self.plan.steps[usize::from(step)]
    }

    pub(super) fn ended(&self) -> bool {
        self.cancelled || self.outcome.is_some()
    }

    /// Returns the completion objective in milliseconds; 1.5 times the critical path
    /// plus one second where the queue is not configured.
    pub(super) fn objective_ms(&self, queue: Option<&Queue>) -> u64 {
        let (factor, target) = queue.map_or((1.5, 1_000), |q| (q.slack_factor, q.target_ms));
        self.plan.objective_ms(factor, target)
    }

    /// Returns when an occurrence may start, in Unix milliseconds.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        match self.plan.repeats {
            0 => self.accepted_ms,
            _ => {
                let after_first_ms = self.plan.every_ms.saturating_mul(occurrence.into());
                self.plan.first_ms.saturating_add(after_first_ms)
            }
        }
    }

    /// Whether an occurrence is left that has not been opened and is due at `unix_ms`.
    ///
    /// A job without due times is due at once: the clock of the member that accepted it may be
    /// ahead.
    ///
    /// Nor does it open while many are: more do not complete any sooner.
    fn next_is_due(&self, unix_ms: u64) -> bool {
        self.next_occurrence < self.plan.occurrences()
            && self.next_occurrence - self.complete_to < open_occurrences_max(&self.plan)
            && (self.plan.repeats == 0 || self.due_ms(self.next_occurrence) <= unix_ms)
    }

    /// Creates the stages of an occurrence and of all earlier ones.
    pub(super) fn open_occurrence(&mut self, occurrence: u32) {
        let last = occurrence.min(self.plan.occurrences() - 1);
        for occurrence in self.next_occurrence..=last {
            for (i, step) in (0_u16..).zip(&self.plan.steps) {
                let stage = Stage::new(step.count, self.attempt_base);
                self.stages.insert((occurrence, i), stage);
            }
        }
        self.next_occurrence = self.next_occurrence.max(last + 1);
    }

    /// Takes into account that a predecessor has stored the occurrences before this one as complete.
    pub(super) fn skip_to(&mut self, occurrence: u32) {
        let complete_to = occurrence.min(self.plan.occurrences());
        self.complete_to = self.complete_to.max(complete_to);
        self.next_occurrence = self.next_occurrence.max(complete_to);
        self.stages = self.stages.split_off(&(self.complete_to, 0));
    }

    /// Forgets the stages of the first occurrences if they are complete, so that a job that runs often
    /// does not grow with each occurrence.
    fn release_complete(&mut self) {
        while self.complete_to < self.next_occurrence && self.plan.occurrences() > 1 {
            let stages = (self.complete_to, 0)..=(self.complete_to, u16::MAX);
            let is_over = |s: &Stage| s.is_complete() && s.runs().next().is_none();
            if !self.stages.range(stages).all(|(_, s)| is_over(s)) {
                return;
            }
            self.complete_to += 1;
            self.stages = self.stages.split_off(&(self.complete_to, 0));
        }
    }

    /// Returns the runs of the job that may still exist.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.stages.values().flat_map(Stage::runs)
    }

    /// Whether all steps that a stage depends on are complete.
    pub(super) fn dependencies_complete(&self, occurrence: u32, step: u16) -> bool {
        let complete = |d: &u16| {
            self.stages
                .get(&(occurrence, *d))
                .is_some_and(Stage::is_complete)
        };
        self.step(step).after.iter().all(complete)
    }

    /// Whether every task of every occurrence has succeeded.
    pub(super) fn all_complete(&self) -> bool {
        self.next_occurrence >= self.plan.occurrences()
            && self.stages.values().all(Stage::is_complete)
    }

    /// Restores the stored progress of a stage.
    pub(super) fn restore(&mut self, p: &StageProgress) {
        if usize::from(p.step) >= self.plan.steps.len() {
            return;
        }
        self.open_occurrence(p.occurrence);
        let gang = self.step(p.step).gang;
        let Some(stage) = self.stages.get_mut(&(p.occurrence, p.step)) else {
            return;
        };
        let all = 0..u32::try_from(stage.tasks.len()).unwrap_or(0);
        let done: Vec<u32> = if p.complete {
            all.collect()
        } else {
            p.done.clone()
        };
        for i in done {
            let Some(task) = stage.tasks.get_mut(i as usize) else {
                continue;
            };
            if !task.done {
                task.done = true;
                stage.done += 1;
                stage.waiting.remove(&i);
            }
        }
        let before = p.failed_before.iter();
        let before: BTreeMap<u32, (u64, u64)> = before.map(|b| (b.0, (b.1, b.2))).collect();
        for (i, attempts) in &p.failed {
            if let Some(task) = stage.tasks.get_mut(*i as usize) {
                let before = before.get(i).copied().unwrap_or_default();
                task.failed.restore(attempts, before);
                stage.gang_failed.restore(attempts, before);
            }
        }
        for (i, attempts) in &p.crashes {
            if let Some(task) = stage.tasks.get_mut(*i as usize) {
                task.crashes.extend(attempts.iter().cloned());
                task.forget_old_crashes();
            }
        }
        for (i, checkpoint) in &p.checkpoints {
            // All tasks of a gang resume from the same one.
            let tasks = match gang {
                true => &mut stage.tasks[..],
                false => stage
                    .tasks
                    .get_mut(*i as usize..=*i as usize)
                    .unwrap_or_default(),
            };
            tasks
                .iter_mut()
                .for_each(|t| t.checkpoint = checkpoint.clone());
        }
    }
}

/// Returns how many occurrences of a plan are open at a time: fewer if they have many steps or tasks.
fn open_occurrences_max(plan: &Plan) -> u32 {
    let steps = STEPS_MAX / plan.steps.len().max(1);
    let tasks = u64::from(PLAN_TASKS_MAX) / plan.tasks().max(1);
    let fit = u32::try_from(steps.min(tasks as usize)).unwrap_or(u32::MAX);
    fit.clamp(1, OCCURRENCES_OPEN_MAX)
}

/// Returns the memory of a job that has ended, in bytes.
fn ended_job_memory(plan: &Plan) -> u64 {
    let division = plan.steps.len() * size_of::<u64>();
    (size_of::<Job>() + NODE_BYTES + plan.memory() + division) as u64
}

/// Returns the memory that a job with this plan takes at most, in bytes: while it is open, and each of
/// its tasks has a run.
pub fn job_memory(plan: &Plan) -> u64 {
    let stage = size_of::<Stage>() + NODE_BYTES;
    let task = size_of::<Task>() + size_of::<runs::Run>() + TASK_NODES * NODE_BYTES;
    let stages = (plan.steps.len() * stage) as u64;
    let tasks = plan.tasks().saturating_mul(task as u64);
    let open = u64::from(open_occurrences_max(plan).min(plan.occurrences()));
    let occurrences = stages.saturating_add(tasks).saturating_mul(open);
    ended_job_memory(plan).saturating_add(occurrences)
}

impl Scheduler {
    /// Returns the memory that the jobs take at most, in bytes.
    pub fn jobs_memory(&self) -> u64 {
        self.jobs_memory
    }

    /// Adds a job, which counts for the memory that it may take.
    pub(super) fn insert_job(&mut self, job: Job) -> JobKey {
        let ended = job.ended();
        let key = self.jobs.insert(job);
        if ended {
            self.unreleased_jobs.insert(key);
        }
        self.count_memory(key, job_memory);
        key
    }

    fn count_memory(&mut self, key: JobKey, memory: impl Fn(&Plan) -> u64) {
        if let Some(job) = self.jobs.get_mut(key) {
            let memory = memory(&job.plan);
            self.jobs_memory = self.jobs_memory - job.memory + memory;
            job.memory = memory;
        }
    }

    /// Forgets the stages of jobs that have ended and have no runs.
    fn release_ended_jobs(&mut self) {
        let unreleased = std::mem::take(&mut self.unreleased_jobs);
        for key in unreleased {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.runs().next().is_some() {
                self.unreleased_jobs.insert(key);
                continue;
            }
            job.stages = BTreeMap::new();
            self.count_memory(key, ended_job_memory);
        }
    }

    pub(super) fn queue(&self, name: &str) -> Option<&Queue> {
        self.config.queues.get(name)
    }

    pub(super) fn stage(&self, key: StageKey) -> Option<&Stage> {
        let job = self.jobs.get(key.job)?;
        job.stages.get(&(key.occurrence, key.step))
    }

    pub(super) fn stage_mut(&mut self, key: StageKey) -> Option<&mut Stage> {
        let job = self.jobs.get_mut(key.job)?;
        job.stages.get_mut(&(key.occurrence, key.step))
    }

    pub(super) fn task_id(&self, key: StageKey, index: u32) -> TaskId {
        let job = self.jobs.get(key.job).map_or(JobId(0), |j| j.id);
        let stage = crate::plan::StageId {
            job,
            occurrence: key.occurrence,
            step: key.step,
        };
        TaskId { stage, index }
    }

    /// Opens the occurrences of a job that are due, marks the stages that may start as
    /// ready, and ends the job once all its tasks have succeeded.
    pub(super) fn advance(&mut self, key: JobKey) {
        let unix_ms = self.unix_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.ended() {
            return;
        }
        job.release_complete();
        while job.next_is_due(unix_ms) {
            job.open_occurrence(job.next_occurrence);
        }
        if job.all_complete() {
            return self.end_job(key, Outcome::Completed);
        }
        let blocked = job
            .stages
            .iter()
            .filter(|(_, s)| !s.ready && !s.is_complete());
        let unblocked = blocked.filter(|((k, i), _)| job.dependencies_complete(*k, *i));
        let unblocked: Vec<(u32, u16)> = unblocked.map(|(&id, _)| id).collect();
        for (occurrence, step) in unblocked {
            let stage = StageKey {
                job: key,
                occurrence,
                step,
            };
            self.mark_ready(stage);
        }
    }

    /// Returns the stage of a run that a VM lists; `None` if the job or the stage is unknown.
    ///
    /// Opens the occurrence if it is not due yet: a predecessor started the run, so that it was
    /// due by that leader's clock.
    pub(super) fn listed_stage(&mut self, listed: &StageId) -> Option<StageKey> {
        let job = *self.jobs_by_id.get(&listed.job)?;
        let key = StageKey {
            job,
            occurrence: listed.occurrence,
            step: listed.step,
        };
        let unopened = |j: &&mut Job| !j.ended() && j.next_occurrence <= listed.occurrence;
        if let Some(job) = self.jobs.get_mut(job).filter(unopened) {
            job.open_occurrence(listed.occurrence);
            self.advance(key.job);
        }
        self.stage(key).map(|_| key)
    }

    fn mark_ready(&mut self, key: StageKey) {
        let now = self.now;
        let (rank, rank_until_ms) = self.rank(key);
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        stage.ready = true;
        stage.ready_at = now;
        stage.rank = rank;
        stage.rank_until_ms = rank_until_ms;
        self.update_ready_queue(key);
    }

    /// Adds a stage to the ready queue if it has waiting tasks, and removes it otherwise.
    pub(super) fn update_ready_queue(&mut self, key: StageKey) {
        let Some(stage) = self.stage(key) else { return };
        let position = (stage.rank, key);
        let ended = self.jobs.get(key.job).is_none_or(Job::ended);
        if stage.ready && !stage.waiting.is_empty() && !ended {
            self.ready_queue.insert(position);
            self.placement_needed = true;
        } else {
            self.ready_queue.remove(&position);
        }
    }

    /// Ends a job with an outcome and stops its runs.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.outcome.is_some() || job.cancelled {
            return;
        }
        job.outcome = Some(outcome);
        let id = job.id.0;
        self.flush.mark_dirty(PartKey::new(key, 0));
        self.retire_job(key);
        let event = match outcome {
            Outcome::Completed => "job completed",
            Outcome::Failed => "job failed",
        };
        self.log(id, event, String::new());
    }

    /// Removes the stages of a job from the ready queue and stops its runs.
    pub(super) fn retire_job(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let ended_at = *job.ended_at.get_or_insert(now);
        self.ended_jobs.insert((ended_at, key));
        self.open_jobs.remove(&key);
        self.unreleased_jobs.insert(key);
        let mut positions = Vec::new();
        let mut runs = Vec::new();
        for (&(occurrence, step), stage) in &job.stages {
            positions.push((
                stage.rank,
                StageKey {
                    job: key,
                    occurrence,
                    step,
                },
            ));
            runs.extend(stage.runs());
        }
        for position in positions {
            self.ready_queue.remove(&position);
        }
        for run in runs {
            self.stop_run(run, "the job is over");
        }
    }

    /// Opens occurrences that are due and removes jobs that ended long ago.
    pub(super) fn scan_jobs(&mut self) {
        let unix_ms = self.unix_ms;
        let due = |j: &Job| j.next_is_due(unix_ms);
        let open = self.open_jobs.iter().copied();
        let due: Vec<JobKey> = open
            .filter(|&k| self.jobs.get(k).is_some_and(due))
            .collect();
        for key in due {
            self.advance(key);
        }
        self.log_long_waits();
        self.release_ended_jobs();
        self.remove_old_jobs();
        self.forget_early_cancellations();
    }

    /// Removes the jobs that ended long ago and have no runs.
    fn remove_old_jobs(&mut self) {
        let (now, keep) = (self.now, self.tuning.keep_ended);
        let old = self.ended_jobs.iter().take_while(|(t, _)| now > *t + keep);
        let old = old.filter_map(|&(t, k)| Some((t, k, self.jobs.get(k)?)));
        let old = old.filter(|(_, _, j)| j.runs().next().is_none());
        let old: Vec<(Time, JobKey, JobId)> = old.map(|(t, k, j)| (t, k, j.id)).collect();
        for (ended_at, key, id) in old {
            self.ended_jobs.remove(&(ended_at, key));
            let mut parts = BTreeSet::new();
            if let Some(job) = self.jobs.remove(key) {
                self.jobs_memory -= job.memory;
                parts = job.stored_parts;
            }
            self.unreleased_jobs.remove(&key);
            self.jobs_by_id.remove(&id);
            self.flush.remove_job(key, id, &parts);
        }
    }

    /// Logs the stages that have waited for [`WAIT_LOG_INTERVAL`], with the reason.
    fn log_long_waits(&mut self) {
        let now = self.now;
        let long = |s: &Stage| now > s.ready_at.max(s.logged_at) + WAIT_LOG_INTERVAL;
        let queued: Vec<StageKey> = self.ready_queue.iter().map(|(_, k)| *k).collect();
        for key in queued {
            let Some(stage) = self.stage_mut(key).filter(|s| long(s)) else {
                continue;
            };
            stage.logged_at = now;
            let (blocked, waiting) = (stage.blocked, stage.waiting.len());
            let (rank, tickets) = (stage.rank, stage.approvals.tickets.len());
            let since = now.since(stage.ready_at).as_millis();
            let id = self.task_id(key, 0).stage;
            let limit = match blocked {
                Blocked::Limit => self.describe_limit(key),
                _ => String::new(),
            };
            let detail = format!(
                "step={} waiting={waiting} blocked={blocked:?} class={} over_share={} position_ms={} tickets={tickets} since_ms={since}{limit}",
                id.step, rank.class, rank.over_share, rank.position_ms
            );
            self.log(id.job.0, "stage waiting", detail);
        }
    }

    /// Records the run time of a run, divided by its estimate.
    pub(super) fn record_runtime_ratio(&mut self, queue: &str, runtime_ratio: f64) {
        let first = QueueStats {
            runtime_ratio: 1.0,
            approved_share: 0.5,
        };
        let queue_stats = self.queue_stats.entry(queue.into()).or_insert(first);
        queue_stats.runtime_ratio += STATS_WEIGHT * (runtime_ratio - queue_stats.runtime_ratio);
    }

    /// Records the share of requested VMs that were approved for a step of a queue.
    pub(super) fn record_approved_share(&mut self, queue: &str, share: f64) {
        let first = QueueStats {
            runtime_ratio: 1.0,
            approved_share: share,
        };
        let queue_stats = self.queue_stats.entry(queue.into()).or_insert(first);
        queue_stats.approved_share += 2.0 * STATS_WEIGHT * (share - queue_stats.approved_share);
    }
}
