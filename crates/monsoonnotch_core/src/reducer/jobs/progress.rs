//! Ends of tasks on their way to the journal, and what holders are told of them.

use std::collections::BTreeMap;

use super::super::journal::Then;
use super::Control;
use crate::ident::JobId;
use crate::ident::MemberId;
use crate::ident::TaskId;
use crate::job::JournalEntry;
use crate::wire::PeerMsg;

/// Most tasks in one confirmation.
const CONFIRM_MAX: usize = 1_024;

/// Tasks of one job that ended since the last append.
#[derive(Debug, Default)]
struct Ends {
    done: Vec<u32>,
    failed: Vec<u32>,
}

/// What has to be written, and what may be confirmed.
#[derive(Debug, Default)]
pub(super) struct Progress {
    ends: BTreeMap<JobId, Ends>,
    /// Confirmed once the ends are in the journal.
    recording: Vec<(MemberId, TaskId)>,
    /// Confirmed at the end of the tick.
    confirmed: BTreeMap<MemberId, Vec<TaskId>>,
}

impl Progress {
    /// A task ended for good.
    pub(super) fn add(&mut self, job: JobId, index: u32, well: bool) {
        let ends = self.ends.entry(job).or_default();
        match well {
            true => ends.done.push(index),
            false => ends.failed.push(index),
        }
    }

    /// A holder is to be told that the end of its task is recorded, after it is.
    pub(super) fn confirm_recorded(&mut self, holder: MemberId, id: TaskId) {
        self.recording.push((holder, id));
    }

    /// A holder is to be told that the end of its task is known.
    pub(super) fn confirm(&mut self, holder: MemberId, id: TaskId) {
        self.confirmed.entry(holder).or_default().push(id);
    }
}

impl Control {
    /// Hands what ended to the journal; one entry for each job.
    pub(in crate::reducer) fn journal_progress(&mut self) {
        let recording = std::mem::take(&mut self.jobs.progress.recording);
        for (job, ends) in std::mem::take(&mut self.jobs.progress.ends) {
            self.push_ends(job, ends);
        }
        if !recording.is_empty() {
            self.journal.push(JournalEntry::Mark, Then::Seen(recording));
        }
    }

    /// Hands what ended of one job to the journal, before its own end goes there.
    pub(super) fn journal_progress_of(&mut self, job: JobId) {
        if let Some(ends) = self.jobs.progress.ends.remove(&job) {
            self.push_ends(job, ends);
        }
    }

    pub(in crate::reducer) fn has_progress(&self) -> bool {
        !self.jobs.progress.ends.is_empty() || !self.jobs.progress.recording.is_empty()
    }

    /// The ends of these tasks are in the journal.
    pub(in crate::reducer) fn ends_recorded(&mut self, tasks: Vec<(MemberId, TaskId)>) {
        // An heir may have read the journal before this; the holder tells it, too.
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
                    true => self.tasks_seen(&tasks),
                    false => self.send(holder, PeerMsg::TaskUpdatesAck { tasks }),
                }
            }
        }
    }

    fn push_ends(&mut self, job: JobId, ends: Ends) {
        let entry = JournalEntry::Progress {
            job,
            done: ends.done,
            failed: ends.failed,
        };
        self.journal.push(entry, Then::Nothing);
    }
}
