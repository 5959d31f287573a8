//! Journalling of ended tasks, and their confirmation to the holders.

use std::collections::BTreeMap;

use super::super::journal::AfterAppend;
use super::Control;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::JournalEntry;
use crate::wire::PeerMsg;

/// Maximum number of tasks in one confirmation.
const CONFIRM_MAX: usize = 1_024;

/// Indexes of the tasks of one job that ended since the last append.
#[derive(Debug, Default)]
struct EndedTasks {
    done: Vec<u32>,
    failed: Vec<u32>,
}

/// Ended tasks that have to be journalled or confirmed.
#[derive(Debug, Default)]
pub(super) struct Progress {
    ended: BTreeMap<JobId, EndedTasks>,
    /// Tasks that are confirmed once their outcomes are in the journal.
    recording: Vec<(MemberId, TaskId)>,
    /// Tasks that are confirmed at the end of the tick.
    confirmed: BTreeMap<MemberId, Vec<TaskId>>,
}

impl Progress {
    /// Adds a task that completed or failed permanently.
    pub(super) fn add(&mut self, job: JobId, index: u32, succeeded: bool) {
        let ended = self.ended.entry(job).or_default();
        match succeeded {
            true => ended.done.push(index),
            false => ended.failed.push(index),
        }
    }

    /// Schedules the confirmation to a holder for when the outcome of the task is journalled.
    pub(super) fn confirm_recorded(&mut self, holder: MemberId, id: TaskId) {
        self.recording.push((holder, id));
    }

    /// Schedules the confirmation to a holder for the end of the tick.
    pub(super) fn confirm(&mut self, holder: MemberId, id: TaskId) {
        self.confirmed.entry(holder).or_default().push(id);
    }
}

impl Control {
    /// Writes the ended tasks to the journal, with one entry for each job.
    pub(in crate::reducer) fn journal_progress(&mut self) {
        let recording = std::mem::take(&mut self.jobs.progress.recording);
        for (job, ended) in std::mem::take(&mut self.jobs.progress.ended) {
            self.push_ended(job, ended);
        }
        if !recording.is_empty() {
            self.journal
                .push(JournalEntry::Mark, AfterAppend::OutcomesRecorded(recording));
        }
    }

    /// Writes the ended tasks of one job to the journal, before the entry that ends the job.
    pub(super) fn journal_progress_of(&mut self, job: JobId) {
        if let Some(ended) = self.jobs.progress.ended.remove(&job) {
            self.push_ended(job, ended);
        }
    }

    pub(in crate::reducer) fn has_progress(&self) -> bool {
        !self.jobs.progress.ended.is_empty() || !self.jobs.progress.recording.is_empty()
    }

    /// Confirms tasks whose outcomes are now in the journal to their holders.
    pub(in crate::reducer) fn outcomes_recorded(&mut self, tasks: Vec<(MemberId, TaskId)>) {
        // Otherwise a successor may have read the journal before this entry. The unconfirmed
        // holder then repeats its update to the successor.
        if self.may_keep_records() {
            for (holder, id) in tasks {
                self.jobs.progress.confirm(holder, id);
            }
        }
    }

    pub(super) fn flush_confirmed(&mut self) {
        for (holder, mut all) in std::mem::take(&mut self.jobs.progress.confirmed) {
            while !all.is_empty() {
                let n = all.len().min(CONFIRM_MAX);
                let tasks: Vec<TaskId> = all.drain(..n).collect();
                match holder == self.cfg.me {
                    true => self.updates_acknowledged(&tasks),
                    false => self.send(holder, PeerMsg::TaskUpdatesAck { tasks }),
                }
            }
        }
    }

    fn push_ended(&mut self, job: JobId, ended: EndedTasks) {
        let entry = JournalEntry::Progress {
            job,
            done: ended.done,
            failed: ended.failed,
        };
        self.journal.push(entry, AfterAppend::Nothing);
    }
}
