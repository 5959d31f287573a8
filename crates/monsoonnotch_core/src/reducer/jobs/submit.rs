//! Submission of jobs: a job is checked and journalled before it is accepted.

use super::super::calls::RETRY_AFTER;
use super::super::journal::AfterAppend;
use super::super::scheduling::HEADROOM_MIN_DIVISOR;
use super::Control;
use super::JobRequester;
use super::REWRITE_INTERVAL;
use super::table::Job;
use super::table::job_memory;
use crate::config::Lane;
use crate::config::Profile;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::event::KeyProof;
use crate::ident::JobId;
use crate::ident::RangeId;
use crate::ident::Ticket;
use crate::job::Accepted;
use crate::job::JournalEntry;
use crate::job::Phase;
use crate::job::Spec;
use crate::resource::Resources;
use crate::time::Duration;
use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::wire::JobAnswer;
use crate::wire::JobRequest;
use crate::wire::PeerMsg;

/// Maximum number of tasks in one job.
const TASKS_MAX: u32 = 100_000;
/// Longest command of a job, in bytes.
const COMMAND_BYTES_MAX: usize = 4_000;
/// Maximum number of jobs that one home keeps.
const JOBS_MAX: usize = 65_536;
/// Part of the free memory that one job may take, as a divisor. So a few large jobs leave room to many
/// small ones.
const FREE_MEMORY_DIVISOR: u64 = 4;

impl Control {
    pub(in crate::reducer) fn submit(
        &mut self,
        ticket: Ticket,
        key: Option<KeyProof>,
        mut spec: Spec,
    ) {
        if let Some(key) = &key {
            match self.team_of(key) {
                Some(team) => spec.team = team,
                None => return self.refuse_ticket(ticket, Refusal::not_run(Reason::KeyRefused)),
            }
        }
        if self.has_ready_range() || !self.forward_submission(ticket, &spec) {
            self.accept(JobRequester::Here(ticket), spec);
        }
    }

    /// Checks a job, then journals it or refuses it.
    pub(super) fn accept(&mut self, requester: JobRequester, mut spec: Spec) {
        match self.admit_job(&mut spec) {
            Ok(profile) => self.record_job(requester, spec, &profile),
            Err(refusal) => self.answer_requester(requester, JobAnswer::Refused(refusal)),
        }
    }

    pub(in crate::reducer) fn job_accepted(&mut self, requester: JobRequester, id: JobId) {
        self.jobs.accepting.remove(&id);
        let Some(job) = self.jobs.jobs.get(&id) else {
            return;
        };
        let answer = JobAnswer::Status(job.status());
        // If a successor may have read the journal before this entry, the job may be lost, so it
        // is not reported as accepted.
        if self.may_keep_records() {
            self.answer_requester(requester, answer);
            self.queue_job(id);
        }
    }

    pub(super) fn answer_requester(&mut self, requester: JobRequester, answer: JobAnswer) {
        match requester {
            JobRequester::Here(ticket) => {
                let answer = match answer {
                    JobAnswer::Refused(r) => Answer::Refused(r),
                    status => Answer::Job(status),
                };
                self.effects.push(Effect::Answer { ticket, answer });
            }
            JobRequester::Peer(peer, query) => {
                self.send(peer, PeerMsg::JobAnswer { query, answer });
            }
        }
    }

    /// Forwards a submission to another member, because this one can be the home of no new job now.
    ///
    /// Returns whether a member for it exists.
    fn forward_submission(&mut self, ticket: Ticket, spec: &Spec) -> bool {
        let me = self.cfg.me;
        let others = self.ledger.ranges.values().filter(|m| **m != me);
        let n = others.clone().count();
        if n == 0 || !self.is_certain() || self.stopping.begun() {
            return false;
        }
        let index = usize::try_from(ticket.0).unwrap_or(0) % n;
        let Some(home) = others.clone().nth(index).copied() else {
            return false;
        };
        let request = JobRequest::Submit { spec: spec.clone() };
        self.send_query(ticket, home, request);
        true
    }

    fn has_ready_range(&self) -> bool {
        RangeId::all().any(|r| self.range_is_ready(r))
    }

    fn range_is_ready(&self, r: RangeId) -> bool {
        self.home_is_ready(u64::from(r.0) << 56)
    }

    fn admit_job(&self, spec: &mut Spec) -> Result<Profile, Refusal> {
        if self.stopping.begun() {
            return Err(Refusal::later(Reason::Stopping, RETRY_AFTER));
        }
        if !self.is_certain() {
            return Err(Refusal::later(Reason::Uncertain, RETRY_AFTER));
        }
        if self.log.unavailable || self.journal.unavailable {
            return Err(Refusal::later(Reason::LogUnavailable, RETRY_AFTER));
        }
        if self.jobs.jobs.len() >= JOBS_MAX {
            return Err(Refusal::later(Reason::QueueFull, RETRY_AFTER));
        }
        let profile = self.profile_of(&spec.profile, Lane::Batch)?;
        let too_large = spec.count > TASKS_MAX || spec.command.len() > COMMAND_BYTES_MAX;
        if spec.count == 0 || too_large || spec.priority > 9 {
            return Err(Refusal::not_run(Reason::Malformed));
        }
        let free = self.cfg.jobs_memory.saturating_sub(self.jobs.memory);
        if job_memory(spec) > free / FREE_MEMORY_DIVISOR {
            return Err(Refusal::later(Reason::QueueFull, RETRY_AFTER));
        }
        if spec.size == Default::default() {
            spec.size = profile.size;
        }
        spec.size.slots = spec.size.slots.max(1);
        spec.size.connections = 0;
        self.can_ever_run(spec, profile.lane)?;
        Ok(profile)
    }

