//! Jobs, their stages and tasks, and how a stage becomes ready and ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::approvals::Approvals;
use super::*;
use crate::journal::Outcome;
use crate::journal::StageProgress;
use crate::site::Queue;

/// A stage that waits this long is noted, and again each time it has passed.
const WAIT_LOG_INTERVAL: Duration = Duration::from_millis(1_500);
/// Weight of the newest run in what is learnt of a queue's run times.
const STATS_WEIGHT: f64 = 0.1;
/// A job later than this many times its objective earns its caller nothing.
const LATE_FACTOR: u64 = 3;
/// Part of the time left that is counted when it is judged whether a job can be in
/// time: what steps take is off by a third on the sites.
const REMAINING_TIME_FACTOR: f64 = 0.7;
/// Added to the class of a stage whose account sends more than it is owed.
const CLASS_OVER_SHARE: u32 = 1_000;
/// Added to the class of a stage whose job is too late to be of use.
const CLASS_LATE: u32 = 2_000;

/// The arena key of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(u32);

impl Key for JobKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds less than 2^32 items"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A stage inside the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

/// Place of a stage in line: class, then whether its job can still be in time, then
/// when the job is due, in Unix milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) class: u32,
    /// Whether the job will miss its objective: those that can make it go first.
    pub(super) misses_objective: bool,
    pub(super) due_ms: u64,
}

impl Rank {
    /// Whether the queue has the first priority and the work is still of use, also
    /// where its account sends more than it is owed.
    pub(super) fn is_urgent(&self) -> bool {
        self.class == placement::URGENT_PRIORITY
            || self.class == placement::URGENT_PRIORITY + CLASS_OVER_SHARE
    }
}

/// What runs of a queue have shown.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct QueueStats {
    /// Time of a run over its estimate.
    pub(super) ratio: f64,
    /// Share of VMs that are approved.
    pub(super) approved_share: f64,
}

/// A job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) queue: CompactString,
    pub(super) account: CompactString,
    pub(super) pool: CompactString,
    pub(super) spec: Arc<str>,
    pub(super) plan: Plan,
    pub(super) accepted_ms: u64,
    /// Whether a former holder cannot have started any of it.
    pub(super) new_in_term: bool,
    /// No attempt of a former holder has a higher number.
    pub(super) attempt_base: u64,
    /// Whether its account had sent more than it is owed.
    pub(super) over_share: bool,
    pub(super) cancelled: bool,
    pub(super) outcome: Option<Outcome>,
    /// The outcome as stored; only this is shown.
    pub(super) stored_outcome: Option<Outcome>,
    pub(super) begun: bool,
    pub(super) ended_at: Option<Time>,
    pub(super) stages: BTreeMap<(u32, u16), Stage>,
    pub(super) next_occurrence: u32,
}

/// One step of one occurrence.
#[derive(Debug, Default)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    /// Tasks without a run that have not ended well.
    pub(super) waiting: BTreeSet<u32>,
    pub(super) done: u32,
    pub(super) ready: bool,
    pub(super) ready_at: Time,
    pub(super) rank: Rank,
    /// When it must start for its job to be in time, in Unix milliseconds.
    pub(super) latest_start_ms: u64,
    pub(super) approvals: Approvals,
    /// Attempts of any of its tasks that failed; a gang fails as a whole.
    pub(super) gang_failed: BTreeSet<u64>,
    /// Before this the stage starts nothing.
    pub(super) not_before: Time,
    /// When the last of its runs was sent.
    pub(super) last_sent_at: Time,
    /// Longest time of its runs that ended well, in milliseconds.
    pub(super) slowest_ms: u64,
    /// What keeps its waiting tasks from starting, as last seen.
    pub(super) blocked: Blocked,
    /// When that was last noted.
    pub(super) logged_at: Time,
}

/// What keeps waiting tasks from starting.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Blocked {
    /// Nothing known.
    #[default]
    No,
    /// A former holder may have started them where no look has reached.
    Unsettled,
    /// The account is at its limit.
    Limit,
    /// What is left is kept for the first priority.
    Reserve,
    /// No VM that may run them has room.
    Room,
    /// A gang that broke is not whole yet.
    Gang,
}

/// One task.
#[derive(Debug, Default, Clone)]
pub(super) struct Task {
    pub(super) run: Option<RunKey>,
    pub(super) done: bool,
    /// Attempts that failed: an end may be listed again, and late.
    pub(super) failed: BTreeSet<u64>,
    pub(super) attempt: u64,
    /// Whether it was sent to a VM before.
    pub(super) placed: bool,
    pub(super) checkpoint: CompactString,
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

    /// Runs of the stage that may be there.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.tasks.iter().filter_map(|t| t.run)
    }
}

impl Job {
    pub(super) fn step(&self, step: u16) -> &Step {
        &self.plan.steps[usize::from(step)]
    }

    pub(super) fn ended(&self) -> bool {
        self.cancelled || self.outcome.is_some()
    }

