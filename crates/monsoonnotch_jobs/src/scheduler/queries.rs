//! Answers to queries from callers, based on what is stored in the journal.

use super::*;
use crate::access::Caller;
use crate::effect::Answer;
use crate::effect::JobState;
use crate::effect::QueryKey;
use crate::event::Query;
use crate::journal::Outcome;

impl Scheduler {
    /// Answers a query. Until the journal has been read, jobs are missing, and nothing is answered:
    /// the member repeats its query.
    pub(super) fn answer_query(&mut self, key: QueryKey, query: &Query) {
        if self.marker.is_none() {
            return;
        }
        let answer = match query {
            Query::State { id, caller } => self.job_state(*id, caller),
            Query::Pending { queue } => self.pending_jobs(queue),
        };
        self.effects.push(Effect::Reply { key, answer });
    }

    fn job_state(&self, id: JobId, caller: &Caller) -> Answer {
        let job = self.jobs_by_id.get(&id).and_then(|&k| self.jobs.get(k));
        let Some(job) = job else {
            return Answer::NoJob {
                read_to: self.read_to,
            };
        };
        if !caller.may_access(&job.account, &job.queue, &self.config) {
            return Answer::Foreign;
        }
        let state = match job.stored_outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            None if job.cancelled => JobState::Cancelled,
            None if job.begun => JobState::Active,
            None => JobState::Queued,
        };
        Answer::State(state)
    }

    fn pending_jobs(&self, queue: &str) -> Answer {
        let open = self.open_jobs.iter().filter_map(|&k| self.jobs.get(k));
        let not_begun = |j: &&job::Job| j.queue == queue && !j.begun && !j.ended();
        Answer::Pending(open.filter(not_begun).count() as u64)
    }
}
