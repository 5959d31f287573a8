//! Applies journal records: submissions, cancellations, progress and placements.

use super::job::Job;
use super::parts::PartKey;
use super::*;
use crate::access::Caller;
use crate::journal;
use crate::journal::Entry;
use crate::journal::Owner;
use crate::journal::Progress;
use crate::journal::Submission;
use crate::plan::parse_job_id;

/// Burst size of an account, in seconds of its entitled share.
const BURST_SECS: f64 = 2.0;
/// Maximum number of reported records that wait for earlier ones. Further ones are read from
/// the journal.
const REPORTED_RECORDS_MAX: usize = 1_024;
/// Attempt numbers reserved for one term. The attempts of the next term have higher ones.
const ATTEMPTS_PER_TERM: u64 = 1_000;

/// Token bucket that limits an account to its entitled share of jobs per second.
#[derive(Debug)]
pub(super) struct ShareBucket {
    left: f64,
    at_ms: u64,
}

impl ShareBucket {
    /// Takes one job from the bucket; returns false if the account is above its share.
    fn take(&mut self, weight: f64, at_ms: u64) -> bool {
        let secs = at_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(at_ms);
        self.left = (self.left + weight * secs).min(weight * BURST_SECS);
        let within = self.left >= 1.0;
        if within {
            self.left -= 1.0;
        }
        within
    }
}

/// Returns the submission of a job as it was accepted.
fn submission_of(job: &Job) -> Submission {
    Submission {
        queue: job.queue.clone(),
        account: job.account.clone(),
        pool: job.pool.clone(),
        accepted_ms: job.accepted_ms,
        plan: job.plan.clone(),
    }
}

impl Scheduler {
    /// Applies the next records of the journal, in order.
    pub(super) fn replay(&mut self, records: Vec<(u64, KeyedRecord)>) {
        let next = records.last().map_or(0, |(last, _)| last + 1);
        self.replay_newest(records, next);
    }

    /// Applies records of the journal after which all records before `next` are known.
    pub(super) fn replay_newest(&mut self, records: Vec<(u64, KeyedRecord)>, next: u64) {
        if self.apply(records) {
            self.read_to = self.read_to.max(next);
            self.apply_reported();
        }
    }

    /// Applies the records that a member reports, each once all earlier ones are known.
    ///
    /// A record after a gap may belong to the term of a successor, which may already run the
    /// job: the record by which that term starts is then in the gap.
    pub(super) fn records_reported(&mut self, records: Vec<(u64, KeyedRecord)>) {
        for (offset, stored) in records {
            if offset == self.read_to || self.reported.len() < REPORTED_RECORDS_MAX {
                self.reported.insert(offset, stored);
            }
            self.apply_reported();
        }
    }

    /// Applies the reported records that follow the known ones without a gap.
    fn apply_reported(&mut self) {
        // Until the journal has been read, a newer record of the same key may follow.
        if self.marker.is_none() {
            return;
        }
        while let Some(entry) = self.reported.first_entry()
            && *entry.key() <= self.read_to
        {
            let (offset, stored) = entry.remove_entry();
            if offset == self.read_to && self.apply(vec![(offset, stored)]) {
                self.read_to += 1;
            }
        }
    }

    /// Applies stored records; each may be delivered more than once.
    ///
    /// Returns false, and applies none of them, if a newer term has begun.
    fn apply(&mut self, records: Vec<(u64, KeyedRecord)>) -> bool {
        // The newest records are in the order of their keys, so that records of a newer term may
        // precede the one by which it starts.
        if records.iter().any(|(_, r)| self.starts_newer_term(r)) {
            self.step_down();
        }
        if self.stopped {
            return false;
        }
        for (offset, stored) in records {
            let known = parse_job_id(&stored.key);
            if let Some(key) = known.and_then(|id| self.jobs_by_id.get(&id).copied()) {
                self.submitted_again(key, &stored);
                continue;
            }
            // After the journal has been read, these are the scheduler's own records and
            // already applied.
            if self.marker.is_some() && journal::is_written_by_leader(&stored.key) {
                continue;
            }
            let part = journal::part_of_key(&stored.key).unwrap_or(0);
            match journal::decode_entry(&stored) {
                Some(Entry::Submitted(id, submission)) => {
                    self.apply_submission(offset, id, *submission)
                }
                Some(Entry::Cancelled(id, caller)) => self.apply_cancellation(id, caller),
                Some(Entry::Progressed(id, progress)) => self.apply_progress(id, part, progress),
                Some(Entry::Placed(id, placements)) => self.apply_placements(id, part, &placements),
                Some(Entry::Fleet(ids)) => self.apply_fleet(&ids),
                Some(Entry::Leases(leases)) => self.apply_leases(&leases),
                Some(Entry::Speeds(kinds)) => self.apply_speeds(&kinds),
                Some(Entry::TermStarted { .. } | Entry::Dropped) => {}
                None => self.log(
                    0,
                    "record skipped",
                    format!("offset={offset} unknown key or malformed value"),
                ),
            }
        }
        true
    }

