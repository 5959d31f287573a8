//! Adoption of jobs from the journal of a predecessor.

use std::collections::BTreeMap;

use super::Control;
use super::ENDED_RETENTION;
use super::Stage;
use super::gang::Gang;
use super::table::Job;
use crate::ident::JobId;
use crate::job::Accepted;
use crate::job::JournalEntry;
use crate::job::Phase;

/// The state of a job after the replay of a journal.
#[derive(Debug)]
struct ReplayedJob {
    record: Accepted,
    /// The final stage of each task that has ended.
    ended: BTreeMap<u32, Stage>,
    phase: Phase,
}

impl Control {
    /// Takes over the jobs of a journal whose home is now this member.
    pub(in crate::reducer) fn adopt_jobs(&mut self, entries: &[JournalEntry]) {
        for (id, replayed) in jobs_in(entries) {
            if self.home_of_job(id) != Some(self.cfg.me) {
                continue;
            }
            match self.jobs.jobs.contains_key(&id) {
                true => self.merge_job(id, replayed),
                false => self.adopt_job(replayed),
            }
            self.write_adopted(id);
        }
    }

    fn adopt_job(&mut self, mut replayed: ReplayedJob) {
        replayed.record.generation += 1;
        let id = replayed.record.job;
        let mut job = Job::new(&replayed.record, self.now);
        for index in 0..job.spec.count {
            let stage = replayed.ended.get(&index).copied();
            job.set_stage(index, stage.unwrap_or(Stage::Unknown));
        }
        job.phase = replayed.phase;
        if job.is_gang() {
            job.gang = Gang::adopted();
        }
        if job.phase != Phase::Active {
            self.jobs.removals.insert((self.now + ENDED_RETENTION, id));
        }
        self.keep_job(job);
    }

    /// Merges a job that two previous homes recorded: a task that ended for either has ended.
    fn merge_job(&mut self, id: JobId, replayed: ReplayedJob) {
        let job = self
            .jobs
            .jobs
            .get_mut(&id)
            .expect("the caller found the job");
        job.generation = job.generation.max(replayed.record.generation + 1);
        for (index, stage) in replayed.ended {
            let known = job.tasks.get(index as usize).map(|t| t.stage);
            if known.is_some_and(|s| !s.is_over()) {
                job.set_stage(index, stage);
            }
        }
        if job.phase == Phase::Active && replayed.phase != Phase::Active {
            job.phase = replayed.phase;
            self.jobs.removals.insert((self.now + ENDED_RETENTION, id));
        }
    }

    fn write_adopted(&mut self, id: JobId) {
        let requeue = self.jobs.rewrites.iter().find(|(_, j)| *j == id).copied();
        if let Some(due) = requeue {
            self.jobs.rewrites.remove(&due);
        }
        self.rewrite_job(id);
    }
}

/// Replays the entries of a journal and returns the resulting jobs.
fn jobs_in(entries: &[JournalEntry]) -> BTreeMap<JobId, ReplayedJob> {
    let mut jobs: BTreeMap<JobId, ReplayedJob> = BTreeMap::new();
    for entry in entries {
        match entry {
            JournalEntry::Job(record) => {
                let replayed = || ReplayedJob {
                    record: record.clone(),
                    ended: BTreeMap::new(),
                    phase: Phase::Active,
                };
                let replayed = jobs.entry(record.job).or_insert_with(replayed);
                replayed.record = record.clone();
            }
            JournalEntry::Progress { job, done, failed } => {
                if let Some(replayed) = jobs.get_mut(job) {
                    let done = done.iter().map(|i| (*i, Stage::Done));
                    let failed = failed.iter().map(|i| (*i, Stage::Failed));
                    replayed.ended.extend(done.chain(failed));
                }
            }
            JournalEntry::Ended { job, phase } => {
                if let Some(replayed) = jobs.get_mut(job) {
                    replayed.phase = *phase;
                }
            }
            _ => {}
        }
    }
    jobs
}