    /// Time to completion that is good, in milliseconds.
    pub(super) fn objective_ms(&self, queue: Option<&Queue>) -> u64 {
        let (factor, target) = queue.map_or((1.5, 1_000), |q| (q.slack_factor, q.target_ms));
        (self.plan.critical_path_ms() as f64 * factor) as u64 + target
    }

    /// When an occurrence may start, in Unix milliseconds.
    pub(super) fn due_ms(&self, occurrence: u32) -> u64 {
        match self.plan.repeats {
            0 => self.accepted_ms,
            _ => self.plan.first_ms + u64::from(occurrence) * self.plan.every_ms,
        }
    }

    /// Creates the stages of an occurrence.
    pub(super) fn open_occurrence(&mut self, occurrence: u32) {
        for (i, step) in (0_u16..).zip(&self.plan.steps) {
            let stage = || Stage::new(step.count, self.attempt_base);
            self.stages.entry((occurrence, i)).or_insert_with(stage);
        }
        self.next_occurrence = self.next_occurrence.max(occurrence + 1);
    }

    /// Runs of the job that may be there.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        self.stages.values().flat_map(Stage::runs)
    }

    /// Whether the steps before a stage have all ended well.
    pub(super) fn dependencies_complete(&self, occurrence: u32, step: u16) -> bool {
        let whole = |d: &u16| {
            self.stages
                .get(&(occurrence, *d))
                .is_some_and(Stage::is_complete)
        };
        self.step(step).after.iter().all(whole)
    }

    /// Whether every task of every occurrence has ended well.
    pub(super) fn all_complete(&self) -> bool {
        self.next_occurrence >= self.plan.occurrences()
            && self.stages.values().all(Stage::is_complete)
    }

    /// Takes over what was stored of a stage.
    pub(super) fn restore(&mut self, p: &StageProgress) {
        if usize::from(p.step) >= self.plan.steps.len() {
            return;
        }
        self.open_occurrence(p.occurrence);
        let Some(stage) = self.stages.get_mut(&(p.occurrence, p.step)) else {
            return;
        };
        let all = 0..u32::try_from(stage.tasks.len()).unwrap_or(0);
        let done: Vec<u32> = if p.whole {
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
        for (i, attempts) in &p.failed {
            if let Some(task) = stage.tasks.get_mut(*i as usize) {
                task.failed.extend(attempts);
                stage.gang_failed.extend(attempts);
            }
        }
        for (i, checkpoint) in &p.checkpoints {
            if let Some(task) = stage.tasks.get_mut(*i as usize) {
                task.checkpoint = checkpoint.clone();
            }
        }
    }
}

impl Scheduler {
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

    /// Opens what is due of a job and puts stages that may start in line.
    pub(super) fn advance(&mut self, key: JobKey) {
        let unix_ms = self.unix_ms;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.ended() {
            return;
        }
        while job.next_occurrence < job.plan.occurrences()
            && job.due_ms(job.next_occurrence) <= unix_ms
        {
            job.open_occurrence(job.next_occurrence);
        }
        if job.all_complete() {
            return self.end_job(key, Outcome::Completed);
        }
        let blocked = job
            .stages
            .iter()
            .filter(|(_, s)| !s.ready && !s.is_complete());
        let free = blocked.filter(|((k, i), _)| job.dependencies_complete(*k, *i));
        let free: Vec<(u32, u16)> = free.map(|(&id, _)| id).collect();
        for (occurrence, step) in free {
            let stage = StageKey {
                job: key,
                occurrence,
                step,
            };
            self.mark_ready(stage);
        }
    }

    fn mark_ready(&mut self, key: StageKey) {
        let now = self.now;
        let latest_start_ms = self.latest_start_ms(key);
        let rank = self.rank(key, latest_start_ms);
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        stage.ready = true;
        stage.latest_start_ms = latest_start_ms;
        stage.ready_at = now;
        stage.rank = rank;
        self.update_ready_queue(key);
    }

    /// Puts a stage in line while tasks of it wait, and takes it out otherwise.
    pub(super) fn update_ready_queue(&mut self, key: StageKey) {
        let Some(stage) = self.stage(key) else { return };
        let place = (stage.rank, key);
        let ended = self.jobs.get(key.job).is_none_or(Job::ended);
        if stage.ready && !stage.waiting.is_empty() && !ended {
            self.ready_queue.insert(place);
            self.placement_needed = true;
        } else {
            self.ready_queue.remove(&place);
        }
    }

    /// When a stage must start for its job to be in time, by what its queue's runs
    /// have shown; estimates are off, so part of the time is not counted.
    fn latest_start_ms(&self, key: StageKey) -> u64 {
        let Some(job) = self.jobs.get(key.job) else {
            return u64::MAX;
        };
        if job.step(key.step).long_lived {
            return u64::MAX;
        }
        let ratio = self.queue_stats.get(&job.queue).map_or(1.0, |l| l.ratio);
        let left = job.plan.critical_path_from_ms(key.step) as f64 * ratio * REMAINING_TIME_FACTOR;
        let due = job.due_ms(key.occurrence) + job.objective_ms(self.queue(&job.queue));
        due.saturating_sub(left as u64)
    }

