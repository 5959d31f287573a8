//! What waits in pools that are full, as members need it to admit submissions.

use super::job::Blocked;
use super::job::Job;
use super::*;
use crate::admission::Backlog;
use crate::admission::Backlogs;
use crate::admission::Place;
use crate::admission::QueueView;
use crate::share;
use crate::site::Queue;

/// Pause between two looks at what waits.
const INTERVAL: Duration = Duration::from_millis(200);
/// How long a stage must have waited for room for its pool to count as full.
const FULL_AFTER: Duration = Duration::from_millis(500);

/// When pools are looked at next, and whether any was full.
#[derive(Debug, Default)]
pub(super) struct State {
    next_at: Time,
    was_full: bool,
}

impl Scheduler {
    /// Publishes the backlogs of full pools, and once that no pool is full any more.
    pub(super) fn publish_backlogs(&mut self) {
        if !self.tuning.admission || self.now < self.backlog.next_at {
            return;
        }
        self.backlog.next_at = self.now + INTERVAL;
        let full = self.full_pools();
        let was_full = std::mem::replace(&mut self.backlog.was_full, !full.is_empty());
        if full.is_empty() && !was_full {
            return;
        }
        // The first full pool, or the last.
        if was_full == full.is_empty() {
            let names: Vec<&str> = full.iter().map(CompactString::as_str).collect();
            self.log(0, "pools full", format!("pools={}", names.join(",")));
        }
        let pools = full.into_iter().map(|pool| {
            let backlog = self.backlog_of(&pool);
            (pool, backlog)
        });
        let backlogs = Backlogs {
            pools: pools.collect(),
            queues: self.queue_views(),
            stored: self.jobs_by_id.keys().copied().collect(),
        };
        self.effects.push(Effect::Backlogs(Box::new(backlogs)));
    }

    /// Returns the pools in which a stage that is still of use has waited for room for some time.
    fn full_pools(&self) -> BTreeSet<CompactString> {
        let waits = |key: &StageKey| {
            let stage = self.stage(*key)?;
            let job = self.jobs.get(key.job)?;
            let for_room = matches!(stage.blocked, Blocked::Room | Blocked::Reserve);
            let waits = for_room && self.now >= stage.ready_at + FULL_AFTER;
            (waits && !job.step(key.step).long_lived).then(|| job.pool.clone())
        };
        self.ready_queue
            .iter()
            .filter_map(|(_, k)| waits(k))
            .collect()
    }

    fn backlog_of(&self, pool: &CompactString) -> Backlog {
        let mut backlog = Backlog {
            total: self.pool_totals.get(pool).copied().unwrap_or_default(),
            ..Backlog::default()
        };
        self.add_runs(pool, &mut backlog);
        let (mut in_time, mut waiting) = (Vec::new(), Vec::new());
        let mut jobs = BTreeSet::new();
        for (rank, key) in &self.ready_queue {
            let Some(job) = self.jobs.get(key.job).filter(|j| j.pool == *pool) else {
                continue;
            };
            // Accounts beyond their rate go behind the others.
            if rank.over_share || job.step(key.step).long_lived {
                continue;
            }
            let work = self.waiting_work(job, *key, &backlog.total, jobs.insert(key.job));
            let place = Place {
                class: rank.class,
                position_ms: rank.position_ms,
            };
            waiting.push((place, work));
            if !rank.misses_objective {
                in_time.push((place, work));
            }
        }
        backlog.in_time = Place::add_up(in_time);
        backlog.waiting = Place::add_up(waiting);
        backlog
    }

    /// Returns the work of the waiting tasks of a stage; with `later` also of the steps of its job
    /// that have not begun.
    fn waiting_work(&self, job: &Job, key: StageKey, total: &Resources, later: bool) -> f64 {
        let ratio = self.runtime_ratio(&job.queue);
        let steps = (0_u16..).zip(&job.plan.steps).map(|(i, step)| {
            let stage = job.stages.get(&(key.occurrence, i));
            let counts = i == key.step || (later && stage.is_some_and(|s| !s.ready));
            let waiting = stage.filter(|_| counts).map_or(0, |s| s.waiting.len());
            let tasks_ms = waiting as f64 * step.estimate_ms as f64 * ratio;
            tasks_ms * share::dominant(&step.allocation(), total)
        });
        steps.sum()
    }

    /// Adds what runs in a pool.
    fn add_runs(&self, pool: &CompactString, backlog: &mut Backlog) {
        for run in self.runs.values() {
            let Some(job) = self.jobs.get(run.stage.job).filter(|j| j.pool == *pool) else {
                continue;
            };
            let step = job.step(run.stage.step);
            let used = share::dominant(&step.allocation(), &backlog.total);
            if step.long_lived {
                backlog.long_lived += used;
                continue;
            }
            let priority = ranks::priority_of(self.queue(&job.queue));
            *backlog.used.entry(priority).or_default() += used;
        }
    }

    fn queue_views(&self) -> BTreeMap<CompactString, QueueView> {
        let view = |(name, queue): (&CompactString, &Queue)| {
            let view = QueueView {
                priority: queue.priority,
                typical: self.typical_jobs.get(name).copied().unwrap_or_default(),
                runtime_ratio: self.runtime_ratio(name),
                slack_factor: queue.slack_factor,
                target_ms: queue.target_ms,
            };
            (name.clone(), view)
        };
        self.config.queues.iter().map(view).collect()
    }
}
