//! Search for tasks whose holder or previous home has ended.
//!
//! Every current member is queried. A member that holds workers without a
//! report says so and is queried again. Answers count only if they were given
//! after the last end of a membership. A task that is in none of them runs
//! nowhere: members that answered no longer follow orders of a previous home,
//! and no inherited worker is without a report.

use std::collections::BTreeSet;

use super::Control;
use super::Stage;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::Phase;
use crate::time::Duration;
use crate::time::Time;
use crate::wire::PeerMsg;
use crate::wire::TaskUpdate;

/// Interval at which members without a complete answer are queried again.
const LIST_RETRY: Duration = Duration::from_secs(1);

/// State of the current search.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Number of the search; it grows with every restart, so that answers to older ones are
    /// ignored.
    query: u64,
    /// Control stream position that a member must have reached before it may answer.
    next: u64,
    /// Members without a complete answer.
    pending: BTreeSet<MemberId>,
    due: Time,
    running: bool,
}

impl Control {
    /// Starts a new search, which queries all members for the tasks of this member's ranges.
    pub(in crate::reducer) fn search_tasks(&mut self) {
        let search = &mut self.jobs.search;
        search.query += 1;
        search.next = self.ledger.next;
        search.pending = self.ledger.members.keys().copied().collect();
        search.due = self.now;
        search.running = true;
    }

    /// Searches for the tasks that were on the workers of an ended member.
    pub(super) fn search_member_ended(&mut self, m: MemberId) {
        let mut lost: Vec<(JobId, u32)> = Vec::new();
        for (id, job) in &self.jobs.jobs {
            let there = job.tasks_in(|s| s.at() == Some(m));
            lost.extend(there.iter().map(|t| (*id, t.index)));
        }
        for key in &lost {
            self.jobs.set_stage(*key, Stage::Unknown);
        }
        if !lost.is_empty() || self.jobs.search.running {
            self.search_tasks();
        }
    }

    pub(super) fn retry_search(&mut self) {
        if !self.jobs.search.running || self.has_predecessors() || self.now < self.jobs.search.due {
            return;
        }
        self.jobs.search.due = self.now + LIST_RETRY;
        let (query, next) = (self.jobs.search.query, self.jobs.search.next);
        let pending: Vec<MemberId> = self.jobs.search.pending.iter().copied().collect();
        for m in pending {
            match m == self.cfg.me {
                true => self.search_own(query),
                false => self.send(m, PeerMsg::ListTasks { query, next }),
            }
        }
        self.finish_search();
    }

    /// Answers a home's query for the tasks of its ranges.
    pub(in crate::reducer) fn list_tasks(&mut self, from: MemberId, query: u64, next: u64) {
        if self.ledger.next < next || !self.ledger.is_member(from) || !self.is_certain() {
            return;
        }
        let (tasks, ended) = self.tasks_for(from);
        let unknown = self.unknown_workers();
        let answer = PeerMsg::TaskList {
            query,
            tasks,
            ended,
            unknown,
        };
        self.send(from, answer);
    }

    pub(in crate::reducer) fn task_list_received(
        &mut self,
        from: MemberId,
        query: u64,
        tasks: &[TaskId],
        ended: Vec<(TaskId, TaskUpdate)>,
        unknown: u32,
    ) {
        let current = self.jobs.search.running && query == self.jobs.search.query;
        if !current || !self.may_keep_records() || !self.ledger.is_member(from) {
            return;
        }
        for id in tasks {
            self.task_listed(from, *id);
        }
        self.task_updates(from, ended);
        if unknown == 0 {
            self.jobs.search.pending.remove(&from);
            self.finish_search();
        }
    }

    fn search_own(&mut self, query: u64) {
        let me = self.cfg.me;
        let (tasks, ended) = self.tasks_for(me);
        let unknown = self.unknown_workers();
        self.task_list_received(me, query, &tasks, ended, unknown);
    }

    /// Handles a task that a member listed.
    ///
    /// The member is queried for the state of a task that was searched for, and ordered to stop an
    /// outdated one.
    fn task_listed(&mut self, from: MemberId, id: TaskId) {
        if !self.home_is_ready(id.job.0) {
            return;
        }
        let job = self.jobs.jobs.get_mut(&id.job);
        let task = job.and_then(|j| j.tasks.get_mut(id.index as usize));
        match task {
            Some(t) if t.stage == Stage::Unknown => {
                t.attempt = id.attempt;
                self.jobs
                    .set_stage((id.job, id.index), Stage::Requested(from));
                self.order_query(from, id);
                self.query_task_later(id);
            }
            Some(t) if t.attempt == id.attempt && t.stage.at() == Some(from) => {}
            _ => self.order_stop(from, id),
        }
        self.stop_if_ended(id);
    }

    fn stop_if_ended(&mut self, id: TaskId) {
        let job = self.jobs.jobs.get(&id.job);
        if job.is_some_and(|j| j.phase != Phase::Active) {
            self.stop_job_task(id);
        }
    }

    /// Ends the search once all members have answered, and queues the tasks that none listed.
    fn finish_search(&mut self) {
        if !self.jobs.search.running || !self.jobs.search.pending.is_empty() {
            return;
        }
        self.jobs.search.running = false;
        let all: Vec<JobId> = self.jobs.jobs.keys().copied().collect();
        for id in all {
            for task in self.jobs.jobs[&id].tasks_in(|s| s == Stage::Unknown) {
                self.requeue_task(task, true);
            }
            self.gang_task_changed(id);
            self.queue_job(id);
        }
    }
}
