//! Jobs that this member is the home of.

mod adopted;
mod ask;
mod cancel;
mod gather;
mod news;
mod orders;
mod place;
mod progress;
mod search;
mod submit;
mod table;

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

use self::ask::JobQueries;
use self::orders::Outbox;
use self::progress::Progress;
use self::search::Search;
use self::table::Job;
use self::table::Stage;

/// Pause after which what is still remembered is written to the journal again.
///
/// The platform must keep the records of a journal for at least twice as long.
pub(super) const REWRITE: Duration = Duration::from_secs(900);
/// How long a job is remembered after it ended.
const KEEP_ENDED: Duration = Duration::from_secs(3_600);
/// Pause after which a holder is asked again what became of its orders.
const CHECK_PAUSE: Duration = Duration::from_secs(1);
/// Most tasks looked at in one tick because they are due.
const DUE_MAX: usize = 1_024;

/// Who submitted a job and waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobRequester {
    /// A submitter at this entry.
    Here(Ticket),
    /// A submitter at another entry.
    Peer(MemberId, u64),
}

/// A task without its attempt, as lists of what is due name it.
type Place = (JobId, u32);

/// All jobs at home here.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    /// Number of the last job accepted here, for its identifier.
    last: u64,
    /// Members that had no place, until when they are passed over.
    full: BTreeMap<MemberId, Time>,
    /// Jobs with tasks to place, in fair order.
    queue: Queue<JobId>,
    /// Jobs that are put back into the queue later.
    later: BTreeSet<(Time, JobId)>,
    /// Tasks that are tried again later.
    retries: BTreeSet<(Time, Place)>,
    /// Tasks whose holders are asked again.
    checks: BTreeSet<(Time, TaskId)>,
    /// Jobs whose last start must be before some time.
    deadlines: BTreeSet<(Time, JobId)>,
    /// Jobs to write to the journal again.
    rewrites: BTreeSet<(Time, JobId)>,
    /// Ended jobs to forget.
    forgets: BTreeSet<(Time, JobId)>,
    /// Jobs that start all their tasks together and have some under way.
    gangs: BTreeSet<JobId>,
    /// Submissions whose record is on its way.
    accepting: BTreeMap<JobId, JobRequester>,
    questions: JobQueries,
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

    /// The task at a place, if it is still in the attempt named.
    fn stage_of(&self, id: TaskId) -> Option<Stage> {
        let task = self.jobs.get(&id.job)?.tasks.get(id.index as usize)?;
        (task.attempt == id.attempt).then_some(task.stage)
    }

    fn set_stage(&mut self, place: Place, stage: Stage) {
        if let Some(job) = self.jobs.get_mut(&place.0) {
            job.set_stage(place.1, stage);
        }
    }
}

impl Control {
    pub(super) fn tick_jobs(&mut self) {
        self.expire_questions();
        if self.may_keep_records() {
            self.search_again();
            self.jobs_due();
            self.check_due();
            self.tick_gangs();
            if !self.stopping.begun() {
                self.place_waiting();
            }
        }
        self.flush_orders();
        self.flush_confirmed();
    }

    /// Looks after everything that hangs on an ended member.
    pub(super) fn jobs_member_ended(&mut self, m: MemberId) {
        self.tasks_member_ended(m);
        self.jobs.full.remove(&m);
        self.keyed_member_ended(m);
        self.asks_member_ended();
        self.questions_member_ended(m);
        self.search_ended(m);
    }

    fn jobs_due(&mut self) {
        self.queue_due();
        self.retries_due();
        self.deadlines_due();
        self.rewrites_due();
        self.forgets_due();
    }

    fn queue_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.later, self.now) {
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

    fn forgets_due(&mut self) {
        while let Some(id) = pop_due(&mut self.jobs.forgets, self.now) {
            let live = self.jobs.jobs.get(&id).is_some_and(Job::is_live);
            if live {
                self.jobs.forgets.insert((self.now + KEEP_ENDED, id));
            } else {
                self.jobs.jobs.remove(&id);
                self.jobs.questions.forget(id);
            }
        }
    }

    /// Asks again about orders that no holder has answered.
    fn check_due(&mut self) {
        for _ in 0..DUE_MAX {
            let Some(id) = pop_due(&mut self.jobs.checks, self.now) else {
                return;
            };
            match self.jobs.stage_of(id) {
                Some(Stage::Asked(at) | Stage::Starting(at)) => self.order_check(at, id),
                Some(Stage::Stopping(at)) => self.order_stop(at, id),
                _ => continue,
            }
            self.check_later(id);
        }
    }

    fn check_later(&mut self, id: TaskId) {
        self.jobs.checks.insert((self.now + CHECK_PAUSE, id));
    }
}

fn pop_due<T: Ord + Copy>(list: &mut BTreeSet<(Time, T)>, now: Time) -> Option<T> {
    let first = list.first().copied().filter(|(at, _)| *at <= now)?;
    list.remove(&first);
    Some(first.1)
}
