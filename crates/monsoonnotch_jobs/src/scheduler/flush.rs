//! Writes the progress of jobs to the journal, before finished runs are acknowledged
//! to their VMs.

use super::job::Job;
use super::*;
use crate::journal;
use crate::journal::KeyedRecord;
use crate::journal::Placed;
use crate::journal::Placements;
use crate::journal::Progress;
use crate::journal::RemainingLease;
use crate::journal::RemainingLeases;
use crate::journal::StageProgress;

/// Size in bytes from which no more records are added to an append; well below the
/// limit of the store.
const APPEND_BYTES_MAX: usize = 512 * 1024;

/// Maximum number of tombstones in an append.
const APPEND_TOMBSTONES_MAX: usize = 4_096;

/// Pause between two updates of the fleet record.
const FLEET_UPDATE_PAUSE: Duration = Duration::from_millis(200);
/// Shortest pause between two updates of the leases record. Until a VM is in it, a successor would
/// wait in full.
const LEASES_UPDATE_PAUSE: Duration = Duration::from_millis(50);
/// Interval between updates of the leases record while only the remaining times change. A
/// successor waits for up to this much longer.
const LEASES_UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// Duration above which an append is logged as slow: about twenty times the usual.
const SLOW_APPEND_THRESHOLD: Duration = Duration::from_millis(100);

/// The changes to append to the journal, and the append in flight.
#[derive(Debug, Default)]
pub(super) struct Flush {
    /// Jobs whose progress has changed.
    dirty: BTreeSet<JobKey>,
    /// VMs with finished runs that were applied but not acknowledged.
    unacknowledged: BTreeSet<VmKey>,
    /// Tombstones for all records of jobs, and for cancellations, that are no longer kept.
    dropped: Vec<KeyedRecord>,
    /// Jobs whose placements have changed, with the runs that start once these are stored.
    planned: BTreeMap<JobKey, Vec<RunKey>>,
    /// The append in flight.
    batch: Option<Batch>,
    next_append_at: Time,
    /// Ids of the VMs in the stored fleet record.
    fleet: Vec<CompactString>,
    next_fleet_at: Time,
    /// The leases in the stored record, and when they were written.
    leases: Vec<RemainingLease>,
    leases_at: Time,
    next_leases_at: Time,
}

/// The changes covered by the append in flight.
#[derive(Debug)]
struct Batch {
    jobs: Vec<(JobKey, JobId, Progress)>,
    planned: BTreeMap<JobKey, Vec<RunKey>>,
    /// VMs to acknowledge finished runs to, with the start of the incarnation and the
    /// number of the last run covered.
    acknowledgements: Vec<(VmKey, u64, u64)>,
    /// The new fleet, if the append updates the fleet record.
    fleet: Option<Vec<CompactString>>,
    /// The new leases, if the append updates the leases record.
    leases: Option<Vec<RemainingLease>>,
    sent_at: Time,
}

impl Flush {
    pub(super) fn mark_dirty(&mut self, key: JobKey) {
        self.dirty.insert(key);
    }

    /// Schedules the placements of a job to be stored; `run` starts once they are.
    pub(super) fn add_placement(&mut self, key: JobKey, run: Option<RunKey>) {
        self.planned.entry(key).or_default().extend(run);
    }

    pub(super) fn add_unacknowledged(&mut self, vm: VmKey) {
        self.unacknowledged.insert(vm);
    }

    /// Schedules a tombstone to be stored.
    pub(super) fn drop_record(&mut self, tombstone: KeyedRecord) {
        self.dropped.push(tombstone);
    }

    pub(super) fn remove_job(&mut self, key: JobKey, id: JobId) {
        self.dirty.remove(&key);
        self.dropped.extend(journal::job_tombstones(id));
    }
}

