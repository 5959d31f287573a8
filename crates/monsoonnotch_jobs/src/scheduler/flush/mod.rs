//! Writes the progress of jobs to the journal, before finished runs are acknowledged
//! to their VMs.
//!
//! The store takes or refuses an append as a whole. Each record fits by construction. If the store refuses an append
//! for good nevertheless, the next ones become smaller until the unit is found that it refuses. That one is put aside
//! with all others of its job and sent alone from time to time, so that it holds up nothing else; its job starts nothing
//! meanwhile, and VMs with ends of its runs get no acknowledgement.

mod batch;
mod lists;

use std::collections::VecDeque;

use self::batch::Batch;
use self::batch::StoredProgress;
use self::batch::Unit;
use super::parts::PartKey;
use super::parts::complete_parts;
use super::parts::progress_of;
use super::*;
use crate::journal;
use crate::journal::KeyedRecord;
use crate::journal::RemainingLease;

/// Maximum number of records in an append that are written as they are.
const WRITTEN_MAX: usize = 4_096;
/// Maximum number of parts whose occurrences are complete that a record of progress deletes.
const COMPLETE_PARTS_MAX: usize = 64;
/// Number of units from which appends are no longer bounded by their number.
const UNITS_BOUND_MAX: usize = 1_024;

/// Duration above which an append is logged as slow: about twenty times the usual.
const SLOW_APPEND_THRESHOLD: Duration = Duration::from_millis(100);
/// Pause before a unit that the store refuses for good is sent again. One is sent at a time, so that many take
/// no more of the store.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
/// Gauge of the units that the store refuses for good.
const REFUSED_GAUGE: &str = "monsoonnotch_refused_units";

/// The changes to append to the journal, and the append in flight.
#[derive(Debug, Default)]
pub(super) struct Flush {
    /// Parts of jobs whose progress has changed.
    dirty: BTreeSet<PartKey>,
    /// VMs with finished runs that were applied but not acknowledged.
    unacknowledged: BTreeSet<VmKey>,
    /// VMs among them with finished runs of parts whose progress is not stored.
    finished: BTreeMap<PartKey, BTreeSet<VmKey>>,
    /// Tombstones for all records of jobs, and for cancellations, that are no longer kept, and records that
    /// replace those of callers.
    written: VecDeque<KeyedRecord>,
    /// Parts of jobs whose placements have changed, with the runs that start once these are stored.
    planned: BTreeMap<PartKey, Vec<RunKey>>,
    /// The append in flight.
    batch: Option<Batch>,
    next_append_at: Time,
    /// Maximum number of units in the next append while one is sought that the store refuses.
    units_max: Option<usize>,
    /// Units that the store refuses for good, and when each was sent last. The others of their jobs wait for
    /// them.
    refused: BTreeMap<Unit, Time>,
    next_refused_at: Time,
    /// Ids of the VMs in the stored fleet record.
    fleet: Vec<CompactString>,
    next_fleet_at: Time,
    /// The leases in the stored record, and when they were written.
    leases: Vec<RemainingLease>,
    leases_at: Time,
    next_leases_at: Time,
}

impl Flush {
    pub(super) fn mark_dirty(&mut self, key: PartKey) {
        self.dirty.insert(key);
    }

    /// Schedules the placements of a part to be stored; `run` starts once they are.
    pub(super) fn add_placement(&mut self, key: PartKey, run: Option<RunKey>) {
        self.planned.entry(key).or_default().extend(run);
    }

    pub(super) fn add_unacknowledged(&mut self, vm: VmKey) {
        self.unacknowledged.insert(vm);
    }

    /// Keeps the finished runs of a VM unacknowledged until the progress of a part is stored.
    pub(super) fn add_finished(&mut self, key: PartKey, vm: VmKey) {
        if self.dirty.contains(&key) {
            self.finished.entry(key).or_default().insert(vm);
        }
    }

    /// Schedules a record or a tombstone to be stored as it is.
    pub(super) fn write_record(&mut self, record: KeyedRecord) {
        self.written.push_back(record);
    }

    pub(super) fn remove_job(&mut self, key: JobKey, id: JobId, parts: &BTreeSet<u64>) {
        for &part in parts.iter().chain([&0]) {
            let part = PartKey::new(key, part);
            self.dirty.remove(&part);
            self.finished.remove(&part);
        }
        self.refused.retain(|unit, _| unit.job() != Some(key));
        self.written.extend(journal::job_tombstones(id, parts));
    }

    /// Whether the store refuses a record of a job for good.
    pub(super) fn refuses(&self, key: JobKey) -> bool {
        self.refused.keys().any(|unit| unit.job() == Some(key))
    }

    /// Whether a unit may be in a batch.
    fn allows(&self, batch: &Batch, unit: Unit) -> bool {
        match batch.only {
            Some(only) => only == unit,
            None => match unit.job() {
                Some(job) => !self.refuses(job),
                None => !self.refused.contains_key(&unit),
            },
        }
    }

