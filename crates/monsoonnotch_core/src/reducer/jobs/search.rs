//! Finding out where tasks run whose holder, or whose home, has ended.
//!
//! Every present member is asked. One that holds workers it knows nothing of
//! yet says so and is asked again. A task that no answer shows, given after
//! the last ending, runs nowhere: no former home's order is followed any more
//! by whoever answered, and no former holder's worker is left unknown.

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

/// Pause after which a member that has not answered in full is asked again.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// The question that is out.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// Names the question; grows with every ending, so that older answers do not count.
    query: u64,
    /// Position on the control stream that an answer must have reached.
    next: u64,
    /// Members that have not answered in full.
    asked: BTreeSet<MemberId>,
    due: Time,
    running: bool,
}

impl Control {
    /// Asks all members for the tasks of the own ranges, from the beginning.
    pub(in crate::reducer) fn search_tasks(&mut self) {
        let search = &mut self.jobs.search;
        search.query += 1;
        search.next = self.ledger.next;
        search.asked = self.ledger.members.keys().copied().collect();
        search.due = self.now;
        search.running = true;
    }

    /// Tasks on the workers of an ended member are looked for.
    pub(super) fn search_ended(&mut self, m: MemberId) {
        let mut lost: Vec<(JobId, u32)> = Vec::new();
        for (id, job) in &self.jobs.jobs {
            let there = job.tasks_in(|s| s.at() == Some(m));
            lost.extend(there.iter().map(|t| (*id, t.index)));
        }
        for place in &lost {
            self.jobs.set_stage(*place, Stage::Unknown);
        }
        if !lost.is_empty() || self.jobs.search.running {
            self.search_tasks();
        }
    }

    pub(super) fn search_again(&mut self) {
        if !self.jobs.search.running || self.has_ancestors() || self.now < self.jobs.search.due {
            return;
        }
        self.jobs.search.due = self.now + ASK_PAUSE;
        let (query, next) = (self.jobs.search.query, self.jobs.search.next);
        let asked: Vec<MemberId> = self.jobs.search.asked.iter().copied().collect();
        for m in asked {
            match m == self.cfg.me {
                true => self.search_here(query),
                false => self.send(m, PeerMsg::ListTasks { query, next }),
            }
        }
        self.search_done();
    }

    /// A home asks for the tasks of its ranges.
    pub(in crate::reducer) fn tasks_of(&mut self, from: MemberId, query: u64, next: u64) {
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

    pub(in crate::reducer) fn tasks_here(
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
            self.task_shown(from, *id);
        }
        self.task_news(from, ended);
        if unknown == 0 {
            self.jobs.search.asked.remove(&from);
            self.search_done();
        }
    }

    fn search_here(&mut self, query: u64) {
        let me = self.cfg.me;
        let (tasks, ended) = self.tasks_for(me);
        let unknown = self.unknown_workers();
        self.tasks_here(me, query, &tasks, ended, unknown);
    }

    /// A member occupies something for a task; what exactly, it is asked.
    fn task_shown(&mut self, from: MemberId, id: TaskId) {
        if !self.home_is_ready(id.job.0) {
            return;
        }
        let job = self.jobs.jobs.get_mut(&id.job);
        let task = job.and_then(|j| j.tasks.get_mut(id.index as usize));
        match task {
            Some(t) if t.stage == Stage::Unknown => {
                t.attempt = id.attempt;
                self.jobs.set_stage((id.job, id.index), Stage::Asked(from));
                self.order_check(from, id);
                self.check_later(id);
            }
            Some(t) if t.attempt == id.attempt && t.stage.at() == Some(from) => {}
            _ => self.order_stop(from, id),
        }
        self.stop_if_ended(id);
    }

    fn stop_if_ended(&mut self, id: TaskId) {
        let job = self.jobs.jobs.get(&id.job);
        if job.is_some_and(|j| j.phase != Phase::Active) {
            self.stop_one(id);
        }
    }

    /// Once all have answered, what was not shown is placed again.
    fn search_done(&mut self) {
        if !self.jobs.search.running || !self.jobs.search.asked.is_empty() {
            return;
        }
        self.jobs.search.running = false;
        let all: Vec<JobId> = self.jobs.jobs.keys().copied().collect();
        for id in all {
            for task in self.jobs.jobs[&id].tasks_in(|s| s == Stage::Unknown) {
                self.wait_again(task, true);
            }
            self.gang_moved(id);
            self.queue_job(id);
        }
    }
}
