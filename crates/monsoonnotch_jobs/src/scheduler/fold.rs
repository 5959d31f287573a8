//! Takes in the journal: jobs handed in, cancelled, and how far they are.

use super::job::Job;
use super::*;
use crate::journal;
use crate::journal::Entry;
use crate::journal::KeyedRecord;
use crate::journal::Progress;
use crate::journal::Submission;
use crate::plan::parse_job_id;

/// Seconds of an account's share that it may send at once.
const BURST_S: f64 = 2.0;
/// Attempts that one holder can need; the next holder's numbers lie above them.
const ATTEMPTS_A_TERM: u64 = 1_000;

/// How much of its share an account has used, as a bucket that fills with time.
#[derive(Debug)]
pub(super) struct Rate {
    left: f64,
    at_ms: u64,
}

impl Rate {
    /// Takes one job from the bucket; false when the account is over its share.
    fn take(&mut self, weight: f64, at_ms: u64) -> bool {
        let secs = at_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(at_ms);
        self.left = (self.left + weight * secs).min(weight * BURST_S);
        let within = self.left >= 1.0;
        if within {
            self.left -= 1.0;
        }
        within
    }
}

impl Scheduler {
    /// Takes in records of the journal, in order.
    pub(super) fn read_on(&mut self, records: Vec<(u64, KeyedRecord)>) {
        if let Some((last, _)) = records.last() {
            self.read_to = self.read_to.max(last + 1);
        }
        self.fold(records);
    }

    /// Takes in stored records; each may come more than once.
    pub(super) fn fold(&mut self, records: Vec<(u64, KeyedRecord)>) {
        for (offset, stored) in records {
            let known = |id: JobId| self.by_id.contains_key(&id);
            if parse_job_id(&stored.key).is_some_and(known) {
                continue;
            }
            // Once the journal was read these are its own.
            if self.marker.is_some() && journal::is_written_by_leader(&stored.key) {
                continue;
            }
            match journal::decode_entry(&stored) {
                Some(Entry::Submitted(id, submission)) => self.submitted(offset, id, *submission),
                Some(Entry::Cancelled(id)) => self.cancelled(id),
                Some(Entry::Progressed(id, progress)) => self.restored(id, progress),
                Some(Entry::Placed(id, placements)) => self.placed_before(id, &placements),
                Some(Entry::Fleet(ids)) => self.fleet_before(&ids),
                Some(Entry::TermStarted { token }) if token > self.token => self.step_down(),
                Some(Entry::TermStarted { .. } | Entry::Dropped) => {}
                None => self.note(
                    0,
                    "record skipped",
                    format!("offset={offset} not one of ours"),
                ),
            }
        }
    }

    fn submitted(&mut self, offset: u64, id: JobId, submission: Submission) {
        if self.by_id.contains_key(&id) || !submission.plan.is_valid() {
            return;
        }
        let fresh = self.marker.is_some_and(|m| offset > m);
        let over = fresh && !self.within_share(&submission.account, submission.accepted_ms);
        let note = format!(
            "queue={} account={} offset={offset} over_share={over} steps={}",
            submission.queue,
            submission.account,
            submission.plan.steps.len()
        );
        let job = Job {
            id,
            queue: submission.queue,
            account: submission.account,
            pool: submission.pool,
            spec: submission.plan.spec.as_str().into(),
            accepted_ms: submission.accepted_ms,
            plan: submission.plan,
            fresh,
            attempts_before: if fresh {
                0
            } else {
                self.token * ATTEMPTS_A_TERM
            },
            over,
            cancelled: self.cancelled_first.remove(&id),
            outcome: None,
            stored: None,
            begun: false,
            ended_at: None,
            stages: BTreeMap::new(),
            next_occurrence: 0,
        };
        let ended = job.ended();
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.open.insert(key);
        if self.marker.is_some() {
            self.note(id.0, "job taken in", note);
        }
        if ended {
            return self.withdraw(key);
        }
        // Until the journal was read to its end, a cancelling may still follow.
        if self.marker.is_some() {
            self.advance(key);
        }
    }

    /// Whether an account is owed a job that was taken at a time.
    fn within_share(&mut self, account: &str, accepted_ms: u64) -> bool {
        let Some(weight) = self.site.accounts.get(account).map(|a| a.weight) else {
            return true;
        };
        if weight <= 0.0 {
            return true;
        }
        let full = Rate {
            left: weight * BURST_S,
            at_ms: accepted_ms,
        };
        let rate = self.rates.entry(account.into()).or_insert(full);
        rate.take(weight, accepted_ms)
    }

    /// Works out anew which jobs their accounts are owed, in the order they were
    /// taken: a former holder's reckoning ended with it.
    fn reckon_shares(&mut self) {
        let known = self.jobs.iter().filter(|(_, j)| j.accepted_ms > 0);
        let mut line: Vec<(u64, JobKey)> = known.map(|(k, j)| (j.accepted_ms, k)).collect();
        line.sort_unstable();
        for (accepted_ms, key) in line {
            let Some(account) = self.jobs.get(key).map(|j| j.account.clone()) else {
                continue;
            };
            let over = !self.within_share(&account, accepted_ms);
            if let Some(job) = self.jobs.get_mut(key) {
                job.over = over;
            }
        }
    }

    fn cancelled(&mut self, id: JobId) {
        let Some(&key) = self.by_id.get(&id) else {
            // The job may still come: a caller may cancel what it got no answer for.
            self.cancelled_first.insert(id);
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.ended() {
            return;
        }
        job.cancelled = true;
        self.withdraw(key);
        self.note(id.0, "job cancelled", "by its caller".to_owned());
    }

    /// Takes in what a former holder stored; what this one stored is known.
    fn restored(&mut self, id: JobId, progress: Progress) {
        if self.marker.is_some() {
            return;
        }
        let Some(&key) = self.by_id.get(&id) else {
            return self.ended_before(id, progress);
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.begun |= progress.begun;
        for stage in &progress.stages {
            job.restore(stage);
        }
        if progress.outcome.is_some() {
            job.outcome = progress.outcome;
            job.stored = progress.outcome;
            self.withdraw(key);
        }
    }

    /// Takes in a job that has ended and of which only the end is stored.
    fn ended_before(&mut self, id: JobId, progress: Progress) {
        if progress.outcome.is_none() {
            return;
        }
        let job = Job {
            id,
            queue: CompactString::default(),
            account: progress.account,
            pool: CompactString::default(),
            spec: "".into(),
            accepted_ms: 0,
            plan: Plan::default(),
            fresh: false,
            attempts_before: 0,
            over: false,
            cancelled: false,
            outcome: progress.outcome,
            stored: progress.outcome,
            begun: true,
            ended_at: Some(self.now),
            stages: BTreeMap::new(),
            next_occurrence: 0,
        };
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
    }

    /// Begins to decide: the journal has been read up to this holder's first record.
    pub(super) fn caught_up(&mut self, marker: u64) {
        self.marker = Some(marker);
        self.read_to = self.read_to.max(marker + 1);
        self.reckon_shares();
        let keys: Vec<JobKey> = self.open.iter().copied().collect();
        let open = self.open.len();
        self.note(
            0,
            "journal read",
            format!("marker={marker} jobs={} open={open}", keys.len()),
        );
        for key in keys {
            self.advance(key);
        }
        self.look_at_all();
    }
}