    fn starts_newer_term(&self, stored: &KeyedRecord) -> bool {
        let entry = (stored.key == journal::LEADER_KEY).then(|| journal::decode_entry(stored));
        matches!(entry, Some(Some(Entry::TermStarted { token })) if token > self.token)
    }

    fn apply_submission(&mut self, offset: u64, id: JobId, submission: Submission) {
        if self.jobs_by_id.contains_key(&id) || !submission.plan.is_valid() {
            return;
        }
        let new_in_term = self.marker.is_some_and(|m| offset > m);
        let over_share =
            new_in_term && !self.take_share(&submission.account, submission.accepted_ms);
        let detail = format!(
            "queue={} account={} offset={offset} over_share={over_share} steps={}",
            submission.queue,
            submission.account,
            submission.plan.steps.len()
        );
        let job = Job {
            new_in_term,
            attempt_base: if new_in_term {
                0
            } else {
                self.token * ATTEMPTS_PER_TERM
            },
            over_share,
            cancelled: self.is_cancelled_early(id, &submission.account, &submission.queue),
            ..Job::new(
                id,
                submission.queue,
                submission.account,
                submission.pool,
                submission.plan,
                submission.accepted_ms,
            )
        };
        let ended = job.ended();
        let key = self.insert_job(job);
        self.jobs_by_id.insert(id, key);
        self.open_jobs.insert(key);
        self.record_typical(key);
        if self.marker.is_some() {
            self.log(id.0, "job accepted", detail);
        }
        if ended {
            return self.retire_job(key);
        }
        // Until the journal has been read to its end, a cancellation may still follow.
        if self.marker.is_some() {
            self.advance(key);
        }
    }

    /// Takes a job accepted at `accepted_ms` from an account's share; returns false if the
    /// account is above its entitled share.
    fn take_share(&mut self, account: &str, accepted_ms: u64) -> bool {
        let Some(weight) = self.config.accounts.get(account).map(|a| a.weight) else {
            return true;
        };
        if weight <= 0.0 {
            return true;
        }
        let full = ShareBucket {
            left: weight * BURST_SECS,
            at_ms: accepted_ms,
        };
        let rate = self.share_buckets.entry(account.into()).or_insert(full);
        rate.take(weight, accepted_ms)
    }

    /// Computes again which jobs are above their account's entitled share, in the order
    /// they were accepted, because a predecessor does not store its results.
    fn recompute_shares(&mut self) {
        let submitted = self.jobs.iter().filter(|(_, j)| j.accepted_ms > 0);
        let mut by_acceptance: Vec<(u64, JobKey)> =
            submitted.map(|(k, j)| (j.accepted_ms, k)).collect();
        by_acceptance.sort_unstable();
        for (accepted_ms, key) in by_acceptance {
            let Some(account) = self.jobs.get(key).map(|j| j.account.clone()) else {
                continue;
            };
            let over_share = !self.take_share(&account, accepted_ms);
            if let Some(job) = self.jobs.get_mut(key) {
                job.over_share = over_share;
            }
        }
    }

    /// Keeps a job as it was accepted although its submission was stored again with another account, queue or plan: a
    /// successor would read the newest one.
    fn submitted_again(&mut self, key: JobKey, stored: &KeyedRecord) {
        let Some(job) = self.jobs.get(key).filter(|j| !j.ended()) else {
            return;
        };
        let Some(Entry::Submitted(id, again)) = journal::decode_entry(stored) else {
            return;
        };
        let accepted = submission_of(job);
        let same = Submission {
            accepted_ms: accepted.accepted_ms,
            ..*again
        };
        if accepted == same {
            return;
        }
        self.flush
            .write_record(journal::submission_record(id, &accepted));
        let detail = format!("queue={} account={}", same.queue, same.account);
        self.warn(id.0, "job submitted otherwise", detail);
    }

