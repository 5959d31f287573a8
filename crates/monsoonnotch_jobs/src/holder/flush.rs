//! Progress of jobs goes into the journal before ends are taken note of.

use super::job::Job;
use super::*;
use crate::journal;
use crate::journal::Progress;
use crate::journal::StageProgress;
use crate::journal::Stored;

/// Bytes of one append, at most; well under what the store takes at once.
const APPEND_MAX: usize = 512 * 1024;

/// What is to be stored, and what is being stored.
#[derive(Debug, Default)]
pub(super) struct Flush {
    dirty: BTreeSet<JobKey>,
    /// VMs of which ends were taken in.
    ends: BTreeSet<VmKey>,
    dropped: Vec<Stored>,
    batch: Option<Batch>,
    next_at: Time,
}

/// What the append that is on its way covers.
#[derive(Debug)]
struct Batch {
    jobs: Vec<(JobKey, JobId, Progress)>,
    ends: Vec<(VmKey, u64, u64)>,
}

impl Flush {
    pub(super) fn dirty(&mut self, key: JobKey) {
        self.dirty.insert(key);
    }

    pub(super) fn ends_came(&mut self, vm: VmKey) {
        self.ends.insert(vm);
    }

    pub(super) fn drop_job(&mut self, key: JobKey, id: JobId) {
        self.dirty.remove(&key);
        self.dropped.extend(journal::dropped(id));
    }
}

impl Holder {
    /// Stores what has changed, unless an append is on its way.
    pub(super) fn flush_progress(&mut self) {
        if self.flush.batch.is_some() || self.now < self.flush.next_at {
            return;
        }
        let ends = std::mem::take(&mut self.flush.ends);
        let seen = |vm: VmKey| {
            let row = self.vms.get(vm)?;
            Some((vm, row.report.born_ms, row.ends_seen))
        };
        let ends: Vec<(VmKey, u64, u64)> = ends.into_iter().filter_map(seen).collect();
        if self.flush.dirty.is_empty() && self.flush.dropped.is_empty() {
            return self.note_ends(&ends);
        }
        let mut records = std::mem::take(&mut self.flush.dropped);
        let mut jobs = Vec::new();
        let mut size = 0;
        while size < APPEND_MAX
            && let Some(key) = self.flush.dirty.pop_first()
        {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let progress = progress_of(job);
            let record = journal::progressed(job.id, &progress);
            size += record.value.len();
            records.push(record);
            if progress.outcome.is_some() {
                // All that a later holder needs of an ended job is in its progress.
                records.push(journal::submission_dropped(job.id));
            }
            jobs.push((key, job.id, progress));
        }
        let whole = self.flush.dirty.is_empty();
        // Ends are covered only by an append that holds all that they changed.
        let ends = match whole {
            true => ends,
            false => {
                self.flush.ends.extend(ends.iter().map(|e| e.0));
                Vec::new()
            }
        };
        self.flush.batch = Some(Batch { jobs, ends });
        self.fx.push(Effect::Append(records));
    }

    /// Takes in whether the append was stored.
    pub(super) fn appended(&mut self, stored: bool) {
        let Some(batch) = self.flush.batch.take() else {
            return;
        };
        if !stored {
            // Certain not to be stored: it goes again with what came since.
            self.flush.dirty.extend(batch.jobs.iter().map(|j| j.0));
            self.flush.ends.extend(batch.ends.iter().map(|e| e.0));
            self.flush.next_at = self.now + SCAN_PAUSE;
            return;
        }
        self.flush.next_at = self.now + self.tuning.flush_pause;
        for (key, id, progress) in batch.jobs {
            let Some(job) = self.jobs.get_mut(key).filter(|j| j.id == id) else {
                continue;
            };
            if job.stored.is_none() && progress.outcome.is_some() {
                job.stored = progress.outcome;
            }
        }
        self.note_ends(&batch.ends);
    }

    fn note_ends(&mut self, ends: &[(VmKey, u64, u64)]) {
        for &(vm, born_ms, number) in ends {
            let same = self
                .vms
                .get(vm)
                .is_some_and(|v| v.report.born_ms == born_ms);
            if same {
                self.ends_stored(vm, number);
            }
        }
    }
}

fn progress_of(job: &Job) -> Progress {
    let ended = job.outcome.is_some();
    let stages = job.stages.iter().filter(|_| !ended);
    let stages = stages.filter_map(|(&(occurrence, step), stage)| {
        let tasks = || (0_u32..).zip(&stage.tasks);
        let whole = stage.whole();
        let done = tasks().filter(|(_, t)| t.done && !whole);
        let failed = tasks().filter(|(_, t)| !t.failed.is_empty() && !whole);
        let saved = tasks().filter(|(_, t)| !t.saved.is_empty() && !t.done && t.run.is_none());
        let progress = StageProgress {
            occurrence,
            step,
            whole,
            done: done.map(|(i, _)| i).collect(),
            failed: failed
                .map(|(i, t)| (i, t.failed.iter().copied().collect()))
                .collect(),
            saved: saved.map(|(i, t)| (i, t.saved.clone())).collect(),
        };
        let some = whole || !progress.done.is_empty() || !progress.failed.is_empty();
        (some || !progress.saved.is_empty()).then_some(progress)
    });
    Progress {
        outcome: job.outcome,
        account: if ended {
            job.account.clone()
        } else {
            CompactString::default()
        },
        begun: job.begun,
        stages: stages.collect(),
    }
}
