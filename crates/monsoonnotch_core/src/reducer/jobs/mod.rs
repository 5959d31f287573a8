//! Jobs whose home is this member.
//!
//! The home of a job is the holder of the hash range that contains the job's
//! identifier. It journals the job, places its tasks on members and tracks
//! them until the job ends.

mod adopted;
mod ending;
mod gang;
mod orders;
mod placement;
mod progress;
mod queries;
mod search;
mod submit;
mod table;
mod updates;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Control;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::ident::Ticket;
use crate::queue::Queue;
use crate::time::Duration;
use crate::time::Time;

use self::orders::Outbox;
use self::progress::Progress;
use self::queries::JobQueries;
use self::search::Search;
use self::table::Job;
use self::table::Stage;
use self::table::job_memory;

/// Interval after which jobs and keys that are still kept are written to the journal again.
///
/// The platform must retain the records of a journal for at least twice as long.
pub(super) const REWRITE_INTERVAL: Duration = Duration::from_secs(900);
/// How long a job is kept after it ended.
const ENDED_RETENTION: Duration = Duration::from_secs(3_600);
/// Interval at which a holder is queried about orders that it has not answered.
const TASK_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of due task queries that one tick sends.
const DUE_MAX: usize = 1_024;

/// The submitter of a job, who waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobRequester {
    /// A submitter at this entry.
    Here(Ticket),
    /// A submitter at another entry, which sent the query of this number.
    Peer(MemberId, u64),
}

/// A task of a job by its index, whatever its attempt.
type TaskKey = (JobId, u32);

/// All jobs whose home is this member, with the timers that drive them.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// Memory of the jobs, in bytes.
    memory: u64,
    /// Number of the last job accepted here, for its identifier.
    last: u64,
    /// Members that had no free capacity, with the time until which they are skipped.
    full_members: BTreeMap<MemberId, Time>,
    /// Jobs with tasks to place, in fair order between teams.
    queue: Queue<JobId>,
    /// Jobs that return to the queue at a time.
    requeue: BTreeSet<(Time, JobId)>,
    /// Failed tasks that are retried at a time.
    retries: BTreeSet<(Time, TaskKey)>,
    /// Tasks whose holders are queried at a time.
    task_queries: BTreeSet<(Time, TaskId)>,
    /// Jobs whose tasks may not start after a time.
    deadlines: BTreeSet<(Time, JobId)>,
    /// Jobs that are written to the journal again at a time.
    rewrites: BTreeSet<(Time, JobId)>,
    /// Ended jobs that are removed at a time.
    removals: BTreeSet<(Time, JobId)>,
    /// Gang jobs with reserved, starting or releasing tasks.
    gangs: BTreeSet<JobId>,
    /// Submitters of jobs that are being written to the journal.
    accepting: BTreeMap<JobId, JobRequester>,
    queries: JobQueries,
    outbox: Outbox,
    progress: Progress,
    search: Search,
}

impl Jobs {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    fn insert(&mut self, job: Job) {
        self.remove(job.id);
        self.memory += job_memory(&job.spec);
        self.jobs.insert(job.id, job);
    }

    fn remove(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            self.memory -= job_memory(&job.spec);
        }
    }

    /// Returns the stage of a task, if its current attempt is that of `id`.
    fn stage_of(&self, id: TaskId) -> Option<Stage> {
        let task = self.jobs.get(&id.job)?.tasks.get(id.index as usize)?;
        (task.attempt == id.attempt).then_some(task.stage)
    }

    fn set_stage(&mut self, key: TaskKey, stage: Stage) {
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.set_stage(key.1, stage);
        }
    }
}

impl Control {
    pub(super) fn tick_jobs(&mut self) {
        self.expire_queries();
        if self.may_keep_records() {
            self.retry_search();
            self.jobs_due();
            self.task_queries_due();
            self.tick_gangs();
            if !self.stopping.begun() {
                self.place_waiting();
            }
        }
        self.flush_orders();
        self.flush_confirmed();
    }

    /// Updates the tasks, keys, intent requests and queries that involve an ended member.
    pub(super) fn jobs_member_ended(&mut self, m: MemberId) {
        self.tasks_member_ended(m);
        self.jobs.full_members.remove(&m);
        self.keyed_member_ended(m);
        self.intent_requests_member_ended();
        self.queries_member_ended(m);
        self.search_member_ended(m);
    }

    fn jobs_due(&mut self) {
        self.queue_due();
        self.retries_due();
        self.deadlines_due();
        self.rewrites_due();
        self.removals_due();
    }

    fn queue_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.requeue, self.now) {
            self.queue_job(id);
        }
    }

    fn retries_due(&mut self) {
        while let Some((job, index)) = pop_due(&mut self.jobs.retries, self.now) {
            if let Some(j) = self.jobs.jobs.get_mut(&job) {
                j.retry(index);
                self.queue_job(job);
            }
        }
    }

    fn deadlines_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.deadlines, self.now) {
            self.deadline_passed(id);
        }
    }

    fn rewrites_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.rewrites, self.now) {
            self.rewrite_job(id);
        }
    }

    fn removals_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.removals, self.now) {
            let live = self.jobs.jobs.get(&id).is_some_and(Job::is_live);
            if live {
                self.jobs.removals.insert((self.now + ENDED_RETENTION, id));
            } else {
                self.jobs.remove(id);
                self.jobs.queries.forget(id);
            }
        }
    }

    /// Sends the due queries about orders that no holder has answered.
    fn task_queries_due(&mut self) {
        for _ in 0..DUE_MAX {
            let Some(id) = pop_due(&mut self.jobs.task_queries, self.now) else {
                return;
            };
            match self.jobs.stage_of(id) {
                Some(Stage::Requested(at) | Stage::Starting(at)) => self.order_query(at, id),
                Some(Stage::Stopping(at)) => self.order_stop(at, id),
                _ => continue,
            }
            self.query_task_later(id);
        }
    }

    fn query_task_later(&mut self, id: TaskId) {
        self.jobs
            .task_queries
            .insert((self.now + TASK_QUERY_INTERVAL, id));
    }
}

fn pop_due<T: Ord + Copy>(list: &mut BTreeSet<(Time, T)>, now: Time) -> Option<T> {
    let first = list.first().copied().filter(|(at, _)| *at <= now)?;
    list.remove(&first);
    Some(first.1)
}