    /// Removes and returns the next part whose placements may be in a batch.
    fn next_planned(&mut self, batch: &Batch) -> Option<(PartKey, Vec<RunKey>)> {
        let mut keys = self.planned.keys().copied();
        let key = keys.find(|k| self.allows(batch, Unit::Placements(*k)))?;
        self.planned.remove_entry(&key)
    }

    /// Removes and returns the next part whose progress may be in a batch.
    fn next_dirty(&mut self, batch: &Batch) -> Option<PartKey> {
        let mut keys = self.dirty.iter().copied();
        let key = keys.find(|k| self.allows(batch, Unit::Progress(*k)))?;
        self.dirty.take(&key)
    }

    /// Returns the VMs with finished runs of parts whose progress waits to be stored.
    fn held_back(&self) -> BTreeSet<VmKey> {
        let waiting = self.dirty.iter().filter_map(|k| self.finished.get(k));
        waiting.flatten().copied().collect()
    }

    /// Puts the changes of a batch back that is certainly not stored. They go into the next one, together
    /// with those made since.
    fn put_back(&mut self, batch: Batch) {
        self.dirty.extend(batch.progress.iter().map(|p| p.key));
        for (key, vms) in batch.finished {
            self.finished.entry(key).or_default().extend(vms);
        }
        let vms = batch.acknowledgements.iter().map(|e| e.0);
        self.unacknowledged.extend(vms);
        for (key, runs) in batch.planned {
            self.planned.entry(key).or_default().extend(runs);
        }
        for record in batch.written.into_iter().rev() {
            self.written.push_front(record);
        }
    }
}

impl Scheduler {
    /// Appends all changes to the journal, unless an append is in flight.
    pub(super) fn flush_progress(&mut self) {
        if self.flush.batch.is_some() || self.now < self.flush.next_append_at {
            return;
        }
        let is_due = self.now >= self.flush.next_refused_at;
        let refused = self.flush.refused.iter().filter(|_| is_due);
        let oldest = refused.min_by_key(|(_, at)| **at);
        let mut batch = Batch {
            units_max: self.flush.units_max,
            only: oldest.map(|(unit, _)| *unit),
            sent_at: self.now,
            ..Batch::default()
        };
        self.add_written(&mut batch);
        self.add_placements(&mut batch);
        self.add_lists(&mut batch);
        self.add_progress(&mut batch);
        if batch.records.is_empty() && batch.only.is_some() {
            // The unit has gone, or has nothing to be stored any more.
            self.flush
                .refused
                .retain(|unit, _| batch.only != Some(*unit));
            return;
        }
        batch.acknowledgements = self.take_acknowledgements();
        if batch.records.is_empty() {
            return self.acknowledge_finished(&batch.acknowledgements);
        }
        let records = std::mem::take(&mut batch.records);
        self.flush.batch = Some(batch);
        self.effects.push(Effect::Append(records));
    }

    fn add_written(&mut self, batch: &mut Batch) {
        while self.flush.allows(batch, Unit::Written)
            && batch.has_room()
            && batch.written.len() < WRITTEN_MAX
            && let Some(record) = self.flush.written.pop_front()
        {
            batch.add(Unit::Written, vec![record.clone()]);
            batch.written.push(record);
        }
    }

    fn add_placements(&mut self, batch: &mut Batch) {
        while batch.has_room()
            && let Some((key, runs)) = self.flush.next_planned(batch)
        {
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            let placements = self.placements_of(job, key.number());
            let record = journal::placements_record(job.id, key.number(), &placements);
            batch.add(Unit::Placements(key), vec![record]);
            batch.planned.insert(key, runs);
            self.add_stored_part(key);
        }
    }

    fn add_progress(&mut self, batch: &mut Batch) {
        while batch.has_room()
            && let Some(key) = self.flush.next_dirty(batch)
        {
            let finished = self.flush.finished.remove(&key);
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            if job.outcome.is_some() && key.number() > 0 {
                // The outcome, which covers its finished runs, is in part 0.
                let vms = finished.into_iter().flatten();
                vms.for_each(|vm| self.flush.add_finished(PartKey::new(key.job, 0), vm));
                continue;
            }
            let progress = progress_of(job, key.number());
            let mut records = vec![journal::progress_record(job.id, key.number(), &progress)];
            let complete = match progress.outcome {
                None => complete_parts(job, COMPLETE_PARTS_MAX),
                Some(_) => Vec::new(),
            };
            // A successor needs only the record of the outcome, and the work while runs are left.
            records.extend(match (progress.outcome, job.runs().next()) {
                (None, _) => journal::part_tombstones(job.id, &complete),
                (Some(_), Some(_)) => journal::progress_tombstones(job.id, &job.stored_parts),
                (Some(_), None) => journal::work_tombstones(job.id, &job.stored_parts),
            });
            batch.progress.push(StoredProgress {
                key,
                id: job.id,
                outcome: progress.outcome,
                complete,
            });
            batch.finished.extend(finished.map(|vms| (key, vms)));
            batch.add(Unit::Progress(key), records);
            self.add_stored_part(key);
        }
    }

