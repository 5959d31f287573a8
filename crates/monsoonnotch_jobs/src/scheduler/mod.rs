//! The job scheduler: a reducer from events and time to effects.
//!
//! A task either is *waiting* or has one *run*. A run occupies capacity on its VM
//! and counts against its account's limit from before its start is sent until it
//! is certain that it neither runs nor will run: its VM listed it as finished, the
//! only send of its start was refused, a stop was answered and a later poll does not
//! list it, or every lease under which it could run has expired.

mod answer_times;
mod approvals;
mod backlog;
mod candidates;
mod completions;
mod drain;
mod early_cancellations;
mod evacuation;
mod explain;
mod failures;
mod flush;
mod gang;
mod job;
mod kinds;
mod limits;
mod parts;
mod placement;
mod poison;
mod polls;
mod predecessor;
mod queries;
mod ranks;
mod replay;
mod runs;
mod start_window;
mod starts;
mod stops;
mod trials;
mod vms;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use self::early_cancellations::EarlyCancellations;
use crate::effect::LogEntry;
use crate::journal::KeyedRecord;
use crate::order::Typical;
use crate::prelude::*;
use crate::speed::Speeds;

pub use self::job::JobKey;
pub use self::job::StageKey;
pub use self::job::job_memory;
pub use self::runs::RunKey;

/// Pause between placement passes for every [`STAGES_PER_PLACEMENT_PAUSE`] stages in
/// the ready queue. A long queue makes a pass expensive, and more passes do not free
/// capacity any sooner.
const PLACEMENT_PAUSE: Duration = Duration::from_millis(2);
/// Number of stages in the ready queue that adds one [`PLACEMENT_PAUSE`].
const STAGES_PER_PLACEMENT_PAUSE: u64 = 16;
/// Number of VMs that adds one millisecond to the pause between placement passes. A pass looks at
/// each of them.
const VMS_PER_PLACEMENT_MS: usize = 256;
/// Pause between placement passes when no event occurs. It is close to the shortest
/// of the waits that end by time alone.
const PLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between scans for timers that are due.
const SCAN_INTERVAL: Duration = Duration::from_millis(40);

