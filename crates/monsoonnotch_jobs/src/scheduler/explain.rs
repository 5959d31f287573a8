//! Explains where a job would go now, without changing anything.

use super::job::Blocked;
use super::job::Job;
use super::*;
use crate::explanation::Explanation;
use crate::explanation::Subject;
use crate::explanation::WaitingStep;
use crate::plan::Step;

/// Number of VMs that are named.
const FIRST_VMS_MAX: usize = 5;

impl Scheduler {
    /// Answers a question about a job; `None` if the queue or the job is unknown or the plan invalid.
    pub(super) fn explain(&mut self, subject: Subject) -> Option<Explanation> {
        match subject {
            Subject::Job(id) => {
                let key = *self.jobs_by_id.get(&id)?;
                self.explain_job(key)
            }
            Subject::Plan {
                queue,
                account,
                plan,
            } => {
                let pool = self.queue(&queue)?.pool.clone();
                if !plan.is_valid() {
                    return None;
                }
                let mut job = Job::new(JobId(0), queue, account, pool, *plan, self.unix_ms);
                job.open_occurrence(0);
                // The job is in no queue, so that nothing is placed while it is looked at.
                let key = self.jobs.insert(job);
                let explanation = self.explain_job(key);
                self.jobs.remove(key);
                explanation
            }
        }
    }

    fn explain_job(&self, key: JobKey) -> Option<Explanation> {
        let job = self.jobs.get(key)?;
        let queue = self.queue(&job.queue);
        let limit = self.config.accounts.get(&job.account).map(|a| a.limit);
        let used = self.usage.get(&job.account).copied().unwrap_or_default();
        let shares = self.shares(&[]);
        let open = job.stages.iter().filter(|((occurrence, step), stage)| {
            !stage.waiting.is_empty() && job.dependencies_complete(*occurrence, *step)
        });
        let steps = open.filter_map(|(&(occurrence, step), _)| {
            self.explain_step(StageKey {
                job: key,
                occurrence,
                step,
            })
        });
        Some(Explanation {
            queue: job.queue.clone(),
            pool: job.pool.clone(),
            account: job.account.clone(),
            priority: ranks::priority_of(queue),
            objective_ms: job.objective_ms(queue),
            above_share: shares
                .get(&job.pool)
                .is_some_and(|s| s.is_above(&job.account)),
            cpu_used_milli: used.cpu_milli,
            cpu_limit_milli: limit.map_or(0, |l| l.cpu_milli),
            steps: steps.collect(),
        })
    }

    fn explain_step(&self, key: StageKey) -> Option<WaitingStep> {
        let job = self.jobs.get(key.job)?;
        let stage = self.stage(key)?;
        let step = job.step(key.step);
        let (rank, _) = self.rank(key);
        let on_probation = self.vms_on_probation();
        let mut vms: BTreeMap<CompactString, usize> = BTreeMap::new();
        for (vm, row) in self.vms.iter() {
            if row.registration.pool == job.pool {
                let reason = self.why_not(row, step, on_probation.contains(&vm));
                *vms.entry(reason.into()).or_default() += 1;
            }
        }
        let needs_approval = self.approval_of(key).is_some();
        let mut candidates = self.candidates(key, false);
        candidates.sort_by_key(|c| (c.penalty, c.free.cpu_milli));
        let fits: u64 = candidates.iter().map(|c| c.takes(&step.allocation())).sum();
        let first = candidates.iter().take(FIRST_VMS_MAX);
        let first = first.filter_map(|c| self.vms.get(c.vm));
        let ahead = self.ready_queue.iter().filter(|(other, _)| *other < rank);
        let capacity = self.pool_capacities().get(&job.pool).copied();
        let blocked = self.blocked_before_placement(rank, key, &capacity.unwrap_or_default());
        let blocked = blocked.or((fits == 0).then_some(Blocked::Room));
        let fastest = self.speeds.expected_on_fastest(&job.queue);
        let run_ms = |factor: f64| (step.estimate_ms as f64 * fastest * factor) as u64;
        Some(WaitingStep {
            step: key.step,
            tasks: u32::try_from(stage.waiting.len()).unwrap_or(u32::MAX),
            fits: fits.min(stage.waiting.len() as u64),
            blocked: blocked.map_or(CompactString::default(), |b| {
                compact_str::format_compact!("{b:?}")
            }),
            ahead: ahead.count(),
            needs_approval,
            vms,
            first_vms: first.map(|v| v.registration.id.clone()).collect(),
            run_ms: [run_ms(1.0), run_ms(self.speeds.spread().unwrap_or(1.0))],
        })
    }

    /// Returns why a VM takes no task of a step now, or `fits`; a VM with a suspect on probation takes
    /// none.
    fn why_not(&self, row: &vms::Vm, step: &Step, on_probation: bool) -> &'static str {
        let registration = &row.registration;
        let has_label = |l: &CompactString| registration.labels.contains(l);
        if !row.listed || !row.answered || row.polls.unanswered > 0 {
            "unresponsive"
        } else if registration.draining {
            "draining"
        } else if row.evacuated {
            "evacuated"
        } else if self.now < row.health.quarantined_until {
            "quarantined"
        } else if !row.is_schedulable(self.now) || on_probation {
            "not in use yet"
        } else if !registration.capacity.fits(&step.need) {
            "too small"
        } else if !step.label.as_ref().is_none_or(has_label) {
            "lacks the label"
        } else if !row.free().fits(&step.allocation()) {
            "no room"
        } else {
            "fits"
        }
    }
}