    pub(super) fn add_stored_part(&mut self, key: PartKey) {
        if let Some(job) = self.jobs.get_mut(key.job).filter(|_| key.number() > 0) {
            job.stored_parts.insert(key.number());
        }
    }

    /// Returns the VMs whose finished runs are all covered by the records that are stored or in the next
    /// append.
    fn take_acknowledgements(&mut self) -> Vec<(VmKey, u64, u64)> {
        let held_back = self.flush.held_back();
        let unacknowledged = std::mem::take(&mut self.flush.unacknowledged);
        let (held_back, covered): (BTreeSet<VmKey>, BTreeSet<VmKey>) = unacknowledged
            .into_iter()
            .partition(|vm| held_back.contains(vm));
        self.flush.unacknowledged = held_back;
        let seen = |vm: VmKey| {
            let row = self.vms.get(vm)?;
            Some((vm, row.registration.started_ms, row.finished_seen))
        };
        covered.into_iter().filter_map(seen).collect()
    }

    /// Applies that the append in flight was stored, or that it certainly was not.
    pub(super) fn appended(&mut self, stored: bool) {
        let Some(batch) = self.flush.batch.take() else {
            return;
        };
        if !stored {
            self.flush.put_back(batch);
            self.resume_leases(&self.flush.leases.clone());
            self.flush.next_append_at = self.now + SCAN_INTERVAL;
            return;
        }
        self.flush.next_append_at = self.now + self.tuning.flush_pause;
        let took = self.now.since(batch.sent_at);
        if took > SLOW_APPEND_THRESHOLD {
            let (parts, starts) = (batch.progress.len(), batch.planned.len());
            let detail = format!("ms={} parts={parts} starting={starts}", took.as_millis());
            self.log(0, "append slow", detail);
        }
        self.widen_appends(&batch);
        for stored in batch.progress {
            let job = self.jobs.get_mut(stored.key.job);
            let Some(job) = job.filter(|j| j.id == stored.id) else {
                continue;
            };
            for part in &stored.complete {
                job.stored_parts.remove(part);
            }
            if job.stored_outcome.is_none() && stored.outcome.is_some() {
                job.stored_outcome = stored.outcome;
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

    /// Lets appends grow again after one was stored, and takes back what is no longer refused.
    fn widen_appends(&mut self, batch: &Batch) {
        let wider = self.flush.units_max.map(|max| max.saturating_mul(2));
        self.flush.units_max = wider.filter(|max| *max < UNITS_BOUND_MAX);
        if let Some(unit) = batch.only {
            self.flush.refused.remove(&unit);
            self.flush.next_refused_at = self.now;
            self.placement_needed = true;
            self.gauge(REFUSED_GAUGE, self.flush.refused.len() as f64);
            self.log_unit(unit, "records accepted again", batch.bytes);
        }
    }

    /// Applies that the store refuses the append in flight for good: puts its only unit aside, or sends
    /// fewer units in the next one.
    pub(super) fn append_refused(&mut self) {
        let Some(mut batch) = self.flush.batch.take() else {
            return;
        };
        let (units, bytes) = (batch.units.clone(), batch.bytes);
        if units == [Unit::Written] {
            let key = batch
                .written
                .pop()
                .map_or(CompactString::default(), |r| r.key);
            self.warn(0, "record left out", format!("key={key} bytes={bytes}"));
            return self.flush.put_back(batch);
        }
        self.flush.put_back(batch);
        self.resume_leases(&self.flush.leases.clone());
        let &[unit] = units.as_slice() else {
            self.flush.units_max = Some((units.len() / 2).max(1));
            return;
        };
        self.flush.refused.insert(unit, self.now);
        self.flush.next_refused_at = self.now + REFUSED_PAUSE;
        self.gauge(REFUSED_GAUGE, self.flush.refused.len() as f64);
        self.log_unit(unit, "records refused", bytes);
        if let Some(job) = unit.job() {
            self.lose_planned_runs(job);
        }
    }

    /// Gives up the runs of a job that wait for their placements to be stored. They hold capacity.
    fn lose_planned_runs(&mut self, job: JobKey) {
        let planned = self.flush.planned.iter_mut();
        let planned = planned.filter(|(key, _)| key.job == job);
        let runs: Vec<RunKey> = planned.flat_map(|(_, runs)| std::mem::take(runs)).collect();
        for run in runs {
            let state = self.runs.get(&run).map(|r| r.state);
            if state == Some(runs::State::Planned) {
                self.lose_run(run, "the store refuses a record of its job");
            }
        }
    }

    fn log_unit(&mut self, unit: Unit, event: &'static str, bytes: usize) {
        let job = unit.job().and_then(|key| self.jobs.get(key));
        let id = job.map_or(0, |j| j.id.0);
        let detail = format!("{} bytes={bytes}", unit.describe());
        self.warn(id, event, detail);
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