    /// Refuses a job that could not run on the empty fleet or within the team's limit.
    fn can_ever_run(&self, spec: &Spec, lane: Lane) -> Result<(), Refusal> {
        let team = self.ledger.config.teams.get(&spec.team);
        let team = team.ok_or(Refusal::not_run(Reason::KeyRefused))?;
        if !self.fleet.fits_somewhere(&spec.size) {
            return Err(Refusal::not_run(Reason::FitsNowhere));
        }
        if lane != Lane::AllAtOnce {
            return Ok(());
        }
        if spec.count > team.value.limit {
            return Err(Refusal::not_run(Reason::AtLimit));
        }
        let fleet = self.fleet.iter().filter(|(_, vm)| !vm.info.leaving);
        let capacity: u64 = fleet
            .map(|(_, vm)| fit_count(&vm.info.total, &spec.size))
            .sum();
        let kept = match self.cfg.policy.headroom {
            true => capacity / HEADROOM_MIN_DIVISOR,
            false => 0,
        };
        match capacity - kept < u64::from(spec.count) {
            true => Err(Refusal::not_run(Reason::FitsNowhere)),
            false => Ok(()),
        }
    }

    fn record_job(&mut self, requester: JobRequester, spec: Spec, profile: &Profile) {
        let Some(job) = self.new_job_id() else {
            let refusal = Refusal::later(Reason::Uncertain, RETRY_AFTER);
            return self.answer_requester(requester, JobAnswer::Refused(refusal));
        };
        let max_attempts = match profile.lane {
            Lane::LongLived => u32::MAX,
            _ => profile.max_attempts,
        };
        let record = Accepted {
            job,
            spec,
            lane: profile.lane,
            max_attempts,
            generation: 0,
            age_ms: 0,
        };
        self.jobs.accepting.insert(job, requester);
        self.remember_accepted(requester, job);
        self.keep_job(Job::new(&record, self.now));
        self.journal.push(
            JournalEntry::Job(record),
            AfterAppend::Accept(requester, job),
        );
    }

    /// Adds a job to the table and to the timers.
    pub(super) fn keep_job(&mut self, job: Job) {
        let id = job.id;
        self.jobs.rewrites.insert((self.now + REWRITE_INTERVAL, id));
        let deadline = Duration::from_millis(job.spec.deadline_ms);
        if deadline > Duration::default() {
            let left = deadline.0.saturating_sub(job.age.0);
            let at = self.now + Duration(left);
            self.jobs.deadlines.insert((at, id));
        }
        self.jobs.insert(job);
    }

    /// Writes the full state of a job to the journal again.
    pub(super) fn rewrite_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.jobs.get(&id) else {
            return;
        };
        let record = job.record(self.now);
        let phase = job.phase;
        let over = |f: fn(super::Stage) -> bool| -> Vec<u32> {
            job.tasks_in(f).iter().map(|t| t.index).collect()
        };
        let progress = JournalEntry::Progress {
            job: id,
            done: over(|s| s == super::Stage::Done),
            failed: over(|s| s == super::Stage::Failed),
        };
        self.journal
            .push(JournalEntry::Job(record), AfterAppend::Nothing);
        self.journal.push(progress, AfterAppend::Nothing);
        if phase != Phase::Active {
            let ended = JournalEntry::Ended { job: id, phase };
            self.journal.push(ended, AfterAppend::Nothing);
        }
        self.jobs.rewrites.insert((self.now + REWRITE_INTERVAL, id));
    }

    /// Creates an identifier in a hash range that is ready here; `None` if no range is.
    fn new_job_id(&mut self) -> Option<JobId> {
        let me = self.cfg.me;
        let own: Vec<RangeId> = RangeId::all().filter(|r| self.range_is_ready(*r)).collect();
        self.jobs.last += 1;
        let nth = usize::try_from(self.jobs.last).ok()? % own.len().max(1);
        let range = own.get(nth)?;
        let low = crate::config::hash64(&format!("{me}-{}", self.jobs.last));
        Some(JobId(u64::from(range.0) << 56 | low >> 8))
    }
}

/// Returns how many times `size` fits into `total`.
fn fit_count(total: &Resources, size: &Resources) -> u64 {
    let times = |total: u64, size: u64| total.checked_div(size).unwrap_or(u64::MAX);
    times(total.cpu_milli, size.cpu_milli)
        .min(times(total.memory_mib, size.memory_mib))
        .min(times(total.accelerators, size.accelerators))
        .min(times(total.slots, size.slots))
}