impl Scheduler {
    /// Appends all changes to the journal, unless an append is in flight.
    pub(super) fn flush_progress(&mut self) {
        if self.flush.batch.is_some() || self.now < self.flush.next_append_at {
            return;
        }
        let acknowledgements = std::mem::take(&mut self.flush.unacknowledged);
        let seen = |vm: VmKey| {
            let row = self.vms.get(vm)?;
            Some((vm, row.registration.started_ms, row.finished_seen))
        };
        let acknowledgements: Vec<(VmKey, u64, u64)> =
            acknowledgements.into_iter().filter_map(seen).collect();
        let mut fleet = self.changed_fleet();
        let leases = self.changed_leases();
        let no_job_changed = self.flush.dirty.is_empty() && self.flush.planned.is_empty();
        let no_vm_changed = fleet.is_none() && leases.is_none();
        if no_job_changed && no_vm_changed && self.flush.dropped.is_empty() {
            return self.acknowledge_finished(&acknowledgements);
        }
        let dropped = self.flush.dropped.len().min(APPEND_TOMBSTONES_MAX);
        let mut records: Vec<KeyedRecord> = self.flush.dropped.drain(..dropped).collect();
        let mut jobs = Vec::new();
        let mut size = 0;
        let mut planned = BTreeMap::new();
        while size < APPEND_BYTES_MAX
            && let Some((key, runs)) = self.flush.planned.pop_first()
        {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let record = journal::placements_record(job.id, &self.placements_of(job));
            size += record.value.len();
            records.push(record);
            planned.insert(key, runs);
        }
        // A VM may leave the fleet only once all placements on it are stored.
        fleet = fleet.filter(|_| self.flush.planned.is_empty());
        if let Some(fleet) = &fleet {
            self.unenroll_others(fleet);
            records.push(journal::fleet_record(fleet));
        }
        if let Some(kinds) = self.changed_speeds() {
            records.push(journal::speeds_record(&kinds));
        }
        if let Some(leases) = &leases {
            self.withhold_leases(leases);
            records.push(journal::leases_record(&RemainingLeases {
                token: self.token,
                vms: leases.clone(),
            }));
        }
        while size < APPEND_BYTES_MAX
            && let Some(key) = self.flush.dirty.pop_first()
        {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let progress = progress_of(job);
            let record = journal::progress_record(job.id, &progress);
            size += record.value.len();
            records.push(record);
            if progress.outcome.is_some() && job.runs().next().is_none() {
                // A successor needs only the progress record of an ended job.
                records.extend(journal::work_tombstones(job.id));
            }
            jobs.push((key, job.id, progress));
        }
        let all_written = self.flush.dirty.is_empty();
        // Finished runs are acknowledged only after an append with all their changes.
        let acknowledgements = match all_written {
            true => acknowledgements,
            false => {
                self.flush
                    .unacknowledged
                    .extend(acknowledgements.iter().map(|e| e.0));
                Vec::new()
            }
        };
        self.flush.batch = Some(Batch {
            jobs,
            planned,
            acknowledgements,
            fleet,
            leases,
            sent_at: self.now,
        });
        self.effects.push(Effect::Append(records));
    }

    /// Returns the fleet if it differs from the stored one and an update is due.
    fn changed_fleet(&mut self) -> Option<Vec<CompactString>> {
        if self.now < self.flush.next_fleet_at {
            return None;
        }
        let fleet = self.fleet();
        if fleet == self.flush.fleet {
            self.flush.next_fleet_at = self.now + SCAN_INTERVAL;
            return None;
        }
        self.flush.next_fleet_at = self.now + FLEET_UPDATE_PAUSE;
        Some(fleet)
    }

    /// Returns the leases that VMs may still have if a successor must know, and an update is due.
    fn changed_leases(&mut self) -> Option<Vec<RemainingLease>> {
        let now = self.now;
        if now < self.flush.next_leases_at {
            return None;
        }
        let leases = self.remaining_leases();
        let (old, new) = (self.flush.leases.iter(), leases.iter());
        let same_vms = old.map(|l| &l.vm).eq(new.map(|l| &l.vm));
        let is_current = leases.is_empty() || now < self.flush.leases_at + LEASES_UPDATE_INTERVAL;
        if same_vms && is_current {
            self.flush.next_leases_at = now + SCAN_INTERVAL;
            return None;
        }
        self.flush.next_leases_at = now + LEASES_UPDATE_PAUSE;
        Some(leases)
    }