    /// Moves waiting stages back whose jobs have come to be late.
    pub(super) fn rerank_late_stages(&mut self) {
        let unix_ms = self.unix_ms;
        let missed = |s: &Stage| !s.rank.misses_objective && unix_ms > s.latest_start_ms;
        let queued = self.ready_queue.iter().map(|(_, k)| *k);
        let late: Vec<StageKey> = queued
            .filter(|k| self.stage(*k).is_some_and(missed))
            .collect();
        for key in late {
            let Some(stage) = self.stage(key) else {
                continue;
            };
            let (old, latest_start_ms) = (stage.rank, stage.latest_start_ms);
            let rank = self.rank(key, latest_start_ms);
            self.ready_queue.remove(&(old, key));
            if let Some(stage) = self.stage_mut(key) {
                stage.rank = rank;
            }
            self.update_ready_queue(key);
        }
    }

    fn rank(&self, key: StageKey, latest_start_ms: u64) -> Rank {
        let Some(job) = self.jobs.get(key.job) else {
            return Rank::default();
        };
        let queue = self.queue(&job.queue);
        let objective = job.objective_ms(queue);
        let from = job.due_ms(key.occurrence);
        let long_lived = job.step(key.step).long_lived;
        let late = !long_lived && self.unix_ms > from + LATE_FACTOR * objective;
        let priority = queue.map_or(u32::from(u8::MAX), |q| q.priority);
        let over = if job.over_share { CLASS_OVER_SHARE } else { 0 };
        Rank {
            class: priority + over + if late { CLASS_LATE } else { 0 },
            misses_objective: self.unix_ms > latest_start_ms,
            due_ms: from + objective,
        }
    }

    /// Ends a job for good; what runs of it is stopped.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.outcome.is_some() || job.cancelled {
            return;
        }
        job.outcome = Some(outcome);
        let id = job.id.0;
        self.flush.mark_dirty(key);
        self.retire_job(key);
        let event = match outcome {
            Outcome::Completed => "job completed",
            Outcome::Failed => "job failed",
        };
        self.log(id, event, String::new());
    }

    /// Takes a job's stages out of line and stops what runs of it.
    pub(super) fn retire_job(&mut self, key: JobKey) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.ended_at.get_or_insert(now);
        self.open_jobs.remove(&key);
        let mut places = Vec::new();
        let mut runs = Vec::new();
        for (&(occurrence, step), stage) in &job.stages {
            places.push((
                stage.rank,
                StageKey {
                    job: key,
                    occurrence,
                    step,
                },
            ));
            runs.extend(stage.runs());
        }
        for place in places {
            self.ready_queue.remove(&place);
        }
        for run in runs {
            self.stop_run(run, "the job is over");
        }
    }

    /// Opens occurrences that are due and forgets jobs that ended long ago.
    pub(super) fn scan_jobs(&mut self) {
        let unix_ms = self.unix_ms;
        let due = |j: &Job| {
            j.next_occurrence < j.plan.occurrences() && j.due_ms(j.next_occurrence) <= unix_ms
        };
        let open = self.open_jobs.iter().copied();
        let due: Vec<JobKey> = open
            .filter(|&k| self.jobs.get(k).is_some_and(due))
            .collect();
        for key in due {
            self.advance(key);
        }
        self.log_long_waits();
        let (now, keep) = (self.now, self.tuning.keep_ended);
        let old = |j: &Job| {
            let runs = j.stages.values().any(|s| s.runs().next().is_some());
            !runs && j.ended_at.is_some_and(|t| now > t + keep)
        };
        let old = self.jobs.iter().filter(|(_, j)| old(j));
        let old: Vec<(JobKey, JobId)> = old.map(|(k, j)| (k, j.id)).collect();
        for (key, id) in old {
            self.jobs.remove(key);
            self.jobs_by_id.remove(&id);
            self.flush.remove_job(key, id);
        }
    }

    /// Notes stages that wait long, with what keeps them.
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
            let detail = format!(
                "step={} waiting={waiting} blocked={blocked:?} class={} tickets={tickets} since_ms={since}",
                id.step, rank.class
            );
            self.log(id.job.0, "stage waits", detail);
        }
    }

    /// Learns how long runs of a queue take, against their estimate.
    pub(super) fn record_runtime_ratio(&mut self, queue: &str, ratio: f64) {
        let first = QueueStats {
            ratio: 1.0,
            approved_share: 0.5,
        };
        let queue_stats = self.queue_stats.entry(queue.into()).or_insert(first);
        queue_stats.ratio += STATS_WEIGHT * (ratio - queue_stats.ratio);
    }

    /// Learns what share of VMs is approved for steps of a queue.
    pub(super) fn record_approved_share(&mut self, queue: &str, share: f64) {
        let first = QueueStats {
            ratio: 1.0,
            approved_share: share,
        };
        let queue_stats = self.queue_stats.entry(queue.into()).or_insert(first);
        queue_stats.approved_share += 2.0 * STATS_WEIGHT * (share - queue_stats.approved_share);
    }
}