/// The state machine that schedules all jobs while this member is the leader.
#[derive(Debug)]
pub struct Scheduler {
    tuning: Tuning,
    config: Arc<PublishedConfig>,
    now: Time,
    unix_ms: u64,
    token: u64,
    /// Offset of the first journal record written under this token; `None` until the
    /// journal has been read up to it.
    marker: Option<u64>,
    /// Offset before which all journal records have been applied.
    read_to: u64,
    /// Reported records from `read_to` on, by offset, until all earlier ones are known.
    reported: BTreeMap<u64, KeyedRecord>,
    /// When every lease that a predecessor renewed has expired.
    settle_at: Time,
    jobs: Arena<JobKey, job::Job>,
    jobs_by_id: BTreeMap<JobId, JobKey>,
    /// Jobs whose cancellation was applied before their submission.
    early_cancellations: EarlyCancellations,
    /// Jobs that have not ended.
    open_jobs: BTreeSet<JobKey>,
    /// Jobs that have ended and are still kept, by the time at which they ended.
    ended_jobs: BTreeSet<(Time, JobKey)>,
    /// Jobs among them that still have their stages.
    unreleased_jobs: BTreeSet<JobKey>,
    /// Memory that all jobs count for, in bytes.
    jobs_memory: u64,
    vms: Arena<VmKey, vms::Vm>,
    vms_by_id: BTreeMap<CompactString, VmKey>,
    runs: BTreeMap<RunKey, runs::Run>,
    next_run: u64,
    /// Resources of the schedulable VMs of each pool in the last placement pass.
    pool_totals: BTreeMap<CompactString, Resources>,
    /// The usual job of each queue.
    typical_jobs: BTreeMap<CompactString, Typical>,
    /// Resources that the waiting urgent tasks of each account need.
    urgent_demand: BTreeMap<CompactString, Resources>,
    /// Upper bound of the resources that tasks of a predecessor may use, by account, on
    /// VMs that have not answered a poll yet.
    uncertain_usage: BTreeMap<CompactString, Resources>,
    /// Resources that runs and orphaned runs of each account use.
    usage: BTreeMap<CompactString, Resources>,
    share_buckets: BTreeMap<CompactString, replay::ShareBucket>,
    ready_queue: BTreeSet<(job::Rank, StageKey)>,
    approval_requests: approvals::ApprovalRequests,
    evacuation: evacuation::Evacuation,
    backlog: backlog::State,
    flush: flush::Flush,
    poison: poison::PoisonTasks,
    /// Estimates from finished runs and answered approval requests, by queue.
    queue_stats: BTreeMap<CompactString, job::QueueStats>,
    /// How fast the kinds of VMs run tasks.
    speeds: Speeds,
    kinds: kinds::Kinds,
    stored_speeds: kinds::StoredSpeeds,
    /// Recent rate of orders that responsive VMs left unanswered.
    unanswered_orders: polls::UnansweredRate,
    /// How long VMs take to answer.
    answer_times: answer_times::AnswerTimes,
    next_scan: Time,
    next_placement: Time,
    next_retry: Time,
    /// When awaited VMs and runs are logged next.
    next_awaited_log: Time,
    /// Whether something changed that may allow a waiting task to start.
    placement_needed: bool,
    /// Set once a leader with a higher token is seen; nothing is decided or sent from then on.
    stopped: bool,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates a scheduler for the term that the store has just granted with `token`.
    ///
    /// `settle_at` is when every lease that a predecessor renewed has expired.
    pub fn new(token: u64, tuning: Tuning, config: Arc<PublishedConfig>, settle_at: Time) -> Self {
        Self {
            tuning,
            config,
            settle_at,
            now: Time::default(),
            unix_ms: 0,
            token,
            marker: None,
            read_to: 0,
            reported: BTreeMap::new(),
            jobs: Arena::default(),
            jobs_by_id: BTreeMap::new(),
            early_cancellations: EarlyCancellations::default(),
            open_jobs: BTreeSet::new(),
            ended_jobs: BTreeSet::new(),
            unreleased_jobs: BTreeSet::new(),
            jobs_memory: 0,
            vms: Arena::default(),
            vms_by_id: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            pool_totals: BTreeMap::new(),
            typical_jobs: BTreeMap::new(),
            urgent_demand: BTreeMap::new(),
            uncertain_usage: BTreeMap::new(),
            usage: BTreeMap::new(),
            share_buckets: BTreeMap::new(),
            ready_queue: BTreeSet::new(),
            approval_requests: approvals::ApprovalRequests::default(),
            evacuation: evacuation::Evacuation::default(),
            backlog: backlog::State::default(),
            flush: flush::Flush::default(),
            poison: poison::PoisonTasks::default(),
            queue_stats: BTreeMap::new(),
            speeds: Speeds::default(),
            kinds: kinds::Kinds::default(),
            stored_speeds: kinds::StoredSpeeds::default(),
            unanswered_orders: polls::UnansweredRate::default(),
            answer_times: answer_times::AnswerTimes::default(),
            next_scan: Time::default(),
            next_placement: Time::default(),
            next_retry: Time::default(),
            next_awaited_log: Time::default(),
            placement_needed: false,
            stopped: false,
            effects: Vec::new(),
        }
    }

    /// Returns the fencing token that orders of this term carry.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the offset before which all records of the journal are known.
    pub fn journal_position(&self) -> u64 {
        self.read_to
    }