    /// Gives a job back to its first owner if its submission was stored again with another one, and its
    /// predecessor had not replaced it.
    pub(super) fn restore_owner(&mut self, key: JobKey, owner: &Owner) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.account == owner.account && job.queue == owner.queue {
            return;
        }
        job.account = owner.account.clone();
        job.queue = owner.queue.clone();
        let (id, submission) = (job.id, submission_of(job));
        self.flush
            .write_record(journal::submission_record(id, &submission));
        let detail = format!("queue={} account={}", owner.queue, owner.account);
        self.warn(id.0, "owner restored", detail);
    }

    /// Whether a cancellation that is in force preceded a submission.
    fn is_cancelled_early(&mut self, id: JobId, account: &str, queue: &str) -> bool {
        let early = self.early_cancellations.remove(id);
        early.is_some_and(|caller| self.is_in_force(id, caller.as_ref(), account, queue))
    }

    /// Whether the cancellation of a job is in force.
    fn is_in_force(
        &mut self,
        id: JobId,
        caller: Option<&Caller>,
        account: &str,
        queue: &str,
    ) -> bool {
        let foreign = caller.filter(|c| !c.owns(account, queue));
        if let Some(caller) = foreign {
            let detail = format!("account={}", caller.account);
            self.warn(id.0, "cancellation refused", detail);
        }
        foreign.is_none()
    }

    fn apply_cancellation(&mut self, id: JobId, caller: Option<Caller>) {
        let Some(&key) = self.jobs_by_id.get(&id) else {
            // The submission may still follow: a caller may cancel a job for which it got
            // no answer.
            self.early_cancellations.insert(id, caller, self.now);
            return;
        };
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let (cancelled, ended) = (job.cancelled, job.ended());
        let (account, queue) = (job.account.clone(), job.queue.clone());
        if !self.is_in_force(id, caller.as_ref(), &account, &queue) {
            if cancelled {
                // It has replaced the record of the one that is.
                self.flush.write_record(journal::cancellation_record(id));
            }
            return;
        }
        if ended {
            return;
        }
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.cancelled = true;
        self.retire_job(key);
        self.log(id.0, "job cancelled", "by its caller".to_owned());
    }

    /// Applies the progress of a part that a predecessor stored. Ignored once the journal has been read,
    /// because the scheduler applies the progress of its own term before storing it.
    fn apply_progress(&mut self, id: JobId, part: u64, progress: Progress) {
        if self.marker.is_some() {
            return;
        }
        let Some(&key) = self.jobs_by_id.get(&id) else {
            return self.add_ended_job(id, progress);
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.begun |= progress.begun;
        job.skip_to(progress.complete_to);
        for stage in &progress.stages {
            job.restore(stage);
        }
        if progress.outcome.is_some() {
            job.outcome = progress.outcome;
            job.stored_outcome = progress.outcome;
            self.retire_job(key);
        }
        self.divide_progress(key, part, &progress);
        self.add_stored_part(PartKey::new(key, part));
    }

    /// Adds an ended job of which only the progress record is left.
    fn add_ended_job(&mut self, id: JobId, progress: Progress) {
        if progress.outcome.is_none() {
            return;
        }
        let pool = CompactString::default();
        let job = Job {
            outcome: progress.outcome,
            stored_outcome: progress.outcome,
            begun: true,
            ended_at: Some(self.now),
            ..Job::new(
                id,
                progress.queue,
                progress.account,
                pool,
                Plan::default(),
                0,
            )
        };
        let key = self.insert_job(job);
        self.jobs_by_id.insert(id, key);
        self.ended_jobs.insert((self.now, key));
    }

    /// Starts scheduling, once the journal has been read up to this term's first record.
    pub(super) fn caught_up(&mut self, marker: u64) {
        self.marker = Some(marker);
        self.read_to = self.read_to.max(marker + 1);
        self.recompute_shares();
        let keys: Vec<JobKey> = self.open_jobs.iter().copied().collect();
        let open = self.open_jobs.len();
        self.log(
            0,
            "journal replayed",
            format!("marker={marker} jobs={} open={open}", keys.len()),
        );
        for key in keys {
            self.advance(key);
        }
        self.next_awaited_log = self.now + job::WAIT_LOG_INTERVAL;
        self.poll_all();
        self.apply_reported();
    }
}