    /// Applies the result of the append in flight.
    pub(super) fn appended(&mut self, stored: bool) {
        let Some(batch) = self.flush.batch.take() else {
            return;
        };
        if !stored {
            // It is certain that nothing was stored, so the changes go into the next
            // append, together with those made since.
            self.flush.dirty.extend(batch.jobs.iter().map(|j| j.0));
            self.flush
                .unacknowledged
                .extend(batch.acknowledgements.iter().map(|e| e.0));
            for (key, runs) in batch.planned {
                self.flush.planned.entry(key).or_default().extend(runs);
            }
            self.resume_leases(&self.flush.leases.clone());
            self.flush.next_append_at = self.now + SCAN_INTERVAL;
            return;
        }
        self.flush.next_append_at = self.now + self.tuning.flush_pause;
        let took = self.now.since(batch.sent_at);
        if took > SLOW_APPEND_THRESHOLD {
            let (jobs, starts) = (batch.jobs.len(), batch.planned.len());
            let detail = format!("ms={} jobs={jobs} starting={starts}", took.as_millis());
            self.log(0, "append slow", detail);
        }
        for (key, id, progress) in batch.jobs {
            let Some(job) = self.jobs.get_mut(key).filter(|j| j.id == id) else {
                continue;
            };
            if job.stored_outcome.is_none() && progress.outcome.is_some() {
                job.stored_outcome = progress.outcome;
            }
        }
        if let Some(fleet) = batch.fleet {
            self.enroll(&fleet);
            self.flush.fleet = fleet;
        }
        if let Some(leases) = batch.leases {
            self.resume_leases(&leases);
            self.flush.leases = leases;
            self.flush.leases_at = batch.sent_at;
        }
        for run in batch.planned.into_values().flatten() {
            self.send_planned(run);
        }
        self.acknowledge_finished(&batch.acknowledgements);
    }

    /// Returns where the tasks of a job run or are about to be started, and where the others ran
    /// last.
    fn placements_of(&self, job: &Job) -> Placements {
        let mut vms: BTreeMap<VmKey, Vec<(u32, u16, u32, u64)>> = BTreeMap::new();
        let mut unplaced = Vec::new();
        for (&(occurrence, step), stage) in &job.stages {
            let waiting = stage.waiting.iter();
            let waiting = waiting.filter_map(|&i| Some((i, stage.tasks[i as usize].last_vm?)));
            for (i, vm) in waiting {
                unplaced.push((occurrence, step, i));
                let row = (occurrence, step, i, stage.tasks[i as usize].attempt);
                vms.entry(vm).or_default().push(row);
            }
            let runs = stage.runs().filter_map(|r| self.runs.get(&r));
            for run in runs {
                let row = (occurrence, step, run.index, run.attempt);
                vms.entry(run.vm).or_default().push(row);
            }
        }
        let placed = |(vm, runs)| {
            let vm = self.vms.get(vm)?.registration.id.clone();
            Some(Placed { vm, runs })
        };
        Placements {
            vms: vms.into_iter().filter_map(placed).collect(),
            unplaced,
        }
    }

    fn acknowledge_finished(&mut self, acknowledgements: &[(VmKey, u64, u64)]) {
        for &(vm, started_ms, number) in acknowledgements {
            let same_incarnation = self
                .vms
                .get(vm)
                .is_some_and(|v| v.registration.started_ms == started_ms);
            if same_incarnation {
                self.finished_stored(vm, number);
            }
        }
    }
}

fn progress_of(job: &Job) -> Progress {
    let ended = job.outcome.is_some();
    let stages = job.stages.iter().filter(|_| !ended);
    let stages = stages.filter_map(|(&(occurrence, step), stage)| {
        let tasks = || (0_u32..).zip(&stage.tasks);
        let complete = stage.is_complete();
        let done = tasks().filter(|(_, t)| t.done && !complete);
        let failed = tasks().filter(|(_, t)| !t.failed.is_empty() && !complete);
        let suspects = tasks().filter(|(_, t)| !t.crashes.is_empty() && !t.done);
        let crashes = |t: &super::job::Task| t.crashes.clone().into_iter().collect();
        let checkpoint =
            tasks().filter(|(_, t)| !t.checkpoint.is_empty() && !t.done && t.run.is_none());
        let progress = StageProgress {
            occurrence,
            step,
            complete,
            done: done.map(|(i, _)| i).collect(),
            failed: failed
                .map(|(i, t)| (i, t.failed.iter().copied().collect()))
                .collect(),
            crashes: suspects.map(|(i, t)| (i, crashes(t))).collect(),
            checkpoints: checkpoint.map(|(i, t)| (i, t.checkpoint.clone())).collect(),
        };
        let has_content = complete || !progress.done.is_empty() || !progress.failed.is_empty();
        let has_content = has_content || !progress.crashes.is_empty();
        (has_content || !progress.checkpoints.is_empty()).then_some(progress)
    });
    Progress {
        outcome: job.outcome,
        account: if ended {
            job.account.clone()
        } else {
            CompactString::default()
        },
        begun: job.begun,
        complete_to: if ended { 0 } else { job.complete_to },
        stages: stages.collect(),
    }
}