    /// Applies one event; [`Self::decide`] returns the effects that follow.
    pub fn handle(&mut self, event: Event, now: Time, unix_ms: u64) {
        self.now = now;
        self.unix_ms = unix_ms;
        match event {
            Event::Config(config) => {
                self.config = config;
                self.placement_needed = true;
            }
            Event::Journal(records) => self.replay(records),
            Event::NewestRecords { records, next } => self.replay_newest(records, next),
            Event::RecordsStored(records) => self.records_reported(records),
            Event::CaughtUp { marker } => self.caught_up(marker),
            Event::Evacuations(domains) => self.apply_evacuations(domains),
            Event::Vms(entries) => self.apply_vm_changes(entries),
            Event::AllVms(registrations) => self.apply_vm_list(registrations),
            Event::Polled { key, answer } => self.poll_answered(key, answer),
            Event::Started { run, answer } => self.start_answered(run, answer),
            Event::Stopped { run, answer } => self.stop_answered(run, answer),
            Event::Approved { key, allowed } => self.approval_answered(key, allowed),
            Event::Appended { stored } => self.appended(stored),
            Event::AppendRefused => self.append_refused(),
            Event::ApprovalSlotUp(slot) => self.approval_requests.add_slot(slot),
            Event::ApprovalSlotDown(slot) => self.approval_requests.remove_slot(slot),
            Event::Explain { key, subject } => {
                let explanation = self.explain(subject).map(Box::new);
                self.effects.push(Effect::Explained { key, explanation });
            }
            Event::Query { key, query } => self.answer_query(key, &query),
        }
    }

    /// Returns the effects that follow from the events applied so far.
    pub fn decide(&mut self, now: Time, unix_ms: u64) -> Vec<Effect> {
        self.now = now;
        self.unix_ms = unix_ms;
        if !self.stopped && self.marker.is_some() {
            if now >= self.next_scan {
                self.next_scan = now + SCAN_INTERVAL;
                self.scan();
            }
            if self.placement_needed && now >= self.next_placement {
                self.placement_needed = false;
                let queued = u64::try_from(self.ready_queue.len()).unwrap_or(0);
                let vms_ms = u64::try_from(self.vms.len() / VMS_PER_PLACEMENT_MS).unwrap_or(0);
                self.next_placement = now
                    + PLACEMENT_PAUSE.times(queued / STAGES_PER_PLACEMENT_PAUSE)
                    + Duration::from_millis(vms_ms);
                self.place_ready_stages();
            }
            self.flush_progress();
        }
        if self.stopped {
            let is_harmless = |e: &Effect| {
                matches!(
                    e,
                    Effect::StepDown
                        | Effect::Reply { .. }
                        | Effect::Explained { .. }
                        | Effect::Backlogs(_)
                        | Effect::Log(_)
                        | Effect::Gauge { .. }
                )
            };
            self.effects.retain(is_harmless);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns when [`Self::decide`] must be called next if no event occurs before.
    pub fn wake_at(&self) -> Time {
        match self.placement_needed {
            true => self.next_scan.min(self.next_placement),
            false => self.next_scan,
        }
    }

    /// Handles everything that is due by time alone.
    fn scan(&mut self) {
        // Waits that end by time alone (the restart pause of a gang, the quarantine of
        // a VM, the pause between approval requests) produce no event.
        if self.now >= self.next_retry {
            self.next_retry = self.now + PLACEMENT_RETRY_PAUSE;
            self.placement_needed |= !self.ready_queue.is_empty();
        }
        self.answer_times.scan(self.now);
        self.scan_vms();
        self.hedge_overdue_polls();
        self.scan_runs();
        self.log_awaited();
        self.scan_suspects();
        self.scan_jobs();
        self.rerank_late_stages();
        self.scan_approval_requests();
        self.drain_vms();
        self.scan_evacuation();
        self.publish_backlogs();
    }

    fn step_down(&mut self) {
        if !self.stopped {
            self.stopped = true;
            self.effects.push(Effect::StepDown);
        }
    }

    fn log(&mut self, job: u64, event: &'static str, detail: String) {
        self.push_log_entry(false, job, event, detail);
    }

    /// Logs a decision about a run whose end no VM has listed, or about a run that no task has.
    fn warn(&mut self, job: u64, event: &'static str, detail: String) {
        self.push_log_entry(true, job, event, detail);
    }

    fn gauge(&mut self, name: &'static str, value: f64) {
        self.effects.push(Effect::Gauge { name, value });
    }

    fn push_log_entry(&mut self, is_warning: bool, job: u64, event: &'static str, detail: String) {
        self.effects.push(Effect::Log(LogEntry {
            is_warning,
            job,
            event,
            detail,
        }));
    }
}
