//! Jobs of a former home, as its journal tells them.

use std::collections::BTreeMap;

use super::Control;
use super::KEEP_ENDED;
use super::Stage;
use super::gather::Gang;
use super::table::Job;
use crate::ident::JobId;
use crate::job::Accepted;
use crate::job::JournalEntry;
use crate::job::Phase;

/// A job as a journal leaves it.
#[derive(Debug)]
struct Found {
    record: Accepted,
    /// How each task ended, if it did.
    ends: BTreeMap<u32, Stage>,
    phase: Phase,
}

impl Control {
    /// Takes over the jobs in a journal that are at home here now.
    pub(in crate::reducer) fn adopt_jobs(&mut self, entries: &[JournalEntry]) {
        for (id, found) in jobs_in(entries) {
            if self.home_of_job(id) != Some(self.cfg.me) {
                continue;
            }
            match self.jobs.jobs.contains_key(&id) {
                true => self.merge_job(id, found),
                false => self.adopt_job(found),
            }
            self.write_adopted(id);
        }
    }

    fn adopt_job(&mut self, mut found: Found) {
        found.record.generation += 1;
        let id = found.record.job;
        let mut job = Job::new(&found.record, self.now);
        for index in 0..job.spec.count {
            let stage = found.ends.get(&index).copied();
            job.set_stage(index, stage.unwrap_or(Stage::Unknown));
        }
        job.phase = found.phase;
        if job.is_gang() {
            job.gang = Gang::taken_over();
        }
        if job.phase != Phase::Active {
            self.jobs.forgets.insert((self.now + KEEP_ENDED, id));
        }
        self.keep_job(job);
    }

    /// Two former homes knew the job: what either saw end has ended.
    fn merge_job(&mut self, id: JobId, found: Found) {
        let job = self.jobs.jobs.get_mut(&id).expect("the caller has seen it");
        job.generation = job.generation.max(found.record.generation + 1);
        for (index, stage) in found.ends {
            let known = job.tasks.get(index as usize).map(|t| t.stage);
            if known.is_some_and(|s| !s.is_over()) {
                job.set_stage(index, stage);
            }
        }
        if job.phase == Phase::Active && found.phase != Phase::Active {
            job.phase = found.phase;
            self.jobs.forgets.insert((self.now + KEEP_ENDED, id));
        }
    }

    fn write_adopted(&mut self, id: JobId) {
        let later = self.jobs.rewrites.iter().find(|(_, j)| *j == id).copied();
        if let Some(due) = later {
            self.jobs.rewrites.remove(&due);
        }
        self.rewrite_job(id);
    }
}

/// What remains of the jobs in a journal.
fn jobs_in(entries: &[JournalEntry]) -> BTreeMap<JobId, Found> {
    let mut jobs: BTreeMap<JobId, Found> = BTreeMap::new();
    for entry in entries {
        match entry {
            JournalEntry::Job(record) => {
                let found = || Found {
                    record: record.clone(),
                    ends: BTreeMap::new(),
                    phase: Phase::Active,
                };
                let found = jobs.entry(record.job).or_insert_with(found);
                found.record = record.clone();
            }
            JournalEntry::Progress { job, done, failed } => {
                if let Some(found) = jobs.get_mut(job) {
                    let done = done.iter().map(|i| (*i, Stage::Done));
                    let failed = failed.iter().map(|i| (*i, Stage::Failed));
                    found.ends.extend(done.chain(failed));
                }
            }
            JournalEntry::Ended { job, phase } => {
                if let Some(found) = jobs.get_mut(job) {
                    found.phase = *phase;
                }
            }
            _ => {}
        }
    }
    jobs
}
